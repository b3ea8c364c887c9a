//! The record of a run: what was sent, answered and run.

use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::sync::Mutex;
use std::time::Instant;

#[derive(Debug)]
pub struct Record {
    start: Instant,
    file: Mutex<File>,
}

impl Record {
    pub fn create(path: &Path) -> std::io::Result<Self> {
        Ok(Self {
            start: Instant::now(),
            file: Mutex::new(File::create(path)?),
        })
    }

    /// Writes a line with the time since the start of the run, in seconds.
    pub fn line(&self, text: &str) {
        let at = self.seconds();
        let mut file = self.file.lock().unwrap();
        writeln!(file, "{at:9.4} {text}").expect("the record can be written");
    }

    /// Writes a line on standard output too.
    pub fn say(&self, text: &str) {
        println!("{:9.4} {text}", self.seconds());
        self.line(text);
    }

    pub fn seconds(&self) -> f64 {
        self.start.elapsed().as_secs_f64()
    }
}

//! Records which requests were started and finished.

use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use eyre::WrapErr;
use serde::Deserialize;
use serde::Serialize;

/// A request that the upstream started.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct LedgerEntry {
    /// Id of the request.
    pub order: Box<str>,
    /// Slice of the request; empty when none was given.
    pub slice: Box<str>,
    /// Routing key of the request; empty when none was given.
    pub key: Box<str>,
    /// Epoch of the owner that sent it; 0 when none was given.
    pub epoch: u64,
    /// Idempotency key, if the request had one.
    pub idempotency_key: Option<Box<str>>,
    /// Path of the request's URL.
    pub path: Box<str>,
    /// Start of the run, in microseconds since the Unix epoch.
    pub started_unix_us: u64,
    /// End of the run, in microseconds since the Unix epoch; absent while it runs
    /// and if it was cancelled or the process ended first.
    pub finished_unix_us: Option<u64>,
}

/// A line of the ledger file.
#[derive(Debug)]
#[derive(Serialize, Deserialize)]
#[serde(untagged)]
enum LedgerLine {
    Finished { index: usize, finished_unix_us: u64 },
    Started(LedgerEntry),
}

#[derive(Debug)]
struct LedgerContents {
    entries: Vec<LedgerEntry>,
    file: Option<File>,
}

/// The requests that one upstream ran.
#[derive(Debug)]
pub(super) struct RequestLedger {
    contents: Mutex<LedgerContents>,
}

impl RequestLedger {
    /// Creates an empty ledger, which is written to the file `path` as well, if
    /// given.
    pub(super) fn new(path: Option<&Path>) -> eyre::Result<Self> {
        let file = path
            .map(|path| {
                File::create(path).wrap_err_with(|| format!("cannot create {}", path.display()))
            })
            .transpose()?;
        let contents = LedgerContents {
            entries: Vec::new(),
            file,
        };
        Ok(Self {
            contents: Mutex::new(contents),
        })
    }

    fn lock(&self) -> MutexGuard<'_, LedgerContents> {
        self.contents.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Records the start of a request and returns its index.
    pub(super) fn start(&self, mut entry: LedgerEntry) -> usize {
        let mut contents = self.lock();
        entry.started_unix_us = unix_us();
        contents.write(&LedgerLine::Started(entry.clone()));
        contents.entries.push(entry);
        contents.entries.len() - 1
    }

    /// Records the end of the request with that index.
    pub(super) fn finish(&self, index: usize) {
        let mut contents = self.lock();
        let finished_unix_us = unix_us();
        contents.entries[index].finished_unix_us = Some(finished_unix_us);
        contents.write(&LedgerLine::Finished {
            index,
            finished_unix_us,
        });
    }

    /// Returns up to `limit` entries, starting at index `from`.
    pub(super) fn entries(&self, from: usize, limit: usize) -> Vec<LedgerEntry> {
        let contents = self.lock();
        let entries = contents.entries.iter().skip(from).take(limit);
        entries.cloned().collect()
    }
}

impl LedgerContents {
    fn write(&mut self, line: &LedgerLine) {
        let Some(file) = &mut self.file else {
            return;
        };
        let mut text = serde_json::to_vec(line).expect("a ledger line is valid JSON");
        text.push(b'\n');
        file.write_all(&text).expect("the ledger file is writable");
    }
}

/// Reads a ledger file. A truncated last line, as a killed process leaves it, is
/// ignored.
///
/// # Errors
///
/// Fails if the file cannot be read or is not a ledger.
///
/// # Panics
///
/// Panics if a line ends a request that no earlier line started.
pub fn read_ledger_file(path: &Path) -> eyre::Result<Vec<LedgerEntry>> {
    let text = std::fs::read_to_string(path)
        .wrap_err_with(|| format!("cannot read {}", path.display()))?;
    let complete = text.rfind('\n').map_or("", |end| &text[..end]);
    let mut entries: Vec<LedgerEntry> = Vec::new();
    for line in complete.lines() {
        let line = serde_json::from_str(line)
            .wrap_err_with(|| format!("invalid ledger line in {}", path.display()))?;
        match line {
            LedgerLine::Started(entry) => entries.push(entry),
            LedgerLine::Finished {
                index,
                finished_unix_us,
            } => entries[index].finished_unix_us = Some(finished_unix_us),
        }
    }
    Ok(entries)
}

fn unix_us() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |elapsed| elapsed.as_micros() as u64)
}

//! Keeps every order that was started and finished.

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

/// One order.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct LedgerEntry {
    /// Id of the order.
    pub order: Box<str>,
    /// The slice, as the grant named it.
    pub slice: Box<str>,
    /// The key.
    pub key: Box<str>,
    /// The epoch; 0 when none was given.
    pub epoch: u64,
    /// The idempotency key.
    pub idempotency_key: Option<Box<str>>,
    /// Path of the request.
    pub path: Box<str>,
    /// When it started, in microseconds since the Unix epoch.
    pub started_unix_us: u64,
    /// When it finished; none while it runs or when it was cut short.
    pub finished_unix_us: Option<u64>,
}

/// A line of the ledger's file.
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

/// The orders that one upstream ran.
#[derive(Debug)]
pub(super) struct OrderLedger {
    contents: Mutex<LedgerContents>,
}

impl OrderLedger {
    /// Creates an empty ledger, which is also written to `path` if given.
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

    /// Notes that an order starts, and returns its index.
    pub(super) fn start(&self, mut entry: LedgerEntry) -> usize {
        let mut contents = self.lock();
        entry.started_unix_us = unix_us();
        contents.write(&LedgerLine::Started(entry.clone()));
        contents.entries.push(entry);
        contents.entries.len() - 1
    }

    /// Notes that an order finished.
    pub(super) fn finish(&self, index: usize) {
        let mut contents = self.lock();
        let finished_unix_us = unix_us();
        contents.entries[index].finished_unix_us = Some(finished_unix_us);
        contents.write(&LedgerLine::Finished {
            index,
            finished_unix_us,
        });
    }

    /// Returns up to `limit` entries from an index on.
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

/// Reads the file of a ledger. A last line that was cut off is left out.
///
/// # Errors
///
/// When the file cannot be read or is not a ledger.
pub fn read_ledger_file(path: &Path) -> eyre::Result<Vec<LedgerEntry>> {
    let text = std::fs::read_to_string(path)
        .wrap_err_with(|| format!("cannot read {}", path.display()))?;
    let whole = text.rfind('\n').map_or("", |end| &text[..end]);
    let mut entries: Vec<LedgerEntry> = Vec::new();
    for line in whole.lines() {
        let line = serde_json::from_str(line)
            .wrap_err_with(|| format!("not a ledger line in {}", path.display()))?;
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

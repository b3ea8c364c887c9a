//! Entries, rate and retention of the log.

use std::collections::VecDeque;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use tokio::sync::watch;

use super::LogFaults;
use super::LogSettings;
use super::LogStats;

const ONE_SECOND: Duration = Duration::from_secs(1);

/// The offset is older than what the log keeps.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct ExpiredOffset {
    /// The earliest offset kept.
    pub(super) earliest: u64,
}

/// Entries from an offset on.
#[derive(Debug, Clone)]
pub(super) struct EntryRun {
    /// Offset of the first entry.
    pub(super) first: u64,
    /// Their bytes, in order.
    pub(super) entries: Vec<Bytes>,
    /// Offset of the next append.
    pub(super) end: u64,
}

#[derive(Debug)]
struct LogContents {
    faults: LogFaults,
    stats: LogStats,
    /// Offset of the front entry.
    earliest: u64,
    entries: VecDeque<(Instant, Bytes)>,
    /// When each append of the last second took effect.
    recent: VecDeque<Instant>,
}

/// The log's contents, shared by its connections.
#[derive(Debug)]
pub(super) struct LogStore {
    settings: LogSettings,
    contents: Mutex<LogContents>,
    end: watch::Sender<u64>,
}

impl LogStore {
    /// Creates an empty log.
    pub(super) fn new(settings: LogSettings) -> Self {
        let contents = LogContents {
            faults: LogFaults::default(),
            stats: LogStats::default(),
            earliest: 0,
            entries: VecDeque::new(),
            recent: VecDeque::new(),
        };
        Self {
            settings,
            contents: Mutex::new(contents),
            end: watch::Sender::new(0),
        }
    }

    fn lock(&self) -> MutexGuard<'_, LogContents> {
        self.contents.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Switches faults.
    pub(super) fn set_faults(&self, faults: LogFaults) {
        self.lock().faults = faults;
    }

    /// Returns the faults in force.
    pub(super) fn faults(&self) -> LogFaults {
        self.lock().faults
    }

    /// Returns what the log has done so far.
    pub(super) fn stats(&self) -> LogStats {
        let contents = self.lock();
        LogStats {
            earliest: contents.earliest,
            end: contents.end(),
            ..contents.stats
        }
    }

    /// Takes a place in the rate. Returns whether there was one.
    pub(super) fn take_rate(&self) -> bool {
        let mut contents = self.lock();
        let now = Instant::now();
        contents.forget_recent(now);
        if contents.recent.len() >= self.settings.rate as usize {
            contents.stats.refused += 1;
            return false;
        }
        contents.recent.push_back(now);
        let recent = contents.recent.len() as u64;
        contents.stats.peak_rate = contents.stats.peak_rate.max(recent);
        true
    }

    /// Appends an entry and returns its offset.
    pub(super) fn append(&self, data: Bytes) -> u64 {
        let mut contents = self.lock();
        let now = Instant::now();
        let offset = contents.end();
        contents.stats.appends += 1;
        contents.stats.bytes += data.len() as u64;
        contents.entries.push_back((now, data));
        contents.expire(now, &self.settings);
        let end = contents.end();
        drop(contents);
        self.end.send_replace(end);
        offset
    }

    /// Reads up to `limit` entries from an offset.
    pub(super) fn read(&self, from: u64, limit: usize) -> Result<EntryRun, ExpiredOffset> {
        let mut contents = self.lock();
        contents.expire(Instant::now(), &self.settings);
        contents.stats.reads += 1;
        let earliest = contents.earliest;
        let skipped = from
            .checked_sub(earliest)
            .ok_or(ExpiredOffset { earliest })?;
        let entries = contents
            .entries
            .iter()
            .skip(usize::try_from(skipped).unwrap_or(usize::MAX))
            .take(limit)
            .map(|(_, data)| data.clone())
            .collect();
        Ok(EntryRun {
            first: from,
            entries,
            end: contents.end(),
        })
    }

    /// Waits at most `wait` for an entry at an offset.
    pub(super) async fn wait_for(&self, offset: u64, wait: Duration) {
        let mut end = self.end.subscribe();
        let reached = end.wait_for(|end| *end > offset);
        drop(tokio::time::timeout(wait, reached).await);
    }

    /// Returns the earliest offset kept.
    pub(super) fn earliest(&self) -> u64 {
        let mut contents = self.lock();
        contents.expire(Instant::now(), &self.settings);
        contents.earliest
    }

    /// Counts an append refused while down.
    pub(super) fn count_refused_down(&self) {
        self.lock().stats.refused_down += 1;
    }

    /// Counts a lost answer.
    pub(super) fn count_answer_lost(&self) {
        self.lock().stats.answers_lost += 1;
    }
}

impl LogContents {
    fn end(&self) -> u64 {
        self.earliest + self.entries.len() as u64
    }

    fn forget_recent(&mut self, now: Instant) {
        while let Some(oldest) = self.recent.front() {
            if now.duration_since(*oldest) < ONE_SECOND {
                break;
            }
            self.recent.pop_front();
        }
    }

    fn expire(&mut self, now: Instant, settings: &LogSettings) {
        while let Some((appended, _)) = self.entries.front() {
            let too_many = self.entries.len() > settings.keep_entries;
            let too_old = now.duration_since(*appended) > settings.keep_time;
            if !too_many && !too_old {
                break;
            }
            self.entries.pop_front();
            self.earliest += 1;
        }
    }
}

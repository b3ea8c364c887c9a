//! Entries, rate limit and retention of the log.

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

/// A read of an offset that is no longer kept.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct ExpiredOffset {
    /// Earliest offset that is kept.
    pub(super) earliest: u64,
}

/// Consecutive entries.
#[derive(Debug, Clone)]
pub(super) struct EntryBatch {
    /// Offset of the first entry.
    pub(super) first: u64,
    /// Contents of the entries, in the order of their offsets.
    pub(super) entries: Vec<Bytes>,
    /// Offset of the next append.
    pub(super) end: u64,
}

#[derive(Debug)]
struct LogContents {
    faults: LogFaults,
    stats: LogStats,
    /// Offset of the first element of `entries`.
    earliest: u64,
    entries: VecDeque<(Instant, Bytes)>,
    /// When each append of the last second was accepted by the rate limit.
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

    /// Replaces the faults.
    pub(super) fn set_faults(&self, faults: LogFaults) {
        self.lock().faults = faults;
    }

    /// Returns the current faults.
    pub(super) fn faults(&self) -> LogFaults {
        self.lock().faults
    }

    /// Returns the counters and offsets as they are now.
    pub(super) fn stats(&self) -> LogStats {
        let contents = self.lock();
        LogStats {
            earliest: contents.earliest,
            end: contents.end(),
            ..contents.stats
        }
    }

    /// Accounts for an append within the rate limit. Returns false and counts a
    /// refusal if the limit is reached.
    pub(super) fn acquire_rate(&self) -> bool {
        let mut contents = self.lock();
        let now = Instant::now();
        contents.drop_old_appends(now);
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

    /// Reads up to `limit` entries from an offset on.
    pub(super) fn read(&self, from: u64, limit: usize) -> Result<EntryBatch, ExpiredOffset> {
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
        Ok(EntryBatch {
            first: from,
            entries,
            end: contents.end(),
        })
    }

    /// Waits until the log has an entry at an offset, for `wait` at most.
    pub(super) async fn wait_for(&self, offset: u64, wait: Duration) {
        let mut end = self.end.subscribe();
        let reached = end.wait_for(|end| *end > offset);
        drop(tokio::time::timeout(wait, reached).await);
    }

    /// Returns the earliest offset that is kept.
    pub(super) fn earliest(&self) -> u64 {
        let mut contents = self.lock();
        contents.expire(Instant::now(), &self.settings);
        contents.earliest
    }

    /// Counts an append that was refused because the log is down.
    pub(super) fn count_refused_down(&self) {
        self.lock().stats.refused_down += 1;
    }

    /// Counts an append that is never answered.
    pub(super) fn count_answer_lost(&self) {
        self.lock().stats.answers_lost += 1;
    }
}

impl LogContents {
    fn end(&self) -> u64 {
        self.earliest + self.entries.len() as u64
    }

    fn drop_old_appends(&mut self, now: Instant) {
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

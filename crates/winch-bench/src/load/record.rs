//! What became of each request.

use std::time::SystemTime;
use std::time::UNIX_EPOCH;

/// Microseconds since the Unix epoch, as in the ledgers.
pub type UnixMicros = u64;

/// Returns the time of day.
pub fn unix_micros() -> UnixMicros {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |elapsed| elapsed.as_micros() as UnixMicros)
}

/// What the caller of one attempt learned.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum AttemptEnd {
    /// The upstream's answer came.
    Answered,
    /// "Not run".
    NotRun,
    /// "Unknown".
    Unknown,
    /// No connection was made, so nothing was sent.
    NotSent,
    /// The connection failed, or patience ended, after the request was sent.
    Broken,
}

/// One attempt of a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AttemptRecord {
    /// When it was sent.
    pub sent: UnixMicros,
    /// When its end was known.
    pub ended: UnixMicros,
    /// What the caller learned.
    pub end: AttemptEnd,
    /// HTTP status; 0 without an answer.
    pub status: u16,
    /// The error header; empty when there was none.
    pub error: Box<str>,
    /// The epoch that the answer names; 0 when there was none.
    pub epoch: u64,
    /// The owner that the answer names.
    pub owner: Box<str>,
    /// Whether an answer with status 200 was whole and the caller's own.
    pub own_and_whole: bool,
}

/// One request, with its attempts in order.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RequestRecord {
    /// Index of its stream.
    pub stream: usize,
    /// Path by which ledgers name the request.
    pub path: Box<str>,
    /// The key.
    pub key: Box<str>,
    /// The idempotency key.
    pub idempotency_key: Option<Box<str>>,
    /// When it was due.
    pub due: UnixMicros,
    /// The attempts.
    pub attempts: Vec<AttemptRecord>,
}

impl RequestRecord {
    /// Returns the last attempt.
    pub fn last(&self) -> Option<&AttemptRecord> {
        self.attempts.last()
    }

    /// Returns whether an attempt ended in a certain way.
    pub fn any(&self, end: AttemptEnd) -> bool {
        self.attempts.iter().any(|attempt| attempt.end == end)
    }

    /// Returns whether the upstream's answer with status 200 came.
    pub fn succeeded(&self) -> bool {
        let last = self.last();
        last.is_some_and(|last| last.end == AttemptEnd::Answered && last.status == 200)
    }

    /// Returns whether the caller was told about every attempt that it was
    /// not run.
    pub fn not_run(&self) -> bool {
        let mut attempts = self.attempts.iter();
        attempts.all(|attempt| matches!(attempt.end, AttemptEnd::NotRun | AttemptEnd::NotSent))
    }

    /// Returns the time from due to the last attempt's end, in microseconds.
    pub fn latency_us(&self) -> u64 {
        self.last()
            .map_or(0, |last| last.ended.saturating_sub(self.due))
    }
}

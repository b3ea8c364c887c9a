//! Records of requests and their attempts.

use std::time::SystemTime;
use std::time::UNIX_EPOCH;

/// Microseconds since the Unix epoch, the unit of the ledgers' timestamps.
pub type UnixMicros = u64;

/// Returns the wall-clock time.
pub fn unix_micros() -> UnixMicros {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |elapsed| elapsed.as_micros() as UnixMicros)
}

/// How one attempt ended, as its caller observed it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum AttemptEnd {
    /// The upstream's response arrived, with any status.
    Answered,
    /// The router reported that the request did not run.
    NotRun,
    /// The router reported that the request may have run, or the response had no
    /// outcome header.
    Unknown,
    /// The connection could not be opened, so nothing was sent.
    NotSent,
    /// The connection failed or the timeout expired after the request was sent.
    Broken,
}

/// One attempt of a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AttemptRecord {
    /// Time at which it was sent.
    pub sent: UnixMicros,
    /// Time at which the response was read or the attempt failed.
    pub ended: UnixMicros,
    /// How it ended.
    pub end: AttemptEnd,
    /// HTTP status; 0 without a response.
    pub status: u16,
    /// Value of the `winch-error` header; empty when absent.
    pub error: Box<str>,
    /// Value of the `winch-epoch` header; 0 when absent.
    pub epoch: u64,
    /// Value of the `winch-owner` header; empty when absent.
    pub owner: Box<str>,
    /// Whether the response body is complete and belongs to this request: the
    /// echoed key, body digest and idempotency key match.
    pub own_and_whole: bool,
}

/// One request, with its attempts in order.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RequestRecord {
    /// Index of its stream in the load.
    pub stream: usize,
    /// Path, unique in the run; it identifies the request in the ledgers.
    pub path: Box<str>,
    /// Value of the `winch-key` header.
    pub key: Box<str>,
    /// The idempotency key, the same for all attempts, if the stream sends one.
    pub idempotency_key: Option<Box<str>>,
    /// Time at which it was due.
    pub due: UnixMicros,
    /// The attempts, first to last.
    pub attempts: Vec<AttemptRecord>,
}

impl RequestRecord {
    /// Returns the last attempt; `None` before the first was sent.
    pub fn last(&self) -> Option<&AttemptRecord> {
        self.attempts.last()
    }

    /// Returns whether any attempt ended with `end`.
    pub fn any(&self, end: AttemptEnd) -> bool {
        self.attempts.iter().any(|attempt| attempt.end == end)
    }

    /// Returns whether the last attempt got the upstream's response with status
    /// 200.
    pub fn succeeded(&self) -> bool {
        let last = self.last();
        last.is_some_and(|last| last.end == AttemptEnd::Answered && last.status == 200)
    }

    /// Returns whether the caller knows for every attempt that it did not run.
    pub fn not_run(&self) -> bool {
        let mut attempts = self.attempts.iter();
        attempts.all(|attempt| matches!(attempt.end, AttemptEnd::NotRun | AttemptEnd::NotSent))
    }

    /// Returns the time from the due time to the end of the last attempt, in
    /// microseconds.
    pub fn latency_us(&self) -> u64 {
        self.last()
            .map_or(0, |last| last.ended.saturating_sub(self.due))
    }
}

//! The closed list of error kinds, with the one table from kind to answer.

use serde::Deserialize;
use serde::Serialize;

/// What a caller is told about its request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
pub enum RequestOutcome {
    /// The upstream's answer is returned.
    Answered,
    /// The request was not run and will not be.
    NotRun,
    /// The request may have been run.
    Unknown,
}

impl RequestOutcome {
    /// Returns the value of the outcome header.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Answered => "answered",
            Self::NotRun => "not-run",
            Self::Unknown => "unknown",
        }
    }
}

/// Why a request got no answer from its upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
pub enum ErrorKind {
    /// A required header is absent.
    MissingHeader,
    /// A header cannot be parsed.
    MalformedHeader,
    /// No such service is declared.
    UnknownService,
    /// No such priority class is declared.
    UnknownClass,
    /// The body exceeds the limit.
    BodyTooLarge,
    /// The body did not arrive in time.
    BodyTimeout,
    /// The deadline is zero or beyond the limit.
    BadDeadline,
    /// No process owns the key at the moment.
    NoOwner,
    /// The addressed process does not own the key.
    NotOwner,
    /// The owner cannot be reached, and the request was not sent.
    OwnerUnreachable,
    /// The class has no capacity left.
    Overloaded,
    /// The deadline passed, or would pass, before the request could start.
    DeadlineBeforeStart,
    /// The queue for work without deadline is full.
    QueueFull,
    /// The process or its upstream is leaving.
    Draining,
    /// The owner's lease is not live.
    LeaseLapsed,
    /// The upstream refused the request without running it.
    UpstreamRefused,
    /// The request was cancelled before it started.
    Cancelled,
    /// The connection was lost after the request was sent.
    ConnectionLost,
    /// The deadline passed after the request started.
    DeadlineAfterStart,
    /// The upstream failed after the request started.
    UpstreamFailed,
    /// An earlier attempt may have run under another owner.
    EarlierAttempt,
    /// The answer was cut off.
    AnswerTruncated,
}

/// The answer to a request that failed with some [`ErrorKind`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ErrorResponse {
    /// HTTP status.
    pub status: u16,
    /// What the caller may conclude.
    pub outcome: RequestOutcome,
    /// Value of the error header and type of the problem document.
    pub slug: &'static str,
    /// Whether the answer carries a time to retry.
    pub retry_hint: bool,
    /// One sentence that names the remedy.
    pub remedy: &'static str,
}

const fn response(
    status: u16,
    outcome: RequestOutcome,
    slug: &'static str,
    retry_hint: bool,
    remedy: &'static str,
) -> ErrorResponse {
    ErrorResponse {
        status,
        outcome,
        slug,
        retry_hint,
        remedy,
    }
}

impl ErrorKind {
    /// Every kind, in the order of the operators' page.
    pub const ALL: [Self; 22] = [
        Self::MissingHeader,
        Self::MalformedHeader,
        Self::UnknownService,
        Self::UnknownClass,
        Self::BodyTooLarge,
        Self::BodyTimeout,
        Self::BadDeadline,
        Self::NoOwner,
        Self::NotOwner,
        Self::OwnerUnreachable,
        Self::Overloaded,
        Self::DeadlineBeforeStart,
        Self::QueueFull,
        Self::Draining,
        Self::LeaseLapsed,
        Self::UpstreamRefused,
        Self::Cancelled,
        Self::ConnectionLost,
        Self::DeadlineAfterStart,
        Self::UpstreamFailed,
        Self::EarlierAttempt,
        Self::AnswerTruncated,
    ];

    /// Returns the answer of this kind.
    #[rustfmt::skip]
    pub const fn response(self) -> ErrorResponse {
        use RequestOutcome::NotRun;
        use RequestOutcome::Unknown;
        match self {
            Self::MissingHeader => response(400, NotRun, "missing-header", false, "send the named header"),
            Self::MalformedHeader => response(400, NotRun, "malformed-header", false, "correct the named header"),
            Self::UnknownService => response(404, NotRun, "unknown-service", false, "name a declared service"),
            Self::UnknownClass => response(400, NotRun, "unknown-class", false, "name a declared priority class"),
            Self::BodyTooLarge => response(413, NotRun, "body-too-large", false, "send a smaller body"),
            Self::BodyTimeout => response(408, NotRun, "body-timeout", false, "send the body faster"),
            Self::BadDeadline => response(400, NotRun, "bad-deadline", false, "send a deadline within the limit"),
            Self::NoOwner => response(503, NotRun, "no-owner", true, "retry after the given time"),
            Self::NotOwner => response(503, NotRun, "not-owner", true, "retry after the given time"),
            Self::OwnerUnreachable => response(503, NotRun, "owner-unreachable", true, "retry after the given time"),
            Self::Overloaded => response(429, NotRun, "overloaded", true, "retry after the given time"),
            Self::DeadlineBeforeStart => response(504, NotRun, "deadline-before-start", false, "allow a longer deadline"),
            Self::QueueFull => response(429, NotRun, "queue-full", true, "retry after the given time"),
            Self::Draining => response(503, NotRun, "draining", true, "retry after the given time"),
            Self::LeaseLapsed => response(503, NotRun, "lease-lapsed", true, "retry after the given time"),
            Self::UpstreamRefused => response(503, NotRun, "upstream-refused", true, "retry after the given time"),
            Self::Cancelled => response(499, NotRun, "cancelled", false, "send the request again"),
            Self::ConnectionLost => response(502, Unknown, "connection-lost", false, "repeat with the same idempotency key"),
            Self::DeadlineAfterStart => response(504, Unknown, "deadline-after-start", false, "repeat with the same idempotency key"),
            Self::UpstreamFailed => response(502, Unknown, "upstream-failed", false, "repeat with the same idempotency key"),
            Self::EarlierAttempt => response(409, Unknown, "earlier-attempt", false, "ask the service whether the first attempt ran"),
            Self::AnswerTruncated => response(502, Unknown, "answer-truncated", false, "repeat with the same idempotency key"),
        }
    }
}

//! Every kind of failure of a request, and the table that maps each kind to its
//! response.

use serde::Deserialize;
use serde::Serialize;

/// What a caller may conclude about the execution of its request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
pub enum RequestOutcome {
    /// The upstream's response is returned.
    Answered,
    /// The request was not run and will not be.
    NotRun,
    /// The request may have been run.
    Unknown,
}

impl RequestOutcome {
    /// Returns the value of the header `winch-outcome`.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Answered => "answered",
            Self::NotRun => "not-run",
            Self::Unknown => "unknown",
        }
    }
}

/// Why a request was not answered by its upstream.
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
    /// The deadline is zero or exceeds the limit.
    BadDeadline,
    /// No process owns the key at present.
    NoOwner,
    /// The process that received the request does not own the key.
    NotOwner,
    /// The owner cannot be reached, and the request was not sent.
    OwnerUnreachable,
    /// The priority class has no capacity left.
    Overloaded,
    /// The deadline passed, or was bound to pass, before the request started.
    DeadlineBeforeStart,
    /// The queue of requests without a deadline is full.
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
    /// The upstream ended while it ran the request.
    UpstreamCrashed,
    /// The request has crashed several upstreams and is not run any more.
    Quarantined,
    /// An earlier attempt of the request may have run on another owner.
    EarlierAttempt,
    /// The upstream's response was truncated.
    AnswerTruncated,
}

/// The HTTP response to a request that failed with an [`ErrorKind`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ErrorResponse {
    /// HTTP status code.
    pub status: u16,
    /// Value of the header `winch-outcome`.
    pub outcome: RequestOutcome,
    /// Value of the header `winch-error` and type of the problem document.
    pub slug: &'static str,
    /// Whether the response carries the header `retry-after`.
    pub retry_hint: bool,
    /// What the caller can do, as an imperative phrase.
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
    pub const ALL: [Self; 24] = [
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
        Self::UpstreamCrashed,
        Self::Quarantined,
        Self::EarlierAttempt,
        Self::AnswerTruncated,
    ];

    /// Returns the response to a request that failed with this kind.
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
            Self::UpstreamCrashed => response(502, Unknown, "upstream-crashed", false, "repeat with the same idempotency key"),
            Self::Quarantined => response(503, NotRun, "quarantined", true, "change the request, or repair the service that crashes on it"),
            Self::EarlierAttempt => response(409, Unknown, "earlier-attempt", false, "ask the service whether the first attempt ran"),
            Self::AnswerTruncated => response(502, Unknown, "answer-truncated", false, "repeat with the same idempotency key"),
        }
    }
}

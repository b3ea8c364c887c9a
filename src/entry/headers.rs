//! Names of the callers' headers.

/// The service.
pub const SERVICE: &str = "winch-service";
/// The key.
pub const KEY: &str = "winch-key";
/// The priority class.
pub const CLASS: &str = "winch-class";
/// Time that the caller waits, in milliseconds.
pub const DEADLINE_MS: &str = "winch-deadline-ms";
/// Equal on every attempt of work that must not run twice.
pub const IDEMPOTENCY_KEY: &str = "idempotency-key";
/// Which attempt this is, from 1; an attempt that was not run does not count.
pub const ATTEMPT: &str = "winch-attempt";
/// Identifies the caller; the caller's address when absent.
pub const CALLER: &str = "winch-caller";
/// In an answer: answered, not-run or unknown.
pub const OUTCOME: &str = "winch-outcome";
/// In an answer: the error kind.
pub const ERROR: &str = "winch-error";
/// In an answer: the epoch under which the request ran.
pub const EPOCH: &str = "winch-epoch";
/// In an answer: the node that ran the request.
pub const OWNER: &str = "winch-owner";
/// In an answer: seconds until a retry is worth while.
pub const RETRY_AFTER: &str = "retry-after";

//! Names of the HTTP headers between callers and entry nodes.

/// Request: name of the declared service. Required.
pub const SERVICE: &str = "winch-service";
/// Request: key that determines the owner. Required.
pub const KEY: &str = "winch-key";
/// Request: name of the declared priority class. Required.
pub const CLASS: &str = "winch-class";
/// Request: time that the caller waits, in milliseconds. Defaults to the
/// deadline of the class.
pub const DEADLINE_MS: &str = "winch-deadline-ms";
/// Request: equal on every attempt of a request that must not run twice.
/// Required unless the class is idempotent.
pub const IDEMPOTENCY_KEY: &str = "idempotency-key";
/// Request: number of this attempt, from 1 to 65535; 1 if absent. An attempt
/// that was not run does not count.
pub const ATTEMPT: &str = "winch-attempt";
/// Request: identifies the caller. Defaults to the caller's IP address.
pub const CALLER: &str = "winch-caller";
/// Response: `answered`, `not-run` or `unknown`.
pub const OUTCOME: &str = "winch-outcome";
/// Response: name of the error kind. Absent if the upstream answered.
pub const ERROR: &str = "winch-error";
/// Response: epoch under which the request ran. Absent on errors.
pub const EPOCH: &str = "winch-epoch";
/// Response: name of the node that the request was sent to. Absent if it was
/// sent to none.
pub const OWNER: &str = "winch-owner";
/// Response: seconds until a retry is worthwhile, at least 1. Absent if a retry
/// delay does not apply to the error kind.
pub const RETRY_AFTER: &str = "retry-after";

//! Type aliases of the identifiers that processes exchange.

/// Identifies one run of a `winchd` or sidecar process.
///
/// The high bits are the start time, so that a later process at the same address
/// has a greater incarnation.
pub type Incarnation = u64;

/// Position of an entry in the platform's log, counted in entries.
pub type Offset = u64;

/// Index of a slice of a service's keys.
pub type SliceIndex = u16;

/// Position in a chain, counted from the chain's start. A greater epoch
/// supersedes every smaller one.
pub type Epoch = u64;

/// Number of a planner's term. A greater term supersedes every smaller one.
pub type Term = u64;

/// Version of a declared object, increased by each accepted change.
pub type Version = u64;

/// Identifies a request on one connection. Never reused on that connection.
pub type RequestId = u64;

/// Hash of a key, as returned by [`hash_key`](super::hash::hash_key).
pub type KeyHash = u64;

/// Sequence number of an author's batches in the log.
pub type Sequence = u64;

/// Name of a VM's `winchd`. The same after a restart.
pub type NodeName = Box<str>;

/// Name of a declared service.
pub type ServiceName = Box<str>;

/// Name of a declared priority class.
pub type ClassName = Box<str>;

/// Name of a failure domain.
pub type FailureDomainName = Box<str>;

/// Name of a region.
pub type RegionName = Box<str>;

/// Identifies an operator's change. Chosen by the operator's tool, so that the
/// change can be retried and its outcome asked for.
pub type ChangeId = Box<str>;

/// A caller's idempotency key.
pub type IdempotencyKey = Box<str>;

/// Identifies one process of an upstream. A restarted upstream has another.
pub type InstanceId = Box<str>;

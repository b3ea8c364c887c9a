//! Type aliases of the identifiers that the processes exchange.

/// Names one `winchd` process from its start to its end.
///
/// The high bits are the start time, so that a later process on the same
/// address has the greater number.
pub type Incarnation = u64;

/// Position of an entry in the platform's log.
pub type Offset = u64;

/// Index of a slice of a service's keys.
pub type SliceIndex = u16;

/// Position in a slice's chain, counted from the chain's beginning. A greater
/// epoch supersedes every smaller one.
pub type Epoch = u64;

/// Number of a planner's claim.
pub type Term = u64;

/// Version of a declared object.
pub type Version = u64;

/// Number of a request on one connection. Never reused on that connection.
pub type RequestId = u64;

/// Hash of a key.
pub type KeyHash = u64;

/// Sequence number of an author's batches in the log.
pub type Sequence = u64;

/// Name of a VM's `winchd`, constant over restarts.
pub type NodeName = Box<str>;

/// Name of a declared service.
pub type ServiceName = Box<str>;

/// Name of a declared priority class.
pub type ClassName = Box<str>;

/// Name of a failure domain.
pub type FailureDomainName = Box<str>;

/// Name of a region.
pub type RegionName = Box<str>;

/// Identifies an operator's change, chosen by the operator's tool.
pub type ChangeId = Box<str>;

/// A caller's idempotency key.
pub type IdempotencyKey = Box<str>;

/// Names one life of an upstream.
pub type InstanceId = Box<str>;

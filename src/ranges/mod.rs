//! Exclusive ownership of contiguous key ranges.
//!
//! The keys of a sharded service are the numbers from 0 to [`LAST_KEY`]. A
//! [`map::RangeMap`] records which process owns which range. The map is one record
//! of the platform's store and is replaced by a conditional append, so every writer
//! bases its change on the newest map. The offset of the record that assigned a
//! range to its owner is the base of the range's fence, so the fence grows with
//! every change of owner.
//!
//! An owner serves requests while a quorum of its voters has recently promised
//! not to declare its lease lapsed; see [`lease`] and [`voter`]. Voters are
//! other members, named in the map. A range changes owner in one of three ways:
//!
//! * The owner releases it at its upstream and writes the map, or has another
//!   process write it.
//! * A later process at the owner's address replaces the owner. Since it could
//!   bind the address, the former process has ended, and the upstream is the
//!   same.
//! * A quorum of the voters refuses the owner, which each voter does only after
//!   the lease has expired by its own clock. Any process may then write the map.
//!
//! Serving needs the store only when a range changes owner, so owners keep
//! serving during an outage of the store. The upstream enforces ownership by
//! grants that expire before the lease does; [`grants`] tracks them, including
//! grants without a response. [`key_load`] counts slot time by key, [`rebalance`] decides
//! which keys an overloaded owner transfers to others, [`share_out`] which keys holders
//! without any get, and [`settling`] when a move shows in the load.

pub mod edit;
pub mod grants;
pub mod key_load;
pub mod lease;
pub mod map;
pub mod rebalance;
pub mod settling;
pub mod share_out;
pub mod voter;

/// A key of a sharded service, from 0 to [`LAST_KEY`].
pub type RangeKey = u16;

/// The last key of every sharded service.
pub const LAST_KEY: RangeKey = RangeKey::MAX;

/// Fencing number of a grant. At an upstream, a grant with a greater number
/// supersedes every grant with a smaller one.
pub type FenceNumber = u64;

//! Exclusive ownership of contiguous key ranges.
//!
//! The keys of a divided service are the numbers from 0 to [`LAST_KEY`]. A
//! [`map::RangeMap`] says who owns which range. It is one record of the
//! platform's store, replaced only on condition that nobody else replaced it,
//! so every writer decides on the newest map. The offset of the record that
//! gave a range to its owner is the base of the range's fence, which therefore
//! grows with every change of owner.
//!
//! An owner serves while a quorum of its voters has recently promised not to
//! declare it lapsed; see [`lease`] and [`voter`]. Voters are other members,
//! named in the map. A range is taken from an owner in one of three ways:
//!
//! * the owner releases it and writes the map itself,
//! * a later process at the owner's address replaces it: it could bind, so
//!   the former process has ended, and the upstream is the same,
//! * a quorum of the voters refuses the owner, which they do only after its
//!   lease has run out by their clocks, and anybody writes the map.
//!
//! None of these needs the store while nothing changes, so owners serve on
//! while the store is away. The upstream enforces the range by grants that
//! end before the lease does; [`grants`] keeps track of them, those without
//! an answer included. [`key_load`] counts where the requests fall and [`rebalance`]
//! decides what an overloaded owner gives away.

pub mod edit;
pub mod grants;
pub mod key_load;
pub mod lease;
pub mod map;
pub mod rebalance;
pub mod voter;

/// A key of a divided service.
pub type RangeKey = u16;

/// The last key of a divided service.
pub const LAST_KEY: RangeKey = RangeKey::MAX;

/// Number that an upstream compares grants by. A greater one supersedes every
/// smaller one.
pub type FenceNumber = u64;

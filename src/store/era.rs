//! Offsets that rise even when the store comes back from an older copy of itself.
//!
//! A restored store gives out offsets again. Each restore begins a new era, so an
//! offset has the era in its high bits: every offset of an era is greater than all
//! offsets of former eras, and whatever is ordered by offsets (versions of the range
//! map, terms, fences) stays in order.

use crate::base::ids::Offset;

/// Number of times that a store came back from a copy, counted by the store.
pub type StoreEra = u64;

/// Low bits of an offset: the position of a record in its topic.
const POSITION_BITS: u32 = 32;

/// Returns the offset of a position in a topic of the store.
pub fn offset_in(era: StoreEra, position: u64) -> Offset {
    (era << POSITION_BITS) | position
}

/// Returns the era in which an offset was given out.
pub fn era_of(offset: Offset) -> StoreEra {
    offset >> POSITION_BITS
}

/// Returns the position of an offset in its topic, without its era.
pub fn position_of(offset: Offset) -> u64 {
    offset & ((1 << POSITION_BITS) - 1)
}

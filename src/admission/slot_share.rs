//! How many slots a request may use while more urgent requests need some of them.
//!
//! The load pattern: an upstream of few slots serves long requests, and short urgent
//! calls that are made by requests which hold a slot elsewhere meanwhile. The queue
//! starts urgent requests first, but a running request is not interrupted: if long
//! requests use all slots, each call waits until one of them ends, often for longer
//! than its own work takes, and the slot elsewhere is idle for that time.
//!
//! The slots that such calls keep busy on average are therefore left to them, as long
//! as they have less time to spare than the request would hold a slot. Less urgent
//! requests lose next to nothing by this, since the calls use these slots anyway.

use std::time::Duration;

/// What one kind of request uses of the slots.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct KindUsage {
    /// Rank of the kind; 0 is the most urgent.
    pub rank: u8,
    /// Number of its running requests.
    pub running: u32,
    /// Smoothed number of slots that its requests keep busy. Refused ones use none,
    /// however often they come back.
    pub busy: f32,
    /// How long its requests may wait without missing their target.
    pub slack: Duration,
}

/// A request that asks for a slot.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct SlotClaim {
    /// Rank of its kind.
    pub rank: u8,
    /// Time for which it is expected to hold the slot.
    pub service: Duration,
}

/// Returns how many of the `slots` the requests of the claim's rank and of less urgent
/// ranks may use together; at least 1 if there is any.
pub fn slots_of_claim(claim: SlotClaim, slots: u32, kinds: impl Iterator<Item = KindUsage>) -> u32 {
    let urgent = kinds.filter(|kind| kind.rank < claim.rank && kind.slack < claim.service);
    let busy: f32 = urgent.map(|kind| kind.busy).sum();
    slots.saturating_sub(busy as u32).max(slots.min(1))
}

/// Returns whether the request may start on one of `slots`, of which at least one is
/// free.
pub fn may_start(
    claim: SlotClaim,
    slots: u32,
    kinds: impl Iterator<Item = KindUsage> + Clone,
) -> bool {
    let less_urgent = kinds.clone().filter(|kind| kind.rank >= claim.rank);
    let running: u32 = less_urgent.map(|kind| kind.running).sum();
    running < slots_of_claim(claim, slots, kinds)
}

//! Generates incarnation numbers.

use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use crate::base::ids::Incarnation;

/// Number of low bits of an incarnation that are random; the others are the
/// start time in microseconds.
const RANDOM_BITS: u32 = 12;

/// Returns a new incarnation that is greater than `former`, even if the VM's
/// clock was set back.
pub fn next_incarnation(former: Option<Incarnation>) -> Incarnation {
    let next = new_incarnation();
    former.map_or(next, |former| next.max(former + 1))
}

/// Returns a new incarnation from the time of day. It is greater than every
/// earlier incarnation of this VM unless the VM's clock was set back.
pub fn new_incarnation() -> Incarnation {
    let since_epoch = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    let started = since_epoch.as_micros() as u64;
    (started << RANDOM_BITS) | u64::from(rand::random::<u16>() >> (u16::BITS - RANDOM_BITS))
}

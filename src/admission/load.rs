//! What an owner tells entries about its load.

use serde::Deserialize;
use serde::Serialize;

use crate::base::hash::hash_key;

/// How many classes a snapshot carries, the most urgent first.
pub const MAX_RATES: usize = 8;

/// Names a class in few bytes: equal on every process.
pub type ClassTag = u32;

/// The whole, of which [`ClassRate::admitted_permille`] is a part.
pub const FULL_PERMILLE: u16 = 1000;

/// An upstream that fails everything counts like one with so many requests to
/// each slot.
const FAILING_BURDEN: u64 = 20;

/// Returns a class's tag.
pub fn class_tag(name: &str) -> ClassTag {
    hash_key(name.as_bytes()) as ClassTag
}

/// How much of a class an owner takes.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct ClassRate {
    /// The class; 0 when the place is empty.
    pub class: ClassTag,
    /// Requests admitted per second, over all entries.
    pub admitted_per_second: u32,
    /// The part of its requests that an entry should send, in thousandths.
    pub admitted_permille: u16,
}

/// An owner's load, small enough to ride on every answer.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct OwnerLoad {
    /// Requests that run.
    pub running: u32,
    /// Requests that wait.
    pub waiting: u32,
    /// The part of recent requests that the upstream failed, in thousandths.
    pub failing_permille: u16,
    /// Requests that may run at once.
    pub limit: u16,
    /// What the owner takes of each class.
    pub rates: [ClassRate; MAX_RATES],
}

impl OwnerLoad {
    /// Compares loads: running and waiting requests per thousand of the limit,
    /// and a burden for failing. An upstream that fails at once would seem idle
    /// otherwise; as only the comparison counts, one that fails like all the
    /// others is still used.
    pub fn pressure(&self) -> u64 {
        let busy = u64::from(self.running) + u64::from(self.waiting);
        let failing = u64::from(self.failing_permille) * FAILING_BURDEN;
        busy * 1000 / u64::from(self.limit.max(1)) + failing
    }
}

//! Settings of the owner's side.

use std::time::Duration;

use bon::Builder;

use super::outcome_table::OutcomeBounds;
use crate::base::ids::Incarnation;

/// How long outcomes are kept unless set otherwise.
pub const OUTCOME_MEMORY: Duration = Duration::from_mins(10);
/// How many outcomes are kept unless set otherwise.
pub const OUTCOME_ENTRIES: usize = 200_000;
/// How many bytes of answers are kept unless set otherwise.
pub const OUTCOME_BYTES: usize = 32 * 1024 * 1024;

/// Settings of the owner's side.
#[derive(Debug, Clone)]
#[derive(Builder)]
pub struct OwnerSettings {
    /// This process, which makes order ids unique.
    pub incarnation: Incarnation,
    /// How long outcomes are kept.
    #[builder(default = OUTCOME_MEMORY)]
    pub outcome_memory: Duration,
    /// How many outcomes are kept.
    #[builder(default = OUTCOME_ENTRIES)]
    pub outcome_entries: usize,
    /// How many bytes of answers are kept.
    #[builder(default = OUTCOME_BYTES)]
    pub outcome_bytes: usize,
}

impl OwnerSettings {
    /// Returns the bounds of the outcome table.
    pub fn outcome_bounds(&self) -> OutcomeBounds {
        OutcomeBounds {
            memory: self.outcome_memory,
            entries: self.outcome_entries,
            bytes: self.outcome_bytes,
        }
    }
}

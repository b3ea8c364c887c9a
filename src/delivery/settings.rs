//! Settings of the owner's side.

use std::time::Duration;

use bon::Builder;

use super::outcome_table::OutcomeLimits;
use crate::base::ids::Incarnation;

/// How long outcomes are kept unless set otherwise.
pub const DEFAULT_OUTCOME_RETENTION: Duration = Duration::from_mins(10);
/// How many outcomes are kept unless set otherwise.
pub const DEFAULT_MAX_OUTCOMES: usize = 200_000;
/// How many bytes of answers are kept unless set otherwise.
pub const DEFAULT_MAX_OUTCOME_BYTES: usize = 32 * 1024 * 1024;

/// Settings of the owner's side.
#[derive(Debug, Clone)]
#[derive(Builder)]
pub struct OwnerSettings {
    /// This process, which makes order ids unique.
    pub incarnation: Incarnation,
    /// How long outcomes are kept.
    #[builder(default = DEFAULT_OUTCOME_RETENTION)]
    pub outcome_retention: Duration,
    /// How many outcomes are kept.
    #[builder(default = DEFAULT_MAX_OUTCOMES)]
    pub max_outcomes: usize,
    /// How many bytes of answers are kept.
    #[builder(default = DEFAULT_MAX_OUTCOME_BYTES)]
    pub max_outcome_bytes: usize,
}

impl OwnerSettings {
    /// Returns the limits of the outcome table.
    pub fn outcome_limits(&self) -> OutcomeLimits {
        OutcomeLimits {
            retention: self.outcome_retention,
            max_entries: self.max_outcomes,
            max_bytes: self.max_outcome_bytes,
        }
    }
}

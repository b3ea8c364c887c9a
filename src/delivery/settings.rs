//! Settings of request processing at the owner.

use std::time::Duration;

use bon::Builder;

use super::outcome_table::OutcomeLimits;
use crate::base::ids::Incarnation;

/// Default of [`OwnerSettings::outcome_retention`].
pub const DEFAULT_OUTCOME_RETENTION: Duration = Duration::from_mins(10);
/// Default of [`OwnerSettings::max_outcomes`].
pub const DEFAULT_MAX_OUTCOMES: usize = 200_000;
/// Default of [`OwnerSettings::max_outcome_bytes`].
pub const DEFAULT_MAX_OUTCOME_BYTES: usize = 32 * 1024 * 1024;

/// Settings of request processing at the owner.
#[derive(Debug, Clone)]
#[derive(Builder)]
pub struct OwnerSettings {
    /// Incarnation of this process. It prefixes the ids of dispatches, so that
    /// they are unique over all processes.
    pub incarnation: Incarnation,
    /// How long outcomes are kept; 10 minutes by default.
    #[builder(default = DEFAULT_OUTCOME_RETENTION)]
    pub outcome_retention: Duration,
    /// Maximum number of stored outcomes; 200 000 by default.
    #[builder(default = DEFAULT_MAX_OUTCOMES)]
    pub max_outcomes: usize,
    /// Maximum total size of the stored outcomes, in bytes; 32 MiB by default.
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

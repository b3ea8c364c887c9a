//! The load that an owner reports with each answer.

use serde::Deserialize;
use serde::Serialize;

/// Load of an owner's upstream at one moment.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadReport {
    /// Requests that run.
    pub running: u16,
    /// Requests that wait.
    pub waiting: u32,
    /// Requests that may run at once.
    pub limit: u16,
}

impl LoadReport {
    /// Compares loads: running and waiting requests per thousand of the limit.
    pub fn pressure(&self) -> u64 {
        let busy = u64::from(self.running) + u64::from(self.waiting);
        busy * 1000 / u64::from(self.limit.max(1))
    }
}

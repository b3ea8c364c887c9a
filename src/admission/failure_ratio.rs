//! Smoothed failure ratio of an upstream.
//!
//! Outcomes of requests take precedence over health probes. A probe counts only
//! while there are no recent outcomes. A failed probe sets the ratio to one
//! half, not to 1, so that the upstream still gets requests that show its real
//! state.

use std::time::Duration;

use super::limit::PermitOutcome;

/// Each outcome has a weight of 1 / 32 in the smoothed ratio.
const OUTCOME_SAMPLE_DIVISOR: u32 = 32;
/// A ratio of 1, in the unit of [`FailureRatio`]: millionths.
const FULL_RATIO_PPM: u32 = 1_000_000;
/// Millionths per thousandth.
const PPM_PER_PERMILLE: u32 = 1_000;
/// Probes are ignored for this long after an outcome.
const OUTCOME_PRECEDENCE: Duration = Duration::from_secs(2);

/// Smoothed ratio of the failed and lost requests of an upstream to all that it
/// may have run. Times are since an arbitrary start.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct FailureRatio {
    ratio_ppm: u32,
    last_outcome: Option<Duration>,
}

impl FailureRatio {
    /// Returns the ratio in thousandths, from 0 to 1000.
    pub fn permille(&self) -> u16 {
        (self.ratio_ppm / PPM_PER_PERMILLE) as u16
    }

    /// Records the outcome of a request. Requests that the upstream did not run
    /// do not count.
    pub fn record(&mut self, now: Duration, outcome: PermitOutcome) {
        let sample = match outcome {
            PermitOutcome::Answered => 0,
            PermitOutcome::Failed | PermitOutcome::Lost => FULL_RATIO_PPM,
            PermitOutcome::Shed | PermitOutcome::Unused => return,
        };
        self.last_outcome = Some(now);
        self.ratio_ppm =
            (self.ratio_ppm * (OUTCOME_SAMPLE_DIVISOR - 1) + sample) / OUTCOME_SAMPLE_DIVISOR;
    }

    /// Records the result of a health probe, unless there was an outcome within
    /// the last 2 s.
    pub fn record_probe(&mut self, now: Duration, healthy: bool) {
        let outranked = self
            .last_outcome
            .is_some_and(|last| now < last + OUTCOME_PRECEDENCE);
        if outranked {
            return;
        }
        self.ratio_ppm = if healthy { 0 } else { FULL_RATIO_PPM / 2 };
    }

    /// Resets the ratio to 0, for an upstream that is gone.
    pub fn reset(&mut self) {
        *self = Self::default();
    }
}

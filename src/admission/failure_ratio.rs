//! What part of an upstream's requests fails.
//!
//! Outcomes outrank probes: a probe counts only while there are no recent
//! outcomes, and then makes an upstream seem half failing at most, so that it
//! still gets requests that show the truth.

use std::time::Duration;

use super::limit::PermitOutcome;

/// A new outcome moves the failing part by one part in so many.
const VERDICT_WEIGHT: u32 = 32;
/// The failing part is kept in millionths.
const WHOLE: u32 = 1_000_000;
/// Millionths in a thousandth.
const PERMILLE: u32 = 1_000;
/// A probe does not count for so long after an outcome.
const OUTCOME_MEMORY: Duration = Duration::from_secs(2);

/// What part of an upstream's requests fails.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct FailureRatio {
    part: u32,
    last_outcome: Option<Duration>,
}

impl FailureRatio {
    /// Returns the part in thousandths.
    pub fn permille(&self) -> u16 {
        (self.part / PERMILLE) as u16
    }

    /// Learns from how a request left its slot.
    pub fn record(&mut self, now: Duration, outcome: PermitOutcome) {
        let sample = match outcome {
            PermitOutcome::Answered => 0,
            PermitOutcome::Failed | PermitOutcome::Lost => WHOLE,
            PermitOutcome::Shed | PermitOutcome::Unused => return,
        };
        self.last_outcome = Some(now);
        self.part = (self.part * (VERDICT_WEIGHT - 1) + sample) / VERDICT_WEIGHT;
    }

    /// Takes a probe's word, if no outcome says better.
    pub fn record_probe(&mut self, now: Duration, healthy: bool) {
        let outranked = self
            .last_outcome
            .is_some_and(|last| now < last + OUTCOME_MEMORY);
        if outranked {
            return;
        }
        self.part = if healthy { 0 } else { WHOLE / 2 };
    }

    /// Forgets an upstream that has left.
    pub fn reset(&mut self) {
        *self = Self::default();
    }
}

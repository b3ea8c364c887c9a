//! Measures the rate at which an owner admits a class, and from it the fraction
//! of the class's requests that entries should send.

use std::time::Duration;

use super::load::ClassRate;
use super::load::ClassTag;
use super::load::FULL_PERMILLE;

/// Arrivals to aim for, relative to the admitted requests: above 1000, so that
/// the owner keeps seeing excess demand.
const TARGET_ARRIVALS_PERMILLE: u64 = 1200;
/// Growth of the fraction after a window without refusals: a factor of 1.25.
const GROWTH_PERMILLE: u64 = 1250;
/// Increase of the fraction, in thousandths, on top of that factor.
const GROWTH_STEP_PERMILLE: u64 = 25;
/// Smallest fraction of requests that entries are told to send.
const MIN_PERMILLE: u64 = 5;

/// Measures the admitted rate of one class, window by window.
#[derive(Debug, Clone, Copy)]
pub struct RateMeter {
    class: ClassTag,
    offered: u32,
    started: u32,
    refused: u32,
    /// Fraction of the requests that entries are told to send, in thousandths.
    permille: u64,
}

impl RateMeter {
    /// Creates a meter that starts by admitting every request.
    pub fn new(class: ClassTag) -> Self {
        Self {
            class,
            offered: 0,
            started: 0,
            refused: 0,
            permille: u64::from(FULL_PERMILLE),
        }
    }

    /// Returns the class that is measured.
    pub fn class(&self) -> ClassTag {
        self.class
    }

    /// Counts a request that arrived.
    pub fn count_offered(&mut self) {
        self.offered += 1;
    }

    /// Counts a request that started.
    pub fn count_started(&mut self) {
        self.started += 1;
    }

    /// Counts a request that was refused for lack of capacity.
    pub fn count_refused(&mut self) {
        self.refused += 1;
    }

    /// Ends a measuring window of the given length, returns its result and
    /// starts the next one.
    pub fn end_window(&mut self, window: Duration) -> ClassRate {
        self.permille = self.next_permille();
        let per_second = f64::from(self.started) / window.as_secs_f64().max(1e-3);
        self.offered = 0;
        self.started = 0;
        self.refused = 0;
        ClassRate {
            class: self.class,
            admitted_per_second: per_second as u32,
            admitted_permille: self.permille as u16,
        }
    }

    /// Returns the fraction for the next window, which moves the arrivals
    /// towards [`TARGET_ARRIVALS_PERMILLE`] of the started requests. Under a
    /// steady overload it converges: the same ratio of arrivals to starts gives
    /// the same fraction again.
    fn next_permille(&self) -> u64 {
        let full = u64::from(FULL_PERMILLE);
        if self.refused == 0 {
            let grown = self.permille * GROWTH_PERMILLE / full + GROWTH_STEP_PERMILLE;
            return grown.min(full);
        }
        let wanted = u64::from(self.started + 1) * TARGET_ARRIVALS_PERMILLE / full;
        let scaled = self.permille * wanted / u64::from(self.offered.max(1));
        scaled.clamp(MIN_PERMILLE, full)
    }
}

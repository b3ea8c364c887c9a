//! Measures how much of a class an owner takes, for the entries to know.

use std::time::Duration;

use super::load::ClassRate;
use super::load::ClassTag;
use super::load::FULL_PERMILLE;

/// Entries are let send so much more than is admitted, in thousandths, so that
/// the owner keeps seeing the demand.
const HEADROOM_PERMILLE: u64 = 1200;
/// The part of requests let through grows by this factor, in thousandths, in a
/// window without refusals.
const GROWTH_PERMILLE: u64 = 1250;
/// The part of requests let through also grows by so much in such a window.
const GROWTH_STEP: u64 = 25;
/// The smallest part of requests that is let through, in thousandths.
const MIN_PERMILLE: u64 = 5;

/// Measures how much of a class an owner takes.
#[derive(Debug, Clone, Copy)]
pub struct RateMeter {
    class: ClassTag,
    offered: u32,
    started: u32,
    refused: u32,
    permille: u64,
}

impl RateMeter {
    /// Creates the meter of a class.
    pub fn new(class: ClassTag) -> Self {
        Self {
            class,
            offered: 0,
            started: 0,
            refused: 0,
            permille: u64::from(FULL_PERMILLE),
        }
    }

    /// Returns the class.
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

    /// Ends a window and returns what it showed.
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

    /// Steers the arrivals towards the admitted requests plus headroom. Under
    /// a steady flood it stays put: arrivals in the same proportion to what is
    /// started give the same part again.
    fn next_permille(&self) -> u64 {
        let full = u64::from(FULL_PERMILLE);
        if self.refused == 0 {
            let grown = self.permille * GROWTH_PERMILLE / full + GROWTH_STEP;
            return grown.min(full);
        }
        let wanted = u64::from(self.started + 1) * HEADROOM_PERMILLE / full;
        let scaled = self.permille * wanted / u64::from(self.offered.max(1));
        scaled.clamp(MIN_PERMILLE, full)
    }
}

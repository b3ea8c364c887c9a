//! Scheduling state of one priority class.

use std::time::Duration;

use crate::declarations::ClassDeclaration;

/// Slot time: for how long one slot is held, in microseconds.
pub type SlotMicros = u64;

/// Cost of a request until the first one of its class has finished.
const INITIAL_COST: SlotMicros = 5_000;
/// Each sample has a weight of 1 / 16 in the smoothed cost.
const COST_SAMPLE_DIVISOR: SlotMicros = 16;
/// Maximum credit of a class, in percent of the cost of one request.
const MAX_CREDIT_PERCENT: u64 = 200;
/// Credit from which a class goes before its rank: the cost of one request.
const FULL_CREDIT_PERCENT: u64 = 100;

/// Sort key of the classes that could start a request; the smallest goes first.
pub type DispatchPriority = (u64, u8, u32);

/// Scheduling state of one priority class.
#[derive(Debug, Clone)]
pub struct ClassState {
    /// The operator's declaration of the class.
    pub declaration: ClassDeclaration,
    /// Number of running requests.
    pub running: u32,
    /// Smoothed slot time of one request; at least 1.
    pub cost: SlotMicros,
    /// Whether `cost` comes from samples.
    has_samples: bool,
    /// Slot time by which the class is behind its share, in hundredths of a
    /// microsecond.
    credit: u64,
}

impl ClassState {
    /// Creates the state of a class with no running requests and no samples.
    pub fn new(declaration: ClassDeclaration) -> Self {
        Self {
            declaration,
            running: 0,
            cost: INITIAL_COST,
            has_samples: false,
            credit: 0,
        }
    }

    /// Returns whether the class has no deadline, so that its requests may wait
    /// indefinitely.
    pub fn may_wait(&self) -> bool {
        self.declaration.deadline.is_zero()
    }

    /// Returns the key that classes are listed by: rank, then name.
    pub fn order(&self) -> (u8, &str) {
        (self.declaration.rank, &self.declaration.name)
    }

    /// Returns the key that decides which class starts a request next. Classes
    /// with credit for a whole request go first, the most credit first. Then
    /// rank decides, and within a rank the class with the fewest running
    /// requests goes first.
    pub fn dispatch_priority(&self) -> DispatchPriority {
        let credit_percent = self.credit / self.cost;
        let first = if credit_percent >= FULL_CREDIT_PERCENT {
            MAX_CREDIT_PERCENT - credit_percent
        } else {
            u64::MAX
        };
        (first, self.declaration.rank, self.running)
    }

    /// Returns the number of its reserved slots that are not in use.
    pub fn unused_reserve(&self) -> u32 {
        u32::from(self.declaration.reserve_slots).saturating_sub(self.running)
    }

    /// Adds credit for the class's share of `cost`, the slot time that a
    /// request of any class is about to use.
    pub fn accrue_credit(&mut self, cost: SlotMicros) {
        let earned = cost.saturating_mul(u64::from(self.declaration.share_percent));
        let bound = self.cost.saturating_mul(MAX_CREDIT_PERCENT);
        self.credit = self.credit.saturating_add(earned).min(bound);
    }

    /// Subtracts the slot time that a request of this class is about to use.
    pub fn charge(&mut self, cost: SlotMicros) {
        self.credit = self
            .credit
            .saturating_sub(cost.saturating_mul(FULL_CREDIT_PERCENT));
    }

    /// Updates the smoothed cost with the time that a request held its slot.
    pub fn record_hold_time(&mut self, held: Duration) {
        let sample = (held.as_micros() as SlotMicros).max(1);
        if self.has_samples {
            let weighted = self.cost.saturating_mul(COST_SAMPLE_DIVISOR - 1);
            self.cost = (weighted.saturating_add(sample) / COST_SAMPLE_DIVISOR).max(1);
        } else {
            self.cost = sample;
            self.has_samples = true;
        }
        self.credit = self
            .credit
            .min(self.cost.saturating_mul(MAX_CREDIT_PERCENT));
    }

    /// Copies the counters and estimates from the state before a change of the
    /// declaration.
    pub fn carry_over(&mut self, former: &Self) {
        self.running = former.running;
        self.cost = former.cost;
        self.has_samples = former.has_samples;
        self.credit = former.credit;
    }
}

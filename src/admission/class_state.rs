//! What the scheduler knows about one priority class.

use std::time::Duration;

use crate::declarations::ClassDeclaration;

/// Time that one slot is held, in microseconds.
pub type SlotMicros = u64;

/// Cost of a request before the first one of its class has ended.
const INITIAL_COST: SlotMicros = 5_000;
/// A new sample moves the cost by one part in so many.
const COST_WEIGHT: SlotMicros = 16;
/// A class may be owed so many requests, in hundredths.
const MAX_OWED: u64 = 200;
/// A class that is owed so many requests, in hundredths, goes first.
const OWED_TURN: u64 = 100;

/// Orders the classes that could start a request: smaller goes first.
pub type DispatchPriority = (u64, u8, u32);

/// What the scheduler knows about one priority class.
#[derive(Debug, Clone)]
pub struct ClassState {
    /// What was declared.
    pub declaration: ClassDeclaration,
    /// Requests that run.
    pub running: u32,
    /// Smoothed slot time of a request.
    pub cost: SlotMicros,
    /// Whether a request's cost has been seen.
    learned: bool,
    /// Slot time that the class is owed by its share, in hundredths.
    owed: u64,
}

impl ClassState {
    /// Creates a class of which nothing runs.
    pub fn new(declaration: ClassDeclaration) -> Self {
        Self {
            declaration,
            running: 0,
            cost: INITIAL_COST,
            learned: false,
            owed: 0,
        }
    }

    /// Tells whether its requests may wait without a deadline.
    pub fn may_wait(&self) -> bool {
        self.declaration.deadline.is_zero()
    }

    /// Returns what classes are sorted by.
    pub fn order(&self) -> (u8, &str) {
        (self.declaration.rank, &self.declaration.name)
    }

    /// Returns the turn: classes that are owed a request go first, the one
    /// that is owed most before the others; then strictly by rank, and evenly
    /// inside a rank.
    pub fn dispatch_priority(&self) -> DispatchPriority {
        let owed = self.owed / self.cost;
        let first = if owed >= OWED_TURN {
            MAX_OWED - owed
        } else {
            u64::MAX
        };
        (first, self.declaration.rank, self.running)
    }

    /// Returns how many of its reserved slots are not in use.
    pub fn unused_reserve(&self) -> u32 {
        u32::from(self.declaration.reserve).saturating_sub(self.running)
    }

    /// Adds its share of the slot time that some class is about to use.
    pub fn accrue_credit(&mut self, cost: SlotMicros) {
        let earned = cost.saturating_mul(u64::from(self.declaration.share));
        let bound = self.cost.saturating_mul(MAX_OWED);
        self.owed = self.owed.saturating_add(earned).min(bound);
    }

    /// Takes off the slot time that it is about to use.
    pub fn charge(&mut self, cost: SlotMicros) {
        self.owed = self.owed.saturating_sub(cost.saturating_mul(OWED_TURN));
    }

    /// Learns how long a request held its slot.
    pub fn record_hold_time(&mut self, held: Duration) {
        let sample = (held.as_micros() as SlotMicros).max(1);
        if self.learned {
            let weighted = self.cost.saturating_mul(COST_WEIGHT - 1);
            self.cost = (weighted.saturating_add(sample) / COST_WEIGHT).max(1);
        } else {
            self.cost = sample;
            self.learned = true;
        }
        self.owed = self.owed.min(self.cost.saturating_mul(MAX_OWED));
    }

    /// Takes over what is known from before its declaration changed.
    pub fn carry_over(&mut self, former: &Self) {
        self.running = former.running;
        self.cost = former.cost;
        self.learned = former.learned;
        self.owed = former.owed;
    }
}

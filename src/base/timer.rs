//! The timer service: parts subscribe to ticks in place of sleeping.
//!
//! A tick tells how late it came. A large delay means that the process was
//! paused, and the subscriber decides what it may still rely on.

use std::time::Duration;

use tokio::time::Instant;
use tokio::time::Interval;
use tokio::time::MissedTickBehavior;
use tokio::time::interval;

/// One tick of a subscription.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TimerTick {
    /// When the tick was delivered.
    pub now: Instant,
    /// How long after the previous tick this one came.
    pub since_last: Duration,
}

/// Hands out subscriptions to periodic ticks.
#[derive(Debug, Clone, Copy, Default)]
pub struct TimerService;

impl TimerService {
    /// Subscribes to ticks that come every `period`.
    pub fn subscribe(self, period: Duration) -> TickSubscription {
        let mut ticks = interval(period);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        TickSubscription {
            interval: ticks,
            last: Instant::now(),
        }
    }
}

/// A subscription to periodic ticks.
#[derive(Debug)]
pub struct TickSubscription {
    interval: Interval,
    last: Instant,
}

impl TickSubscription {
    /// Waits for the next tick.
    pub async fn next(&mut self) -> TimerTick {
        self.interval.tick().await;
        let now = Instant::now();
        let since_last = now.duration_since(self.last);
        self.last = now;
        TimerTick { now, since_last }
    }
}

//! Periodic ticks, used by components instead of sleeping.
//!
//! A tick carries the time since the previous one. A large gap means that the
//! process was paused, and the subscriber decides what it may still rely on.

use std::time::Duration;

use tokio::time::Instant;
use tokio::time::Interval;
use tokio::time::MissedTickBehavior;
use tokio::time::interval;

/// A tick of a subscription.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TimerTick {
    /// When the tick was delivered.
    pub now: Instant,
    /// Time since the previous tick, or since the subscription for the first one.
    pub since_last: Duration,
}

/// Creates subscriptions to periodic ticks.
#[derive(Debug, Clone, Copy, Default)]
pub struct TimerService;

impl TimerService {
    /// Subscribes to ticks every `period`. The first tick comes at once; a late
    /// tick delays those after it instead of being made up for.
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
    /// Waits for the next tick. Cancel safe: no tick is lost.
    pub async fn next(&mut self) -> TimerTick {
        self.interval.tick().await;
        let now = Instant::now();
        let since_last = now.duration_since(self.last);
        self.last = now;
        TimerTick { now, since_last }
    }
}

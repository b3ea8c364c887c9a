//! Spaces out the starts of requests at an upstream that limits their rate.

use std::time::Duration;

use crate::upstream::condition::RequestRate;

/// Starts that a limit would spread over this time may happen at once, so that
/// requests that arrive unevenly do not wait without need.
const BURST_TIME: Duration = Duration::from_millis(250);

/// Longest interval between starts, however low the limit. Only a response shows
/// that a limit has ended, so an upstream gets a request from time to time.
const MAX_INTERVAL: Duration = Duration::from_secs(2);

/// Decides when the next request may start under a limit on their rate.
#[derive(Debug, Default)]
pub struct StartPacer {
    /// Mean interval between starts; zero without a limit.
    interval: Duration,
    /// When the next request would start if starts were spaced evenly.
    due: Duration,
}

impl StartPacer {
    /// Sets the limit; `None` for no limit.
    pub fn set_limit(&mut self, limit: Option<RequestRate>) {
        let interval = |limit: RequestRate| {
            let seconds = limit.per_second().recip();
            Duration::try_from_secs_f64(seconds).map_or(MAX_INTERVAL, |time| time.min(MAX_INTERVAL))
        };
        self.interval = limit.map_or(Duration::ZERO, interval);
    }

    /// Returns the mean interval between starts; zero without a limit.
    pub fn interval(&self) -> Duration {
        self.interval
    }

    /// Records that a request started at `now`.
    pub fn record_start(&mut self, now: Duration) {
        self.due = self.next_due(now) + self.interval;
    }

    /// Returns how long after `now` a request may start, after `ahead` others.
    pub fn wait(&self, now: Duration, ahead: u32) -> Duration {
        let due = self.next_due(now) + self.interval * ahead;
        due.saturating_sub(BURST_TIME).saturating_sub(now)
    }

    /// Returns when the next start is due. A limit that has been raised is not held
    /// up by starts under the lower one.
    fn next_due(&self, now: Duration) -> Duration {
        self.due.clamp(now, now + BURST_TIME + self.interval)
    }
}

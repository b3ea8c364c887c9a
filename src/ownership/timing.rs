//! The time limits of leases, and the clocks that they are counted on.

use std::time::Duration;

const RENEW_INTERVAL: Duration = Duration::from_millis(200);
const LEASE: Duration = Duration::from_millis(700);
const DRIFT_MARGIN: Duration = Duration::from_millis(50);
const TICK_GAP_LIMIT: Duration = Duration::from_millis(250);
const RESEND_INTERVAL: Duration = Duration::from_millis(200);
const RESEND_LIMIT: Duration = Duration::from_millis(3_200);

/// The time limits of leases.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
#[derive(bon::Builder)]
pub struct LeaseTiming {
    /// Time between two renewals of a holder.
    #[builder(default = RENEW_INTERVAL)]
    pub renew_interval: Duration,
    /// How long a witness keeps a promise, from receipt of the renewal.
    #[builder(default = LEASE)]
    pub lease: Duration,
    /// By how much less the holder relies on a promise, for clocks that run
    /// at different speeds.
    #[builder(default = DRIFT_MARGIN)]
    pub drift_margin: Duration,
    /// A longer time between two ticks means that the process was paused.
    #[builder(default = TICK_GAP_LIMIT)]
    pub max_tick_gap: Duration,
    /// Time after which a statement is first sent again.
    #[builder(default = RESEND_INTERVAL)]
    pub resend_interval: Duration,
    /// The longest time between two sendings of a statement.
    #[builder(default = RESEND_LIMIT)]
    pub max_resend_interval: Duration,
}

impl Default for LeaseTiming {
    fn default() -> Self {
        Self::builder().build()
    }
}

impl LeaseTiming {
    /// Returns how long a holder relies on a promise, from sending the
    /// renewal.
    pub fn holder_lease(&self) -> Duration {
        self.lease.saturating_sub(self.drift_margin)
    }

    /// Returns how long a witness waits for the first renewal of a holder
    /// that it starts to watch.
    pub fn first_renewal_timeout(&self) -> Duration {
        self.lease + self.drift_margin
    }
}

/// One reading of a process's clocks.
///
/// A monotonic clock may stand still while a VM is suspended, and a wall clock
/// may be set. A holder takes the larger elapsed time of the two.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash)]
pub struct ClockReading {
    /// Time since an arbitrary start, by the monotonic clock.
    pub monotonic: Duration,
    /// Time since the Unix epoch, by the wall clock.
    pub wall: Duration,
}

impl ClockReading {
    /// Returns the larger of the times elapsed on the two clocks.
    pub fn elapsed_since(&self, earlier: &Self) -> Duration {
        let monotonic = self.monotonic.saturating_sub(earlier.monotonic);
        let wall = self.wall.saturating_sub(earlier.wall);
        monotonic.max(wall)
    }
}

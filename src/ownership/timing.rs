//! Time limits of leases, and the clock readings they are measured with.

use std::time::Duration;

const RENEW_INTERVAL: Duration = Duration::from_millis(200);
const LEASE: Duration = Duration::from_millis(700);
const DRIFT_MARGIN: Duration = Duration::from_millis(50);
const TICK_GAP_LIMIT: Duration = Duration::from_millis(250);
const RESEND_INTERVAL: Duration = Duration::from_millis(200);
const RESEND_LIMIT: Duration = Duration::from_millis(3_200);

/// Time limits of leases. A holder assumes that its witnesses use the same
/// values.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
#[derive(bon::Builder)]
pub struct LeaseTiming {
    /// Time between two renewal rounds of a holder; 200 ms by default.
    #[builder(default = RENEW_INTERVAL)]
    pub renew_interval: Duration,
    /// How long a promise binds a witness, from receipt of the renewal; 700 ms
    /// by default.
    #[builder(default = LEASE)]
    pub lease: Duration,
    /// How much earlier than `lease` a holder stops relying on a promise, to
    /// tolerate clocks that run at different rates; 50 ms by default.
    #[builder(default = DRIFT_MARGIN)]
    pub drift_margin: Duration,
    /// Time between two ticks above which the process counts as having been
    /// paused; 250 ms by default.
    #[builder(default = TICK_GAP_LIMIT)]
    pub max_tick_gap: Duration,
    /// Time before a lapse statement or a resignation is first sent again;
    /// doubles with each repetition. 200 ms by default.
    #[builder(default = RESEND_INTERVAL)]
    pub resend_interval: Duration,
    /// Upper bound of the doubled resend interval; 3.2 s by default.
    #[builder(default = RESEND_LIMIT)]
    pub max_resend_interval: Duration,
}

impl Default for LeaseTiming {
    fn default() -> Self {
        Self::builder().build()
    }
}

impl LeaseTiming {
    /// Returns how long a holder relies on a promise, from sending the renewal:
    /// `lease` less `drift_margin`.
    pub fn holder_lease(&self) -> Duration {
        self.lease.saturating_sub(self.drift_margin)
    }

    /// Returns how long a witness waits for the first renewal of a holder that
    /// it starts to watch: `lease` plus `drift_margin`.
    pub fn first_renewal_timeout(&self) -> Duration {
        self.lease + self.drift_margin
    }
}

/// One reading of a process's monotonic clock and wall clock.
///
/// A monotonic clock may stop while a VM is suspended, and a wall clock may be
/// set. A holder therefore uses the larger elapsed time of the two.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash)]
pub struct ClockReading {
    /// Time on the monotonic clock since an arbitrary origin.
    pub monotonic: Duration,
    /// Time on the wall clock since the Unix epoch.
    pub wall: Duration,
}

impl ClockReading {
    /// Returns the larger of the times elapsed on the two clocks since
    /// `earlier`; zero if both went backwards.
    pub fn elapsed_since(&self, earlier: &Self) -> Duration {
        let monotonic = self.monotonic.saturating_sub(earlier.monotonic);
        let wall = self.wall.saturating_sub(earlier.wall);
        monotonic.max(wall)
    }
}

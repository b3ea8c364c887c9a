//! The pace of the local upstream.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use crate::base::boot_clock::since_boot;
use crate::upstream::condition::WorkPace;
use crate::upstream::work_pace::PaceTracker;

/// A request that the upstream has served.
#[derive(Debug, Clone, Copy)]
pub struct ServedRequest<'a> {
    /// Number of the upstream process that served it.
    pub process_number: u64,
    /// Its kind; requests of a kind take about the same time.
    pub kind: &'a str,
    /// Its service time.
    pub held: Duration,
    /// What [`UpstreamPace::stated`] was when it started.
    pub pace_before: f64,
}

/// The pace that the local upstream states, and whether it can be relied on. Clones
/// share state.
#[derive(Debug, Clone, Default)]
pub struct UpstreamPace {
    shared: Arc<Mutex<ProcessPace>>,
}

/// The pace that one upstream process states.
#[derive(Debug, Default)]
struct ProcessPace {
    process_number: u64,
    tracker: PaceTracker,
}

impl UpstreamPace {
    /// Returns the pace that the upstream states, as a factor on the usual service time,
    /// whether it counts or not; 1 if it states none.
    pub fn stated(&self) -> f64 {
        self.lock().tracker.stated(since_boot())
    }

    /// Returns the pace to count with; the usual one unless the upstream states its pace
    /// and that predicts the measured service times.
    pub fn current(&self) -> WorkPace {
        self.lock().tracker.pace(since_boot())
    }

    /// Records a request that was served, and the pace that its response stated.
    pub fn record(&self, request: ServedRequest<'_>, pace: WorkPace) {
        let mut shared = self.lock();
        if shared.process_number != request.process_number {
            *shared = ProcessPace {
                process_number: request.process_number,
                ..ProcessPace::default()
            };
        }
        let now = since_boot();
        shared.tracker.state(now, pace);
        let mean = f64::midpoint(request.pace_before, shared.tracker.stated(now));
        shared.tracker.measure(request.kind, request.held, mean);
    }

    fn lock(&self) -> MutexGuard<'_, ProcessPace> {
        self.shared.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

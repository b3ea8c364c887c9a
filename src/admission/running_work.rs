//! The requests that hold the slots of one upstream, and how long they still do.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::Duration;

use super::deadline_queue::QueueTicket;
use super::request_cost::CostModel;
use super::request_cost::RequestShape;
use super::request_kinds::KindIndex;

/// Range of the factor by which work is taken to be slower than usual, against
/// false statements of an upstream.
const PACE_RANGE: (f64, f64) = (0.1, 10.0);

/// A request that holds a slot.
#[derive(Debug, Clone, Copy)]
pub struct RunningRequest {
    /// Its ticket from the queue.
    pub ticket: QueueTicket,
    /// Its kind.
    pub kind: KindIndex,
    /// What else may tell its cost.
    pub shape: RequestShape,
    /// Its usual cost at the usual pace.
    pub usual: Duration,
    /// When it started.
    pub started: Duration,
    /// When it is broken off at the latest, and its slot is free.
    pub deadline: Duration,
}

/// Progress of a running request.
#[derive(Debug, Clone, Copy)]
struct RequestProgress {
    request: RunningRequest,
    /// Slot time that it had used at `since`, at the usual pace.
    used: Duration,
    since: Duration,
}

/// The running requests and the pace at which they run.
#[derive(Debug)]
pub struct RunningWork {
    running: Vec<RequestProgress>,
    /// Factor by which work takes longer than usual.
    pace: f64,
}

impl RunningWork {
    /// Creates the work of an idle upstream at its usual pace.
    pub fn new() -> Self {
        Self {
            running: Vec::new(),
            pace: 1.0,
        }
    }

    /// Returns the number of running requests.
    pub fn count(&self) -> u32 {
        self.running.len() as u32
    }

    /// Returns the number of running requests of a kind.
    pub fn count_of(&self, kind: KindIndex) -> u32 {
        let running = self.running.iter();
        running
            .filter(|progress| progress.request.kind == kind)
            .count() as u32
    }

    /// Sets the factor by which work takes longer than usual from `now` on.
    pub fn set_pace(&mut self, now: Duration, pace: f64) {
        for progress in &mut self.running {
            progress.used = progress.used_at(now, self.pace);
            progress.since = now;
        }
        self.pace = pace.clamp(PACE_RANGE.0, PACE_RANGE.1);
    }

    /// Returns how long work takes now that usually takes `usual`.
    pub fn at_pace(&self, usual: Duration) -> Duration {
        usual.mul_f64(self.pace)
    }

    /// Adds a request that starts.
    pub fn start(&mut self, request: RunningRequest) {
        self.running.push(RequestProgress {
            request,
            used: Duration::ZERO,
            since: request.started,
        });
    }

    /// Removes a request that ends after `held`, and returns it with the slot time
    /// that it has used at the usual pace; `None` if it is not running.
    pub fn end(
        &mut self,
        ticket: QueueTicket,
        held: Duration,
    ) -> Option<(RunningRequest, Duration)> {
        let mut running = self.running.iter();
        let index = running.position(|progress| progress.request.ticket == ticket)?;
        let progress = self.running.swap_remove(index);
        let end = progress.request.started + held;
        Some((progress.request, progress.used_at(end, self.pace)))
    }

    /// Returns for each running request how long it is expected to hold its slot
    /// from `now` on.
    pub fn remaining<'a>(
        &'a self,
        now: Duration,
        costs: &'a CostModel,
    ) -> impl Iterator<Item = Duration> + 'a {
        self.running.iter().map(move |progress| {
            let used = progress.used_at(now, self.pace);
            let request = progress.request;
            let expected = costs.remaining(request.kind, request.usual, used);
            let left = request.deadline.saturating_sub(now);
            self.at_pace(expected).min(left)
        })
    }
}

impl Default for RunningWork {
    fn default() -> Self {
        Self::new()
    }
}

impl RequestProgress {
    fn used_at(&self, now: Duration, pace: f64) -> Duration {
        self.used + now.saturating_sub(self.since).div_f64(pace)
    }
}

/// When the slots of an upstream become free, as a sequence of requests takes
/// them in turn.
#[derive(Debug)]
pub struct SlotSchedule {
    free_after: BinaryHeap<Reverse<Duration>>,
}

impl SlotSchedule {
    /// Creates the schedule of `slots` slots whose running requests hold them for
    /// `remaining`. If more requests run than there are slots, the first to end make
    /// no room.
    pub fn new(slots: u32, remaining: impl Iterator<Item = Duration>) -> Self {
        let mut ends: Vec<Duration> = remaining.collect();
        ends.sort_unstable_by(|left, right| right.cmp(left));
        ends.resize(slots as usize, Duration::ZERO);
        Self {
            free_after: ends.into_iter().map(Reverse).collect(),
        }
    }

    /// Returns the time after which a slot is free; zero without slots.
    pub fn next_free(&self) -> Duration {
        self.free_after
            .peek()
            .map_or(Duration::ZERO, |first| first.0)
    }

    /// Takes the slot that is free first, for `time`.
    pub fn take(&mut self, time: Duration) {
        if let Some(mut first) = self.free_after.peek_mut() {
            first.0 += time;
        }
    }
}

//! The slots of one upstream, handed out by a [`DeadlineQueue`].
//!
//! The queue's decisions take microseconds and never wait, so a lock around
//! them is cheaper than an actor's mailbox, and it lets a slot that is given
//! back start the next request at once.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use tokio::sync::oneshot;
use tokio::time::Instant;

use super::deadline_queue::DeadlineQueue;
use super::deadline_queue::KindIndex;
use super::deadline_queue::QueueRefusal;
use super::deadline_queue::QueueTicket;
use super::deadline_queue::QueuedRequest;
use crate::base::error::ErrorKind;

/// A new sample moves the utilization and the rate by this part: at twenty
/// samples a second they follow the last second or so.
const METER_WEIGHT: f32 = 0.1;

/// A new verdict moves the failing part by this part.
const FAILING_WEIGHT: f32 = 1.0 / 24.0;

/// What a request asks a slot for.
#[derive(Debug, Clone, Copy)]
pub struct SlotDemand<'a> {
    /// Names requests that hold a slot about equally long.
    pub kind: &'a str,
    /// Their rank; 0 is the most urgent.
    pub rank: u8,
    /// When its answer is due to be worth most.
    pub target: Instant,
    /// When its answer is worth nothing any more.
    pub deadline: Instant,
}

/// How a request left its slot.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SlotOutcome {
    /// It was answered.
    Answered,
    /// It failed, or the upstream took it without answering.
    Failed,
    /// The upstream did not run it.
    NotRun,
    /// Nobody waits for it any more.
    Abandoned,
}

/// Load of a queue and its upstream.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct SlotGauge {
    /// Requests that may run at once.
    pub slots: u32,
    /// Requests that run.
    pub running: u32,
    /// Requests that wait.
    pub waiting: u32,
    /// Smoothed time for which a request holds a slot.
    pub service: Duration,
    /// Smoothed slots in use and requests waiting, over the slots; or the work
    /// that is asked for, where that is more since much of it is refused.
    pub utilization: f32,
    /// Smoothed requests a second.
    pub rate: f32,
    /// Smoothed part of the requests that fail or that are not run, 0 to 1.
    pub failure_ratio: f32,
}

type SlotReply = oneshot::Sender<Result<SlotGuard, QueueRefusal>>;

#[derive(Debug, Default)]
struct QueueState {
    queue: DeadlineQueue<SlotReply>,
    arrivals: u32,
    utilization: f32,
    rate: f32,
    failure_ratio: f32,
}

/// Hands out the slots of one upstream. Cloning shares it.
#[derive(Debug, Clone)]
pub struct SlotQueue {
    state: Arc<Mutex<QueueState>>,
    start: Instant,
}

impl SlotQueue {
    /// Creates a queue without slots.
    pub fn new() -> Self {
        Self {
            state: Arc::default(),
            start: Instant::now(),
        }
    }

    /// Sets how many requests may run at once.
    pub fn set_slots(&self, slots: u32) {
        self.lock().queue.set_slots(slots);
        self.start_waiting();
    }

    /// Waits for a slot.
    ///
    /// # Errors
    ///
    /// Returns why there is none; the request has not run.
    pub async fn acquire(&self, demand: SlotDemand<'_>) -> Result<SlotGuard, QueueRefusal> {
        let (reply, answer) = oneshot::channel();
        let offered = {
            let mut state = self.lock();
            state.arrivals += 1;
            let request = QueuedRequest {
                kind: state.queue.register_kind(demand.kind, demand.rank),
                target: self.since_start(demand.target),
                deadline: self.since_start(demand.deadline),
            };
            state.queue.offer(self.start.elapsed(), request, reply)
        };
        let ticket = offered.map_err(|(_reply, refusal)| refusal)?;
        self.start_waiting();
        let mut guard = TicketGuard {
            queue: self,
            ticket: Some(ticket),
        };
        let result = answer.await.unwrap_or(Err(QueueRefusal {
            kind: ErrorKind::Draining,
            retry_after: None,
        }));
        guard.ticket = None;
        result
    }

    /// Refuses what can no longer be in time and samples the load; called
    /// every `interval`.
    pub fn tick(&self, interval: Duration) {
        let refused = {
            let mut state = self.lock();
            let busy = state.queue.running() + state.queue.waiting() as u32;
            let slots = state.queue.slots().max(1) as f32;
            let rate = state.arrivals as f32 / interval.as_secs_f32();
            state.queue.sample(interval, METER_WEIGHT);
            let utilization = (busy as f32).max(state.queue.offered()) / slots;
            state.arrivals = 0;
            state.utilization += (utilization - state.utilization) * METER_WEIGHT;
            state.rate += (rate - state.rate) * METER_WEIGHT;
            state.queue.refuse_infeasible(self.start.elapsed())
        };
        reply_refusals(refused);
    }

    /// Refuses everything that waits.
    pub fn refuse_waiting(&self, refusal: QueueRefusal) {
        let refused = self.lock().queue.refuse_all(refusal);
        reply_refusals(refused);
    }

    /// Returns the present load.
    pub fn gauge(&self) -> SlotGauge {
        let state = self.lock();
        SlotGauge {
            slots: state.queue.slots(),
            running: state.queue.running(),
            waiting: state.queue.waiting() as u32,
            service: state.queue.service(),
            utilization: state.utilization,
            rate: state.rate,
            failure_ratio: state.failure_ratio,
        }
    }

    fn start_waiting(&self) {
        loop {
            let Some((kind, reply)) = self.lock().queue.start_next(self.start.elapsed()) else {
                return;
            };
            // A waiter that is gone drops the lease, which gives the slot back.
            drop(reply.send(Ok(SlotGuard {
                queue: self.clone(),
                kind,
                since: Instant::now(),
                outcome: SlotOutcome::Abandoned,
            })));
        }
    }

    fn give_back(&self, kind: KindIndex, held: Duration, outcome: SlotOutcome) {
        let mut state = self.lock();
        let ran = matches!(outcome, SlotOutcome::Answered).then_some(held);
        state.queue.finish(kind, ran);
        let sample = match outcome {
            SlotOutcome::Answered => Some(0.0),
            SlotOutcome::Failed | SlotOutcome::NotRun => Some(1.0),
            SlotOutcome::Abandoned => None,
        };
        if let Some(sample) = sample {
            state.failure_ratio += (sample - state.failure_ratio) * FAILING_WEIGHT;
        }
    }

    fn since_start(&self, instant: Instant) -> Duration {
        instant.saturating_duration_since(self.start)
    }

    fn lock(&self) -> MutexGuard<'_, QueueState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Default for SlotQueue {
    fn default() -> Self {
        Self::new()
    }
}

fn reply_refusals(refused: Vec<(SlotReply, QueueRefusal)>) {
    for (reply, refusal) in refused {
        drop(reply.send(Err(refusal)));
    }
}

/// Takes a request out of the queue when its waiter is gone.
struct TicketGuard<'a> {
    queue: &'a SlotQueue,
    ticket: Option<QueueTicket>,
}

impl Drop for TicketGuard<'_> {
    fn drop(&mut self) {
        if let Some(ticket) = self.ticket {
            self.queue.lock().queue.cancel(ticket);
        }
    }
}

/// The right to occupy one slot; given back when dropped.
#[derive(Debug)]
pub struct SlotGuard {
    queue: SlotQueue,
    kind: KindIndex,
    since: Instant,
    outcome: SlotOutcome,
}

impl SlotGuard {
    /// Gives the slot back.
    pub fn finish(mut self, outcome: SlotOutcome) {
        self.outcome = outcome;
    }
}

impl Drop for SlotGuard {
    fn drop(&mut self) {
        let held = self.since.elapsed();
        self.queue.give_back(self.kind, held, self.outcome);
        self.queue.start_waiting();
    }
}

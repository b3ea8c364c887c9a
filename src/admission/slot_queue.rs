//! Asynchronous access to the slots of one upstream, ordered by a
//! [`DeadlineQueue`].
//!
//! The queue is shared behind a lock. Its decisions take microseconds and never
//! wait, so a lock is cheaper than an actor's mailbox, and a returned slot
//! starts the next request at once.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use tokio::sync::Notify;
use tokio::sync::oneshot;
use tokio::time::Instant;
use tokio::time::sleep;

use super::deadline_queue::DeadlineQueue;
use super::deadline_queue::QueueRefusal;
use super::deadline_queue::QueueTicket;
use super::deadline_queue::QueuedRequest;
use super::deadline_queue::StartedRequest;
use super::load::ClassCost;
use super::load::MAX_COSTS;
use super::request_cost::RequestShape;
use crate::base::error::ErrorKind;
use crate::upstream::condition::RequestRate;
use crate::upstream::condition::WorkPace;

/// Weight of a sample in the smoothed utilization and rate. With the sidecar's
/// 20 samples per second, they cover about the last second.
const LOAD_SAMPLE_WEIGHT: f32 = 0.1;

/// Weight of an outcome in the smoothed failure ratio.
const OUTCOME_SAMPLE_WEIGHT: f32 = 1.0 / 24.0;

/// What a request needs a slot for.
#[derive(Debug, Clone, Copy)]
pub struct SlotDemand<'a> {
    /// Name of its kind.
    pub kind: &'a str,
    /// What may tell its cost within its kind.
    pub shape: RequestShape,
    /// Rank of the kind; 0 is the most urgent.
    pub rank: u8,
    /// Time by which its response is due. A request that misses it is late, but
    /// may still run.
    pub target: Instant,
    /// Time after which its response is useless.
    pub deadline: Instant,
}

/// How a request that held a slot ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SlotOutcome {
    /// The upstream responded, without an error.
    Answered,
    /// It failed, or the upstream accepted it and did not respond.
    Failed,
    /// The upstream did not run it.
    NotRun,
    /// Its caller is gone. It does not count towards the failure ratio.
    Abandoned,
}

/// Load of a queue and its upstream at one moment.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct SlotGauge {
    /// Maximum number of concurrent requests.
    pub slots: u32,
    /// Number of running requests.
    pub running: u32,
    /// Number of waiting requests.
    pub waiting: u32,
    /// Smoothed time for which a request holds a slot.
    pub service: Duration,
    /// Smoothed ratio of demand to slots; above 1 under overload. Demand is the
    /// number of running and waiting requests, or the number of slots that all
    /// requests would keep busy, refused ones included, if that is greater.
    pub utilization: f32,
    /// Smoothed arrivals per second, refused ones included.
    pub rate: f32,
    /// Smoothed ratio of requests that failed or were not run, from 0 to 1.
    pub failure_ratio: f32,
    /// How many requests may start per second; `None` without a limit.
    pub rate_limit: Option<RequestRate>,
    /// Expected slot time of the running and waiting requests that is still to
    /// come.
    pub work: Duration,
    /// How long work takes now.
    pub pace: WorkPace,
}

type SlotReply = oneshot::Sender<Result<SlotGuard, QueueRefusal>>;

#[derive(Debug, Default)]
struct QueueState {
    queue: DeadlineQueue<SlotReply>,
    arrivals: u32,
    utilization: f32,
    rate: f32,
    failure_ratio: f32,
    rate_limit: Option<RequestRate>,
    pace: WorkPace,
}

/// Grants the slots of one upstream to requests. Clones share the queue.
#[derive(Debug, Clone)]
pub struct SlotQueue {
    state: Arc<Mutex<QueueState>>,
    start: Instant,
    /// Notified when a request waits for the limit on the rate.
    paced: Arc<Notify>,
}

impl SlotQueue {
    /// Creates a queue without slots.
    pub fn new() -> Self {
        Self {
            state: Arc::default(),
            start: Instant::now(),
            paced: Arc::default(),
        }
    }

    /// Sets how many requests may run at once. Running requests go on when the
    /// number is reduced.
    pub fn set_slots(&self, slots: u32) {
        self.lock().queue.set_slots(slots);
        self.start_waiting();
    }

    /// Sets how many requests may start per second; `None` for no limit.
    pub fn set_rate_limit(&self, limit: Option<RequestRate>) {
        let mut state = self.lock();
        state.rate_limit = limit;
        state.queue.set_rate_limit(limit);
        drop(state);
        self.start_waiting();
    }

    /// Sets how long work takes at the upstream now.
    pub fn set_pace(&self, pace: WorkPace) {
        let now = self.start.elapsed();
        let mut state = self.lock();
        state.pace = pace;
        state.queue.set_pace(now, pace);
    }

    /// Starts waiting requests when the limit on the rate allows it, until the
    /// process ends.
    pub async fn start_paced(self) {
        loop {
            let wait = self.lock().queue.paced_wait(self.start.elapsed());
            match wait {
                Some(wait) => tokio::select! {
                    () = sleep(wait) => {}
                    () = self.paced.notified() => {}
                },
                None => self.paced.notified().await,
            }
            self.start_next();
        }
    }

    /// Waits for a slot. Dropping the future removes the request from the
    /// queue.
    ///
    /// # Errors
    ///
    /// Returns the reason if the request is refused; it has not run.
    pub async fn acquire(&self, demand: SlotDemand<'_>) -> Result<SlotGuard, QueueRefusal> {
        self.enqueue(demand, None)?.granted().await
    }

    /// Adds a request to the queue. Dropping the result removes it. `ends_by` is when a
    /// process ends without which the response is lost, if that is known: a request that
    /// cannot end before does not start, even if a slot is free.
    ///
    /// # Errors
    ///
    /// Returns the reason if the request is refused at once; it has not run.
    pub fn enqueue(
        &self,
        demand: SlotDemand<'_>,
        ends_by: Option<Instant>,
    ) -> Result<QueuedSlot, QueueRefusal> {
        let (reply, response) = oneshot::channel();
        let offered = {
            let mut state = self.lock();
            state.arrivals += 1;
            let request = QueuedRequest {
                kind: state.queue.register_kind(demand.kind, demand.rank),
                shape: demand.shape,
                target: self.since_start(demand.target),
                deadline: self.since_start(demand.deadline),
            };
            let offered = state.queue.offer(self.start.elapsed(), request, reply);
            if let (Ok(ticket), Some(end)) = (&offered, ends_by) {
                state.queue.end_by(*ticket, self.since_start(end));
            }
            offered
        };
        let ticket = offered.map_err(|(_reply, refusal)| refusal)?;
        self.start_waiting();
        Ok(QueuedSlot {
            queue: self.clone(),
            ticket,
            response,
            is_waiting: true,
        })
    }

    /// Updates the smoothed load, and refuses the waiting requests that can no
    /// longer end before their deadline. Must be called regularly, with the
    /// time since the last call.
    pub fn tick(&self, interval: Duration) {
        let refused = {
            let mut state = self.lock();
            let busy = state.queue.running() + state.queue.waiting() as u32;
            let slots = state.queue.slots().max(1) as f32;
            let rate = state.arrivals as f32 / interval.as_secs_f32();
            state.queue.sample(interval, LOAD_SAMPLE_WEIGHT);
            let utilization = (busy as f32).max(state.queue.offered()) / slots;
            state.arrivals = 0;
            state.utilization += (utilization - state.utilization) * LOAD_SAMPLE_WEIGHT;
            state.rate += (rate - state.rate) * LOAD_SAMPLE_WEIGHT;
            state.queue.refuse_infeasible(self.start.elapsed())
        };
        reply_refusals(refused);
        // Slots may no longer be left to more urgent requests.
        self.start_waiting();
    }

    /// Refuses all waiting requests.
    pub fn refuse_waiting(&self, refusal: QueueRefusal) {
        let refused = self.lock().queue.refuse_all(refusal);
        reply_refusals(refused);
    }

    /// Returns the current load.
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
            rate_limit: state.rate_limit,
            work: state.queue.remaining_work(self.start.elapsed()),
            pace: state.pace,
        }
    }

    /// Returns what requests of the kinds that came first cost.
    pub fn class_costs(&self) -> [ClassCost; MAX_COSTS] {
        self.lock().queue.class_costs()
    }

    fn start_waiting(&self) {
        self.start_next();
        if self.lock().queue.paced_wait(self.start.elapsed()).is_some() {
            self.paced.notify_one();
        }
    }

    fn start_next(&self) {
        loop {
            let since = Instant::now();
            let started = self.lock().queue.start_next(self.since_start(since));
            let Some(StartedRequest {
                ticket,
                expected,
                payload: reply,
            }) = started
            else {
                return;
            };
            // If the waiter is gone, the guard is dropped here, which returns
            // the slot.
            drop(reply.send(Ok(SlotGuard {
                queue: self.clone(),
                ticket,
                since,
                expected,
                outcome: SlotOutcome::Abandoned,
            })));
        }
    }

    fn release(&self, ticket: QueueTicket, held: Duration, outcome: SlotOutcome) {
        let mut state = self.lock();
        let ran = outcome == SlotOutcome::Answered;
        state.queue.finish(ticket, held, ran);
        let sample = match outcome {
            SlotOutcome::Answered => Some(0.0),
            SlotOutcome::Failed | SlotOutcome::NotRun => Some(1.0),
            SlotOutcome::Abandoned => None,
        };
        if let Some(sample) = sample {
            state.failure_ratio += (sample - state.failure_ratio) * OUTCOME_SAMPLE_WEIGHT;
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

/// A request's place in the queue. Dropping it removes the request from there.
#[derive(Debug)]
pub struct QueuedSlot {
    queue: SlotQueue,
    ticket: QueueTicket,
    response: oneshot::Receiver<Result<SlotGuard, QueueRefusal>>,
    is_waiting: bool,
}

impl QueuedSlot {
    /// Waits for the slot. Cancel safe.
    ///
    /// # Errors
    ///
    /// Returns the reason if the request is refused; it has not run.
    pub async fn granted(&mut self) -> Result<SlotGuard, QueueRefusal> {
        let response = (&mut self.response).await;
        self.is_waiting = false;
        response.unwrap_or(Err(QueueRefusal {
            kind: ErrorKind::Draining,
            retry_after: None,
        }))
    }

    /// Records that the response to the request is lost from `end` on. It is refused
    /// if it cannot end before.
    pub fn end_by(&self, end: Instant) {
        let end = self.queue.since_start(end);
        self.queue.lock().queue.end_by(self.ticket, end);
    }
}

impl Drop for QueuedSlot {
    fn drop(&mut self) {
        if self.is_waiting {
            self.queue.lock().queue.cancel(self.ticket);
        }
    }
}

/// Permission to use one slot. Dropping it returns the slot, as
/// [`SlotOutcome::Abandoned`] unless [`Self::finish`] was called.
#[derive(Debug)]
pub struct SlotGuard {
    queue: SlotQueue,
    ticket: QueueTicket,
    since: Instant,
    expected: Duration,
    outcome: SlotOutcome,
}

impl SlotGuard {
    /// Returns the ratio of the time for which the slot has been held to the time that
    /// was expected at the start.
    pub fn cost_ratio(&self) -> f64 {
        let expected = self.expected.max(Duration::from_micros(1));
        self.since.elapsed().as_secs_f64() / expected.as_secs_f64()
    }

    /// Returns the slot and reports how the request ended.
    pub fn finish(mut self, outcome: SlotOutcome) {
        self.outcome = outcome;
    }
}

impl Drop for SlotGuard {
    fn drop(&mut self) {
        let held = self.since.elapsed();
        self.queue.release(self.ticket, held, self.outcome);
        self.queue.start_waiting();
    }
}

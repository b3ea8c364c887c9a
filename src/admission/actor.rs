//! The actor that grants the slots of this process's upstream to requests.

use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;
use std::task::Waker;
use std::time::Duration;

use arc_swap::ArcSwap;
use tokio::sync::oneshot;
use tokio::time::Instant;
use xtra::Address;
use xtra::Context;
use xtra::Handler;
use xtra::Mailbox;
use xtra::WeakAddress;

use super::class_queue::CallerHash;
use super::failure_ratio::FailureRatio;
use super::limit::AdaptiveLimit;
use super::limit::PermitOutcome;
use super::limit::SlotSample;
use super::limit::UpstreamCapacity;
use super::load::ClassTag;
use super::load::OwnerLoad;
use super::load::class_tag;
use super::rate_meter::RateMeter;
use super::scheduler::ClassIndex;
use super::scheduler::PriorityScheduler;
use super::scheduler::SlotDecision;
use super::scheduler::SlotRefusal;
use super::scheduler::SlotRequest;
use crate::base::error::ErrorKind;
use crate::base::timer::TimerService;
use crate::declarations::ClassDeclaration;

/// Messages in the mailbox before senders have to wait.
const MAILBOX_CAPACITY: usize = 4096;
/// How often stale requests are refused and free slots are filled.
const HOUSEKEEPING_INTERVAL: Duration = Duration::from_millis(10);
/// How often the queue is searched for requests whose receiver is gone.
const ABANDONED_CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// How often the admitted rates are measured and published.
const RATE_WINDOW: Duration = Duration::from_millis(250);
/// `retry_after` of a refusal while there is no upstream.
const UNAVAILABLE_RETRY_AFTER: Duration = Duration::from_millis(500);

/// Fallback for requests whose class has not been declared to this process yet.
fn unlisted_class() -> ClassDeclaration {
    ClassDeclaration {
        name: "unlisted".into(),
        rank: u8::MAX,
        target: Duration::from_secs(1),
        share_percent: 1,
        deadline: Duration::from_secs(5),
        idempotent: false,
        reserve_slots: 0,
        queue_limit: 1_000,
    }
}

type SlotReply = oneshot::Sender<Result<SlotPermit, SlotRefusal>>;

/// Requests a slot.
#[derive(Debug)]
struct AcquireSlot {
    class: ClassTag,
    caller: CallerHash,
    deadline: Option<Instant>,
    reply: SlotReply,
}

/// Returns a slot.
#[derive(Debug)]
struct ReleaseSlot {
    class: ClassTag,
    held: Duration,
    outcome: PermitOutcome,
}

/// Sets the announced capacity; none once the upstream is gone.
#[derive(Debug)]
struct SetCapacity(Option<UpstreamCapacity>);

/// Replaces the declared classes.
#[derive(Debug)]
struct SetClasses(Vec<ClassDeclaration>);

/// Carries the result of a health probe; true if it succeeded.
#[derive(Debug)]
struct RecordProbe(bool);

/// Sent every [`HOUSEKEEPING_INTERVAL`].
#[derive(Debug)]
struct HousekeepingTick;

/// Load that other tasks read without sending the actor a message.
#[derive(Debug, Default)]
struct PublishedLoad {
    measured: ArcSwap<OwnerLoad>,
    running: AtomicU32,
    waiting: AtomicU32,
}

/// Grants the slots of this process's upstream. All times are since `start`.
#[derive(Debug)]
#[derive(xtra::Actor)]
pub(super) struct AdmissionActor {
    scheduler: PriorityScheduler<SlotReply>,
    limit: AdaptiveLimit,
    meters: Vec<RateMeter>,
    decisions: Vec<SlotDecision<SlotReply>>,
    address: WeakAddress<Self>,
    published: Arc<PublishedLoad>,
    start: Instant,
    rate_window_start: Duration,
    last_abandoned_check: Duration,
    failure_ratio: FailureRatio,
}

impl AdmissionActor {
    fn now(&self) -> Duration {
        self.start.elapsed()
    }

    fn since_start(&self, instant: Instant) -> Duration {
        instant.saturating_duration_since(self.start)
    }

    fn index_of(&self, class: ClassTag) -> Option<ClassIndex> {
        self.meters.iter().position(|meter| meter.class() == class)
    }

    /// Starts every request that may start, sends all pending decisions to
    /// their waiters and publishes the queue lengths.
    fn dispatch_decisions(&mut self) {
        let now = self.now();
        self.scheduler.set_limit(self.limit.limit(now));
        self.scheduler.start_ready(now, &mut self.decisions);
        let decisions = std::mem::take(&mut self.decisions);
        for decision in decisions {
            self.send_decision(decision);
        }
        let running = self.scheduler.total_running();
        let waiting = self.scheduler.total_waiting() as u32;
        self.published.running.store(running, Ordering::Relaxed);
        self.published.waiting.store(waiting, Ordering::Relaxed);
    }

    /// Sends a decision to its waiter. If the waiter is gone, the permit is
    /// dropped here, which returns the slot.
    fn send_decision(&mut self, decision: SlotDecision<SlotReply>) {
        match decision {
            SlotDecision::Start { payload, class } => {
                self.meters[class].count_started();
                let permit = SlotPermit::new(self.address.clone(), self.meters[class].class());
                let _gone = payload.send(Ok(permit)).is_err();
            }
            SlotDecision::Refuse {
                payload,
                class,
                refusal,
            } => {
                if refusal.kind != ErrorKind::Draining {
                    self.meters[class].count_refused();
                }
                let _gone = payload.send(Err(refusal)).is_err();
            }
        }
    }

    fn publish_rates(&mut self, now: Duration) {
        let window = now.saturating_sub(self.rate_window_start);
        self.rate_window_start = now;
        let mut load = OwnerLoad {
            limit: u16::try_from(self.scheduler.limit()).unwrap_or(u16::MAX),
            failing_permille: self.failure_ratio.permille(),
            ..OwnerLoad::default()
        };
        for (index, meter) in self.meters.iter_mut().enumerate() {
            let rate = meter.end_window(window);
            if let Some(place) = load.rates.get_mut(index) {
                *place = rate;
            }
        }
        self.published.measured.store(Arc::new(load));
    }
}

impl Handler<AcquireSlot> for AdmissionActor {
    type Return = ();

    async fn handle(&mut self, message: AcquireSlot, _ctx: &mut Context<Self>) {
        let unlisted = self.meters.len() - 1;
        let class = self.index_of(message.class).unwrap_or(unlisted);
        let deadline = message.deadline.map(|deadline| self.since_start(deadline));
        let request = SlotRequest {
            class,
            caller: message.caller,
            deadline,
        };
        let now = self.now();
        self.meters[class].count_offered();
        self.scheduler
            .offer(now, request, message.reply, &mut self.decisions);
        self.dispatch_decisions();
    }
}

impl Handler<ReleaseSlot> for AdmissionActor {
    type Return = ();

    async fn handle(&mut self, message: ReleaseSlot, _ctx: &mut Context<Self>) {
        let sample = SlotSample {
            class: message.class,
            held: message.held,
            outcome: message.outcome,
            running: self.scheduler.total_running(),
        };
        let now = self.now();
        self.limit.record(now, sample);
        self.failure_ratio.record(now, message.outcome);
        if let Some(class) = self.index_of(message.class) {
            match message.outcome {
                PermitOutcome::Unused | PermitOutcome::Shed => self.scheduler.finish_unused(class),
                _ => self.scheduler.finish(class, message.held),
            }
        }
        self.dispatch_decisions();
    }
}

impl Handler<SetCapacity> for AdmissionActor {
    type Return = ();

    async fn handle(&mut self, message: SetCapacity, _ctx: &mut Context<Self>) {
        let now = self.now();
        self.limit.set_capacity(now, message.0);
        if message.0.is_none() {
            self.failure_ratio.reset();
            // Waiting requests have not been dispatched, so "not run" is
            // certain.
            let refusal = SlotRefusal {
                kind: ErrorKind::Draining,
                retry_after: Some(UNAVAILABLE_RETRY_AFTER),
            };
            self.scheduler.refuse_waiting(refusal, &mut self.decisions);
        }
        self.dispatch_decisions();
    }
}

impl Handler<SetClasses> for AdmissionActor {
    type Return = ();

    async fn handle(&mut self, message: SetClasses, _ctx: &mut Context<Self>) {
        let mut classes = message.0;
        classes.push(unlisted_class());
        self.scheduler
            .replace_classes(&classes, &mut self.decisions);
        self.meters = class_meters(&self.scheduler);
        self.dispatch_decisions();
    }
}

impl Handler<RecordProbe> for AdmissionActor {
    type Return = ();

    async fn handle(&mut self, message: RecordProbe, _ctx: &mut Context<Self>) {
        let now = self.now();
        self.failure_ratio.record_probe(now, message.0);
    }
}

impl Handler<HousekeepingTick> for AdmissionActor {
    type Return = ();

    async fn handle(&mut self, _message: HousekeepingTick, _ctx: &mut Context<Self>) {
        let now = self.now();
        self.scheduler.refuse_stale(now, &mut self.decisions);
        if now >= self.last_abandoned_check + ABANDONED_CHECK_INTERVAL {
            self.last_abandoned_check = now;
            self.scheduler.cancel_abandoned(oneshot::Sender::is_closed);
        }
        if now >= self.rate_window_start + RATE_WINDOW {
            self.publish_rates(now);
        }
        self.dispatch_decisions();
    }
}

fn class_meters(scheduler: &PriorityScheduler<SlotReply>) -> Vec<RateMeter> {
    let classes = scheduler.classes().iter();
    classes
        .map(|class| RateMeter::new(class_tag(&class.declaration.name)))
        .collect()
}

/// Permission to use one slot. Dropping it returns the slot.
#[derive(Debug)]
pub struct SlotPermit {
    actor: WeakAddress<AdmissionActor>,
    class: ClassTag,
    since: Instant,
    outcome: PermitOutcome,
}

impl SlotPermit {
    fn new(actor: WeakAddress<AdmissionActor>, class: ClassTag) -> Self {
        Self {
            actor,
            class,
            since: Instant::now(),
            outcome: PermitOutcome::Unused,
        }
    }

    /// Marks the request as dispatched and starts measuring its hold time.
    ///
    /// A permit that is dropped after this without [`Self::finish`] counts as
    /// [`PermitOutcome::Lost`], one that is dropped before as
    /// [`PermitOutcome::Unused`].
    pub fn begin(&mut self) {
        self.since = Instant::now();
        self.outcome = PermitOutcome::Lost;
    }

    /// Returns the slot and reports how the request ended.
    pub fn finish(mut self, outcome: PermitOutcome) {
        self.outcome = outcome;
    }
}

impl Drop for SlotPermit {
    fn drop(&mut self) {
        let release = ReleaseSlot {
            class: self.class,
            held: self.since.elapsed(),
            outcome: self.outcome,
        };
        let mut sending = Box::pin(self.actor.send(release).detach());
        let mut context = std::task::Context::from_waker(Waker::noop());
        // The first poll delivers the message unless the mailbox is full.
        let polled = Pin::new(&mut sending).poll(&mut context);
        if polled.is_pending() {
            tokio::spawn(async move {
                let _gone = sending.await.is_err();
            });
        }
    }
}

/// Handle to the admission actor of this process. Clones share the actor.
#[derive(Debug, Clone)]
pub struct AdmissionQueue {
    actor: Address<AdmissionActor>,
    published: Arc<PublishedLoad>,
}

impl AdmissionQueue {
    /// Spawns the actor, with no upstream and no declared classes. Nothing gets
    /// a slot before [`Self::set_capacity`].
    pub fn start(timer: TimerService) -> Self {
        let (address, mailbox) = Mailbox::bounded(MAILBOX_CAPACITY);
        let published = Arc::new(PublishedLoad::default());
        let scheduler = PriorityScheduler::new(&[unlisted_class()]);
        let actor = AdmissionActor {
            meters: class_meters(&scheduler),
            scheduler,
            limit: AdaptiveLimit::new(),
            decisions: Vec::new(),
            address: address.downgrade(),
            published: Arc::clone(&published),
            start: Instant::now(),
            rate_window_start: Duration::ZERO,
            last_abandoned_check: Duration::ZERO,
            failure_ratio: FailureRatio::default(),
        };
        tokio::spawn(xtra::run(mailbox, actor));
        tokio::spawn(send_housekeeping(address.downgrade(), timer));
        Self {
            actor: address,
            published,
        }
    }

    /// Waits for a slot. A request without `deadline` may wait for any time.
    ///
    /// # Errors
    ///
    /// Returns the reason if the request is refused. It has not run: nothing is
    /// dispatched without a permit.
    pub async fn admit(
        &self,
        class: ClassTag,
        caller: CallerHash,
        deadline: Option<Instant>,
    ) -> Result<SlotPermit, SlotRefusal> {
        let (reply, response) = oneshot::channel();
        let offer = AcquireSlot {
            class,
            caller,
            deadline,
            reply,
        };
        if self.actor.send(offer).detach().await.is_err() {
            return Err(stopped_refusal());
        }
        response.await.unwrap_or(Err(stopped_refusal()))
    }

    /// Sets the capacity that the upstream announced; none once it is gone,
    /// which refuses every waiting request.
    pub async fn set_capacity(&self, capacity: Option<UpstreamCapacity>) {
        let _stopped = self.actor.send(SetCapacity(capacity)).await.is_err();
    }

    /// Reports the result of a health probe of the upstream.
    pub async fn record_probe(&self, healthy: bool) {
        let _stopped = self.actor.send(RecordProbe(healthy)).await.is_err();
    }

    /// Replaces the declared classes. Requests that wait in a removed class are
    /// refused.
    pub async fn set_classes(&self, classes: Vec<ClassDeclaration>) {
        let _stopped = self.actor.send(SetClasses(classes)).await.is_err();
    }

    /// Returns the current load. The limit, the failure ratio and the rates are
    /// those of the last measurement, taken every 250 ms.
    pub fn load(&self) -> OwnerLoad {
        let mut load = **self.published.measured.load();
        load.running = self.published.running.load(Ordering::Relaxed);
        load.waiting = self.published.waiting.load(Ordering::Relaxed);
        load
    }
}

async fn send_housekeeping(actor: WeakAddress<AdmissionActor>, timer: TimerService) {
    let mut ticks = timer.subscribe(HOUSEKEEPING_INTERVAL);
    loop {
        ticks.next().await;
        if actor.send(HousekeepingTick).await.is_err() {
            return;
        }
    }
}

fn stopped_refusal() -> SlotRefusal {
    SlotRefusal {
        kind: ErrorKind::Draining,
        retry_after: Some(UNAVAILABLE_RETRY_AFTER),
    }
}

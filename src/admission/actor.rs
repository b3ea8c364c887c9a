//! The one actor of a process that hands out its upstream's slots.

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

/// How many messages wait for the actor; senders wait beyond that.
const MAILBOX: usize = 4096;
/// How often the actor looks after its queue.
const HOUSEKEEPING: Duration = Duration::from_millis(10);
/// How often it looks for requests that nobody waits for.
const ABANDONED_INTERVAL: Duration = Duration::from_millis(50);
/// How often the rates are measured.
const RATE_WINDOW: Duration = Duration::from_millis(250);
/// When to retry while the upstream is away.
const ABSENT_RETRY: Duration = Duration::from_millis(500);

/// The class of requests whose class this process does not know yet.
fn unlisted_class() -> ClassDeclaration {
    ClassDeclaration {
        name: "unlisted".into(),
        rank: u8::MAX,
        target: Duration::from_secs(1),
        share: 1,
        deadline: Duration::from_secs(5),
        idempotent: false,
        reserve: 0,
        queue: 1_000,
    }
}

type SlotReply = oneshot::Sender<Result<SlotPermit, SlotRefusal>>;

/// Asks for a slot.
#[derive(Debug)]
struct OfferOrder {
    class: ClassTag,
    caller: CallerHash,
    deadline: Option<Instant>,
    reply: SlotReply,
}

/// Gives a slot back.
#[derive(Debug)]
struct ReleaseSlot {
    class: ClassTag,
    held: Duration,
    outcome: PermitOutcome,
}

/// Tells what the upstream announced.
#[derive(Debug)]
struct SetCapacity(Option<UpstreamCapacity>);

/// Tells the declared classes.
#[derive(Debug)]
struct SetClasses(Vec<ClassDeclaration>);

/// Tells what a health probe said.
#[derive(Debug)]
struct HintHealth(bool);

/// Time has passed.
#[derive(Debug)]
struct Housekeep;

/// The load as others read it, without a message to the actor.
#[derive(Debug, Default)]
struct PublishedLoad {
    measured: ArcSwap<OwnerLoad>,
    running: AtomicU32,
    waiting: AtomicU32,
}

/// Hands out the slots of the process's upstream.
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
    window_start: Duration,
    abandoned_check: Duration,
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

    /// Starts what may start and tells every waiter what became of it.
    fn settle(&mut self) {
        let now = self.now();
        self.scheduler.set_limit(self.limit.limit(now));
        self.scheduler.start_ready(now, &mut self.decisions);
        let decisions = std::mem::take(&mut self.decisions);
        for decision in decisions {
            self.tell(decision);
        }
        let running = self.scheduler.total_running();
        let waiting = self.scheduler.total_waiting() as u32;
        self.published.running.store(running, Ordering::Relaxed);
        self.published.waiting.store(waiting, Ordering::Relaxed);
    }

    /// A waiter that is gone drops the permit, which gives the slot back.
    fn tell(&mut self, decision: SlotDecision<SlotReply>) {
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
        let window = now.saturating_sub(self.window_start);
        self.window_start = now;
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

impl Handler<OfferOrder> for AdmissionActor {
    type Return = ();

    async fn handle(&mut self, message: OfferOrder, _ctx: &mut Context<Self>) {
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
        self.settle();
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
        self.settle();
    }
}

impl Handler<SetCapacity> for AdmissionActor {
    type Return = ();

    async fn handle(&mut self, message: SetCapacity, _ctx: &mut Context<Self>) {
        let now = self.now();
        self.limit.set_capacity(now, message.0);
        if message.0.is_none() {
            self.failure_ratio.reset();
            // Proof of "not run": a waiting request has not been dispatched.
            let refusal = SlotRefusal {
                kind: ErrorKind::Draining,
                retry_after: Some(ABSENT_RETRY),
            };
            self.scheduler.refuse_waiting(refusal, &mut self.decisions);
        }
        self.settle();
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
        self.settle();
    }
}

impl Handler<HintHealth> for AdmissionActor {
    type Return = ();

    async fn handle(&mut self, message: HintHealth, _ctx: &mut Context<Self>) {
        let now = self.now();
        self.failure_ratio.record_probe(now, message.0);
    }
}

impl Handler<Housekeep> for AdmissionActor {
    type Return = ();

    async fn handle(&mut self, _message: Housekeep, _ctx: &mut Context<Self>) {
        let now = self.now();
        self.scheduler.refuse_stale(now, &mut self.decisions);
        if now >= self.abandoned_check + ABANDONED_INTERVAL {
            self.abandoned_check = now;
            self.scheduler.cancel_abandoned(oneshot::Sender::is_closed);
        }
        if now >= self.window_start + RATE_WINDOW {
            self.publish_rates(now);
        }
        self.settle();
    }
}

fn class_meters(scheduler: &PriorityScheduler<SlotReply>) -> Vec<RateMeter> {
    let classes = scheduler.classes().iter();
    classes
        .map(|class| RateMeter::new(class_tag(&class.declaration.name)))
        .collect()
}

/// The right to occupy one slot; given back when dropped.
#[derive(Debug)]
pub struct SlotPermit {
    actor: WeakAddress<AdmissionActor>,
    class: ClassTag,
    since: Instant,
    outcome: PermitOutcome,
}

impl SlotPermit {
    /// Creates the permit of a class.
    fn new(actor: WeakAddress<AdmissionActor>, class: ClassTag) -> Self {
        Self {
            actor,
            class,
            since: Instant::now(),
            outcome: PermitOutcome::Unused,
        }
    }

    /// Notes that the slot is used from now on; without a later outcome, its
    /// request counts as lost.
    pub fn begin(&mut self) {
        self.since = Instant::now();
        self.outcome = PermitOutcome::Lost;
    }

    /// Gives the slot back.
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
        // The mailbox takes the message at once unless it is full.
        let polled = Pin::new(&mut sending).poll(&mut context);
        if polled.is_pending() {
            tokio::spawn(async move {
                let _gone = sending.await.is_err();
            });
        }
    }
}

/// Hands out the slots of the process's upstream.
#[derive(Debug, Clone)]
pub struct AdmissionQueue {
    actor: Address<AdmissionActor>,
    published: Arc<PublishedLoad>,
}

impl AdmissionQueue {
    /// Starts the actor, without an upstream or classes.
    pub fn start(timer: TimerService) -> Self {
        let (address, mailbox) = Mailbox::bounded(MAILBOX);
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
            window_start: Duration::ZERO,
            abandoned_check: Duration::ZERO,
            failure_ratio: FailureRatio::default(),
        };
        tokio::spawn(xtra::run(mailbox, actor));
        tokio::spawn(send_housekeeping(address.downgrade(), timer));
        Self {
            actor: address,
            published,
        }
    }

    /// Waits for a slot.
    ///
    /// # Errors
    ///
    /// Returns why there is none. The request was not run: without a permit
    /// nothing is dispatched.
    pub async fn admit(
        &self,
        class: ClassTag,
        caller: CallerHash,
        deadline: Option<Instant>,
    ) -> Result<SlotPermit, SlotRefusal> {
        let (reply, answer) = oneshot::channel();
        let offer = OfferOrder {
            class,
            caller,
            deadline,
            reply,
        };
        if self.actor.send(offer).detach().await.is_err() {
            return Err(stopped_refusal());
        }
        answer.await.unwrap_or(Err(stopped_refusal()))
    }

    /// Tells what the upstream announced, or that it left.
    pub async fn set_capacity(&self, capacity: Option<UpstreamCapacity>) {
        let _stopped = self.actor.send(SetCapacity(capacity)).await.is_err();
    }

    /// Tells what a health probe said.
    pub async fn record_probe(&self, healthy: bool) {
        let _stopped = self.actor.send(HintHealth(healthy)).await.is_err();
    }

    /// Tells the declared classes.
    pub async fn set_classes(&self, classes: Vec<ClassDeclaration>) {
        let _stopped = self.actor.send(SetClasses(classes)).await.is_err();
    }

    /// Returns a snapshot of the load.
    pub fn load(&self) -> OwnerLoad {
        let mut load = **self.published.measured.load();
        load.running = self.published.running.load(Ordering::Relaxed);
        load.waiting = self.published.waiting.load(Ordering::Relaxed);
        load
    }
}

async fn send_housekeeping(actor: WeakAddress<AdmissionActor>, timer: TimerService) {
    let mut ticks = timer.subscribe(HOUSEKEEPING);
    loop {
        ticks.next().await;
        if actor.send(Housekeep).await.is_err() {
            return;
        }
    }
}

fn stopped_refusal() -> SlotRefusal {
    SlotRefusal {
        kind: ErrorKind::Draining,
        retry_after: Some(ABSENT_RETRY),
    }
}

//! Start, reload and drain of one sidecar.

use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;

use eyre::WrapErr;
use tokio::net::TcpListener;
use tokio::sync::mpsc;
use tokio::sync::watch;
use tokio::time::Instant;
use tokio::time::sleep;
use tokio::time::timeout;
use tokio_util::sync::CancellationToken;

use super::dispatch::SidecarDispatcher;
use super::fleet::FleetState;
use super::follow::ConfigurationDecoder;
use super::follow::MEMBER_PREFIX;
use super::follow::apply_fleet;
use super::follow::apply_operator;
use super::follow::catch_up;
use super::follow::follow_topic;
use super::gossip::ReportSender;
use super::gossip::receive_datagrams;
use super::keeper::KEEPER_QUEUE;
use super::keeper::RangeGate;
use super::keeper::RangeKeeper;
use super::metrics::SidecarMetrics;
use super::owner::SidecarOwner;
use super::settings::SidecarSettings;
use super::upstream::LocalRegistry;
use super::upstream::UpstreamPort;
use crate::admission::deadline_queue::QueueRefusal;
use crate::admission::slot_queue::SlotQueue;
use crate::base::error::ErrorKind;
use crate::base::ids::Incarnation;
use crate::base::timer::TimerService;
use crate::log::backoff::RetryBackoff;
use crate::node::identity::next_incarnation;
use crate::peers::message::MemberRecord;
use crate::peers::message::UpstreamPhase;
use crate::store::StateStore;
use crate::store::StoreTopic;
use crate::telemetry::request_log::RequestLog;
use crate::transport::datagram::DatagramSocket;
use crate::transport::server::PeerServer;

/// How long a start waits for the store before it goes on without.
const START_LIMIT: Duration = Duration::from_millis(700);

/// How often the queue of the upstream is looked after.
const QUEUE_INTERVAL: Duration = Duration::from_millis(50);

/// How often the upstream is checked for silence.
const SILENCE_INTERVAL: Duration = Duration::from_millis(250);

/// First and longest wait after a failed announcement in the store.
const ANNOUNCE_WAITS: (Duration, Duration) = (Duration::from_millis(100), Duration::from_secs(1));

/// Log lines about single requests that a process writes in a second at most.
const REQUEST_LINES: u32 = 100;

/// How long a leaving process still takes every request: whoever decides on
/// its readiness asks once a second and believes the second answer.
const READINESS_TIME: Duration = Duration::from_millis(2_300);

/// A leaving process ends once there has been no request for so long.
const QUIET_TIME: Duration = Duration::from_millis(300);

/// Time that it takes to give everything away and to finish what the upstream
/// runs: long requests take about a second.
const GIVING_TIME: Duration = Duration::from_millis(1_500);

/// A leaving process ends so long before its time is over, whatever runs.
const LEAVE_MARGIN: Duration = Duration::from_millis(400);

/// One sidecar. Cloning shares it.
#[derive(Debug, Clone)]
pub struct SidecarProcess<U> {
    /// Passes callers' requests on.
    pub dispatcher: SidecarDispatcher<U>,
    /// Takes the upstream's notices.
    pub registry: LocalRegistry,
    /// Counters and histograms.
    pub metrics: SidecarMetrics,
    /// Fires when kept connections of callers are to be closed after their
    /// present request.
    pub closing: CancellationToken,
    settings: Arc<SidecarSettings>,
    fleet: Arc<FleetState>,
    slots: SlotQueue,
    /// Whether callers are to go elsewhere.
    closed: Arc<AtomicBool>,
    /// Whether the process gives everything away.
    leaving: Arc<watch::Sender<bool>>,
}

impl<U: UpstreamPort> SidecarProcess<U> {
    /// Starts every part but the callers' interface. `id_header` names the
    /// header with a request's id.
    ///
    /// # Errors
    ///
    /// Fails if a socket cannot be bound.
    pub async fn start<S: StateStore, D: ConfigurationDecoder>(
        settings: SidecarSettings,
        store: S,
        port: U,
        decoder: D,
        id_header: &str,
    ) -> eyre::Result<Self> {
        let settings = Arc::new(settings);
        let former = former_incarnation(&store, &settings.node).await;
        let member = MemberRecord {
            incarnation: next_incarnation(former),
            node: settings.node.clone(),
            address: settings.advertised,
            service: settings.service.clone(),
            domain: settings.domain.clone(),
        };
        log::info!(
            node = &*settings.node, incarnation = member.incarnation, former = former,
            service = &*settings.service, domain = &*settings.domain;
            "process: starts"
        );
        let listener = TcpListener::bind(settings.peers).await.wrap_err_with(|| {
            format!(
                "cannot bind {}; free it or name another port",
                settings.peers
            )
        })?;
        let socket = DatagramSocket::bind(settings.peers)
            .await
            .wrap_err_with(|| format!("cannot bind {} for datagrams", settings.peers))?;
        let fleet = Arc::new(FleetState::new(member.clone()));
        let metrics = SidecarMetrics::new();
        let registry = LocalRegistry::new(settings.announce_interval);
        let slots = SlotQueue::new();
        let gate = RangeGate::default();
        let (leaving, leaving_watch) = watch::channel(false);
        let log = RequestLog::new(id_header, REQUEST_LINES, metrics.dropped_lines.clone());
        let owner = SidecarOwner::builder()
            .fleet(Arc::clone(&fleet))
            .registry(registry.clone())
            .slots(slots.clone())
            .gate(gate.clone())
            .port(port.clone())
            .metrics(metrics.clone())
            .log(log.clone())
            .build();
        let dispatcher = SidecarDispatcher::new(
            Arc::clone(&settings),
            Arc::clone(&fleet),
            owner.clone(),
            metrics.clone(),
            log,
        );

        follow_store(&store, &fleet, &member, decoder);
        tokio::spawn(catch_up(Arc::clone(&fleet), TimerService));
        let reports = ReportSender {
            socket: socket.clone(),
            fleet: Arc::clone(&fleet),
            slots: slots.clone(),
            registry: registry.clone(),
            leaving: leaving_watch.clone(),
        };
        tokio::spawn(reports.run());
        let (sender, events) = mpsc::channel(KEEPER_QUEUE);
        tokio::spawn(receive_datagrams(
            socket.clone(),
            Arc::clone(&fleet),
            sender.clone(),
        ));
        let keeper = RangeKeeper::builder()
            .settings(Arc::clone(&settings))
            .fleet(Arc::clone(&fleet))
            .store(store)
            .port(port)
            .socket(socket)
            .registry(registry.clone())
            .slots(slots.clone())
            .gate(gate)
            .metrics(metrics.clone())
            .events(events)
            .sender(sender)
            .leaving(leaving_watch)
            .build();
        tokio::spawn(keeper.run());
        tokio::spawn(follow_upstream(registry.clone(), slots.clone()));
        tokio::spawn(look_after_queue(slots.clone()));
        tokio::spawn(look_for_silence(registry.clone()));
        let peers = PeerServer::new(member.incarnation, owner);
        tokio::spawn(peers.serve(listener, CancellationToken::new()));

        Ok(Self {
            dispatcher,
            registry,
            metrics,
            closing: CancellationToken::new(),
            settings,
            fleet,
            slots,
            closed: Arc::default(),
            leaving: Arc::new(leaving),
        })
    }

    /// Tells whether the process takes callers.
    pub fn is_ready(&self) -> bool {
        !self.closed.load(Ordering::Relaxed) && self.fleet.routes().is_some()
    }

    /// Sends callers elsewhere, then gives everything away, finishes what runs,
    /// and returns when the process may end.
    ///
    /// The upstream works on while callers are still being sent elsewhere, so
    /// that its slots and keys are missing for as short as possible.
    pub async fn leave(&self) {
        let started = Instant::now();
        let limit = started + self.settings.grace.saturating_sub(LEAVE_MARGIN);
        log::info!(grace_ms = self.settings.grace.as_millis() as u64; "process: leaves");
        self.closed.store(true, Ordering::Relaxed);
        self.dispatcher.stop_at(limit);
        sleep(READINESS_TIME.min(self.settings.grace / 2)).await;
        self.closing.cancel();
        while Instant::now() + GIVING_TIME < limit && self.has_callers() {
            sleep(QUEUE_INTERVAL).await;
        }
        self.leaving.send_replace(true);
        while Instant::now() < limit && !self.is_done() {
            sleep(QUEUE_INTERVAL).await;
        }
        log::info!(
            took_ms = started.elapsed().as_millis() as u64, running = self.slots.gauge().running,
            done = self.is_done();
            "process: stops"
        );
    }

    /// Tells whether callers still wait for answers, beside the upstream, whose
    /// running requests make calls of their own.
    fn has_callers(&self) -> bool {
        self.dispatcher.active() > self.slots.gauge().running
    }

    fn is_done(&self) -> bool {
        let quiet = self
            .dispatcher
            .quiet_for()
            .is_some_and(|quiet| quiet >= QUIET_TIME);
        let gauge = self.slots.gauge();
        let own = self.fleet.own().incarnation;
        let owns = !self.fleet.map().map.owned_by(own).is_empty();
        quiet && gauge.running == 0 && gauge.waiting == 0 && !owns
    }
}

async fn former_incarnation<S: StateStore>(store: &S, node: &str) -> Option<Incarnation> {
    let page = timeout(START_LIMIT, store.newest(StoreTopic::Fleet)).await;
    let page = match page {
        Ok(Ok(page)) => page,
        Ok(Err(error)) => {
            log::warn!(error:% = error; "process: starts without the store");
            return None;
        }
        Err(_elapsed) => {
            log::warn!("process: starts without the store, which does not answer");
            return None;
        }
    };
    let key = format!("{MEMBER_PREFIX}{node}");
    let record = page.records.iter().find(|record| *record.key == *key)?;
    let member = postcard::from_bytes::<MemberRecord>(&record.value).ok()?;
    Some(member.incarnation)
}

/// Follows both topics. The fleet's is read after this process has announced
/// itself there: of two processes that start together, one then finds the other.
fn follow_store<S: StateStore, D: ConfigurationDecoder>(
    store: &S,
    fleet: &Arc<FleetState>,
    member: &MemberRecord,
    decoder: D,
) {
    let applied = Arc::clone(fleet);
    tokio::spawn(follow_topic(
        store.clone(),
        StoreTopic::Operator,
        Arc::clone(fleet),
        move |page| apply_operator(&applied, &decoder, page),
    ));
    let applied = Arc::clone(fleet);
    let announced = announce_member(store.clone(), member.clone());
    let followed = follow_topic(
        store.clone(),
        StoreTopic::Fleet,
        Arc::clone(fleet),
        move |page| apply_fleet(&applied, page),
    );
    tokio::spawn(async move {
        announced.await;
        followed.await;
    });
}

/// Announces this process in the store, until the store has taken it.
async fn announce_member<S: StateStore>(store: S, member: MemberRecord) {
    let mut backoff = RetryBackoff::new(ANNOUNCE_WAITS.0, ANNOUNCE_WAITS.1);
    let key = format!("{MEMBER_PREFIX}{}", member.node);
    let value = match postcard::to_stdvec(&member) {
        Ok(value) => bytes::Bytes::from(value),
        Err(error) => {
            log::error!("process: cannot encode its announcement: {error}");
            return;
        }
    };
    while let Err(error) = store
        .append(StoreTopic::Fleet, &key, value.clone(), None)
        .await
    {
        log::warn!(error:% = error; "process: cannot announce itself yet");
        sleep(backoff.next_wait()).await;
    }
}

/// Lets the queue follow the upstream's slots and its leaving.
async fn follow_upstream(registry: LocalRegistry, slots: SlotQueue) {
    let mut changes = registry.subscribe();
    loop {
        let upstream = changes.borrow_and_update().clone();
        match upstream {
            Some(upstream) if upstream.phase == UpstreamPhase::Ready => {
                slots.set_slots(upstream.notice.slots);
            }
            _ => slots.refuse_waiting(QueueRefusal {
                kind: ErrorKind::Draining,
                retry_after: None,
            }),
        }
        if changes.changed().await.is_err() {
            return;
        }
    }
}

async fn look_after_queue(slots: SlotQueue) {
    let mut ticks = TimerService.subscribe(QUEUE_INTERVAL);
    loop {
        let tick = ticks.next().await;
        slots.tick(tick.since_last.max(QUEUE_INTERVAL));
    }
}

async fn look_for_silence(registry: LocalRegistry) {
    let mut ticks = TimerService.subscribe(SILENCE_INTERVAL);
    loop {
        ticks.next().await;
        registry.check_silence();
    }
}

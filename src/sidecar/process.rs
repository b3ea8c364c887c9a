//! Start and shutdown of one sidecar.

use std::net::SocketAddr;
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
use tokio_util::sync::CancellationToken;

use super::controller::EVENT_QUEUE_CAPACITY;
use super::controller::HeartbeatPort;
use super::controller::RangeController;
use super::controller::RangeGate;
use super::crash_watch::CrashWatch;
use super::departures::recall_stored;
use super::departures::store_departures;
use super::dispatch::SidecarDispatcher;
use super::evacuation::follow_evacuations;
use super::fleet::FleetState;
use super::follow::ConfigurationDecoder;
use super::follow::MEMBER_PREFIX;
use super::follow::apply_fleet;
use super::follow::apply_operator;
use super::follow::catch_up;
use super::follow::follow_topic;
use super::gossip::ReportSender;
use super::gossip::receive_datagrams;
use super::metrics::SidecarMetrics;
use super::owner::SidecarOwner;
use super::quarantine::announce_crashes;
use super::quarantine::store_verdicts;
use super::settings::SidecarSettings;
use super::start_read::FormerProcess;
use super::start_read::StartRead;
use super::start_read::StartReads;
use super::upstream::LocalUpstreamRegistry;
use super::upstream::UpstreamClient;
use super::upstream_follower::UpstreamFollower;
use crate::admission::slot_queue::SlotQueue;
use crate::base::ids::Incarnation;
use crate::base::timer::TimerService;
use crate::held_bytes::budget::ByteBudget;
use crate::http_server::callers::CallerConnections;
use crate::log::backoff::RetryBackoff;
use crate::node::identity::next_incarnation;
use crate::peers::message::MemberRecord;
use crate::store::StateStore;
use crate::store::StoreTopic;
use crate::store::observed::ObservedStore;
use crate::store::read_pace::ReadPace;
use crate::telemetry::request_log::RequestLog;
use crate::transport::datagram::DatagramSocket;
use crate::transport::server::OwnerRequestHandler;
use crate::transport::server::PeerServer;

/// Interval of the slot queue's ticks, and of checks during a shutdown.
const TICK_INTERVAL: Duration = Duration::from_millis(50);

/// How often the upstream is checked for missing announcements.
const SILENCE_CHECK_INTERVAL: Duration = Duration::from_millis(250);

/// First and maximum wait after a failed announcement in the store.
const ANNOUNCE_BACKOFF: (Duration, Duration) = (Duration::from_millis(100), Duration::from_secs(1));

/// Maximum log lines per second about single requests.
const REQUEST_LINES_PER_SECOND: u32 = 100;

/// Time for which a sidecar that shuts down still accepts all requests: the
/// platform probes readiness once a second and redirects callers after the
/// second failed probe.
const READINESS_DELAY: Duration = Duration::from_millis(2_300);

/// Time without requests after which a sidecar that shuts down may exit.
const IDLE_BEFORE_EXIT: Duration = Duration::from_millis(300);

/// Time to hand over all ranges and to finish the upstream's running requests,
/// which take up to about a second.
const HANDOVER_TIME: Duration = Duration::from_millis(1_500);

/// A shutdown ends this much before the end of its grace period, even if
/// requests still run.
const GRACE_MARGIN: Duration = Duration::from_millis(400);

/// Time for the last responses to leave the process before it exits.
const EXIT_MARGIN: Duration = Duration::from_millis(150);

/// One running sidecar. Clones share state.
#[derive(Debug, Clone)]
pub struct SidecarProcess<U> {
    /// Routes callers' requests.
    pub dispatcher: SidecarDispatcher<U>,
    /// State of the local upstream; takes its announcements.
    pub registry: LocalUpstreamRegistry,
    /// Takes the upstream's reports of its keys, and answers them with grants.
    pub heartbeats: HeartbeatPort,
    /// Metrics of this sidecar.
    pub metrics: SidecarMetrics,
    /// The connections of callers, which are closed during a shutdown.
    pub callers: CallerConnections,
    /// What the process holds for others.
    pub budget: ByteBudget,
    settings: Arc<SidecarSettings>,
    fleet: Arc<FleetState>,
    slots: SlotQueue,
    /// Whether a shutdown has begun, so that callers should go elsewhere.
    shutting_down: Arc<AtomicBool>,
    /// Whether this sidecar is handing over its ranges.
    leaving: Arc<watch::Sender<bool>>,
}

impl<U: UpstreamClient> SidecarProcess<U> {
    /// Starts all tasks except the listeners for callers, announcements and
    /// metrics. `id_header` is the name of the header that carries a request's
    /// ID, and `budget` bounds what the process holds for others.
    ///
    /// # Errors
    ///
    /// Fails if a socket cannot be bound.
    pub async fn start<S: StateStore, D: ConfigurationDecoder>(
        settings: SidecarSettings,
        store: S,
        client: U,
        decoder: D,
        id_header: &str,
        budget: ByteBudget,
    ) -> eyre::Result<Self> {
        let settings = Arc::new(settings);
        let metrics = SidecarMetrics::new().with_budget(&budget);
        let store = ObservedStore::new(store, metrics.store.clone());
        let mut reads = StartReads::begin(&store);
        let former = FormerProcess::find(&mut reads.fleet, &settings.node).await;
        let member = member_record(&settings, &former);
        log_start(&member, &former);
        let (listener, socket) = bind_peers(settings.peers).await?;
        let incarnation = member.incarnation;
        let fleet = Arc::new(FleetState::new(member));
        let registry = upstream_registry(&settings, &former);
        let slots = SlotQueue::new();
        let gate = RangeGate::default();
        let (leaving, leaving_watch) = watch::channel(false);
        let log = RequestLog::new(
            id_header,
            REQUEST_LINES_PER_SECOND,
            metrics.dropped_lines.clone(),
        );
        let owner = SidecarOwner::builder()
            .fleet(Arc::clone(&fleet))
            .registry(registry.clone())
            .slots(slots.clone())
            .gate(gate.clone())
            .crashes(CrashWatch::new(Arc::clone(&fleet), registry.clone()))
            .client(client.clone())
            .metrics(metrics.clone())
            .log(log.clone())
            .budget(budget.clone())
            .build();
        let dispatcher = SidecarDispatcher::new(
            Arc::clone(&settings),
            Arc::clone(&fleet),
            owner.clone(),
            metrics.clone(),
            log,
        );

        let pace = ReadPace::new(settings.store_read_rate);
        follow_operator(&store, &fleet, reads.operator, pace, decoder);
        follow_fleet(&store, &fleet, reads.fleet, pace, &registry);
        share_state(&store, &fleet, &socket);
        let reports = ReportSender {
            socket: socket.clone(),
            fleet: Arc::clone(&fleet),
            slots: slots.clone(),
            registry: registry.clone(),
            leaving: leaving_watch.clone(),
        };
        tokio::spawn(reports.run());
        let (sender, events) = mpsc::channel(EVENT_QUEUE_CAPACITY);
        tokio::spawn(receive_datagrams(
            socket.clone(),
            Arc::clone(&fleet),
            registry.clone(),
            sender.clone(),
        ));
        let heartbeats = HeartbeatPort::new(sender.clone(), settings.grant_delivery);
        let follower = UpstreamFollower::builder()
            .settings(Arc::clone(&settings))
            .fleet(Arc::clone(&fleet))
            .registry(registry.clone())
            .slots(slots.clone())
            .client(client.clone())
            .metrics(metrics.clone())
            .build();
        let controller = RangeController::builder()
            .settings(Arc::clone(&settings))
            .fleet(Arc::clone(&fleet))
            .store(store)
            .client(client)
            .socket(socket)
            .registry(registry.clone())
            .slots(slots.clone())
            .gate(gate)
            .metrics(metrics.clone())
            .events(events)
            .sender(sender)
            .leaving(leaving_watch)
            .build();
        tokio::spawn(controller.run());
        serve_upstream(&fleet, &registry, &slots, &metrics);
        tokio::spawn(follower.run());
        serve_peers(listener, incarnation, owner, &settings, &budget);

        Ok(Self {
            dispatcher,
            registry,
            heartbeats,
            metrics,
            callers: CallerConnections::default(),
            budget,
            settings,
            fleet,
            slots,
            shutting_down: Arc::default(),
            leaving: Arc::new(leaving),
        })
    }

    /// Returns whether callers should use this sidecar: it has a configuration
    /// and is not shutting down.
    pub fn is_ready(&self) -> bool {
        !self.shutting_down.load(Ordering::Relaxed) && self.fleet.routes().is_some()
    }

    /// Shuts down and returns when the process may exit: reports not ready so
    /// that callers go elsewhere, then hands over all ranges and finishes
    /// running requests. Returns at the latest shortly before the end of
    /// [`SidecarSettings::shutdown_grace`].
    ///
    /// The upstream keeps its slots and keys while callers are being
    /// redirected, so that they are unavailable for as short as possible.
    pub async fn shut_down(&self) {
        let started = Instant::now();
        let limit = started + self.settings.shutdown_grace.saturating_sub(GRACE_MARGIN);
        log::info!(grace_ms = self.settings.shutdown_grace.as_millis() as u64; "process: leaves");
        self.shutting_down.store(true, Ordering::Relaxed);
        self.dispatcher
            .end_at(limit.checked_sub(EXIT_MARGIN).unwrap_or(started));
        sleep(READINESS_DELAY.min(self.settings.shutdown_grace / 2)).await;
        self.dispatcher.redirect_callers();
        self.callers.close();
        while Instant::now() + HANDOVER_TIME < limit && self.has_callers() {
            sleep(TICK_INTERVAL).await;
        }
        self.leaving.send_replace(true);
        while Instant::now() < limit && !self.is_done() {
            sleep(TICK_INTERVAL).await;
        }
        log::info!(
            took_ms = started.elapsed().as_millis() as u64, running = self.slots.gauge().running,
            done = self.is_done();
            "process: stops"
        );
    }

    /// Returns whether callers still wait for responses. As many of the active
    /// requests as the upstream runs are left out, since its running requests
    /// make calls of their own.
    fn has_callers(&self) -> bool {
        self.dispatcher.active_requests() > self.slots.gauge().running
    }

    fn is_done(&self) -> bool {
        let is_idle = self
            .dispatcher
            .idle_for()
            .is_some_and(|idle| idle >= IDLE_BEFORE_EXIT);
        let gauge = self.slots.gauge();
        let own = self.fleet.own().incarnation;
        let owns = !self.fleet.map().map.owned_by(own).is_empty();
        let is_written = self.callers.answering() == 0;
        is_idle && is_written && gauge.running == 0 && gauge.waiting == 0 && !owns
    }
}

/// Serves the other sidecars until the process ends.
fn serve_peers<H: OwnerRequestHandler>(
    listener: TcpListener,
    incarnation: Incarnation,
    owner: H,
    settings: &SidecarSettings,
    budget: &ByteBudget,
) {
    let peers = PeerServer::new(incarnation, owner)
        .with_budget(budget.clone())
        .with_max_handshakes(settings.process_limits.pending_handshakes());
    tokio::spawn(peers.serve(listener, CancellationToken::new()));
}

/// Starts the tasks that fetch what peers know, and tell them and the store of requests
/// that crash upstreams.
fn share_state<S: StateStore>(store: &S, fleet: &Arc<FleetState>, socket: &DatagramSocket) {
    tokio::spawn(catch_up(Arc::clone(fleet), TimerService));
    tokio::spawn(announce_crashes(socket.clone(), Arc::clone(fleet)));
    tokio::spawn(store_verdicts(store.clone(), Arc::clone(fleet)));
}

/// Binds the TCP listener and the datagram socket for other sidecars.
async fn bind_peers(address: SocketAddr) -> eyre::Result<(TcpListener, DatagramSocket)> {
    let listener = TcpListener::bind(address).await.wrap_err_with(|| {
        format!("cannot bind {address}; free the port or configure another one")
    })?;
    let socket = DatagramSocket::bind(address)
        .await
        .wrap_err_with(|| format!("cannot bind {address} for UDP; free the port"))?;
    Ok((listener, socket))
}

fn member_record(settings: &SidecarSettings, former: &FormerProcess) -> MemberRecord {
    MemberRecord {
        incarnation: next_incarnation(former.incarnation),
        node: settings.node.clone(),
        address: settings.advertised_peers,
        service: settings.service.clone(),
        domain: settings.domain.clone(),
    }
}

fn log_start(member: &MemberRecord, former: &FormerProcess) {
    log::info!(
        node = &*member.node, incarnation = member.incarnation, former = former.incarnation,
        service = &*member.service, domain = &*member.domain;
        "process: starts"
    );
}

/// Creates the registry of the upstream, with what the last process on this node knew.
fn upstream_registry(settings: &SidecarSettings, former: &FormerProcess) -> LocalUpstreamRegistry {
    let registry = LocalUpstreamRegistry::new(settings.announce_interval);
    recall_stored(&registry, &settings.node, &former.page);
    if former.incarnation.is_some() {
        // The first announcement may be one from before the restart.
        registry.suspect_cold();
    }
    registry
}

/// Starts the reader of the operator's topic.
fn follow_operator<S: StateStore, D: ConfigurationDecoder>(
    store: &S,
    fleet: &Arc<FleetState>,
    first: StartRead,
    pace: ReadPace,
    decoder: D,
) {
    let applied = Arc::clone(fleet);
    tokio::spawn(follow_topic(
        store.clone(),
        StoreTopic::Operator,
        Arc::clone(fleet),
        first,
        pace,
        move |page, is_whole| apply_operator(&applied, &decoder, page, is_whole),
    ));
}

/// Starts the reader of the fleet's topic, and the writer of departures. The topic is read
/// again after this sidecar has announced itself there, so that of two sidecars that start
/// together at least one finds the other.
fn follow_fleet<S: StateStore>(
    store: &S,
    fleet: &Arc<FleetState>,
    first: StartRead,
    pace: ReadPace,
    registry: &LocalUpstreamRegistry,
) {
    let member = fleet.own();
    let departures = registry.departures().clone();
    tokio::spawn(store_departures(
        store.clone(),
        Arc::clone(fleet),
        departures,
    ));
    let applied = Arc::clone(fleet);
    let registry = registry.clone();
    let announced = announce_member(store.clone(), member.clone());
    let again = announce_again(store.clone(), Arc::clone(fleet), member.clone());
    let followed = follow_topic(
        store.clone(),
        StoreTopic::Fleet,
        Arc::clone(fleet),
        first,
        pace,
        move |page, _is_whole| {
            apply_fleet(&applied, page);
            recall_stored(&registry, &applied.own().node, page);
        },
    );
    tokio::spawn(async move {
        announced.await;
        tokio::spawn(again);
        followed.await;
    });
}

/// Writes this sidecar's member record to the store again whenever the store has
/// lost it, until the process ends.
async fn announce_again<S: StateStore>(store: S, fleet: Arc<FleetState>, member: MemberRecord) {
    loop {
        fleet.announce_request.notified().await;
        log::info!("process: writes its member record again");
        announce_member(store.clone(), member.clone()).await;
    }
}

/// Writes this sidecar's member record to the store, with retries until the
/// store has accepted it.
async fn announce_member<S: StateStore>(store: S, member: MemberRecord) {
    let mut backoff = RetryBackoff::new(ANNOUNCE_BACKOFF.0, ANNOUNCE_BACKOFF.1);
    let key = format!("{MEMBER_PREFIX}{}", member.node);
    let value = match postcard::to_stdvec(&member) {
        Ok(value) => bytes::Bytes::from(value),
        Err(error) => {
            log::error!("process: cannot encode the member record: {error}");
            return;
        }
    };
    while let Err(error) = store
        .append(StoreTopic::Fleet, &key, value.clone(), None)
        .await
    {
        log::warn!(error:% = error; "process: cannot write the member record, retrying");
        sleep(backoff.next_wait()).await;
    }
}

/// Starts the tasks that take the local upstream in and out of service, and those that
/// keep its queue and its registry up to date as time passes.
fn serve_upstream(
    fleet: &Arc<FleetState>,
    registry: &LocalUpstreamRegistry,
    slots: &SlotQueue,
    metrics: &SidecarMetrics,
) {
    // Until the orders in force are known.
    registry.set_evacuated(true);
    tokio::spawn(follow_evacuations(
        Arc::clone(fleet),
        registry.clone(),
        metrics.clone(),
    ));
    tokio::spawn(tick_queue(slots.clone(), registry.clone()));
    tokio::spawn(slots.clone().start_paced());
    tokio::spawn(check_announcements(registry.clone()));
}

async fn tick_queue(slots: SlotQueue, registry: LocalUpstreamRegistry) {
    let mut ticks = TimerService.subscribe(TICK_INTERVAL);
    loop {
        let tick = ticks.next().await;
        // A stated pace fades while there are no responses.
        slots.set_pace(registry.pace().current());
        slots.tick(tick.since_last.max(TICK_INTERVAL));
    }
}

async fn check_announcements(registry: LocalUpstreamRegistry) {
    let mut ticks = TimerService.subscribe(SILENCE_CHECK_INTERVAL);
    loop {
        ticks.next().await;
        registry.check_timeout();
    }
}

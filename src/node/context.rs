//! What the parts of one incarnation share while they are started.

use std::sync::Arc;

use tokio::net::TcpListener;
use tokio::sync::mpsc;
use tokio::sync::watch;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;
use xtra::Address;

use super::backend::NodeBackend;
use super::backend::follow_offsets;
use super::catch_up::PeerCatchUp;
use super::datagrams::NodeSender;
use super::figures::FigureKeeper;
use super::figures::OwnerFigures;
use super::handler::NodeHandler;
use super::inputs::NodeInputs;
use super::inputs::RouteKeeper;
use super::limits::entry_limits;
use super::limits::lease_timing;
use super::limits::log_settings;
use super::local::serve_local;
use super::membership::MembershipClerk;
use super::observer::EntryObserver;
use super::parts::NodeGate;
use super::parts::NodeHandover;
use super::parts::NodeLease;
use super::parts::NodeLog;
use super::parts::NodeOwner;
use super::parts::NodePlanner;
use super::parts::NodeReadiness;
use super::parts::feed_actors;
use super::parts::follow_classes;
use super::parts::follow_states;
use super::parts::forget_entries;
use super::parts::resign;
use super::parts::send_ticks;
use super::parts::serve_operators;
use super::parts::spawn_actor;
use super::parts::tick_leases;
use super::parts::until;
use crate::base::ids::Incarnation;
use crate::base::timer::TimerService;
use crate::delivery::owner::OwnerService;
use crate::delivery::settings::OwnerSettings;
use crate::entry::dispatch::RequestDispatcher;
use crate::entry::server::EntryServer;
use crate::handover::activity::ChainActivity;
use crate::handover::coordinator::HandoverCoordinator;
use crate::handover::coordinator::HandoverTick;
use crate::log::follower::FollowerHandle;
use crate::log::follower::start_follower;
use crate::log::http::HttpLogService;
use crate::log::metered::MeteredLog;
use crate::log::settings::FollowerSettings;
use crate::log::settings::WriterSettings;
use crate::log::snapshot_writer::SnapshotWriter;
use crate::log::writer::WriterHandle;
use crate::log::writer::start_writer;
use crate::ownership::actor::LeaseActor;
use crate::ownership::gate::SystemClock;
use crate::ownership::view::OwnershipView;
use crate::planner::actor::PlannerActor;
use crate::planner::actor::PlannerTick;
use crate::routing::table::RoutePublisher;
use crate::settings::NodeSettings;
use crate::state::folded::FoldedState;
use crate::state::record::LapseCertificate;
use crate::state::retention::SnapshotPolicy;
use crate::telemetry::metrics::MetricRegistry;
use crate::transport::datagram::DatagramSocket;
use crate::transport::server::PeerServer;
use crate::upstream::announce::UpstreamRegistry;
use crate::upstream::http::HttpUpstream;

/// Certificates and resignations that may wait for the log.
const REPORT_QUEUE: usize = 1024;

/// Largest answer of an upstream, in bytes.
const MAX_ANSWER: usize = 16 * 1024 * 1024;

/// What the parts of one incarnation share.
pub(super) struct NodeContext {
    pub(super) settings: Arc<NodeSettings>,
    pub(super) own: Incarnation,
    pub(super) metrics: MetricRegistry,
    pub(super) inputs: watch::Receiver<NodeInputs>,
    pub(super) sender: NodeSender,
    /// Ends every part but the callers' interface.
    pub(super) stop: CancellationToken,
    pub(super) tasks: TaskTracker,
}

/// The client of the platform's log.
pub(super) struct LogParts {
    pub(super) log: NodeLog,
    pub(super) follower: FollowerHandle,
    pub(super) writer: WriterHandle<NodeLog>,
}

/// The process's lease.
pub(super) struct LeaseParts {
    pub(super) address: Address<NodeLease>,
    pub(super) gate: NodeGate,
    pub(super) views: watch::Receiver<Arc<OwnershipView>>,
    /// Certificates to be appended.
    pub(super) ends: mpsc::Receiver<LapseCertificate>,
}

impl NodeContext {
    pub(super) fn new(
        settings: Arc<NodeSettings>,
        own: Incarnation,
        inputs: watch::Receiver<NodeInputs>,
        socket: &DatagramSocket,
    ) -> Self {
        Self {
            settings,
            own,
            metrics: MetricRegistry::new(),
            sender: NodeSender::new(socket.clone(), inputs.clone()),
            inputs,
            stop: CancellationToken::new(),
            tasks: TaskTracker::new(),
        }
    }

    /// Runs a task until it ends or the process stops.
    pub(super) fn spawn(&self, task: impl Future<Output = ()> + Send + 'static) {
        self.tasks.spawn(until(self.stop.clone(), task));
    }

    pub(super) fn follow_log(&self, state: &FoldedState) -> eyre::Result<LogParts> {
        let settings = &self.settings;
        let log = HttpLogService::new(log_settings(settings))?;
        let log = MeteredLog::new(log, self.metrics.log.clone());
        let follower = start_follower(
            log.clone(),
            state.clone(),
            FollowerSettings::builder()
                .poll_interval(settings.log.poll_interval)
                .page_limit(settings.log.read_entries as usize)
                .max_backoff(settings.log.longest_backoff)
                .build(),
        );
        let writer = start_writer(
            log.clone(),
            follower.clone(),
            self.own,
            WriterSettings::builder()
                .batches_per_second(settings.log.appends_per_second)
                .burst_batches(settings.log.appends_per_second)
                .build(),
        );
        Ok(LogParts {
            log,
            follower,
            writer,
        })
    }

    pub(super) fn start_lease(&self) -> LeaseParts {
        let (appends, ends) = mpsc::channel(REPORT_QUEUE);
        let lease = LeaseActor::builder()
            .incarnation(self.own)
            .timing(lease_timing(&self.settings))
            .clock(SystemClock::start())
            .sender(self.sender.clone())
            .appends(appends)
            .metrics(self.metrics.ownership.clone())
            .build();
        LeaseParts {
            gate: lease.gate(),
            views: lease.view(),
            address: spawn_actor(lease),
            ends,
        }
    }

    pub(super) fn start_owner(
        &self,
        gate: NodeGate,
        registry: &UpstreamRegistry,
    ) -> eyre::Result<Arc<NodeOwner>> {
        let limits = &self.settings.limits;
        let settings = OwnerSettings::builder()
            .incarnation(self.own)
            .outcome_retention(limits.outcome_memory)
            .max_outcomes(limits.outcome_entries as usize)
            .max_outcome_bytes(limits.outcome_bytes as usize)
            .build();
        let upstream = HttpUpstream::new(MAX_ANSWER)?;
        Ok(Arc::new(OwnerService::new(
            gate,
            upstream,
            registry.subscribe(),
            settings,
        )))
    }

    pub(super) fn clerk(&self, log: &LogParts) -> MembershipClerk<NodeLog> {
        MembershipClerk::new(
            self.own,
            Arc::clone(&self.settings),
            log.writer.clone(),
            self.sender.clone(),
            self.inputs.clone(),
        )
    }

    pub(super) fn start_handover(
        &self,
        lease: &Address<NodeLease>,
        clerk: &MembershipClerk<NodeLog>,
        activity: ChainActivity,
        registry: &UpstreamRegistry,
    ) -> Address<NodeHandover> {
        let (resigns, resigns_queue) = mpsc::channel(REPORT_QUEUE);
        let (reports, reports_queue) = mpsc::channel(REPORT_QUEUE);
        self.spawn(resign(resigns_queue, lease.clone(), reports));
        self.spawn(clerk.clone().append_resigns(reports_queue));
        let readiness = NodeReadiness {
            inputs: self.inputs.clone(),
            registry: registry.clone(),
        };
        let handover = HandoverCoordinator::builder()
            .incarnation(self.own)
            .sender(self.sender.clone())
            .readiness(readiness)
            .activity(activity)
            .resigns(resigns)
            .build();
        spawn_actor(handover)
    }

    pub(super) fn start_planner(&self, log: &LogParts) -> Address<NodePlanner> {
        spawn_actor(PlannerActor::new(
            self.own,
            log.writer.clone(),
            self.sender.clone(),
        ))
    }

    /// Tells the parts of ticks and of changes.
    pub(super) fn feed_parts(
        &self,
        log: &LogParts,
        lease: &Address<NodeLease>,
        handover: &Address<NodeHandover>,
        planner: &Address<NodePlanner>,
    ) {
        self.spawn(tick_leases(lease.clone()));
        self.spawn(send_ticks(handover.clone(), HandoverTick::INTERVAL, || {
            HandoverTick
        }));
        self.spawn(send_ticks(planner.clone(), PlannerTick::INTERVAL, || {
            PlannerTick
        }));
        self.spawn(follow_states(log.follower.states(), lease.clone()));
        let inputs = self.inputs.clone();
        self.spawn(feed_actors(
            self.own,
            inputs,
            handover.clone(),
            planner.clone(),
        ));
    }

    /// Asks others for the state while the log is down, and writes snapshots.
    pub(super) fn keep_up(&self, log: &LogParts) {
        let catch_up = PeerCatchUp::new(
            log.follower.clone(),
            self.settings.addresses.peers,
            self.settings.peers.clone(),
        );
        self.spawn(catch_up.run(TimerService));
        let keeper = SnapshotWriter::new(
            log.log.clone(),
            log.follower.clone(),
            log.writer.clone(),
            self.own,
            SnapshotPolicy::default(),
        );
        self.spawn(keeper.run(TimerService));
    }

    pub(super) fn keep_figures(
        &self,
        log: &LogParts,
        owner: &Arc<NodeOwner>,
        registry: &UpstreamRegistry,
    ) {
        let owner = Arc::clone(owner);
        let figures = FigureKeeper::builder()
            .own(self.own)
            .metrics(self.metrics.clone())
            .log(log.log.clone())
            .follower(log.follower.clone())
            .inputs(self.inputs.clone())
            .upstream(registry.subscribe())
            .owner(move || OwnerFigures {
                load: owner.load(),
                outcomes: owner.stored_outcomes(),
            })
            .build();
        self.spawn(figures.run());
    }

    pub(super) fn serve_operators(&self, listener: TcpListener, log: &LogParts) {
        let (offsets_sender, offsets) = watch::channel(0);
        self.spawn(follow_offsets(self.inputs.clone(), offsets_sender));
        let backend = NodeBackend::builder()
            .node(self.settings.node.clone())
            .own(self.own)
            .log(log.log.clone())
            .writer(log.writer.clone())
            .follower(log.follower.clone())
            .inputs(self.inputs.clone())
            .offsets(offsets)
            .metrics(self.metrics.clone())
            .build();
        let stop = self.stop.clone();
        self.tasks.spawn(serve_operators(listener, backend, stop));
    }

    pub(super) fn serve_peers(&self, listener: TcpListener, handler: NodeHandler<NodeGate>) {
        let peers = PeerServer::new(self.own, handler);
        self.spawn(forget_entries(self.inputs.clone(), peers.clone()));
        self.tasks.spawn(peers.serve(listener, self.stop.clone()));
    }

    pub(super) fn serve_local(&self, listener: TcpListener, registry: &UpstreamRegistry) {
        self.tasks.spawn(serve_local(
            listener,
            registry.clone(),
            self.metrics.clone(),
            self.inputs.clone(),
            self.stop.clone(),
        ));
    }

    /// Creates the callers' interface and keeps its routes and classes.
    pub(super) fn entry(
        &self,
        handler: NodeHandler<NodeGate>,
        owner: &Arc<NodeOwner>,
    ) -> EntryServer<NodeHandler<NodeGate>, EntryObserver> {
        let routes = RoutePublisher::default();
        self.spawn(RouteKeeper::new(self.own, routes.clone()).run(self.inputs.clone()));
        let observer = EntryObserver::new(self.metrics.clone());
        self.spawn(follow_classes(
            self.inputs.clone(),
            Arc::clone(owner),
            observer.clone(),
        ));
        let dispatcher = RequestDispatcher::builder()
            .incarnation(self.own)
            .domain(self.settings.failure_domain.clone())
            .routes(routes)
            .local(handler)
            .metrics(self.metrics.routing.clone())
            .build();
        EntryServer::new(dispatcher, entry_limits(&self.settings), observer)
    }
}

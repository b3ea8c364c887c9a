//! Builds and starts the components of one incarnation.

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
use super::component_settings::entry_limits;
use super::component_settings::lease_timing;
use super::component_settings::log_settings;
use super::datagrams::NodeSender;
use super::handler::NodeHandler;
use super::inputs::NodeInputs;
use super::inputs::RouteUpdater;
use super::local::serve_local;
use super::membership::MembershipWriter;
use super::metrics_updater::MetricsUpdater;
use super::metrics_updater::OwnerStats;
use super::observer::EntryObserver;
use super::tasks::NodeGate;
use super::tasks::NodeHandover;
use super::tasks::NodeLease;
use super::tasks::NodeLog;
use super::tasks::NodeOwner;
use super::tasks::NodePlanner;
use super::tasks::NodeReadiness;
use super::tasks::forward_resignations;
use super::tasks::remove_ended_entries;
use super::tasks::run_until_cancelled;
use super::tasks::send_inputs;
use super::tasks::send_states;
use super::tasks::send_ticks;
use super::tasks::serve_operators;
use super::tasks::spawn_actor;
use super::tasks::tick_leases;
use super::tasks::update_classes;
use crate::base::ids::Incarnation;
use crate::base::process_end::ProcessEnd;
use crate::base::timer::TimerService;
use crate::delivery::owner::OwnerService;
use crate::delivery::settings::OwnerSettings;
use crate::entry::dispatch::RequestDispatcher;
use crate::entry::server::EntryServer;
use crate::handover::activity::ChainActivity;
use crate::handover::coordinator::HandoverCoordinator;
use crate::handover::coordinator::HandoverTick;
use crate::held_bytes::budget::ByteBudget;
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
use crate::transport::link::EntryProcess;
use crate::transport::server::PeerServer;
use crate::upstream::announce::UpstreamRegistry;
use crate::upstream::http::HttpUpstream;

/// Capacity of the queues of certificates and resignations to be appended.
const APPEND_QUEUE_CAPACITY: usize = 1024;

/// Maximum size of an upstream's response.
const MAX_RESPONSE_BYTES: usize = 16 * 1024 * 1024;

/// State shared by the components of one incarnation.
pub(super) struct NodeContext {
    pub(super) settings: Arc<NodeSettings>,
    pub(super) own: Incarnation,
    pub(super) metrics: MetricRegistry,
    /// Holds what this process keeps for callers, peers and the upstream.
    pub(super) budget: ByteBudget,
    pub(super) inputs: watch::Receiver<NodeInputs>,
    pub(super) sender: NodeSender,
    /// Stops every component except the callers' interface.
    pub(super) stop: CancellationToken,
    pub(super) tasks: TaskTracker,
}

/// The components that read and write the platform's log.
pub(super) struct LogComponents {
    pub(super) log: NodeLog,
    pub(super) follower: FollowerHandle,
    pub(super) writer: WriterHandle<NodeLog>,
}

/// The lease actor and its outputs.
pub(super) struct LeaseComponents {
    pub(super) address: Address<NodeLease>,
    pub(super) gate: NodeGate,
    pub(super) views: watch::Receiver<Arc<OwnershipView>>,
    /// Certificates to be appended to the log.
    pub(super) certificates: mpsc::Receiver<LapseCertificate>,
}

impl NodeContext {
    pub(super) fn new(
        settings: Arc<NodeSettings>,
        own: Incarnation,
        inputs: watch::Receiver<NodeInputs>,
        socket: &DatagramSocket,
        budget: ByteBudget,
    ) -> Self {
        Self {
            settings,
            own,
            metrics: MetricRegistry::new(),
            budget,
            sender: NodeSender::new(socket.clone(), inputs.clone()),
            inputs,
            stop: CancellationToken::new(),
            tasks: TaskTracker::new(),
        }
    }

    /// Spawns a task that is cancelled when the process stops.
    pub(super) fn spawn(&self, task: impl Future<Output = ()> + Send + 'static) {
        self.tasks
            .spawn(run_until_cancelled(self.stop.clone(), task));
    }

    pub(super) fn follow_log(&self, state: &FoldedState) -> eyre::Result<LogComponents> {
        let settings = &self.settings;
        let log = HttpLogService::new(log_settings(settings))?;
        let log = MeteredLog::new(log, self.metrics.log.clone());
        let follower = start_follower(
            log.clone(),
            state.clone(),
            FollowerSettings::builder()
                .poll_interval(settings.log.poll_interval)
                .page_limit(settings.log.read_entries as usize)
                .max_backoff(settings.log.max_backoff)
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
        Ok(LogComponents {
            log,
            follower,
            writer,
        })
    }

    pub(super) fn start_lease(&self) -> LeaseComponents {
        let (appends, certificates) = mpsc::channel(APPEND_QUEUE_CAPACITY);
        let lease = LeaseActor::builder()
            .incarnation(self.own)
            .timing(lease_timing(&self.settings))
            .clock(SystemClock::start())
            .sender(self.sender.clone())
            .appends(appends)
            .metrics(self.metrics.ownership.clone())
            .build();
        LeaseComponents {
            gate: lease.gate(),
            views: lease.view(),
            address: spawn_actor(lease),
            certificates,
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
            .outcome_retention(limits.outcome_retention)
            .max_outcomes(limits.outcome_entries as usize)
            .max_outcome_bytes(limits.outcome_bytes as usize)
            .build();
        let upstream = HttpUpstream::new(MAX_RESPONSE_BYTES)?.with_budget(self.budget.clone());
        Ok(Arc::new(OwnerService::new(
            gate,
            upstream,
            registry.subscribe(),
            settings,
        )))
    }

    pub(super) fn membership_writer(&self, log: &LogComponents) -> MembershipWriter<NodeLog> {
        MembershipWriter::new(
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
        membership: &MembershipWriter<NodeLog>,
        activity: ChainActivity,
        registry: &UpstreamRegistry,
    ) -> Address<NodeHandover> {
        let (resignations, resignation_queue) = mpsc::channel(APPEND_QUEUE_CAPACITY);
        let (appends, append_queue) = mpsc::channel(APPEND_QUEUE_CAPACITY);
        self.spawn(forward_resignations(
            resignation_queue,
            lease.clone(),
            appends,
        ));
        self.spawn(membership.clone().append_resignations(append_queue));
        let readiness = NodeReadiness {
            inputs: self.inputs.clone(),
            registry: registry.clone(),
        };
        let handover = HandoverCoordinator::builder()
            .incarnation(self.own)
            .sender(self.sender.clone())
            .readiness(readiness)
            .activity(activity)
            .resigns(resignations)
            .build();
        spawn_actor(handover)
    }

    pub(super) fn start_planner(&self, log: &LogComponents) -> Address<NodePlanner> {
        spawn_actor(PlannerActor::new(
            self.own,
            log.writer.clone(),
            self.sender.clone(),
        ))
    }

    /// Spawns the tasks that send ticks and state changes to the actors.
    pub(super) fn start_feeds(
        &self,
        log: &LogComponents,
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
        self.spawn(send_states(log.follower.states(), lease.clone()));
        let inputs = self.inputs.clone();
        self.spawn(send_inputs(
            self.own,
            inputs,
            handover.clone(),
            planner.clone(),
        ));
    }

    /// Asks others for the state while the log is down, and writes snapshots.
    /// Starts what keeps the folded state current and writes snapshots.
    pub(super) fn maintain_state(&self, log: &LogComponents) {
        let catch_up = PeerCatchUp::new(
            log.follower.clone(),
            self.settings.addresses.peers,
            self.settings.peers.clone(),
        );
        self.spawn(catch_up.run(TimerService));
        let snapshots = SnapshotWriter::new(
            log.log.clone(),
            log.follower.clone(),
            log.writer.clone(),
            self.own,
            SnapshotPolicy::default(),
        );
        self.spawn(snapshots.run(TimerService));
    }

    pub(super) fn start_metrics_updates(
        &self,
        log: &LogComponents,
        owner: &Arc<NodeOwner>,
        registry: &UpstreamRegistry,
    ) {
        let owner = Arc::clone(owner);
        let updater = MetricsUpdater::builder()
            .own(self.own)
            .metrics(self.metrics.clone())
            .log(log.log.clone())
            .follower(log.follower.clone())
            .inputs(self.inputs.clone())
            .upstream(registry.subscribe())
            .budget(self.budget.clone())
            .owner(move || OwnerStats {
                load: owner.load(),
                outcomes: owner.stored_outcomes(),
            })
            .build();
        self.spawn(updater.run());
    }

    pub(super) fn serve_operators(&self, listener: TcpListener, log: &LogComponents) {
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
        let peers = PeerServer::new(self.own, handler)
            .with_budget(self.budget.clone())
            .with_max_handshakes(self.settings.limits.process_limits().pending_handshakes());
        self.spawn(remove_ended_entries(self.inputs.clone(), peers.clone()));
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

    /// Creates the callers' interface and spawns the tasks that update its routes
    /// and classes.
    pub(super) fn entry(
        &self,
        handler: NodeHandler<NodeGate>,
        owner: &Arc<NodeOwner>,
    ) -> EntryServer<NodeHandler<NodeGate>, EntryObserver> {
        let routes = RoutePublisher::default();
        let links =
            EntryProcess::new(self.own, ProcessEnd::default()).with_budget(self.budget.clone());
        let routes_updater = RouteUpdater::new(self.own, links, routes.clone());
        self.spawn(routes_updater.run(self.inputs.clone()));
        let observer = EntryObserver::new(self.metrics.clone());
        self.spawn(update_classes(
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
        EntryServer::builder()
            .dispatcher(dispatcher)
            .limits(entry_limits(&self.settings))
            .observer(observer)
            .budget(self.budget.clone())
            .closed_connections(self.metrics.memory.closed_connections.clone())
            .build()
    }
}

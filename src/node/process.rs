//! Binds the sockets and wires the parts of one incarnation.

use std::sync::Arc;
use std::time::Duration;

use tokio::sync::mpsc;
use tokio::sync::watch;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;
use xtra::Address;

use super::backend::NodeBackend;
use super::backend::follow_offsets;
use super::catch_up::PeerCatchUp;
use super::datagrams::DatagramReceiver;
use super::datagrams::NodeSender;
use super::figures::FigureKeeper;
use super::figures::OwnerFigures;
use super::handler::NodeHandler;
use super::identity::new_incarnation;
use super::inputs::NodeInputs;
use super::inputs::RouteKeeper;
use super::inputs::join_inputs;
use super::limits::entry_limits;
use super::limits::lease_timing;
use super::limits::log_settings;
use super::listeners::NodeListeners;
use super::local::serve_local;
use super::membership::MembershipClerk;
use super::observer::EntryObserver;
use super::parts::NodeHandover;
use super::parts::NodeLog;
use super::parts::NodeOwner;
use super::parts::NodePlanner;
use super::parts::NodeReadiness;
use super::parts::feed_actors;
use super::parts::follow_classes;
use super::parts::follow_states;
use super::parts::forget_entries;
use super::parts::report_load;
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
use crate::entry::dispatch::OrderDispatcher;
use crate::entry::server::EntryServer;
use crate::handover::activity::ChainActivity;
use crate::handover::coordinator::HandoverCoordinator;
use crate::handover::coordinator::HandoverTick;
use crate::hotkeys::report::KeySampler;
use crate::log::follower::FollowerSettings;
use crate::log::follower::start_follower;
use crate::log::http::HttpLogService;
use crate::log::metered::MeteredLog;
use crate::log::snapshot_keeper::SnapshotKeeper;
use crate::log::writer::WriterSettings;
use crate::log::writer::start_writer;
use crate::ownership::actor::LeaseActor;
use crate::ownership::gate::SystemClock;
use crate::planner::actor::PlannerActor;
use crate::planner::actor::PlannerTick;
use crate::routing::table::RoutePublisher;
use crate::settings::NodeSettings;
use crate::state::folded::FoldedState;
use crate::state::retention::SnapshotPolicy;
use crate::telemetry::metrics::MetricRegistry;
use crate::transport::server::PeerServer;
use crate::upstream::announce::UpstreamRegistry;
use crate::upstream::http::HttpUpstream;

/// Certificates and resignations that may wait for the log.
const REPORT_QUEUE: usize = 1024;

/// Largest answer of an upstream, in bytes.
const MAX_ANSWER: usize = 16 * 1024 * 1024;

/// How long the parts of an incarnation may take to stop.
const STOP_LIMIT: Duration = Duration::from_secs(5);

/// Longest random pause before an incarnation that ended is followed by the
/// next.
const REJOIN_SPREAD: Duration = Duration::from_secs(1);

/// Runs incarnations until `leave` fires and the last one has left.
///
/// Fails when a socket cannot be bound.
pub async fn run_node(settings: NodeSettings, leave: CancellationToken) -> eyre::Result<()> {
    let settings = Arc::new(settings);
    // The next incarnation goes on from what this one folded, so that it can
    // route while the log is down.
    let mut state = Arc::<FoldedState>::default();
    while !leave.is_cancelled() {
        let process = NodeProcess::start(Arc::clone(&settings), &state).await?;
        let inputs = process.inputs.clone();
        process.run(&leave).await;
        state = Arc::clone(&inputs.borrow().state);
        if !leave.is_cancelled() {
            // Processes that ended together would take each other's new
            // witnesses away if they joined together again.
            tokio::time::sleep(REJOIN_SPREAD.mul_f64(rand::random())).await;
        }
    }
    Ok(())
}
/// The parts of one incarnation.
struct NodeProcess {
    settings: Arc<NodeSettings>,
    own: Incarnation,
    inputs: watch::Receiver<NodeInputs>,
    leaving: watch::Sender<bool>,
    owner: Arc<NodeOwner>,
    clerk: MembershipClerk<NodeLog>,
    registry: UpstreamRegistry,
    /// Ends the parts that callers and other processes talk to.
    stop_serving: CancellationToken,
    /// Ends everything else.
    stop: CancellationToken,
    entries: TaskTracker,
    tasks: TaskTracker,
}

impl NodeProcess {
    #[expect(clippy::too_many_lines, reason = "wires every part once, in one place")]
    async fn start(settings: Arc<NodeSettings>, state: &FoldedState) -> eyre::Result<Self> {
        let own = new_incarnation();
        let listeners = NodeListeners::bind(&settings).await?;
        log::info!("node: {} starts as {own:x}", settings.node);
        let metrics = MetricRegistry::new();
        let (inputs_sender, inputs) = watch::channel(NodeInputs::default());
        let (leaving, leaving_watch) = watch::channel(false);
        let sender = NodeSender::new(listeners.datagrams.clone(), inputs.clone());
        let stop = CancellationToken::new();
        let stop_serving = CancellationToken::new();
        let tasks = TaskTracker::new();
        let entries = TaskTracker::new();

        let log = HttpLogService::new(log_settings(&settings))?;
        let log = MeteredLog::new(log, metrics.log.clone());
        let follower = start_follower(
            log.clone(),
            state.clone(),
            FollowerSettings::builder()
                .poll_interval(settings.log.poll_interval)
                .page_limit(settings.log.read_entries as usize)
                .retry_limit(settings.log.longest_backoff)
                .build(),
        );
        let writer = start_writer(
            log.clone(),
            follower.clone(),
            own,
            WriterSettings::builder()
                .rate(settings.log.appends_per_second)
                .burst(settings.log.appends_per_second)
                .build(),
        );

        let (ends, ends_queue) = mpsc::channel(REPORT_QUEUE);
        let lease = LeaseActor::builder()
            .incarnation(own)
            .timing(lease_timing(&settings))
            .clock(SystemClock::start())
            .sender(sender.clone())
            .appends(ends)
            .metrics(metrics.ownership.clone())
            .build();
        let gate = lease.gate();
        let views = lease.view();
        let lease = spawn_actor(lease);
        tasks.spawn(until(
            stop.clone(),
            join_inputs(follower.states(), views, leaving_watch, inputs_sender),
        ));

        let registry = UpstreamRegistry::new();
        tasks.spawn(until(
            stop.clone(),
            registry.clone().expire_silent(TimerService),
        ));
        let owner = Arc::new(OwnerService::new(
            gate.clone(),
            HttpUpstream::new(MAX_ANSWER)?,
            registry.subscribe(),
            OwnerSettings::builder()
                .incarnation(own)
                .outcome_memory(settings.limits.outcome_memory)
                .outcome_entries(settings.limits.outcome_entries as usize)
                .outcome_bytes(settings.limits.outcome_bytes as usize)
                .build(),
        ));
        let activity = ChainActivity::default();
        let sampler = KeySampler::default();
        let handler = NodeHandler::new(
            gate,
            Arc::clone(&owner),
            activity.clone(),
            sampler.clone(),
            follower.clone(),
        );
        tasks.spawn(until(
            stop.clone(),
            report_load(own, sampler, sender.clone()),
        ));

        let routes = RoutePublisher::default();
        tasks.spawn(until(
            stop.clone(),
            RouteKeeper::new(own, routes.clone()).run(inputs.clone()),
        ));
        let observer = EntryObserver::new(metrics.clone());
        tasks.spawn(until(
            stop.clone(),
            follow_classes(inputs.clone(), Arc::clone(&owner), observer.clone()),
        ));

        let clerk = MembershipClerk::new(
            own,
            Arc::clone(&settings),
            writer.clone(),
            sender.clone(),
            inputs.clone(),
        );
        tasks.spawn(until(stop.clone(), clerk.clone().append_ends(ends_queue)));

        let (resigns, resigns_queue) = mpsc::channel(REPORT_QUEUE);
        let (reports, reports_queue) = mpsc::channel(REPORT_QUEUE);
        tasks.spawn(until(
            stop.clone(),
            resign(resigns_queue, lease.clone(), reports),
        ));
        tasks.spawn(until(
            stop.clone(),
            clerk.clone().append_resigns(reports_queue),
        ));
        let handover: Address<NodeHandover> = spawn_actor(
            HandoverCoordinator::builder()
                .own(own)
                .sender(sender.clone())
                .readiness(NodeReadiness {
                    inputs: inputs.clone(),
                    registry: registry.clone(),
                })
                .activity(activity)
                .resigns(resigns)
                .build(),
        );
        let (offsets_sender, offsets) = watch::channel(0);
        tasks.spawn(until(
            stop.clone(),
            follow_offsets(inputs.clone(), offsets_sender),
        ));
        let figures = FigureKeeper::builder()
            .own(own)
            .metrics(metrics.clone())
            .log(log.clone())
            .follower(follower.clone())
            .inputs(inputs.clone())
            .upstream(registry.subscribe())
            .owner({
                let owner = Arc::clone(&owner);
                move || OwnerFigures {
                    load: owner.load(),
                    outcomes: owner.kept_outcomes(),
                }
            })
            .build();
        tasks.spawn(until(stop.clone(), figures.run()));
        let backend = NodeBackend::builder()
            .node(settings.node.clone())
            .own(own)
            .log(log.clone())
            .writer(writer.clone())
            .follower(follower.clone())
            .inputs(inputs.clone())
            .offsets(offsets)
            .metrics(metrics.clone())
            .build();
        tasks.spawn(serve_operators(listeners.operators, backend, stop.clone()));
        let catch_up = PeerCatchUp::new(
            follower.clone(),
            settings.addresses.peers,
            settings.peers.clone(),
        );
        tasks.spawn(until(stop.clone(), catch_up.run(TimerService)));
        let keeper = SnapshotKeeper::new(
            log,
            follower.clone(),
            writer.clone(),
            own,
            SnapshotPolicy::default(),
        );
        tasks.spawn(until(stop.clone(), keeper.run(TimerService)));
        let planner: Address<NodePlanner> = spawn_actor(PlannerActor::new(own, writer, sender));

        tasks.spawn(until(stop.clone(), tick_leases(lease.clone())));
        tasks.spawn(until(
            stop.clone(),
            send_ticks(handover.clone(), HandoverTick::INTERVAL, || HandoverTick),
        ));
        tasks.spawn(until(
            stop.clone(),
            send_ticks(planner.clone(), PlannerTick::INTERVAL, || PlannerTick),
        ));
        tasks.spawn(until(
            stop.clone(),
            follow_states(follower.states(), lease.clone()),
        ));
        tasks.spawn(until(
            stop.clone(),
            feed_actors(own, inputs.clone(), handover.clone(), planner.clone()),
        ));
        let receiver = DatagramReceiver {
            socket: listeners.datagrams,
            ownership: lease,
            planner,
            handover,
            follower,
            metrics: metrics.transport.clone(),
        };
        tasks.spawn(receiver.run(stop.clone()));

        let peers = PeerServer::new(own, handler.clone());
        tasks.spawn(until(
            stop.clone(),
            forget_entries(inputs.clone(), peers.clone()),
        ));
        tasks.spawn(peers.serve(listeners.peers, stop.clone()));
        let dispatcher = OrderDispatcher::builder()
            .incarnation(own)
            .domain(settings.failure_domain.clone())
            .routes(routes)
            .local(handler)
            .metrics(metrics.routing.clone())
            .build();
        let entry = EntryServer::new(dispatcher, entry_limits(&settings), observer);
        entries.spawn(entry.serve(listeners.callers, stop_serving.clone()));
        tasks.spawn(serve_local(
            listeners.local,
            registry.clone(),
            metrics,
            inputs.clone(),
            stop.clone(),
        ));

        Ok(Self {
            settings,
            own,
            inputs,
            leaving,
            owner,
            clerk,
            registry,
            stop_serving,
            stop,
            entries,
            tasks,
        })
    }

    /// Runs until the incarnation has ended or left.
    async fn run(self, leave: &CancellationToken) {
        let mut inputs = self.inputs.clone();
        let ended = async {
            let ended = inputs.wait_for(|inputs| inputs.view.end_cause.is_some());
            ended.await.ok().and_then(|inputs| inputs.view.end_cause)
        };
        tokio::select! {
            cause = ended => {
                log::warn!("node: {:x} has ended: {cause:?}", self.own);
            }
            () = self.clerk.follow_upstream(self.registry.subscribe()) => {
                log::info!("node: the upstream is gone, {:x} leaves", self.own);
                self.leave().await;
            }
            () = leave.cancelled() => {
                log::info!("node: {:x} drains", self.own);
                self.leave().await;
            }
        }
        self.stop().await;
    }

    /// Moves every chain away, finishes what runs and leaves.
    async fn leave(&self) {
        let limit = self.settings.drain.timeout;
        self.leaving.send_replace(true);
        if self.inputs.borrow().state.members.contains_key(&self.own) {
            self.clerk.announce_drain().await;
            self.clerk.wait_until_moved(limit).await;
        }
        self.owner.drain();
        self.stop_serving.cancel();
        self.entries.close();
        let finished = async {
            self.entries.wait().await;
            self.owner.idle().await;
        };
        if tokio::time::timeout(limit, finished).await.is_err() {
            log::warn!("node: leaving with requests that still run");
        }
        if self.inputs.borrow().state.members.contains_key(&self.own) {
            self.clerk.leave().await;
        }
    }

    async fn stop(self) {
        self.stop_serving.cancel();
        self.stop.cancel();
        self.entries.close();
        self.tasks.close();
        let limit = self.settings.drain.timeout;
        let ended = tokio::time::timeout(STOP_LIMIT, self.tasks.wait()).await;
        if ended.is_err() {
            log::warn!("node: parts of {:x} did not stop in time", self.own);
        }
        drop(tokio::time::timeout(limit, self.entries.wait()).await);
    }
}

//! Type aliases of the components, and the tasks that connect them.

use std::sync::Arc;
use std::time::Duration;

use tokio::net::TcpListener;
use tokio::sync::mpsc;
use tokio::sync::watch;
use tokio_util::sync::CancellationToken;
use xtra::Address;
use xtra::Handler;
use xtra::Mailbox;

use super::backend::NodeBackend;
use super::datagrams::NodeSender;
use super::handler::NodeHandler;
use super::inputs::NodeInputs;
use super::observer::EntryObserver;
use crate::base::ids::Epoch;
use crate::base::ids::Incarnation;
use crate::base::timer::TimerService;
use crate::delivery::owner::OwnerService;
use crate::handover::coordinator::HandoverCoordinator;
use crate::handover::coordinator::HandoverStateChanged;
use crate::handover::coordinator::ReadinessSource;
use crate::hotkeys::report::IDLE_REPORT_INTERVALS;
use crate::hotkeys::report::KeySampler;
use crate::hotkeys::report::REPORT_INTERVAL;
use crate::log::http::HttpLogService;
use crate::log::metered::MeteredLog;
use crate::ownership::actor::LeaseActor;
use crate::ownership::actor::ResignPositions;
use crate::ownership::actor::StateChanged;
use crate::ownership::gate::SystemClock;
use crate::planner::actor::PlannerActor;
use crate::planner::actor::PlannerStateChanged;
use crate::state::folded::FoldedState;
use crate::state::record::ChainKey;
use crate::transport::server::PeerServer;
use crate::upstream::announce::UpstreamRegistry;

/// Mailbox capacity of an actor, in messages.
const MAILBOX_CAPACITY: usize = 1024;

/// Interval between ticks of the lease actor.
const LEASE_TICK_INTERVAL: Duration = Duration::from_millis(50);

/// Reports ready while the lease is live, the process is not leaving and the
/// upstream is announced.
#[derive(Debug, Clone)]
pub(super) struct NodeReadiness {
    pub(super) inputs: watch::Receiver<NodeInputs>,
    pub(super) registry: UpstreamRegistry,
}

impl ReadinessSource for NodeReadiness {
    fn is_ready(&self) -> bool {
        let inputs = self.inputs.borrow();
        let is_announced = self.registry.subscribe().borrow().is_some();
        inputs.view.lease_live && !inputs.is_leaving && is_announced
    }
}

pub(super) type NodeGate = crate::ownership::gate::LeaseGate<SystemClock>;
pub(super) type NodeOwner = OwnerService<NodeGate>;
pub(super) type NodeLease = LeaseActor<SystemClock, NodeSender>;
pub(super) type NodeHandover = HandoverCoordinator<NodeSender, NodeReadiness>;
pub(super) type NodeLog = MeteredLog<HttpLogService>;
pub(super) type NodePlanner = PlannerActor<NodeLog, NodeSender>;

pub(super) fn spawn_actor<A: xtra::Actor<Stop = ()>>(actor: A) -> Address<A> {
    xtra::spawn_tokio(actor, Mailbox::bounded(MAILBOX_CAPACITY))
}

pub(super) async fn serve_operators(
    listener: TcpListener,
    backend: NodeBackend<NodeLog>,
    stop: CancellationToken,
) {
    if let Err(error) = crate::operator::server::serve(listener, backend, stop).await {
        log::error!("operator: cannot serve the operators' address: {error}");
    }
}

/// Reports load to the planner: at every interval while there are hot keys, and
/// otherwise once in `IDLE_REPORT_INTERVALS` intervals.
pub(super) async fn report_load(own: Incarnation, sampler: KeySampler, sender: NodeSender) {
    let mut ticks = TimerService.subscribe(REPORT_INTERVAL);
    let mut idle_intervals = 0;
    loop {
        let tick = ticks.next().await;
        let summary = sampler.summarise(own, tick.since_last);
        idle_intervals = if summary.keys.is_empty() {
            idle_intervals + 1
        } else {
            0
        };
        if idle_intervals % IDLE_REPORT_INTERVALS == 0 {
            sender.report_load(&summary);
        }
    }
}

/// Runs a task until it completes or `stop` is cancelled.
pub(super) async fn run_until_cancelled(stop: CancellationToken, task: impl Future<Output = ()>) {
    tokio::select! {
        () = stop.cancelled() => {}
        () = task => {}
    }
}

pub(super) async fn tick_leases(lease: Address<NodeLease>) {
    let mut ticks = TimerService.subscribe(LEASE_TICK_INTERVAL);
    loop {
        let tick = ticks.next().await;
        if lease.send(tick).await.is_err() {
            return;
        }
    }
}

/// Sends the messages that `make` creates to an actor, one per `period`, until
/// the actor stops.
pub(super) async fn send_ticks<A, M>(actor: Address<A>, period: Duration, make: impl Fn() -> M)
where
    A: Handler<M, Return = ()>,
    M: Send + 'static,
{
    let mut ticks = TimerService.subscribe(period);
    loop {
        ticks.next().await;
        if actor.send(make()).await.is_err() {
            return;
        }
    }
}

/// Sends the folded state to the lease actor, now and after each change, without
/// the delay of the combined inputs.
pub(super) async fn send_states(
    mut states: watch::Receiver<Arc<FoldedState>>,
    lease: Address<NodeLease>,
) {
    loop {
        let state = Arc::clone(&states.borrow_and_update());
        if lease.send(StateChanged(state)).await.is_err() || states.changed().await.is_err() {
            return;
        }
    }
}

/// Sends changes of the inputs to the planner and to the handover coordinator.
pub(super) async fn send_inputs(
    own: Incarnation,
    mut inputs: watch::Receiver<NodeInputs>,
    handover: Address<NodeHandover>,
    planner: Address<NodePlanner>,
) {
    loop {
        let current = inputs.borrow_and_update().clone();
        let is_drained = current
            .state
            .members
            .get(&own)
            .is_some_and(|member| member.draining);
        let planner_inputs = PlannerStateChanged {
            state: Arc::clone(&current.state),
            ended: current.view.ended.clone(),
        };
        let handover_inputs = HandoverStateChanged {
            state: current.state,
            ended: current.view.ended.clone(),
            is_leaving: current.is_leaving || is_drained,
        };
        let is_sent = planner.send(planner_inputs).await.is_ok()
            && handover.send(handover_inputs).await.is_ok();
        if !is_sent || inputs.changed().await.is_err() {
            return;
        }
    }
}

/// Forwards resigned positions to the lease actor, which stops serving them at
/// once, and then to the queue of records for the log.
pub(super) async fn forward_resignations(
    mut resignations: mpsc::Receiver<Vec<(ChainKey, Epoch)>>,
    lease: Address<NodeLease>,
    appends: mpsc::Sender<Vec<(ChainKey, Epoch)>>,
) {
    while let Some(positions) = resignations.recv().await {
        let sent = lease.send(ResignPositions(positions.clone())).await;
        if sent.is_err() || appends.send(positions).await.is_err() {
            return;
        }
    }
}

/// Applies changes of the declared priority classes to the owner and to the
/// metrics of the entry.
pub(super) async fn update_classes(
    mut inputs: watch::Receiver<NodeInputs>,
    owner: Arc<NodeOwner>,
    observer: EntryObserver,
) {
    let mut current = Vec::new();
    loop {
        let classes = inputs
            .borrow_and_update()
            .state
            .classes()
            .cloned()
            .collect::<Vec<_>>();
        if classes != current {
            owner.set_classes(&classes);
            observer.set_classes(&classes);
            current = classes;
        }
        if inputs.changed().await.is_err() {
            return;
        }
    }
}

/// Drops the sessions of entry nodes whose incarnation has ended.
pub(super) async fn remove_ended_entries(
    mut inputs: watch::Receiver<NodeInputs>,
    peers: PeerServer<NodeHandler<NodeGate>>,
) {
    while inputs.changed().await.is_ok() {
        let state = Arc::clone(&inputs.borrow_and_update().state);
        peers.retain_entries(|entry| !state.ended.contains(entry));
    }
}

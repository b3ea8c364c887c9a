//! Binds the sockets and wires the parts of one incarnation.

use std::sync::Arc;
use std::time::Duration;

use tokio::sync::watch;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use super::context::NodeContext;
use super::datagrams::DatagramReceiver;
use super::handler::NodeHandler;
use super::identity::new_incarnation;
use super::inputs::NodeInputs;
use super::inputs::join_inputs;
use super::listeners::NodeListeners;
use super::membership::MembershipClerk;
use super::parts::NodeLog;
use super::parts::NodeOwner;
use super::parts::report_load;
use crate::base::timer::TimerService;
use crate::handover::activity::ChainActivity;
use crate::hotkeys::report::KeySampler;
use crate::settings::NodeSettings;
use crate::state::folded::FoldedState;
use crate::upstream::announce::UpstreamRegistry;

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
        let inputs = process.context.inputs.clone();
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
    context: NodeContext,
    leaving: watch::Sender<bool>,
    owner: Arc<NodeOwner>,
    clerk: MembershipClerk<NodeLog>,
    registry: UpstreamRegistry,
    /// Ends the callers' interface.
    stop_serving: CancellationToken,
    entries: TaskTracker,
}

impl NodeProcess {
    async fn start(settings: Arc<NodeSettings>, state: &FoldedState) -> eyre::Result<Self> {
        let own = new_incarnation();
        let listeners = NodeListeners::bind(&settings).await?;
        log::info!("node: {} starts as {own:x}", settings.node);
        let (inputs_sender, inputs) = watch::channel(NodeInputs::default());
        let (leaving, leaving_watch) = watch::channel(false);
        let context = NodeContext::new(settings, own, inputs, &listeners.datagrams);
        let log = context.follow_log(state)?;
        let lease = context.start_lease();
        let states = log.follower.states();
        context.spawn(join_inputs(
            states,
            lease.views,
            leaving_watch,
            inputs_sender,
        ));
        let registry = UpstreamRegistry::new();
        context.spawn(registry.clone().expire_announcements(TimerService));
        let owner = context.start_owner(lease.gate.clone(), &registry)?;
        let activity = ChainActivity::default();
        let sampler = KeySampler::default();
        context.spawn(report_load(own, sampler.clone(), context.sender.clone()));
        let follower = log.follower.clone();
        let handler = NodeHandler::new(
            lease.gate,
            Arc::clone(&owner),
            activity.clone(),
            sampler,
            follower,
        );

        let clerk = context.clerk(&log);
        context.spawn(clerk.clone().append_ends(lease.ends));
        let handover = context.start_handover(&lease.address, &clerk, activity, &registry);
        let planner = context.start_planner(&log);
        context.feed_parts(&log, &lease.address, &handover, &planner);
        let receiver = DatagramReceiver {
            socket: listeners.datagrams,
            ownership: lease.address,
            planner,
            handover,
            follower: log.follower.clone(),
            metrics: context.metrics.transport.clone(),
        };
        context.spawn(receiver.run(context.stop.clone()));
        context.keep_up(&log);
        context.keep_figures(&log, &owner, &registry);
        context.serve_operators(listeners.operators, &log);
        context.serve_peers(listeners.peers, handler.clone());
        context.serve_local(listeners.local, &registry);
        let stop_serving = CancellationToken::new();
        let entries = TaskTracker::new();
        let entry = context.entry(handler, &owner);
        entries.spawn(entry.serve(listeners.callers, stop_serving.clone()));

        Ok(Self {
            context,
            leaving,
            owner,
            clerk,
            registry,
            stop_serving,
            entries,
        })
    }

    /// Runs until the incarnation has ended or left.
    async fn run(self, leave: &CancellationToken) {
        let mut inputs = self.context.inputs.clone();
        let ended = async {
            let ended = inputs.wait_for(|inputs| inputs.view.end_cause.is_some());
            ended.await.ok().and_then(|inputs| inputs.view.end_cause)
        };
        tokio::select! {
            cause = ended => {
                log::warn!("node: {:x} has ended: {cause:?}", self.context.own);
            }
            () = self.clerk.follow_upstream(self.registry.subscribe()) => {
                log::info!("node: the upstream is gone, {:x} leaves", self.context.own);
                self.leave().await;
            }
            () = leave.cancelled() => {
                log::info!("node: {:x} drains", self.context.own);
                self.leave().await;
            }
        }
        self.stop().await;
    }

    fn is_member(&self) -> bool {
        let inputs = self.context.inputs.borrow();
        inputs.state.members.contains_key(&self.context.own)
    }

    /// Moves every chain away, finishes what runs and leaves.
    async fn leave(&self) {
        let limit = self.context.settings.drain.timeout;
        self.leaving.send_replace(true);
        if self.is_member() {
            self.clerk.announce_drain().await;
            self.clerk.wait_until_moved(limit).await;
        }
        self.owner.drain();
        self.stop_serving.cancel();
        self.entries.close();
        let finished = async {
            self.entries.wait().await;
            self.owner.wait_idle().await;
        };
        if tokio::time::timeout(limit, finished).await.is_err() {
            log::warn!("node: leaving with requests that still run");
        }
        if self.is_member() {
            self.clerk.leave().await;
        }
    }

    async fn stop(self) {
        self.stop_serving.cancel();
        self.context.stop.cancel();
        self.entries.close();
        self.context.tasks.close();
        let limit = self.context.settings.drain.timeout;
        let ended = tokio::time::timeout(STOP_LIMIT, self.context.tasks.wait()).await;
        if ended.is_err() {
            log::warn!("node: parts of {:x} did not stop in time", self.context.own);
        }
        drop(tokio::time::timeout(limit, self.entries.wait()).await);
    }
}

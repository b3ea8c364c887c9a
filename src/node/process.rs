//! Runs the process: one incarnation after another, from join to departure.

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
use super::inputs::combine_inputs;
use super::listeners::NodeListeners;
use super::membership::MembershipWriter;
use super::tasks::NodeLog;
use super::tasks::NodeOwner;
use super::tasks::report_load;
use crate::base::timer::TimerService;
use crate::handover::activity::ChainActivity;
use crate::held_bytes::budget::ByteBudget;
use crate::hotkeys::report::KeySampler;
use crate::settings::NodeSettings;
use crate::state::folded::FoldedState;
use crate::upstream::announce::UpstreamRegistry;

/// Time-out of stopping the components of an incarnation.
const STOP_TIMEOUT: Duration = Duration::from_secs(5);

/// Maximum random delay between the end of an incarnation and the start of the
/// next.
const MAX_REJOIN_DELAY: Duration = Duration::from_secs(1);

/// Runs incarnations until `leave` is cancelled and the last one has left the
/// fleet.
///
/// # Errors
///
/// Fails when a socket cannot be bound or a client cannot be created.
pub async fn run_node(settings: NodeSettings, leave: CancellationToken) -> eyre::Result<()> {
    let settings = Arc::new(settings);
    let budget = ByteBudget::new(settings.limits.process_limits().held_bytes());
    // The next incarnation starts from the state that this one folded, so that
    // it can route while the log is unavailable.
    let mut state = Arc::<FoldedState>::default();
    while !leave.is_cancelled() {
        let process = NodeProcess::start(Arc::clone(&settings), &state, budget.clone()).await?;
        let inputs = process.context.inputs.clone();
        process.run(&leave).await;
        state = Arc::clone(&inputs.borrow().state);
        if !leave.is_cancelled() {
            // If processes that ended at the same time also rejoined at the same
            // time, they would take away each other's new witnesses.
            tokio::time::sleep(MAX_REJOIN_DELAY.mul_f64(rand::random())).await;
        }
    }
    Ok(())
}

/// One running incarnation.
struct NodeProcess {
    context: NodeContext,
    leaving: watch::Sender<bool>,
    owner: Arc<NodeOwner>,
    membership: MembershipWriter<NodeLog>,
    registry: UpstreamRegistry,
    /// Stops the callers' interface.
    stop_entry: CancellationToken,
    entry_tasks: TaskTracker,
}

impl NodeProcess {
    async fn start(
        settings: Arc<NodeSettings>,
        state: &FoldedState,
        budget: ByteBudget,
    ) -> eyre::Result<Self> {
        let own = new_incarnation();
        let listeners = NodeListeners::bind(&settings).await?;
        log::info!("node: {} starts as {own:x}", settings.node);
        let (inputs_sender, inputs) = watch::channel(NodeInputs::default());
        let (leaving, leaving_watch) = watch::channel(false);
        let context = NodeContext::new(settings, own, inputs, &listeners.datagrams, budget);
        let log = context.follow_log(state)?;
        let lease = context.start_lease();
        let states = log.follower.states();
        context.spawn(combine_inputs(
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

        let membership = context.membership_writer(&log);
        context.spawn(membership.clone().append_certificates(lease.certificates));
        let handover = context.start_handover(&lease.address, &membership, activity, &registry);
        let planner = context.start_planner(&log);
        context.start_feeds(&log, &lease.address, &handover, &planner);
        let receiver = DatagramReceiver {
            socket: listeners.datagrams,
            ownership: lease.address,
            planner,
            handover,
            follower: log.follower.clone(),
            metrics: context.metrics.transport.clone(),
        };
        context.spawn(receiver.run(context.stop.clone()));
        context.maintain_state(&log);
        context.start_metrics_updates(&log, &owner, &registry);
        context.serve_operators(listeners.operators, &log);
        context.serve_peers(listeners.peers, handler.clone());
        context.serve_local(listeners.local, &registry);
        let stop_entry = CancellationToken::new();
        let entry_tasks = TaskTracker::new();
        let entry = context.entry(handler, &owner);
        entry_tasks.spawn(entry.serve(listeners.callers, stop_entry.clone()));

        Ok(Self {
            context,
            leaving,
            owner,
            membership,
            registry,
            stop_entry,
            entry_tasks,
        })
    }

    /// Runs until the incarnation has ended or has left the fleet.
    async fn run(self, leave: &CancellationToken) {
        let mut inputs = self.context.inputs.clone();
        let ended = async {
            let ended = inputs.wait_for(|inputs| inputs.view.end_cause.is_some());
            ended.await.ok().and_then(|inputs| inputs.view.end_cause)
        };
        tokio::select! {
            cause = ended => {
                log::warn!("node: incarnation {:x} has ended: {cause:?}", self.context.own);
            }
            () = self.membership.follow_upstream(self.registry.subscribe()) => {
                log::info!("node: the upstream has left; incarnation {:x} leaves", self.context.own);
                self.leave().await;
            }
            () = leave.cancelled() => {
                log::info!("node: incarnation {:x} drains", self.context.own);
                self.leave().await;
            }
        }
        self.stop().await;
    }

    fn is_member(&self) -> bool {
        let inputs = self.context.inputs.borrow();
        inputs.state.members.contains_key(&self.context.own)
    }

    /// Leaves the fleet: waits for successors to take over the chains, then for
    /// running requests to finish, each at most for the drain time-out.
    async fn leave(&self) {
        let timeout = self.context.settings.drain.timeout;
        self.leaving.send_replace(true);
        if self.is_member() {
            self.membership.announce_drain().await;
            self.membership.wait_until_moved(timeout).await;
        }
        self.owner.drain();
        self.stop_entry.cancel();
        self.entry_tasks.close();
        let finished = async {
            self.entry_tasks.wait().await;
            self.owner.wait_idle().await;
        };
        if tokio::time::timeout(timeout, finished).await.is_err() {
            log::warn!("node: leaving while requests are still running");
        }
        if self.is_member() {
            self.membership.leave().await;
        }
    }

    async fn stop(self) {
        self.stop_entry.cancel();
        self.context.stop.cancel();
        self.entry_tasks.close();
        self.context.tasks.close();
        let timeout = self.context.settings.drain.timeout;
        let stopped = tokio::time::timeout(STOP_TIMEOUT, self.context.tasks.wait()).await;
        if stopped.is_err() {
            log::warn!(
                "node: components of incarnation {:x} did not stop in time",
                self.context.own
            );
        }
        drop(tokio::time::timeout(timeout, self.entry_tasks.wait()).await);
    }
}

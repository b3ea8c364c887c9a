//! The actor that runs the planner on the process that holds the term, and that
//! claims the term when the planner is lost.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use tokio::time::Instant;
use xtra::Context;
use xtra::Handler;
use xtra::WeakAddress;

use super::candidate::HEARTBEAT_CANDIDATES;
use super::candidate::HEARTBEAT_INTERVAL;
use super::candidate::claim_timeout;
use super::candidate::ranked_candidates;
use super::placement::placement_candidates;
use super::plan::PlanInputs;
use super::plan::plan;
use super::plan::split_plan;
use crate::base::collections::FastSet;
use crate::base::ids::Incarnation;
use crate::base::ids::Offset;
use crate::base::ids::Term;
use crate::hotkeys::rebalance::KeyMove;
use crate::hotkeys::rebalance::KeyRebalancer;
use crate::hotkeys::report::LoadSummary;
use crate::log::service::LogService;
use crate::log::writer::WriterHandle;
use crate::state::folded::FoldedState;
use crate::state::record::LogRecord;

/// Time without joins before the planner plans, so that processes that join
/// together are planned for together.
const JOIN_QUIET_PERIOD: Duration = Duration::from_millis(300);

/// Maximum time that continuing joins delay a plan.
const MAX_JOIN_DELAY: Duration = Duration::from_secs(2);

/// Time after which an append is given up, so that the planner can plan again.
const APPEND_TIMEOUT: Duration = Duration::from_secs(5);

/// Time between two selections of hot keys. It is longer than the interval of
/// the owners' load reports.
const HOT_KEY_INTERVAL: Duration = Duration::from_secs(10);

/// Maximum number of planned moves in progress for each service.
const MOVE_BUDGET: usize = 64;

/// Sent by the planner to the first candidates to show that it is running.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct PlannerHeartbeat {
    /// The process that sends the heartbeat.
    pub planner: Incarnation,
    /// The term that the planner holds. Candidates ignore a term older than the
    /// one they know.
    pub term: Term,
}

/// Sends heartbeats to candidates.
pub trait HeartbeatSender: Clone + Send + Sync + 'static {
    /// Sends a heartbeat to a member's peer address without blocking. It may be
    /// lost.
    fn send(&self, to: SocketAddr, heartbeat: PlannerHeartbeat);
}

/// Plans if this process holds the term; otherwise watches the planner and
/// claims the next term when it is lost.
#[derive(Debug)]
#[derive(xtra::Actor)]
pub struct PlannerActor<L: LogService, S: HeartbeatSender> {
    own: Incarnation,
    writer: WriterHandle<L>,
    sender: S,
    state: Arc<FoldedState>,
    ended: FastSet<Incarnation>,
    /// Whether an append of this process is in progress.
    is_appending: bool,
    /// When a heartbeat or a new term was last seen, or this process last
    /// claimed the term.
    planner_seen_at: Instant,
    heartbeat_sent_at: Instant,
    last_join_at: Instant,
    /// When joins began to delay the plan; `None` if they do not.
    delayed_since: Option<Instant>,
    /// Offset of the folded state and number of ended members that the last
    /// plan was made from.
    planned_from: Option<(Offset, usize)>,
    board: KeyRebalancer,
    hot_keys_chosen_at: Instant,
    started_at: Instant,
}

/// The folded state or the set of ended members changed.
#[derive(Debug)]
pub struct PlannerStateChanged {
    /// The newest folded state.
    pub state: Arc<FoldedState>,
    /// Incarnations known to have ended that are still members in the folded
    /// state.
    pub ended: FastSet<Incarnation>,
}

/// Time to plan, or to check whether the planner is silent.
#[derive(Debug)]
pub struct PlannerTick;

impl PlannerTick {
    /// Time between two ticks.
    pub const INTERVAL: Duration = Duration::from_millis(100);
}

struct AppendFinished;

impl<L: LogService, S: HeartbeatSender> PlannerActor<L, S> {
    /// Creates the actor of incarnation `own`, which has not read the log.
    pub fn new(own: Incarnation, writer: WriterHandle<L>, sender: S) -> Self {
        let now = Instant::now();
        Self {
            own,
            writer,
            sender,
            state: Arc::default(),
            ended: FastSet::default(),
            is_appending: false,
            planner_seen_at: now,
            heartbeat_sent_at: now,
            last_join_at: now,
            delayed_since: None,
            planned_from: None,
            board: KeyRebalancer::default(),
            hot_keys_chosen_at: now,
            started_at: now,
        }
    }

    fn is_planner(&self) -> bool {
        self.state.planner == Some(self.own)
    }

    fn are_joins_settled(&mut self, now: Instant) -> bool {
        if now.duration_since(self.last_join_at) >= JOIN_QUIET_PERIOD {
            self.delayed_since = None;
            return true;
        }
        let since = *self.delayed_since.get_or_insert(now);
        now.duration_since(since) >= MAX_JOIN_DELAY
    }

    fn run_step(&mut self, address: &WeakAddress<Self>) {
        if self.is_appending || !self.state.members.contains_key(&self.own) {
            return;
        }
        let now = Instant::now();
        if self.is_planner() {
            self.plan(now, address);
        } else {
            self.claim_if_silent(now, address);
        }
    }

    fn plan(&mut self, now: Instant, address: &WeakAddress<Self>) {
        self.send_heartbeats(now);
        let hot_keys = self.choose_hot_keys(now);
        let basis = (self.state.next, self.ended.len());
        let is_planned = self.planned_from == Some(basis) && hot_keys.is_empty();
        if is_planned || !self.are_joins_settled(now) {
            return;
        }
        self.planned_from = Some(basis);
        let inputs = PlanInputs {
            state: &self.state,
            ended: &self.ended,
            term: self.state.term,
            move_budget: MOVE_BUDGET,
            hot_keys: &hot_keys,
        };
        let records = plan(inputs);
        if !records.is_empty() {
            self.append(records, address);
        }
    }

    /// Returns hot keys of overloaded owners once every [`HOT_KEY_INTERVAL`],
    /// and none in between.
    fn choose_hot_keys(&mut self, now: Instant) -> Vec<KeyMove> {
        if now.duration_since(self.hot_keys_chosen_at) < HOT_KEY_INTERVAL {
            return Vec::new();
        }
        self.hot_keys_chosen_at = now;
        let mut moves = Vec::new();
        for service in self.state.services() {
            let members: Vec<Incarnation> =
                placement_candidates(&self.state, &service.name, &self.ended)
                    .iter()
                    .map(|candidate| candidate.incarnation)
                    .collect();
            moves.extend(self.board.choose_moves(&service.name, &members));
        }
        moves
    }

    fn send_heartbeats(&mut self, now: Instant) {
        if now.duration_since(self.heartbeat_sent_at) < HEARTBEAT_INTERVAL {
            return;
        }
        self.heartbeat_sent_at = now;
        let heartbeat = PlannerHeartbeat {
            planner: self.own,
            term: self.state.term,
        };
        for candidate in ranked_candidates(&self.state, &self.ended)
            .into_iter()
            .take(HEARTBEAT_CANDIDATES)
        {
            if let Some(member) = self.state.members.get(&candidate) {
                self.sender.send(member.info.peer_address, heartbeat);
            }
        }
    }

    fn claim_if_silent(&mut self, now: Instant, address: &WeakAddress<Self>) {
        let Some(silence) = claim_timeout(&self.state, &self.ended, self.own) else {
            return;
        };
        if now.duration_since(self.planner_seen_at) < silence {
            return;
        }
        self.planner_seen_at = now;
        let term = self.state.term + 1;
        log::info!("planner: claiming term {term}");
        self.append(vec![LogRecord::Claim { term }], address);
    }

    fn append(&mut self, records: Vec<LogRecord>, address: &WeakAddress<Self>) {
        for record in &records {
            log_planned_record(record);
        }
        self.is_appending = true;
        let writer = self.writer.clone();
        let address = address.clone();
        tokio::spawn(async move {
            for batch in split_plan(records) {
                if let Err(error) = writer.append(batch, APPEND_TIMEOUT).await {
                    log::warn!(
                        "planner: cannot append to the log, dropped the rest of the plan: {error:?}"
                    );
                    break;
                }
            }
            if let Some(planner) = address.try_upgrade() {
                drop(planner.send(AppendFinished).detach().await);
            }
        });
    }
}

fn log_planned_record(record: &LogRecord) {
    match record {
        LogRecord::Witnesses {
            member,
            version,
            witnesses,
            ..
        } => log::info!(
            "planner: assigning witnesses {witnesses:x?} to {member:x}, version {version}"
        ),
        LogRecord::Assign { appends, .. } => {
            for append in appends {
                log::info!(
                    "planner: {} {:?} of {} to {:x?} from epoch {}",
                    if append.supersedes {
                        "moving"
                    } else {
                        "assigning"
                    },
                    append.chain.subject,
                    append.chain.service,
                    append.holders,
                    append.first_epoch
                );
            }
        }
        _ => {}
    }
}

impl<L: LogService, S: HeartbeatSender> Handler<PlannerStateChanged> for PlannerActor<L, S> {
    type Return = ();

    async fn handle(&mut self, message: PlannerStateChanged, ctx: &mut Context<Self>) {
        let newest = message.state.members.keys().next_back();
        if newest > self.state.members.keys().next_back() {
            self.last_join_at = Instant::now();
        }
        if message.state.term != self.state.term {
            self.planner_seen_at = Instant::now();
        }
        self.state = message.state;
        self.ended = message.ended;
        self.run_step(&ctx.mailbox().address());
    }
}

impl<L: LogService, S: HeartbeatSender> Handler<PlannerHeartbeat> for PlannerActor<L, S> {
    type Return = ();

    async fn handle(&mut self, message: PlannerHeartbeat, _ctx: &mut Context<Self>) {
        if message.term >= self.state.term {
            self.planner_seen_at = Instant::now();
        }
    }
}

impl<L: LogService, S: HeartbeatSender> Handler<PlannerTick> for PlannerActor<L, S> {
    type Return = ();

    async fn handle(&mut self, _message: PlannerTick, ctx: &mut Context<Self>) {
        self.run_step(&ctx.mailbox().address());
    }
}

impl<L: LogService, S: HeartbeatSender> Handler<AppendFinished> for PlannerActor<L, S> {
    type Return = ();

    async fn handle(&mut self, _message: AppendFinished, ctx: &mut Context<Self>) {
        self.is_appending = false;
        self.run_step(&ctx.mailbox().address());
    }
}

impl<L: LogService, S: HeartbeatSender> Handler<LoadSummary> for PlannerActor<L, S> {
    type Return = ();

    async fn handle(&mut self, message: LoadSummary, _ctx: &mut Context<Self>) {
        self.board.record(message, self.started_at.elapsed());
    }
}

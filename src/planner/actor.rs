//! Runs the planner on whichever process holds the term.

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

/// How long the planner waits after a join for others that join with it.
const SETTLE_TIME: Duration = Duration::from_millis(300);

/// How long joins that keep coming may delay a plan.
const SETTLE_LIMIT: Duration = Duration::from_secs(2);

/// How long an append may take before the planner plans anew.
const APPEND_LIMIT: Duration = Duration::from_secs(5);

/// How often hot keys are looked for; longer than an owner's report interval.
const HOT_KEY_INTERVAL: Duration = Duration::from_secs(10);

/// Planned moves that may be under way at once for each service.
const MOVE_BUDGET: usize = 64;

/// Tells the first candidates that the planner lives.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct PlannerHeartbeat {
    /// The planner.
    pub planner: Incarnation,
    /// Its term.
    pub term: Term,
}

/// Sends heartbeats.
pub trait HeartbeatSender: Clone + Send + Sync + 'static {
    /// Sends a heartbeat to a member's address; it may be lost.
    fn send(&self, to: SocketAddr, heartbeat: PlannerHeartbeat);
}

/// The planner or a candidate.
#[derive(Debug)]
#[derive(xtra::Actor)]
pub struct PlannerActor<L: LogService, S: HeartbeatSender> {
    own: Incarnation,
    writer: WriterHandle<L>,
    sender: S,
    state: Arc<FoldedState>,
    ended: FastSet<Incarnation>,
    /// Whether an append of this process is under way.
    is_appending: bool,
    /// When the planner was last known to live.
    heard: Instant,
    heartbeat_sent: Instant,
    last_join: Instant,
    first_unsettled: Option<Instant>,
    /// Offset of the state that the last plan was made from.
    planned: Option<(Offset, usize)>,
    board: KeyRebalancer,
    hot_keys_chosen: Instant,
    started: Instant,
}

/// The folded state, or what is known of ended members, changed.
#[derive(Debug)]
pub struct PlannerStateChanged {
    /// The folded state.
    pub state: Arc<FoldedState>,
    /// Incarnations known to have ended beyond what is folded.
    pub ended: FastSet<Incarnation>,
}

/// Time to look at the planner's life and the plan.
#[derive(Debug)]
pub struct PlannerTick;

impl PlannerTick {
    /// How often the tick is due.
    pub const INTERVAL: Duration = Duration::from_millis(100);
}

struct AppendEnded;

impl<L: LogService, S: HeartbeatSender> PlannerActor<L, S> {
    /// Creates the actor of one incarnation.
    pub fn new(own: Incarnation, writer: WriterHandle<L>, sender: S) -> Self {
        let now = Instant::now();
        Self {
            own,
            writer,
            sender,
            state: Arc::default(),
            ended: FastSet::default(),
            is_appending: false,
            heard: now,
            heartbeat_sent: now,
            last_join: now,
            first_unsettled: None,
            planned: None,
            board: KeyRebalancer::default(),
            hot_keys_chosen: now,
            started: now,
        }
    }

    fn is_planner(&self) -> bool {
        self.state.planner == Some(self.own)
    }

    fn is_settled(&mut self, now: Instant) -> bool {
        if now.duration_since(self.last_join) >= SETTLE_TIME {
            self.first_unsettled = None;
            return true;
        }
        let since = *self.first_unsettled.get_or_insert(now);
        now.duration_since(since) >= SETTLE_LIMIT
    }

    fn work(&mut self, address: &WeakAddress<Self>) {
        if self.is_appending || !self.state.members.contains_key(&self.own) {
            return;
        }
        let now = Instant::now();
        if self.is_planner() {
            self.plan(now, address);
        } else {
            self.consider_claim(now, address);
        }
    }

    fn plan(&mut self, now: Instant, address: &WeakAddress<Self>) {
        self.send_heartbeats(now);
        let hot_keys = self.choose_hot_keys(now);
        let basis = (self.state.next, self.ended.len());
        let is_planned = self.planned == Some(basis) && hot_keys.is_empty();
        if is_planned || !self.is_settled(now) {
            return;
        }
        self.planned = Some(basis);
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

    /// Chooses keys of overloaded owners every [`HOT_KEY_INTERVAL`].
    fn choose_hot_keys(&mut self, now: Instant) -> Vec<KeyMove> {
        if now.duration_since(self.hot_keys_chosen) < HOT_KEY_INTERVAL {
            return Vec::new();
        }
        self.hot_keys_chosen = now;
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
        if now.duration_since(self.heartbeat_sent) < HEARTBEAT_INTERVAL {
            return;
        }
        self.heartbeat_sent = now;
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

    fn consider_claim(&mut self, now: Instant, address: &WeakAddress<Self>) {
        let Some(silence) = claim_timeout(&self.state, &self.ended, self.own) else {
            return;
        };
        if now.duration_since(self.heard) < silence {
            return;
        }
        self.heard = now;
        let term = self.state.term + 1;
        log::info!("planner: claiming term {term}");
        self.append(vec![LogRecord::Claim { term }], address);
    }

    fn append(&mut self, records: Vec<LogRecord>, address: &WeakAddress<Self>) {
        for record in &records {
            log_decision(record);
        }
        self.is_appending = true;
        let writer = self.writer.clone();
        let address = address.clone();
        tokio::spawn(async move {
            for batch in split_plan(records) {
                if let Err(error) = writer.append(batch, APPEND_LIMIT).await {
                    log::warn!("planner: the log did not take the plan: {error:?}");
                    break;
                }
            }
            if let Some(planner) = address.try_upgrade() {
                drop(planner.send(AppendEnded).detach().await);
            }
        });
    }
}

fn log_decision(record: &LogRecord) {
    match record {
        LogRecord::Witnesses {
            member,
            version,
            witnesses,
            ..
        } => log::info!("planner: witnesses of {member:x} in version {version} are {witnesses:x?}"),
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
                    append.at
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
            self.last_join = Instant::now();
        }
        if message.state.term != self.state.term {
            self.heard = Instant::now();
        }
        self.state = message.state;
        self.ended = message.ended;
        self.work(&ctx.mailbox().address());
    }
}

impl<L: LogService, S: HeartbeatSender> Handler<PlannerHeartbeat> for PlannerActor<L, S> {
    type Return = ();

    async fn handle(&mut self, message: PlannerHeartbeat, _ctx: &mut Context<Self>) {
        if message.term >= self.state.term {
            self.heard = Instant::now();
        }
    }
}

impl<L: LogService, S: HeartbeatSender> Handler<PlannerTick> for PlannerActor<L, S> {
    type Return = ();

    async fn handle(&mut self, _message: PlannerTick, ctx: &mut Context<Self>) {
        self.work(&ctx.mailbox().address());
    }
}

impl<L: LogService, S: HeartbeatSender> Handler<AppendEnded> for PlannerActor<L, S> {
    type Return = ();

    async fn handle(&mut self, _message: AppendEnded, ctx: &mut Context<Self>) {
        self.is_appending = false;
        self.work(&ctx.mailbox().address());
    }
}

impl<L: LogService, S: HeartbeatSender> Handler<LoadSummary> for PlannerActor<L, S> {
    type Return = ();

    async fn handle(&mut self, message: LoadSummary, _ctx: &mut Context<Self>) {
        self.board.record(message, self.started.elapsed());
    }
}

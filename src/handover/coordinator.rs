//! Carries out the moves that the folded state asks for.

use std::sync::Arc;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use tokio::sync::mpsc;
use tokio::time::Instant;
use xtra::Context;
use xtra::Handler;

use super::activity::ChainActivity;
use super::resignation::PendingResignation;
use super::resignation::pending_resignations;
use crate::base::collections::FastMap;
use crate::base::collections::FastSet;
use crate::base::ids::Epoch;
use crate::base::ids::Incarnation;
use crate::state::folded::FoldedState;
use crate::state::record::ChainKey;

/// How often a successor that is not ready is asked again.
const PROBE_INTERVAL: Duration = Duration::from_millis(100);

/// How long an answer to a probe counts.
const READY_MEMORY: Duration = Duration::from_millis(500);

/// Moves that drain at once.
const MOVES_AT_ONCE: usize = 64;

/// Asks whether a process is ready to serve, and the answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum HandoverMessage {
    /// Asks an incarnation whether its lease is live and its upstream warm.
    Probe {
        /// Who asks.
        from: Incarnation,
        /// Who is asked.
        to: Incarnation,
    },
    /// The asked incarnation is ready.
    Ready {
        /// Who is ready.
        from: Incarnation,
        /// Who asked.
        to: Incarnation,
    },
}

/// Sends messages to members.
pub trait HandoverSender: Clone + Send + Sync + 'static {
    /// Sends a message to a member; it may be lost.
    fn send(&self, to: Incarnation, message: HandoverMessage);
}

/// Tells whether this process is ready to serve.
pub trait ReadinessSource: Clone + Send + Sync + 'static {
    /// Returns whether the lease is live and the upstream warm.
    fn is_ready(&self) -> bool;
}

/// Takes the positions that this process resigns.
pub type ResignSender = mpsc::Sender<Vec<(ChainKey, Epoch)>>;

/// Carries out this process's part in planned moves.
#[derive(Debug)]
#[derive(xtra::Actor, bon::Builder)]
pub struct HandoverCoordinator<S, R>
where
    S: HandoverSender,
    R: ReadinessSource,
{
    incarnation: Incarnation,
    sender: S,
    readiness: R,
    activity: ChainActivity,
    resigns: ResignSender,
    /// What this process has to resign.
    #[builder(skip)]
    duties: Vec<PendingResignation>,
    /// Positions whose resignation is under way.
    #[builder(skip)]
    under_way: FastSet<(ChainKey, Epoch)>,
    /// When each successor last said that it is ready.
    #[builder(skip)]
    ready: FastMap<Incarnation, Instant>,
}

/// The folded state, or what is known of ended members, changed.
#[derive(Debug)]
pub struct HandoverStateChanged {
    /// The folded state.
    pub state: Arc<FoldedState>,
    /// Incarnations known to have ended beyond what is folded.
    pub ended: FastSet<Incarnation>,
    /// Whether this process is leaving.
    pub is_leaving: bool,
}

/// A message from another member.
#[derive(Debug)]
pub struct HandoverDelivery(pub HandoverMessage);

/// Time to look for moves and to ask successors again.
#[derive(Debug)]
pub struct HandoverTick;

impl HandoverTick {
    /// How often the tick is due.
    pub const INTERVAL: Duration = PROBE_INTERVAL;
}

impl<S: HandoverSender, R: ReadinessSource> HandoverCoordinator<S, R> {
    fn work(&mut self) {
        let mut standing_by = Vec::new();
        let mut asked = FastSet::default();
        for duty in self.duties.clone() {
            let position = (duty.chain.clone(), duty.epoch);
            if self.under_way.contains(&position) {
                continue;
            }
            match duty.successor {
                None => standing_by.push(position),
                Some(successor) => self.move_to(successor, duty, &mut asked),
            }
        }
        self.resign_now(standing_by);
    }

    fn move_to(
        &mut self,
        successor: Incarnation,
        duty: PendingResignation,
        asked: &mut FastSet<Incarnation>,
    ) {
        let said = self.ready.get(&successor);
        let is_ready = said.is_some_and(|at| at.elapsed() < READY_MEMORY);
        if !is_ready {
            if asked.insert(successor) {
                let probe = HandoverMessage::Probe {
                    from: self.incarnation,
                    to: successor,
                };
                self.sender.send(successor, probe);
            }
            return;
        }
        if self.under_way.len() < MOVES_AT_ONCE {
            self.start_move(successor, duty);
        }
    }

    fn start_move(&mut self, successor: Incarnation, duty: PendingResignation) {
        log::info!(
            "handover: moving {:?} of {} to {successor:x}, resigning epoch {}",
            duty.chain.subject,
            duty.chain.service,
            duty.epoch
        );
        self.under_way.insert((duty.chain.clone(), duty.epoch));
        let activity = self.activity.clone();
        let resigns = self.resigns.clone();
        tokio::spawn(async move {
            activity.close(&duty.chain, duty.epoch).await;
            // The process is ending when nobody takes resignations any more.
            drop(resigns.send(vec![(duty.chain, duty.epoch)]).await);
        });
    }

    fn resign_now(&mut self, positions: Vec<(ChainKey, Epoch)>) {
        if positions.is_empty() {
            return;
        }
        log::info!(
            "handover: resigning {} positions that stand by",
            positions.len()
        );
        if self.resigns.try_send(positions.clone()).is_ok() {
            self.under_way.extend(positions);
        }
    }
}

impl<S: HandoverSender, R: ReadinessSource> Handler<HandoverStateChanged>
    for HandoverCoordinator<S, R>
{
    type Return = ();

    async fn handle(&mut self, message: HandoverStateChanged, _context: &mut Context<Self>) {
        self.duties = pending_resignations(
            &message.state,
            &message.ended,
            self.incarnation,
            message.is_leaving,
        );
        let due: FastSet<(ChainKey, Epoch)> = self
            .duties
            .iter()
            .map(|duty| (duty.chain.clone(), duty.epoch))
            .collect();
        self.under_way.retain(|position| due.contains(position));
        self.work();
    }
}

impl<S: HandoverSender, R: ReadinessSource> Handler<HandoverDelivery>
    for HandoverCoordinator<S, R>
{
    type Return = ();

    async fn handle(&mut self, message: HandoverDelivery, _context: &mut Context<Self>) {
        match message.0 {
            HandoverMessage::Probe { from, to } => {
                if to == self.incarnation && self.readiness.is_ready() {
                    let ready = HandoverMessage::Ready { from: to, to: from };
                    self.sender.send(from, ready);
                }
            }
            HandoverMessage::Ready { from, to } => {
                if to == self.incarnation {
                    self.ready.insert(from, Instant::now());
                    self.work();
                }
            }
        }
    }
}

impl<S: HandoverSender, R: ReadinessSource> Handler<HandoverTick> for HandoverCoordinator<S, R> {
    type Return = ();

    async fn handle(&mut self, _tick: HandoverTick, _context: &mut Context<Self>) {
        self.work();
    }
}

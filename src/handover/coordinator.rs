//! Carries out the planned moves that the folded state requires.

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

/// Time between two probes of a successor that is not ready.
const PROBE_INTERVAL: Duration = Duration::from_millis(100);

/// How long a successor counts as ready after its response to a probe.
const READY_VALIDITY: Duration = Duration::from_millis(500);

/// Limit of moves that drain requests at the same time.
const MAX_CONCURRENT_MOVES: usize = 64;

/// A readiness probe and its response.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum HandoverMessage {
    /// Asks whether the receiver's lease is live and its upstream is warm. The
    /// receiver responds only if so.
    Probe {
        /// The serving holder, which sends the message.
        from: Incarnation,
        /// The successor, which receives it.
        to: Incarnation,
    },
    /// The sender's lease is live and its upstream is warm.
    Ready {
        /// The successor, which sends the message.
        from: Incarnation,
        /// The serving holder, which receives it.
        to: Incarnation,
    },
}

/// Sends handover messages to other members.
pub trait HandoverSender: Clone + Send + Sync + 'static {
    /// Sends a message without blocking. It may be lost; probes are repeated.
    fn send(&self, to: Incarnation, message: HandoverMessage);
}

/// Reports whether this process is ready to take over chains.
pub trait ReadinessSource: Clone + Send + Sync + 'static {
    /// Returns whether this process's lease is live and its upstream is warm.
    fn is_ready(&self) -> bool;
}

/// Channel for the positions that this process resigns.
pub type ResignSender = mpsc::Sender<Vec<(ChainKey, Epoch)>>;

/// Resigns the positions of this process that planned moves require it to
/// resign, once their successors are ready.
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
    /// The positions that this process has to resign.
    #[builder(skip)]
    pending: Vec<PendingResignation>,
    /// Positions that are being closed or resigned.
    #[builder(skip)]
    in_progress: FastSet<(ChainKey, Epoch)>,
    /// When each successor last responded to a probe.
    #[builder(skip)]
    ready_at: FastMap<Incarnation, Instant>,
}

/// The folded state, the set of ended members or the leaving flag changed.
#[derive(Debug)]
pub struct HandoverStateChanged {
    /// The newest folded state.
    pub state: Arc<FoldedState>,
    /// Incarnations known to have ended that are still members in the folded
    /// state.
    pub ended: FastSet<Incarnation>,
    /// Whether this process is leaving and hands over every chain that has a
    /// successor.
    pub is_leaving: bool,
}

/// A message was received from another member.
#[derive(Debug)]
pub struct HandoverDelivery(pub HandoverMessage);

/// Time to start moves and to repeat probes.
#[derive(Debug)]
pub struct HandoverTick;

impl HandoverTick {
    /// Time between two ticks.
    pub const INTERVAL: Duration = PROBE_INTERVAL;
}

impl<S: HandoverSender, R: ReadinessSource> HandoverCoordinator<S, R> {
    fn run_moves(&mut self) {
        let mut standby_positions = Vec::new();
        let mut probed = FastSet::default();
        for resignation in self.pending.clone() {
            let position = (resignation.chain.clone(), resignation.epoch);
            if self.in_progress.contains(&position) {
                continue;
            }
            match resignation.successor {
                None => standby_positions.push(position),
                Some(successor) => self.probe_or_move(successor, resignation, &mut probed),
            }
        }
        self.resign_now(standby_positions);
    }

    fn probe_or_move(
        &mut self,
        successor: Incarnation,
        resignation: PendingResignation,
        probed: &mut FastSet<Incarnation>,
    ) {
        let responded_at = self.ready_at.get(&successor);
        let is_ready = responded_at.is_some_and(|at| at.elapsed() < READY_VALIDITY);
        if !is_ready {
            if probed.insert(successor) {
                let probe = HandoverMessage::Probe {
                    from: self.incarnation,
                    to: successor,
                };
                self.sender.send(successor, probe);
            }
            return;
        }
        if self.in_progress.len() < MAX_CONCURRENT_MOVES {
            self.start_move(successor, resignation);
        }
    }

    fn start_move(&mut self, successor: Incarnation, resignation: PendingResignation) {
        log::info!(
            "handover: moving {:?} of {} to {successor:x}, draining requests of epoch {}",
            resignation.chain.subject,
            resignation.chain.service,
            resignation.epoch
        );
        self.in_progress
            .insert((resignation.chain.clone(), resignation.epoch));
        let activity = self.activity.clone();
        let resigns = self.resigns.clone();
        tokio::spawn(async move {
            activity.close(&resignation.chain, resignation.epoch).await;
            // The channel is closed only when the process is ending.
            drop(
                resigns
                    .send(vec![(resignation.chain, resignation.epoch)])
                    .await,
            );
        });
    }

    fn resign_now(&mut self, positions: Vec<(ChainKey, Epoch)>) {
        if positions.is_empty() {
            return;
        }
        log::info!("handover: resigning {} standby positions", positions.len());
        if self.resigns.try_send(positions.clone()).is_ok() {
            self.in_progress.extend(positions);
        }
    }
}

impl<S: HandoverSender, R: ReadinessSource> Handler<HandoverStateChanged>
    for HandoverCoordinator<S, R>
{
    type Return = ();

    async fn handle(&mut self, message: HandoverStateChanged, _context: &mut Context<Self>) {
        self.pending = pending_resignations(
            &message.state,
            &message.ended,
            self.incarnation,
            message.is_leaving,
        );
        let due: FastSet<(ChainKey, Epoch)> = self
            .pending
            .iter()
            .map(|resignation| (resignation.chain.clone(), resignation.epoch))
            .collect();
        self.in_progress.retain(|position| due.contains(position));
        self.run_moves();
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
                    self.ready_at.insert(from, Instant::now());
                    self.run_moves();
                }
            }
        }
    }
}

impl<S: HandoverSender, R: ReadinessSource> Handler<HandoverTick> for HandoverCoordinator<S, R> {
    type Return = ();

    async fn handle(&mut self, _tick: HandoverTick, _context: &mut Context<Self>) {
        self.run_moves();
    }
}

//! The actor that runs a process's ownership state machine.
//!
//! It adds clocks, datagrams, metrics and logging to [`OwnershipMachine`], and
//! publishes the result: to the request path through [`LeaseGate`], to the rest
//! of the process through [`OwnershipView`].
//!
//! To use it, build it, take [`LeaseActor::gate`] and [`LeaseActor::view`], run
//! it with a bounded mailbox, and send it
//!
//! * [`Deliver`] for each datagram that holds an [`OwnershipMessage`],
//! * [`StateChanged`] after each change of the folded state,
//! * [`TimerTick`] about every 50 ms, well within [`LeaseTiming::max_tick_gap`],
//! * [`ResignPositions`] when no requests of the chains are running any more;
//!   the sender also appends the resignation to the log,
//! * [`CloseGate`] when the process leaves and its requests have finished.
//!
//! The channel that the actor is built with yields the certificates to append
//! to the log as ends of their subjects. When the view has an end cause, the
//! process rejoins as a new incarnation with a new actor, after a random delay
//! of up to a second: processes that end at the same time would otherwise take
//! away each other's new witnesses.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Instant;

use tokio::sync::mpsc;
use tokio::sync::watch;
use xtra::Actor;
use xtra::Context;
use xtra::Handler;

use super::event::OwnershipEvent;
use super::gate::ClockSource;
use super::gate::GateView;
use super::gate::LeaseGate;
use super::gate::ServingTable;
use super::machine::MessageTarget;
use super::machine::OwnershipMachine;
use super::machine::OwnershipOutput;
use super::message::OwnershipMessage;
use super::rules::SoundRules;
use super::succession::ChainTenure;
use super::succession::TenureCause;
use super::succession::TenureChange;
use super::timing::ClockReading;
use super::timing::LeaseTiming;
use super::view::OwnershipView;
use super::view::ServedChain;
use crate::base::ids::Epoch;
use crate::base::ids::Incarnation;
use crate::base::timer::TimerTick;
use crate::state::folded::FoldedState;
use crate::state::record::ChainKey;
use crate::state::record::LapseCertificate;
use crate::telemetry::metrics::OwnershipMetrics;

/// Sends datagrams of the ownership protocol. Delivery is best effort; the
/// protocol repeats every message that has to arrive.
pub trait DatagramSender: Clone + Send + Sync + 'static {
    /// Sends a message without blocking; drops it if it cannot be sent.
    fn send(&self, to: SocketAddr, message: &OwnershipMessage);
}

/// A message was received from another process.
#[derive(Debug, Clone)]
pub struct Deliver {
    /// The sender's address, for log lines only.
    pub from: SocketAddr,
    /// The decoded message.
    pub message: OwnershipMessage,
}

/// The folded state changed.
#[derive(Debug, Clone)]
pub struct StateChanged(pub Arc<FoldedState>);

/// This process irrevocably resigns the given positions.
#[derive(Debug, Clone)]
pub struct ResignPositions(pub Vec<(ChainKey, Epoch)>);

/// This process is leaving and dispatches no more requests. This cannot be
/// undone.
#[derive(Debug, Clone, Copy)]
pub struct CloseGate;

/// Runs the ownership state machine of one incarnation.
#[derive(Debug)]
pub struct LeaseActor<C, S> {
    machine: OwnershipMachine<SoundRules>,
    clock: C,
    sender: S,
    gate: LeaseGate<C>,
    table: Arc<ServingTable>,
    draining: bool,
    view: watch::Sender<Arc<OwnershipView>>,
    appends: mpsc::Sender<LapseCertificate>,
    metrics: OwnershipMetrics,
}

#[bon::bon]
impl<C: ClockSource, S: DatagramSender> LeaseActor<C, S> {
    /// Creates the actor of an incarnation that has not read the log.
    ///
    /// `appends` receives the certificates to append to the log. If it is full,
    /// the certificate is offered again later.
    #[builder]
    pub fn new(
        incarnation: Incarnation,
        #[builder(default)] timing: LeaseTiming,
        clock: C,
        sender: S,
        appends: mpsc::Sender<LapseCertificate>,
        metrics: OwnershipMetrics,
    ) -> Self {
        Self {
            machine: OwnershipMachine::new(incarnation, timing),
            gate: LeaseGate::new(clock.clone(), timing.max_tick_gap),
            clock,
            sender,
            table: Arc::default(),
            draining: false,
            view: watch::Sender::default(),
            appends,
            metrics,
        }
    }

    /// Returns the gate for the request path, closed until the lease is live.
    pub fn gate(&self) -> LeaseGate<C> {
        self.gate.clone()
    }

    /// Returns the view for routing, planning and rejoining.
    pub fn view(&self) -> watch::Receiver<Arc<OwnershipView>> {
        self.view.subscribe()
    }

    /// Carries out the effects of a step of the machine.
    ///
    /// The gate is published first, so that it closes before a successor is
    /// told to take over.
    fn apply_output(&mut self, output: &OwnershipOutput, now: ClockReading) {
        self.publish_gate(output, now);
        for event in &output.events {
            self.record_event(event);
        }
        for (target, message) in &output.messages {
            self.send(*target, message);
        }
        for certificate in &output.appends {
            self.append(certificate.clone());
        }
        if output.view_changed || !output.events.is_empty() {
            self.publish_view(now);
        }
    }

    fn publish_gate(&mut self, output: &OwnershipOutput, now: ClockReading) {
        let is_tenure = |it: &OwnershipEvent| matches!(it, OwnershipEvent::Tenure(_));
        if output.events.iter().any(is_tenure) {
            let serving = self.machine.serving().iter();
            let table = serving.map(|(key, tenure)| (key.clone(), tenure.epoch));
            self.table = Arc::new(table.collect());
        }
        self.gate.publish(GateView {
            table: Arc::clone(&self.table),
            read_at: now,
            remaining: self.machine.remaining(now),
            draining: self.draining,
        });
    }

    fn publish_view(&self, now: ClockReading) {
        let served = |tenure: &ChainTenure| {
            let age = now.monotonic.saturating_sub(tenure.since);
            let current = Instant::now();
            ServedChain {
                epoch: tenure.epoch,
                since: current.checked_sub(age).unwrap_or(current),
            }
        };
        let serving = self.machine.serving().iter();
        let view = OwnershipView {
            ended: self.machine.certified().into_iter().collect(),
            resigned: self.machine.resigned().into_iter().collect(),
            serving: serving
                .map(|(key, tenure)| (key.clone(), served(tenure)))
                .collect(),
            lease_live: !self.machine.remaining(now).is_zero(),
            end_cause: self.machine.end_cause(),
        };
        self.view.send_replace(Arc::new(view));
    }

    fn record_event(&self, event: &OwnershipEvent) {
        log::info!("ownership: {event}");
        let metrics = &self.metrics;
        match event {
            OwnershipEvent::LeaseLive => metrics.lease_live.set(1),
            OwnershipEvent::LeaseLapsed => {
                metrics.lease_live.set(0);
                metrics.lapses.inc();
            }
            OwnershipEvent::PauseDetected(_) => metrics.tick_gaps.inc(),
            OwnershipEvent::CertificateFormed(_) | OwnershipEvent::CertificateReceived(_) => {
                metrics.certificates.inc();
            }
            OwnershipEvent::Tenure(TenureChange::Started(_, tenure)) => {
                metrics.chains_served.inc();
                if tenure.cause != TenureCause::First {
                    metrics.takeovers.inc();
                }
            }
            OwnershipEvent::Tenure(TenureChange::Stopped(..)) => metrics.chains_served.dec(),
            OwnershipEvent::LapseStated(_) | OwnershipEvent::Ended(_) => {}
        }
    }

    fn send(&self, target: MessageTarget, message: &OwnershipMessage) {
        let members = &self.machine.state().members;
        match target {
            MessageTarget::Member(member) => {
                if let Some(member) = members.get(&member) {
                    self.sender.send(member.info.peer_address, message);
                }
            }
            MessageTarget::Everyone => {
                for (incarnation, member) in members {
                    if *incarnation != self.machine.incarnation() {
                        self.sender.send(member.info.peer_address, message);
                    }
                }
            }
        }
    }

    fn append(&self, certificate: LapseCertificate) {
        let subject = certificate.subject;
        if let Err(error) = self.appends.try_send(certificate) {
            log::warn!(
                "ownership: cannot queue the append of the end of {subject:x}, retrying: {error}"
            );
        }
    }

    /// Logs dropped messages for other incarnations, whenever their count
    /// reaches a power of two.
    fn log_misaddressed(&self, before: u64, from: SocketAddr) {
        let count = self.machine.misaddressed();
        if count > before && count.is_power_of_two() {
            log::warn!(
                "ownership: dropped {count} messages for other incarnations, the last from {from}"
            );
        }
    }
}

impl<C: ClockSource, S: DatagramSender> Actor for LeaseActor<C, S> {
    type Stop = ();

    async fn stopped(self) {}
}

impl<C: ClockSource, S: DatagramSender> Handler<Deliver> for LeaseActor<C, S> {
    type Return = ();

    async fn handle(&mut self, message: Deliver, _ctx: &mut Context<Self>) {
        let Deliver { from, message } = message;
        let now = self.clock.read();
        let misaddressed = self.machine.misaddressed();
        let is_promise = matches!(message, OwnershipMessage::Promise { .. });
        let remaining = self.machine.remaining(now);
        let output = self.machine.deliver(message, now);
        if is_promise && self.machine.remaining(now) > remaining {
            self.metrics.renewals.inc();
        }
        self.log_misaddressed(misaddressed, from);
        self.apply_output(&output, now);
    }
}

impl<C: ClockSource, S: DatagramSender> Handler<StateChanged> for LeaseActor<C, S> {
    type Return = ();

    async fn handle(&mut self, message: StateChanged, _ctx: &mut Context<Self>) {
        let now = self.clock.read();
        let output = self.machine.apply_state(message.0, now);
        self.apply_output(&output, now);
    }
}

impl<C: ClockSource, S: DatagramSender> Handler<TimerTick> for LeaseActor<C, S> {
    type Return = ();

    async fn handle(&mut self, _tick: TimerTick, _ctx: &mut Context<Self>) {
        let now = self.clock.read();
        let output = self.machine.tick(now);
        self.apply_output(&output, now);
    }
}

impl<C: ClockSource, S: DatagramSender> Handler<ResignPositions> for LeaseActor<C, S> {
    type Return = ();

    async fn handle(&mut self, message: ResignPositions, _ctx: &mut Context<Self>) {
        let now = self.clock.read();
        let output = self.machine.resign(message.0, now);
        self.apply_output(&output, now);
    }
}

impl<C: ClockSource, S: DatagramSender> Handler<CloseGate> for LeaseActor<C, S> {
    type Return = ();

    async fn handle(&mut self, _close: CloseGate, _ctx: &mut Context<Self>) {
        let now = self.clock.read();
        self.draining = true;
        self.apply_output(&OwnershipOutput::default(), now);
        log::info!("ownership: closed the gate, the process is leaving");
    }
}

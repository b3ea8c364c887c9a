//! The actor that runs a process's part in ownership.
//!
//! It adds clocks, datagrams, metrics and log lines to
//! [`OwnershipMachine`], and publishes what it decides: to the request path
//! through [`LeaseGate`], to everybody else through [`OwnershipView`].
//!
//! To wire it: build it, take [`LeaseActor::gate`] and [`LeaseActor::view`],
//! run it behind a bounded mailbox, and send it
//!
//! * [`Deliver`] for each datagram that holds an [`OwnershipMessage`],
//! * [`StateChanged`] after each fold,
//! * [`TimerTick`] about every 50 ms, well within the tick gap limit,
//! * [`ResignPositions`] when the chains' work is finished and handed over;
//!   the sender also appends the record to the log,
//! * [`CloseGate`] when the process leaves and its work is finished.
//!
//! Certificates to be appended, as ends of their subjects, come out of the
//! channel that the actor was built with. When the view shows an end cause,
//! the process joins anew with a new actor, after a random time of up to a
//! second: processes that end together would else take each other's new
//! witnesses away.

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

/// Sends datagrams of the ownership protocol. One that cannot be sent is
/// lost: the protocol repeats whatever matters.
pub trait DatagramSender: Clone + Send + Sync + 'static {
    /// Sends a message without waiting.
    fn send(&self, to: SocketAddr, message: &OwnershipMessage);
}

/// A message came from another process.
#[derive(Debug, Clone)]
pub struct Deliver {
    /// Where it came from.
    pub from: SocketAddr,
    /// The message.
    pub message: OwnershipMessage,
}

/// The log was folded further.
#[derive(Debug, Clone)]
pub struct StateChanged(pub Arc<FoldedState>);

/// This process resigns positions, for good.
#[derive(Debug, Clone)]
pub struct ResignPositions(pub Vec<(ChainKey, Epoch)>);

/// This process dispatches nothing any more: it leaves.
#[derive(Debug, Clone, Copy)]
pub struct CloseGate;

/// Runs a process's part in ownership.
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
    /// Creates the actor of a process that has just started.
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

    /// Returns the gate for the request path.
    pub fn gate(&self) -> LeaseGate<C> {
        self.gate.clone()
    }

    /// Returns the view for routing, planning and joining anew.
    pub fn view(&self) -> watch::Receiver<Arc<OwnershipView>> {
        self.view.subscribe()
    }

    /// Carries out what a step of the machine asked for.
    ///
    /// The gate comes first, so that it closes before anybody is told to take
    /// over.
    fn carry_out(&mut self, output: &OwnershipOutput, now: ClockReading) {
        self.publish_gate(output, now);
        for event in &output.events {
            self.note_decision(event);
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

    fn note_decision(&self, event: &OwnershipEvent) {
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
            log::warn!("ownership: cannot append the end of {subject:x} yet: {error}");
        }
    }

    /// Logs messages for other incarnations, at a rate that falls as they grow.
    fn note_misaddressed(&self, before: u64, from: SocketAddr) {
        let count = self.machine.misaddressed();
        if count > before && count.is_power_of_two() {
            log::warn!("ownership: dropped {count} messages for other incarnations, last {from}");
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
        self.note_misaddressed(misaddressed, from);
        self.carry_out(&output, now);
    }
}

impl<C: ClockSource, S: DatagramSender> Handler<StateChanged> for LeaseActor<C, S> {
    type Return = ();

    async fn handle(&mut self, message: StateChanged, _ctx: &mut Context<Self>) {
        let now = self.clock.read();
        let output = self.machine.apply_state(message.0, now);
        self.carry_out(&output, now);
    }
}

impl<C: ClockSource, S: DatagramSender> Handler<TimerTick> for LeaseActor<C, S> {
    type Return = ();

    async fn handle(&mut self, _tick: TimerTick, _ctx: &mut Context<Self>) {
        let now = self.clock.read();
        let output = self.machine.tick(now);
        self.carry_out(&output, now);
    }
}

impl<C: ClockSource, S: DatagramSender> Handler<ResignPositions> for LeaseActor<C, S> {
    type Return = ();

    async fn handle(&mut self, message: ResignPositions, _ctx: &mut Context<Self>) {
        let now = self.clock.read();
        let output = self.machine.resign(message.0, now);
        self.carry_out(&output, now);
    }
}

impl<C: ClockSource, S: DatagramSender> Handler<CloseGate> for LeaseActor<C, S> {
    type Return = ();

    async fn handle(&mut self, _close: CloseGate, _ctx: &mut Context<Self>) {
        let now = self.clock.read();
        self.draining = true;
        self.carry_out(&OwnershipOutput::default(), now);
        log::info!("ownership: the gate is closed, the process leaves");
    }
}

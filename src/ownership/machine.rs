//! The ownership state machine of one process, without clocks or I/O.
//!
//! It combines the process's own lease, the leases that it witnesses, the
//! lapse statements that it collects and the chains that it may serve. Time is
//! an argument of each step, and each step returns what has to be sent,
//! appended and logged.

use std::collections::BTreeMap;
use std::hash::Hash;
use std::hash::Hasher;
use std::sync::Arc;
use std::time::Duration;

use super::certificate::LapseCollector;
use super::certificate::LapseStatement;
use super::event::OwnershipEvent;
use super::holder::EndCause;
use super::holder::LeaseHolder;
use super::message::OwnershipMessage;
use super::rules::LeaseRules;
use super::succession::ChainSuccession;
use super::succession::ChainTenure;
use super::succession::TenureChange;
use super::timing::ClockReading;
use super::timing::LeaseTiming;
use super::witness::LeaseWitness;
use super::witness::RenewalRequest;
use crate::base::hash::rendezvous_score;
use crate::base::ids::Epoch;
use crate::base::ids::Incarnation;
use crate::base::ids::Version;
use crate::state::folded::FoldedState;
use crate::state::record::ChainKey;
use crate::state::record::LapseCertificate;

/// Resigned positions in one datagram.
const MAX_POSITIONS_PER_MESSAGE: usize = 16;

/// Time between the first append attempts of a certificate's witnesses, so that
/// usually only the first one appends it.
const APPEND_STAGGER_INTERVAL: Duration = Duration::from_millis(500);

/// Earliest time at which members that are not witnesses append a certificate
/// that is still not in the log.
const FALLBACK_APPEND_DELAY: Duration = Duration::from_secs(5);

/// Interval after [`FALLBACK_APPEND_DELAY`] over which those members spread
/// their appends.
const FALLBACK_APPEND_SPREAD: Duration = Duration::from_secs(20);

/// Time between two attempts of one process to append the same certificate.
const APPEND_RETRY_INTERVAL: Duration = Duration::from_secs(10);

/// The members that a message has to be sent to.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum MessageTarget {
    /// A single member.
    Member(Incarnation),
    /// Every other member.
    Everyone,
}

/// The effects of one step of the machine, for its driver to carry out.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct OwnershipOutput {
    /// Messages to send, in order.
    pub messages: Vec<(MessageTarget, OwnershipMessage)>,
    /// Certificates to append to the log, as ends of their subjects.
    pub appends: Vec<LapseCertificate>,
    /// Events to log and count, in order.
    pub events: Vec<OwnershipEvent>,
    /// Whether the folded state, the known certificates or the known
    /// resignations changed, so that the view has to be published again.
    pub view_changed: bool,
}

impl OwnershipOutput {
    fn send(&mut self, to: Incarnation, message: OwnershipMessage) {
        self.messages.push((MessageTarget::Member(to), message));
    }

    fn broadcast(&mut self, message: OwnershipMessage) {
        self.messages.push((MessageTarget::Everyone, message));
    }

    fn emit(&mut self, event: OwnershipEvent) {
        self.events.push(event);
    }

    fn push_tenure_changes(&mut self, changes: Vec<TenureChange>) {
        let events = changes.into_iter().map(OwnershipEvent::Tenure);
        self.events.extend(events);
    }
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct PendingAppend {
    certificate: LapseCertificate,
    due: Duration,
}

/// The ownership state machine of one process.
///
/// `R` selects the protocol rules; only tests use other rules than
/// [`SoundRules`](super::rules::SoundRules).
#[derive(Debug, Clone)]
pub struct OwnershipMachine<R> {
    incarnation: Incarnation,
    timing: LeaseTiming,
    holder: LeaseHolder<R>,
    witness: LeaseWitness<R>,
    collector: LapseCollector<R>,
    succession: ChainSuccession,
    pending: BTreeMap<Incarnation, PendingAppend>,
    last_step: Option<ClockReading>,
    next_renewal: Duration,
    next_resign: Duration,
    resign_interval: Duration,
    was_live: bool,
    misaddressed: u64,
}

impl<R: LeaseRules> OwnershipMachine<R> {
    /// Creates the machine of an incarnation that has not read the log.
    pub fn new(incarnation: Incarnation, timing: LeaseTiming) -> Self {
        Self {
            incarnation,
            timing,
            holder: LeaseHolder::new(incarnation, timing),
            witness: LeaseWitness::new(incarnation, timing),
            collector: LapseCollector::default(),
            succession: ChainSuccession::new(incarnation),
            pending: BTreeMap::new(),
            last_step: None,
            next_renewal: Duration::ZERO,
            next_resign: Duration::ZERO,
            resign_interval: timing.resend_interval,
            was_live: false,
            misaddressed: 0,
        }
    }

    /// Returns the incarnation whose ownership this machine tracks.
    pub fn incarnation(&self) -> Incarnation {
        self.incarnation
    }

    /// Returns why this incarnation has permanently lost its lease; `None`
    /// while it may hold it.
    pub fn end_cause(&self) -> Option<EndCause> {
        self.holder.end_cause()
    }

    /// Returns the remaining time of the lease; zero if it is not live.
    pub fn remaining(&self, now: ClockReading) -> Duration {
        self.holder.remaining(now)
    }

    /// Returns the version of the active witness set; 0 if there is none.
    pub fn active_version(&self) -> Version {
        self.holder.active_version()
    }

    /// Returns the chains that this process may serve while its lease is live.
    pub fn serving(&self) -> &BTreeMap<ChainKey, ChainTenure> {
        self.succession.serving()
    }

    /// Returns the epoch under which this process may serve a chain now; `None`
    /// if it may not.
    pub fn may_serve(&self, chain: &ChainKey, now: ClockReading) -> Option<Epoch> {
        if self.remaining(now).is_zero() {
            return None;
        }
        self.serving().get(chain).map(|tenure| tenure.epoch)
    }

    /// Returns the newest folded state that the machine has applied.
    pub fn state(&self) -> &Arc<FoldedState> {
        self.succession.state()
    }

    /// Returns the members whose lapse is certified but whose end is not in the
    /// folded state yet.
    pub fn certified(&self) -> Vec<Incarnation> {
        self.succession.certified().iter().copied().collect()
    }

    /// Returns the positions whose resignation is known but not in the folded
    /// state yet.
    pub fn resigned(&self) -> Vec<(ChainKey, Epoch)> {
        self.succession.resigned()
    }

    /// Returns the number of dropped messages that were addressed to another
    /// incarnation.
    pub fn misaddressed(&self) -> u64 {
        self.misaddressed
    }

    /// Applies a newer folded state; an older one is ignored.
    pub fn apply_state(&mut self, state: Arc<FoldedState>, now: ClockReading) -> OwnershipOutput {
        let mut output = self.begin_step(now);
        if state.next < self.state().next {
            return output;
        }
        output.view_changed = true;
        let was_member = self.state().members.contains_key(&self.incarnation);
        if was_member && !state.members.contains_key(&self.incarnation) {
            self.end(EndCause::Log, &mut output);
        }
        self.pending
            .retain(|subject, _| state.members.contains_key(subject));
        if self.holder.apply_state(&state, now) {
            self.next_renewal = now.monotonic;
        }
        self.witness.apply_state(&state, now.monotonic);
        self.collector.apply_state(&state);
        let changes = self.succession.apply_state(state, now.monotonic);
        if self.end_cause().is_none() {
            output.push_tenure_changes(changes);
        } else {
            self.succession.end();
        }
        for subject in self.collector.suspects() {
            self.try_certify(subject, now, &mut output);
        }
        self.emit_lease_change(now, &mut output);
        output
    }

    /// Handles a message from another process.
    pub fn deliver(&mut self, message: OwnershipMessage, now: ClockReading) -> OwnershipOutput {
        let mut output = self.begin_step(now);
        let addressee = message.addressee();
        if addressee.is_some_and(|addressee| addressee != self.incarnation) {
            self.misaddressed += 1;
            return output;
        }
        match message {
            OwnershipMessage::Renew {
                holder,
                set_version,
                active,
                number,
                ..
            } => {
                let request = RenewalRequest {
                    holder,
                    set_version,
                    active,
                    number,
                };
                let next_offset = self.state().next;
                let response = self.witness.respond(request, next_offset, now.monotonic);
                if let Some(response) = response {
                    output.send(holder, response);
                }
            }
            OwnershipMessage::Promise {
                witness,
                set_version,
                number,
                ..
            } => self
                .holder
                .accept_promise(witness, number, set_version, now),
            OwnershipMessage::Refusal { witness, .. } => {
                let had_ended = self.end_cause().is_some();
                self.holder.accept_refusal(witness);
                self.emit_end(had_ended, &mut output);
            }
            OwnershipMessage::Lapsed {
                witness,
                subject,
                set_version,
                active,
            } => {
                let statement = LapseStatement {
                    acknowledged: set_version,
                    active,
                };
                self.collector.record(witness, subject, statement);
                self.try_certify(subject, now, &mut output);
            }
            OwnershipMessage::Certified(certificate) => {
                let is_known = self.is_end_known(certificate.subject);
                if !is_known {
                    output.emit(OwnershipEvent::CertificateReceived(certificate.clone()));
                    self.accept_certificate(certificate, now, &mut output);
                }
            }
            OwnershipMessage::Resigned { holder, positions } => {
                output.view_changed = true;
                let changes = self
                    .succession
                    .mark_resigned(holder, positions, now.monotonic);
                output.push_tenure_changes(changes);
            }
        }
        self.emit_lease_change(now, &mut output);
        output
    }

    /// Handles a timer tick: states lapses, and sends renewals, repetitions and
    /// certificates that are due.
    pub fn tick(&mut self, now: ClockReading) -> OwnershipOutput {
        let mut output = self.begin_step(now);
        for subject in self.witness.take_lapsed(now.monotonic) {
            output.emit(OwnershipEvent::LapseStated(subject));
        }
        for statement in self.witness.due_statements(now.monotonic) {
            self.record_own_statement(&statement, now, &mut output);
            output.broadcast(statement);
        }
        if now.monotonic >= self.next_renewal {
            self.next_renewal = now.monotonic + self.timing.renew_interval;
            for message in self.holder.renew(now) {
                if let Some(witness) = message.addressee() {
                    output.send(witness, message);
                }
            }
        }
        let had_ended = self.end_cause().is_some();
        self.holder.check_witnesses(now);
        self.emit_end(had_ended, &mut output);
        let changes = self.succession.tick(now.monotonic);
        output.push_tenure_changes(changes);
        self.resend_resignations(now, &mut output);
        self.append_due(now, &mut output);
        self.emit_lease_change(now, &mut output);
        output
    }

    /// Irrevocably resigns positions of this process. It may not serve them
    /// from this call on. Their successors are notified until the resignation
    /// is in the folded state.
    pub fn resign(
        &mut self,
        positions: Vec<(ChainKey, Epoch)>,
        now: ClockReading,
    ) -> OwnershipOutput {
        let mut output = self.begin_step(now);
        output.view_changed = true;
        let incarnation = self.incarnation;
        let changes = self
            .succession
            .mark_resigned(incarnation, positions, now.monotonic);
        output.push_tenure_changes(changes);
        self.next_resign = now.monotonic;
        self.resign_interval = self.timing.resend_interval;
        self.resend_resignations(now, &mut output);
        output
    }

    /// Begins every step. If the process was paused before it, discards the
    /// promises that it received and extends those that it made.
    fn begin_step(&mut self, now: ClockReading) -> OwnershipOutput {
        let mut output = OwnershipOutput::default();
        let last_step = self.last_step.replace(now);
        let gap = last_step.map_or(Duration::ZERO, |last| now.elapsed_since(&last));
        if gap > self.timing.max_tick_gap {
            output.emit(OwnershipEvent::PauseDetected(gap));
            self.holder.forget_promises();
            self.witness.extend_all_promises(now.monotonic);
            self.next_renewal = now.monotonic;
        }
        output
    }

    fn record_own_statement(
        &mut self,
        message: &OwnershipMessage,
        now: ClockReading,
        output: &mut OwnershipOutput,
    ) {
        if let OwnershipMessage::Lapsed {
            witness,
            subject,
            set_version,
            active,
        } = message
        {
            let statement = LapseStatement {
                acknowledged: *set_version,
                active: *active,
            };
            self.collector.record(*witness, *subject, statement);
            self.try_certify(*subject, now, output);
        }
    }

    fn is_end_known(&self, subject: Incarnation) -> bool {
        self.succession.certified().contains(&subject)
            || !self.state().members.contains_key(&subject)
    }

    fn try_certify(
        &mut self,
        subject: Incarnation,
        now: ClockReading,
        output: &mut OwnershipOutput,
    ) {
        if self.is_end_known(subject) {
            return;
        }
        if let Some(certificate) = self.collector.certify(subject) {
            output.emit(OwnershipEvent::CertificateFormed(certificate.clone()));
            // Statements go to every member, so only their senders forward the
            // certificate, for members that missed a statement.
            if certificate.witnesses.contains(&self.incarnation) {
                output.broadcast(OwnershipMessage::Certified(certificate.clone()));
            }
            self.accept_certificate(certificate, now, output);
        }
    }

    fn accept_certificate(
        &mut self,
        certificate: LapseCertificate,
        now: ClockReading,
        output: &mut OwnershipOutput,
    ) {
        output.view_changed = true;
        let subject = certificate.subject;
        if subject == self.incarnation {
            self.end(EndCause::Certificate, output);
        }
        let due = now.monotonic + self.append_delay(&certificate);
        let pending = PendingAppend { certificate, due };
        self.pending.insert(subject, pending);
        let changes = self.succession.mark_certified(subject, now.monotonic);
        output.push_tenure_changes(changes);
        self.append_due(now, output);
    }

    /// Returns how long to wait for other members to append a certificate. Its
    /// witnesses try one after the other, all other members much later.
    fn append_delay(&self, certificate: &LapseCertificate) -> Duration {
        let witnesses = &certificate.witnesses;
        let rank = witnesses
            .iter()
            .position(|witness| *witness == self.incarnation);
        if let Some(rank) = rank {
            return APPEND_STAGGER_INTERVAL * rank as u32;
        }
        let spread = FALLBACK_APPEND_SPREAD.as_millis() as u64;
        let offset = rendezvous_score(self.incarnation, certificate.subject) % spread;
        FALLBACK_APPEND_DELAY + Duration::from_millis(offset)
    }

    fn append_due(&mut self, now: ClockReading, output: &mut OwnershipOutput) {
        if self.end_cause().is_some() {
            return;
        }
        for pending in self.pending.values_mut() {
            if pending.due <= now.monotonic {
                pending.due = now.monotonic + APPEND_RETRY_INTERVAL;
                output.appends.push(pending.certificate.clone());
            }
        }
    }

    fn resend_resignations(&mut self, now: ClockReading, output: &mut OwnershipOutput) {
        if now.monotonic < self.next_resign {
            return;
        }
        let positions = self.succession.own_resignations();
        if positions.is_empty() {
            return;
        }
        self.next_resign = now.monotonic + self.resign_interval;
        self.resign_interval = (self.resign_interval * 2).min(self.timing.max_resend_interval);
        let mut by_successor: BTreeMap<Incarnation, Vec<(ChainKey, Epoch)>> = BTreeMap::new();
        for (key, epoch) in positions {
            for successor in self.later_holders(&key, epoch) {
                let position = (key.clone(), epoch);
                by_successor.entry(successor).or_default().push(position);
            }
        }
        for (successor, positions) in by_successor {
            for part in positions.chunks(MAX_POSITIONS_PER_MESSAGE) {
                let message = OwnershipMessage::Resigned {
                    holder: self.incarnation,
                    positions: part.to_vec(),
                };
                output.send(successor, message);
            }
        }
    }

    fn later_holders(&self, key: &ChainKey, epoch: Epoch) -> Vec<Incarnation> {
        let Some(chain) = self.state().chains.get(key) else {
            return Vec::new();
        };
        let mut holders: Vec<Incarnation> = (chain.first_epoch..)
            .zip(&chain.entries)
            .filter(|(position, entry)| *position > epoch && entry.holder != self.incarnation)
            .map(|(_, entry)| entry.holder)
            .collect();
        holders.sort_unstable();
        holders.dedup();
        holders
    }

    fn emit_end(&mut self, had_ended: bool, output: &mut OwnershipOutput) {
        if had_ended {
            return;
        }
        if let Some(cause) = self.end_cause() {
            self.end(cause, output);
        }
    }

    fn end(&mut self, cause: EndCause, output: &mut OwnershipOutput) {
        self.holder.end(cause);
        output.emit(OwnershipEvent::Ended(cause));
        let changes = self.succession.end();
        output.push_tenure_changes(changes);
    }

    fn emit_lease_change(&mut self, now: ClockReading, output: &mut OwnershipOutput) {
        let is_live = !self.remaining(now).is_zero();
        if is_live == self.was_live {
            return;
        }
        self.was_live = is_live;
        output.emit(if is_live {
            OwnershipEvent::LeaseLive
        } else {
            OwnershipEvent::LeaseLapsed
        });
    }
}

/// Hashes what determines future steps. The folded state is hashed by its
/// offset, as equal offsets mean equal states.
impl<R: LeaseRules> Hash for OwnershipMachine<R> {
    fn hash<H: Hasher>(&self, state: &mut H) {
        self.incarnation.hash(state);
        self.holder.hash(state);
        self.witness.hash(state);
        self.collector.hash(state);
        self.succession.hash(state);
        self.pending.hash(state);
        self.last_step.hash(state);
        self.next_renewal.hash(state);
        self.next_resign.hash(state);
        self.resign_interval.hash(state);
    }
}

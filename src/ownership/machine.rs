//! One process's part in ownership, as a pure state machine.
//!
//! It joins the process's own lease, the leases that it witnesses, the
//! statements that it collects and the chains that it may serve. It takes
//! time as an argument and does no I/O: what is to be sent, appended and
//! logged is returned.

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
use crate::base::hash::pair_score;
use crate::base::ids::Epoch;
use crate::base::ids::Incarnation;
use crate::base::ids::Version;
use crate::state::folded::FoldedState;
use crate::state::record::ChainKey;
use crate::state::record::LapseCertificate;

/// How many positions one datagram names.
const POSITIONS_PER_MESSAGE: usize = 16;

/// Time between the appends of the same certificate by its witnesses.
const APPEND_STAGGER: Duration = Duration::from_millis(500);

/// When members that are no witness append a certificate that is still not
/// in the log, at the earliest.
const LATE_APPEND_DELAY: Duration = Duration::from_secs(5);

/// Over how long those members spread their appends.
const LATE_APPEND_SPREAD: Duration = Duration::from_secs(20);

/// Time between two attempts to append the same certificate.
const APPEND_RETRY: Duration = Duration::from_secs(10);

/// Whom a message is for.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum MessageTarget {
    /// One member.
    Member(Incarnation),
    /// Every other member.
    Everyone,
}

/// What a step of the machine asks for.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct OwnershipOutput {
    /// Messages to send, in order.
    pub messages: Vec<(MessageTarget, OwnershipMessage)>,
    /// Certificates to append to the log.
    pub appends: Vec<LapseCertificate>,
    /// Decisions, in order.
    pub events: Vec<OwnershipEvent>,
    /// Whether the folded state, or what is known beyond it, changed.
    pub view_changed: bool,
}

impl OwnershipOutput {
    fn send(&mut self, to: Incarnation, message: OwnershipMessage) {
        self.messages.push((MessageTarget::Member(to), message));
    }

    fn broadcast(&mut self, message: OwnershipMessage) {
        self.messages.push((MessageTarget::Everyone, message));
    }

    fn decide(&mut self, event: OwnershipEvent) {
        self.events.push(event);
    }

    fn note_tenures(&mut self, changes: Vec<TenureChange>) {
        let events = changes.into_iter().map(OwnershipEvent::Tenure);
        self.events.extend(events);
    }
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct PendingAppend {
    certificate: LapseCertificate,
    due: Duration,
}

/// One process's part in ownership.
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
    resign_gap: Duration,
    was_live: bool,
    misaddressed: u64,
}

impl<R: LeaseRules> OwnershipMachine<R> {
    /// Creates the machine of a process that has just started.
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
            resign_gap: timing.resend_interval,
            was_live: false,
            misaddressed: 0,
        }
    }

    /// Returns the process.
    pub fn incarnation(&self) -> Incarnation {
        self.incarnation
    }

    /// Returns why the process cannot hold its lease any more.
    pub fn end_cause(&self) -> Option<EndCause> {
        self.holder.end_cause()
    }

    /// Returns for how long the lease is still live; zero if it is not.
    pub fn remaining(&self, now: ClockReading) -> Duration {
        self.holder.remaining(now)
    }

    /// Returns the version of the witness set that the lease rests on.
    pub fn active_version(&self) -> Version {
        self.holder.active_version()
    }

    /// Returns the chains that may be served while the lease is live.
    pub fn serving(&self) -> &BTreeMap<ChainKey, ChainTenure> {
        self.succession.serving()
    }

    /// Returns the epoch under which a chain may be served now.
    pub fn may_serve(&self, chain: &ChainKey, now: ClockReading) -> Option<Epoch> {
        if self.remaining(now).is_zero() {
            return None;
        }
        self.serving().get(chain).map(|tenure| tenure.epoch)
    }

    /// Returns the folded state that was last taken in.
    pub fn state(&self) -> &Arc<FoldedState> {
        self.succession.state()
    }

    /// Returns the members that are certified but not ended in the log yet.
    pub fn certified(&self) -> Vec<Incarnation> {
        self.succession.certified().iter().copied().collect()
    }

    /// Returns the positions that their holders resigned but the folded state
    /// does not show yet.
    pub fn resigned(&self) -> Vec<(ChainKey, Epoch)> {
        self.succession.resigned()
    }

    /// Returns how many messages were for another incarnation.
    pub fn misaddressed(&self) -> u64 {
        self.misaddressed
    }

    /// Takes in a newer folded state.
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
            output.note_tenures(changes);
        } else {
            self.succession.end();
        }
        for subject in self.collector.suspects() {
            self.try_certify(subject, now, &mut output);
        }
        self.note_lease(now, &mut output);
        output
    }

    /// Takes in a message.
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
                let answer = self.witness.answer(request, next_offset, now.monotonic);
                if let Some(answer) = answer {
                    output.send(holder, answer);
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
                self.note_end(had_ended, &mut output);
            }
            OwnershipMessage::Lapsed {
                witness,
                subject,
                set_version,
                active,
            } => {
                let said = LapseStatement {
                    acknowledged: set_version,
                    active,
                };
                self.collector.record(witness, subject, said);
                self.try_certify(subject, now, &mut output);
            }
            OwnershipMessage::Certified(certificate) => {
                let is_known = self.knows_end_of(certificate.subject);
                if !is_known {
                    output.decide(OwnershipEvent::CertificateReceived(certificate.clone()));
                    self.take_certificate(certificate, now, &mut output);
                }
            }
            OwnershipMessage::Resigned { holder, positions } => {
                output.view_changed = true;
                let changes = self
                    .succession
                    .mark_resigned(holder, positions, now.monotonic);
                output.note_tenures(changes);
            }
        }
        self.note_lease(now, &mut output);
        output
    }

    /// Lets time pass.
    pub fn tick(&mut self, now: ClockReading) -> OwnershipOutput {
        let mut output = self.begin_step(now);
        for subject in self.witness.take_lapsed(now.monotonic) {
            output.decide(OwnershipEvent::LapseStated(subject));
        }
        for statement in self.witness.due_statements(now.monotonic) {
            self.note_own_statement(&statement, now, &mut output);
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
        self.note_end(had_ended, &mut output);
        let changes = self.succession.tick(now.monotonic);
        output.note_tenures(changes);
        self.resend_resignations(now, &mut output);
        self.append_due(now, &mut output);
        self.note_lease(now, &mut output);
        output
    }

    /// Resigns positions of this process, for good. They are not served from
    /// this call on, and their successors are told.
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
        output.note_tenures(changes);
        self.next_resign = now.monotonic;
        self.resign_gap = self.timing.resend_interval;
        self.resend_resignations(now, &mut output);
        output
    }

    /// Begins every step: sees whether the process was paused before it.
    fn begin_step(&mut self, now: ClockReading) -> OwnershipOutput {
        let mut output = OwnershipOutput::default();
        let last_step = self.last_step.replace(now);
        let gap = last_step.map_or(Duration::ZERO, |last| now.elapsed_since(&last));
        if gap > self.timing.max_tick_gap {
            output.decide(OwnershipEvent::PauseDetected(gap));
            self.holder.forget_promises();
            self.witness.extend_all_promises(now.monotonic);
            self.next_renewal = now.monotonic;
        }
        output
    }

    fn note_own_statement(
        &mut self,
        statement: &OwnershipMessage,
        now: ClockReading,
        output: &mut OwnershipOutput,
    ) {
        if let OwnershipMessage::Lapsed {
            witness,
            subject,
            set_version,
            active,
        } = statement
        {
            let said = LapseStatement {
                acknowledged: *set_version,
                active: *active,
            };
            self.collector.record(*witness, *subject, said);
            self.try_certify(*subject, now, output);
        }
    }

    fn knows_end_of(&self, subject: Incarnation) -> bool {
        self.succession.certified().contains(&subject)
            || !self.state().members.contains_key(&subject)
    }

    fn try_certify(
        &mut self,
        subject: Incarnation,
        now: ClockReading,
        output: &mut OwnershipOutput,
    ) {
        if self.knows_end_of(subject) {
            return;
        }
        if let Some(certificate) = self.collector.certify(subject) {
            output.decide(OwnershipEvent::CertificateFormed(certificate.clone()));
            // Every member hears the statements, so only those who made them
            // pass the certificate on to members that missed one.
            if certificate.witnesses.contains(&self.incarnation) {
                output.broadcast(OwnershipMessage::Certified(certificate.clone()));
            }
            self.take_certificate(certificate, now, output);
        }
    }

    fn take_certificate(
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
        output.note_tenures(changes);
        self.append_due(now, output);
    }

    /// Returns how long to leave the append to others: the witnesses append
    /// one after the other, everybody else much later.
    fn append_delay(&self, certificate: &LapseCertificate) -> Duration {
        let witnesses = &certificate.witnesses;
        let rank = witnesses
            .iter()
            .position(|witness| *witness == self.incarnation);
        if let Some(rank) = rank {
            return APPEND_STAGGER * rank as u32;
        }
        let spread = LATE_APPEND_SPREAD.as_millis() as u64;
        let offset = pair_score(self.incarnation, certificate.subject) % spread;
        LATE_APPEND_DELAY + Duration::from_millis(offset)
    }

    fn append_due(&mut self, now: ClockReading, output: &mut OwnershipOutput) {
        if self.end_cause().is_some() {
            return;
        }
        for pending in self.pending.values_mut() {
            if pending.due <= now.monotonic {
                pending.due = now.monotonic + APPEND_RETRY;
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
        self.next_resign = now.monotonic + self.resign_gap;
        self.resign_gap = (self.resign_gap * 2).min(self.timing.max_resend_interval);
        let mut by_successor: BTreeMap<Incarnation, Vec<(ChainKey, Epoch)>> = BTreeMap::new();
        for (key, epoch) in positions {
            for successor in self.later_holders(&key, epoch) {
                let position = (key.clone(), epoch);
                by_successor.entry(successor).or_default().push(position);
            }
        }
        for (successor, positions) in by_successor {
            for part in positions.chunks(POSITIONS_PER_MESSAGE) {
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
        let mut holders: Vec<Incarnation> = (chain.base..)
            .zip(&chain.entries)
            .filter(|(position, entry)| *position > epoch && entry.holder != self.incarnation)
            .map(|(_, entry)| entry.holder)
            .collect();
        holders.sort_unstable();
        holders.dedup();
        holders
    }

    fn note_end(&mut self, had_ended: bool, output: &mut OwnershipOutput) {
        if had_ended {
            return;
        }
        if let Some(cause) = self.end_cause() {
            self.end(cause, output);
        }
    }

    fn end(&mut self, cause: EndCause, output: &mut OwnershipOutput) {
        self.holder.end(cause);
        output.decide(OwnershipEvent::Ended(cause));
        let changes = self.succession.end();
        output.note_tenures(changes);
    }

    fn note_lease(&mut self, now: ClockReading, output: &mut OwnershipOutput) {
        let is_live = !self.remaining(now).is_zero();
        if is_live == self.was_live {
            return;
        }
        self.was_live = is_live;
        output.decide(if is_live {
            OwnershipEvent::LeaseLive
        } else {
            OwnershipEvent::LeaseLapsed
        });
    }
}

/// The folded state counts by its offset: equal offsets are equal states.
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
        self.resign_gap.hash(state);
    }
}

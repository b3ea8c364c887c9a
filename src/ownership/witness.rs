//! The leases that a process witnesses, as a pure state machine.
//!
//! A witness watches every member that the log names it for, from the moment
//! it learnt so. Once a promise has run out it states the lapse, for good, and
//! never promises to that incarnation again. It counts on its monotonic clock
//! alone, so that no clock step makes it early; being late is always safe.

use std::collections::BTreeMap;
use std::marker::PhantomData;
use std::time::Duration;

use super::message::OwnershipMessage;
use super::message::RoundNumber;
use super::rules::LeaseRules;
use super::timing::LeaseTiming;
use crate::base::ids::Incarnation;
use crate::base::ids::Offset;
use crate::base::ids::Version;
use crate::state::folded::FoldedState;
use crate::state::folded::MemberState;

/// A holder's request for a fresh promise.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RenewalRequest {
    /// Who asks.
    pub holder: Incarnation,
    /// The newest witness set that the holder knows.
    pub set_version: Version,
    /// The witness set that the holder's lease rests on.
    pub active: Version,
    /// The renewal round.
    pub number: RoundNumber,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct WatchedLease {
    acknowledged: Version,
    active: Version,
    is_named: bool,
    named_version: Version,
    expires: Duration,
    lapsed: bool,
    next_statement: Duration,
    statement_gap: Duration,
}

impl WatchedLease {
    /// Tells whether the holder's lease rests on a newer witness set without
    /// this witness.
    fn is_released(&self) -> bool {
        !self.is_named && self.active >= self.named_version
    }
}

/// The leases that a process witnesses.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct LeaseWitness<R> {
    witness: Incarnation,
    timing: LeaseTiming,
    watched: BTreeMap<Incarnation, WatchedLease>,
    rules: PhantomData<R>,
}

impl<R: LeaseRules> LeaseWitness<R> {
    /// Creates a witness that watches nobody yet.
    pub fn new(witness: Incarnation, timing: LeaseTiming) -> Self {
        Self {
            witness,
            timing,
            watched: BTreeMap::new(),
            rules: PhantomData,
        }
    }

    /// Returns how many leases are watched.
    pub fn watched_count(&self) -> usize {
        self.watched.len()
    }

    /// Takes in whom the log names this process for.
    pub fn apply_state(&mut self, state: &FoldedState, now: Duration) {
        self.watched
            .retain(|subject, _| state.members.contains_key(subject));
        for (subject, member) in &state.members {
            self.follow_member(*subject, member, now);
        }
    }

    fn follow_member(&mut self, subject: Incarnation, member: &MemberState, now: Duration) {
        let is_named = member.witnesses.members.contains(&self.witness);
        let was_named = member.previous_witnesses.members.contains(&self.witness);
        let is_watched = self.watched.contains_key(&subject);
        if !is_named && !was_named && !is_watched {
            return;
        }
        let expires = now + R::first_renewal_timeout(&self.timing);
        let resend_interval = self.timing.resend_interval;
        let lease = self.watched.entry(subject).or_insert_with(|| WatchedLease {
            acknowledged: 0,
            active: 0,
            is_named: false,
            named_version: 0,
            expires,
            lapsed: false,
            next_statement: Duration::ZERO,
            statement_gap: resend_interval,
        });
        if is_named && !lease.is_named && !lease.lapsed {
            lease.expires = lease.expires.max(expires);
        }
        lease.is_named = is_named;
        lease.named_version = member.witnesses.version;
    }

    /// Answers a holder's request for a fresh promise; none if the log has not
    /// named this process for the holder yet.
    pub fn answer(
        &mut self,
        request: RenewalRequest,
        next_offset: Offset,
        now: Duration,
    ) -> Option<OwnershipMessage> {
        let lease = self.watched.get_mut(&request.holder)?;
        if lease.lapsed && !R::may_promise_after_lapse() {
            return Some(OwnershipMessage::Refusal {
                witness: self.witness,
                holder: request.holder,
                next_offset,
            });
        }
        lease.lapsed = false;
        lease.acknowledged = lease.acknowledged.max(request.set_version);
        lease.active = lease.active.max(request.active);
        lease.expires = lease.expires.max(now + self.timing.lease);
        Some(OwnershipMessage::Promise {
            witness: self.witness,
            holder: request.holder,
            set_version: request.set_version,
            number: request.number,
        })
    }

    /// Grants every holder one fresh lease time, after a gap in the process's
    /// own ticks: renewals that came in the gap may not have been read yet.
    pub fn extend_all_promises(&mut self, now: Duration) {
        let expires = now + self.timing.lease;
        for lease in self.watched.values_mut() {
            lease.expires = lease.expires.max(expires);
        }
    }

    /// Returns the holders whose promise ran out since the last call, and
    /// never promises to them again.
    pub fn take_lapsed(&mut self, now: Duration) -> Vec<Incarnation> {
        let mut subjects = Vec::new();
        for (subject, lease) in &mut self.watched {
            if lease.lapsed || lease.is_released() || now < lease.expires {
                continue;
            }
            lease.lapsed = true;
            lease.next_statement = now;
            subjects.push(*subject);
        }
        subjects
    }

    /// Returns the statements that are due to be sent, first or again.
    pub fn due_statements(&mut self, now: Duration) -> Vec<OwnershipMessage> {
        let mut statements = Vec::new();
        for (subject, lease) in &mut self.watched {
            if !lease.lapsed || now < lease.next_statement {
                continue;
            }
            lease.next_statement = now + lease.statement_gap;
            lease.statement_gap = (lease.statement_gap * 2).min(self.timing.max_resend_interval);
            statements.push(OwnershipMessage::Lapsed {
                witness: self.witness,
                subject: *subject,
                set_version: lease.acknowledged,
                active: lease.active,
            });
        }
        statements
    }
}

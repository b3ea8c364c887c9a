//! The leases that a process witnesses, as a state machine without clocks or
//! I/O.
//!
//! A witness watches every member whose witness set in the log contains it,
//! from the time it folds that record. Once its promise has expired it states
//! the lapse, irrevocably, and makes no more promises to that incarnation. It
//! uses the monotonic clock alone, so that a step of the wall clock cannot
//! make it state a lapse too early; stating it late is always safe.

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

/// A holder's request for a new promise.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RenewalRequest {
    /// The lease holder.
    pub holder: Incarnation,
    /// Version of the newest witness set that the holder knows.
    pub set_version: Version,
    /// Version of the holder's active witness set; 0 if none.
    pub active: Version,
    /// The renewal round, which the promise repeats.
    pub number: RoundNumber,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct WatchedLease {
    acknowledged: Version,
    active: Version,
    /// Whether this process is in the newest witness set in the log.
    is_current: bool,
    /// Version of the newest witness set in the log.
    latest_version: Version,
    expires: Duration,
    lapsed: bool,
    next_statement: Duration,
    statement_interval: Duration,
}

impl WatchedLease {
    /// Returns whether the holder's active witness set no longer contains this
    /// process.
    fn is_released(&self) -> bool {
        !self.is_current && self.active >= self.latest_version
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
    /// Creates a witness that watches no leases.
    pub fn new(witness: Incarnation, timing: LeaseTiming) -> Self {
        Self {
            witness,
            timing,
            watched: BTreeMap::new(),
            rules: PhantomData,
        }
    }

    /// Returns the number of watched leases, lapsed ones included.
    pub fn watched_count(&self) -> usize {
        self.watched.len()
    }

    /// Starts watching the members whose current or previous witness set
    /// contains this process, and drops members that have ended.
    ///
    /// A member that is new here gets the time of a first renewal before its
    /// lease can lapse.
    pub fn apply_state(&mut self, state: &FoldedState, now: Duration) {
        self.watched
            .retain(|subject, _| state.members.contains_key(subject));
        for (subject, member) in &state.members {
            self.apply_member(*subject, member, now);
        }
    }

    fn apply_member(&mut self, subject: Incarnation, member: &MemberState, now: Duration) {
        let is_current = member.witnesses.members.contains(&self.witness);
        let was_current = member.previous_witnesses.members.contains(&self.witness);
        let is_watched = self.watched.contains_key(&subject);
        if !is_current && !was_current && !is_watched {
            return;
        }
        let expires = now + R::first_renewal_timeout(&self.timing);
        let resend_interval = self.timing.resend_interval;
        let lease = self.watched.entry(subject).or_insert_with(|| WatchedLease {
            acknowledged: 0,
            active: 0,
            is_current: false,
            latest_version: 0,
            expires,
            lapsed: false,
            next_statement: Duration::ZERO,
            statement_interval: resend_interval,
        });
        if is_current && !lease.is_current && !lease.lapsed {
            lease.expires = lease.expires.max(expires);
        }
        lease.is_current = is_current;
        lease.latest_version = member.witnesses.version;
    }

    /// Returns the promise or refusal in response to a renewal request; `None`
    /// if this process does not watch the holder, because it has not folded the
    /// record that makes it a witness.
    ///
    /// `next_offset` is the next log offset that this process will fold.
    pub fn respond(
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

    /// Extends every promise by a full lease time from now, after this process
    /// was paused: renewals that arrived during the pause may not have been
    /// read yet.
    pub fn extend_all_promises(&mut self, now: Duration) {
        let expires = now + self.timing.lease;
        for lease in self.watched.values_mut() {
            lease.expires = lease.expires.max(expires);
        }
    }

    /// Returns the holders whose promise has expired since the last call, and
    /// marks their leases as lapsed. Holders that released this witness are
    /// left out.
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

    /// Returns the lapse statements that are due to be sent. Each is repeated
    /// at doubling intervals until the log records the member's end.
    pub fn due_statements(&mut self, now: Duration) -> Vec<OwnershipMessage> {
        let mut statements = Vec::new();
        for (subject, lease) in &mut self.watched {
            if !lease.lapsed || now < lease.next_statement {
                continue;
            }
            lease.next_statement = now + lease.statement_interval;
            lease.statement_interval =
                (lease.statement_interval * 2).min(self.timing.max_resend_interval);
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

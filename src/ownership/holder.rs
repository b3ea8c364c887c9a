//! The process's own lease, as a state machine without clocks or I/O.
//!
//! The lease is live while a quorum of the active witness set is bound by an
//! unexpired promise not to state a lapse. A newer set becomes active only once
//! a quorum of the active one has acknowledged it: until then a lapse can be
//! certified under the active set, and from then on it cannot.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::VecDeque;
use std::marker::PhantomData;
use std::time::Duration;

use super::message::OwnershipMessage;
use super::message::RoundNumber;
use super::rules::LeaseRules;
use super::timing::ClockReading;
use super::timing::LeaseTiming;
use crate::base::ids::Incarnation;
use crate::base::ids::Version;
use crate::state::folded::FoldedState;
use crate::state::folded::WitnessSet;

/// Renewal rounds for which promises are still accepted.
const MAX_OPEN_ROUNDS: usize = 8;

/// Why an incarnation permanently lost its lease.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum EndCause {
    /// The log records the end of this incarnation.
    Log,
    /// This process formed or received a certificate of its own lapse.
    Certificate,
    /// So many witnesses refused to renew that no quorum is left.
    Refused,
    /// So many witnesses refused or have ended that no quorum is left, and the
    /// lease is not live.
    WitnessesGone,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
struct RenewalRound {
    number: RoundNumber,
    sent: ClockReading,
    set_version: Version,
}

#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash)]
struct WitnessResponse {
    start: Option<ClockReading>,
    acknowledged: Version,
}

/// The process's own lease.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct LeaseHolder<R> {
    holder: Incarnation,
    timing: LeaseTiming,
    /// The witness set whose promises keep the lease live.
    active: WitnessSet,
    /// The newest witness set in the log.
    latest: WitnessSet,
    /// Members of the previous active set that are not in the active one. They
    /// are sent renewals for one more lease time, so that they observe the
    /// change.
    released: Vec<Incarnation>,
    released_at: ClockReading,
    next_number: RoundNumber,
    rounds: VecDeque<RenewalRound>,
    responses: BTreeMap<Incarnation, WitnessResponse>,
    refused_by: BTreeSet<Incarnation>,
    ended_witnesses: BTreeSet<Incarnation>,
    end_cause: Option<EndCause>,
    rules: PhantomData<R>,
}

impl<R: LeaseRules> LeaseHolder<R> {
    /// Creates a lease that is not live and has no witnesses.
    pub fn new(holder: Incarnation, timing: LeaseTiming) -> Self {
        Self {
            holder,
            timing,
            active: WitnessSet::default(),
            latest: WitnessSet::default(),
            released: Vec::new(),
            released_at: ClockReading::default(),
            next_number: 1,
            rounds: VecDeque::new(),
            responses: BTreeMap::new(),
            refused_by: BTreeSet::new(),
            ended_witnesses: BTreeSet::new(),
            end_cause: None,
            rules: PhantomData,
        }
    }

    /// Returns why the lease has permanently ended; `None` while it may become
    /// live again.
    pub fn end_cause(&self) -> Option<EndCause> {
        self.end_cause
    }

    /// Returns the version of the active witness set; 0 if there is none.
    pub fn active_version(&self) -> Version {
        self.active.version
    }

    /// Applies the witness set of a newer folded state, and which witnesses
    /// have ended.
    ///
    /// Returns whether the set is new, in which case a renewal round has to
    /// start at once.
    pub fn apply_state(&mut self, state: &FoldedState, now: ClockReading) -> bool {
        let Some(member) = state.members.get(&self.holder) else {
            return false;
        };
        let is_newer = member.witnesses.version > self.latest.version;
        if is_newer {
            self.latest = member.witnesses.clone();
        }
        let witnesses = self.active.members.iter().chain(&self.latest.members);
        self.ended_witnesses = witnesses
            .filter(|witness| !state.members.contains_key(witness))
            .copied()
            .collect();
        self.activate_latest_set(now);
        is_newer
    }

    /// Ends the lease permanently. The first cause is kept.
    pub fn end(&mut self, cause: EndCause) {
        self.end_cause.get_or_insert(cause);
    }

    /// Starts a renewal round and returns its messages; none if the lease has
    /// ended or the log names no witness set yet.
    pub fn renew(&mut self, now: ClockReading) -> Vec<OwnershipMessage> {
        if self.end_cause.is_some() || self.latest.version == 0 {
            return Vec::new();
        }
        let round = RenewalRound {
            number: self.next_number,
            sent: now,
            set_version: self.latest.version,
        };
        self.next_number += 1;
        self.rounds.push_back(round);
        if self.rounds.len() > MAX_OPEN_ROUNDS {
            self.rounds.pop_front();
        }
        if now.elapsed_since(&self.released_at) > self.timing.lease {
            self.released.clear();
        }
        let recipients: BTreeSet<Incarnation> = self
            .active
            .members
            .iter()
            .chain(&self.latest.members)
            .chain(&self.released)
            .copied()
            .collect();
        recipients
            .into_iter()
            .map(|witness| OwnershipMessage::Renew {
                holder: self.holder,
                witness,
                set_version: round.set_version,
                active: self.active.version,
                number: round.number,
            })
            .collect()
    }

    /// Records a witness's promise. One for an unknown renewal round, or a
    /// round before a pause, is ignored.
    pub fn accept_promise(
        &mut self,
        witness: Incarnation,
        number: RoundNumber,
        set_version: Version,
        now: ClockReading,
    ) {
        let Some(round) = self.rounds.iter().find(|round| round.number == number) else {
            return;
        };
        let start = R::promise_start(round.sent, now);
        let is_acknowledged = set_version >= round.set_version;
        let acknowledged = is_acknowledged.then_some(round.set_version);
        let response = self.responses.entry(witness).or_default();
        let is_newer = response
            .start
            .is_none_or(|known| start.monotonic > known.monotonic);
        if is_newer {
            response.start = Some(start);
        }
        response.acknowledged = response.acknowledged.max(acknowledged.unwrap_or(0));
        self.activate_latest_set(now);
    }

    /// Records that a witness will make no more promises. Ends the lease if
    /// too few witnesses of the active set are left for a quorum.
    pub fn accept_refusal(&mut self, witness: Incarnation) {
        self.refused_by.insert(witness);
        let usable = count_witnesses(&self.active, |witness| !self.refused_by.contains(&witness));
        if !self.active.members.is_empty() && usable < self.active.quorum() {
            self.end(EndCause::Refused);
        }
    }

    /// Discards all promises, and all renewal rounds in progress, after the
    /// process was paused.
    pub fn forget_promises(&mut self) {
        self.rounds.clear();
        for response in self.responses.values_mut() {
            response.start = None;
        }
    }

    /// Ends the lease if it is not live and too few witnesses are left for a
    /// quorum.
    pub fn check_witnesses(&mut self, now: ClockReading) {
        if self.active.members.is_empty() || !self.remaining(now).is_zero() {
            return;
        }
        let usable = count_witnesses(&self.active, |witness| {
            !self.refused_by.contains(&witness) && !self.ended_witnesses.contains(&witness)
        });
        if usable < self.active.quorum() {
            self.end(EndCause::WitnessesGone);
        }
    }

    /// Returns the remaining time of the lease; zero if it is not live.
    ///
    /// With an empty active set, as for the only member of a fleet, the lease
    /// never runs out.
    pub fn remaining(&self, now: ClockReading) -> Duration {
        if self.end_cause.is_some() || self.active.version == 0 {
            return Duration::ZERO;
        }
        if self.active.members.is_empty() {
            return self.timing.holder_lease();
        }
        self.remaining_under(&self.active, now)
    }

    /// Returns the remaining time of a quorum's promises: that of the
    /// quorum-th longest promise.
    fn remaining_under(&self, set: &WitnessSet, now: ClockReading) -> Duration {
        let mut remaining: Vec<Duration> = set
            .members
            .iter()
            .map(|witness| self.promise_remaining(*witness, now))
            .collect();
        remaining.sort_unstable_by(|left, right| right.cmp(left));
        remaining
            .get(set.quorum() - 1)
            .copied()
            .unwrap_or(Duration::ZERO)
    }

    fn promise_remaining(&self, witness: Incarnation, now: ClockReading) -> Duration {
        let response = self.responses.get(&witness);
        let Some(start) = response.and_then(|response| response.start) else {
            return Duration::ZERO;
        };
        self.timing
            .holder_lease()
            .saturating_sub(now.elapsed_since(&start))
    }

    /// Makes the latest witness set the active one if a quorum of the active
    /// set has acknowledged it and a quorum of the latest set has promised. The
    /// first set becomes active at once.
    fn activate_latest_set(&mut self, now: ClockReading) {
        if self.latest.version <= self.active.version {
            return;
        }
        if self.active.version > 0 && !self.active.members.is_empty() {
            let acknowledged = count_witnesses(&self.active, |witness| {
                let response = self.responses.get(&witness);
                response.is_some_and(|response| response.acknowledged >= self.latest.version)
            });
            let is_acknowledged = R::is_set_change_acknowledged(acknowledged, self.active.quorum());
            let is_ready = self.latest.members.is_empty()
                || !self.remaining_under(&self.latest, now).is_zero();
            if !is_acknowledged || !is_ready {
                return;
            }
        }
        let previous = std::mem::replace(&mut self.active, self.latest.clone());
        let current = &self.active.members;
        self.released = previous.members;
        self.released.retain(|witness| !current.contains(witness));
        self.released_at = now;
    }
}

fn count_witnesses(set: &WitnessSet, matches: impl Fn(Incarnation) -> bool) -> usize {
    let members = set.members.iter();
    members.filter(|witness| matches(**witness)).count()
}

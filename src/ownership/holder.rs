//! A process's own lease, as a pure state machine.
//!
//! The lease is live while a quorum of the active witness set has freshly
//! promised to state no lapse. A newer set becomes active only once a quorum
//! of the active one has acknowledged it: until then a lapse can be certified
//! under the active set, and from then on it cannot.

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

/// How many renewal rounds can be answered.
const ROUNDS_KEPT: usize = 8;

/// Why a process cannot hold its lease any more.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum EndCause {
    /// The log says that it ended.
    Log,
    /// A certificate of its lapse was seen.
    Certificate,
    /// Too many witnesses refused.
    Refused,
    /// Too many witnesses have ended themselves.
    WitnessesGone,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
struct RenewalRound {
    number: RoundNumber,
    sent: ClockReading,
    set_version: Version,
}

#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash)]
struct WitnessAnswer {
    start: Option<ClockReading>,
    acknowledged: Version,
}

/// A process's own lease.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct LeaseHolder<R> {
    holder: Incarnation,
    timing: LeaseTiming,
    active: WitnessSet,
    named: WitnessSet,
    released: Vec<Incarnation>,
    released_at: ClockReading,
    next_number: RoundNumber,
    rounds: VecDeque<RenewalRound>,
    answers: BTreeMap<Incarnation, WitnessAnswer>,
    refused: BTreeSet<Incarnation>,
    gone: BTreeSet<Incarnation>,
    end_cause: Option<EndCause>,
    rules: PhantomData<R>,
}

impl<R: LeaseRules> LeaseHolder<R> {
    /// Creates the lease of a process that has no witnesses yet.
    pub fn new(holder: Incarnation, timing: LeaseTiming) -> Self {
        Self {
            holder,
            timing,
            active: WitnessSet::default(),
            named: WitnessSet::default(),
            released: Vec::new(),
            released_at: ClockReading::default(),
            next_number: 1,
            rounds: VecDeque::new(),
            answers: BTreeMap::new(),
            refused: BTreeSet::new(),
            gone: BTreeSet::new(),
            end_cause: None,
            rules: PhantomData,
        }
    }

    /// Returns why the process cannot hold its lease any more.
    pub fn end_cause(&self) -> Option<EndCause> {
        self.end_cause
    }

    /// Returns the version of the witness set that the lease rests on.
    pub fn active_version(&self) -> Version {
        self.active.version
    }

    /// Takes in which witnesses the log names, and which of them ended. Tells
    /// whether there are new ones, which are to be asked at once.
    pub fn apply_state(&mut self, state: &FoldedState, now: ClockReading) -> bool {
        let Some(member) = state.members.get(&self.holder) else {
            return false;
        };
        let is_newer = member.witnesses.version > self.named.version;
        if is_newer {
            self.named = member.witnesses.clone();
        }
        let witnesses = self.active.members.iter().chain(&self.named.members);
        self.gone = witnesses
            .filter(|witness| !state.members.contains_key(witness))
            .copied()
            .collect();
        self.change_set(now);
        is_newer
    }

    /// Ends the lease for good.
    pub fn end(&mut self, cause: EndCause) {
        self.end_cause.get_or_insert(cause);
    }

    /// Starts a renewal round and returns its messages.
    pub fn renew(&mut self, now: ClockReading) -> Vec<OwnershipMessage> {
        if self.end_cause.is_some() || self.named.version == 0 {
            return Vec::new();
        }
        let round = RenewalRound {
            number: self.next_number,
            sent: now,
            set_version: self.named.version,
        };
        self.next_number += 1;
        self.rounds.push_back(round);
        if self.rounds.len() > ROUNDS_KEPT {
            self.rounds.pop_front();
        }
        if now.elapsed_since(&self.released_at) > self.timing.lease {
            self.released.clear();
        }
        let asked: BTreeSet<Incarnation> = self
            .active
            .members
            .iter()
            .chain(&self.named.members)
            .chain(&self.released)
            .copied()
            .collect();
        asked
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

    /// Takes in a witness's promise.
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
        let answer = self.answers.entry(witness).or_default();
        let is_newer = answer
            .start
            .is_none_or(|known| start.monotonic > known.monotonic);
        if is_newer {
            answer.start = Some(start);
        }
        answer.acknowledged = answer.acknowledged.max(acknowledged.unwrap_or(0));
        self.change_set(now);
    }

    /// Takes in that a witness never promises again.
    pub fn accept_refusal(&mut self, witness: Incarnation) {
        self.refused.insert(witness);
        let usable = count_witnesses(&self.active, |witness| !self.refused.contains(&witness));
        if !self.active.members.is_empty() && usable < self.active.quorum() {
            self.end(EndCause::Refused);
        }
    }

    /// Forgets every promise that was asked for before a gap in the process's
    /// own ticks.
    pub fn forget_promises(&mut self) {
        self.rounds.clear();
        for answer in self.answers.values_mut() {
            answer.start = None;
        }
    }

    /// Ends the lease if it is not live and too few witnesses are left to make
    /// it live again.
    pub fn check_witnesses(&mut self, now: ClockReading) {
        if self.active.members.is_empty() || !self.remaining(now).is_zero() {
            return;
        }
        let usable = count_witnesses(&self.active, |witness| {
            !self.refused.contains(&witness) && !self.gone.contains(&witness)
        });
        if usable < self.active.quorum() {
            self.end(EndCause::WitnessesGone);
        }
    }

    /// Returns for how long the lease is still live; zero if it is not.
    pub fn remaining(&self, now: ClockReading) -> Duration {
        if self.end_cause.is_some() || self.active.version == 0 {
            return Duration::ZERO;
        }
        if self.active.members.is_empty() {
            return self.timing.holder_lease();
        }
        self.remaining_under(&self.active, now)
    }

    /// Returns for how long a quorum of a set has promised.
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
        let answer = self.answers.get(&witness);
        let Some(start) = answer.and_then(|answer| answer.start) else {
            return Duration::ZERO;
        };
        self.timing
            .holder_lease()
            .saturating_sub(now.elapsed_since(&start))
    }

    /// Makes the named set the active one when it may be.
    fn change_set(&mut self, now: ClockReading) {
        if self.named.version <= self.active.version {
            return;
        }
        if self.active.version > 0 && !self.active.members.is_empty() {
            let acknowledged = count_witnesses(&self.active, |witness| {
                let answer = self.answers.get(&witness);
                answer.is_some_and(|answer| answer.acknowledged >= self.named.version)
            });
            let is_agreed = R::is_set_change_acknowledged(acknowledged, self.active.quorum());
            let is_ready =
                self.named.members.is_empty() || !self.remaining_under(&self.named, now).is_zero();
            if !is_agreed || !is_ready {
                return;
            }
        }
        let previous = std::mem::replace(&mut self.active, self.named.clone());
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

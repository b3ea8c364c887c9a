//! The lease under which a holder serves its ranges.

use std::time::Duration;

use super::map::RangeVoter;
use crate::base::ids::Incarnation;
use crate::base::ids::Offset;

/// How long a voter keeps a promise, from receipt of the renewal. Long enough
/// for a few lost datagrams and a process that stands still for some tenths of
/// a second; as short as that allows, since a lost owner's keys wait for it.
pub const VOTER_LEASE: Duration = Duration::from_millis(1_600);

/// How long a holder relies on a promise, from sending the renewal: a little
/// less than the voter keeps it, for clocks that run at different speeds.
pub const HOLDER_LEASE: Duration = Duration::from_millis(1_500);

/// Time between two renewals: a quarter of the lease.
pub const RENEW_INTERVAL: Duration = Duration::from_millis(350);

/// A holder without a quorum for so long names other voters.
const REVOTE_AFTER: Duration = Duration::from_millis(500);

/// How many voters a holder has, if there are so many other members.
pub const VOTER_COUNT: usize = 3;

#[derive(Debug, Clone, PartialEq, Eq)]
struct VoterPromise {
    voter: Incarnation,
    /// When the renewal was sent that the voter answered last.
    sent: Option<Duration>,
    refused: bool,
}

/// A holder's own view of its lease. Times are readings of a clock that also
/// counts while the VM is suspended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HolderLease {
    term: Offset,
    since: Duration,
    promises: Vec<VoterPromise>,
    /// Promises of later renewals do not count: a change of voters may have
    /// taken effect unnoticed.
    frozen_at: Option<Duration>,
}

impl HolderLease {
    /// Starts a lease under the voters that the map named at `term`.
    pub fn new(term: Offset, voters: &[RangeVoter], now: Duration) -> Self {
        let promises = voters.iter().map(|voter| VoterPromise {
            voter: voter.incarnation,
            sent: None,
            refused: false,
        });
        Self {
            term,
            since: now,
            promises: promises.collect(),
            frozen_at: None,
        }
    }

    /// Returns the term that renewals name.
    pub fn term(&self) -> Offset {
        self.term
    }

    /// Returns the voters.
    pub fn voters(&self) -> impl Iterator<Item = Incarnation> {
        self.promises.iter().map(|promise| promise.voter)
    }

    /// Takes a voter's promise for the renewal that was sent at `sent`.
    pub fn record_promise(&mut self, voter: Incarnation, term: Offset, sent: Duration) {
        if term != self.term || self.frozen_at.is_some_and(|frozen| sent > frozen) {
            return;
        }
        if let Some(promise) = self.promise_mut(voter) {
            promise.sent = promise.sent.max(Some(sent));
        }
    }

    /// Takes a voter's refusal, which is for good under this term.
    pub fn record_refusal(&mut self, voter: Incarnation, term: Offset) {
        if term == self.term
            && let Some(promise) = self.promise_mut(voter)
        {
            promise.refused = true;
        }
    }

    /// From now on a change of voters may take effect at any moment, so what
    /// the present voters promise later counts no more.
    pub fn freeze(&mut self, now: Duration) {
        self.frozen_at.get_or_insert(now);
    }

    /// The change of voters did not take effect and never will.
    pub fn unfreeze(&mut self) {
        self.frozen_at = None;
    }

    /// Returns until when the process may serve; none without a quorum.
    pub fn valid_until(&self) -> Option<Duration> {
        let mut sent: Vec<Duration> = self.promises.iter().filter_map(|vote| vote.sent).collect();
        sent.sort_unstable_by(|left, right| right.cmp(left));
        let last_of_quorum = *sent.get(self.quorum().checked_sub(1)?)?;
        Some(last_of_quorum + HOLDER_LEASE)
    }

    /// Tells whether other voters are to be named: the present ones have
    /// refused, or too few of them have answered for some time.
    pub fn needs_new_voters(&self, now: Duration) -> bool {
        let refused = self.promises.iter().filter(|vote| vote.refused).count();
        let lost_quorum = self.promises.len() - refused < self.quorum().max(1);
        let renewed = self
            .valid_until()
            .map_or(self.since, |until| until.saturating_sub(HOLDER_LEASE));
        lost_quorum || now.saturating_sub(renewed.max(self.since)) > REVOTE_AFTER
    }

    fn quorum(&self) -> usize {
        quorum_of(self.promises.len())
    }

    fn promise_mut(&mut self, voter: Incarnation) -> Option<&mut VoterPromise> {
        self.promises
            .iter_mut()
            .find(|promise| promise.voter == voter)
    }
}

/// Returns how many of `voters` have to agree.
pub fn quorum_of(voters: usize) -> usize {
    if voters == 0 { 0 } else { voters / 2 + 1 }
}

/// Chooses voters: live members, spread over failure domains, in an order that
/// `score` gives, so that the load is spread too.
pub fn choose_voters<'a>(
    candidates: impl Iterator<Item = (RangeVoter, &'a str)>,
    score: impl Fn(Incarnation) -> u64,
) -> Vec<RangeVoter> {
    let mut sorted: Vec<(RangeVoter, &str)> = candidates.collect();
    sorted.sort_unstable_by_key(|(candidate, _domain)| score(candidate.incarnation));
    let mut chosen: Vec<(RangeVoter, &str)> = Vec::new();
    while chosen.len() < VOTER_COUNT && !sorted.is_empty() {
        let uses = |domain: &str| chosen.iter().filter(|(_, used)| *used == domain).count();
        let next = (0..sorted.len())
            .min_by_key(|index| uses(sorted[*index].1))
            .unwrap_or(0);
        chosen.push(sorted.remove(next));
    }
    chosen.into_iter().map(|(voter, _domain)| voter).collect()
}

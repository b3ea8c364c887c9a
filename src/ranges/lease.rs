//! The lease under which a holder serves its ranges, granted by a quorum of
//! voters.

use std::time::Duration;

use super::map::RangeVoter;
use crate::base::ids::Incarnation;
use crate::base::ids::Offset;

/// How long a voter keeps a promise, counted from the receipt of the renewal. It
/// tolerates a few lost datagrams and a process that pauses for some tenths of a
/// second, and is no longer than that because the keys of a failed owner are
/// unavailable until it expires.
pub const VOTER_LEASE: Duration = Duration::from_millis(1_600);

/// How long a holder relies on a promise, counted from the sending of the
/// renewal. Shorter than [`VOTER_LEASE`] to allow for clocks that run at
/// different rates.
pub const HOLDER_LEASE: Duration = Duration::from_millis(1_500);

/// Time between two renewals, about a quarter of the lease.
pub const RENEW_INTERVAL: Duration = Duration::from_millis(350);

/// A holder that has had no quorum for this long names other voters.
const QUORUM_LOSS_TIMEOUT: Duration = Duration::from_millis(500);

/// How much longer a voter's promise lasts than a holder relies on it, as a
/// fraction of the latter. Covers clocks that run at different rates.
const VOTER_MARGIN_DIVISOR: u32 = 15;

/// How long holders rely on a voter's promise, and how long voters keep it. All
/// processes of a fleet use the same times.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LeaseTimes {
    /// How long a holder relies on a promise, counted from the sending of the
    /// renewal.
    pub holder: Duration,
    /// How long a voter keeps a promise, counted from the receipt of the renewal.
    pub voter: Duration,
}

impl LeaseTimes {
    /// Returns the times of a lease on which a holder relies for `holder`.
    pub fn of_holder(holder: Duration) -> Self {
        Self {
            holder,
            voter: holder + holder / VOTER_MARGIN_DIVISOR,
        }
    }
}

impl Default for LeaseTimes {
    fn default() -> Self {
        Self {
            holder: HOLDER_LEASE,
            voter: VOTER_LEASE,
        }
    }
}

/// Number of voters of a holder; fewer if the fleet has fewer other members.
pub const VOTER_COUNT: usize = 3;

#[derive(Debug, Clone, PartialEq, Eq)]
struct VoterPromise {
    voter: Incarnation,
    /// When the newest renewal that the voter promised was sent.
    sent: Option<Duration>,
    refused: bool,
}

/// A holder's own view of its lease. Times are readings of a clock that also
/// advances while the VM is suspended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HolderLease {
    term: Offset,
    times: LeaseTimes,
    /// When the holder learned of the term.
    started: Duration,
    promises: Vec<VoterPromise>,
    /// Promises for renewals sent after this time do not count, since a change
    /// of voters may have taken effect without the holder knowing.
    frozen_at: Option<Duration>,
}

impl HolderLease {
    /// Creates the lease of a term, with the voters that the map names for it.
    /// It is not valid until a quorum has promised.
    pub fn new(term: Offset, voters: &[RangeVoter], now: Duration) -> Self {
        let promises = voters.iter().map(|voter| VoterPromise {
            voter: voter.incarnation,
            sent: None,
            refused: false,
        });
        Self {
            term,
            times: LeaseTimes::default(),
            started: now,
            promises: promises.collect(),
            frozen_at: None,
        }
    }

    /// Replaces the lease's times.
    #[must_use]
    pub fn with_times(self, times: LeaseTimes) -> Self {
        Self { times, ..self }
    }

    /// Returns the term of the lease, which every renewal carries.
    pub fn term(&self) -> Offset {
        self.term
    }

    /// Returns the voters of this term.
    pub fn voters(&self) -> impl Iterator<Item = Incarnation> {
        self.promises.iter().map(|promise| promise.voter)
    }

    /// Records a voter's promise for the renewal that was sent at `sent`. Promises
    /// of another term, of a process that is no voter, or for a renewal sent after
    /// [`freeze`](Self::freeze) are ignored.
    pub fn record_promise(&mut self, voter: Incarnation, term: Offset, sent: Duration) {
        if term != self.term || self.frozen_at.is_some_and(|frozen| sent > frozen) {
            return;
        }
        if let Some(promise) = self.promise_mut(voter) {
            promise.sent = promise.sent.max(Some(sent));
        }
    }

    /// Records a voter's refusal, which is final for this term.
    pub fn record_refusal(&mut self, voter: Incarnation, term: Offset) {
        if term == self.term
            && let Some(promise) = self.promise_mut(voter)
        {
            promise.refused = true;
        }
    }

    /// Stops counting promises for renewals sent after `now`. Called before a
    /// change of voters is written: it may take effect at any time from then on,
    /// and promises of the former voters are worth nothing after it.
    pub fn freeze(&mut self, now: Duration) {
        self.frozen_at.get_or_insert(now);
    }

    /// Counts promises again. Called once the change of voters is known to have
    /// had no effect and can have none later.
    pub fn unfreeze(&mut self) {
        self.frozen_at = None;
    }

    /// Returns when the lease expires; `None` if no quorum has promised yet.
    pub fn valid_until(&self) -> Option<Duration> {
        let mut sent: Vec<Duration> = self.promises.iter().filter_map(|vote| vote.sent).collect();
        sent.sort_unstable_by(|left, right| right.cmp(left));
        let last_of_quorum = *sent.get(self.quorum().checked_sub(1)?)?;
        Some(last_of_quorum + self.times.holder)
    }

    /// Returns whether the holder should name other voters, because so many have
    /// refused that a quorum is impossible or because no quorum has promised for
    /// some time.
    pub fn needs_new_voters(&self, now: Duration) -> bool {
        let refused = self.promises.iter().filter(|vote| vote.refused).count();
        let lost_quorum = self.promises.len() - refused < self.quorum().max(1);
        let renewed = self.valid_until().map_or(self.started, |until| {
            until.saturating_sub(self.times.holder)
        });
        lost_quorum || now.saturating_sub(renewed.max(self.started)) > QUORUM_LOSS_TIMEOUT
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

/// Returns the size of a majority of `voters`; 0 if there are no voters.
pub fn quorum_of(voters: usize) -> usize {
    if voters == 0 { 0 } else { voters / 2 + 1 }
}

/// Chooses up to [`VOTER_COUNT`] voters among live members, spread over failure
/// domains. Members with the lowest `score` come first; a score that differs by
/// holder spreads the load of voting over the fleet.
pub fn choose_voters<'a>(
    candidates: impl Iterator<Item = (RangeVoter, &'a str)>,
    score: impl Fn(Incarnation) -> u64,
) -> Vec<RangeVoter> {
    let mut sorted: Vec<(RangeVoter, &str)> = candidates.collect();
    sorted.sort_by_cached_key(|(candidate, _domain)| score(candidate.incarnation));
    let mut chosen: Vec<(RangeVoter, &str)> = Vec::new();
    while chosen.len() < VOTER_COUNT && !sorted.is_empty() {
        let in_domain = |domain: &str| chosen.iter().filter(|(_, used)| *used == domain).count();
        let next = (0..sorted.len())
            .min_by_key(|index| in_domain(sorted[*index].1))
            .unwrap_or(0);
        chosen.push(sorted.remove(next));
    }
    chosen.into_iter().map(|(voter, _domain)| voter).collect()
}

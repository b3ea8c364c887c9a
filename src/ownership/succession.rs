//! Determines which chains a process may serve, without clocks or I/O.
//!
//! The holder of a position may serve while its lease is live and, for every
//! earlier position, the position has been resigned or its holder has ended.
//! Certificates and resignations take effect as soon as they are known, before
//! they are in the log.
//!
//! An upstream that does not check fencing tokens may still be running a
//! request that it received from a lost predecessor. A takeover from such a
//! predecessor also waits for the longest time that a request may run.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::hash::Hash;
use std::hash::Hasher;
use std::sync::Arc;
use std::time::Duration;

use crate::base::collections::FastMap;
use crate::base::ids::Epoch;
use crate::base::ids::Incarnation;
use crate::base::ids::ServiceName;
use crate::state::folded::ChainEntry;
use crate::state::folded::FoldedState;
use crate::state::folded::HolderChain;
use crate::state::folded::MemberState;
use crate::state::record::ChainKey;

/// Why a process became entitled to serve a chain.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum TenureCause {
    /// The position is the chain's first.
    First,
    /// The predecessor resigned.
    Resignation,
    /// A certificate proves that the predecessor's lease lapsed.
    Certificate,
    /// The log records that the predecessor ended, or has trimmed its position.
    Log,
}

/// A chain that a process may serve while its lease is live.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct ChainTenure {
    /// The epoch under which the chain is served.
    pub epoch: Epoch,
    /// When the tenure began, on the process's monotonic clock.
    pub since: Duration,
    /// Why the tenure began.
    pub cause: TenureCause,
}

/// A change in the chains that a process may serve.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum TenureChange {
    /// The process may serve the chain from now on.
    Started(ChainKey, ChainTenure),
    /// The process may no longer serve the chain under the given epoch.
    Stopped(ChainKey, Epoch),
}

/// What is known in addition to the newest folded state.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
struct LocalKnowledge {
    certified: BTreeSet<Incarnation>,
    /// Resigned positions, with their holders.
    resigned: BTreeMap<(ChainKey, Epoch), Incarnation>,
    /// For each lost member, the time at which its last request has finished.
    requests_done_at: BTreeMap<Incarnation, Duration>,
    /// The same for each chain, for lost holders of positions that the fold has
    /// trimmed.
    trimmed_requests_done_at: BTreeMap<ChainKey, Duration>,
    has_state: bool,
}

/// Tracks the chains that a process may serve.
#[derive(Debug, Clone)]
pub struct ChainSuccession {
    holder: Incarnation,
    state: Arc<FoldedState>,
    knowledge: LocalKnowledge,
    held: Vec<ChainKey>,
    serving: BTreeMap<ChainKey, ChainTenure>,
    next_check: Option<Duration>,
}

impl ChainSuccession {
    /// Creates the succession of a process that has not read the log.
    pub fn new(holder: Incarnation) -> Self {
        Self {
            holder,
            state: Arc::default(),
            knowledge: LocalKnowledge::default(),
            held: Vec::new(),
            serving: BTreeMap::new(),
            next_check: None,
        }
    }

    /// Returns the chains that the process may serve while its lease is live.
    pub fn serving(&self) -> &BTreeMap<ChainKey, ChainTenure> {
        &self.serving
    }

    /// Returns the newest folded state that was applied.
    pub fn state(&self) -> &Arc<FoldedState> {
        &self.state
    }

    /// Returns the members whose lapse is certified but whose end is not in the
    /// folded state yet.
    pub fn certified(&self) -> &BTreeSet<Incarnation> {
        &self.knowledge.certified
    }

    /// Returns the positions whose resignation is known but not in the folded
    /// state yet.
    pub fn resigned(&self) -> Vec<(ChainKey, Epoch)> {
        self.resigned_by(|_| true)
    }

    /// Returns this process's positions among [`Self::resigned`].
    pub fn own_resignations(&self) -> Vec<(ChainKey, Epoch)> {
        self.resigned_by(|holder| holder == self.holder)
    }

    fn resigned_by(&self, matches: impl Fn(Incarnation) -> bool) -> Vec<(ChainKey, Epoch)> {
        let resigned = self.knowledge.resigned.iter();
        resigned
            .filter(|(position, holder)| matches(**holder) && self.holds(**holder, position))
            .map(|(position, _)| position.clone())
            .collect()
    }

    fn holds(&self, holder: Incarnation, position: &(ChainKey, Epoch)) -> bool {
        let chain = self.state.chains.get(&position.0);
        let entry = chain.and_then(|chain| entry_at(chain, position.1));
        entry.is_some_and(|entry| entry.holder == holder)
    }

    /// Applies a newer folded state; an older one is ignored.
    pub fn apply_state(&mut self, state: Arc<FoldedState>, now: Duration) -> Vec<TenureChange> {
        if state.next < self.state.next {
            return Vec::new();
        }
        let holder = self.holder;
        let holds = |chain: &HolderChain| chain.entries.iter().any(|entry| entry.holder == holder);
        self.held = state
            .chains
            .iter()
            .filter(|(_, chain)| holds(chain))
            .map(|(key, _)| key.clone())
            .collect();
        self.record_ended_members(&state, now);
        self.record_trimmed_positions(&state, now);
        self.prune(&state, now);
        self.state = state;
        self.recompute(now)
    }

    /// Records that a member's lapse is certified. One of an unknown member is
    /// ignored.
    pub fn mark_certified(&mut self, subject: Incarnation, now: Duration) -> Vec<TenureChange> {
        let Some(member) = self.state.members.get(&subject) else {
            return Vec::new();
        };
        if !self.knowledge.certified.insert(subject) {
            return Vec::new();
        }
        let requests_done_at = now + max_request_time(member);
        self.knowledge
            .requests_done_at
            .entry(subject)
            .or_insert(requests_done_at);
        self.recompute(now)
    }

    /// Records that a holder resigned positions. Positions of unknown chains,
    /// trimmed positions and positions of other holders are ignored.
    pub fn mark_resigned(
        &mut self,
        holder: Incarnation,
        positions: Vec<(ChainKey, Epoch)>,
        now: Duration,
    ) -> Vec<TenureChange> {
        for (key, epoch) in positions {
            let Some(chain) = self.state.chains.get(&key) else {
                continue;
            };
            let is_trimmed = epoch < chain.first_epoch;
            let is_held_by_other =
                entry_at(chain, epoch).is_some_and(|entry| entry.holder != holder);
            if !is_trimmed && !is_held_by_other {
                self.knowledge.resigned.insert((key, epoch), holder);
            }
        }
        self.recompute(now)
    }

    /// Completes takeovers that were waiting for a predecessor's requests.
    pub fn tick(&mut self, now: Duration) -> Vec<TenureChange> {
        match self.next_check {
            Some(due) if due <= now => self.recompute(now),
            _ => Vec::new(),
        }
    }

    /// Gives up all chains, because the incarnation has ended.
    pub fn end(&mut self) -> Vec<TenureChange> {
        self.held.clear();
        let serving = std::mem::take(&mut self.serving);
        serving
            .into_iter()
            .map(|(key, tenure)| TenureChange::Stopped(key, tenure.epoch))
            .collect()
    }

    /// Records for members that ended in the log when their last request has
    /// finished.
    fn record_ended_members(&mut self, state: &FoldedState, now: Duration) {
        for (incarnation, member) in &self.state.members {
            if !state.members.contains_key(incarnation) {
                let requests_done_at = now + max_request_time(member);
                let known = self.knowledge.requests_done_at.entry(*incarnation);
                known.or_insert(requests_done_at);
            }
        }
    }

    /// Records for chains with trimmed positions when the last request of their
    /// lost holders has finished.
    ///
    /// If the previous folded state does not show these holders, as when a
    /// process applies its first one, any of them may have been lost just now,
    /// so the full request time counts from now.
    fn record_trimmed_positions(&mut self, state: &FoldedState, now: Duration) {
        let is_first_state = !self.knowledge.has_state;
        self.knowledge.has_state = true;
        if !is_first_state && state.ended == self.state.ended {
            return;
        }
        let max_request_times = max_request_times(state, &self.state);
        for (key, chain) in &state.chains {
            let max_request_time = max_request_times
                .get(&key.service)
                .copied()
                .unwrap_or_default();
            let full_wait = now + max_request_time;
            let requests_done_at = match self.previous_chain(key) {
                Some(previous) if chain.first_epoch <= previous.next_epoch() => {
                    self.lost_requests_done_at(key, previous, chain.first_epoch)
                }
                _ => (chain.first_epoch > 0).then_some(full_wait),
            };
            if let Some(requests_done_at) =
                requests_done_at.filter(|requests_done_at| *requests_done_at > now)
            {
                let known = self.knowledge.trimmed_requests_done_at.entry(key.clone());
                let known = known.or_insert(requests_done_at);
                *known = requests_done_at.max(*known);
            }
        }
    }

    /// Returns the chain in the previous folded state; for a new chain of a
    /// single key, the chain of the key's slice.
    fn previous_chain(&self, key: &ChainKey) -> Option<&HolderChain> {
        let chains = &self.state.chains;
        chains.get(key).or_else(|| {
            let slice = self.state.slice_chain(key)?;
            chains.get(&slice)
        })
    }

    /// Returns the time at which the last request of any lost holder before
    /// epoch `end` has finished; `None` if no such holder is known.
    fn lost_requests_done_at(
        &self,
        key: &ChainKey,
        chain: &HolderChain,
        end: Epoch,
    ) -> Option<Duration> {
        let earlier = (chain.first_epoch..end).zip(&chain.entries);
        earlier
            .filter(|(epoch, entry)| !self.has_resigned(key, *epoch, entry))
            .filter_map(|(_, entry)| self.knowledge.requests_done_at.get(&entry.holder).copied())
            .max()
    }

    fn prune(&mut self, state: &FoldedState, now: Duration) {
        let knowledge = &mut self.knowledge;
        knowledge
            .certified
            .retain(|subject| state.members.contains_key(subject));
        knowledge
            .requests_done_at
            .retain(|subject, requests_done_at| {
                *requests_done_at > now || state.members.contains_key(subject)
            });
        knowledge
            .trimmed_requests_done_at
            .retain(|key, requests_done_at| {
                *requests_done_at > now && state.chains.contains_key(key)
            });
        knowledge.resigned.retain(|(key, epoch), _| {
            state.chains.get(key).is_some_and(|chain| {
                let entry = entry_at(chain, *epoch);
                *epoch >= chain.first_epoch && entry.is_none_or(|entry| !entry.resigned)
            })
        });
    }

    /// Recomputes the served chains and returns the changes.
    fn recompute(&mut self, now: Duration) -> Vec<TenureChange> {
        let mut changes = Vec::new();
        let mut serving = BTreeMap::new();
        self.next_check = None;
        for key in &self.held {
            let Some((epoch, cause)) = self.position(key) else {
                continue;
            };
            let requests_done_at = self.requests_done_at(key, epoch);
            if requests_done_at > now {
                let next_check = self.next_check.get_or_insert(requests_done_at);
                *next_check = requests_done_at.min(*next_check);
                continue;
            }
            let known = self.serving.get(key).filter(|tenure| tenure.epoch == epoch);
            let tenure = known.copied().unwrap_or(ChainTenure {
                epoch,
                since: now,
                cause,
            });
            if known.is_none() {
                changes.push(TenureChange::Started(key.clone(), tenure));
            }
            serving.insert(key.clone(), tenure);
        }
        for (key, tenure) in &self.serving {
            let is_kept = serving
                .get(key)
                .is_some_and(|new| new.epoch == tenure.epoch);
            if !is_kept {
                changes.push(TenureChange::Stopped(key.clone(), tenure.epoch));
            }
        }
        self.serving = serving;
        changes
    }

    /// Returns this process's position if every earlier position has been
    /// resigned or its holder has ended, with the cause of the last vacancy.
    fn position(&self, key: &ChainKey) -> Option<(Epoch, TenureCause)> {
        let chain = self.state.chains.get(key)?;
        let mut cause = if chain.first_epoch == 0 {
            TenureCause::First
        } else {
            TenureCause::Log
        };
        for (epoch, entry) in (chain.first_epoch..).zip(&chain.entries) {
            if self.has_resigned(key, epoch, entry) {
                cause = TenureCause::Resignation;
            } else if self.knowledge.certified.contains(&entry.holder) {
                cause = TenureCause::Certificate;
            } else if !self.state.members.contains_key(&entry.holder) {
                cause = TenureCause::Log;
            } else {
                return (entry.holder == self.holder).then_some((epoch, cause));
            }
        }
        None
    }

    /// Returns the time at which the last request of any lost predecessor has
    /// finished; zero if there is none to wait for.
    fn requests_done_at(&self, key: &ChainKey, epoch: Epoch) -> Duration {
        let trimmed = &self.knowledge.trimmed_requests_done_at;
        let slice = self.state.slice_chain(key);
        let in_slice = slice.and_then(|slice| trimmed.get(&slice).copied());
        let in_chain = trimmed.get(key).copied();
        let lost = self.lost_requests_done_at(key, &self.state.chains[key], epoch);
        let latest = in_slice.max(in_chain).max(lost);
        latest.unwrap_or(Duration::ZERO)
    }

    fn has_resigned(&self, key: &ChainKey, epoch: Epoch, entry: &ChainEntry) -> bool {
        let position = (key.clone(), epoch);
        entry.resigned || self.knowledge.resigned.get(&position) == Some(&entry.holder)
    }
}

fn entry_at(chain: &HolderChain, epoch: Epoch) -> Option<&ChainEntry> {
    let index = epoch.checked_sub(chain.first_epoch)?;
    chain.entries.get(usize::try_from(index).ok()?)
}

/// Returns how long a request of a member may still run after the member is
/// lost. Zero if its upstream checks fencing tokens, as it then rejects the
/// request.
fn max_request_time(member: &MemberState) -> Duration {
    let upstream = &member.info.upstream;
    if upstream.checks_fence {
        Duration::ZERO
    } else {
        upstream.max_request_duration
    }
}

/// Returns, for each service, the longest request time of any member of two
/// folded states.
fn max_request_times(left: &FoldedState, right: &FoldedState) -> FastMap<ServiceName, Duration> {
    let mut max_request_times = FastMap::default();
    for member in left.members.values().chain(right.members.values()) {
        let service = member.info.upstream.service.clone();
        let known: &mut Duration = max_request_times.entry(service).or_default();
        *known = max_request_time(member).max(*known);
    }
    max_request_times
}

/// Hashes what determines future steps. The folded state is hashed by its
/// offset, as equal offsets mean equal states.
impl Hash for ChainSuccession {
    fn hash<H: Hasher>(&self, state: &mut H) {
        self.holder.hash(state);
        self.state.next.hash(state);
        self.knowledge.hash(state);
        self.held.hash(state);
        self.serving.hash(state);
        self.next_check.hash(state);
    }
}

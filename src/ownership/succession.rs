//! Which chains a process may serve, as a pure state machine.
//!
//! The one rule: a position may serve while its holder's lease is live and
//! every earlier position has resigned or its holder has ended. What is known
//! beyond the log, certificates and resignations, counts at once.
//!
//! An upstream that does not check fences may still run an order that a lost
//! predecessor gave it, so a takeover from such a predecessor also waits for
//! the longest time that an order may run.

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

/// How a process came to serve a chain.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum TenureCause {
    /// Nobody served the chain before.
    First,
    /// The predecessor resigned.
    Resignation,
    /// A certificate proves that the predecessor's lease ended.
    Certificate,
    /// The log says that the predecessor ended.
    Log,
}

/// A chain that a process may serve while its lease is live.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct ChainTenure {
    /// The epoch.
    pub epoch: Epoch,
    /// Since when, by the process's monotonic clock.
    pub since: Duration,
    /// How it began.
    pub cause: TenureCause,
}

/// A change of what a process may serve.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum TenureChange {
    /// The chain may be served from now on.
    Started(ChainKey, ChainTenure),
    /// The chain may not be served any more.
    Stopped(ChainKey, Epoch),
}

/// What is known beyond the log about other holders and about the past.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
struct LocalKnowledge {
    certified: BTreeSet<Incarnation>,
    resigned: BTreeMap<(ChainKey, Epoch), Incarnation>,
    quiet_from: BTreeMap<Incarnation, Duration>,
    trimmed_quiet_from: BTreeMap<ChainKey, Duration>,
    has_view: bool,
}

/// Which chains a process may serve.
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
    /// Creates the succession of a process that knows an empty log.
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

    /// Returns the chains that may be served while the lease is live.
    pub fn serving(&self) -> &BTreeMap<ChainKey, ChainTenure> {
        &self.serving
    }

    /// Returns the folded state that was last taken in.
    pub fn state(&self) -> &Arc<FoldedState> {
        &self.state
    }

    /// Returns who is certified but still a member in the folded state.
    pub fn certified(&self) -> &BTreeSet<Incarnation> {
        &self.knowledge.certified
    }

    /// Returns the positions that their holders resigned but the folded state
    /// does not show yet.
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

    /// Takes in a newer folded state. An older one is ignored.
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
        self.note_vanished(&state, now);
        self.note_trimmed(&state, now);
        self.prune(&state, now);
        self.state = state;
        self.review(now)
    }

    /// Takes in that a member's lapse is certified.
    pub fn mark_certified(&mut self, subject: Incarnation, now: Duration) -> Vec<TenureChange> {
        let Some(member) = self.state.members.get(&subject) else {
            return Vec::new();
        };
        if !self.knowledge.certified.insert(subject) {
            return Vec::new();
        }
        let quiet_from = now + order_time(member);
        self.knowledge
            .quiet_from
            .entry(subject)
            .or_insert(quiet_from);
        self.review(now)
    }

    /// Takes in that a holder resigned positions.
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
            let is_passed = epoch < chain.base;
            let names_another = entry_at(chain, epoch).is_some_and(|entry| entry.holder != holder);
            if !is_passed && !names_another {
                self.knowledge.resigned.insert((key, epoch), holder);
            }
        }
        self.review(now)
    }

    /// Looks again at takeovers that wait, when one is due.
    pub fn tick(&mut self, now: Duration) -> Vec<TenureChange> {
        match self.next_check {
            Some(due) if due <= now => self.review(now),
            _ => Vec::new(),
        }
    }

    /// Gives up everything: the process has ended.
    pub fn end(&mut self) -> Vec<TenureChange> {
        self.held.clear();
        let serving = std::mem::take(&mut self.serving);
        serving
            .into_iter()
            .map(|(key, tenure)| TenureChange::Stopped(key, tenure.epoch))
            .collect()
    }

    /// Remembers when members that ended in the log can have no order running.
    fn note_vanished(&mut self, state: &FoldedState, now: Duration) {
        for (incarnation, member) in &self.state.members {
            if !state.members.contains_key(incarnation) {
                let quiet_from = now + order_time(member);
                let known = self.knowledge.quiet_from.entry(*incarnation);
                known.or_insert(quiet_from);
            }
        }
    }

    /// Remembers what the positions that the fold trimmed leave to wait for.
    ///
    /// In the first view every trimmed position may have been lost just now.
    fn note_trimmed(&mut self, state: &FoldedState, now: Duration) {
        let is_first_view = !self.knowledge.has_view;
        self.knowledge.has_view = true;
        if !is_first_view && state.ended == self.state.ended {
            return;
        }
        let order_times = order_times(state, &self.state);
        for (key, chain) in &state.chains {
            let order_time = order_times.get(&key.service).copied().unwrap_or_default();
            let unseen = now + order_time;
            let quiet_from = match self.former_chain(key) {
                Some(former) if chain.base <= former.tail() => {
                    self.lost_quiet_from(key, former, chain.base)
                }
                _ => (chain.base > 0).then_some(unseen),
            };
            if let Some(quiet_from) = quiet_from.filter(|quiet_from| *quiet_from > now) {
                let known = self.knowledge.trimmed_quiet_from.entry(key.clone());
                let known = known.or_insert(quiet_from);
                *known = quiet_from.max(*known);
            }
        }
    }

    /// Returns the chain in the former view; for a new chain of a single key,
    /// that of the key's slice.
    fn former_chain(&self, key: &ChainKey) -> Option<&HolderChain> {
        let chains = &self.state.chains;
        chains.get(key).or_else(|| {
            let slice = self.state.slice_chain(key)?;
            chains.get(&slice)
        })
    }

    /// Returns from when on no order can run that a lost holder below `end`
    /// gave its upstream.
    fn lost_quiet_from(&self, key: &ChainKey, chain: &HolderChain, end: Epoch) -> Option<Duration> {
        let earlier = (chain.base..end).zip(&chain.entries);
        earlier
            .filter(|(epoch, entry)| !self.has_resigned(key, *epoch, entry))
            .filter_map(|(_, entry)| self.knowledge.quiet_from.get(&entry.holder).copied())
            .max()
    }

    fn prune(&mut self, state: &FoldedState, now: Duration) {
        let knowledge = &mut self.knowledge;
        knowledge
            .certified
            .retain(|subject| state.members.contains_key(subject));
        knowledge
            .quiet_from
            .retain(|subject, quiet_from| *quiet_from > now || state.members.contains_key(subject));
        knowledge
            .trimmed_quiet_from
            .retain(|key, quiet_from| *quiet_from > now && state.chains.contains_key(key));
        knowledge.resigned.retain(|(key, epoch), _| {
            state.chains.get(key).is_some_and(|chain| {
                let entry = entry_at(chain, *epoch);
                *epoch >= chain.base && entry.is_none_or(|entry| !entry.resigned)
            })
        });
    }

    /// Works out anew what may be served.
    fn review(&mut self, now: Duration) -> Vec<TenureChange> {
        let mut changes = Vec::new();
        let mut serving = BTreeMap::new();
        self.next_check = None;
        for key in &self.held {
            let Some((epoch, cause)) = self.position(key) else {
                continue;
            };
            let quiet_from = self.quiet_from(key, epoch);
            if quiet_from > now {
                let next_check = self.next_check.get_or_insert(quiet_from);
                *next_check = quiet_from.min(*next_check);
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

    /// Returns this process's first position that every earlier one has made
    /// way for.
    fn position(&self, key: &ChainKey) -> Option<(Epoch, TenureCause)> {
        let chain = self.state.chains.get(key)?;
        let mut cause = if chain.base == 0 {
            TenureCause::First
        } else {
            TenureCause::Log
        };
        for (epoch, entry) in (chain.base..).zip(&chain.entries) {
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

    /// Returns from when on no predecessor's order can run any more.
    fn quiet_from(&self, key: &ChainKey, epoch: Epoch) -> Duration {
        let trimmed = &self.knowledge.trimmed_quiet_from;
        let slice = self.state.slice_chain(key);
        let in_slice = slice.and_then(|slice| trimmed.get(&slice).copied());
        let in_chain = trimmed.get(key).copied();
        let lost = self.lost_quiet_from(key, &self.state.chains[key], epoch);
        let latest = in_slice.max(in_chain).max(lost);
        latest.unwrap_or(Duration::ZERO)
    }

    fn has_resigned(&self, key: &ChainKey, epoch: Epoch, entry: &ChainEntry) -> bool {
        let position = (key.clone(), epoch);
        entry.resigned || self.knowledge.resigned.get(&position) == Some(&entry.holder)
    }
}

fn entry_at(chain: &HolderChain, epoch: Epoch) -> Option<&ChainEntry> {
    let index = epoch.checked_sub(chain.base)?;
    chain.entries.get(usize::try_from(index).ok()?)
}

/// Returns how long an order of a lost member may still run.
fn order_time(member: &MemberState) -> Duration {
    let upstream = &member.info.upstream;
    if upstream.checks_fence {
        Duration::ZERO
    } else {
        upstream.longest_order
    }
}

/// Returns, for each service, how long an order of any member of two views may
/// still run once the member is lost.
fn order_times(left: &FoldedState, right: &FoldedState) -> FastMap<ServiceName, Duration> {
    let mut order_times = FastMap::default();
    for member in left.members.values().chain(right.members.values()) {
        let service = member.info.upstream.service.clone();
        let known: &mut Duration = order_times.entry(service).or_default();
        *known = order_time(member).max(*known);
    }
    order_times
}

/// The folded state counts by its offset: equal offsets are equal states.
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

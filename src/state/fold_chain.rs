//! Fold rules for holder chains.
//!
//! A key's chain starts as a copy of its slice's chain, so every process that
//! may still serve the key as part of the slice precedes the appended holders.
//! For the same reason the key's chain is dropped only when the slice's serving
//! holder is the only one left in it.

use super::effect::FoldEffect;
use super::effect::IgnoreReason;
use super::fold::BatchFold;
use super::fold::RuleResult;
use super::folded::ChainEntry;
use super::folded::FoldedState;
use super::folded::HolderChain;
use super::record::ChainAppend;
use super::record::ChainKey;
use super::record::ChainSubject;
use super::record::MemberInfo;
use crate::base::collections::FastSet;
use crate::base::hash::slice_of;
use crate::base::ids::Epoch;
use crate::base::ids::Incarnation;
use crate::base::ids::KeyHash;
use crate::base::ids::ServiceName;
use crate::base::ids::Term;
use crate::declarations::Declaration;
use crate::declarations::ObjectKey;
use crate::declarations::ObjectKind;
use crate::declarations::ServiceDeclaration;

impl FoldedState {
    /// Returns whether a position is vacated: its holder has resigned it or has
    /// ended. A vacated position never serves again.
    pub fn is_vacated(&self, entry: &ChainEntry) -> bool {
        entry.resigned || !self.members.contains_key(&entry.holder)
    }

    /// Returns the positions that may still serve, in order: those neither
    /// vacated nor held by one of `ended`, members known to have ended although
    /// the folded log does not say so yet.
    pub fn active_positions(
        &self,
        chain: &HolderChain,
        ended: &FastSet<Incarnation>,
    ) -> impl Iterator<Item = (Epoch, Incarnation)> {
        (chain.first_epoch..)
            .zip(&chain.entries)
            .filter(|(_, entry)| !self.is_vacated(entry) && !ended.contains(&entry.holder))
            .map(|(epoch, entry)| (epoch, entry.holder))
    }

    /// Returns the first position that is not vacated, which may serve while
    /// its holder's lease is live. None if all are vacated.
    pub fn serving_position(&self, chain: &HolderChain) -> Option<(Epoch, Incarnation)> {
        (chain.first_epoch..)
            .zip(&chain.entries)
            .find(|(_, entry)| !self.is_vacated(entry))
            .map(|(epoch, entry)| (epoch, entry.holder))
    }

    /// Returns the position that serves the chain once a planned move has
    /// finished: the first one at or after [`HolderChain::target_epoch`] that is not
    /// vacated, or else the serving one.
    pub fn planned_position(&self, chain: &HolderChain) -> Option<(Epoch, Incarnation)> {
        (chain.first_epoch..)
            .zip(&chain.entries)
            .find(|(epoch, entry)| *epoch >= chain.target_epoch && !self.is_vacated(entry))
            .map(|(epoch, entry)| (epoch, entry.holder))
            .or_else(|| self.serving_position(chain))
    }

    /// Returns a service's declaration; none if the service is not declared or
    /// was deleted.
    pub fn service_declaration(&self, service: &str) -> Option<&ServiceDeclaration> {
        let object = ObjectKey {
            kind: ObjectKind::Service,
            name: service.into(),
        };
        match self.objects.get(&object)?.declaration.as_ref()? {
            Declaration::Service(service) => Some(service),
            Declaration::PriorityClass(_) | Declaration::OwnershipRule(_) => None,
        }
    }

    /// Returns a service's number of slices; none if the service is not declared
    /// or the number is not a power of two.
    pub fn slices_of(&self, service: &str) -> Option<u16> {
        let slices = self.service_declaration(service)?.slices;
        slices.is_power_of_two().then_some(slices)
    }

    /// Returns the epoch that the next holder appended to a chain gets; none
    /// if the chain cannot exist.
    ///
    /// The first append to a key without its own chain continues the epochs of
    /// the slice's chain.
    pub fn next_epoch_of(&self, chain: &ChainKey) -> Option<Epoch> {
        self.chain_or_initial(chain).map(|chain| chain.next_epoch())
    }

    /// Returns the chain of the slice that contains a key, or the chain itself
    /// for a slice. None if the service is not declared, the slice is out of
    /// range or the subject is [`ChainSubject::Any`].
    pub fn slice_chain(&self, chain: &ChainKey) -> Option<ChainKey> {
        let slices = self.slices_of(&chain.service)?;
        let slice = match chain.subject {
            ChainSubject::Slice(slice) if slice < slices => slice,
            ChainSubject::Slice(_) | ChainSubject::Any => return None,
            ChainSubject::Key(key) => slice_of(key, slices),
        };
        Some(ChainKey {
            service: chain.service.clone(),
            subject: ChainSubject::Slice(slice),
        })
    }

    /// Returns the chain that assigns a key: its own if it has one, else its
    /// slice's. None if the service is not declared.
    pub fn chain_of_key(&self, service: &ServiceName, key: KeyHash) -> Option<ChainKey> {
        let single = ChainKey {
            service: service.clone(),
            subject: ChainSubject::Key(key),
        };
        if self.chains.contains_key(&single) {
            Some(single)
        } else {
            self.slice_chain(&single)
        }
    }

    /// Returns the chain, or its initial value before the first append: for a key
    /// a copy of its slice's chain, for a slice an empty one.
    fn chain_or_initial(&self, key: &ChainKey) -> Option<HolderChain> {
        if let Some(chain) = self.chains.get(key) {
            return Some(chain.clone());
        }
        let slice = self.slice_chain(key)?;
        match key.subject {
            ChainSubject::Key(_) => self.chains.get(&slice).cloned(),
            ChainSubject::Slice(_) | ChainSubject::Any => Some(HolderChain::default()),
        }
    }

    /// Drops vacated positions from the front of every chain whose first holder
    /// is in `ended`. Between batches, a chain's first position is never vacated.
    pub(super) fn trim_chains(&mut self, ended: &[Incarnation]) {
        let Self {
            members, chains, ..
        } = self;
        let served = chains.values_mut().filter(|chain| {
            let first = chain.entries.first();
            first.is_some_and(|entry| ended.contains(&entry.holder))
        });
        for chain in served {
            trim_chain(chain, |holder| members.contains_key(&holder));
        }
    }
}

fn trim_chain(chain: &mut HolderChain, is_live: impl Fn(Incarnation) -> bool) {
    let vacated = chain
        .entries
        .iter()
        .take_while(|entry| entry.resigned || !is_live(entry.holder))
        .count();
    chain.entries.drain(..vacated);
    chain.first_epoch += vacated as Epoch;
}

impl BatchFold<'_> {
    pub(super) fn assign(&mut self, term: Term, appends: &[ChainAppend]) -> RuleResult {
        self.check_planner(term)?;
        fold_each(appends, |append| self.append(append))
    }

    fn append(&mut self, append: &ChainAppend) -> Result<(), IgnoreReason> {
        let mut chain = self
            .state
            .chain_or_initial(&append.chain)
            .ok_or(IgnoreReason::UnknownChain)?;
        if append.first_epoch != chain.next_epoch() {
            return Err(IgnoreReason::StaleTail);
        }
        if append.holders.is_empty()
            || !append.holders.iter().all(|it| self.is_eligible_holder(*it))
        {
            return Err(IgnoreReason::Ineligible);
        }
        let entries = append.holders.iter().map(|holder| ChainEntry {
            holder: *holder,
            resigned: false,
        });
        if append.supersedes {
            chain.target_epoch = append.first_epoch;
        }
        chain.entries.extend(entries);
        let members = &self.state.members;
        trim_chain(&mut chain, |holder| members.contains_key(&holder));
        self.state.chains.insert(append.chain.clone(), chain);
        Ok(())
    }

    /// Returns the chains that the older incarnations were serving or were to
    /// serve after a planned move, for the new incarnation to reclaim.
    ///
    /// They are reclaimed by the join itself, so that a restarted node gets its
    /// chains back without a planner, and a fleet that lost power as a whole
    /// keeps its assignment. The successors serve until the new incarnation is
    /// ready.
    pub(super) fn reclaimable_chains(
        &self,
        older: &[Incarnation],
        info: &MemberInfo,
    ) -> Vec<ChainKey> {
        if older.is_empty() {
            return Vec::new();
        }
        let chains = self.state.chains.iter();
        chains
            .filter(|(key, _chain)| key.service == info.upstream.service)
            .filter(|(_key, chain)| {
                let planned = self.state.planned_position(chain);
                planned.is_some_and(|(_epoch, holder)| older.contains(&holder))
            })
            .map(|(key, _chain)| key.clone())
            .collect()
    }

    /// Appends the new incarnation to the chains that it reclaims, as a planned
    /// move.
    pub(super) fn reclaim_chains(&mut self, chains: &[ChainKey], holder: Incarnation) {
        for key in chains {
            if let Some(chain) = self.state.chains.get_mut(key) {
                chain.target_epoch = chain.next_epoch();
                chain.entries.push(ChainEntry {
                    holder,
                    resigned: false,
                });
            }
        }
    }

    fn is_eligible_holder(&self, holder: Incarnation) -> bool {
        self.state
            .members
            .get(&holder)
            .is_some_and(|member| !member.draining)
    }

    pub(super) fn resign(&mut self, positions: &[(ChainKey, Epoch)]) -> RuleResult {
        fold_each(positions, |(chain, epoch)| {
            self.resign_position(chain, *epoch)
        })
    }

    fn resign_position(&mut self, key: &ChainKey, epoch: Epoch) -> Result<(), IgnoreReason> {
        let chain = self
            .state
            .chains
            .get_mut(key)
            .ok_or(IgnoreReason::UnknownChain)?;
        let index = epoch
            .checked_sub(chain.first_epoch)
            .ok_or(IgnoreReason::NotHolder)?;
        let author = self.author;
        let entry = usize::try_from(index)
            .ok()
            .and_then(|index| chain.entries.get_mut(index))
            .filter(|entry| entry.holder == author)
            .ok_or(IgnoreReason::NotHolder)?;
        entry.resigned = true;
        let members = &self.state.members;
        trim_chain(chain, |holder| members.contains_key(&holder));
        Ok(())
    }

    pub(super) fn merge(&mut self, term: Term, chains: &[ChainKey]) -> RuleResult {
        self.check_planner(term)?;
        fold_each(chains, |chain| self.merge_chain(chain))
    }

    fn merge_chain(&mut self, key: &ChainKey) -> Result<(), IgnoreReason> {
        if !matches!(key.subject, ChainSubject::Key(_)) {
            return Err(IgnoreReason::UnknownChain);
        }
        let chain = self
            .state
            .chains
            .get(key)
            .ok_or(IgnoreReason::UnknownChain)?;
        let slice = self
            .state
            .slice_chain(key)
            .and_then(|slice| self.state.chains.get(&slice))
            .ok_or(IgnoreReason::UnknownChain)?;
        if !self.is_mergeable(chain, slice) {
            return Err(IgnoreReason::NotMergeable);
        }
        self.state.chains.remove(key);
        Ok(())
    }

    /// Returns whether the slice's serving holder is the only one left in the
    /// key's chain, and none of the key's epochs would decrease.
    fn is_mergeable(&self, key: &HolderChain, slice: &HolderChain) -> bool {
        let left = key
            .entries
            .iter()
            .filter(|entry| !self.state.is_vacated(entry))
            .count();
        let (Some(in_key), Some(in_slice)) = (
            self.state.serving_position(key),
            self.state.serving_position(slice),
        ) else {
            return false;
        };
        let keeps_epochs = in_key.0 <= in_slice.0 && key.next_epoch() <= slice.next_epoch();
        left == 1 && in_key.1 == in_slice.1 && keeps_epochs
    }
}

/// Folds each item of a record independently and combines the results.
fn fold_each<T>(items: &[T], mut fold: impl FnMut(&T) -> Result<(), IgnoreReason>) -> RuleResult {
    let mut taken = 0;
    let mut first = None;
    for item in items {
        match fold(item) {
            Ok(()) => taken += 1,
            Err(reason) => first = first.or(Some(reason)),
        }
    }
    match first {
        None => Ok(FoldEffect::Accepted),
        Some(reason) if taken == 0 => Err(reason),
        Some(reason) => Ok(FoldEffect::Partial { taken, reason }),
    }
}

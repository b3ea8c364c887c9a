//! The fold's rules on chains.
//!
//! A key's chain starts as a copy of its slice's chain, so every process that
//! may still serve the key as part of the slice stands in the key's chain
//! before the appended holders. For the same reason it is dropped only when
//! nobody but the slice's serving holder is left in it.

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
    /// Tells whether a position has been passed for good: its holder resigned
    /// it or ended.
    pub fn is_passed(&self, entry: &ChainEntry) -> bool {
        entry.resigned || !self.members.contains_key(&entry.holder)
    }

    /// Returns the positions that may still serve, in order: neither passed nor
    /// held by one of `ended`, members known to have ended beyond the fold.
    pub fn active_positions(
        &self,
        chain: &HolderChain,
        ended: &FastSet<Incarnation>,
    ) -> impl Iterator<Item = (Epoch, Incarnation)> {
        (chain.base..)
            .zip(&chain.entries)
            .filter(|(_, entry)| !self.is_passed(entry) && !ended.contains(&entry.holder))
            .map(|(epoch, entry)| (epoch, entry.holder))
    }

    /// Returns the first position that has not been passed, which may serve
    /// while its holder's lease is live.
    pub fn serving(&self, chain: &HolderChain) -> Option<(Epoch, Incarnation)> {
        (chain.base..)
            .zip(&chain.entries)
            .find(|(_, entry)| !self.is_passed(entry))
            .map(|(epoch, entry)| (epoch, entry.holder))
    }

    /// Returns who is to serve a chain once a planned move has ended: the first
    /// position at or after the target that has not been passed, or the
    /// serving one.
    pub fn intended(&self, chain: &HolderChain) -> Option<(Epoch, Incarnation)> {
        (chain.base..)
            .zip(&chain.entries)
            .find(|(epoch, entry)| *epoch >= chain.target && !self.is_passed(entry))
            .map(|(epoch, entry)| (epoch, entry.holder))
            .or_else(|| self.serving(chain))
    }

    /// Returns a service's declaration.
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

    /// Returns the number of slices of a declared service; none unless it is a
    /// power of two.
    pub fn slices_of(&self, service: &str) -> Option<u16> {
        let slices = self.service_declaration(service)?.slices;
        slices.is_power_of_two().then_some(slices)
    }

    /// Returns the epoch that the next holder appended to a chain gets; none
    /// if the chain cannot exist.
    ///
    /// A key without a chain of its own continues its slice's epochs.
    pub fn tail_of(&self, chain: &ChainKey) -> Option<Epoch> {
        self.chain_or_origin(chain).map(|chain| chain.tail())
    }

    /// Returns the chain of the slice that a chain's key lies in, or the chain
    /// itself for a slice.
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

    /// Returns the chain that a key belongs to; none if its service is not
    /// declared.
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

    /// Returns the chain, or what it starts from before its first append.
    fn chain_or_origin(&self, key: &ChainKey) -> Option<HolderChain> {
        if let Some(chain) = self.chains.get(key) {
            return Some(chain.clone());
        }
        let slice = self.slice_chain(key)?;
        match key.subject {
            ChainSubject::Key(_) => self.chains.get(&slice).cloned(),
            ChainSubject::Slice(_) | ChainSubject::Any => Some(HolderChain::default()),
        }
    }

    /// Drops passed positions from the front of every chain that `ended`
    /// served. A chain's first position is never passed between batches.
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
    let passed = chain
        .entries
        .iter()
        .take_while(|entry| entry.resigned || !is_live(entry.holder))
        .count();
    chain.entries.drain(..passed);
    chain.base += passed as Epoch;
}

impl BatchFold<'_> {
    pub(super) fn assign(&mut self, term: Term, appends: &[ChainAppend]) -> RuleResult {
        self.check_planner(term)?;
        each_chain(appends, |append| self.append(append))
    }

    fn append(&mut self, append: &ChainAppend) -> Result<(), IgnoreReason> {
        let mut chain = self
            .state
            .chain_or_origin(&append.chain)
            .ok_or(IgnoreReason::UnknownChain)?;
        if append.at != chain.tail() {
            return Err(IgnoreReason::StaleTail);
        }
        if append.holders.is_empty() || !append.holders.iter().all(|it| self.may_hold(*it)) {
            return Err(IgnoreReason::Ineligible);
        }
        let entries = append.holders.iter().map(|holder| ChainEntry {
            holder: *holder,
            resigned: false,
        });
        if append.supersedes {
            chain.target = append.at;
        }
        chain.entries.extend(entries);
        let members = &self.state.members;
        trim_chain(&mut chain, |holder| members.contains_key(&holder));
        self.state.chains.insert(append.chain.clone(), chain);
        Ok(())
    }

    /// Returns the chains that a node's earlier incarnations were to serve,
    /// for its new one to claim.
    ///
    /// The claim is part of the join, so that a restarted node gets its chains
    /// back without a planner, and a fleet that lost power together keeps its
    /// assignment. The successors serve until the new incarnation is ready.
    pub(super) fn chains_to_claim(
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
                let intended = self.state.intended(chain);
                intended.is_some_and(|(_epoch, holder)| older.contains(&holder))
            })
            .map(|(key, _chain)| key.clone())
            .collect()
    }

    /// Appends the new incarnation to the chains that it claims, as a planned
    /// move.
    pub(super) fn claim_back(&mut self, claims: &[ChainKey], holder: Incarnation) {
        for key in claims {
            if let Some(chain) = self.state.chains.get_mut(key) {
                chain.target = chain.tail();
                chain.entries.push(ChainEntry {
                    holder,
                    resigned: false,
                });
            }
        }
    }

    fn may_hold(&self, holder: Incarnation) -> bool {
        self.state
            .members
            .get(&holder)
            .is_some_and(|member| !member.draining)
    }

    pub(super) fn resign(&mut self, positions: &[(ChainKey, Epoch)]) -> RuleResult {
        each_chain(positions, |(chain, epoch)| self.resign_one(chain, *epoch))
    }

    fn resign_one(&mut self, key: &ChainKey, epoch: Epoch) -> Result<(), IgnoreReason> {
        let chain = self
            .state
            .chains
            .get_mut(key)
            .ok_or(IgnoreReason::UnknownChain)?;
        let index = epoch
            .checked_sub(chain.base)
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
        each_chain(chains, |chain| self.merge_one(chain))
    }

    fn merge_one(&mut self, key: &ChainKey) -> Result<(), IgnoreReason> {
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

    /// Tells whether the slice's serving holder is the only one left in the
    /// key's chain, and none of the key's epochs would go down.
    fn is_mergeable(&self, key: &HolderChain, slice: &HolderChain) -> bool {
        let left = key
            .entries
            .iter()
            .filter(|entry| !self.state.is_passed(entry))
            .count();
        let (Some(in_key), Some(in_slice)) = (self.state.serving(key), self.state.serving(slice))
        else {
            return false;
        };
        let keeps_epochs = in_key.0 <= in_slice.0 && key.tail() <= slice.tail();
        left == 1 && in_key.1 == in_slice.1 && keeps_epochs
    }
}

/// Folds each chain of a record by itself and sums up.
fn each_chain<T>(items: &[T], mut fold: impl FnMut(&T) -> Result<(), IgnoreReason>) -> RuleResult {
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

//! Fold rules for operators' changes.
//!
//! The first change in log order that is based on the current version wins.
//! A deleted object keeps its version, so a change based on a version before
//! the deletion never recreates the object.

use super::effect::FoldEffect;
use super::effect::IgnoreReason;
use super::fold::BatchFold;
use super::fold::RuleResult;
use super::folded::ChangeVerdict;
use super::folded::FoldedState;
use super::folded::ObjectState;
use super::record::ChainKey;
use super::record::ChainSubject;
use super::record::ChangeRecord;
use crate::base::ids::SliceIndex;
use crate::base::ids::Version;
use crate::declarations::Declaration;

/// Number of verdicts that the state keeps; the oldest are dropped first.
pub const MAX_VERDICTS: usize = 1024;

impl FoldedState {
    /// Returns the verdict on a change; none if it is unknown or no longer among
    /// the last [`MAX_VERDICTS`].
    pub fn verdict_of(&self, change: &str) -> Option<&ChangeVerdict> {
        self.verdicts
            .iter()
            .rev()
            .find(|(id, _)| **id == *change)
            .map(|(_, verdict)| verdict)
    }

    /// Returns the verdict that a change would get if it were the next one
    /// folded, without changing the state.
    pub fn judge_change(&self, record: &ChangeRecord) -> ChangeVerdict {
        let current = self.objects.get(&record.object);
        let version = current.map_or(0, |object| object.version);
        match current {
            Some(object) if object.change == record.change => ChangeVerdict::Accepted(version),
            _ if record.base_version == version => ChangeVerdict::Accepted(version + 1),
            current => ChangeVerdict::Conflict {
                version,
                change: current.map_or_else(Box::default, |object| object.change.clone()),
                operator: current.map_or_else(Box::default, |object| object.operator.clone()),
            },
        }
    }

    /// Returns whether a declaration would map keys to other slices, or change
    /// who may serve them, while the service has chains. Processes that have not
    /// read such a declaration yet would serve the same keys as those that have.
    pub fn remaps_owned_keys(&self, declaration: &Declaration) -> bool {
        let Declaration::Service(service) = declaration else {
            return false;
        };
        let mut owned = self.slice_indices(&service.name).peekable();
        if owned.peek().is_none() {
            return false;
        }
        let current = self.objects.get(&declaration.key());
        match current.and_then(|object| object.declaration.as_ref()) {
            Some(Declaration::Service(current)) => {
                current.slices != service.slices || current.division != service.division
            }
            // The service was deleted but still has chains.
            _ => usize::from(service.slices) != owned.count(),
        }
    }

    /// Returns the indices of a service's slices that have chains.
    fn slice_indices(&self, service: &str) -> impl Iterator<Item = SliceIndex> {
        let first = ChainKey {
            service: service.into(),
            subject: ChainSubject::Slice(0),
        };
        let last = ChainKey {
            service: service.into(),
            subject: ChainSubject::Slice(SliceIndex::MAX),
        };
        self.chains
            .range(first..=last)
            .filter_map(|(key, _)| match key.subject {
                ChainSubject::Slice(slice) => Some(slice),
                ChainSubject::Key(_) | ChainSubject::Any => None,
            })
    }

    /// Returns whether `version` is already the object's current version, as when
    /// the change was folded before and its verdict has been dropped.
    fn is_current_version(&self, record: &ChangeRecord, version: Version) -> bool {
        let current = self.objects.get(&record.object);
        current.is_some_and(|object| object.version == version)
    }

    fn record_verdict(&mut self, change: &str, verdict: ChangeVerdict) {
        if self.verdicts.len() >= MAX_VERDICTS {
            self.verdicts.remove(0);
        }
        self.verdicts.push((change.into(), verdict));
    }

    /// Records that an operator declared an incarnation lost. The verdict has
    /// version 0, because no declared object changes.
    pub(super) fn record_declared_lost(&mut self, change: &str) {
        self.record_verdict(change, ChangeVerdict::Accepted(0));
    }
}

impl BatchFold<'_> {
    pub(super) fn change(&mut self, record: &ChangeRecord) -> RuleResult {
        if let Some(verdict) = self.state.verdict_of(&record.change) {
            return Ok(FoldEffect::Change(verdict.clone()));
        }
        let declared = record.declaration.as_ref();
        if declared.is_some_and(|declaration| declaration.key() != record.object) {
            return Err(IgnoreReason::WrongObject);
        }
        if declared.is_some_and(|declaration| self.state.remaps_owned_keys(declaration)) {
            return Err(IgnoreReason::KeysOwned);
        }
        let verdict = self.state.judge_change(record);
        if let ChangeVerdict::Accepted(version) = verdict
            && !self.state.is_current_version(record, version)
        {
            let object = ObjectState {
                version,
                change: record.change.clone(),
                operator: record.operator.clone(),
                declaration: record.declaration.clone(),
            };
            self.state.objects.insert(record.object.clone(), object);
        }
        self.state.record_verdict(&record.change, verdict.clone());
        Ok(FoldEffect::Change(verdict))
    }
}

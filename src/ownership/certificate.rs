//! From witnesses' statements to lapse certificates, as a pure state machine.
//!
//! A holder's lease rests on one witness set at a time, and moves to a newer
//! one once a quorum of the former acknowledged it. So a lapse is proven
//! either when a quorum of the set that the lease was last known to rest on
//! has stated it without acknowledging a newer set, or when a quorum of that
//! set and of every newer set has stated it.

use std::collections::BTreeMap;
use std::marker::PhantomData;

use super::rules::LeaseRules;
use crate::base::ids::Incarnation;
use crate::base::ids::Version;
use crate::state::folded::FoldedState;
use crate::state::folded::WitnessSet;
use crate::state::record::LapseCertificate;

/// The first version that names witnesses.
const FIRST_VERSION: Version = 1;

/// How many witness sets are remembered of one member.
const SETS_KEPT: usize = 8;

/// How many statements are remembered about one member.
const STATEMENTS_KEPT: usize = 32;

/// What a witness stated about a lapsed lease.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct LapseStatement {
    /// The newest witness set that the witness acknowledged to the holder.
    pub acknowledged: Version,
    /// The newest witness set on which the lease was known to rest.
    pub active: Version,
}

#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
struct SubjectRecord {
    sets: BTreeMap<Version, WitnessSet>,
    statements: BTreeMap<Incarnation, LapseStatement>,
}

impl SubjectRecord {
    fn remember_set(&mut self, set: &WitnessSet) {
        if set.version == 0 || self.sets.contains_key(&set.version) {
            return;
        }
        self.sets.insert(set.version, set.clone());
        if self.sets.len() > SETS_KEPT {
            self.sets.pop_first();
        }
    }

    fn stated(
        &self,
        set: &WitnessSet,
        matches: impl Fn(&LapseStatement) -> bool,
    ) -> Vec<Incarnation> {
        let members = set.members.iter().copied();
        members
            .filter(|witness| self.statements.get(witness).is_some_and(&matches))
            .collect()
    }
}

/// Collects statements about every member.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
pub struct LapseCollector<R> {
    subjects: BTreeMap<Incarnation, SubjectRecord>,
    rules: PhantomData<R>,
}

impl<R: LeaseRules> LapseCollector<R> {
    /// Takes in the members' witness sets.
    pub fn apply_state(&mut self, state: &FoldedState) {
        self.subjects
            .retain(|subject, _| state.members.contains_key(subject));
        for (subject, member) in &state.members {
            let record = self.subjects.entry(*subject).or_default();
            record.remember_set(&member.previous_witnesses);
            record.remember_set(&member.witnesses);
        }
    }

    /// Takes in a statement about a member. One about anybody else is ignored:
    /// it comes again.
    pub fn record(&mut self, witness: Incarnation, subject: Incarnation, said: LapseStatement) {
        let Some(record) = self.subjects.get_mut(&subject) else {
            return;
        };
        if record.statements.len() < STATEMENTS_KEPT {
            record.statements.insert(witness, said);
        }
    }

    /// Returns the members about whom anything was stated.
    pub fn suspects(&self) -> Vec<Incarnation> {
        let subjects = self.subjects.iter();
        subjects
            .filter(|(_, record)| !record.statements.is_empty())
            .map(|(subject, _)| *subject)
            .collect()
    }

    /// Returns the certificate of a member's lapse, if it is proven.
    pub fn certify(&self, subject: Incarnation) -> Option<LapseCertificate> {
        let record = self.subjects.get(&subject)?;
        let known = record.statements.values().map(|said| said.active).max()?;
        let newest = *record.sets.keys().next_back()?;
        let oldest = if R::checks_former_sets() {
            known.max(FIRST_VERSION)
        } else {
            newest
        };
        if oldest > newest {
            return None;
        }
        let certificate = |set_version, witnesses| LapseCertificate {
            subject,
            set_version,
            witnesses,
        };
        if let Some(witnesses) = Self::proven_under_all(record, oldest, newest) {
            return Some(certificate(newest, witnesses));
        }
        let witnesses = Self::proven_unmoved(record, oldest)?;
        Some(certificate(oldest, witnesses))
    }

    /// Returns who proves that the lease is live under no set from `oldest` to
    /// `newest`, and cannot move beyond.
    fn proven_under_all(
        record: &SubjectRecord,
        oldest: Version,
        newest: Version,
    ) -> Option<Vec<Incarnation>> {
        for version in oldest..newest {
            let set = record.sets.get(&version)?;
            let witnesses = record.stated(set, |_| true);
            if !R::is_lapse_proven(witnesses.len(), set.quorum()) {
                return None;
            }
        }
        Self::proven_unmoved(record, newest)
    }

    /// Returns who proves that the lease is not live under a set and cannot
    /// move to a newer one.
    fn proven_unmoved(record: &SubjectRecord, version: Version) -> Option<Vec<Incarnation>> {
        let set = record.sets.get(&version)?;
        let witnesses = record.stated(set, |said| said.acknowledged <= version);
        R::is_lapse_proven(witnesses.len(), set.quorum()).then_some(witnesses)
    }
}

//! Combines witness statements into lapse certificates, without clocks or I/O.
//!
//! A holder has one active witness set at a time. A newer set becomes active
//! once a quorum of the active one has acknowledged it. A lapse is therefore
//! proven in either of two cases:
//!
//! * a quorum of the last set known to be active has stated the lapse without
//!   acknowledging a newer set, or
//! * a quorum of that set and a quorum of every newer set have stated it.

use std::collections::BTreeMap;
use std::marker::PhantomData;

use super::rules::LeaseRules;
use crate::base::ids::Incarnation;
use crate::base::ids::Version;
use crate::state::folded::FoldedState;
use crate::state::folded::WitnessSet;
use crate::state::record::LapseCertificate;

/// Version of a member's first witness set; version 0 is the empty default.
const FIRST_VERSION: Version = 1;

/// Witness sets kept per member; the oldest is dropped first. A lapse under a
/// dropped set cannot be proven.
const MAX_SETS_PER_MEMBER: usize = 8;

/// Lapse statements kept per member. This bounds what datagrams can make a
/// process store.
const MAX_STATEMENTS_PER_MEMBER: usize = 32;

/// A witness's statement about a lapsed lease.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct LapseStatement {
    /// Version of the newest witness set that the witness acknowledged to the
    /// holder; 0 if none.
    pub acknowledged: Version,
    /// Version of the newest witness set that the witness knew to be active; 0
    /// if none.
    pub active: Version,
}

#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
struct SubjectRecord {
    sets: BTreeMap<Version, WitnessSet>,
    statements: BTreeMap<Incarnation, LapseStatement>,
}

impl SubjectRecord {
    fn insert_set(&mut self, set: &WitnessSet) {
        if set.version == 0 || self.sets.contains_key(&set.version) {
            return;
        }
        self.sets.insert(set.version, set.clone());
        if self.sets.len() > MAX_SETS_PER_MEMBER {
            self.sets.pop_first();
        }
    }

    fn stating_members(
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

/// Collects lapse statements about every member and derives certificates.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
pub struct LapseCollector<R> {
    subjects: BTreeMap<Incarnation, SubjectRecord>,
    rules: PhantomData<R>,
}

impl<R: LeaseRules> LapseCollector<R> {
    /// Adds the witness sets of a newer folded state, and drops what is known
    /// about members that have ended.
    pub fn apply_state(&mut self, state: &FoldedState) {
        self.subjects
            .retain(|subject, _| state.members.contains_key(subject));
        for (subject, member) in &state.members {
            let record = self.subjects.entry(*subject).or_default();
            record.insert_set(&member.previous_witnesses);
            record.insert_set(&member.witnesses);
        }
    }

    /// Records a witness's statement about a member.
    ///
    /// A statement about a process that is not a known member is ignored. The
    /// witness sends it again.
    pub fn record(
        &mut self,
        witness: Incarnation,
        subject: Incarnation,
        statement: LapseStatement,
    ) {
        let Some(record) = self.subjects.get_mut(&subject) else {
            return;
        };
        if record.statements.len() < MAX_STATEMENTS_PER_MEMBER {
            record.statements.insert(witness, statement);
        }
    }

    /// Returns the members with at least one recorded statement.
    pub fn suspects(&self) -> Vec<Incarnation> {
        let subjects = self.subjects.iter();
        subjects
            .filter(|(_, record)| !record.statements.is_empty())
            .map(|(subject, _)| *subject)
            .collect()
    }

    /// Returns a certificate of a member's lapse; `None` while the statements
    /// do not prove it.
    pub fn certify(&self, subject: Incarnation) -> Option<LapseCertificate> {
        let record = self.subjects.get(&subject)?;
        let last_active = record
            .statements
            .values()
            .map(|statement| statement.active)
            .max()?;
        let newest = *record.sets.keys().next_back()?;
        let oldest = if R::checks_former_sets() {
            last_active.max(FIRST_VERSION)
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
        if let Some(witnesses) = Self::prove_lapse_in_range(record, oldest, newest) {
            return Some(certificate(newest, witnesses));
        }
        let witnesses = Self::prove_lapse_under(record, oldest)?;
        Some(certificate(oldest, witnesses))
    }

    /// Returns the members of the `newest` set that prove, together with
    /// quorums of every set from `oldest`, that the lease is live under none of
    /// these sets and cannot move to a newer one.
    fn prove_lapse_in_range(
        record: &SubjectRecord,
        oldest: Version,
        newest: Version,
    ) -> Option<Vec<Incarnation>> {
        for version in oldest..newest {
            let set = record.sets.get(&version)?;
            let witnesses = record.stating_members(set, |_| true);
            if !R::is_lapse_proven(witnesses.len(), set.quorum()) {
                return None;
            }
        }
        Self::prove_lapse_under(record, newest)
    }

    /// Returns the members of a set that prove that the lease is not live under
    /// it and cannot move to a newer one.
    fn prove_lapse_under(record: &SubjectRecord, version: Version) -> Option<Vec<Incarnation>> {
        let set = record.sets.get(&version)?;
        let witnesses = record.stating_members(set, |statement| statement.acknowledged <= version);
        R::is_lapse_proven(witnesses.len(), set.quorum()).then_some(witnesses)
    }
}

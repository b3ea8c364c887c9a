//! The deterministic rules that fold a batch of records into the state.
//!
//! Equal states that fold equal batches at equal offsets stay equal: the rules
//! use no clock, I/O or randomness. Every process ignores the same stale
//! records.

use super::effect::FoldEffect;
use super::effect::IgnoreReason;
use super::folded::FoldedState;
use super::folded::MemberState;
use super::folded::WitnessSet;
use super::record::EndProof;
use super::record::LapseCertificate;
use super::record::LogBatch;
use super::record::LogRecord;
use super::record::MemberInfo;
use super::record::SnapshotChunk;
use crate::base::ids::Incarnation;
use crate::base::ids::Offset;
use crate::base::ids::Sequence;
use crate::base::ids::Term;
use crate::base::ids::Version;

/// The effect of a record, or why it is ignored.
pub(super) type RuleResult = Result<FoldEffect, IgnoreReason>;

impl FoldedState {
    /// Folds the batch at `offset` and returns one effect for each record.
    ///
    /// A batch below [`FoldedState::next`] is ignored as a duplicate.
    pub fn apply(&mut self, offset: Offset, batch: &LogBatch) -> Vec<FoldEffect> {
        if offset < self.next {
            return ignore_all(batch, IgnoreReason::Duplicate);
        }
        self.next = offset + 1;
        if let Err(reason) = self.check_sequence(batch) {
            return ignore_all(batch, reason);
        }

        let mut fold = BatchFold {
            state: self,
            offset,
            author: batch.author,
            sequence: batch.sequence,
            ended: Vec::new(),
        };
        let effects = batch
            .records
            .iter()
            .map(|record| fold.fold_record(record))
            .collect();
        let ended = fold.ended;

        if let Some(member) = self.members.get_mut(&batch.author) {
            member.sequence = batch.sequence;
        }
        if !ended.is_empty() {
            self.trim_chains(&ended);
        }
        effects
    }

    /// Advances past the entry at `offset`, which cannot be decoded.
    pub fn skip(&mut self, offset: Offset) {
        self.next = self.next.max(offset + 1);
    }

    fn check_sequence(&self, batch: &LogBatch) -> Result<(), IgnoreReason> {
        match self.members.get(&batch.author) {
            Some(member) if batch.sequence <= member.sequence => Err(IgnoreReason::Duplicate),
            Some(_) => Ok(()),
            None if starts_with_join(batch) => Ok(()),
            None => Err(IgnoreReason::AuthorNotMember),
        }
    }
}

fn starts_with_join(batch: &LogBatch) -> bool {
    matches!(batch.records.first(), Some(LogRecord::Join(_)))
}

fn ignore_all(batch: &LogBatch, reason: IgnoreReason) -> Vec<FoldEffect> {
    vec![FoldEffect::Ignored(reason); batch.records.len()]
}

/// State and batch metadata that the rules share while one batch is folded.
pub(super) struct BatchFold<'a> {
    pub(super) state: &'a mut FoldedState,
    pub(super) offset: Offset,
    pub(super) author: Incarnation,
    pub(super) sequence: Sequence,
    /// Incarnations that this batch ended.
    ended: Vec<Incarnation>,
}

impl BatchFold<'_> {
    fn fold_record(&mut self, record: &LogRecord) -> FoldEffect {
        self.try_record(record).unwrap_or_else(FoldEffect::Ignored)
    }

    fn try_record(&mut self, record: &LogRecord) -> RuleResult {
        if let LogRecord::Join(info) = record {
            return self.join(info);
        }
        if !self.state.members.contains_key(&self.author) {
            return Err(IgnoreReason::AuthorNotMember);
        }
        match record {
            LogRecord::Join(info) => self.join(info),
            LogRecord::Drain { member } => self.drain(*member),
            LogRecord::Ended { member, proof } => self.ended(*member, proof),
            LogRecord::Claim { term } => self.claim(*term),
            LogRecord::Witnesses {
                term,
                member,
                version,
                witnesses,
            } => self.set_witnesses(*term, *member, *version, witnesses),
            LogRecord::Assign { term, appends } => self.assign(*term, appends),
            LogRecord::Resign { positions } => self.resign(positions),
            LogRecord::Merge { term, chains } => self.merge(*term, chains),
            LogRecord::Change(change) => self.change(change),
            LogRecord::Snapshot(chunk) => self.check_snapshot(chunk),
        }
    }

    fn join(&mut self, info: &MemberInfo) -> RuleResult {
        if info.incarnation != self.author {
            return Err(IgnoreReason::WrongAuthor);
        }
        if self.is_superseded(info) {
            self.end(info.incarnation);
        }
        if self.state.ended.contains(info.incarnation) {
            return Err(IgnoreReason::IncarnationEnded);
        }
        let older = self.superseded_by(info);
        let reclaimed = self.reclaimable_chains(&older, info);
        for older in older {
            self.end(older);
        }
        if let Some(member) = self.state.members.get_mut(&info.incarnation) {
            member.info = info.clone();
            return Ok(FoldEffect::Accepted);
        }
        let member = MemberState {
            info: info.clone(),
            witnesses: WitnessSet::default(),
            previous_witnesses: WitnessSet::default(),
            draining: false,
            joined_at: self.offset,
            sequence: self.sequence,
        };
        self.state.members.insert(info.incarnation, member);
        self.reclaim_chains(&reclaimed, info.incarnation);
        Ok(FoldEffect::Accepted)
    }

    /// Returns whether a newer incarnation uses the same peer address.
    fn is_superseded(&self, info: &MemberInfo) -> bool {
        self.state
            .members
            .range(info.incarnation + 1..)
            .any(|(_, member)| has_same_address(&member.info, info))
    }

    fn superseded_by(&self, info: &MemberInfo) -> Vec<Incarnation> {
        self.state
            .members
            .range(..info.incarnation)
            .filter(|(_, member)| has_same_address(&member.info, info))
            .map(|(incarnation, _)| *incarnation)
            .collect()
    }

    fn drain(&mut self, member: Incarnation) -> RuleResult {
        let member = self
            .state
            .members
            .get_mut(&member)
            .ok_or(IgnoreReason::UnknownMember)?;
        member.draining = true;
        Ok(FoldEffect::Accepted)
    }

    fn ended(&mut self, member: Incarnation, proof: &EndProof) -> RuleResult {
        if let EndProof::DeclaredLost { change, .. } = proof
            && let Some(verdict) = self.state.verdict_of(change)
        {
            return Ok(FoldEffect::Change(verdict.clone()));
        }
        let state = self
            .state
            .members
            .get(&member)
            .ok_or(IgnoreReason::UnknownMember)?;
        match proof {
            EndProof::Certificate(certificate) => check_certificate(member, state, certificate)?,
            EndProof::Left if member == self.author => {}
            EndProof::Left => return Err(IgnoreReason::WrongAuthor),
            EndProof::DeclaredLost { change, .. } => self.state.record_declared_lost(change),
        }
        self.end(member);
        Ok(FoldEffect::Accepted)
    }

    fn end(&mut self, member: Incarnation) {
        self.state.members.remove(&member);
        self.state.ended.insert(member);
        if self.state.planner == Some(member) {
            self.state.planner = None;
        }
        self.ended.push(member);
    }

    fn claim(&mut self, term: Term) -> RuleResult {
        if Some(term) != self.state.term.checked_add(1) {
            return Err(IgnoreReason::StaleTerm);
        }
        self.state.term = term;
        self.state.planner = Some(self.author);
        Ok(FoldEffect::Accepted)
    }

    /// Checks that `term` is current and the author holds it.
    pub(super) fn check_planner(&self, term: Term) -> Result<(), IgnoreReason> {
        if term == self.state.term && self.state.planner == Some(self.author) {
            Ok(())
        } else {
            Err(IgnoreReason::StaleTerm)
        }
    }

    fn set_witnesses(
        &mut self,
        term: Term,
        member: Incarnation,
        version: Version,
        witnesses: &[Incarnation],
    ) -> RuleResult {
        self.check_planner(term)?;
        let is_eligible =
            |witness: &Incarnation| *witness != member && self.state.members.contains_key(witness);
        if !witnesses.iter().all(is_eligible) || !is_distinct(witnesses) {
            return Err(IgnoreReason::Ineligible);
        }
        let member = self
            .state
            .members
            .get_mut(&member)
            .ok_or(IgnoreReason::UnknownMember)?;
        if Some(version) != member.witnesses.version.checked_add(1) {
            return Err(IgnoreReason::StaleVersion);
        }
        let witnesses = WitnessSet {
            version,
            members: witnesses.to_vec(),
        };
        member.previous_witnesses = std::mem::replace(&mut member.witnesses, witnesses);
        Ok(FoldEffect::Accepted)
    }

    /// Checks the author only: a snapshot does not change the state, and readers
    /// load or verify it outside the fold.
    fn check_snapshot(&self, chunk: &SnapshotChunk) -> RuleResult {
        self.check_planner(chunk.term)?;
        Ok(FoldEffect::Accepted)
    }
}

/// Returns whether the two cannot run at once: the newer one could bind the
/// peer address only after the older one had ended. An equal node name at
/// another address proves nothing.
fn has_same_address(left: &MemberInfo, right: &MemberInfo) -> bool {
    left.peer_address == right.peer_address
}

fn is_distinct(witnesses: &[Incarnation]) -> bool {
    witnesses
        .iter()
        .enumerate()
        .all(|(index, witness)| !witnesses[..index].contains(witness))
}

fn check_certificate(
    member: Incarnation,
    state: &MemberState,
    certificate: &LapseCertificate,
) -> Result<(), IgnoreReason> {
    if certificate.subject != member {
        return Err(IgnoreReason::UnknownMember);
    }
    let set = [&state.witnesses, &state.previous_witnesses]
        .into_iter()
        .find(|set| set.version == certificate.set_version)
        .ok_or(IgnoreReason::StaleVersion)?;
    let stated = set
        .members
        .iter()
        .filter(|witness| certificate.witnesses.contains(witness))
        .count();
    if stated < set.quorum() {
        return Err(IgnoreReason::NoQuorum);
    }
    Ok(())
}

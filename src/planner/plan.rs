//! Derives the log records that a planner appends from the folded state.

use std::collections::BTreeMap;

use super::balance::ChainOwnership;
use super::balance::balance;
use super::placement::PlacementCandidate;
use super::placement::chain_hash;
use super::placement::choose_successors;
use super::placement::placement_candidates;
use super::witnesses::witness_changes;
use crate::base::collections::FastSet;
use crate::base::ids::Epoch;
use crate::base::ids::Incarnation;
use crate::base::ids::Term;
use crate::declarations::ServiceDeclaration;
use crate::hotkeys::rebalance::KeyMove;
use crate::state::folded::FoldedState;
use crate::state::folded::HolderChain;
use crate::state::record::ChainAppend;
use crate::state::record::ChainKey;
use crate::state::record::ChainSubject;
use crate::state::record::LogRecord;

/// Number of successors of a chain, in addition to its owner.
pub const SUCCESSOR_COUNT: usize = 2;

/// Maximum number of single keys of a service that have a chain of their own.
const MAX_KEY_CHAINS: usize = 128;

/// Maximum number of chain appends in one log record.
const MAX_APPENDS_PER_RECORD: usize = 512;

/// Maximum number of chain appends in one batch, so that it fits a log entry.
const MAX_APPENDS_PER_BATCH: usize = 2048;

/// Inputs of [`plan`].
#[derive(Debug, Clone, Copy)]
pub struct PlanInputs<'a> {
    /// The newest folded state.
    pub state: &'a FoldedState,
    /// Incarnations known to have ended that are still members in the folded
    /// state.
    pub ended: &'a FastSet<Incarnation>,
    /// The planner's term.
    pub term: Term,
    /// Maximum number of planned moves in progress for each service.
    pub move_budget: usize,
    /// Keys to move out of their slices into chains of their own.
    pub hot_keys: &'a [KeyMove],
}

/// Returns the records that assign witnesses and holders where they are missing
/// and bring members closer to their bounds; empty if nothing has to change.
pub fn plan(inputs: PlanInputs<'_>) -> Vec<LogRecord> {
    let mut records = plan_witnesses(inputs);
    let mut appends = Vec::new();
    for service in inputs.state.services() {
        appends.extend(plan_service(inputs, service));
    }
    for part in appends.chunks(MAX_APPENDS_PER_RECORD) {
        records.push(LogRecord::Assign {
            term: inputs.term,
            appends: part.to_vec(),
        });
    }
    records
}

/// Splits a plan into batches that each fit a log entry, keeping the order of
/// the records.
pub fn split_plan(records: Vec<LogRecord>) -> Vec<Vec<LogRecord>> {
    let mut batches: Vec<Vec<LogRecord>> = Vec::new();
    let mut size = MAX_APPENDS_PER_BATCH;
    for record in records {
        let weight = match &record {
            LogRecord::Assign { appends, .. } => appends.len(),
            _ => 1,
        };
        size += weight;
        match batches.last_mut() {
            Some(batch) if size <= MAX_APPENDS_PER_BATCH => batch.push(record),
            _ => {
                size = weight;
                batches.push(vec![record]);
            }
        }
    }
    batches
}

fn plan_witnesses(inputs: PlanInputs<'_>) -> Vec<LogRecord> {
    let changes = witness_changes(inputs.state, inputs.ended);
    changes
        .into_iter()
        .map(|change| LogRecord::Witnesses {
            term: inputs.term,
            member: change.member,
            version: change.version,
            witnesses: change.witnesses,
        })
        .collect()
}

/// A chain with the data that planning needs.
struct PlannedChain<'a> {
    key: ChainKey,
    hash: u64,
    /// The chain in the folded state; `None` if it has no holders yet.
    chain: Option<&'a HolderChain>,
    /// Positions whose holders may still serve, in order.
    active: Vec<(Epoch, Incarnation)>,
}

impl<'a> PlannedChain<'a> {
    fn new(inputs: PlanInputs<'a>, key: ChainKey) -> Self {
        let chain = inputs.state.chains.get(&key);
        Self {
            hash: chain_hash(&key),
            active: chain
                .map(|chain| inputs.state.active_positions(chain, inputs.ended).collect())
                .unwrap_or_default(),
            key,
            chain,
        }
    }

    /// Returns the owner after the move in progress; the present owner if there
    /// is none.
    fn intended(&self) -> Option<(Epoch, Incarnation)> {
        let target = self.chain.map_or(0, |chain| chain.target_epoch);
        let moved = self.active.iter().find(|(epoch, _holder)| *epoch >= target);
        moved.or(self.active.first()).copied()
    }

    /// Returns whether a planned move is in progress.
    fn is_moving(&self) -> bool {
        let first = self.active.first().copied();
        first.is_some() && first != self.intended()
    }

    fn tail(&self) -> Epoch {
        self.chain.map_or(0, HolderChain::next_epoch)
    }

    fn append(&self, holders: Vec<Incarnation>, supersedes: bool) -> Option<ChainAppend> {
        (!holders.is_empty()).then(|| ChainAppend {
            chain: self.key.clone(),
            first_epoch: self.tail(),
            holders,
            supersedes,
        })
    }
}

fn plan_service(inputs: PlanInputs<'_>, service: &ServiceDeclaration) -> Vec<ChainAppend> {
    let candidates = placement_candidates(inputs.state, &service.name, inputs.ended);
    if candidates.is_empty() {
        return Vec::new();
    }
    let chains: Vec<PlannedChain<'_>> = chain_keys(inputs, service)
        .map(|key| PlannedChain::new(inputs, key))
        .collect();
    let owners = new_owners(&chains, &candidates, inputs.move_budget);
    let hot_keys = plan_hot_keys(inputs, service, &candidates);
    let appends = chains.iter().enumerate().filter_map(|(index, chain)| {
        let owner = owners.get(&index).copied();
        plan_chain(chain, owner, &candidates)
    });
    let is_hot = |append: &ChainAppend| hot_keys.iter().any(|hot| hot.chain == append.chain);
    let mut appends: Vec<ChainAppend> = appends.filter(|append| !is_hot(append)).collect();
    appends.extend(hot_keys);
    appends
}

/// Returns the appends that move hot keys out of their slices, as planned
/// moves.
fn plan_hot_keys(
    inputs: PlanInputs<'_>,
    service: &ServiceDeclaration,
    candidates: &[PlacementCandidate],
) -> Vec<ChainAppend> {
    let key_chains = chain_keys(inputs, service).count() - usize::from(service.slices);
    let room = MAX_KEY_CHAINS.saturating_sub(key_chains);
    let moves = inputs
        .hot_keys
        .iter()
        .filter(|hot| hot.key.service == service.name);
    moves
        .take(room)
        .filter_map(|hot| {
            let chain = ChainKey {
                service: service.name.clone(),
                subject: ChainSubject::Key(hot.key.key),
            };
            let mut holders = vec![hot.owner];
            holders.extend(choose_successors(
                chain_hash(&chain),
                candidates,
                &holders,
                SUCCESSOR_COUNT,
            ));
            Some(ChainAppend {
                first_epoch: inputs.state.next_epoch_of(&chain)?,
                chain,
                holders,
                supersedes: true,
            })
        })
        .collect()
}

fn chain_keys(
    inputs: PlanInputs<'_>,
    service: &ServiceDeclaration,
) -> impl Iterator<Item = ChainKey> {
    let name = service.name.clone();
    let slices = (0..service.slices).map(ChainSubject::Slice);
    let first_key = ChainKey {
        service: service.name.clone(),
        subject: ChainSubject::Key(0),
    };
    let keys = inputs
        .state
        .chains
        .range(first_key..)
        .map(|(key, _chain)| key)
        .take_while(|key| key.service == service.name)
        .map(|key| key.subject.clone());
    slices
        .chain(keys)
        .map(move |subject| ChainKey {
            service: name.clone(),
            subject,
        })
        .collect::<Vec<_>>()
        .into_iter()
}

/// Returns the chains that get a new owner, by index in `chains`.
fn new_owners(
    chains: &[PlannedChain<'_>],
    candidates: &[PlacementCandidate],
    move_budget: usize,
) -> BTreeMap<usize, Incarnation> {
    let moves_in_progress = chains.iter().filter(|chain| chain.is_moving()).count();
    let ownerships: Vec<ChainOwnership> = chains
        .iter()
        .map(|chain| ChainOwnership {
            hash: chain.hash,
            owner: chain.intended().map(|(_epoch, holder)| holder),
        })
        .collect();
    let changes = balance(
        &ownerships,
        candidates,
        move_budget.saturating_sub(moves_in_progress),
    );
    changes
        .into_iter()
        .map(|change| (change.chain, change.owner))
        .collect()
}

fn plan_chain(
    chain: &PlannedChain<'_>,
    owner: Option<Incarnation>,
    candidates: &[PlacementCandidate],
) -> Option<ChainAppend> {
    match (owner, chain.intended()) {
        (Some(owner), current) => {
            let mut holders = vec![owner];
            holders.extend(choose_successors(
                chain.hash,
                candidates,
                &[owner],
                SUCCESSOR_COUNT,
            ));
            chain.append(holders, current.is_some())
        }
        (None, Some((epoch, _holder))) => {
            let holders: Vec<Incarnation> = chain
                .active
                .iter()
                .filter(|(position, _holder)| *position >= epoch)
                .map(|(_position, holder)| *holder)
                .collect();
            let missing = (SUCCESSOR_COUNT + 1).saturating_sub(holders.len());
            chain.append(
                choose_successors(chain.hash, candidates, &holders, missing),
                false,
            )
        }
        (None, None) => None,
    }
}

//! Keeps owners within their bounds with the fewest moves.

use crate::base::collections::FastMap;
use crate::base::ids::Incarnation;

use super::placement::PlacementCandidate;
use super::placement::owner_score;

/// Chains that a member is given at most, relative to its share.
const UPPER_FILL: f64 = 1.07;

/// Chains that a member is given before the others, relative to its share.
const LOWER_FILL: f64 = 0.92;

/// Chains of a member that start a move away from it, relative to its share.
///
/// Wider than the fill, so that a share that shrinks a little moves nothing.
const OVERFULL: f64 = 1.13;

/// Chains of a member that start a move towards it, relative to its share.
const UNDERFULL: f64 = 0.88;

/// One chain as the balance sees it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ChainOwnership {
    /// The chain's hash.
    pub hash: u64,
    /// Its owner, if that is one of the candidates.
    pub owner: Option<Incarnation>,
}

/// A new owner for one chain.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct OwnerChange {
    /// Index of the chain.
    pub chain: usize,
    /// The new owner.
    pub owner: Incarnation,
}

struct MemberBalance<'a> {
    candidate: &'a PlacementCandidate,
    owned: usize,
    upper: usize,
    lower: usize,
    overfull: usize,
    underfull: usize,
}

/// Chooses owners for chains without one, and at most `moves` changes for
/// chains whose owner holds more than its share.
pub fn balance(
    chains: &[ChainOwnership],
    candidates: &[PlacementCandidate],
    moves: usize,
) -> Vec<OwnerChange> {
    if candidates.is_empty() {
        return Vec::new();
    }
    let mut plan = BalancePlan::new(chains, candidates);
    plan.assign_orphans();
    plan.even_out(moves);
    plan.changes
}

struct BalancePlan<'a> {
    chains: &'a [ChainOwnership],
    owners: Vec<Option<usize>>,
    members: Vec<MemberBalance<'a>>,
    changes: Vec<OwnerChange>,
}

impl<'a> BalancePlan<'a> {
    fn new(chains: &'a [ChainOwnership], candidates: &'a [PlacementCandidate]) -> Self {
        let total_weight: f64 = candidates.iter().map(|candidate| candidate.weight).sum();
        let mut members: Vec<MemberBalance<'a>> = candidates
            .iter()
            .map(|candidate| {
                let share = chains.len() as f64 * candidate.weight / total_weight;
                MemberBalance {
                    candidate,
                    owned: 0,
                    upper: (share * UPPER_FILL).floor().max(share.ceil()) as usize,
                    lower: (share * LOWER_FILL).ceil().min(share.floor()) as usize,
                    overfull: (share * OVERFULL).floor().max(share.ceil()) as usize,
                    underfull: (share * UNDERFULL).ceil().min(share.floor()) as usize,
                }
            })
            .collect();
        let indexes: FastMap<Incarnation, usize> = candidates
            .iter()
            .enumerate()
            .map(|(index, candidate)| (candidate.incarnation, index))
            .collect();
        let owners: Vec<Option<usize>> = chains
            .iter()
            .map(|chain| chain.owner.and_then(|owner| indexes.get(&owner).copied()))
            .collect();
        for owner in owners.iter().flatten() {
            members[*owner].owned += 1;
        }
        Self {
            chains,
            owners,
            members,
            changes: Vec::new(),
        }
    }

    /// Gives chains without an owner to members below their share first, so
    /// that no second chain has to move to even them out.
    fn assign_orphans(&mut self) {
        for chain in 0..self.chains.len() {
            if self.owners[chain].is_none() {
                let member = self
                    .best_member(chain, |member| member.owned < member.lower)
                    .or_else(|| self.best_member(chain, |member| member.owned < member.upper))
                    .unwrap_or_else(|| self.emptiest());
                self.give(chain, member);
            }
        }
    }

    /// Moves chains from members above their bound, then to members below
    /// theirs.
    fn even_out(&mut self, moves: usize) {
        for _move in 0..moves {
            let Some((chain, member)) = self.next_move() else {
                return;
            };
            if let Some(previous) = self.owners[chain] {
                self.members[previous].owned -= 1;
            }
            self.give(chain, member);
        }
    }

    fn next_move(&self) -> Option<(usize, usize)> {
        let giver = self.fullest();
        let taker = self.emptiest();
        let overfull = self.members[giver].owned > self.members[giver].overfull;
        let underfull = self.members[taker].owned < self.members[taker].underfull;
        if giver == taker || !(overfull || underfull) {
            return None;
        }
        let taker = if underfull {
            taker
        } else {
            // Any member with room will do: the chain goes where it ranks best.
            let chain = self.worst_ranked_of(giver, taker)?;
            self.best_member(chain, |member| member.owned < member.upper)?
        };
        let chain = self.worst_ranked_of(giver, taker)?;
        Some((chain, taker))
    }

    /// Returns the member that owns most in proportion to its bound.
    fn fullest(&self) -> usize {
        self.extreme(|member| member.owned as f64 / member.upper.max(1) as f64)
    }

    fn emptiest(&self) -> usize {
        self.extreme(|member| -(member.owned as f64) / member.upper.max(1) as f64)
    }

    fn extreme(&self, measure: impl Fn(&MemberBalance<'a>) -> f64) -> usize {
        let ranked = self
            .members
            .iter()
            .enumerate()
            .max_by(|(_, left), (_, right)| {
                measure(left)
                    .total_cmp(&measure(right))
                    .then(left.candidate.node.cmp(&right.candidate.node))
            });
        ranked.map_or(0, |(index, _member)| index)
    }

    fn best_member(
        &self,
        chain: usize,
        fits: impl Fn(&MemberBalance<'a>) -> bool,
    ) -> Option<usize> {
        let hash = self.chains[chain].hash;
        let fitting = self
            .members
            .iter()
            .enumerate()
            .filter(|(_index, member)| fits(member));
        fitting
            .max_by(|(_, left), (_, right)| {
                owner_score(hash, left.candidate).total_cmp(&owner_score(hash, right.candidate))
            })
            .map(|(index, _member)| index)
    }

    /// Returns the giver's chain that ranks best for the taker.
    fn worst_ranked_of(&self, giver: usize, taker: usize) -> Option<usize> {
        let gain = |chain: usize| {
            let hash = self.chains[chain].hash;
            owner_score(hash, self.members[taker].candidate)
                / owner_score(hash, self.members[giver].candidate)
        };
        (0..self.chains.len())
            .filter(|chain| self.owners[*chain] == Some(giver))
            .max_by(|left, right| gain(*left).total_cmp(&gain(*right)))
    }

    fn give(&mut self, chain: usize, member: usize) {
        self.owners[chain] = Some(member);
        self.members[member].owned += 1;
        let owner = self.members[member].candidate.incarnation;
        self.changes.push(OwnerChange { chain, owner });
    }
}

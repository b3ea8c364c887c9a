//! Balances chains over members with the fewest moves.
//!
//! A member's share is the number of chains in proportion to its weight. The
//! bounds that start a move are wider than those up to which chains are given,
//! so that a small change of the share moves nothing.

use crate::base::collections::FastMap;
use crate::base::ids::Incarnation;

use super::placement::PlacementCandidate;
use super::placement::owner_score;

/// Upper bound up to which a member receives chains, relative to its share.
const UPPER_FILL_RATIO: f64 = 1.07;

/// Lower bound up to which a member receives chains before other members,
/// relative to its share.
const LOWER_FILL_RATIO: f64 = 0.92;

/// Number of chains above which chains are moved away from a member, relative
/// to its share. Above [`UPPER_FILL_RATIO`], so that a share that shrinks a
/// little moves nothing.
const OVERLOAD_RATIO: f64 = 1.13;

/// Number of chains below which chains are moved to a member, relative to its
/// share.
const UNDERLOAD_RATIO: f64 = 0.88;

/// A chain with its present owner, as input of [`balance`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ChainOwnership {
    /// The chain's hash, as returned by
    /// [`chain_hash`](super::placement::chain_hash).
    pub hash: u64,
    /// The chain's owner. One that is not among the candidates counts as none.
    pub owner: Option<Incarnation>,
}

/// A new owner for one chain.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct OwnerChange {
    /// Index of the chain in the input.
    pub chain: usize,
    /// The new owner.
    pub owner: Incarnation,
}

struct MemberBalance<'a> {
    candidate: &'a PlacementCandidate,
    owned: usize,
    upper: usize,
    lower: usize,
    overload_threshold: usize,
    underload_threshold: usize,
}

/// Returns owners for all chains without one, and at most `moves` changes of
/// owner that bring members within their bounds. Empty if there are no
/// candidates.
pub fn balance(
    chains: &[ChainOwnership],
    candidates: &[PlacementCandidate],
    moves: usize,
) -> Vec<OwnerChange> {
    if candidates.is_empty() {
        return Vec::new();
    }
    let mut plan = BalancePlan::new(chains, candidates);
    plan.assign_unowned();
    plan.rebalance(moves);
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
                    upper: (share * UPPER_FILL_RATIO).floor().max(share.ceil()) as usize,
                    lower: (share * LOWER_FILL_RATIO).ceil().min(share.floor()) as usize,
                    overload_threshold: (share * OVERLOAD_RATIO).floor().max(share.ceil()) as usize,
                    underload_threshold: (share * UNDERLOAD_RATIO).ceil().min(share.floor())
                        as usize,
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

    /// Assigns chains without an owner to members below their lower bound
    /// first, so that no further moves are needed to balance these members.
    fn assign_unowned(&mut self) {
        for chain in 0..self.chains.len() {
            if self.owners[chain].is_none() {
                let member = self
                    .best_member(chain, |member| member.owned < member.lower)
                    .or_else(|| self.best_member(chain, |member| member.owned < member.upper))
                    .unwrap_or_else(|| self.least_loaded());
                self.assign(chain, member);
            }
        }
    }

    /// Moves up to `moves` chains while a member is overloaded or underloaded.
    fn rebalance(&mut self, moves: usize) {
        for _move in 0..moves {
            let Some((chain, member)) = self.next_move() else {
                return;
            };
            if let Some(previous) = self.owners[chain] {
                self.members[previous].owned -= 1;
            }
            self.assign(chain, member);
        }
    }

    fn next_move(&self) -> Option<(usize, usize)> {
        let source = self.most_loaded();
        let target = self.least_loaded();
        let is_overloaded = self.members[source].owned > self.members[source].overload_threshold;
        let is_underloaded = self.members[target].owned < self.members[target].underload_threshold;
        if source == target || !(is_overloaded || is_underloaded) {
            return None;
        }
        let target = if is_underloaded {
            target
        } else {
            // No member is underloaded, so the chain goes to the member with
            // room that ranks best for it.
            let chain = self.best_chain_to_move(source, target)?;
            self.best_member(chain, |member| member.owned < member.upper)?
        };
        let chain = self.best_chain_to_move(source, target)?;
        Some((chain, target))
    }

    /// Returns the member that owns most chains relative to its upper bound.
    fn most_loaded(&self) -> usize {
        self.extreme(|member| member.owned as f64 / member.upper.max(1) as f64)
    }

    fn least_loaded(&self) -> usize {
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

    /// Returns the source's chain whose score for the target is highest
    /// relative to its score for the source.
    fn best_chain_to_move(&self, source: usize, target: usize) -> Option<usize> {
        let gain = |chain: usize| {
            let hash = self.chains[chain].hash;
            owner_score(hash, self.members[target].candidate)
                / owner_score(hash, self.members[source].candidate)
        };
        (0..self.chains.len())
            .filter(|chain| self.owners[*chain] == Some(source))
            .max_by(|left, right| gain(*left).total_cmp(&gain(*right)))
    }

    fn assign(&mut self, chain: usize, member: usize) {
        self.owners[chain] = Some(member);
        self.members[member].owned += 1;
        let owner = self.members[member].candidate.incarnation;
        self.changes.push(OwnerChange { chain, owner });
    }
}

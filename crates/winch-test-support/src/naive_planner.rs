//! Naive planners for comparison. They assign chains by the present members
//! alone, without regard to current owners.

use std::collections::BTreeMap;

use buckthornwinch::base::hash::rendezvous_score;
use buckthornwinch::base::ids::Incarnation;
use buckthornwinch::planner::placement::PlacementCandidate;
use buckthornwinch::planner::placement::owner_score;

/// Owners by chain index.
pub type OwnerMap = Vec<Incarnation>;

/// Assigns each chain by its hash modulo the number of members.
pub fn by_modulo(chains: &[u64], members: &[PlacementCandidate]) -> OwnerMap {
    let owner = |chain: &u64| {
        members[(rendezvous_score(*chain, 0) % members.len() as u64) as usize].incarnation
    };
    chains.iter().map(owner).collect()
}

/// Assigns each chain to the member that ranks best for it, with no bound on
/// load.
pub fn by_rank(chains: &[u64], members: &[PlacementCandidate]) -> OwnerMap {
    chains
        .iter()
        .map(|chain| best_ranked(*chain, members))
        .collect()
}

fn best_ranked(chain: u64, members: &[PlacementCandidate]) -> Incarnation {
    let best = members
        .iter()
        .max_by(|left, right| owner_score(chain, left).total_cmp(&owner_score(chain, right)));
    best.map_or(0, |member| member.incarnation)
}

/// Returns the number of chains whose owner differs.
pub fn moved(before: &OwnerMap, after: &OwnerMap) -> usize {
    before
        .iter()
        .zip(after)
        .filter(|(left, right)| left != right)
        .count()
}

/// Returns the number of chains whose owner is not among the members.
pub fn orphaned(owners: &OwnerMap, members: &[PlacementCandidate]) -> usize {
    let is_member = |owner: &Incarnation| members.iter().any(|member| member.incarnation == *owner);
    owners.iter().filter(|owner| !is_member(owner)).count()
}

/// Returns the ratio of the most loaded member's number of chains to the mean.
pub fn imbalance(owners: &OwnerMap, members: &[PlacementCandidate]) -> f64 {
    let mut counts = BTreeMap::new();
    for owner in owners {
        *counts.entry(*owner).or_insert(0_usize) += 1;
    }
    let max_count = counts.values().max().copied().unwrap_or_default();
    max_count as f64 * members.len() as f64 / owners.len() as f64
}

//! Counts of the slices that each member serves.

use super::table::RouteInputs;
use super::table::serving_position;
use crate::base::collections::FastMap;
use crate::base::ids::Epoch;
use crate::base::ids::Incarnation;
use crate::declarations::ServiceDeclaration;
use crate::planner::placement::PlacementCandidate;
use crate::state::folded::HolderChain;
use crate::state::record::ChainKey;
use crate::state::record::ChainSubject;

/// Counts of a service's slices by member.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct SliceCounts {
    /// Number of slices that each member serves.
    pub owned: FastMap<Incarnation, u32>,
    /// Number of slices that each member is the first successor of.
    pub first_successors: FastMap<Incarnation, u32>,
    /// Number of slices without an owner.
    pub unowned: u32,
    /// Number of slices with an owner but no successor.
    pub without_successor: u32,
}

impl SliceCounts {
    /// Counts a service's slices.
    pub fn count(inputs: RouteInputs<'_>, service: &ServiceDeclaration) -> Self {
        let mut counts = Self::default();
        for slice in 0..service.slices {
            let key = ChainKey {
                service: service.name.clone(),
                subject: ChainSubject::Slice(slice),
            };
            match inputs.state.chains.get(&key) {
                Some(chain) => counts.add(inputs, &key, chain),
                None => counts.unowned += 1,
            }
        }
        counts
    }

    fn add(&mut self, inputs: RouteInputs<'_>, key: &ChainKey, chain: &HolderChain) {
        let Some(route) = serving_position(key, chain, inputs) else {
            self.unowned += 1;
            return;
        };
        *self.owned.entry(route.owner).or_default() += 1;
        let successors = later_positions(chain, route.epoch);
        match serving_position(key, &successors, inputs) {
            Some(next) => *self.first_successors.entry(next.owner).or_default() += 1,
            None => self.without_successor += 1,
        }
    }

    /// Returns the greatest load of a candidate relative to the mean load,
    /// minus 1. The load of a candidate is its slices divided by its weight. 0
    /// if the candidates own no slice.
    pub fn imbalance(&self, candidates: &[PlacementCandidate]) -> f64 {
        let owned = |candidate: &PlacementCandidate| {
            let slices = self.owned.get(&candidate.incarnation);
            f64::from(slices.copied().unwrap_or(0))
        };
        let slices: f64 = candidates.iter().map(owned).sum();
        let weight: f64 = candidates.iter().map(|candidate| candidate.weight).sum();
        let greatest = candidates
            .iter()
            .map(|candidate| owned(candidate) / candidate.weight)
            .fold(0.0, f64::max);
        if slices == 0.0 {
            0.0
        } else {
            greatest * weight / slices - 1.0
        }
    }
}

/// Returns the positions of a chain after an epoch.
fn later_positions(chain: &HolderChain, epoch: Epoch) -> HolderChain {
    let passed = (epoch + 1 - chain.first_epoch) as usize;
    HolderChain {
        first_epoch: epoch + 1,
        entries: chain.entries[passed..].to_vec(),
        target_epoch: chain.target_epoch,
    }
}

//! Counts the slices that each member serves.

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

/// Who serves how many slices of a service.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct SliceCounts {
    /// Slices that each member serves.
    pub owned: FastMap<Incarnation, u32>,
    /// Slices that each member is the first successor of.
    pub first_successors: FastMap<Incarnation, u32>,
    /// Slices that nobody serves.
    pub unowned: u32,
    /// Slices with an owner and no successor.
    pub without_successor: u32,
}

impl SliceCounts {
    /// Counts a service's slices.
    pub fn count(inputs: RouteInputs<'_>, service: &ServiceDeclaration) -> Self {
        let mut tally = Self::default();
        for slice in 0..service.slices {
            let key = ChainKey {
                service: service.name.clone(),
                subject: ChainSubject::Slice(slice),
            };
            match inputs.state.chains.get(&key) {
                Some(chain) => tally.add(inputs, &key, chain),
                None => tally.unowned += 1,
            }
        }
        tally
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

    /// Greatest load of one candidate over the mean, minus 1, where a load is
    /// the candidate's slices by its weight. 0 without a candidate or slice.
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
    let passed = (epoch + 1 - chain.base) as usize;
    HolderChain {
        base: epoch + 1,
        entries: chain.entries[passed..].to_vec(),
        target: chain.target,
    }
}

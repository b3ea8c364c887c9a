//! Divides the requests of a route among weighted services.
//!
//! Uses smooth weighted round robin: over any sequence of as many requests as
//! the sum of the weights, each service gets exactly its share. The shares hold
//! in every process on its own, so the processes need not coordinate. Each process
//! starts at a random position of the cycle: in a large fleet, every one of them
//! may get fewer requests than a cycle has, and the first ones would all go to the
//! service with the greatest weight.

use super::configuration::WeightedService;

/// Maximum number of choices that are skipped at the start of a split. Longer cycles
/// are even enough to start anywhere in their first part.
const MAX_START_POSITION: u64 = 1 << 12;

/// Chooses the service of each request of one route.
#[derive(Debug, Clone, Default)]
pub struct WeightedSplit {
    credits: Vec<i64>,
}

impl WeightedSplit {
    /// Creates a split that starts within the cycle of `services`, at the fraction
    /// `position` of it, from 0 to 1.
    pub fn starting_at(position: f64, services: &[WeightedService]) -> Self {
        let cycle: u64 = services
            .iter()
            .map(|service| u64::from(service.weight))
            .sum();
        let skipped = (position * cycle.min(MAX_START_POSITION) as f64) as u64;
        let mut split = Self::default();
        for _choice in 0..skipped {
            split.next(services);
        }
        split
    }

    /// Returns the index of the service for the next request; none if all
    /// weights are 0. A single service is chosen whatever its weight.
    pub fn next(&mut self, services: &[WeightedService]) -> Option<usize> {
        if services.len() == 1 {
            return Some(0);
        }
        self.credits.resize(services.len(), 0);
        let total: i64 = services
            .iter()
            .map(|service| i64::from(service.weight))
            .sum();
        for (credit, service) in self.credits.iter_mut().zip(services) {
            *credit += i64::from(service.weight);
        }
        let weighted = (0..services.len()).filter(|index| services[*index].weight > 0);
        let chosen = weighted.max_by_key(|index| self.credits[*index])?;
        self.credits[chosen] -= total;
        Some(chosen)
    }
}

//! Divides the requests of a route among weighted services.
//!
//! Uses smooth weighted round robin: over any sequence of as many requests as
//! the sum of the weights, each service gets exactly its share. The shares hold
//! in every process on its own, so the processes need not coordinate.

use super::configuration::WeightedService;

/// Chooses the service of each request of one route.
#[derive(Debug, Clone, Default)]
pub struct WeightedSplit {
    credits: Vec<i64>,
}

impl WeightedSplit {
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

//! Divides a route's requests among weighted services.
//!
//! Smooth weighted round robin: each service's part is exact over any run of
//! as many requests as the weights sum up to, so that shares hold at every
//! process by itself, without talk between them.

use super::configuration::WeightedService;

/// Chooses the service of each request of one route.
#[derive(Debug, Clone, Default)]
pub struct WeightedSplit {
    credits: Vec<i64>,
}

impl WeightedSplit {
    /// Returns the index of the service that takes the next request; none if
    /// no service has a weight.
    pub fn next(&mut self, parts: &[WeightedService]) -> Option<usize> {
        if parts.len() == 1 {
            return Some(0);
        }
        self.credits.resize(parts.len(), 0);
        let total: i64 = parts.iter().map(|part| i64::from(part.weight)).sum();
        for (credit, part) in self.credits.iter_mut().zip(parts) {
            *credit += i64::from(part.weight);
        }
        let weighted = (0..parts.len()).filter(|index| parts[*index].weight > 0);
        let chosen = weighted.max_by_key(|index| self.credits[*index])?;
        self.credits[chosen] -= total;
        Some(chosen)
    }
}

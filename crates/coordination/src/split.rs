//! Distribution of requests among services by weight.
//!
//! Each request goes to the part that is furthest behind its share, so that the shares hold over
//! every span of requests and not only on average.

use sycamoreflow_state::config::WeightedService;
use sycamoreflow_state::ids::ServiceName;

#[cfg(test)]
mod tests;

/// Distributes the requests of one route at one daemon.
#[derive(Clone, Debug, Default)]
pub struct SplitCounter {
    parts: Vec<WeightedService>,
    /// What each part is behind its share, in units of a request divided by the sum of weights.
    deficits: Vec<i64>,
}

impl SplitCounter {
    /// Chooses the service of the next request. Weights that have changed start a new count.
    /// Returns `None` if no part has a weight.
    pub fn next(&mut self, parts: &[WeightedService]) -> Option<ServiceName> {
        if self.parts != parts {
            self.parts = parts.to_vec();
            self.deficits = vec![0; parts.len()];
        }
        let total: i64 = parts.iter().map(|part| i64::from(part.weight)).sum();
        let mut chosen: Option<usize> = None;
        for (index, part) in parts.iter().enumerate() {
            self.deficits[index] += i64::from(part.weight);
            let ahead = chosen.is_some_and(|best| self.deficits[best] >= self.deficits[index]);
            if part.weight > 0 && !ahead {
                chosen = Some(index);
            }
        }
        let chosen = chosen?;
        self.deficits[chosen] -= total;
        Some(parts[chosen].service.clone())
    }
}

//! Distribution of requests among services by weight.
//!
//! Each request goes to the service with the largest deficit relative to its weight, so the shares
//! hold over every sequence of requests and not only on average.

use sycamoreflow_state::config::WeightedService;
use sycamoreflow_state::ids::ServiceName;

#[cfg(test)]
mod tests;

/// Distributes the requests of one route at one daemon.
#[derive(Clone, Debug, Default)]
pub struct SplitCounter {
    parts: Vec<WeightedService>,
    /// Number of requests that each part is owed, in units of a request divided by the sum of
    /// weights.
    deficits: Vec<i64>,
}

impl SplitCounter {
    /// Chooses the service of the next request. If the weights have changed, all deficits restart
    /// at zero. Returns `None` if no part has a positive weight.
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

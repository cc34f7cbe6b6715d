//! Routes with few calls, whose latencies are compared together.
//!
//! Calls are assigned to the candidate by its share, whatever their route. Within a step, both
//! versions therefore have the same mixture of routes, and their sums over routes are comparable.

use super::route::RouteState;
use crate::evidence::VersionEvidence;
use crate::evidence::odds::latency::{Latencies, latency_odds};

/// Log odds of a fault by the latencies of routes that have too few calls to be compared alone.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct SparseRoutes {
    /// Log odds of the current step.
    pub(super) step_odds: f64,
    /// Log odds of the earlier steps.
    pub(super) earlier_odds: f64,
}

impl SparseRoutes {
    pub(super) fn update_odds<'a>(
        &mut self,
        routes: impl Iterator<Item = &'a RouteState>,
        max_shift: u8,
    ) {
        let mut sums: [VersionEvidence; 4] = Default::default();
        for route in routes.filter(|route| route.is_sparse) {
            let latencies = route.latencies();
            let parts = [
                latencies.stable,
                latencies.earlier_stable,
                latencies.candidate,
                latencies.waiting,
            ];
            for (sum, part) in sums.iter_mut().zip(parts) {
                sum.merge(part);
            }
        }
        let [stable, earlier_stable, candidate, waiting] = &sums;
        let latencies = Latencies {
            stable,
            earlier_stable,
            candidate,
            waiting,
        };
        self.step_odds = latency_odds(&latencies, max_shift).unwrap_or_default();
    }

    pub(super) fn enter_step(&mut self) {
        self.earlier_odds += std::mem::take(&mut self.step_odds);
    }
}

//! Waits between attempts to subscribe.

use rand::{Rng, RngExt};
use sycamoreflow_state::ids::Millis;

#[cfg(test)]
mod tests;

/// Shortest upper bound of the wait before another attempt. The wait is drawn between zero and the
/// bound, so that daemons that failed together do not return together.
pub(super) const BACKOFF_MIN: Millis = Millis(100);

/// The bound of the next wait. It doubles each time that all known replicas have been tried: a daemon
/// that meets the replicas without a quorum first must reach one with a quorum soon.
#[derive(Clone, Copy, Debug)]
pub(super) struct Backoff {
    bound: Millis,
    max: Millis,
}

impl Backoff {
    /// Starts with the shortest bound. `max` is the longest one.
    pub(super) fn new(max: Millis) -> Self {
        Self {
            bound: BACKOFF_MIN,
            max,
        }
    }

    /// Returns to the shortest bound, after a subscription that has lasted.
    pub(super) fn reset(&mut self) {
        self.bound = BACKOFF_MIN;
    }

    /// Draws the wait after a failed attempt. `all_tried` says whether all replicas were tried.
    pub(super) fn next_wait(&mut self, rng: &mut impl Rng, all_tried: bool) -> Millis {
        let wait = Millis(rng.random_range(0..=self.bound.0));
        if all_tried {
            self.bound = Millis((self.bound.0 * 2).min(self.max.0));
        }
        wait
    }
}

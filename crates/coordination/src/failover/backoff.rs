//! Randomized exponential backoff between attempts to subscribe.

use rand::{Rng, RngExt};
use sycamoreflow_state::ids::Millis;

#[cfg(test)]
mod tests;

/// Initial upper bound of the wait before another attempt. The wait is drawn uniformly between zero
/// and the bound, so that daemons that were disconnected together do not reconnect together.
pub(super) const BACKOFF_MIN: Millis = Millis(100);

/// State of the backoff. The bound doubles only after all known replicas have been tried, so that a
/// daemon that first tries replicas without a quorum soon reaches one with a quorum.
#[derive(Clone, Copy, Debug)]
pub(super) struct Backoff {
    bound: Millis,
    max: Millis,
}

impl Backoff {
    /// Creates a backoff whose bound starts at [`BACKOFF_MIN`] and never exceeds `max`.
    pub(super) fn new(max: Millis) -> Self {
        Self {
            bound: BACKOFF_MIN,
            max,
        }
    }

    /// Resets the bound to [`BACKOFF_MIN`], after a subscription that was stable.
    pub(super) fn reset(&mut self) {
        self.bound = BACKOFF_MIN;
    }

    /// Draws the wait before the next attempt. `all_tried` says whether all known replicas have
    /// been tried since the bound was last doubled.
    pub(super) fn next_wait(&mut self, rng: &mut impl Rng, all_tried: bool) -> Millis {
        let wait = Millis(rng.random_range(0..=self.bound.0));
        if all_tried {
            self.bound = Millis((self.bound.0 * 2).min(self.max.0));
        }
        wait
    }
}

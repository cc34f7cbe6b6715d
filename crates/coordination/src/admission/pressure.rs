//! How long calls may wait under lasting overload.
//!
//! While all calls find room, a queue evens out the differences between arrivals. Under lasting
//! overload it only makes every call late by its length, and a short one uses the slots as well. The
//! wait that is allowed therefore shrinks with the part of the calls that is refused.

use indexmap::IndexMap;
use sycamoreflow_state::ids::Millis;

/// Weight of one offer in the part that is refused.
const OFFER_WEIGHT: f64 = 0.02;
/// Ranks that are told apart. Further ones count as the last.
const MAX_RANKS: u32 = 16;

/// The part of the calls that is refused, by rank: urgent calls may find room while others do not.
#[derive(Clone, Debug, Default)]
pub(super) struct Pressure {
    refused: IndexMap<u32, f64>,
}

impl Pressure {
    /// Counts an offer.
    pub(super) fn offered(&mut self, priority: u32, refused: bool) {
        let part = self.refused.entry(priority.min(MAX_RANKS)).or_default();
        *part += (f64::from(u8::from(refused)) - *part) * OFFER_WEIGHT;
    }

    /// Returns how long a call may wait that has `slack` until it would be late.
    pub(super) fn allowed_wait(&self, priority: u32, slack: Millis) -> Millis {
        let refused = self.refused.get(&priority.min(MAX_RANKS));
        let free = 1.0 - refused.copied().unwrap_or(0.0);
        Millis((slack.0 as f64 * free) as u64)
    }
}

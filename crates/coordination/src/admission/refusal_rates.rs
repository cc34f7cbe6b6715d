//! Who waits, and for how long, under lasting overload.
//!
//! While all calls find room, a queue evens out the differences between arrivals. Under lasting
//! overload it only makes every call late by its length, and a short one uses the slots as well. The
//! wait that is allowed therefore shrinks with the part of the calls that is refused.
//!
//! Routes that share an upstream differ in how long their calls may wait. Those with little time
//! would be refused nearly always, although each of their calls takes little of the upstream, and
//! may be part of a request that has already cost much elsewhere. A route that is refused more often
//! than others of its rank therefore may wait longer until the parts are equal.

use indexmap::IndexMap;
use sycamoreflow_state::ids::{Millis, RouteName};

#[cfg(test)]
mod tests;

/// Weight of one offer in the part that is refused.
const OFFER_WEIGHT: f64 = 0.02;
/// Routes that are told apart. Further ones count as the last.
const MAX_ROUTES: usize = 64;
/// Change of the allowed wait per difference of the refused parts.
const WAIT_GAIN: f64 = 4.0;

/// The parts of the calls that are refused, by rank and by route.
#[derive(Clone, Debug, Default)]
pub(super) struct RefusalRates {
    priorities: IndexMap<u32, f64>,
    routes: IndexMap<RouteName, f64>,
}

/// What a route is granted because of how often it and the others are refused.
#[derive(Clone, Copy, Debug)]
pub(super) struct WaitAllowance {
    /// Part of the calls of its rank that is refused.
    priority_rate: f64,
    /// By how much the part of the route exceeds that.
    excess: f64,
}

impl RefusalRates {
    /// Counts an offer.
    pub(super) fn record_offer(&mut self, priority: u32, route: &RouteName, refused: bool) {
        let sample = f64::from(u8::from(refused));
        let rate = self.priorities.entry(priority).or_default();
        *rate += (sample - *rate) * OFFER_WEIGHT;
        if let Some(rate) = self.routes.get_mut(route) {
            *rate += (sample - *rate) * OFFER_WEIGHT;
        } else if self.routes.len() < MAX_ROUTES {
            self.routes.insert(route.clone(), sample * OFFER_WEIGHT);
        }
    }

    /// Returns what a call of a route is granted.
    pub(super) fn wait_allowance(&self, priority: u32, route: &RouteName) -> WaitAllowance {
        let priority_rate = self.priorities.get(&priority).copied().unwrap_or(0.0);
        let rate = self.routes.get(route).copied().unwrap_or(priority_rate);
        WaitAllowance {
            priority_rate,
            excess: rate - priority_rate,
        }
    }
}

impl WaitAllowance {
    /// Returns how long a call may wait that has `slack` until it would be late.
    pub(super) fn allowed_wait(&self, slack: Millis) -> Millis {
        let fraction = (1.0 - self.priority_rate) * (1.0 + WAIT_GAIN * self.excess);
        Millis((slack.0 as f64 * fraction.clamp(0.0, 1.0)) as u64)
    }
}

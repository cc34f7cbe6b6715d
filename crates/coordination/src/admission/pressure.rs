//! Refusal rates by priority and route, and the queue wait they allow under sustained overload.
//!
//! Below capacity, a queue absorbs bursts of arrivals. Under sustained overload it only adds its
//! length to the latency of every call, and a short queue keeps the slots in use as well. The
//! allowed wait therefore falls as the refusal rate rises.
//!
//! Routes that share an upstream differ in how long their calls may wait. Calls with little slack
//! would nearly always be refused, although each of them uses little of the upstream's capacity and
//! may be part of a request that has already used much capacity elsewhere. A route that is refused
//! more often than other routes of its priority is therefore allowed longer waits until the refusal
//! rates are equal.

use indexmap::IndexMap;
use sycamoreflow_state::ids::{Millis, RouteName, TenantName};

#[cfg(test)]
mod tests;

/// Weight of one offer in the moving average of a refusal rate.
const OFFER_WEIGHT: f64 = 0.02;
/// Weight of one offer in the moving average of the refusal rate of a tenant. Most tenants send few
/// calls to one upstream.
const TENANT_OFFER_WEIGHT: f64 = 0.1;
/// Maximum number of tenants with a refusal rate. Further tenants are never taken for starved.
const MAX_TENANTS: usize = 256;
/// Maximum number of routes with a refusal rate. Further routes use the rate of their priority.
const MAX_ROUTES: usize = 64;
/// Relative change of the allowed wait per difference between the refusal rates.
const WAIT_GAIN: f64 = 4.0;

/// A route or tenant is starved if the ratio of its calls that are accepted is below this part of
/// the ratio over all calls. Callers tolerate a quarter; the rates are moving averages and need a margin.
const STARVATION_SHARE: f64 = 0.3;

/// Refusal rates by priority and by route, between 0 and 1.
#[derive(Clone, Debug, Default)]
pub(super) struct RefusalRates {
    priorities: IndexMap<u32, f64>,
    routes: IndexMap<RouteName, f64>,
    tenants: IndexMap<TenantName, f64>,
    /// Rate over all calls.
    all: f64,
}

/// Refusal rates from which the allowed queue wait of a call is computed.
#[derive(Clone, Copy, Debug)]
pub(super) struct WaitAllowance {
    /// Refusal rate of the priority.
    priority_rate: f64,
    /// Refusal rate of the route minus that of the priority.
    excess: f64,
}

impl RefusalRates {
    /// Records whether an offered call was refused.
    pub(super) fn record_offer(
        &mut self,
        priority: u32,
        route: &RouteName,
        tenant: &TenantName,
        refused: bool,
    ) {
        let sample = f64::from(u8::from(refused));
        let rate = self.priorities.entry(priority).or_default();
        *rate += (sample - *rate) * OFFER_WEIGHT;
        self.all += (sample - self.all) * OFFER_WEIGHT;
        if let Some(rate) = self.tenants.get_mut(tenant) {
            *rate += (sample - *rate) * TENANT_OFFER_WEIGHT;
        } else if self.tenants.len() < MAX_TENANTS {
            let rate = sample * TENANT_OFFER_WEIGHT;
            self.tenants.insert(tenant.clone(), rate);
        }
        if let Some(rate) = self.routes.get_mut(route) {
            *rate += (sample - *rate) * OFFER_WEIGHT;
        } else if self.routes.len() < MAX_ROUTES {
            self.routes.insert(route.clone(), sample * OFFER_WEIGHT);
        }
    }

    /// Returns the priority of a call in the queue: its own one, or the most urgent of all calls if
    /// its route or its tenant is accepted much less often than all calls, so that its own priority
    /// would leave it without service.
    pub(super) fn effective_priority(
        &self,
        priority: u32,
        route: &RouteName,
        tenant: &TenantName,
    ) -> u32 {
        let rates = [self.routes.get(route), self.tenants.get(tenant)];
        let highest = rates.into_iter().flatten().copied().fold(0.0, f64::max);
        let is_starved = 1.0 - highest < (1.0 - self.all) * STARVATION_SHARE;
        match self.priorities.keys().min() {
            Some(most_urgent) if is_starved => priority.min(*most_urgent),
            _ => priority,
        }
    }

    /// Returns the wait allowance for a call of a route.
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
    /// Returns how long a call may wait in the queue if it would be late after a wait of `slack`.
    pub(super) fn allowed_wait(&self, slack: Millis) -> Millis {
        let fraction = (1.0 - self.priority_rate) * (1.0 + WAIT_GAIN * self.excess);
        Millis((slack.0 as f64 * fraction.clamp(0.0, 1.0)) as u64)
    }
}

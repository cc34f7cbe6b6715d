//! Reported load of an endpoint, and the chance of an answer in time that follows from it.

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};
use sycamoreflow_state::ids::{Micros, Millis, RouteName};

#[cfg(test)]
mod tests;

/// Service time in microseconds that is assumed of a route that nobody has reported.
pub(super) const DEFAULT_SERVICE_TIME: f64 = 100_000.0;
/// Chances that differ by less are taken for equal, so that daemons with the same reports do not
/// all choose the same endpoint.
pub(super) const TIE_BREAK: f64 = 0.01;
/// Time in which a report loses most of its weight. An endpoint that was full a second ago may have
/// room now.
const REPORT_DECAY: Millis = Millis(1_000);
/// Steepness of the chance around the target. Service times vary by a factor of about two around
/// their median, which a log-logistic distribution of this shape describes.
const LOG_LOGISTIC_SHAPE: f64 = 3.5;
/// Bounds of the time after which refused callers are asked to return, in milliseconds.
pub(super) const MIN_RETRY_AFTER_MS: f64 = 60.0;
pub(super) const MAX_RETRY_AFTER_MS: f64 = 1_000.0;
/// Routes whose service times are kept per endpoint.
const MAX_ROUTES: usize = 32;

/// Load of an endpoint, as the daemon beside it counts it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Load {
    /// Calls at the upstream.
    #[serde(rename = "r")]
    pub running: u32,
    /// Calls that wait at the daemon.
    #[serde(rename = "q")]
    pub queued: u32,
    /// Calls that the upstream runs at once.
    #[serde(rename = "s")]
    pub limit: u32,
    /// Mean time of recent calls at the upstream.
    #[serde(rename = "m")]
    pub mean: Micros,
    /// Mean time of recent calls of the route of this report, or zero if there was none.
    #[serde(rename = "t")]
    pub route: Micros,
    /// Time for which the call of this report has waited at the daemon.
    #[serde(rename = "w")]
    pub waited: Micros,
}

/// What a request is to achieve.
#[derive(Clone, Debug)]
pub struct LatencyObjective {
    /// Route of the request.
    pub route: RouteName,
    /// Time left until the answer loses part of its value.
    pub target: Micros,
    /// Value of an answer after that, relative to one in time.
    pub late_value: f64,
    /// Price of sending the request to another data centre, relative to the value of an answer.
    pub remote_cost: f64,
}

/// Price of a KiB that crosses between data centres, relative to the value of an answer in time.
const COST_PER_KIB: f64 = 0.03;
/// Weight of one call in the mean size of the calls of a route.
const SIZE_WEIGHT: f64 = 0.05;

/// Mean sizes of the calls of routes, from which the price of another data centre follows.
#[derive(Clone, Debug, Default)]
pub struct CallSizes {
    /// Bytes of requests and answers together.
    routes: IndexMap<RouteName, f64>,
}

impl CallSizes {
    /// Counts the bytes of a call and its answer.
    pub fn record(&mut self, route: &RouteName, bytes: usize) {
        let bytes = bytes as f64;
        if let Some(mean) = self.routes.get_mut(route) {
            *mean += (bytes - *mean) * SIZE_WEIGHT;
        } else if self.routes.len() < MAX_ROUTES {
            self.routes.insert(route.clone(), bytes);
        }
    }

    /// Returns the price of sending a call of a route to another data centre.
    pub fn remote_cost(&self, route: &RouteName) -> f64 {
        let bytes = self.routes.get(route).copied().unwrap_or(0.0);
        bytes / 1_024.0 * COST_PER_KIB
    }
}

impl LatencyObjective {
    /// Returns the expected value of an answer that takes `expected` microseconds on average.
    pub(super) fn utility(&self, expected: f64) -> f64 {
        let ratio = expected / (self.target.0.max(1) as f64);
        let in_time = 1.0 / (1.0 + ratio.powf(LOG_LOGISTIC_SHAPE));
        in_time + (1.0 - in_time) * self.late_value / (1.0 + ratio / 4.0)
    }
}

/// What an entry daemon knows of the load of one endpoint.
#[derive(Clone, Debug, Default)]
pub(super) struct KnownLoad {
    latest: Option<(Millis, Load)>,
    /// Calls that this daemon has sent since the latest report.
    sent_since: u32,
    /// Service times in microseconds by route.
    routes: IndexMap<RouteName, f64>,
}

impl KnownLoad {
    pub(super) fn observe(&mut self, now: Millis, load: Load, route: &RouteName) {
        self.latest = Some((now, load));
        self.sent_since = 0;
        let is_known = self.routes.contains_key(route);
        if load.route.0 > 0 && (is_known || self.routes.len() < MAX_ROUTES) {
            self.routes.insert(route.clone(), load.route.0 as f64);
        }
    }

    pub(super) fn sent(&mut self) {
        self.sent_since = self.sent_since.saturating_add(1);
    }

    pub(super) fn service_time(&self, route: &RouteName) -> Option<f64> {
        self.routes.get(route).copied()
    }

    /// Returns the expected time in microseconds until a call sent now is answered, apart from the
    /// way there. `default_service` is the service time that is assumed of an endpoint that has not
    /// reported the route.
    pub(super) fn expected(
        &self,
        now: Millis,
        slots: u32,
        route: &RouteName,
        default_service: f64,
    ) -> f64 {
        let service = self.routes.get(route).copied().unwrap_or(default_service);
        service + self.wait(now, slots)
    }

    /// Returns the expected time in microseconds until a call sent now gets a slot.
    pub(super) fn wait(&self, now: Millis, slots: u32) -> f64 {
        let Some((at, load)) = &self.latest else {
            return 0.0;
        };
        let age = now.since(*at).0 as f64;
        let weight = (-age / REPORT_DECAY.0 as f64).exp();
        let outstanding =
            f64::from(load.running + load.queued) * weight + f64::from(self.sent_since);
        let limit = f64::from(load.limit.min(slots).max(1));
        let waiting = (outstanding + 1.0 - limit).max(0.0);
        waiting * load.mean.0 as f64 / limit
    }
}

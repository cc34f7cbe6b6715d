//! Reported load of endpoints, and the expected utility of an answer computed from it.

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};
use sycamoreflow_state::ids::{Micros, Millis, RouteName};

use crate::pace::PaceReport;
use crate::shedding::AnswerValue;

#[cfg(test)]
mod tests;

/// Service time in microseconds assumed for a route that no endpoint has reported.
pub(crate) const DEFAULT_SERVICE_TIME: f64 = 100_000.0;
/// Upper bound of the random noise added to each utility, so that daemons with the same reports do
/// not all choose the same endpoint.
pub(super) const TIE_BREAK: f64 = 0.01;
/// Time constant of the exponential decay of a report's weight. An endpoint that was full a second
/// ago may have free slots now.
const REPORT_DECAY: Millis = Millis(1_000);
/// Bounds of the delay after which refused callers are asked to retry, in milliseconds.
pub(super) const MIN_RETRY_AFTER_MS: f64 = 60.0;
pub(super) const MAX_RETRY_AFTER_MS: f64 = 1_000.0;
/// Maximum number of routes for which service times are kept per endpoint. Also the maximum number
/// of routes in a [`CallSizes`].
const MAX_ROUTES: usize = 32;

/// Load of an endpoint as counted by the daemon beside it, sent with every reply. Latencies are
/// those at the usual pace of its host.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Load {
    /// Number of calls running at the upstream.
    #[serde(rename = "r")]
    pub running: u32,
    /// Number of calls queued at the daemon.
    #[serde(rename = "q")]
    pub queued: u32,
    /// Number of calls that the daemon sends to the upstream concurrently.
    #[serde(rename = "s")]
    pub limit: u32,
    /// Mean latency of recent calls at the upstream.
    #[serde(rename = "m")]
    pub mean: Micros,
    /// Mean latency of recent calls of the reported route, or zero if there were none.
    #[serde(rename = "t")]
    pub route: Micros,
    /// Time that the answered call spent in the daemon's queue.
    #[serde(rename = "w")]
    pub waited: Micros,
    /// Latest pace of the host, if the upstream reports it.
    #[serde(rename = "p", default, skip_serializing_if = "Option::is_none")]
    pub pace: Option<PaceReport>,
    /// Time until the upstream, which is cold, takes another call. Zero if it takes one now.
    #[serde(rename = "c", default, skip_serializing_if = "is_zero")]
    pub closed_for: Millis,
}

fn is_zero(time: &Millis) -> bool {
    time.0 == 0
}

/// The latency objective of one request, and the cost of sending it to another data centre.
#[derive(Clone, Debug)]
pub struct LatencyObjective {
    /// Route of the request.
    pub route: RouteName,
    /// Time left until the target; a later answer is late.
    pub target: Micros,
    /// Utility of a late answer relative to one in time, before a reduction that grows with the
    /// delay.
    pub late_value: f64,
    /// Cost of sending the request to another data centre, relative to the utility of an answer in
    /// time.
    pub remote_cost: f64,
}

/// Cost of each KiB sent between data centres, relative to the utility of an answer in time.
const COST_PER_KIB: f64 = 0.03;
/// Weight of one call in the moving average of the call sizes of a route.
const SIZE_WEIGHT: f64 = 0.05;

/// Mean call sizes by route, from which the cost of sending a call to another data centre is
/// computed.
#[derive(Clone, Debug, Default)]
pub struct CallSizes {
    /// Mean bytes of a request and its answer together, by route.
    routes: IndexMap<RouteName, f64>,
}

impl CallSizes {
    /// Records the total size in bytes of a request and its answer.
    pub fn record(&mut self, route: &RouteName, bytes: usize) {
        let bytes = bytes as f64;
        if let Some(mean) = self.routes.get_mut(route) {
            *mean += (bytes - *mean) * SIZE_WEIGHT;
        } else if self.routes.len() < MAX_ROUTES {
            self.routes.insert(route.clone(), bytes);
        }
    }

    /// Returns the cost of sending a call of a route to another data centre, relative to the
    /// utility of an answer in time. It is zero for a route without recorded calls.
    pub fn remote_cost(&self, route: &RouteName) -> f64 {
        let bytes = self.routes.get(route).copied().unwrap_or(0.0);
        bytes / 1_024.0 * COST_PER_KIB
    }
}

impl LatencyObjective {
    /// Returns the expected utility of an answer whose expected latency is `expected` microseconds.
    pub(super) fn utility(&self, expected: f64) -> f64 {
        let value = AnswerValue {
            target: self.target,
            deadline: None,
            late: self.late_value,
        };
        value.expected(expected)
    }
}

/// The load of one endpoint as known to an entry daemon.
#[derive(Clone, Debug, Default)]
pub(super) struct KnownLoad {
    latest: Option<(Millis, Load)>,
    /// Number of calls that this daemon has sent since the latest report.
    sent_since: u32,
    /// Service times in microseconds at usual pace, by route.
    routes: IndexMap<RouteName, f64>,
    /// The endpoint is cold and takes no call before this time.
    closed_until: Millis,
}

impl KnownLoad {
    pub(super) fn observe(&mut self, now: Millis, load: Load, route: &RouteName) {
        self.latest = Some((now, load));
        self.sent_since = 0;
        self.closed_until = now.after(load.closed_for);
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

    /// Returns the expected time in microseconds until a call sent now is answered, without network
    /// latency. `default_service` is the service time at usual pace assumed if the endpoint has not
    /// reported the route.
    pub(super) fn expected(
        &self,
        now: Millis,
        slots: u32,
        route: &RouteName,
        default_service: f64,
    ) -> f64 {
        let service = self.routes.get(route).copied().unwrap_or(default_service);
        self.stretched(now, service) + self.wait(now, slots)
    }

    /// Returns whether the endpoint is cold and takes no call now.
    pub(super) fn is_closed(&self, now: Millis) -> bool {
        now < self.closed_until
    }

    /// Returns the time in microseconds until the endpoint, which is cold, takes a call.
    pub(super) fn closed_time(&self, now: Millis) -> f64 {
        Micros::from(self.closed_until.since(now)).0 as f64
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
        self.stretched(now, waiting * load.mean.0 as f64 / limit)
    }

    /// Returns the expected duration in microseconds of work that starts now and takes `usual`
    /// microseconds at usual pace.
    fn stretched(&self, now: Millis, usual: f64) -> f64 {
        let Some((
            at,
            Load {
                pace: Some(pace), ..
            },
        )) = &self.latest
        else {
            return usual;
        };
        pace.aged(now.since(*at)).stretched(usual)
    }
}

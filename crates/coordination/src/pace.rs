//! Present pace of a host: how long work takes there now, relative to usual.
//!
//! A host that shares its hardware with others may be slow for some hundred milliseconds at a time.
//! Upstreams report their pace with every answer. [`PaceHistory`] keeps the recent reports at the
//! daemon beside the upstream, and [`RouteTimes`] keeps the service time of each route at usual
//! pace, so that a slow moment of the host does not raise the estimate for later calls. The
//! expected service time of a new call is its usual one, stretched by the latest report as far as
//! the report is still valid ([`PaceReport::stretched`]).
//!
//! Without reports, all results are those of a host at its usual pace.

use std::collections::VecDeque;

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};
use sycamoreflow_state::ids::{Micros, Millis, RouteName};

#[cfg(test)]
mod tests;

/// Time for which a reported pace holds on average. Processes that share a host run in time slices
/// and bursts of some hundred milliseconds; a report says little about what comes after them.
const PACE_DURATION: Millis = Millis(600);
/// Age from which a report says nothing about the present: more than three times its duration.
const MAX_REPORT_AGE: Millis = Millis(2_000);
/// Bounds of a pace in percent. Reports outside are cut off, so that a single one cannot make an
/// estimate useless.
const PACE_BOUNDS: (u32, u32) = (10, 2_000);
/// Maximum number of reports kept at a host. They cover two seconds at one report in 30 ms.
const MAX_REPORTS: usize = 64;
/// Weight of one answer in the moving average of the usual service time of a route.
const ROUTE_TIME_WEIGHT: f64 = 0.1;
/// Maximum number of routes whose service time is kept per upstream. Further routes have no
/// estimate.
const MAX_ROUTES: usize = 64;

/// How long work takes on a host, in percent of its usual duration there.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Pace(u32);

impl Pace {
    /// The usual pace.
    pub const USUAL: Self = Self(100);

    /// Creates a pace from the duration of work in percent of the usual one.
    pub fn from_percent(percent: u32) -> Self {
        let (min, max) = PACE_BOUNDS;
        Self(percent.clamp(min, max))
    }

    /// Returns the duration of work relative to the usual one, 1 at usual pace.
    pub fn factor(self) -> f64 {
        f64::from(self.0) / 100.0
    }
}

/// The latest pace that an upstream has reported, and the age of the report.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PaceReport {
    /// Reported pace.
    #[serde(rename = "p")]
    pub pace: Pace,
    /// Time since the report.
    #[serde(rename = "a")]
    pub age: Millis,
}

impl PaceReport {
    /// Returns the expected duration in microseconds of work that starts now and takes `usual`
    /// microseconds at usual pace.
    ///
    /// The pace is expected to return to the usual one exponentially, so it affects short work in
    /// proportion and long work by a limited time.
    pub fn stretched(&self, usual: f64) -> f64 {
        if self.age >= MAX_REPORT_AGE {
            return usual;
        }
        let duration = Micros::from(PACE_DURATION).0 as f64;
        let weight = (-(self.age.0 as f64) / PACE_DURATION.0 as f64).exp();
        let affected = duration * (1.0 - (-usual / duration).exp());
        usual + (self.pace.factor() - 1.0) * weight * affected
    }

    /// Returns the report as it is after a further time.
    pub fn aged(self, time: Millis) -> Self {
        Self {
            age: Millis(self.age.0.saturating_add(time.0)),
            ..self
        }
    }
}

/// Recent paces of one host, as known to the daemon on it.
#[derive(Clone, Debug, Default)]
pub struct PaceHistory {
    reports: VecDeque<(Millis, Pace)>,
}

impl PaceHistory {
    /// Records a report.
    pub fn observe(&mut self, now: Millis, pace: Pace) {
        let outdated = |at: Millis| now.since(at) >= MAX_REPORT_AGE;
        while self.reports.front().is_some_and(|(at, _)| outdated(*at))
            || self.reports.len() >= MAX_REPORTS
        {
            self.reports.pop_front();
        }
        self.reports.push_back((now, pace));
    }

    /// Returns the latest report if it still says something about the present.
    pub fn latest(&self, now: Millis) -> Option<PaceReport> {
        let (at, pace) = *self.reports.back()?;
        let age = now.since(at);
        (age < MAX_REPORT_AGE).then_some(PaceReport { pace, age })
    }

    /// Returns the expected duration in microseconds of work that starts now and takes `usual`
    /// microseconds at usual pace.
    pub fn stretched(&self, now: Millis, usual: f64) -> f64 {
        let latest = self.latest(now);
        latest.map_or(usual, |report| report.stretched(usual))
    }

    /// Returns how long work would have taken at usual pace that has ended `now` after `latency`.
    ///
    /// Each report stands for the time up to the middle between it and its neighbours, and for
    /// 0.6 s at most. The rest of the time counts as usual.
    pub fn usual_time(&self, now: Millis, latency: Micros) -> Micros {
        let end = now.0 as f64;
        let start = end - latency.0 as f64 / 1_000.0;
        let reach = PACE_DURATION.0 as f64;
        let times = |index: usize| self.reports.get(index).map(|(at, _)| at.0 as f64);
        let mut usual = latency.0 as f64;
        for (index, (at, pace)) in self.reports.iter().enumerate() {
            let at = at.0 as f64;
            let previous = index.checked_sub(1).and_then(times);
            let from = previous.map_or(at - reach, |t| ((t + at) / 2.0).max(at - reach));
            let to = times(index + 1).map_or(at + reach, |t| ((t + at) / 2.0).min(at + reach));
            let covered = (to.min(end) - from.max(start)).max(0.0) * 1_000.0;
            usual += covered / pace.factor() - covered;
        }
        Micros(usual.max(0.0) as u64)
    }
}

/// Service times by route at one upstream, at the usual pace of its host.
#[derive(Clone, Debug, Default)]
pub struct RouteTimes {
    /// Moving averages in microseconds.
    routes: IndexMap<RouteName, f64>,
}

impl RouteTimes {
    /// Adds the time that an answer took, converted to usual pace by [`PaceHistory::usual_time`].
    pub fn record(&mut self, route: &RouteName, usual: Micros) {
        let sample = usual.0 as f64;
        if let Some(mean) = self.routes.get_mut(route) {
            *mean += (sample - *mean) * ROUTE_TIME_WEIGHT;
        } else if self.routes.len() < MAX_ROUTES {
            self.routes.insert(route.clone(), sample);
        }
    }

    /// Returns the mean service time of a route at usual pace, or zero if it is unknown.
    pub fn get(&self, route: &RouteName) -> Micros {
        Micros(self.routes.get(route).map_or(0, |mean| *mean as u64))
    }
}

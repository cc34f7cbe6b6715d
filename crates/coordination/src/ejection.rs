//! Ejection of failing endpoints at the entry daemon.
//!
//! An endpoint is ejected after consecutive failures, after the loss of its link, or when its
//! answers are far slower than those of the others. At most the configured share of a service is
//! ejected, since many endpoints that seem to fail at once are more likely a fault of the entry
//! daemon's own network. An ejected endpoint returns after a successful probe; the intervals
//! between probes grow, also over repeated ejections.

#[cfg(test)]
mod tests;

use std::collections::BTreeMap;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use sycamoreflow_state::config::Share;
use sycamoreflow_state::ids::{DaemonId, Micros, Millis};

use crate::routing::{CallResult, Outcome};

/// Failures in a row after which an endpoint is ejected.
const MAX_CONSECUTIVE_FAILURES: u32 = 5;
/// Answers before the latency of an endpoint is judged, and between two judgements.
const LATENCY_SAMPLES: u32 = 16;
/// Weight of one answer in the mean latency.
const LATENCY_WEIGHT: f64 = 0.1;
/// Ratio to the median of the other endpoints at which latency is outlying. Upstreams of one
/// service differ widely in speed, and routing already sends slower ones less.
const OUTLIER_RATIO: f64 = 8.0;
/// Difference to the median below which latency is never outlying, above the hop between data
/// centres.
const OUTLIER_MIN_DIFFERENCE: Micros = Micros(10_000);
/// Time before the first probe.
const FIRST_PROBE_INTERVAL: Millis = Millis(1_000);
/// Longest time between two probes.
const MAX_PROBE_INTERVAL: Millis = Millis(60_000);
/// Time after which a probe without a result counts as failed.
const PROBE_TIMEOUT: Millis = Millis(5_000);
/// Time after a return in which a new ejection continues with the grown interval.
const REEJECTION_WINDOW: Millis = Millis(60_000);

/// What changed about an endpoint. Pass it on to [`crate::routing::Router::set_available`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum EjectionChange {
    /// The endpoint takes no calls except probes.
    Ejected(DaemonId),
    /// The endpoint takes calls again.
    Reinstated(DaemonId),
}

/// Ejection state of one service at one entry daemon.
#[derive(Debug)]
pub struct Ejector {
    min_available: Share,
    rng: ChaCha8Rng,
    endpoints: BTreeMap<DaemonId, Health>,
}

#[derive(Clone, Debug, Default)]
struct Health {
    failures: u32,
    latency: f64,
    samples: u32,
    ejection: Option<Ejection>,
    /// Interval of the latest ejection, and when the endpoint returned from it.
    reinstated: Option<(Millis, Millis)>,
}

#[derive(Clone, Debug)]
struct Ejection {
    since: Millis,
    interval: Millis,
    next_probe: Millis,
    probe_sent: Option<Millis>,
}

impl Ejector {
    /// Makes the state of a service without endpoints, of which at least `min_available` is to
    /// remain in use.
    pub fn new(min_available: Share) -> Self {
        Self {
            min_available,
            rng: ChaCha8Rng::seed_from_u64(0),
            endpoints: BTreeMap::new(),
        }
    }

    /// Sets the seed that spreads the probes. Entry daemons with different seeds probe a recovering
    /// endpoint at different times.
    pub fn with_seed(mut self, seed: u64) -> Self {
        self.rng = ChaCha8Rng::seed_from_u64(seed);
        self
    }

    /// Returns the share of endpoints that remains in use at least.
    pub fn min_available(&self) -> Share {
        self.min_available
    }

    /// Replaces the endpoints. The state of those that remain is kept; if too many of them are
    /// ejected, those ejected first return.
    pub fn set_endpoints(&mut self, now: Millis, ids: &[DaemonId]) -> Vec<EjectionChange> {
        let mut old = std::mem::take(&mut self.endpoints);
        for id in ids {
            let health = old.remove(id).unwrap_or_default();
            self.endpoints.insert(id.clone(), health);
        }
        let mut changes = Vec::new();
        while self.ejected() > self.max_ejected() {
            let Some(id) = self.ejected_longest() else {
                break;
            };
            changes.extend(self.reinstate(now, &id));
        }
        changes
    }

    /// Records the end of a call to `id`. Calls to ejected endpoints are ignored; only probes
    /// decide about a return.
    pub fn observe(&mut self, now: Millis, id: &DaemonId, outcome: Outcome) -> Vec<EjectionChange> {
        let Some(health) = self.endpoints.get_mut(id) else {
            return Vec::new();
        };
        if health.ejection.is_some() {
            return Vec::new();
        }
        match outcome.result {
            CallResult::Success => {
                health.record_answer(outcome.latency);
                let evaluated = health.samples % LATENCY_SAMPLES == 0;
                if evaluated && self.is_latency_outlier(id) {
                    return self.eject(now, id);
                }
            }
            CallResult::Failure => {
                health.failures += 1;
                if health.failures >= MAX_CONSECUTIVE_FAILURES {
                    return self.eject(now, id);
                }
            }
            // A refusal shows a working daemon, and a cancellation shows nothing.
            CallResult::Refused | CallResult::Draining | CallResult::Cancelled => {}
        }
        Vec::new()
    }

    /// Records that the link to `id` failed.
    pub fn link_down(&mut self, now: Millis, id: &DaemonId) -> Vec<EjectionChange> {
        self.eject(now, id)
    }

    /// Returns an ejected endpoint whose probe is due and marks the probe as sent. Send it one
    /// idempotent call, or check its link, and report the end with [`Ejector::probed`].
    pub fn next_probe(&mut self, now: Millis) -> Option<DaemonId> {
        for health in self.endpoints.values_mut() {
            let Some(ejection) = &mut health.ejection else {
                continue;
            };
            let lost = |sent: &mut Millis| now.since(*sent) >= PROBE_TIMEOUT;
            if ejection.probe_sent.as_mut().is_some_and(lost) {
                ejection.probe_failed(now, &mut self.rng);
            }
        }
        let due = |e: &Ejection| e.probe_sent.is_none() && e.next_probe <= now;
        for (id, health) in &mut self.endpoints {
            let Some(ejection) = health.ejection.as_mut().filter(|e| due(e)) else {
                continue;
            };
            ejection.probe_sent = Some(now);
            return Some(id.clone());
        }
        None
    }

    /// Records the end of a probe. A result that arrives after the probe timed out is ignored.
    pub fn probed(&mut self, now: Millis, id: &DaemonId, success: bool) -> Vec<EjectionChange> {
        let health = self.endpoints.get_mut(id);
        let Some(ejection) = health.and_then(|h| h.ejection.as_mut()) else {
            return Vec::new();
        };
        if ejection.probe_sent.is_none() {
            return Vec::new();
        }
        if !success {
            ejection.probe_failed(now, &mut self.rng);
            return Vec::new();
        }
        self.reinstate(now, id)
    }

    /// Returns whether `id` is ejected.
    pub fn is_ejected(&self, id: &DaemonId) -> bool {
        self.endpoints.get(id).is_some_and(|h| h.ejection.is_some())
    }

    /// Returns the number of ejected endpoints.
    pub fn ejected(&self) -> usize {
        let ejected = self.endpoints.values().filter(|h| h.ejection.is_some());
        ejected.count()
    }

    fn max_ejected(&self) -> usize {
        let all = u64::from(Share::ALL.0);
        let free = all.saturating_sub(u64::from(self.min_available.0));
        (self.endpoints.len() as u64 * free / all) as usize
    }

    fn eject(&mut self, now: Millis, id: &DaemonId) -> Vec<EjectionChange> {
        if self.ejected() >= self.max_ejected() {
            return Vec::new();
        }
        let Some(health) = self.endpoints.get_mut(id) else {
            return Vec::new();
        };
        if health.ejection.is_some() {
            return Vec::new();
        }
        let interval = health.first_interval(now);
        health.ejection = Some(Ejection {
            since: now,
            interval,
            next_probe: now.after(jittered(interval, &mut self.rng)),
            probe_sent: None,
        });
        vec![EjectionChange::Ejected(id.clone())]
    }

    fn reinstate(&mut self, now: Millis, id: &DaemonId) -> Vec<EjectionChange> {
        let Some(health) = self.endpoints.get_mut(id) else {
            return Vec::new();
        };
        let Some(ejection) = health.ejection.take() else {
            return Vec::new();
        };
        *health = Health {
            reinstated: Some((now, ejection.interval)),
            ..Health::default()
        };
        vec![EjectionChange::Reinstated(id.clone())]
    }

    fn ejected_longest(&self) -> Option<DaemonId> {
        let since = |h: &Health| h.ejection.as_ref().map(|e| e.since);
        let ejected = self
            .endpoints
            .iter()
            .filter_map(|(id, h)| Some((since(h)?, id)));
        ejected.min().map(|(_, id)| id.clone())
    }

    fn is_latency_outlier(&self, id: &DaemonId) -> bool {
        let Some(health) = self.endpoints.get(id) else {
            return false;
        };
        let others = self.endpoints.iter().filter(|(other, h)| {
            *other != id && h.ejection.is_none() && h.samples >= LATENCY_SAMPLES
        });
        let mut latencies: Vec<f64> = others.map(|(_, h)| h.latency).collect();
        if latencies.is_empty() {
            return false;
        }
        latencies.sort_by(f64::total_cmp);
        let median = latencies[latencies.len() / 2];
        let bound = (median * OUTLIER_RATIO).max(median + OUTLIER_MIN_DIFFERENCE.0 as f64);
        health.latency > bound
    }
}

impl Health {
    fn record_answer(&mut self, latency: Micros) {
        self.failures = 0;
        let latency = latency.0 as f64;
        if self.samples == 0 {
            self.latency = latency;
        }
        // A single extreme answer must not decide alone.
        let sample = latency.min(self.latency * 4.0);
        self.latency += (sample - self.latency) * LATENCY_WEIGHT;
        self.samples = self.samples.saturating_add(1);
    }

    /// Returns the probe interval of an ejection at `now`.
    fn first_interval(&self, now: Millis) -> Millis {
        match self.reinstated {
            Some((at, interval)) if now.since(at) < REEJECTION_WINDOW => doubled(interval),
            _ => FIRST_PROBE_INTERVAL,
        }
    }
}

impl Ejection {
    fn probe_failed(&mut self, now: Millis, rng: &mut ChaCha8Rng) {
        self.probe_sent = None;
        self.interval = doubled(self.interval);
        self.next_probe = now.after(jittered(self.interval, rng));
    }
}

fn doubled(interval: Millis) -> Millis {
    Millis(interval.0.saturating_mul(2)).min(MAX_PROBE_INTERVAL)
}

/// Returns a random time between three quarters of `interval` and `interval`.
fn jittered(interval: Millis, rng: &mut ChaCha8Rng) -> Millis {
    Millis(rng.random_range(interval.0 * 3 / 4..=interval.0))
}

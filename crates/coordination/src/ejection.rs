//! Ejection of failing endpoints at the entry daemon.
//!
//! An endpoint is ejected after consecutive failures, after the loss of its link, or when its
//! answers are far slower than those of the other endpoints. A configured share of the endpoints
//! always stays in use, since many endpoints that seem to fail at once more likely indicate a fault
//! of the entry daemon's own network. An ejected endpoint is reinstated after a successful probe.
//! The interval between probes doubles after each failed probe, and when the endpoint is ejected
//! again soon after its reinstatement.

#[cfg(test)]
mod tests;

use std::collections::BTreeMap;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use sycamoreflow_state::config::Share;
use sycamoreflow_state::ids::{DaemonId, Micros, Millis};

use crate::routing::{CallResult, Outcome};

/// Number of consecutive failures after which an endpoint is ejected.
const MAX_CONSECUTIVE_FAILURES: u32 = 5;
/// Number of answers before the first latency check of an endpoint, and between two checks.
const LATENCY_SAMPLES: u32 = 16;
/// Weight of one answer in the moving average of the latency.
const LATENCY_WEIGHT: f64 = 0.1;
/// Ratio to the median of the other endpoints above which a latency is an outlier. Upstreams of one
/// service differ widely in speed, and routing already sends fewer calls to slower ones.
const OUTLIER_RATIO: f64 = 8.0;
/// Difference from the median up to which a latency is never an outlier. It exceeds the latency of
/// a hop between data centres.
const OUTLIER_MIN_DIFFERENCE: Micros = Micros(10_000);
/// Probe interval of an endpoint that was not ejected recently.
const FIRST_PROBE_INTERVAL: Millis = Millis(1_000);
/// Maximum time between two probes.
const MAX_PROBE_INTERVAL: Millis = Millis(60_000);
/// Time after which a probe without a result is counted as failed.
const PROBE_TIMEOUT: Millis = Millis(5_000);
/// Time after a reinstatement in which another ejection doubles the previous probe interval instead
/// of starting with the first one.
const REEJECTION_WINDOW: Millis = Millis(60_000);

/// A change in the availability of an endpoint, to be passed to
/// [`crate::routing::Router::set_available`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum EjectionChange {
    /// The endpoint must receive no calls except probes.
    Ejected(DaemonId),
    /// The endpoint may receive calls again.
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
    /// Time of the latest reinstatement, and the probe interval at that time.
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
    /// Creates the state of a service without endpoints. At least the share `min_available` of its
    /// endpoints will stay in use.
    pub fn new(min_available: Share) -> Self {
        Self {
            min_available,
            rng: ChaCha8Rng::seed_from_u64(0),
            endpoints: BTreeMap::new(),
        }
    }

    /// Sets the seed of the probe jitter. Entry daemons with different seeds probe a recovering
    /// endpoint at different times.
    pub fn with_seed(mut self, seed: u64) -> Self {
        self.rng = ChaCha8Rng::seed_from_u64(seed);
        self
    }

    /// Returns the minimum share of the endpoints that stays in use.
    pub fn min_available(&self) -> Share {
        self.min_available
    }

    /// Replaces the set of endpoints. The state of those that remain is kept. If too many of them
    /// are ejected, those that were ejected earliest are reinstated.
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

    /// Records the end of a call to `id`. Calls to ejected endpoints are ignored, since only
    /// their probes decide about reinstatement.
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
            // A refusal shows that the daemon works, and a cancellation says nothing about it.
            CallResult::Refused | CallResult::Draining | CallResult::Cancelled => {}
        }
        Vec::new()
    }

    /// Records that the link to `id` failed, which ejects the endpoint unless too many are ejected.
    pub fn link_down(&mut self, now: Millis, id: &DaemonId) -> Vec<EjectionChange> {
        self.eject(now, id)
    }

    /// Returns an ejected endpoint whose probe is due and marks the probe as sent. Send it one
    /// idempotent call, or check its link, and report the result with [`Ejector::probed`].
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

    /// Records the result of a probe. A result that arrives after the probe timed out is ignored.
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
        // A single extreme answer must not cause an ejection.
        let sample = latency.min(self.latency * 4.0);
        self.latency += (sample - self.latency) * LATENCY_WEIGHT;
        self.samples = self.samples.saturating_add(1);
    }

    /// Returns the initial probe interval of an ejection at `now`.
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

//! Endpoint selection by the router and by the baseline policies.

use std::collections::BTreeMap;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use sycamoreflow_coordination::routing::{Outcome, Router, RouterConfig, Tuning};
use sycamoreflow_state::endpoint::Endpoint;
use sycamoreflow_state::ids::{DaemonId, DataCentre, Micros, Millis};

/// The endpoint selection policy of the entry daemons.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum PolicyKind {
    Learned,
    /// The learned policy without the refusal of requests that crash upstreams.
    WithoutSuspects,
    RoundRobin,
    Random,
    LeastReported,
}

impl PolicyKind {
    pub(crate) fn name(self) -> &'static str {
        match self {
            Self::Learned => "learned",
            Self::WithoutSuspects => "no-suspects",
            Self::RoundRobin => "round-robin",
            Self::Random => "random",
            Self::LeastReported => "least-reported",
        }
    }
}

/// The endpoint selection state of one entry daemon.
pub(crate) struct Policy {
    kind: PolicyKind,
    router: Router,
    rng: ChaCha8Rng,
    next: usize,
    endpoints: Vec<Endpoint>,
    reports: BTreeMap<DaemonId, u32>,
    ejected: Vec<DaemonId>,
}

impl Policy {
    pub(crate) fn new(
        kind: PolicyKind,
        tuning: &Tuning,
        daemon: DaemonId,
        data_centre: DataCentre,
        remote_latency: Micros,
        seed: u64,
    ) -> Self {
        let cfg = RouterConfig {
            daemon,
            data_centre,
            remote_latency,
            seed,
        };
        Self {
            kind,
            router: Router::with_tuning(cfg, tuning.clone()),
            rng: ChaCha8Rng::seed_from_u64(seed),
            next: seed as usize % 1_000,
            endpoints: Vec::new(),
            reports: BTreeMap::new(),
            ejected: Vec::new(),
        }
    }

    pub(crate) fn set_endpoints(&mut self, now: Millis, endpoints: &[Endpoint]) {
        self.router.set_endpoints(now, endpoints);
        self.endpoints = endpoints.to_vec();
    }

    pub(crate) fn set_available(&mut self, id: &DaemonId, available: bool) {
        self.router.set_available(id, available);
        self.ejected.retain(|ejected| ejected != id);
        if !available {
            self.ejected.push(id.clone());
        }
    }

    pub(crate) fn reported(&mut self, id: &DaemonId, in_flight: u32) {
        self.reports.insert(id.clone(), in_flight);
    }

    pub(crate) fn started(&mut self, now: Millis, id: &DaemonId) {
        self.router.started(now, id);
    }

    pub(crate) fn finished(&mut self, now: Millis, id: &DaemonId, outcome: Outcome) {
        self.router.finished(now, id, outcome);
    }

    pub(crate) fn choose(&mut self, now: Millis, exclude: &[DaemonId]) -> Option<DaemonId> {
        if matches!(self.kind, PolicyKind::Learned | PolicyKind::WithoutSuspects) {
            return self.router.choose(now, &"v1".into(), exclude);
        }
        let usable = |e: &&Endpoint| {
            !e.draining && !exclude.contains(&e.daemon) && !self.ejected.contains(&e.daemon)
        };
        let usable: Vec<&DaemonId> = self
            .endpoints
            .iter()
            .filter(usable)
            .map(|e| &e.daemon)
            .collect();
        if usable.is_empty() {
            return None;
        }
        self.next += 1;
        let index = match self.kind {
            PolicyKind::RoundRobin => self.next % usable.len(),
            PolicyKind::LeastReported => self.least_reported(&usable),
            _ => self.rng.random_range(0..usable.len()),
        };
        Some(usable[index].clone())
    }

    /// Returns the index of one of the endpoints with the lowest reported load, round-robin.
    fn least_reported(&self, usable: &[&DaemonId]) -> usize {
        let report = |id: &DaemonId| self.reports.get(id).copied().unwrap_or(0);
        let lowest = usable.iter().map(|id| report(id)).min();
        let least = |i: &usize| Some(report(usable[*i])) == lowest;
        let least: Vec<usize> = (0..usable.len()).filter(least).collect();
        least[self.next % least.len()]
    }
}

/// Applies changes such as `choices=3` to the default parameters.
///
/// Returns an error if a change has no `=`, its value is not a number, or its key is unknown.
pub(crate) fn parse_tuning(changes: &[String]) -> Result<Tuning, String> {
    let mut tuning = Tuning::default();
    for change in changes {
        let (key, value) = change
            .split_once('=')
            .ok_or("expected a parameter as KEY=VALUE")?;
        let number: f64 = value
            .parse()
            .map_err(|_| format!("value of {key} is not a number: {value}"))?;
        match key {
            "subset" => tuning.subset = number as usize,
            "choices" => tuning.choices = number as usize,
            "sample-weight" => tuning.sample_weight = number,
            "memory" => tuning.decay_time = Millis(number as u64),
            "slow-start" => tuning.slow_start = Millis(number as u64),
            "outside-every" => tuning.exploration_interval = number as u32,
            "queue-cost" => tuning.queue_cost = number,
            "queue-by-slots" => tuning.queue_by_slots = number != 0.0,
            _ => return Err(format!("unknown parameter: {key}")),
        }
    }
    Ok(tuning)
}

//! Endpoint selection at the entry daemon.

use std::collections::BTreeMap;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use sycamoreflow_state::endpoint::Endpoint;
use sycamoreflow_state::ids::{DaemonId, DataCentre, Micros, Millis, VersionName};

/// Settings of a [`Router`].
#[derive(Clone, Debug)]
pub struct RouterConfig {
    /// Identifier of the entry daemon. It decides which endpoints the daemon keeps estimates for.
    pub daemon: DaemonId,
    /// Data centre of the entry daemon.
    pub data_centre: DataCentre,
    /// One-way latency to other data centres, added to the estimate of unobserved endpoints.
    pub hop: Micros,
    /// Seed of the random choices.
    pub seed: u64,
}

/// How a call ended, as far as the choice of endpoints is concerned.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallResult {
    /// A whole answer arrived and its status is not a server error.
    Success,
    /// The call failed, timed out, or was answered with a server error.
    Failure,
    /// The owner daemon or its upstream refused the call as not run.
    Refused,
    /// The caller cancelled the call, which says nothing about the endpoint.
    Cancelled,
}

/// What the entry daemon observed about one call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Outcome {
    /// Time from sending the call to its end.
    pub latency: Micros,
    /// How the call ended.
    pub result: CallResult,
}

/// Chooses the endpoints of one service for one entry daemon.
#[derive(Debug)]
pub struct Router {
    rng: ChaCha8Rng,
    endpoints: BTreeMap<DaemonId, (Endpoint, bool)>,
}

impl Router {
    /// Makes a router without endpoints.
    pub fn new(cfg: RouterConfig) -> Self {
        Self {
            rng: ChaCha8Rng::seed_from_u64(cfg.seed),
            endpoints: BTreeMap::new(),
        }
    }

    /// Replaces the endpoints. Estimates and in-flight counts of those that remain are kept.
    pub fn set_endpoints(&mut self, _now: Millis, endpoints: &[Endpoint]) {
        self.endpoints = endpoints
            .iter()
            .map(|e| (e.daemon.clone(), (e.clone(), true)))
            .collect();
    }

    /// Marks an endpoint as ejected (`false`) or returned (`true`).
    ///
    /// Ejected endpoints are chosen only if there is no other.
    pub fn set_available(&mut self, id: &DaemonId, available: bool) {
        if let Some((_, flag)) = self.endpoints.get_mut(id) {
            *flag = available;
        }
    }

    /// Chooses an endpoint of `version` that is neither draining nor in `exclude`.
    pub fn choose(
        &mut self,
        _now: Millis,
        version: &VersionName,
        exclude: &[DaemonId],
    ) -> Option<DaemonId> {
        let usable: Vec<&DaemonId> = self
            .endpoints
            .values()
            .filter(|(e, _)| e.version == *version && !e.draining && !exclude.contains(&e.daemon))
            .map(|(e, _)| &e.daemon)
            .collect();
        if usable.is_empty() {
            return None;
        }
        let index = self.rng.random_range(0..usable.len());
        Some(usable[index].clone())
    }

    /// Records that a call was sent to `id`.
    pub fn started(&mut self, _now: Millis, _id: &DaemonId) {}

    /// Records that a call sent to `id` ended. Each call of [`Router::started`] is followed by
    /// exactly one call of this function.
    pub fn finished(&mut self, _now: Millis, _id: &DaemonId, _outcome: Outcome) {}

    /// Records the number of requests in flight that the endpoint's daemon reports.
    pub fn reported(&mut self, _now: Millis, _id: &DaemonId, _in_flight: u32) {}
}

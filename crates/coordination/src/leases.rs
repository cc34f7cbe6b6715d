//! The leader's endpoint table: leases of announced endpoints, drain marks, departures and expiry.
//!
//! The endpoints are soft state that renewals rebuild. A new leader starts with the copy that it
//! received as a subscriber and extends every lease by one period (`docs/design.md`, section 2.2).
//! Drain marks and departures are acknowledged, so they come from the log.
//!
//! Invariants: the version increases with every change that is visible to proxies, and an expiry
//! never reduces a service below the minimum set in its configuration.

use std::collections::BTreeMap;

use indexmap::IndexSet;
use serde::{Deserialize, Serialize};
use sycamoreflow_state::config::Share;
use sycamoreflow_state::endpoint::{Departure, Endpoint};
use sycamoreflow_state::ids::{DaemonId, EndpointVersion, Millis, ServiceName};

use crate::departures::Departures;
use crate::machine::drains::DrainOrders;

#[cfg(test)]
mod tests;

/// How long an announced endpoint stays in the table without a renewal.
pub const LEASE_DURATION: Millis = Millis(6_000);

/// How often a daemon renews its announcements.
pub const RENEW_INTERVAL: Millis = Millis(2_000);

/// A longer gap between two ticks means that the leader's process was paused, so that renewals
/// which arrived during the pause have not been read yet.
const PAUSE_THRESHOLD: Millis = Millis(1_000);

/// How long the number of endpoints before a mass expiry determines the minimum that is retained.
const BASELINE_PERIOD: Millis = Millis(600_000);

/// Identifies an endpoint in the table.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct EndpointKey {
    /// Daemon beside the upstream.
    pub daemon: DaemonId,
    /// Service of the upstream.
    pub service: ServiceName,
}

/// The endpoint table of the leader.
#[derive(Debug, Default)]
pub struct Leases {
    version: EndpointVersion,
    entries: BTreeMap<EndpointKey, Lease>,
    baselines: BTreeMap<ServiceName, Baseline>,
    draining_daemons: IndexSet<DaemonId>,
    departures: BTreeMap<DaemonId, Departures>,
    last_tick: Millis,
}

#[derive(Debug)]
struct Lease {
    endpoint: Endpoint,
    expires: Millis,
}

/// Number of endpoints of a service before its latest expiries.
#[derive(Debug, Default)]
struct Baseline {
    endpoints: usize,
    until: Millis,
}

/// Result of a tick.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct Expiries {
    /// Endpoints that were removed because their lease expired.
    pub removed: Vec<EndpointKey>,
    /// Number of endpoints whose lease expired and that are retained for the minimum of their
    /// service.
    pub retained: usize,
}

impl Leases {
    /// Replaces the table with a copy of the former leader's table, as the leader of `term`. `drains`
    /// are the orders in force, which the copy may lack or may outlive.
    ///
    /// Every lease starts a new period, since the daemons could not renew their leases without a
    /// leader.
    pub fn take_over(
        &mut self,
        now: Millis,
        term: u64,
        copy: impl IntoIterator<Item = Endpoint>,
        drains: &DrainOrders,
    ) {
        self.entries.clear();
        self.baselines.clear();
        self.draining_daemons = drains.iter().map(|(daemon, _)| daemon.clone()).collect();
        for mut endpoint in copy {
            if endpoint.check().is_err() {
                continue;
            }
            let is_drained = drains.contains(&endpoint.daemon);
            // An endpoint may also drain because its daemon stops, which a restarted one withdraws.
            endpoint.draining &= !endpoint.drained_by_operator;
            endpoint.draining |= is_drained;
            endpoint.drained_by_operator = is_drained;
            let lease = Lease {
                endpoint,
                expires: now.after(LEASE_DURATION),
            };
            self.entries.insert(key_of(&lease.endpoint), lease);
        }
        self.version = EndpointVersion::first(term);
        self.last_tick = now;
    }

    /// Adds a departure at `daemon` that the log has recorded; an invalid one is ignored. Its
    /// retention starts now, also if an earlier leader has recorded it. Returns whether a change is
    /// visible to proxies.
    pub fn depart(&mut self, now: Millis, daemon: &DaemonId, departure: &Departure) -> bool {
        if departure.check().is_err() {
            return false;
        }
        let known = self.departures.entry(daemon.clone()).or_default();
        let changed = known.record(now, departure);
        self.bump_version_if(changed);
        changed
    }

    /// Returns whether the table contains a departure at `daemon`.
    pub fn has_departure(&self, daemon: &DaemonId, departure: &Departure) -> bool {
        let known = self.departures.get(daemon);
        known.is_some_and(|known| known.contains(departure))
    }

    /// Renews the leases of the endpoints of `daemon`; endpoints of other daemons and invalid ones
    /// are ignored. An endpoint that is no longer announced is removed immediately, since its
    /// upstream has shut down gracefully. Returns whether a change is visible to proxies.
    pub fn renew(&mut self, now: Millis, daemon: &DaemonId, announced: &[Endpoint]) -> bool {
        let is_valid =
            |endpoint: &&Endpoint| endpoint.daemon == *daemon && endpoint.check().is_ok();
        let mut changed = false;
        let known: Vec<EndpointKey> = self.keys_of(daemon);
        for key in known {
            let is_announced = |endpoint: &Endpoint| key_of(endpoint) == key;
            if announced.iter().filter(is_valid).any(is_announced) {
                continue;
            }
            self.remove(&key);
            changed = true;
        }
        for endpoint in announced.iter().filter(is_valid) {
            changed |= self.renew_one(now, endpoint);
        }
        if announced.is_empty() {
            self.draining_daemons.shift_remove(daemon);
        }
        self.bump_version_if(changed);
        changed
    }

    /// Returns whether the endpoints of `daemon` have a drain mark.
    pub fn is_drained(&self, daemon: &DaemonId) -> bool {
        self.draining_daemons.contains(daemon)
    }

    /// Sets or clears the drain mark of all endpoints of `daemon`. Returns whether a change is
    /// visible to proxies.
    pub fn set_draining(&mut self, daemon: &DaemonId, draining: bool) -> bool {
        if draining {
            self.draining_daemons.insert(daemon.clone());
        } else {
            self.draining_daemons.shift_remove(daemon);
        }
        let mut changed = false;
        for key in self.keys_of(daemon) {
            let Some(lease) = self.entries.get_mut(&key) else {
                continue;
            };
            changed |= lease.endpoint.draining != draining;
            lease.endpoint.draining = draining;
            lease.endpoint.drained_by_operator = draining;
        }
        self.bump_version_if(changed);
        changed
    }

    /// Removes endpoints whose lease has expired. `minimum` returns the share of a service's
    /// endpoints that is retained even if their leases have expired.
    pub fn tick(&mut self, now: Millis, minimum: impl Fn(&ServiceName) -> Share) -> Expiries {
        let gap = now.since(self.last_tick);
        self.last_tick = now;
        if gap > PAUSE_THRESHOLD {
            self.extend_all(gap);
            return Expiries::default();
        }
        let mut expiries = Expiries::default();
        for (service, expired) in self.expired_by_service(now) {
            let retained_count = self.retained_for_minimum(now, &service, expired.len(), &minimum);
            expiries.retained += retained_count.min(expired.len());
            // The endpoints that were renewed most recently are the most likely to be alive.
            for key in expired.into_iter().skip(retained_count) {
                self.entries.remove(&key);
                expiries.removed.push(key);
            }
        }
        let mut departures_expired = false;
        self.departures.retain(|_, departures| {
            departures_expired |= departures.expire(now);
            !departures.is_empty()
        });
        self.bump_version_if(departures_expired || !expiries.removed.is_empty());
        expiries
    }

    /// Returns the endpoints in the table, including those retained after their lease has expired.
    pub fn endpoints(&self) -> impl Iterator<Item = &Endpoint> {
        self.entries.values().map(|lease| &lease.endpoint)
    }

    /// Returns the departures at each daemon that has any.
    pub fn departures(&self) -> impl Iterator<Item = (&DaemonId, Vec<Departure>)> {
        let now = self.last_tick;
        let departures = self.departures.iter();
        departures.map(move |(daemon, departures)| (daemon, departures.recent(now)))
    }

    /// Returns the version of the table, which increases with every change visible to proxies.
    pub fn version(&self) -> EndpointVersion {
        self.version
    }

    fn renew_one(&mut self, now: Millis, announced: &Endpoint) -> bool {
        let mut endpoint = announced.clone();
        // A drain mark stays until an operator clears it or the daemon announces no endpoints.
        endpoint.drained_by_operator = self.draining_daemons.contains(&endpoint.daemon);
        endpoint.draining |= endpoint.drained_by_operator;
        let lease = Lease {
            endpoint,
            expires: now.after(LEASE_DURATION),
        };
        let key = key_of(&lease.endpoint);
        let Some(known) = self.entries.get_mut(&key) else {
            self.entries.insert(key, lease);
            return true;
        };
        let changed = known.endpoint != lease.endpoint;
        *known = lease;
        changed
    }

    fn remove(&mut self, key: &EndpointKey) {
        self.entries.remove(key);
        if let Some(baseline) = self.baselines.get_mut(&key.service) {
            baseline.endpoints = baseline.endpoints.saturating_sub(1);
        }
    }

    fn keys_of(&self, daemon: &DaemonId) -> Vec<EndpointKey> {
        let first = EndpointKey {
            daemon: daemon.clone(),
            service: ServiceName::from(""),
        };
        let keys = self.entries.range(first..).map(|(key, _)| key);
        keys.take_while(|key| key.daemon == *daemon)
            .cloned()
            .collect()
    }

    fn extend_all(&mut self, by: Millis) {
        for lease in self.entries.values_mut() {
            lease.expires = lease.expires.after(by);
        }
    }

    /// Returns the endpoints whose lease has expired, by service, most recently renewed first.
    fn expired_by_service(&self, now: Millis) -> BTreeMap<ServiceName, Vec<EndpointKey>> {
        let mut expired: BTreeMap<ServiceName, Vec<(Millis, EndpointKey)>> = BTreeMap::new();
        for (key, lease) in &self.entries {
            if lease.expires > now {
                continue;
            }
            let of_service = expired.entry(key.service.clone()).or_default();
            of_service.push((lease.expires, key.clone()));
        }
        let sorted = expired.into_iter().map(|(service, mut keys)| {
            keys.sort_by(|a, b| b.cmp(a));
            let keys = keys.into_iter().map(|(_, key)| key).collect();
            (service, keys)
        });
        sorted.collect()
    }

    /// Returns how many endpoints with an expired lease `service` must retain to reach its minimum.
    fn retained_for_minimum(
        &mut self,
        now: Millis,
        service: &ServiceName,
        expired: usize,
        minimum: impl Fn(&ServiceName) -> Share,
    ) -> usize {
        let known = self.entries.keys();
        let total = known.filter(|key| key.service == *service).count();
        let baseline = self.baselines.entry(service.clone()).or_default();
        if baseline.until <= now {
            baseline.endpoints = total;
            baseline.until = now.after(BASELINE_PERIOD);
        }
        baseline.endpoints = baseline.endpoints.max(total);
        let required = minimum(service).ratio() * baseline.endpoints as f64;
        let required = required.ceil() as usize;
        required.saturating_sub(total - expired)
    }

    fn bump_version_if(&mut self, changed: bool) {
        if changed {
            self.version.seq += 1;
        }
    }
}

fn key_of(endpoint: &Endpoint) -> EndpointKey {
    EndpointKey {
        daemon: endpoint.daemon.clone(),
        service: endpoint.service.clone(),
    }
}

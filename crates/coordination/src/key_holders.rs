//! Selection of the daemons that hold the idempotency keys of a service.
//!
//! A group consists of three daemons, in different data centres where possible. Each record is on
//! at least two of them, so holders are replaced one at a time, with a pause in which the new
//! holder copies the records (`docs/design.md`, section 2.5).

use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet};

use sycamoreflow_state::endpoint::Endpoint;
use sycamoreflow_state::ids::{DaemonId, DataCentre, Millis, ServiceName};
use sycamoreflow_state::view::{KeyHolder, KeyHolders};

#[cfg(test)]
mod tests;

/// Number of daemons that hold the keys of a service.
pub const HOLDERS_PER_SERVICE: usize = 3;

/// How long a holder may be missing before it is replaced. It is longer than a restart takes.
pub const REPLACE_AFTER: Millis = Millis(10_000);

/// Minimum time between two replacements in a group, in which the new holder copies the records.
pub const REPLACE_INTERVAL: Millis = Millis(10_000);

/// An index of the endpoints of the mesh, for checking the groups of all services.
///
/// It is built once per check. A search through all endpoints for each service took 2.9 to 5.2 s
/// with 880 services and 14,000 endpoints, during which the leader sent no heartbeats.
#[derive(Debug, Default)]
pub struct EndpointIndex<'a> {
    daemons: HashSet<&'a DaemonId>,
    by_service: HashMap<&'a ServiceName, Vec<&'a Endpoint>>,
    /// A few endpoints of each data centre, used for services with too few endpoints of their own.
    spares: BTreeMap<&'a DataCentre, Vec<&'a Endpoint>>,
}

impl<'a> EndpointIndex<'a> {
    /// Builds the index. Draining endpoints are known but are not candidates for new holders.
    pub fn new(endpoints: impl IntoIterator<Item = &'a Endpoint>) -> Self {
        let mut index = Self::default();
        for endpoint in endpoints {
            index.daemons.insert(&endpoint.daemon);
            if endpoint.draining {
                continue;
            }
            let of_service = index.by_service.entry(&endpoint.service).or_default();
            of_service.push(endpoint);
            let spares = index.spares.entry(&endpoint.data_centre).or_default();
            if spares.len() <= HOLDERS_PER_SERVICE {
                spares.push(endpoint);
            }
        }
        index
    }

    /// Returns the endpoints that may hold the keys of `service`, starting with its own, one per
    /// daemon.
    fn candidates(&self, service: &ServiceName) -> Vec<&'a Endpoint> {
        let mut seen = BTreeSet::new();
        let own = self.by_service.get(service).into_iter().flatten();
        let all = own.chain(self.spares.values().flatten()).copied();
        all.filter(|endpoint| seen.insert(&endpoint.daemon))
            .collect()
    }
}

/// Tracks at the leader which holders are missing and when holders were replaced, for all services.
#[derive(Debug, Default)]
pub struct HolderMonitor {
    missing_since: BTreeMap<(ServiceName, DaemonId), Millis>,
    last_replaced: BTreeMap<ServiceName, Millis>,
}

impl HolderMonitor {
    /// Returns the group that is to replace `current`, or `None` if no change is due or there are
    /// too few candidates.
    ///
    /// A new leader starts with the endpoints of the former one, so a change of leader makes no
    /// holder appear missing.
    pub fn next_group(
        &mut self,
        now: Millis,
        service: &ServiceName,
        current: Option<&KeyHolders>,
        endpoints: &EndpointIndex<'_>,
    ) -> Option<KeyHolders> {
        let Some(current) = current.filter(|group| !group.daemons.is_empty()) else {
            return first_group(current, &endpoints.candidates(service));
        };
        let lost = self.lost_holder(now, service, current, endpoints)?;
        let last = self.last_replaced.get(service).copied();
        if last.is_some_and(|last| now.since(last) < REPLACE_INTERVAL) {
            return None;
        }
        let kept = current.daemons.iter().filter(|h| h.daemon != lost);
        let mut daemons: Vec<KeyHolder> = kept.cloned().collect();
        let next = choose_by_data_centre(&endpoints.candidates(service), &daemons, &lost)?;
        daemons.push(holder_at(next));
        self.last_replaced.insert(service.clone(), now);
        self.missing_since.remove(&(service.clone(), lost));
        Some(KeyHolders {
            epoch: current.epoch + 1,
            daemons,
        })
    }

    /// Returns the holder that has been missing for longest among those missing for at least
    /// [`REPLACE_AFTER`].
    fn lost_holder(
        &mut self,
        now: Millis,
        service: &ServiceName,
        current: &KeyHolders,
        endpoints: &EndpointIndex<'_>,
    ) -> Option<DaemonId> {
        let mut longest: Option<(Millis, DaemonId)> = None;
        for holder in &current.daemons {
            let key = (service.clone(), holder.daemon.clone());
            if endpoints.daemons.contains(&holder.daemon) {
                self.missing_since.remove(&key);
                continue;
            }
            let since = *self.missing_since.entry(key).or_insert(now);
            let is_lost = now.since(since) >= REPLACE_AFTER;
            if is_lost && longest.as_ref().is_none_or(|(first, _)| since < *first) {
                longest = Some((since, holder.daemon.clone()));
            }
        }
        longest.map(|(_, daemon)| daemon)
    }
}

fn first_group(current: Option<&KeyHolders>, candidates: &[&Endpoint]) -> Option<KeyHolders> {
    let mut daemons = Vec::new();
    let no_exclusion = DaemonId::from("");
    while daemons.len() < HOLDERS_PER_SERVICE {
        let next = choose_by_data_centre(candidates, &daemons, &no_exclusion)?;
        daemons.push(holder_at(next));
    }
    Some(KeyHolders {
        epoch: current.map_or(0, |group| group.epoch) + 1,
        daemons,
    })
}

/// Returns a candidate in the data centre with the fewest holders, other than `excluded` and the
/// present holders.
fn choose_by_data_centre<'a>(
    candidates: &[&'a Endpoint],
    holders: &[KeyHolder],
    excluded: &DaemonId,
) -> Option<&'a Endpoint> {
    let is_holder = |daemon: &DaemonId| holders.iter().any(|holder| holder.daemon == *daemon);
    let data_centre_of = |holder: &KeyHolder| {
        let endpoint = candidates.iter().find(|e| e.daemon == holder.daemon);
        endpoint.map(|e| &e.data_centre)
    };
    let holders_in = |data_centre: &DataCentre| {
        let occupied = holders.iter().filter_map(data_centre_of);
        occupied.filter(|other| *other == data_centre).count()
    };
    let free = candidates
        .iter()
        .filter(|e| e.daemon != *excluded && !is_holder(&e.daemon));
    free.min_by_key(|e| holders_in(&e.data_centre)).copied()
}

fn holder_at(endpoint: &Endpoint) -> KeyHolder {
    KeyHolder {
        daemon: endpoint.daemon.clone(),
        address: endpoint.address,
    }
}

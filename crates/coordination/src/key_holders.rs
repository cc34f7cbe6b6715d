//! Chooses the daemons that hold the idempotency keys of a service.
//!
//! A group has three daemons in different data centres where possible. Records are on at least
//! two of them, so holders are replaced one at a time and with a pause in which the new one copies
//! the records (`docs/design.md`, section 2.5).

use std::collections::{BTreeMap, BTreeSet};

use sycamoreflow_state::endpoint::Endpoint;
use sycamoreflow_state::ids::{DaemonId, DataCentre, Millis, ServiceName};
use sycamoreflow_state::view::{KeyHolder, KeyHolders};

#[cfg(test)]
mod tests;

/// Number of holders of a service.
pub const HOLDERS: usize = 3;

/// How long a holder may be missing before it is replaced. A restart takes less.
pub const REPLACE_AFTER: Millis = Millis(10_000);

/// Pause between two replacements in a group, so that the new holder can copy the records.
pub const REPLACE_INTERVAL: Millis = Millis(10_000);

/// Watches the holders of all services at the leader.
#[derive(Debug, Default)]
pub struct HolderWatch {
    missing: BTreeMap<(ServiceName, DaemonId), Millis>,
    replaced: BTreeMap<ServiceName, Millis>,
}

impl HolderWatch {
    /// Returns the group that is to replace `current`, or `None` if nothing has to change.
    ///
    /// `endpoints` are all endpoints of the mesh. A leader that has just taken over sees the
    /// endpoints of the former one, so no holder is missing because of the change of leader.
    pub fn next_group(
        &mut self,
        now: Millis,
        service: &ServiceName,
        current: Option<&KeyHolders>,
        endpoints: &[&Endpoint],
    ) -> Option<KeyHolders> {
        let candidates = candidates(service, endpoints);
        let Some(current) = current.filter(|group| !group.daemons.is_empty()) else {
            return first_group(current, &candidates);
        };
        let lost = self.lost_holder(now, service, current, endpoints)?;
        let last = self.replaced.get(service).copied();
        if last.is_some_and(|last| now.since(last) < REPLACE_INTERVAL) {
            return None;
        }
        let kept = current.daemons.iter().filter(|h| h.daemon != lost);
        let mut daemons: Vec<KeyHolder> = kept.cloned().collect();
        let next = spread_choice(&candidates, &daemons, &lost)?;
        daemons.push(holder_at(next));
        self.replaced.insert(service.clone(), now);
        self.missing.remove(&(service.clone(), lost));
        Some(KeyHolders {
            epoch: current.epoch + 1,
            daemons,
        })
    }

    /// Returns the holder that has been missing for longest, if that is long enough.
    fn lost_holder(
        &mut self,
        now: Millis,
        service: &ServiceName,
        current: &KeyHolders,
        endpoints: &[&Endpoint],
    ) -> Option<DaemonId> {
        let mut longest: Option<(Millis, DaemonId)> = None;
        for holder in &current.daemons {
            let key = (service.clone(), holder.daemon.clone());
            let present = endpoints.iter().any(|e| e.daemon == holder.daemon);
            if present {
                self.missing.remove(&key);
                continue;
            }
            let since = *self.missing.entry(key).or_insert(now);
            let is_lost = now.since(since) >= REPLACE_AFTER;
            if is_lost && longest.as_ref().is_none_or(|(first, _)| since < *first) {
                longest = Some((since, holder.daemon.clone()));
            }
        }
        longest.map(|(_, daemon)| daemon)
    }
}

/// Returns the endpoints that may hold keys, those of the service itself first.
fn candidates<'a>(service: &ServiceName, endpoints: &[&'a Endpoint]) -> Vec<&'a Endpoint> {
    let mut seen = BTreeSet::new();
    let (own, others): (Vec<&Endpoint>, Vec<&Endpoint>) =
        endpoints.iter().partition(|e| e.service == *service);
    let usable = own.into_iter().chain(others).filter(|e| !e.draining);
    usable.filter(|e| seen.insert(&e.daemon)).collect()
}

fn first_group(current: Option<&KeyHolders>, candidates: &[&Endpoint]) -> Option<KeyHolders> {
    let mut daemons = Vec::new();
    let nobody = DaemonId::from("");
    while daemons.len() < HOLDERS {
        let next = spread_choice(candidates, &daemons, &nobody)?;
        daemons.push(holder_at(next));
    }
    Some(KeyHolders {
        epoch: current.map_or(0, |group| group.epoch) + 1,
        daemons,
    })
}

/// Chooses an endpoint whose data centre has the fewest holders.
fn spread_choice<'a>(
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
        let homes = holders.iter().filter_map(data_centre_of);
        homes.filter(|home| *home == data_centre).count()
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

//! Evacuations of data centres, which operators order.
//!
//! While a data centre is evacuated, no daemon sends requests to its endpoints
//! (`docs/design/evacuation.md`). The order is part of the replicated state, so it survives the
//! loss of the leader and the restart of all replicas, and it needs no configuration to be in
//! force.
//!
//! An order without an identifier is applied whenever it differs from the state in force. An order
//! with one is applied once: a resend that a later order has overtaken has no effect.

use std::collections::BTreeMap;

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};
use sycamoreflow_state::endpoint::Endpoint;
use sycamoreflow_state::ids::{ConfigVersion, DataCentre, Millis, RequestId, ServiceName};
use sycamoreflow_state::operator::RemainingCapacity;
use sycamoreflow_state::view::{Evacuation, Resource, ResourceKey};

use super::{ControlState, HistoryEvent, Outcome};

#[cfg(test)]
mod tests;

/// An operator's order to evacuate a data centre, or to restore it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct EvacuationOrder {
    /// Identifier that the client of the operator chose, equal in all resends of the order. `None`
    /// if the client has none.
    pub request: Option<RequestId>,
    /// The data centre.
    pub data_centre: DataCentre,
    /// Whether to evacuate the data centre; otherwise to restore it.
    pub evacuate: bool,
    /// Time at the leader, counted from the Unix epoch.
    pub at: Millis,
}

impl EvacuationOrder {
    /// Returns the text that the stored outcome of an identified order is compared with.
    fn content(&self) -> String {
        let verb = if self.evacuate { "evacuate" } else { "restore" };
        format!("{verb} {}", self.data_centre)
    }
}

/// The latest order for a data centre.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct LatestOrder {
    /// Whether it evacuated the data centre; otherwise it restored it.
    pub evacuated: bool,
    /// Version at which it came into force.
    pub since: ConfigVersion,
    /// Time at the leader, counted from the Unix epoch.
    pub at: Millis,
}

/// The latest order for each data centre that has ever been evacuated.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Evacuations {
    orders: BTreeMap<DataCentre, LatestOrder>,
}

impl Evacuations {
    /// Returns whether a data centre has ever been evacuated. A resent order for it is acknowledged
    /// even if none of its endpoints is known any more.
    pub fn contains(&self, data_centre: &DataCentre) -> bool {
        self.orders.contains_key(data_centre)
    }

    /// Returns whether a data centre is evacuated.
    pub fn is_evacuated(&self, data_centre: &DataCentre) -> bool {
        let order = self.orders.get(data_centre);
        order.is_some_and(|order| order.evacuated)
    }

    /// Returns the evacuated data centres with the orders that evacuated them.
    pub fn active(&self) -> impl Iterator<Item = (&DataCentre, &LatestOrder)> {
        self.orders.iter().filter(|(_, order)| order.evacuated)
    }

    /// Returns what is left of each service outside the evacuated data centres, in the order in
    /// which `endpoints` names the services. Draining endpoints are not counted. Returns nothing if
    /// no data centre is evacuated.
    pub fn remaining_capacity<'a>(
        &self,
        endpoints: impl Iterator<Item = &'a Endpoint>,
    ) -> Vec<RemainingCapacity> {
        if self.active().next().is_none() {
            return Vec::new();
        }
        let mut slots: IndexMap<&ServiceName, (u64, u64)> = IndexMap::new();
        for endpoint in endpoints {
            if endpoint.draining {
                continue;
            }
            let (total, remaining) = slots.entry(&endpoint.service).or_default();
            *total += u64::from(endpoint.slots);
            if !self.is_evacuated(&endpoint.data_centre) {
                *remaining += u64::from(endpoint.slots);
            }
        }
        let capacities = slots.into_iter();
        let capacities = capacities.map(|(service, (slots, remaining))| RemainingCapacity {
            service: service.clone(),
            slots,
            remaining,
        });
        capacities.collect()
    }

    /// Returns the evacuations in force as resources of the view.
    pub(super) fn resources(&self) -> impl Iterator<Item = (ResourceKey, Resource)> {
        self.active().map(|(data_centre, order)| {
            let evacuation = Evacuation { since: order.since };
            (
                ResourceKey::Evacuation(data_centre.clone()),
                Resource::Evacuation(evacuation),
            )
        })
    }
}

impl ControlState {
    /// Applies an order. It is accepted whatever capacity remains: the operator may know that the
    /// data centre is about to fail.
    pub(super) fn apply_evacuation(&mut self, order: &EvacuationOrder) -> Outcome {
        // The outcome is stored with an empty base, since orders do not depend on a configuration.
        let base = ConfigVersion::default();
        let content = order.content();
        let request = order.request.as_ref();
        if let Some(known) = request.and_then(|id| self.requests.find(id, base, &content)) {
            return known;
        }
        let changed = self.evacuations.is_evacuated(&order.data_centre) != order.evacuate;
        if changed {
            self.version.0 += 1;
            let latest = LatestOrder {
                evacuated: order.evacuate,
                since: self.version,
                at: order.at,
            };
            self.evacuations
                .orders
                .insert(order.data_centre.clone(), latest);
            let event = HistoryEvent::Evacuation {
                data_centre: order.data_centre.clone(),
                evacuated: order.evacuate,
            };
            self.history
                .add(self.version, self.requests.log_time(order.at), event);
        }
        let outcome = self.done(changed);
        if let Some(request) = request {
            self.requests
                .record(request.clone(), base, &content, &outcome, order.at);
        }
        outcome
    }
}

//! Builds the view that the leader publishes from the replicated state and the endpoint table.

use std::collections::BTreeSet;
use std::sync::Arc;

use sycamoreflow_state::ids::{ConfigVersion, ViewVersion};
use sycamoreflow_state::view::{Resource, ResourceKey, View};

use crate::leases::Leases;
use crate::machine::ControlState;

/// The latest view of a leader. It is updated in place, so that unchanged resources are not hashed
/// again.
#[derive(Debug)]
pub struct Publication {
    view: View,
    /// Version of the configuration resources in the view. `None` until this leader has set them.
    config: Option<ConfigVersion>,
}

impl Publication {
    /// Creates a publication from the view that this replica distributed as a follower.
    pub fn new(followed_view: View) -> Self {
        Self {
            view: followed_view,
            config: None,
        }
    }

    /// Returns whether this leader has published the configuration in `state`.
    pub fn has_config(&self, state: &ControlState) -> bool {
        self.config == Some(state.version())
    }

    /// Updates the view to the current versions of the replicated state and the endpoint table, and
    /// returns a copy.
    pub fn update(&mut self, state: &ControlState, leases: &Leases) -> View {
        // Most updates change endpoints only, and the configuration can have hundreds of routes.
        if !self.has_config(state) {
            self.replace_config(state);
            self.config = Some(state.version());
        }
        self.replace_endpoint_state(leases);
        self.view.set_version(ViewVersion {
            config: state.version(),
            endpoints: leases.version(),
        });
        self.view.clone()
    }

    fn replace_config(&mut self, state: &ControlState) {
        let resources = state.resources();
        let keep: BTreeSet<&ResourceKey> = resources.iter().map(|(key, _)| key).collect();
        let stale: Vec<ResourceKey> = self
            .view
            .iter()
            .map(|(key, _)| key)
            .filter(|key| !key.has_endpoint_version() && !keep.contains(key))
            .cloned()
            .collect();
        for key in stale {
            self.view.remove(&key);
        }
        for (key, resource) in resources {
            replace_if_changed(&mut self.view, key, resource);
        }
    }

    fn replace_endpoint_state(&mut self, leases: &Leases) {
        let mut keep = BTreeSet::new();
        for endpoint in leases.endpoints() {
            let key = ResourceKey::Endpoint(endpoint.daemon.clone(), endpoint.service.clone());
            let resource = Resource::Endpoint(endpoint.clone());
            replace_if_changed(&mut self.view, key.clone(), resource);
            keep.insert(key);
        }
        for (daemon, departures) in leases.departures() {
            let key = ResourceKey::Departures(daemon.clone());
            let resource = Resource::Departures(departures);
            replace_if_changed(&mut self.view, key.clone(), resource);
            keep.insert(key);
        }
        let stale: Vec<ResourceKey> = self
            .view
            .iter()
            .map(|(key, _)| key)
            .filter(|key| key.has_endpoint_version() && !keep.contains(key))
            .cloned()
            .collect();
        for key in stale {
            self.view.remove(&key);
        }
    }
}

/// Replaces a resource only if it differs, because every insertion computes a hash.
fn replace_if_changed(view: &mut View, key: ResourceKey, resource: Resource) {
    if view.get(&key).is_some_and(|known| **known == resource) {
        return;
    }
    view.insert(key, Arc::new(resource));
}

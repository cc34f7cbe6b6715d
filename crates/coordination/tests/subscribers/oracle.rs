//! The ordered history of accepted versions, and what every enforced view must equal.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;

use sycamoreflow_coordination::leases::Leases;
use sycamoreflow_coordination::machine::ControlState;
use sycamoreflow_state::ids::{ConfigVersion, ViewVersion};
use sycamoreflow_state::view::{Interest, Resource, ResourceKey, View};

/// What happened in a case.
#[derive(Clone, Debug, Default)]
pub(crate) struct Counts {
    pub(crate) enforced: u64,
    pub(crate) leaders: u64,
    pub(crate) restarts: u64,
    pub(crate) witness_starts: u64,
    pub(crate) unconfirmed_refused: u64,
    pub(crate) stale_rejected: u64,
    pub(crate) unprotected: u64,
    pub(crate) unwitnessed: u64,
    pub(crate) below_floor: u64,
    pub(crate) drains: u64,
    pub(crate) expiries: u64,
}

impl Counts {
    pub(crate) fn add(&mut self, other: &Self) {
        self.enforced += other.enforced;
        self.leaders += other.leaders;
        self.restarts += other.restarts;
        self.witness_starts += other.witness_starts;
        self.unconfirmed_refused += other.unconfirmed_refused;
        self.stale_rejected += other.stale_rejected;
        self.unprotected += other.unprotected;
        self.unwitnessed += other.unwitnessed;
        self.below_floor += other.below_floor;
        self.drains += other.drains;
        self.expiries += other.expiries;
    }
}

#[derive(Debug, Default)]
pub(crate) struct Oracle {
    /// Accepted resources at each configuration version.
    accepted: BTreeMap<ConfigVersion, View>,
    /// Content at each published version, built anew from the accepted state and the table.
    views: HashMap<ViewVersion, View>,
    /// Highest configuration version that each subscriber has enforced.
    highest: Vec<ConfigVersion>,
    pub(crate) violation: Option<String>,
    pub(crate) counts: Counts,
}

impl Oracle {
    pub(crate) fn new(subscribers: usize) -> Self {
        // Before its first publication a replica distributes the empty view.
        let empty = View::new(Interest::All);
        Self {
            accepted: BTreeMap::from([(ConfigVersion::default(), empty.clone())]),
            views: HashMap::from([(empty.version(), empty)]),
            highest: vec![ConfigVersion::default(); subscribers],
            ..Self::default()
        }
    }

    /// Records an accepted version.
    pub(crate) fn accepted(&mut self, state: &ControlState) {
        let mut content = View::new(Interest::All);
        for (key, resource) in state.resources() {
            content.insert(key, Arc::new(resource));
        }
        let known = self.accepted.insert(state.version(), content);
        let is_next = self.accepted.len() as u64 == state.version().0 + 1;
        if known.is_some() || !is_next {
            self.fail(format!(
                "{} does not follow its predecessor",
                state.version()
            ));
        }
    }

    /// Records the content of a version that a leader publishes.
    pub(crate) fn published(&mut self, leases: &Leases, view: &View) {
        let Some(accepted) = self.accepted.get(&view.version().config) else {
            self.fail(format!("published {} was not accepted", view.version()));
            return;
        };
        let mut expected = accepted.clone();
        for endpoint in leases.endpoints() {
            let key = ResourceKey::Endpoint(endpoint.daemon.clone(), endpoint.service.clone());
            expected.insert(key, Arc::new(Resource::Endpoint(endpoint.clone())));
        }
        expected.set_version(view.version());
        if expected != *view {
            self.fail(format!(
                "published {} differs from the state",
                view.version()
            ));
        }
        let version = view.version();
        if let Some(known) = self.views.get(&version)
            && *known != expected
        {
            self.fail(format!("{version} was published with two contents"));
        }
        self.views.insert(version, expected);
    }

    /// Checks a view that a subscriber puts in force. `unprotected` tells that the design page
    /// names its present state as one without protection of the floor.
    pub(crate) fn enforced(
        &mut self,
        subscriber: usize,
        interest: &Interest,
        view: &View,
        unprotected: bool,
    ) {
        self.counts.enforced += 1;
        let version = view.version();
        let highest = self.highest[subscriber];
        if version.config < highest && unprotected {
            self.counts.unprotected += 1;
        } else if version.config < highest {
            self.fail(format!("d{subscriber} enforces {version} after {highest}"));
        }
        self.highest[subscriber] = version.config;
        if let Err(violation) = view.verify(interest) {
            self.fail(format!(
                "d{subscriber} enforces {version} without a resource: {violation}"
            ));
        }
        let Some(expected) = self.views.get(&version) else {
            self.fail(format!("d{subscriber} enforces unknown {version}"));
            return;
        };
        if expected.restrict(interest).digest() != view.digest() {
            self.fail(format!("d{subscriber} enforces other content at {version}"));
        }
    }

    /// Records the first violation.
    pub(crate) fn fail(&mut self, violation: String) {
        self.violation.get_or_insert(violation);
    }
}

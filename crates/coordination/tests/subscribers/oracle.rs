//! Checks published and enforced views against the ordered history of accepted versions.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;

use sycamoreflow_coordination::leases::Leases;
use sycamoreflow_coordination::machine::ControlState;
use sycamoreflow_state::ids::{ConfigVersion, ViewVersion};
use sycamoreflow_state::view::{Interest, Resource, ResourceKey, View};

/// Numbers of events in a test case.
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
    /// Resources without endpoints at each accepted configuration version.
    accepted: BTreeMap<ConfigVersion, View>,
    /// Expected content of each published version, computed from the accepted state and the
    /// endpoint table.
    views: HashMap<ViewVersion, View>,
    /// Configuration version that each subscriber enforced last.
    last_enforced: Vec<ConfigVersion>,
    pub(crate) violation: Option<String>,
    pub(crate) counts: Counts,
}

impl Oracle {
    pub(crate) fn new(subscribers: usize) -> Self {
        // A replica distributes the empty view until its first publication.
        let empty = View::new(Interest::All);
        Self {
            accepted: BTreeMap::from([(ConfigVersion::default(), empty.clone())]),
            views: HashMap::from([(empty.version(), empty)]),
            last_enforced: vec![ConfigVersion::default(); subscribers],
            ..Self::default()
        }
    }

    /// Records a newly accepted version and checks that it follows the previous one.
    pub(crate) fn accepted(&mut self, state: &ControlState) {
        let mut content = View::new(Interest::All);
        for (key, resource) in state.resources() {
            content.insert(key, Arc::new(resource));
        }
        let known = self.accepted.insert(state.version(), content);
        let is_next = self.accepted.len() as u64 == state.version().0 + 1;
        if known.is_some() || !is_next {
            self.fail(format!(
                "accepted {} does not follow its predecessor",
                state.version()
            ));
        }
    }

    /// Checks a view that a leader publishes, and records its expected content.
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

    /// Checks a view that a subscriber activates. If `unprotected`, the design page exempts the
    /// current state of the subscriber from the protection by the floor, and the configuration
    /// version may be lower than before.
    pub(crate) fn enforced(
        &mut self,
        subscriber: usize,
        interest: &Interest,
        view: &View,
        unprotected: bool,
    ) {
        self.counts.enforced += 1;
        let version = view.version();
        let last_enforced = self.last_enforced[subscriber];
        if version.config < last_enforced && unprotected {
            self.counts.unprotected += 1;
        } else if version.config < last_enforced {
            self.fail(format!(
                "d{subscriber} enforces {version} after {last_enforced}"
            ));
        }
        self.last_enforced[subscriber] = version.config;
        if let Err(violation) = view.verify(interest) {
            self.fail(format!(
                "d{subscriber} enforces {version} without a resource: {violation}"
            ));
        }
        let Some(expected) = self.views.get(&version) else {
            self.fail(format!("d{subscriber} enforces unpublished {version}"));
            return;
        };
        if expected.restrict(interest).digest() != view.digest() {
            self.fail(format!("d{subscriber} enforces wrong content at {version}"));
        }
    }

    /// Records a violation. Only the first one is kept.
    pub(crate) fn fail(&mut self, violation: String) {
        self.violation.get_or_insert(violation);
    }
}

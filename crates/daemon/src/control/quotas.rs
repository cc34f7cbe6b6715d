//! The quotas of client accounts at the leader, and the routes of their messages.

use std::collections::{BTreeMap, HashMap};

use sycamoreflow_coordination::machine::ControlState;
use sycamoreflow_coordination::quota::allocator::QuotaAllocator;
use sycamoreflow_coordination::quota::{AccountId, QuotaGrants, QuotaReport, Tolerance};
use sycamoreflow_state::ids::{ConfigVersion, DaemonId, Millis};

/// The quotas during one term of the leader.
#[derive(Debug)]
pub struct LeaderQuotas {
    allocator: QuotaAllocator,
    /// Version of the configuration whose quotas are in force.
    configured: Option<ConfigVersion>,
    /// Replica through which each daemon has reported last, or `None` for this one.
    routes: HashMap<DaemonId, Option<DaemonId>>,
}

/// Answers by the replica through which they are sent.
type RoutedGrants = BTreeMap<Option<DaemonId>, Vec<(DaemonId, QuotaGrants)>>;

impl LeaderQuotas {
    /// Creates the quotas of a leader that was elected at `now`.
    pub fn new(now: Millis, term: u64, tolerance: Tolerance) -> Self {
        Self {
            allocator: QuotaAllocator::new(now, term, tolerance),
            configured: None,
            routes: HashMap::new(),
        }
    }

    /// Processes a report of a daemon, which was forwarded by the replica `via`.
    pub fn report(
        &mut self,
        now: Millis,
        via: Option<&DaemonId>,
        daemon: &DaemonId,
        report: &QuotaReport,
    ) {
        self.routes.insert(daemon.clone(), via.cloned());
        self.allocator.report(now, daemon, report);
    }

    /// Returns the answers to the reports since the last call.
    pub fn tick(&mut self, now: Millis, state: &ControlState) -> RoutedGrants {
        let approved = state.approved();
        if self.configured != Some(approved.version) {
            self.configured = Some(approved.version);
            let tenants = approved.config.tenants.iter();
            let quotas = tenants.filter_map(|(name, t)| Some((AccountId::of(name), t.quota?)));
            self.allocator.configure(now, quotas);
        }
        let mut routed = RoutedGrants::new();
        for (daemon, grants) in self.allocator.tick(now) {
            let via = self.routes.get(&daemon).cloned().flatten();
            routed.entry(via).or_default().push((daemon, grants));
        }
        if !routed.is_empty() {
            let holders = self.allocator.holders() as f64;
            metrics::gauge!("sycamoreflow_quota_holders").set(holders);
        }
        routed
    }
}

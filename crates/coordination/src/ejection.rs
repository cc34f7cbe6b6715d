//! Ejection of failing endpoints at the entry daemon.

use std::collections::BTreeSet;

use sycamoreflow_state::config::Share;
use sycamoreflow_state::ids::{DaemonId, Millis};

use crate::routing::Outcome;

/// What changed about an endpoint. Pass it on to [`crate::routing::Router::set_available`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
    /// The endpoint takes no calls except probes.
    Ejected(DaemonId),
    /// The endpoint takes calls again.
    Returned(DaemonId),
}

/// Ejection state of one service at one entry daemon.
#[derive(Debug)]
pub struct Ejector {
    min_available: Share,
    ejected: BTreeSet<DaemonId>,
}

impl Ejector {
    /// Makes the state of a service without endpoints, of which at least `min_available` is to
    /// remain in use.
    pub fn new(min_available: Share) -> Self {
        Self {
            min_available,
            ejected: BTreeSet::new(),
        }
    }

    /// Returns the share of endpoints that remains in use at least.
    pub fn min_available(&self) -> Share {
        self.min_available
    }

    /// Replaces the endpoints. The state of those that remain is kept.
    pub fn set_endpoints(&mut self, _now: Millis, _ids: &[DaemonId]) -> Vec<Change> {
        Vec::new()
    }

    /// Records the end of a call to `id`.
    pub fn observe(&mut self, _now: Millis, _id: &DaemonId, _outcome: Outcome) -> Vec<Change> {
        Vec::new()
    }

    /// Records that the link to `id` failed.
    pub fn link_down(&mut self, _now: Millis, _id: &DaemonId) -> Vec<Change> {
        Vec::new()
    }

    /// Returns an ejected endpoint whose probe is due and marks the probe as sent. Send it one
    /// idempotent call, or check its link, and report the end with [`Ejector::probed`].
    pub fn next_probe(&mut self, _now: Millis) -> Option<DaemonId> {
        None
    }

    /// Records the end of a probe.
    pub fn probed(&mut self, _now: Millis, _id: &DaemonId, _success: bool) -> Vec<Change> {
        Vec::new()
    }

    /// Returns whether `id` is ejected.
    pub fn is_ejected(&self, id: &DaemonId) -> bool {
        self.ejected.contains(id)
    }
}

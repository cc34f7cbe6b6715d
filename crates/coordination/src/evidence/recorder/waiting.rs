//! Calls to the candidate that have not ended, by how long they have waited.
//!
//! Fast answers arrive first. Shortly after a step, the calls that have ended are therefore the
//! fast ones, and a version that answers slowly would look good. The waiting time of a call that
//! has not ended, or whose caller has disconnected, is a lower bound of its latency.

use indexmap::IndexMap;
use sycamoreflow_state::ids::{Millis, RouteName};

use crate::evidence::VersionEvidence;

/// Maximum number of calls in progress that are tracked. It exceeds the number that a daemon sends
/// to one service at once.
const MAX_WAITING: usize = 1_024;

#[derive(Clone, Debug, Default)]
pub(super) struct WaitingCalls {
    last_number: u64,
    calls: IndexMap<u64, WaitingCall>,
    /// Calls that timed out or whose callers disconnected, by how long they had waited.
    abandoned: IndexMap<RouteName, VersionEvidence>,
}

#[derive(Clone, Debug)]
struct WaitingCall {
    route: RouteName,
    endpoint: usize,
    since: Millis,
}

impl WaitingCalls {
    /// Starts tracking a call. Returns its number, or `None` if [`MAX_WAITING`] calls are tracked
    /// already.
    pub(super) fn start(&mut self, now: Millis, route: &RouteName, endpoint: usize) -> Option<u64> {
        if self.calls.len() >= MAX_WAITING {
            return None;
        }
        self.last_number += 1;
        let call = WaitingCall {
            route: route.clone(),
            endpoint,
            since: now,
        };
        self.calls.insert(self.last_number, call);
        Some(self.last_number)
    }

    /// Stops tracking a call that was answered.
    pub(super) fn end(&mut self, number: u64) {
        self.calls.swap_remove(&number);
    }

    /// Stops tracking a call that timed out or whose caller disconnected, and records its waiting
    /// time.
    pub(super) fn abandon(&mut self, now: Millis, number: u64) {
        let Some(call) = self.calls.swap_remove(&number) else {
            return;
        };
        let route = self.abandoned.entry(call.route).or_default();
        route.record_latency(call.endpoint, micros_since(now, call.since));
    }

    /// Removes all calls when a new share comes into force.
    pub(super) fn clear(&mut self) {
        self.calls.clear();
        self.abandoned.clear();
    }

    /// Returns how long the calls of each route have waited.
    pub(super) fn ages(&self, now: Millis) -> IndexMap<RouteName, VersionEvidence> {
        let mut routes = self.abandoned.clone();
        for call in self.calls.values() {
            let route = routes.entry(call.route.clone()).or_default();
            route.record_latency(call.endpoint, micros_since(now, call.since));
        }
        routes
    }
}

fn micros_since(now: Millis, earlier: Millis) -> u64 {
    now.since(earlier).0 * 1_000
}

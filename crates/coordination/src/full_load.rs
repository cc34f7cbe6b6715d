//! The test of a new version under its later load, at a part of its later traffic.
//!
//! A fault that depends on load does not show while all endpoints of the new version share a small part
//! of the calls. So the last step of a rollout with limited exposure sends the calls of a few endpoints
//! to as few of them: with `k` of `n` endpoints in use, they get `k / n` of the traffic at least, and each
//! has the load that it will have when the version is alone. When traffic is low, they get more: a
//! version has to stand the load that its slots allow, which it meets at busier times. The endpoints take
//! turns, so that one bad host is told from a bad version. The calls of the stable version at the same
//! time tell a fault of the new one from one that hits both.
//!
//! Daemons count turns from when the step is in force for them. They learn of it within a fraction of a
//! turn. A daemon whose room is used up sends nothing more until the rollout is decided: calls at a
//! smaller load would speak for a version that is bad at its later one.

use sycamoreflow_state::config::Share;
use sycamoreflow_state::ids::Millis;

#[cfg(test)]
mod tests;

/// Time for which endpoints are in use before the next ones are. It covers a few service times, so that
/// the load of an endpoint builds up.
pub const ROTATION_INTERVAL: Millis = Millis(800);
/// One endpoint in this many is in use at a time.
const ENDPOINTS_PER_ACTIVE: usize = 4;
/// Part of the slots in use at an endpoint under full load. Calls arrive unevenly, so that beyond it many
/// would wait for a slot.
const FULL_LOAD_UTILIZATION: f64 = 0.9;
/// One call in this many goes to the stable version also if all endpoints are in use.
const CONTROL_DIVISOR: u32 = 8;
/// Part of the traffic that a test takes at most.
const MAX_TEST_SHARE: Share = Share(Share::ALL.0 - Share::ALL.0 / CONTROL_DIVISOR);

/// The endpoints of the new version that are in use, by their rank.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ActiveEndpoints {
    first: usize,
    active: usize,
    endpoints: usize,
}

impl ActiveEndpoints {
    /// Returns the turn `elapsed` after the start of the test.
    pub fn at(elapsed: Millis, endpoints: usize) -> Self {
        let endpoints = endpoints.max(1);
        let active = active_count(endpoints);
        let rotation = (elapsed.0 / ROTATION_INTERVAL.0) as usize;
        Self {
            first: rotation * active % endpoints,
            active,
            endpoints,
        }
    }

    /// Returns whether the endpoint with this rank is in use.
    pub fn contains(self, rank: usize) -> bool {
        (rank + self.endpoints - self.first) % self.endpoints < self.active
    }
}

/// Returns the part of the traffic that brings the endpoints in use to full load. `slots` are those of all
/// endpoints, `in_progress` the calls that the whole traffic keeps in progress.
pub fn loaded_share(endpoints: usize, slots: u32, in_progress: f64) -> Share {
    let endpoints = endpoints.max(1);
    let used = f64::from(slots) * active_count(endpoints) as f64 / endpoints as f64;
    let part = FULL_LOAD_UTILIZATION * used / in_progress.max(f64::MIN_POSITIVE);
    // A conversion to an integer saturates.
    let loaded = Share((part * f64::from(Share::ALL.0)) as u32);
    loaded
        .min(MAX_TEST_SHARE)
        .max(proportional_share(endpoints))
}

/// Returns the part of the traffic that the endpoints in use have when the version is alone.
pub fn proportional_share(endpoints: usize) -> Share {
    let endpoints = endpoints.max(1);
    let part = u64::from(Share::ALL.0) * active_count(endpoints) as u64 / endpoints as u64;
    Share(part as u32).min(MAX_TEST_SHARE)
}

/// Returns the time after which each endpoint has had a turn.
pub fn duration(endpoints: usize) -> Millis {
    let endpoints = endpoints.max(1);
    Millis(endpoints.div_ceil(active_count(endpoints)) as u64 * ROTATION_INTERVAL.0)
}

/// Returns the same in seconds.
pub fn duration_seconds(endpoints: usize) -> f64 {
    duration(endpoints).0 as f64 / 1_000.0
}

fn active_count(endpoints: usize) -> usize {
    let half = ENDPOINTS_PER_ACTIVE / 2;
    ((endpoints + half) / ENDPOINTS_PER_ACTIVE).max(1)
}

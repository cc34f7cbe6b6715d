//! Test of a candidate under the load that it will have later, with only a part of the later
//! traffic.
//!
//! A fault that depends on load does not appear while all endpoints of the candidate share a small
//! part of the calls. The last step of a rollout with limited exposure therefore concentrates the
//! candidate's calls on a few endpoints: with `k` of `n` endpoints in use, these receive at least
//! `k / n` of the traffic, and each has the load that it will have when the version serves all
//! calls. When traffic is low, they receive more: a version must handle the load that its slots
//! permit, which occurs at busier times. The endpoints in use are rotated to distinguish one bad
//! host from a bad version. The calls of the stable version at the same time distinguish a fault of
//! the candidate from one that affects both versions.
//!
//! Daemons measure the rotation from the time at which the step comes into force for them. They
//! learn of it within a fraction of [`ROTATION_INTERVAL`]. A daemon whose budget is exhausted sends
//! nothing more until the rollout is decided: calls at a smaller load would make a version look
//! good that is bad under full load.

use sycamoreflow_state::config::Share;
use sycamoreflow_state::ids::Millis;

#[cfg(test)]
mod tests;

/// Time for which a set of endpoints is in use before the next one is. It covers a few service
/// times, so that the load of an endpoint builds up.
pub const ROTATION_INTERVAL: Millis = Millis(800);
/// Number of endpoints of which one is in use at a time.
const ENDPOINTS_PER_ACTIVE: usize = 4;
/// Fraction of an endpoint's slots in use under full load. Calls arrive unevenly, so many would
/// wait for a slot at a higher utilization.
const FULL_LOAD_UTILIZATION: f64 = 0.9;
/// One call in this many goes to the stable version even if all endpoints of the candidate are in
/// use.
const CONTROL_DIVISOR: u32 = 8;
/// Maximum fraction of the traffic that a test takes.
const MAX_TEST_SHARE: Share = Share(Share::ALL.0 - Share::ALL.0 / CONTROL_DIVISOR);

/// The endpoints of the candidate that are in use, by their rank.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ActiveEndpoints {
    first: usize,
    active: usize,
    endpoints: usize,
}

impl ActiveEndpoints {
    /// Returns the endpoints in use `elapsed` after the start of the test, out of `endpoints`.
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

/// Returns the fraction of the traffic that puts the endpoints in use under full load. `slots` is
/// the total of all endpoints, `in_progress` the mean number of calls in progress that the whole
/// traffic causes.
pub fn loaded_share(endpoints: usize, slots: u32, in_progress: f64) -> Share {
    let endpoints = endpoints.max(1);
    let used = f64::from(slots) * active_count(endpoints) as f64 / endpoints as f64;
    let part = FULL_LOAD_UTILIZATION * used / in_progress.max(f64::MIN_POSITIVE);
    // The conversion to an integer saturates.
    let loaded = Share((part * f64::from(Share::ALL.0)) as u32);
    loaded
        .min(MAX_TEST_SHARE)
        .max(proportional_share(endpoints))
}

/// Returns the fraction of the traffic that the endpoints in use receive when the version serves
/// all calls, with calls for the stable version left over.
pub fn proportional_share(endpoints: usize) -> Share {
    let endpoints = endpoints.max(1);
    let part = u64::from(Share::ALL.0) * active_count(endpoints) as u64 / endpoints as u64;
    Share(part as u32).min(MAX_TEST_SHARE)
}

/// Returns the time after which each endpoint has been in use.
pub fn duration(endpoints: usize) -> Millis {
    let endpoints = endpoints.max(1);
    Millis(endpoints.div_ceil(active_count(endpoints)) as u64 * ROTATION_INTERVAL.0)
}

/// Returns [`duration`] in seconds.
pub fn duration_seconds(endpoints: usize) -> f64 {
    duration(endpoints).0 as f64 / 1_000.0
}

fn active_count(endpoints: usize) -> usize {
    let half = ENDPOINTS_PER_ACTIVE / 2;
    ((endpoints + half) / ENDPOINTS_PER_ACTIVE).max(1)
}

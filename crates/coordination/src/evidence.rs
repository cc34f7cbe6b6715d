//! Evidence about versions: counts per route, kept at entry daemons and merged at the leader.
//!
//! All counts are cumulative per incarnation of a daemon and per share, so that a lost, repeated or
//! reordered report doesn't change the sum. They start again at each share, because calls of both
//! versions are comparable only while the share is constant: a failure of a dependency during a
//! small share would otherwise count mostly for the stable version, and during a large one mostly
//! for the candidate.

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};
use sycamoreflow_state::config::Share;
use sycamoreflow_state::ids::{Millis, RouteName, VersionName};

use crate::shares::ShareReport;
use histogram::Histogram;

pub use recorder::{EvidenceRecorder, LOCAL_FALSE_ALARM};

pub mod clearance;
pub mod comparison;
pub mod histogram;
pub mod recorder;
pub mod sequential;
#[cfg(test)]
mod tests;

/// Groups of endpoints of the candidate that are counted separately, in order to tell a bad host
/// from a bad version. Four keep reports small, and a majority of them is three.
pub const GROUPS: usize = 4;
/// Interval between reports of a daemon.
pub const REPORT_INTERVAL: Millis = Millis(1000);

/// How a send to an upstream ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallOutcome {
    /// The upstream answered without an error of its own (status below 500).
    Succeeded,
    /// The upstream answered with an error of its own, or no whole answer came.
    Failed,
    /// The request was refused as not run by the upstream or by the daemon beside it.
    Refused,
}

/// A finished first attempt of a call. Retries aren't recorded, because a request that fails
/// everywhere would count against the version that is tried last.
#[derive(Clone, Copy, Debug)]
pub struct FinishedCall<'a> {
    /// Route of the call.
    pub route: &'a RouteName,
    /// Version that the call was sent to.
    pub version: &'a VersionName,
    /// Rank of the endpoint among those of its version in the view, ordered by daemon.
    pub endpoint: usize,
    /// How it ended.
    pub outcome: CallOutcome,
    /// Time from the send to the whole answer, in microseconds.
    pub latency_us: u64,
}

/// Counts of calls by outcome.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "(u64, u64, u64)", into = "(u64, u64, u64)")]
pub struct Counts {
    /// All calls.
    pub calls: u64,
    /// Calls that failed.
    pub failures: u64,
    /// Calls that were refused.
    pub refusals: u64,
}

/// Counts of a route for both versions.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "WireRoute", into = "WireRoute")]
pub struct RouteEvidence {
    /// Calls of the stable version.
    pub stable: Counts,
    /// Latency of its successful calls.
    pub stable_latency: Histogram,
    /// Calls of the candidate by group of endpoints, at most [`GROUPS`].
    pub candidate: Vec<Counts>,
    /// Latency of its successful calls, by the same groups.
    pub candidate_latency: Vec<Histogram>,
}

/// Evidence of one rollout at a daemon, cumulative since its current share is in force there.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RolloutEvidence {
    /// Number of the rollout.
    #[serde(rename = "n")]
    pub rollout: u64,
    /// Share that was in force when the calls were counted.
    #[serde(rename = "h")]
    pub share: Share,
    /// Account of the exact share.
    #[serde(rename = "s")]
    pub shares: ShareReport,
    /// Whether this daemon has stopped traffic to the candidate by itself.
    #[serde(rename = "x")]
    pub cut_off: bool,
    /// Some of the routes, or all of them.
    #[serde(rename = "r")]
    pub routes: IndexMap<RouteName, RouteEvidence>,
}

/// The evidence that a daemon reports every [`REPORT_INTERVAL`].
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EvidenceReport {
    /// Incarnation of the daemon.
    #[serde(rename = "i")]
    pub incarnation: u64,
    /// Rollouts with traffic through this daemon.
    #[serde(rename = "r")]
    pub rollouts: Vec<RolloutEvidence>,
}

type WireCounts = (u64, u64, u64);
type WireRoute = (Counts, Histogram, Vec<(Counts, Histogram)>);

impl From<WireCounts> for Counts {
    fn from((calls, failures, refusals): WireCounts) -> Self {
        Self {
            calls,
            failures,
            refusals,
        }
    }
}

impl From<Counts> for WireCounts {
    fn from(counts: Counts) -> Self {
        (counts.calls, counts.failures, counts.refusals)
    }
}

impl From<WireRoute> for RouteEvidence {
    fn from((stable, stable_latency, groups): WireRoute) -> Self {
        let (candidate, candidate_latency) = groups.into_iter().take(GROUPS).unzip();
        Self {
            stable,
            stable_latency,
            candidate,
            candidate_latency,
        }
    }
}

impl From<RouteEvidence> for WireRoute {
    fn from(route: RouteEvidence) -> Self {
        let groups = route.candidate.into_iter().zip(route.candidate_latency);
        (route.stable, route.stable_latency, groups.collect())
    }
}

impl Counts {
    fn record(&mut self, outcome: CallOutcome) {
        self.calls += 1;
        match outcome {
            CallOutcome::Succeeded => {}
            CallOutcome::Failed => self.failures += 1,
            CallOutcome::Refused => self.refusals += 1,
        }
    }

    fn merge(&mut self, other: &Self) {
        self.calls = self.calls.saturating_add(other.calls);
        self.failures = self.failures.saturating_add(other.failures);
        self.refusals = self.refusals.saturating_add(other.refusals);
    }

    fn since(&self, earlier: &Self) -> Self {
        Self {
            calls: self.calls.saturating_sub(earlier.calls),
            failures: self.failures.saturating_sub(earlier.failures),
            refusals: self.refusals.saturating_sub(earlier.refusals),
        }
    }
}

impl RouteEvidence {
    /// Counts a call with its latency.
    pub fn record(&mut self, call: &FinishedCall<'_>, to_candidate: bool) {
        let group = self.count(call, to_candidate);
        if call.outcome != CallOutcome::Succeeded {
            return;
        }
        match group {
            Some(group) => self.candidate_latency[group].record(call.latency_us),
            None => self.stable_latency.record(call.latency_us),
        }
    }

    /// Counts a call without its latency. Returns the group of its endpoint.
    fn count(&mut self, call: &FinishedCall<'_>, to_candidate: bool) -> Option<usize> {
        if !to_candidate {
            self.stable.record(call.outcome);
            return None;
        }
        let group = call.endpoint % GROUPS;
        self.reserve(group + 1);
        self.candidate[group].record(call.outcome);
        Some(group)
    }

    /// Returns whether nothing was counted.
    pub fn is_empty(&self) -> bool {
        self.stable.calls == 0 && self.candidate_calls() == 0
    }

    /// Returns the calls of the candidate.
    pub fn candidate_calls(&self) -> u64 {
        self.candidate.iter().map(|counts| counts.calls).sum()
    }

    /// Adds the counts of other calls.
    pub fn merge(&mut self, other: &Self) {
        self.stable.merge(&other.stable);
        self.stable_latency.merge(&other.stable_latency);
        self.reserve(other.candidate.len());
        let groups = other.candidate.iter().zip(&other.candidate_latency);
        for (group, (counts, latency)) in groups.enumerate() {
            self.candidate[group].merge(counts);
            self.candidate_latency[group].merge(latency);
        }
    }

    /// Returns what these cumulative counts have more than earlier ones.
    pub fn since(&self, earlier: &Self) -> Self {
        let no_counts = Counts::default();
        let no_latency = Histogram::default();
        let counts = self.candidate.iter().enumerate().map(|(group, counts)| {
            counts.since(earlier.candidate.get(group).unwrap_or(&no_counts))
        });
        let latency = self.candidate_latency.iter().enumerate();
        let latency = latency.map(|(group, latency)| {
            latency.since(earlier.candidate_latency.get(group).unwrap_or(&no_latency))
        });
        Self {
            stable: self.stable.since(&earlier.stable),
            stable_latency: self.stable_latency.since(&earlier.stable_latency),
            candidate: counts.collect(),
            candidate_latency: latency.collect(),
        }
    }

    /// Removes the latencies, for calls that must not count as slow.
    pub fn without_latency(mut self) -> Self {
        self.stable_latency = Histogram::default();
        self.candidate_latency.fill(Histogram::default());
        self
    }

    /// Returns an upper bound of the encoded size in bytes for counts below 2³² per bucket.
    pub fn encoded_size(&self) -> usize {
        const COUNTS: usize = 16;
        const BUCKET: usize = 7;
        let buckets: usize = self.candidate_latency.iter().map(Histogram::len).sum();
        COUNTS * (1 + self.candidate.len()) + BUCKET * (buckets + self.stable_latency.len())
    }

    fn reserve(&mut self, groups: usize) {
        if self.candidate.len() < groups {
            self.candidate.resize(groups, Counts::default());
            self.candidate_latency.resize(groups, Histogram::default());
        }
    }
}

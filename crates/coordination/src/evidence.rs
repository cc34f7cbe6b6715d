//! Call statistics of the versions in a rollout: counted per route at the entry daemons and merged
//! at the leader.
//!
//! All counts are cumulative per incarnation of a daemon and per share, so that a lost, repeated or
//! reordered report doesn't change the sum. They restart at each share, because the calls of both
//! versions are comparable only while the share is constant: a failure of a dependency counts
//! mostly for the stable version while the share is small, and mostly for the candidate while it is
//! large.

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};
use sycamoreflow_state::config::{Share, TrafficSplit};
use sycamoreflow_state::ids::{Millis, RouteName, VersionName};

use crate::shares::ShareReport;
use histogram::Histogram;

pub use recorder::{EvidenceRecorder, LOCAL_FALSE_ALARM};

pub mod comparison;
pub mod histogram;
pub mod odds;
pub mod recorder;
pub mod sequential;
#[cfg(test)]
mod tests;

/// Number of endpoint groups of a version that are counted separately, to distinguish a bad host
/// from a bad version. Four groups keep reports small, and a majority of them is three.
pub const GROUPS: usize = 4;
/// Interval between the reports of a daemon.
pub const REPORT_INTERVAL: Millis = Millis(1000);
/// Interval between reports during a short rollout, whose later steps take about two seconds.
pub const SHORT_ROLLOUT_REPORT_INTERVAL: Millis = Millis(400);
/// Rollouts of at most this length are short. They stay at the first share for as long as possible:
/// with evenly spaced steps, a fault that begins late would reach most of the traffic.
pub const SHORT_ROLLOUT_WINDOW: Millis = Millis(60_000);

/// Result of sending a call to an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallOutcome {
    /// The upstream answered with a status below 500.
    Succeeded,
    /// The upstream answered with a status of 500 or above, or the answer was incomplete or
    /// missing.
    Failed,
    /// No answer arrived before the deadline of the call.
    TimedOut,
    /// The upstream, or the daemon beside it, refused the request without running it.
    Refused,
}

/// A finished first attempt of a call. Retries aren't recorded: a request that fails everywhere
/// would count against the version that is tried last.
#[derive(Clone, Copy, Debug)]
pub struct FinishedCall<'a> {
    /// Route of the call.
    pub route: &'a RouteName,
    /// Version that the call was sent to.
    pub version: &'a VersionName,
    /// Rank of the endpoint among the endpoints of its version in the view, ordered by daemon.
    pub endpoint: usize,
    /// Result of the call.
    pub outcome: CallOutcome,
    /// Time from sending the request until the answer is complete, in microseconds.
    pub latency_us: u64,
}

/// A first attempt of a call that is being sent.
#[derive(Clone, Copy, Debug)]
pub struct StartedCall<'a> {
    /// Route of the call.
    pub route: &'a RouteName,
    /// Version that the call is sent to.
    pub version: &'a VersionName,
    /// Rank of the endpoint among the endpoints of its version in the view, ordered by daemon.
    pub endpoint: usize,
}

/// Numbers of calls by outcome.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "WireCounts", into = "WireCounts")]
pub struct Counts {
    /// Number of calls, whatever their outcome.
    pub calls: u64,
    /// Calls that failed, including those that timed out.
    pub failures: u64,
    /// Calls that were refused without being run.
    pub refusals: u64,
    /// Failed calls that got no answer before their deadline. They can indicate a slow version as
    /// well as a failing one.
    pub timeouts: u64,
}

/// Statistics of the calls to one group of endpoints.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "(Counts, Histogram)", into = "(Counts, Histogram)")]
pub struct GroupEvidence {
    /// Numbers of calls by outcome.
    pub counts: Counts,
    /// Latencies of the successful calls; for the stable version also of the calls that timed out.
    pub latency: Histogram,
}

/// Statistics of the calls of one version on a route by group of endpoints, at most [`GROUPS`].
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "Vec<GroupEvidence>", into = "Vec<GroupEvidence>")]
pub struct VersionEvidence {
    groups: Vec<GroupEvidence>,
}

/// Statistics of the calls of both versions on a route.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(
    from = "(VersionEvidence, VersionEvidence)",
    into = "(VersionEvidence, VersionEvidence)"
)]
pub struct RouteEvidence {
    /// Calls of the stable version.
    pub stable: VersionEvidence,
    /// Calls of the candidate.
    pub candidate: VersionEvidence,
}

/// Statistics of one rollout at a daemon, cumulative since the current share came into force there.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RolloutEvidence {
    /// Number of the rollout.
    #[serde(rename = "n")]
    pub rollout: u64,
    /// Share that was in force while the calls were counted.
    #[serde(rename = "h")]
    pub share: Share,
    /// The daemon's account of its share of the traffic.
    #[serde(rename = "s")]
    pub shares: ShareReport,
    /// Whether this daemon has stopped its traffic to the candidate by its own decision.
    #[serde(rename = "x")]
    pub cut_off: bool,
    /// Statistics by route. A report may contain only some of the routes.
    #[serde(rename = "r")]
    pub routes: IndexMap<RouteName, RouteEvidence>,
    /// How long calls of the candidate on these routes have waited. Contains calls that are not
    /// answered yet and calls that timed out or whose callers disconnected.
    #[serde(rename = "w")]
    pub waiting: IndexMap<RouteName, VersionEvidence>,
}

/// Returns the interval between reports while the candidate of `split` is rolled out.
pub fn report_interval(split: &TrafficSplit) -> Millis {
    match &split.candidate {
        Some(candidate) if candidate.window <= SHORT_ROLLOUT_WINDOW => {
            SHORT_ROLLOUT_REPORT_INTERVAL
        }
        _ => REPORT_INTERVAL,
    }
}

/// Statistics that a daemon sends to the leader at every [`report_interval`].
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

type WireCounts = (u64, u64, u64, u64);

impl From<WireCounts> for Counts {
    fn from((calls, failures, refusals, timeouts): WireCounts) -> Self {
        Self {
            calls,
            failures,
            refusals,
            timeouts,
        }
    }
}

impl From<Counts> for WireCounts {
    fn from(counts: Counts) -> Self {
        (
            counts.calls,
            counts.failures,
            counts.refusals,
            counts.timeouts,
        )
    }
}

impl From<(Counts, Histogram)> for GroupEvidence {
    fn from((counts, latency): (Counts, Histogram)) -> Self {
        Self { counts, latency }
    }
}

impl From<GroupEvidence> for (Counts, Histogram) {
    fn from(group: GroupEvidence) -> Self {
        (group.counts, group.latency)
    }
}

impl From<Vec<GroupEvidence>> for VersionEvidence {
    /// Drops groups beyond [`GROUPS`], which bounds the memory used for received reports.
    fn from(mut groups: Vec<GroupEvidence>) -> Self {
        groups.truncate(GROUPS);
        Self { groups }
    }
}

impl From<VersionEvidence> for Vec<GroupEvidence> {
    fn from(version: VersionEvidence) -> Self {
        version.groups
    }
}

impl From<(VersionEvidence, VersionEvidence)> for RouteEvidence {
    fn from((stable, candidate): (VersionEvidence, VersionEvidence)) -> Self {
        Self { stable, candidate }
    }
}

impl From<RouteEvidence> for (VersionEvidence, VersionEvidence) {
    fn from(route: RouteEvidence) -> Self {
        (route.stable, route.candidate)
    }
}

impl Counts {
    fn record(&mut self, outcome: CallOutcome) {
        self.calls += 1;
        match outcome {
            CallOutcome::Succeeded => {}
            CallOutcome::Failed => self.failures += 1,
            CallOutcome::TimedOut => {
                self.failures += 1;
                self.timeouts += 1;
            }
            CallOutcome::Refused => self.refusals += 1,
        }
    }

    /// Returns the number of failures that are not timeouts.
    fn errors(&self) -> u64 {
        self.failures.saturating_sub(self.timeouts)
    }

    fn merge(&mut self, other: &Self) {
        self.calls = self.calls.saturating_add(other.calls);
        self.failures = self.failures.saturating_add(other.failures);
        self.refusals = self.refusals.saturating_add(other.refusals);
        self.timeouts = self.timeouts.saturating_add(other.timeouts);
    }

    fn since(&self, earlier: &Self) -> Self {
        Self {
            calls: self.calls.saturating_sub(earlier.calls),
            failures: self.failures.saturating_sub(earlier.failures),
            refusals: self.refusals.saturating_sub(earlier.refusals),
            timeouts: self.timeouts.saturating_sub(earlier.timeouts),
        }
    }
}

impl VersionEvidence {
    /// Returns the statistics of the groups; an endpoint belongs to the group `rank % GROUPS`.
    pub fn groups(&self) -> &[GroupEvidence] {
        &self.groups
    }

    /// Returns the number of calls in all groups.
    pub fn calls(&self) -> u64 {
        self.groups.iter().map(|group| group.counts.calls).sum()
    }

    /// Returns the number of calls that failed, were refused, or have a known latency.
    fn evaluated_calls(&self) -> u64 {
        let evaluated = |group: &GroupEvidence| {
            group.counts.failures + group.counts.refusals + group.latency.total()
        };
        self.groups.iter().map(evaluated).sum()
    }

    /// Returns the counts summed over all groups.
    pub fn totals(&self) -> Counts {
        let mut totals = Counts::default();
        for group in &self.groups {
            totals.merge(&group.counts);
        }
        totals
    }

    /// Returns the latencies merged over all groups.
    pub fn latency(&self) -> Histogram {
        let mut latency = Histogram::default();
        for group in &self.groups {
            latency.merge(&group.latency);
        }
        latency
    }

    /// Returns whether the latency of any call is known.
    pub fn has_latency(&self) -> bool {
        self.groups.iter().any(|group| !group.latency.is_empty())
    }

    /// Counts a call without its latency. Returns the group of its endpoint.
    fn count(&mut self, call: &FinishedCall<'_>) -> &mut GroupEvidence {
        let group = self.group_of(call.endpoint);
        group.counts.record(call.outcome);
        group
    }

    /// Records a latency without counting a call.
    fn record_latency(&mut self, endpoint: usize, latency_us: u64) {
        self.group_of(endpoint).latency.record(latency_us);
    }

    fn group_of(&mut self, endpoint: usize) -> &mut GroupEvidence {
        let group = endpoint % GROUPS;
        self.ensure_groups(group + 1);
        &mut self.groups[group]
    }

    pub(crate) fn merge(&mut self, other: &Self) {
        self.ensure_groups(other.groups.len());
        for (group, other) in self.groups.iter_mut().zip(&other.groups) {
            group.counts.merge(&other.counts);
            group.latency.merge(&other.latency);
        }
    }

    fn since(&self, earlier: &Self) -> Self {
        let empty = GroupEvidence::default();
        let groups = self.groups.iter().enumerate().map(|(index, group)| {
            let earlier = earlier.groups.get(index).unwrap_or(&empty);
            GroupEvidence {
                counts: group.counts.since(&earlier.counts),
                latency: group.latency.since(&earlier.latency),
            }
        });
        Self {
            groups: groups.collect(),
        }
    }

    fn encoded_size(&self) -> usize {
        const COUNTS_BYTES: usize = 21;
        const BUCKET_BYTES: usize = 7;
        let size = |group: &GroupEvidence| COUNTS_BYTES + BUCKET_BYTES * group.latency.len();
        self.groups.iter().map(size).sum()
    }

    fn ensure_groups(&mut self, groups: usize) {
        if self.groups.len() < groups {
            self.groups.resize(groups, GroupEvidence::default());
        }
    }
}

impl RouteEvidence {
    /// Counts a call with its latency. Calls that time out are the slowest ones: without their
    /// latency, a version whose slow calls time out would look fast. For the candidate, such calls
    /// are reported as waiting calls instead.
    pub fn record(&mut self, call: &FinishedCall<'_>, to_candidate: bool) {
        let group = self.count(call, to_candidate);
        let has_latency = match call.outcome {
            CallOutcome::Succeeded => true,
            CallOutcome::TimedOut => !to_candidate,
            CallOutcome::Failed | CallOutcome::Refused => false,
        };
        if has_latency {
            group.latency.record(call.latency_us);
        }
    }

    /// Counts a call without its latency. Returns the group of its endpoint.
    fn count(&mut self, call: &FinishedCall<'_>, to_candidate: bool) -> &mut GroupEvidence {
        match to_candidate {
            true => self.candidate.count(call),
            false => self.stable.count(call),
        }
    }

    /// Returns whether no calls were counted.
    pub fn is_empty(&self) -> bool {
        self.stable.calls() == 0 && self.candidate.calls() == 0
    }

    /// Adds the statistics of other calls.
    pub fn merge(&mut self, other: &Self) {
        self.stable.merge(&other.stable);
        self.candidate.merge(&other.candidate);
    }

    /// Returns the difference between these cumulative counts and earlier ones.
    pub fn since(&self, earlier: &Self) -> Self {
        Self {
            stable: self.stable.since(&earlier.stable),
            candidate: self.candidate.since(&earlier.candidate),
        }
    }

    /// Removes the latencies, so that the calls are not evaluated for slowness.
    pub fn without_latency(mut self) -> Self {
        let groups = self.stable.groups.iter_mut();
        for group in groups.chain(&mut self.candidate.groups) {
            group.latency = Histogram::default();
        }
        self
    }

    /// Returns an upper bound of the encoded size in bytes for counts below 2³² per bucket.
    pub fn encoded_size(&self) -> usize {
        self.stable.encoded_size() + self.candidate.encoded_size()
    }
}

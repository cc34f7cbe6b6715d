//! Evidence about versions: counts per route, kept at entry daemons and merged at the leader.

use serde::{Deserialize, Serialize};
use sycamoreflow_state::config::{RolloutRule, TrafficSplit};
use sycamoreflow_state::ids::{Millis, RouteName, VersionName};

use crate::shares::ShareReport;

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

/// Evidence of one rollout at a daemon, cumulative since its current share is in force there.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RolloutEvidence {
    /// Number of the rollout.
    #[serde(rename = "n")]
    pub rollout: u64,
    /// Account of the exact share.
    #[serde(rename = "s")]
    pub shares: ShareReport,
    /// Whether this daemon has stopped traffic to the candidate by itself.
    #[serde(rename = "x")]
    pub cut_off: bool,
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

/// Interval between reports of a daemon.
pub const REPORT_INTERVAL: Millis = Millis(1000);

/// The evidence of one service at an entry daemon, with its local cut-off.
#[derive(Clone, Debug)]
pub struct EvidenceRecorder {}

impl EvidenceRecorder {
    /// Starts without evidence.
    pub fn new() -> Self {
        Self {}
    }

    /// Counts a finished call. Returns the rollout that is to be stopped here, if the candidate is
    /// clearly bad.
    pub fn record(
        &mut self,
        now: Millis,
        split: &TrafficSplit,
        rule: &RolloutRule,
        call: &FinishedCall<'_>,
    ) -> Option<u64> {
        let _ = (now, split, rule, call);
        None
    }

    /// Returns whether the candidate has been cut off here.
    pub fn is_cut_off(&self, rollout: u64) -> bool {
        let _ = rollout;
        false
    }

    /// Returns the evidence for the report, or `None` if no rollout is known here.
    pub fn report(&mut self, shares: ShareReport) -> Option<RolloutEvidence> {
        let _ = shares;
        None
    }
}

impl Default for EvidenceRecorder {
    fn default() -> Self {
        Self::new()
    }
}

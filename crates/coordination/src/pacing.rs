//! The leader's soft part of rollouts: it merges reports, decides steps and take-backs, and
//! grants credits.

use serde::{Deserialize, Serialize};
use sycamoreflow_state::ids::{DaemonId, Millis, ServiceName, VersionName};

use crate::evidence::EvidenceReport;
use crate::rollout::{RolloutCommand, Rollouts};
use crate::shares::Grant;

/// Endpoints of one version that can take calls.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Capacity {
    /// Number of endpoints that aren't draining.
    pub endpoints: u32,
    /// Sum of their slots.
    pub slots: u32,
}

/// Why a rollout is not moving on, as shown to the operator.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Waiting {
    /// Nothing is missing; the plan says when the next step is due.
    OnPlan,
    /// Too few calls have been reported at this step.
    Evidence,
    /// The new version has too few endpoints for the next share.
    Endpoints,
    /// The evidence speaks against the new version, without being sufficient.
    Suspicion,
    /// Too few daemons have reported since this leader took over.
    Reports,
    /// The finish time has passed with too little traffic, and the rule says to stay.
    LowTraffic,
}

/// What the leader expects of a rollout.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct Outlook {
    /// What the next step waits for.
    pub waiting: Waiting,
    /// When the next step is due by the plan.
    pub next_step: Millis,
    /// When the new version is expected to have all traffic, if the calls reported so far allow
    /// an estimate.
    pub expected_finish: Option<Millis>,
    /// Whether the finish time is expected to be missed.
    pub late: bool,
}

/// Decides the pace of all rollouts at the leader. A new leader starts with an empty one.
#[derive(Clone, Debug)]
pub struct Pacer {}

impl Pacer {
    /// Starts without evidence. `term` is the term of this leader.
    pub fn new(term: u64) -> Self {
        let _ = term;
        Self {}
    }

    /// Takes in the report of a daemon.
    pub fn report(&mut self, now: Millis, daemon: &DaemonId, report: &EvidenceReport) {
        let _ = (now, daemon, report);
    }

    /// Decides once per [`REPORT_INTERVAL`](crate::evidence::REPORT_INTERVAL). `now` counts from
    /// the Unix epoch. The commands are proposed to the log; a command that is lost is decided
    /// again at a later tick.
    pub fn tick(
        &mut self,
        now: Millis,
        rollouts: &Rollouts,
        capacity: impl Fn(&ServiceName, &VersionName) -> Capacity,
    ) -> Vec<RolloutCommand> {
        let _ = (now, rollouts, capacity);
        Vec::new()
    }

    /// Returns the grants to send now.
    pub fn grants(&mut self, now: Millis) -> Vec<(DaemonId, Grant)> {
        let _ = now;
        Vec::new()
    }

    /// Returns what is expected of a running rollout, after the first tick that saw it.
    pub fn outlook(&self, rollout: u64) -> Option<Outlook> {
        let _ = rollout;
        None
    }
}

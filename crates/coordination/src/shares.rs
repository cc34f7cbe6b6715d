//! Exact shares: the calls that a candidate receives never exceed share × calls over the mesh.

use serde::{Deserialize, Serialize};
use sycamoreflow_state::config::{Share, TrafficSplit};
use sycamoreflow_state::ids::{DaemonId, Millis, VersionName};

/// Whether a send is the first attempt of a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Attempt {
    /// The first send. Only these count as calls in share × calls.
    First,
    /// A later send of the same call.
    Retry,
}

/// A daemon's account of one service's rollout, as it is reported to the leader.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "(u64, u32, u64, u64, u64)", into = "(u64, u32, u64, u64, u64)")]
pub struct ShareReport {
    /// Term of the leader to which the units below were ceded.
    pub term: u64,
    /// Share in parts per million, which identifies the step at the daemon.
    pub share: u32,
    /// Calls since the share is in force here.
    pub calls: u64,
    /// Calls sent to the candidate since the share is in force here.
    pub candidate: u64,
    /// Units (millionths of a call) ceded to the leader of `term` at this share.
    pub ceded: u64,
}

impl From<(u64, u32, u64, u64, u64)> for ShareReport {
    fn from((term, share, calls, candidate, ceded): (u64, u32, u64, u64, u64)) -> Self {
        Self {
            term,
            share,
            calls,
            candidate,
            ceded,
        }
    }
}

impl From<ShareReport> for (u64, u32, u64, u64, u64) {
    fn from(report: ShareReport) -> Self {
        (
            report.term,
            report.share,
            report.calls,
            report.candidate,
            report.ceded,
        )
    }
}

/// Whole-call credits for a daemon. The count is cumulative, so that a lost, repeated or late
/// grant is harmless.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct Grant {
    /// Term of the granting leader.
    pub term: u64,
    /// Incarnation of the daemon.
    pub incarnation: u64,
    /// Number of the rollout.
    pub rollout: u64,
    /// Share of the step in parts per million.
    pub share: u32,
    /// Credits granted to this incarnation in this term at this share so far.
    pub credits: u64,
    /// How long the new credits may be used after their receipt.
    pub valid_for: Millis,
}

/// The account of one service at an entry daemon.
#[derive(Clone, Debug)]
pub struct ShareCounter {}

impl ShareCounter {
    /// Starts an account. `incarnation` differs between any two starts of the daemon.
    pub fn new(incarnation: u64) -> Self {
        let _ = incarnation;
        Self {}
    }

    /// Chooses the version for one send and counts it.
    pub fn pick(&mut self, now: Millis, split: &TrafficSplit, attempt: Attempt) -> VersionName {
        let _ = (now, attempt);
        split.stable.clone()
    }

    /// Returns the allowance of a send to the candidate that did not leave this daemon.
    pub fn unsent(&mut self, rollout: u64) {
        let _ = rollout;
    }

    /// Stops all traffic from this daemon to the candidate of `rollout`.
    pub fn stop(&mut self, rollout: u64) {
        let _ = rollout;
    }

    /// Cedes what cannot be used here and returns the account for the report.
    pub fn report(&mut self, now: Millis) -> ShareReport {
        let _ = now;
        ShareReport::default()
    }

    /// Takes credits. Returns whether the grant was meant for this account.
    pub fn grant(&mut self, now: Millis, grant: &Grant) -> bool {
        let _ = (now, grant);
        false
    }
}

/// The leader's pool of one rollout.
#[derive(Clone, Debug)]
pub struct CreditPool {}

impl CreditPool {
    /// Starts an empty pool for a rollout at a share.
    pub fn new(term: u64, rollout: u64, share: Share) -> Self {
        let _ = (term, rollout, share);
        Self {}
    }

    /// Takes in a daemon's account.
    pub fn report(
        &mut self,
        now: Millis,
        daemon: &DaemonId,
        incarnation: u64,
        report: &ShareReport,
    ) {
        let _ = (now, daemon, incarnation, report);
    }

    /// Returns the grants to send now.
    pub fn grants(&mut self, now: Millis) -> Vec<(DaemonId, Grant)> {
        let _ = now;
        Vec::new()
    }
}

//! Account of the calls that a rollout may expose to its candidate at one entry daemon.
//!
//! Each answered call of the service earns the permitted fraction of a call, and each send to the
//! candidate costs a whole one. The candidate therefore never receives more than its fraction of
//! the calls, at any daemon and at any time. This holds regardless of late decisions, lost leaders,
//! lost reports and rises of traffic.
//!
//! Budget that is not used while the share is small is used at full share: the candidate receives
//! the whole load for a short time. A restarted daemon starts without the budget that it had
//! earned.
//!
//! A test adds a few calls to each daemon's budget: the daemon's part of those that the rule
//! permits beyond the share. Only daemons that already knew the rollout receive them, because a
//! daemon that restarts during a test may have used them before. The leader reserves
//! [`SLACK_RESERVE`] of them for daemons that it does not know.

use sycamoreflow_state::config::{ExposureLimit, Share};
use sycamoreflow_state::ids::Millis;

use super::UNITS_PER_CALL;

#[cfg(test)]
mod tests;

/// Fraction of the exposure slack that is not assigned to daemons.
pub const SLACK_RESERVE: f64 = 0.2;

/// Numbers of calls since a daemon learned of a rollout.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Exposed {
    /// Calls of the service that an upstream has answered.
    pub answered: u64,
    /// Calls sent to the candidate.
    pub sent: u64,
}

impl Exposed {
    /// Returns the number of calls that the candidate may still receive if the limit is `share` of
    /// the answered calls.
    pub fn remaining(self, share: Share) -> u64 {
        (self.answered * u64::from(share.0) / UNITS_PER_CALL).saturating_sub(self.sent)
    }
}

/// What one daemon has sent to the candidate of a rollout, and what it may still send.
///
/// Invariant: with a limit, `sent` is at most `share` × `answered` + `extra`, and `budget` is the
/// difference in units of a millionth of a call.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct ExposureAccount {
    limit: Option<ExposureLimit>,
    budget: u64,
    expires: Millis,
    calls: Exposed,
}

impl ExposureAccount {
    /// Creates the account, without budget, of a rollout that has become known `now`.
    pub(super) fn open(now: Millis, limit: Option<ExposureLimit>) -> Self {
        Self {
            limit,
            budget: 0,
            expires: limit.map_or(now, |limit| now.after(limit.lasts)),
            calls: Exposed::default(),
        }
    }

    /// Sets the limit of the rollout and adds the calls by which a test has raised it. There is no
    /// limit once the test is passed.
    pub(super) fn set_limit(&mut self, limit: Option<ExposureLimit>) {
        let extra = |limit: Option<ExposureLimit>| limit.map_or(0, |limit| limit.extra);
        let more = extra(limit).saturating_sub(extra(self.limit));
        self.budget += u64::from(more) * UNITS_PER_CALL;
        self.limit = limit;
    }

    /// Returns the fraction of the traffic that a test under full load takes.
    pub(super) fn test_share(&self) -> Share {
        self.limit.map_or(Share::NONE, |limit| limit.test_share)
    }

    pub(super) fn is_limited(&self) -> bool {
        self.limit.is_some()
    }

    /// Returns whether a call may be sent to the candidate.
    pub(super) fn has_budget(&self, now: Millis) -> bool {
        !self.is_limited() || (self.budget >= UNITS_PER_CALL && now < self.expires)
    }

    pub(super) fn answered(&mut self) {
        self.calls.answered += 1;
        self.budget += self.limit.map_or(0, |limit| u64::from(limit.share.0));
    }

    /// Counts a send to the candidate. The account must have budget for it.
    pub(super) fn spend(&mut self) {
        self.calls.sent += 1;
        self.budget = self.budget.saturating_sub(UNITS_PER_CALL);
    }

    /// Reverts the count of a send that did not leave this daemon.
    pub(super) fn refund(&mut self) {
        if self.calls.sent == 0 {
            return;
        }
        self.calls.sent -= 1;
        self.budget += if self.is_limited() { UNITS_PER_CALL } else { 0 };
    }

    pub(super) fn calls(&self) -> Exposed {
        self.calls
    }
}

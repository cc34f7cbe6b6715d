//! The account of what a rollout may expose at one entry daemon.
//!
//! Each answered call of the service earns the permitted part of a call, and each send to the candidate
//! costs a whole one. So the candidate never has more than its part of the calls, at any daemon and at
//! any moment, and neither a late verdict nor a lost leader, lost reports or a rise of traffic can
//! change that.
//!
//! Room that is not used while the share is small is used at full share: the candidate meets the whole
//! load for a short time. A restarted daemon starts without what it had earned.
//!
//! A test adds a few calls for each daemon, its part of those that the rule permits beside the share. Only
//! daemons that have known the rollout before get them: one that restarts during a test may have sent
//! them already. The leader keeps [`SLACK_RESERVE`] of them back for daemons that it does not know.

use sycamoreflow_state::config::{ExposureLimit, Share};
use sycamoreflow_state::ids::Millis;

use super::UNITS_PER_CALL;

#[cfg(test)]
mod tests;

/// Part of the slack of the exposure that is not given out.
pub const SLACK_RESERVE: f64 = 0.2;

/// Calls since a daemon knows of a rollout.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Exposed {
    /// Calls of the service that an upstream has answered.
    pub answered: u64,
    /// Calls sent to the candidate.
    pub sent: u64,
}

impl Exposed {
    /// Returns the calls that the candidate may still get, if `share` of the answered calls is the limit.
    pub fn remaining(self, share: Share) -> u64 {
        (self.answered * u64::from(share.0) / UNITS_PER_CALL).saturating_sub(self.sent)
    }
}

/// What one daemon has sent to the candidate of a rollout, and what it may still send.
///
/// Invariant: with a limit, `sent` is at most `share` × `answered` + `extra`, and `room` is the difference
/// in units of a millionth of a call.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct ExposureAccount {
    limit: Option<ExposureLimit>,
    budget: u64,
    expires: Millis,
    calls: Exposed,
}

impl ExposureAccount {
    /// Starts the account of a rollout that has become known `now`, without room.
    pub(super) fn open(now: Millis, limit: Option<ExposureLimit>) -> Self {
        Self {
            limit,
            budget: 0,
            expires: limit.map_or(now, |limit| now.after(limit.lasts)),
            calls: Exposed::default(),
        }
    }

    /// Follows the limit of a rollout: a test adds calls, and there is none after it is passed.
    pub(super) fn set_limit(&mut self, limit: Option<ExposureLimit>) {
        let extra = |limit: Option<ExposureLimit>| limit.map_or(0, |limit| limit.extra);
        let more = extra(limit).saturating_sub(extra(self.limit));
        self.budget += u64::from(more) * UNITS_PER_CALL;
        self.limit = limit;
    }

    /// Returns the part of the traffic that a test under full load takes.
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

    /// Counts a send to the candidate, for which there is room.
    pub(super) fn spend(&mut self) {
        self.calls.sent += 1;
        self.budget = self.budget.saturating_sub(UNITS_PER_CALL);
    }

    /// Takes back the count of a send that did not leave this daemon.
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

//! Exact traffic shares: over the whole mesh, a candidate never receives more than share × calls.
//!
//! Amounts are in units of a millionth of a call. Each call earns `share` units at its entry
//! daemon, and each send to the candidate costs [`UNITS_PER_CALL`]. A daemon with too few calls to
//! earn the units of a whole call within [`CEDE_AFTER`] cedes its units to the leader, which pools
//! them and grants credits for whole calls. Units are conserved: each one is earned once and then
//! spent, ceded or lost, but never duplicated.
//!
//! - Accounts are cumulative, so lost, repeated and reordered reports and grants have no effect on
//!   the totals.
//! - Units are ceded to the leader of one term. A later leader never grants them, because it cannot
//!   know which of them the earlier one has granted; they are lost.
//! - A restarted daemon has a new incarnation and starts without units. Credits of its earlier
//!   incarnation are lost.
//! - The share identifies the step, since shares are strictly increasing. Credits of an earlier
//!   step are lost.
//! - A credit that isn't used in time is ceded back. It expires a fixed time after its receipt, so
//!   no common clock is needed, and safety doesn't depend on it.
//!
//! Below [`Share::ALL`], a retry is sent to the stable version and earns nothing.
//!
//! If the rule limits the [`exposure`] of the candidate, each send is also charged to that account,
//! at every share. The share is then an upper bound: the candidate receives fewer calls, or none,
//! while the account has no budget.

use std::collections::{BTreeMap, BinaryHeap, VecDeque};

use serde::{Deserialize, Serialize};
use sycamoreflow_state::config::{Candidate, Share, TrafficSplit};
use sycamoreflow_state::ids::{DaemonId, Millis, VersionName};

use crate::full_load::ActiveEndpoints;
use exposure::{Exposed, ExposureAccount};

pub mod exposure;
#[cfg(test)]
mod tests;

/// Number of units that a call to the candidate costs.
pub const UNITS_PER_CALL: u64 = 1_000_000;
/// A daemon that hasn't earned the units of a whole call for this long cedes them. Daemons that
/// earn calls faster need no grants: with 2 s instead of 4 s, 20 times as many grants were sent at
/// 270 calls/s, and evidence was not available any earlier.
pub const CEDE_AFTER: Millis = Millis(4_000);
/// How long a credit may be used. Covers ten calls at the mean interval of a daemon with two calls
/// per second, and returns credits from idle daemons within a few reports.
pub const CREDIT_VALIDITY: Millis = Millis(5_000);
/// Number of calls per call of the candidate during a comparison at full share. The evidence per
/// call is about the same as with every second call, while the candidate receives half as many.
pub const COMPARISON_DIVISOR: u64 = 4;
/// Time after which a grant that a daemon's reports don't confirm is sent again.
pub const RESEND_AFTER: Millis = Millis(2_000);
/// Maximum age of a daemon's last report for it to be granted credits.
pub const MAX_REPORT_AGE: Millis = Millis(3_000);

/// Whether a send is the first attempt of a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Attempt {
    /// The first send. Only first sends count as calls in share × calls.
    First,
    /// A later send of the same call.
    Retry,
}

/// A daemon's account of one service's rollout, as reported to the leader.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "WireReport", into = "WireReport")]
pub struct ShareReport {
    /// Term of the leader to which the units were ceded, or 0 while none is known.
    pub term: u64,
    /// Share in parts per million, which identifies the step at the daemon.
    pub share: u32,
    /// Calls since the share came into force here.
    pub calls: u64,
    /// Calls sent to the candidate since the share came into force here.
    pub candidate: u64,
    /// Units ceded to the leader of `term` at this share.
    pub ceded: u64,
    /// Credits received from the leader of `term` at this share.
    pub credits: u64,
    /// Calls answered and calls sent to the candidate here since the rollout became known, at all
    /// shares.
    pub exposure: Exposed,
}

type WireReport = (u64, u32, u64, u64, u64, u64, u64, u64);

impl From<WireReport> for ShareReport {
    fn from(fields: WireReport) -> Self {
        let (term, share, calls, candidate, ceded, credits, answered, sent) = fields;
        Self {
            term,
            share,
            calls,
            candidate,
            ceded,
            credits,
            exposure: Exposed { answered, sent },
        }
    }
}

impl From<ShareReport> for WireReport {
    fn from(report: ShareReport) -> Self {
        (
            report.term,
            report.share,
            report.calls,
            report.candidate,
            report.ceded,
            report.credits,
            report.exposure.answered,
            report.exposure.sent,
        )
    }
}

/// Credits for whole calls, granted to a daemon. The count is cumulative, so lost, repeated and
/// late grants are harmless. A grant without credits informs the daemon of the term.
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
    /// How long newly granted credits may be used after their receipt.
    pub valid_for: Millis,
}

/// Share account of one service at an entry daemon.
#[derive(Clone, Debug)]
pub struct ShareCounter {
    incarnation: u64,
    rollout: u64,
    stopped: Option<u64>,
    comparing: bool,
    balance: u64,
    earned_at: Millis,
    unused: VecDeque<Credits>,
    account: ShareReport,
    exposure: ExposureAccount,
    /// Time at which the current share came into force here.
    step_started: Millis,
    /// Number of the candidate's endpoints.
    endpoints: usize,
    /// Whether the exposure budget ran out during the current step.
    exhausted: bool,
}

#[derive(Clone, Copy, Debug)]
struct Credits {
    count: u64,
    expires: Millis,
}

impl ShareCounter {
    /// Creates an account without units. `incarnation` must differ between any two starts of the
    /// daemon.
    pub fn new(incarnation: u64) -> Self {
        Self {
            incarnation,
            rollout: 0,
            stopped: None,
            comparing: false,
            balance: 0,
            earned_at: Millis(0),
            unused: VecDeque::new(),
            account: ShareReport::default(),
            exposure: ExposureAccount::default(),
            step_started: Millis(0),
            endpoints: 1,
            exhausted: false,
        }
    }

    /// Sets the number of the candidate's endpoints.
    pub fn set_endpoints(&mut self, endpoints: usize) {
        self.endpoints = endpoints;
    }

    /// Returns which of the candidate's endpoints are in use, while it is tested under full load.
    pub fn active_endpoints(&self, now: Millis) -> Option<ActiveEndpoints> {
        let is_tested = self.account.share == Share::ALL.0 && self.exposure.is_limited();
        let elapsed = now.since(self.step_started);
        is_tested.then(|| ActiveEndpoints::at(elapsed, self.endpoints))
    }

    /// Chooses the version for one send and counts the send.
    pub fn pick(&mut self, now: Millis, split: &TrafficSplit, attempt: Attempt) -> VersionName {
        let Some(candidate) = &split.candidate else {
            return split.stable.clone();
        };
        self.enter_step(now, candidate);
        if !self.excludes(split, candidate) && self.takes_candidate(now, attempt) {
            self.account.candidate += 1;
            self.exposure.spend();
            return candidate.version.clone();
        }
        split.stable.clone()
    }

    /// Returns whether the candidate may take a call for which the stable version has no endpoint,
    /// and counts the call if so. This is permitted only at full share, when the endpoints of the
    /// stable version may have left already; below, the candidate would exceed its share.
    pub fn take_fallback_call(&mut self, now: Millis, split: &TrafficSplit) -> bool {
        let Some(candidate) = &split.candidate else {
            return false;
        };
        self.enter_step(now, candidate);
        let allowed = candidate.share == Share::ALL
            && !self.excludes(split, candidate)
            && self.exposure.has_budget(now);
        if allowed {
            self.account.candidate += 1;
            self.exposure.spend();
        }
        allowed
    }

    fn excludes(&self, split: &TrafficSplit, candidate: &Candidate) -> bool {
        self.stopped == Some(candidate.rollout)
            || split.blocked.contains(&candidate.version)
            || candidate.share == Share::NONE
    }

    /// Refunds the units of a send to the candidate that did not leave this daemon.
    pub fn refund_unsent(&mut self, rollout: u64) {
        if rollout != self.rollout || self.account.candidate == 0 {
            return;
        }
        self.account.candidate -= 1;
        self.exposure.refund();
        if self.account.share < Share::ALL.0 {
            self.balance += UNITS_PER_CALL;
        }
    }

    /// Counts a call of the service that an upstream has answered.
    pub fn answered(&mut self) {
        self.exposure.answered();
    }

    /// Stops all traffic from this daemon to the candidate of `rollout`.
    pub fn stop(&mut self, rollout: u64) {
        self.stopped = Some(rollout);
    }

    /// Sets whether only one call in [`COMPARISON_DIVISOR`] goes to the candidate while it has all
    /// traffic, so that a fault of the candidate can be distinguished from one that affects both
    /// versions.
    pub fn set_comparing(&mut self, comparing: bool) {
        self.comparing = comparing;
    }

    /// Cedes the units that cannot be used here, and returns the account for the report.
    pub fn report(&mut self, now: Millis) -> ShareReport {
        self.drop_expired(now);
        let idle = now.since(self.earned_at) >= CEDE_AFTER;
        if self.account.term > 0 && idle {
            self.account.ceded += self.balance;
            self.balance = 0;
        }
        ShareReport {
            exposure: self.exposure.calls(),
            ..self.account
        }
    }

    /// Adds the granted credits. Returns whether the grant is for this incarnation, rollout and
    /// share, and not of an earlier term.
    pub fn grant(&mut self, now: Millis, grant: &Grant) -> bool {
        if grant.incarnation != self.incarnation || grant.term < self.account.term {
            return false;
        }
        if grant.term > self.account.term {
            self.account.term = grant.term;
            self.account.ceded = 0;
            self.account.credits = 0;
        }
        if grant.rollout != self.rollout || grant.share != self.account.share {
            return false;
        }
        let count = grant.credits.saturating_sub(self.account.credits);
        if count > 0 {
            self.account.credits = grant.credits;
            let expires = now.after(grant.valid_for);
            self.unused.push_back(Credits { count, expires });
        }
        true
    }

    fn enter_step(&mut self, now: Millis, candidate: &Candidate) {
        if candidate.rollout == self.rollout && candidate.share.0 == self.account.share {
            self.exposure.set_limit(candidate.limit);
            return;
        }
        if candidate.rollout != self.rollout {
            self.rollout = candidate.rollout;
            self.balance = 0;
            self.comparing = false;
            self.exposure = ExposureAccount::open(now, candidate.limit);
        }
        self.earned_at = now;
        self.step_started = now;
        self.exhausted = false;
        self.exposure.set_limit(candidate.limit);
        self.unused.clear();
        self.account = ShareReport {
            term: self.account.term,
            share: candidate.share.0,
            ..ShareReport::default()
        };
    }

    fn takes_candidate(&mut self, now: Millis, attempt: Attempt) -> bool {
        let has_all = self.account.share == Share::ALL.0;
        if has_all && !self.exposure.is_limited() {
            self.account.calls += u64::from(attempt == Attempt::First);
            return !self.comparing || self.account.calls.is_multiple_of(COMPARISON_DIVISOR);
        }
        if attempt == Attempt::Retry {
            return false;
        }
        self.account.calls += 1;
        let has_budget = self.exposure.has_budget(now);
        if has_all {
            self.exhausted |= !has_budget;
            if self.exhausted {
                return false;
            }
            self.balance += u64::from(self.exposure.test_share().0);
            let takes = self.balance >= UNITS_PER_CALL;
            self.balance -= if takes { UNITS_PER_CALL } else { 0 };
            return takes;
        }
        self.balance += u64::from(self.account.share);
        if !has_budget {
            return false;
        }
        if self.balance >= UNITS_PER_CALL {
            self.balance -= UNITS_PER_CALL;
            self.earned_at = now;
            return true;
        }
        self.take_credit(now)
    }

    fn take_credit(&mut self, now: Millis) -> bool {
        self.drop_expired(now);
        let Some(credits) = self.unused.front_mut() else {
            return false;
        };
        credits.count -= 1;
        if credits.count == 0 {
            self.unused.pop_front();
        }
        true
    }

    fn drop_expired(&mut self, now: Millis) {
        while let Some(credits) = self.unused.front()
            && credits.expires <= now
        {
            self.account.ceded += credits.count * UNITS_PER_CALL;
            self.unused.pop_front();
        }
    }
}

/// The leader's pool of ceded units for one rollout at one share.
#[derive(Clone, Debug)]
pub struct CreditPool {
    term: u64,
    rollout: u64,
    share: Share,
    accounts: BTreeMap<(DaemonId, u64), PoolAccount>,
    ceded: u64,
    granted: u64,
}

#[derive(Clone, Debug, Default)]
struct PoolAccount {
    ceded: u64,
    calls: u64,
    calls_at_grant: u64,
    granted: u64,
    reported_at: Millis,
    sent_at: Option<Millis>,
    send_pending: bool,
}

impl CreditPool {
    /// Creates an empty pool for a rollout at a share.
    pub fn new(term: u64, rollout: u64, share: Share) -> Self {
        Self {
            term,
            rollout,
            share,
            accounts: BTreeMap::new(),
            ceded: 0,
            granted: 0,
        }
    }

    /// Returns the share that this pool grants credits for.
    pub fn share(&self) -> Share {
        self.share
    }

    /// Adds a daemon's account. Accounts of another share or a later term are ignored.
    pub fn report(
        &mut self,
        now: Millis,
        daemon: &DaemonId,
        incarnation: u64,
        report: &ShareReport,
    ) {
        if report.share != self.share.0 || report.term > self.term {
            return;
        }
        let account = self
            .accounts
            .entry((daemon.clone(), incarnation))
            .or_default();
        account.calls = account.calls.max(report.calls);
        account.reported_at = now;
        let may_send = account
            .sent_at
            .is_none_or(|at| now.since(at) >= RESEND_AFTER);
        if report.term < self.term {
            account.send_pending |= may_send;
            return;
        }
        account.send_pending |= report.credits < account.granted && may_send;
        if report.ceded > account.ceded {
            self.ceded += report.ceded - account.ceded;
            account.ceded = report.ceded;
        }
    }

    /// Returns the grants to send now. Credits go to the daemons with the most calls since their
    /// last credit, since these will use them soonest.
    pub fn grants(&mut self, now: Millis) -> Vec<(DaemonId, Grant)> {
        let available = self.ceded.saturating_sub(self.granted * UNITS_PER_CALL) / UNITS_PER_CALL;
        if self.share < Share::ALL && available > 0 {
            self.allocate_credits(now, available);
        }
        self.take_pending_grants(now)
    }

    fn allocate_credits(&mut self, now: Millis, available: u64) {
        let mut waiting: BinaryHeap<(u64, (DaemonId, u64))> = self
            .accounts
            .iter()
            .filter(|(_, account)| now.since(account.reported_at) < MAX_REPORT_AGE)
            .filter(|(_, account)| account.calls > account.calls_at_grant)
            .map(|(key, account)| (account.calls - account.calls_at_grant, key.clone()))
            .collect();
        for _ in 0..available {
            let Some((_, key)) = waiting.pop() else {
                break;
            };
            let Some(account) = self.accounts.get_mut(&key) else {
                continue;
            };
            self.granted += 1;
            account.granted += 1;
            account.calls_at_grant = account.calls;
            account.send_pending = true;
        }
    }

    fn take_pending_grants(&mut self, now: Millis) -> Vec<(DaemonId, Grant)> {
        let (term, rollout, share) = (self.term, self.rollout, self.share.0);
        let mut grants = Vec::new();
        for ((daemon, incarnation), account) in &mut self.accounts {
            if !std::mem::take(&mut account.send_pending) {
                continue;
            }
            account.sent_at = Some(now);
            let grant = Grant {
                term,
                incarnation: *incarnation,
                rollout,
                share,
                credits: account.granted,
                valid_for: CREDIT_VALIDITY,
            };
            grants.push((daemon.clone(), grant));
        }
        grants
    }
}

//! Retries at the entry daemon: a budget per route and the decision for one request.
//!
//! A request is sent again only if no earlier attempt makes that unsafe. The decision uses the
//! maximum of the verdicts of all attempts, so that a later refusal does not hide an attempt that
//! may have run (`docs/design.md`, section 2.5). The budget limits the load that retries add when a
//! whole service fails.

#[cfg(test)]
mod tests;

use sycamoreflow_state::config::Share;
use sycamoreflow_state::ids::{DaemonId, Millis};
use sycamoreflow_state::verdict::{Failure, Reason, Verdict};

/// One token, which allows one retry, in the unit of [`Share`]: millionths.
const TOKEN: u64 = Share::ALL.0 as u64;
/// Amount per millisecond that corresponds to one token per second.
const TOKEN_PER_MS: u64 = TOKEN / 1_000;

/// Settings of a [`RetryBudget`].
#[derive(Clone, Copy, Debug)]
pub struct BudgetConfig {
    /// Number of retries that each first send of a request allows.
    pub per_first_send: Share,
    /// Number of further retries allowed per second, so that a route with little traffic can retry.
    pub per_second: u64,
    /// Maximum number of retries that can accumulate.
    pub burst: u64,
}

impl Default for BudgetConfig {
    fn default() -> Self {
        Self {
            per_first_send: Share::percent(10),
            per_second: 10,
            burst: 50,
        }
    }
}

/// Token bucket that limits the retries of one route.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    cfg: BudgetConfig,
    tokens: u64,
    refilled: Option<Millis>,
}

impl RetryBudget {
    /// Creates a budget that allows [`BudgetConfig::burst`] retries at once.
    pub fn new(cfg: BudgetConfig) -> Self {
        Self {
            cfg,
            tokens: cfg.burst * TOKEN,
            refilled: None,
        }
    }

    /// Records the first send of a request, which adds [`BudgetConfig::per_first_send`] retries.
    pub fn first_send(&mut self) {
        self.add(u64::from(self.cfg.per_first_send.0));
    }

    /// Withdraws one retry from the budget, or returns `false` if the budget is exhausted.
    pub fn withdraw(&mut self, now: Millis) -> bool {
        self.refill(now);
        if self.tokens < TOKEN {
            return false;
        }
        self.tokens -= TOKEN;
        true
    }

    fn refill(&mut self, now: Millis) {
        let last = self.refilled.unwrap_or(now);
        let rate = self.cfg.per_second.saturating_mul(TOKEN_PER_MS);
        self.add(now.since(last).0.saturating_mul(rate));
        self.refilled = Some(last.max(now));
    }

    fn add(&mut self, amount: u64) {
        let limit = self.cfg.burst * TOKEN;
        self.tokens = self.tokens.saturating_add(amount).min(limit);
    }
}

/// Decision after a failed attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryDecision {
    /// Send the request again, to an endpoint from [`Attempts::pick`] or
    /// [`Attempts::pick_untried_after_refusal`].
    Retry,
    /// Return this failure to the caller. Its verdict covers all attempts.
    Fail(Failure),
}

/// The attempts of one request at the entry daemon.
#[derive(Clone, Debug)]
pub struct Attempts {
    idempotent: bool,
    deadline: Millis,
    max_attempts: usize,
    tried: Vec<DaemonId>,
    /// Number of refusals by daemons that do not count as attempts or use the budget.
    free_refusals: usize,
    /// Number of attempts, at most `free_refusals`, that a daemon refused before any upstream
    /// received the request.
    refused: usize,
    verdict: Verdict,
}

impl Attempts {
    /// Creates the state of a request that has not been sent. `deadline` is that of the caller, and
    /// `max_attempts` includes the first send.
    pub fn new(idempotent: bool, deadline: Millis, max_attempts: usize) -> Self {
        Self {
            idempotent,
            deadline,
            max_attempts,
            tried: Vec::new(),
            free_refusals: 0,
            refused: 0,
            verdict: Verdict::NotRun,
        }
    }

    /// Allows up to `count` refusals by daemons that use neither the budget nor an attempt, since a
    /// request that no upstream has received adds no load to the service.
    pub fn with_free_refusals(mut self, count: usize) -> Self {
        self.free_refusals = count;
        self
    }

    /// Picks the endpoint of the next attempt and records it as tried.
    ///
    /// `choose` receives the endpoints to avoid, and is typically
    /// [`crate::routing::Router::choose`]. An endpoint that was tried before is picked
    /// again only if there is no other, and the latest one only if it is the only endpoint.
    pub fn pick(
        &mut self,
        mut choose: impl FnMut(&[DaemonId]) -> Option<DaemonId>,
    ) -> Option<DaemonId> {
        let latest = &self.tried[self.tried.len().saturating_sub(1)..];
        let id = choose(&self.tried)
            .or_else(|| choose(latest))
            .or_else(|| choose(&[]))?;
        self.tried.push(id.clone());
        Some(id)
    }

    /// Picks an endpoint as [`Attempts::pick`] does, but after a refusal only one that was not
    /// tried before: a daemon that refused the request for lack of capacity would do so again.
    pub fn pick_untried_after_refusal(
        &mut self,
        mut choose: impl FnMut(&[DaemonId]) -> Option<DaemonId>,
    ) -> Option<DaemonId> {
        if self.refused == 0 {
            return self.pick(choose);
        }
        let id = choose(&self.tried).filter(|id| !self.tried.contains(id))?;
        self.tried.push(id.clone());
        Some(id)
    }

    /// Records a failed attempt and decides whether to retry.
    pub fn failed(
        &mut self,
        now: Millis,
        failure: Failure,
        budget: &mut RetryBudget,
    ) -> RetryDecision {
        self.verdict = self.verdict.max(failure.verdict);
        // An upstream that sheds a request has already received it.
        let not_received = failure.verdict == Verdict::NotRun && failure.reason != Reason::Shed;
        if not_received && self.refused < self.free_refusals {
            self.refused += 1;
            if self.may_retry(failure) && now < self.deadline {
                return RetryDecision::Retry;
            }
        }
        // A planned stop ends no more calls than the host has slots, and says nothing about the
        // load of the others.
        let ended_by_stop = failure == Failure::may_have_run(Reason::Draining);
        let allowed = self.may_retry(failure)
            && self.tried.len() - self.refused < self.max_attempts
            && now < self.deadline
            && (ended_by_stop || budget.withdraw(now));
        if allowed {
            return RetryDecision::Retry;
        }
        RetryDecision::Fail(self.failure(failure.reason))
    }

    /// Returns the verdict over all failed attempts.
    pub fn verdict(&self) -> Verdict {
        self.verdict
    }

    /// Returns the endpoints that were picked for the request, in order.
    pub fn tried(&self) -> &[DaemonId] {
        &self.tried
    }

    /// Returns the failure to report to the caller: `reason`, with the verdict over all attempts.
    pub fn failure(&self, reason: Reason) -> Failure {
        Failure {
            verdict: self.verdict,
            reason,
        }
    }

    fn may_retry(&self, failure: Failure) -> bool {
        // Another endpoint would refuse the request for the same reason.
        let retryable = !matches!(
            failure.reason,
            Reason::BadRequest
                | Reason::CrashesUpstreams
                | Reason::TenantRefused
                | Reason::Unauthenticated
                | Reason::QuotaExceeded
                | Reason::NoRoute
        );
        let safe = match self.verdict {
            Verdict::NotRun => true,
            Verdict::MayHaveRun => self.idempotent,
            Verdict::Ran => false,
        };
        retryable && safe
    }
}

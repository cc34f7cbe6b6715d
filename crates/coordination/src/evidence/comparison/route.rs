//! State of a comparison for one route.

use sycamoreflow_state::ids::Millis;

use super::totals::Totals;
use super::{Rules, SLOW_TAILS, SequentialTests};
use crate::evidence::histogram::Histogram;
use crate::evidence::odds::latency::{Latencies, latency_odds};
use crate::evidence::odds::{Odds, failure_odds};
use crate::evidence::sequential::{Batch, LogFactors};
use crate::evidence::{GROUPS, RouteEvidence, VersionEvidence};

/// Minimum number of the stable version's calls on a route for its quantiles to be used.
const MIN_QUANTILE_CALLS: u64 = 100;
/// Ratio of stable to candidate calls at which a batch is closed. More calls would add little,
/// since the ratio limits the factors.
const FULL_BATCH_RATIO: u64 = 20;
/// Number of stable calls at which a batch is closed, whatever the ratio.
pub(super) const FULL_BATCH_CALLS: u64 = 10;
/// Number of stable calls at which a batch is closed if their ratio to the candidate's calls is
/// near that of all calls of the route, since waiting would not raise it.
const SMALL_BATCH_CALLS: u64 = 3;
/// Minimum ratio of stable to candidate calls of such a batch, relative to the ratio of all calls.
const SMALL_BATCH_RATIO: f64 = 0.8;

#[derive(Clone, Debug, Default)]
pub(super) struct RouteState {
    pub(super) tests: SequentialTests,
    /// All calls that were added.
    pub(super) all_calls: RouteEvidence,
    /// Calls of the current step that the odds are computed from, without latencies from the
    /// candidate's cold start.
    pub(super) step_calls: RouteEvidence,
    /// Calls of the candidate that have not ended, by how long they have waited.
    pub(super) waiting: VersionEvidence,
    /// Calls of the stable version at earlier steps.
    pub(super) earlier_stable: VersionEvidence,
    /// Log odds of the current step.
    pub(super) step_odds: Odds,
    /// Whether the stable version has too few calls to compare latencies on this route alone.
    pub(super) is_sparse: bool,
    /// Whether calls were added since the odds were updated.
    pub(super) changed: bool,
    /// The candidate's calls after its cold start, at all steps.
    pub(super) evaluated_calls: u64,
    /// Log odds of the earlier steps, each from calls of both versions over the same time.
    pub(super) earlier_odds: Odds,
    pub(super) pending: RouteEvidence,
    pub(super) pending_since: Millis,
    pub(super) stable_latency: Histogram,
}

/// Factors and totals of a closed batch.
pub(super) struct Factors {
    pub(super) bad: LogFactors,
    pub(super) slow: [[LogFactors; SLOW_TAILS.len()]; GROUPS],
    pub(super) totals: Totals,
    pub(super) slow_totals: Batch,
}

impl RouteState {
    pub(super) fn all_odds(&self) -> Odds {
        let mut odds = self.earlier_odds;
        odds.add(self.step_odds);
        odds
    }

    pub(super) fn update_odds(&mut self, rules: &Rules) {
        if !std::mem::take(&mut self.changed) {
            return;
        }
        let slow = latency_odds(&self.latencies(), rules.slow_shift);
        self.is_sparse = slow.is_none();
        let RouteEvidence { stable, candidate } = &self.step_calls;
        self.step_odds = Odds {
            failures: failure_odds(stable, candidate, rules.refusals_are_bad, rules.margin),
            slow: slow.unwrap_or_default(),
        };
    }

    pub(super) fn latencies(&self) -> Latencies<'_> {
        Latencies {
            stable: &self.step_calls.stable,
            earlier_stable: &self.earlier_stable,
            candidate: &self.step_calls.candidate,
            waiting: &self.waiting,
        }
    }

    /// Returns whether the pending calls are enough to close the batch. Depends only on the numbers
    /// of calls, never on their outcomes, which would bias the test.
    pub(super) fn is_full(&self) -> bool {
        let stable = self.pending.stable.calls();
        let candidate = self.pending.candidate.calls();
        let ratio = stable as f64 / candidate as f64;
        let totals = &self.tests.totals;
        let all: u64 = totals.calls.iter().sum();
        let usual = totals.stable_calls as f64 / all as f64;
        stable >= FULL_BATCH_RATIO * candidate
            || stable >= FULL_BATCH_CALLS
            || (stable >= SMALL_BATCH_CALLS && ratio >= SMALL_BATCH_RATIO * usual)
    }

    /// Closes the batch of pending calls and returns its factors.
    pub(super) fn close(&mut self, rules: &Rules, warm: bool, progress: f64) -> Factors {
        let calls = std::mem::take(&mut self.pending);
        let totals = Totals::of(&calls, rules.refusals_are_bad);
        let mut factors = Factors {
            bad: totals.batch().log_factors(rules.margin),
            slow: Default::default(),
            totals,
            slow_totals: Batch::default(),
        };
        if warm && self.stable_latency.total() >= MIN_QUANTILE_CALLS {
            self.compare_latency(&calls, rules.slow_shift, &mut factors);
        }
        self.stable_latency.merge(&calls.stable.latency());
        self.tests.multiply(&factors, progress);
        factors
    }

    /// Adds the factors for slow calls. The thresholds are taken from the calls before this batch,
    /// as the test requires.
    fn compare_latency(&self, calls: &RouteEvidence, slow_shift: u8, factors: &mut Factors) {
        let stable_latency = calls.stable.latency();
        for (tail, share) in SLOW_TAILS.iter().enumerate() {
            let threshold = self.stable_latency.quantile_bucket(*share);
            let stable = Batch {
                stable_calls: stable_latency.total(),
                stable_bad: stable_latency.count_above(threshold),
                ..Batch::default()
            };
            let slow = threshold.saturating_add(slow_shift);
            let mut total = stable;
            for (group, evidence) in calls.candidate.groups().iter().enumerate() {
                let batch = Batch {
                    candidate_calls: evidence.latency.total(),
                    candidate_bad: evidence.latency.count_above(slow),
                    ..stable
                };
                factors.slow[group][tail] = batch.log_factors(0.0);
                total.candidate_calls += batch.candidate_calls;
                total.candidate_bad += batch.candidate_bad;
            }
            factors.slow_totals = total;
        }
    }
}

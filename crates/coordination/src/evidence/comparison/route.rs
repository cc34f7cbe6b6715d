//! What a comparison keeps of one route.

use sycamoreflow_state::ids::Millis;

use super::totals::Totals;
use super::{Rules, SLOW_TAILS, SequentialTests};
use crate::evidence::histogram::Histogram;
use crate::evidence::odds::latency::{Latencies, latency_odds};
use crate::evidence::odds::{Odds, failure_odds};
use crate::evidence::sequential::{Batch, LogFactors};
use crate::evidence::{GROUPS, RouteEvidence, VersionEvidence};

/// Calls of the stable version on a route before its quantiles are used.
const MIN_QUANTILE_CALLS: u64 = 100;
/// A batch is closed at this ratio of stable to candidate calls, or at this number of stable
/// calls. More calls would add little, since the factors are limited by the ratio.
const FULL_BATCH_RATIO: u64 = 20;
/// The number of stable calls of such a batch.
pub(super) const FULL_BATCH_CALLS: u64 = 10;
/// A smaller batch is closed at this number of stable calls if their ratio to those of the
/// candidate is near that of all calls of the route, since waiting would not raise it.
const SMALL_BATCH_CALLS: u64 = 3;
const SMALL_BATCH_RATIO: f64 = 0.8;

#[derive(Clone, Debug, Default)]
pub(super) struct RouteState {
    pub(super) tests: SequentialTests,
    /// All calls that were added.
    pub(super) all_calls: RouteEvidence,
    /// Those of the current step whose odds are taken. Latencies of the time in which the endpoints of
    /// the candidate are cold are missing.
    pub(super) step_calls: RouteEvidence,
    /// Calls of the candidate that have not ended, by age.
    pub(super) waiting: VersionEvidence,
    /// Calls of the stable version at earlier steps.
    pub(super) earlier_stable: VersionEvidence,
    /// Odds of the current step.
    pub(super) step_odds: Odds,
    /// Whether the calls of the stable version are too few to compare latencies on this route alone.
    pub(super) is_sparse: bool,
    /// Whether calls were added after the odds were taken.
    pub(super) changed: bool,
    /// Calls of the candidate that came while it was warm, at all steps.
    pub(super) evaluated_calls: u64,
    /// Odds of the steps before, each from calls of both versions over the same time.
    pub(super) earlier_odds: Odds,
    pub(super) pending: RouteEvidence,
    pub(super) pending_since: Millis,
    pub(super) stable_latency: Histogram,
}

/// What a closed batch says.
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

    /// Decides by the numbers of calls alone, never by their outcome, which would bias the test.
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

    /// Takes the pending calls as a batch.
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

    /// The thresholds come from the calls before this batch, as the test requires.
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

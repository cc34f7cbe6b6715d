//! Comparison of a candidate with the stable version over all routes and endpoints.
//!
//! The false-alarm rate α is divided among several e-processes by weights that sum to one: half for
//! failures and half for slowness; of each, half for all routes together and half for single
//! routes. The n-th route in order of appearance has the weight 1 / (n (n + 1)), so the number of
//! routes need not be known in advance.
//!
//! - Failures: bad calls are failures and refusals. They must not come from one group of endpoints
//!   alone, since that indicates a bad host and not a bad version.
//! - Slowness: a call of the candidate is slow if it takes longer than the permitted slowdown times
//!   a quantile of the stable version. Most groups of endpoints must be slow, since the others may
//!   be on slower hosts. The first calls of the candidate don't count, because its endpoints have a
//!   cold start.
//!
//! In addition, the log [odds](super::odds) of a clear fault are computed within each step and
//! added over routes and steps. They need few calls, but make stronger assumptions about the calls
//! of a good version.

use indexmap::IndexMap;
use sycamoreflow_state::config::{RolloutRule, Share};
use sycamoreflow_state::ids::{Millis, RouteName};
use sycamoreflow_state::rollout::{BadRatio, RollBackReason};

use super::histogram::slowdown_buckets;
use super::odds::Odds;
use super::odds::latency::slow_calls;
use super::sequential::{Batch, EProcess, log_sum_exp};
use super::{Counts, GROUPS, RouteEvidence, VersionEvidence};

use route::{FULL_BATCH_CALLS, Factors, RouteState};
use sparse::SparseRoutes;
use totals::Totals;

mod route;
mod sparse;
mod totals;

/// Calls per endpoint of the candidate whose latencies are ignored while caches fill.
pub const WARM_UP_CALLS: u64 = 30;
/// Inverse of the fraction of the horizon after which latencies count regardless of the number of
/// calls, measured from the candidate's first call. A short rollout has too few calls otherwise;
/// platforms that request short rollouts announce cold starts of 3 s.
const WARM_UP_DIVISOR: u64 = 8;
/// Fractions of the stable version's calls above the thresholds for slow calls. The larger one
/// detects a shift of all calls, the smaller one a longer tail.
const SLOW_TAILS: [f64; 2] = [0.25, 0.05];
/// Age at which a batch with calls of both versions is closed.
const MAX_BATCH_AGE: Millis = Millis(10_000);
/// Age at which a batch with calls of only one version is dropped, since its calls are too far
/// apart to have met the same conditions. It is also dropped at [`FULL_BATCH_CALLS`] calls of the
/// candidate: at full share, these would dilute the calls of a comparison that begins later.
const MAX_ONE_SIDED_AGE: Millis = Millis(30_000);
/// Minimum log odds of a clear fault for which a candidate is rejected, whatever the false-alarm
/// rate. One bad host contributes 2.5 to them.
const MIN_ROLL_BACK_ODDS: f64 = 6.0;
/// Highest usable false-alarm rate. At 100% the threshold would be zero, and the suspicion is
/// divided by it.
const MAX_FALSE_ALARM: Share = Share::percent(50);

#[derive(Clone, Copy, Debug)]
struct Rules {
    margin: f64,
    slow_shift: u8,
    refusals_are_bad: bool,
}

/// Comparison of the candidate of one rollout with the stable version.
#[derive(Clone, Debug)]
pub struct Comparison {
    rules: Rules,
    log_alpha: f64,
    /// Time over which changes are expected. Half of the weight of late starts is spent within it.
    horizon: Millis,
    started: Option<Millis>,
    all_routes: SequentialTests,
    routes: IndexMap<RouteName, RouteState>,
    sparse: SparseRoutes,
    candidate_calls: u64,
    /// Time at which the first call of the candidate was added.
    first_call: Option<Millis>,
    /// Whether the latencies of the candidate count, because its cold start is over.
    warm: bool,
}

/// Summary of one route, for the log.
#[derive(Clone, Copy, Debug)]
pub struct RouteSummary<'a> {
    /// Name of the route.
    pub route: &'a RouteName,
    /// Calls of the stable version since the first report.
    pub stable: &'a VersionEvidence,
    /// Calls of the candidate since the first report.
    pub candidate: &'a VersionEvidence,
    /// Calls of both versions at the current step, as far as they are compared.
    pub step: &'a RouteEvidence,
    /// Calls whose latencies were compared.
    pub compared: Batch,
    /// Log odds of a clear fault on this route over all steps.
    pub odds: Odds,
    /// Log odds of a clear fault on this route in the current step.
    pub step_odds: Odds,
}

#[derive(Clone, Debug, Default)]
struct SequentialTests {
    bad: EProcess,
    slow: [[EProcess; SLOW_TAILS.len()]; GROUPS],
    totals: Totals,
    slow_totals: Batch,
}

impl Comparison {
    /// Creates a comparison without calls, with the false-alarm rate of the rule. `window` is the
    /// time from the start of the rollout to its finish time.
    pub fn new(rule: &RolloutRule, window: Millis) -> Self {
        Self {
            rules: Rules {
                margin: rule.max_extra_failures.ratio(),
                slow_shift: slowdown_buckets(rule.max_slowdown_percent),
                refusals_are_bad: true,
            },
            log_alpha: rule
                .false_alarm
                .clamp(Share(1), MAX_FALSE_ALARM)
                .ratio()
                .ln(),
            horizon: window.after(rule.watch).max(Millis(1)),
            started: None,
            all_routes: SequentialTests::default(),
            routes: IndexMap::new(),
            sparse: SparseRoutes::default(),
            candidate_calls: 0,
            first_call: None,
            warm: false,
        }
    }

    /// Creates a comparison that evaluates only failures and not refusals, with a false-alarm rate
    /// of its own.
    pub fn failures_only(rule: &RolloutRule, window: Millis, false_alarm: f64) -> Self {
        let mut comparison = Self::new(rule, window);
        comparison.log_alpha = false_alarm.ln();
        comparison.rules.refusals_are_bad = false;
        comparison
    }

    /// Adds the calls of a route since the last addition.
    pub fn add(&mut self, now: Millis, route: &RouteName, calls: &RouteEvidence) {
        if calls.is_empty() {
            return;
        }
        self.candidate_calls += calls.candidate.calls();
        if self.first_call.is_none() && self.candidate_calls > 0 {
            self.first_call = Some(now);
        }
        let state = match self.routes.get_mut(route) {
            Some(state) => state,
            None => self.routes.entry(route.clone()).or_default(),
        };
        if state.pending.is_empty() {
            state.pending_since = now;
        }
        state.pending.merge(calls);
        state.all_calls.merge(calls);
        state.changed = true;
        if self.warm {
            state.evaluated_calls += calls.candidate.evaluated_calls();
            state.step_calls.merge(calls);
        } else {
            state.step_calls.merge(&calls.clone().without_latency());
        }
    }

    /// Sets how long the candidate's calls that have not ended have waited, by route. Ignored
    /// during the candidate's cold start.
    pub fn set_waiting(&mut self, mut routes: IndexMap<RouteName, VersionEvidence>) {
        if !self.warm {
            return;
        }
        for (route, state) in &mut self.routes {
            let waiting = routes.swap_remove(route).unwrap_or_default();
            state.changed |= waiting != state.waiting;
            state.waiting = waiting;
        }
    }

    /// Closes the batches that are due and updates the odds. Must be called at times that don't
    /// depend on the outcome of calls, which would bias the test. `endpoints` is the number of the
    /// candidate's endpoints.
    pub fn close_batches(&mut self, now: Millis, endpoints: u32) {
        let elapsed = now.since(*self.started.get_or_insert(now)).0 as f64;
        let progress = elapsed / (elapsed + self.horizon.0 as f64);
        self.warm = self.candidate_calls >= WARM_UP_CALLS * u64::from(endpoints)
            || self
                .first_call
                .is_some_and(|at| now.since(at).0 >= self.horizon.0 / WARM_UP_DIVISOR);
        for state in self.routes.values_mut() {
            let candidate = state.pending.candidate.calls();
            let stable = state.pending.stable.calls();
            let age = now.since(state.pending_since);
            if candidate > 0 && stable > 0 {
                if state.is_full() || age >= MAX_BATCH_AGE {
                    let factors = state.close(&self.rules, self.warm, progress);
                    self.all_routes.multiply(&factors, progress);
                }
            } else if age >= MAX_ONE_SIDED_AGE || candidate >= FULL_BATCH_CALLS {
                state.stable_latency.merge(&state.pending.stable.latency());
                state.pending = RouteEvidence::default();
            }
            state.update_odds(&self.rules);
        }
        let shift = self.rules.slow_shift;
        self.sparse.update_odds(self.routes.values(), shift);
    }

    /// Starts a new step of the rollout. Calls of both versions are compared only within a step,
    /// because the share determines how much of a period of failures each version sees.
    pub fn enter_step(&mut self) {
        for state in self.routes.values_mut() {
            state.update_odds(&self.rules);
            state.earlier_odds.add(std::mem::take(&mut state.step_odds));
            let step = std::mem::take(&mut state.step_calls);
            state.earlier_stable.merge(&step.stable);
            state.waiting = VersionEvidence::default();
        }
        self.sparse.enter_step();
    }

    /// Returns the log odds of a clear fault by the calls of all steps; see [`odds`](super::odds).
    /// They are far below zero only if the calls support the candidate.
    pub fn odds(&self) -> Odds {
        let mut odds = self.step_odds();
        odds.slow += self.sparse.earlier_odds;
        for state in self.routes.values() {
            odds.add(state.earlier_odds);
        }
        odds
    }

    /// Returns the log odds of a clear fault by the calls of the current step.
    pub fn step_odds(&self) -> Odds {
        let mut odds = Odds {
            slow: self.sparse.step_odds,
            ..Odds::default()
        };
        for state in self.routes.values() {
            odds.add(state.step_odds);
        }
        odds
    }

    /// Returns the highest log odds of a clear fault: over the whole rollout or the current step,
    /// and over all routes or a single one. A fault may be confined to any of them.
    pub fn worst_odds(&self) -> Odds {
        // Compensates for selecting the worst of many routes.
        let selection_penalty = (self.routes.len().max(1) as f64).ln();
        let mut worst = self.odds().max(self.step_odds());
        for state in self.routes.values() {
            let mut odds = state.all_odds().max(state.step_odds);
            odds.failures -= selection_penalty;
            odds.slow -= selection_penalty;
            worst = worst.max(odds);
        }
        worst
    }

    /// Returns a summary of each route, in order of appearance.
    pub fn routes(&self) -> impl Iterator<Item = RouteSummary<'_>> {
        self.routes.iter().map(|(route, state)| RouteSummary {
            route,
            stable: &state.all_calls.stable,
            candidate: &state.all_calls.candidate,
            step: &state.step_calls,
            compared: state.tests.slow_totals,
            odds: state.all_odds(),
            step_odds: state.step_odds,
        })
    }

    /// Returns the number of the candidate's calls that have been added.
    pub fn candidate_calls(&self) -> u64 {
        self.candidate_calls
    }

    /// Returns the number of the candidate's calls that are evaluated for both failures and
    /// latency.
    pub fn evaluated_calls(&self) -> u64 {
        self.routes
            .values()
            .map(|state| state.evaluated_calls)
            .sum()
    }

    /// Returns the logarithm of the evidence against the candidate relative to the rejection
    /// threshold: it is rejected at 1; values of 0 and less are no evidence.
    pub fn suspicion(&self) -> f64 {
        self.log_bad().max(self.log_slow()) / -self.log_alpha
    }

    /// Returns why the candidate is to be rolled back, if the evidence suffices: either that of the
    /// sequential test, or the log odds of a clear fault, which good versions reach with about the
    /// same probability.
    pub fn roll_back_reason(&self) -> Option<RollBackReason> {
        let threshold = -self.log_alpha;
        let odds_threshold = threshold.max(MIN_ROLL_BACK_ODDS);
        let odds = self.worst_odds();
        let fails = self.log_bad() >= threshold && !self.all_routes.totals.is_concentrated();
        if fails {
            return Some(RollBackReason::Failures(self.bad_ratio()));
        }
        if self.log_slow() >= threshold {
            return Some(RollBackReason::Slow(self.slow_ratio()));
        }
        if odds.highest() < odds_threshold {
            return None;
        }
        let ratio = self.worst_ratio();
        Some(match odds.slow > odds.failures {
            true => RollBackReason::Slow(ratio),
            false => RollBackReason::Failures(ratio),
        })
    }

    /// Returns the bad calls of the route with the highest log odds of a fault: failures in the
    /// whole rollout, or slow calls in the current step.
    pub fn worst_ratio(&self) -> BadRatio {
        let highest = |state: &RouteState| state.all_odds().max(state.step_odds).highest();
        let routes = self.routes.iter();
        let worst = routes.max_by(|(_, a), (_, b)| highest(a).total_cmp(&highest(b)));
        let Some((route, state)) = worst else {
            return self.bad_ratio();
        };
        let odds = state.all_odds().max(state.step_odds);
        let slow = slow_calls(&state.latencies()).filter(|_| odds.slow > odds.failures);
        let bad = |counts: Counts| (counts.failures + counts.refusals, counts.calls);
        let (candidate, stable) = match slow {
            Some(slow) => (slow.candidate, slow.stable),
            None => (
                bad(state.all_calls.candidate.totals()),
                bad(state.all_calls.stable.totals()),
            ),
        };
        BadRatio {
            route: Some(route.clone()),
            candidate: share(candidate.0, candidate.1),
            stable: share(stable.0, stable.1),
            calls: candidate.1,
        }
    }

    fn log_bad(&self) -> f64 {
        let half = 0.5_f64.ln();
        half + self.log_weighted(|tests| tests.bad.log_value())
    }

    /// Returns the value that most groups reach. By Markov's inequality, at least half of the
    /// groups exceed a bound at most twice as often as a single one does, hence an additional
    /// factor of one half.
    fn log_slow(&self) -> f64 {
        let used: Vec<usize> = (0..GROUPS)
            .filter(|group| self.all_routes.totals.calls[*group] > 0)
            .collect();
        if used.is_empty() {
            return f64::NEG_INFINITY;
        }
        let value = |group: usize| self.log_weighted(|tests| tests.log_slow(group));
        let mut values: Vec<f64> = used.iter().map(|group| value(*group)).collect();
        values.sort_by(|a, b| b.total_cmp(a));
        0.25_f64.ln() + values[used.len() / 2]
    }

    fn log_weighted(&self, value: impl Fn(&SequentialTests) -> f64) -> f64 {
        let half = 0.5_f64.ln();
        let routes = self.routes.values().enumerate().map(|(index, state)| {
            let n = index as f64 + 1.0;
            half - (n * (n + 1.0)).ln() + value(&state.tests)
        });
        let logs: Vec<f64> = routes.chain([half + value(&self.all_routes)]).collect();
        log_sum_exp(logs.into_iter())
    }

    /// Returns the tests with the highest value, with their route unless they are those of all
    /// routes together.
    fn strongest(
        &self,
        value: impl Fn(&SequentialTests) -> f64,
    ) -> (Option<RouteName>, &SequentialTests) {
        let mut strongest = (None, &self.all_routes);
        for (route, state) in &self.routes {
            if value(&state.tests) > value(strongest.1) {
                strongest = (Some(route.clone()), &state.tests);
            }
        }
        strongest
    }

    fn bad_ratio(&self) -> BadRatio {
        let (route, tests) = self.strongest(|tests| tests.bad.log_value());
        let totals = &tests.totals;
        let calls = totals.calls.iter().sum();
        BadRatio {
            route,
            candidate: share(totals.bad.iter().sum(), calls),
            stable: share(totals.stable_bad, totals.stable_calls),
            calls,
        }
    }

    fn slow_ratio(&self) -> BadRatio {
        let sum =
            |tests: &SequentialTests| (0..GROUPS).map(|group| tests.log_slow(group)).sum::<f64>();
        let (route, tests) = self.strongest(sum);
        let totals = &tests.slow_totals;
        BadRatio {
            route,
            candidate: share(totals.candidate_bad, totals.candidate_calls),
            stable: share(totals.stable_bad, totals.stable_calls),
            calls: totals.candidate_calls,
        }
    }
}

impl SequentialTests {
    fn log_slow(&self, group: usize) -> f64 {
        let weight = -(SLOW_TAILS.len() as f64).ln();
        let logs = self.slow[group].map(|process| process.log_value() + weight);
        log_sum_exp(logs.into_iter())
    }

    fn multiply(&mut self, factors: &Factors, progress: f64) {
        self.bad.multiply(&factors.bad, progress);
        self.totals.add(&factors.totals);
        self.slow_totals.add(&factors.slow_totals);
        for (processes, factors) in self.slow.iter_mut().zip(&factors.slow) {
            for (process, factors) in processes.iter_mut().zip(factors) {
                process.multiply(factors, progress);
            }
        }
    }
}

fn share(part: u64, whole: u64) -> Share {
    let ratio = part as f64 / whole.max(1) as f64;
    Share((ratio * f64::from(Share::ALL.0)) as u32)
}

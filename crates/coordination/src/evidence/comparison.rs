//! The comparison of a candidate with the stable version over routes and endpoints.
//!
//! The false-alarm rate α is divided among several e-processes by weights that add up to one:
//! half for failures and half for slowness; in each, half for all routes together and half for
//! single routes. The n-th route that is seen has the weight 1 / (n (n + 1)), so the number of
//! routes need not be known.
//!
//! - Failures: bad calls are failures and refusals. They must not come from one group of endpoints
//!   alone, since that is a bad host and not a bad version.
//! - Slowness: a call of the candidate is slow if it takes longer than the permitted slowdown times
//!   a quantile of the stable version. Most groups of endpoints must be slow, since the others may
//!   be on slower hosts. The first calls of the candidate don't count, since its endpoints are cold.

use indexmap::IndexMap;
use sycamoreflow_state::config::{RolloutRule, Share};
use sycamoreflow_state::ids::{Millis, RouteName};
use sycamoreflow_state::rollout::{BadRatio, TakeBackReason};

use super::histogram::{Histogram, shift};
use super::odds::latency::{Latencies, latency_odds};
use super::odds::{Odds, failure_odds};
use super::sequential::{Batch, EProcess, LogFactors, log_sum};
use super::{Counts, GROUPS, RouteEvidence, VersionEvidence};

/// Calls per endpoint of the candidate that don't count as slow, for caches to fill.
pub const COLD_CALLS: u64 = 30;
/// Part of the horizon after which its calls count as slow whatever their number, counted from the
/// first one. A rollout of seconds has too few calls otherwise; platforms that order one announce
/// cold starts of 3 s.
const COLD_PART: u64 = 8;
/// Shares of the stable version's calls above the thresholds of slowness. The wider one finds a
/// shift of all calls, the narrower one a longer tail.
const SLOW_TAILS: [f64; 2] = [0.25, 0.05];
/// Calls of the stable version on a route before its quantiles are used.
const MIN_QUANTILE_CALLS: u64 = 100;
/// A batch is closed at this ratio of stable to candidate calls, or at this number of stable
/// calls. More calls would add little, since the factors are limited by the ratio.
const CLOSE_RATIO: u64 = 20;
const CLOSE_CALLS: u64 = 10;
/// A smaller batch is closed at this number of stable calls if their ratio to those of the
/// candidate is near that of all calls of the route, since waiting would not raise it.
const SMALL_CALLS: u64 = 3;
const NEAR: f64 = 0.8;
/// A batch with calls of both versions is closed at this age.
const CLOSE_AGE: Millis = Millis(10_000);
/// A batch with calls of one version only is dropped at this age, since its calls are too far
/// apart to have met the same conditions. It is dropped at [`CLOSE_CALLS`] calls of the candidate
/// too: at full share they would dilute the calls of a comparison that begins later.
const DROP_AGE: Millis = Millis(30_000);
/// Part of the bad calls that may come from one group of endpoints.
const MAX_GROUP_PART: f64 = 0.8;
/// Bad calls that the other groups must be expected to have before their absence means anything. By
/// chance, none of five occurs in less than 1% of all cases.
const MIN_EXPECTED_BAD: f64 = 5.0;
/// Calls from which on a group of endpoints is compared with the others.
const MIN_GROUP_CALLS: u64 = 5;
/// Log odds of a clear fault that condemn a candidate at least, whatever the false-alarm rate. One bad
/// host contributes 2.5 to them.
const MIN_VERDICT_ODDS: f64 = 6.0;
/// Highest usable false-alarm rate. At 100% the threshold is zero, by which suspicion is divided.
const MAX_FALSE_ALARM: Share = Share::percent(50);

#[derive(Clone, Copy, Debug)]
struct Rules {
    margin: f64,
    slow_shift: u8,
    refusals_are_bad: bool,
}

/// The comparison of one rollout.
#[derive(Clone, Debug)]
pub struct Comparison {
    rules: Rules,
    log_alpha: f64,
    /// Time over which changes are expected. Half of the weight of late starts is spent within it.
    horizon: Millis,
    started: Option<Millis>,
    all: Tests,
    routes: IndexMap<RouteName, RouteState>,
    candidate_calls: u64,
    /// When the first call of the candidate was added.
    first_call: Option<Millis>,
    /// Whether the latencies of the candidate count.
    warm: bool,
}

/// What is known of one route, for the log.
#[derive(Clone, Copy, Debug)]
pub struct RouteSummary<'a> {
    /// The route.
    pub route: &'a RouteName,
    /// Calls of the stable version since the first report.
    pub stable: &'a VersionEvidence,
    /// Calls of the candidate since the first report.
    pub candidate: &'a VersionEvidence,
    /// Calls whose latencies were compared.
    pub compared: Batch,
    /// Log odds of a clear fault on this route.
    pub odds: Odds,
}

#[derive(Clone, Debug, Default)]
struct Tests {
    bad: EProcess,
    slow: [[EProcess; SLOW_TAILS.len()]; GROUPS],
    totals: Totals,
    slow_totals: Batch,
}

#[derive(Clone, Copy, Debug, Default)]
struct Totals {
    calls: [u64; GROUPS],
    bad: [u64; GROUPS],
    stable_calls: u64,
    stable_bad: u64,
}

#[derive(Clone, Debug, Default)]
struct RouteState {
    tests: Tests,
    /// All calls that were added.
    seen: RouteEvidence,
    /// Those of the current step whose odds are taken. Latencies of the time in which the endpoints of
    /// the candidate are cold are missing.
    step: RouteEvidence,
    /// Calls of the candidate that have not ended, by age.
    waiting: VersionEvidence,
    /// Calls of the stable version at earlier steps.
    earlier_stable: VersionEvidence,
    /// Odds of the current step.
    step_odds: Odds,
    /// Whether calls were added after the odds were taken.
    changed: bool,
    /// Calls of the candidate that came while it was warm, at all steps.
    weighed_calls: u64,
    /// Odds of the steps before, each from calls of both versions over the same time.
    earlier_odds: Odds,
    pending: RouteEvidence,
    opened: Millis,
    stable_latency: Histogram,
}

impl Comparison {
    /// Starts without evidence, with the false-alarm rate of the rule. `window` is the time from the
    /// start of the rollout to its finish time.
    pub fn new(rule: &RolloutRule, window: Millis) -> Self {
        Self {
            rules: Rules {
                margin: rule.max_extra_failures.ratio(),
                slow_shift: shift(rule.max_slowdown_percent),
                refusals_are_bad: true,
            },
            log_alpha: rule
                .false_alarm
                .clamp(Share(1), MAX_FALSE_ALARM)
                .ratio()
                .ln(),
            horizon: window.after(rule.watch).max(Millis(1)),
            started: None,
            all: Tests::default(),
            routes: IndexMap::new(),
            candidate_calls: 0,
            first_call: None,
            warm: false,
        }
    }

    /// Starts a comparison that counts only failures, with a false-alarm rate of its own.
    pub fn of_failures(rule: &RolloutRule, window: Millis, false_alarm: f64) -> Self {
        let mut comparison = Self::new(rule, window);
        comparison.log_alpha = false_alarm.ln();
        comparison.rules.refusals_are_bad = false;
        comparison
    }

    /// Adds new calls of a route.
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
            state.opened = now;
        }
        state.pending.merge(calls);
        state.seen.merge(calls);
        state.changed = true;
        if self.warm {
            state.weighed_calls += calls.candidate.weighed_calls();
            state.step.merge(calls);
        } else {
            state.step.merge(&calls.clone().without_latency());
        }
    }

    /// Takes in how long the calls of the candidate have waited that have not ended, by route.
    pub fn set_waiting(&mut self, mut routes: IndexMap<RouteName, VersionEvidence>) {
        for (route, state) in &mut self.routes {
            let waiting = routes.swap_remove(route).unwrap_or_default();
            state.changed |= waiting != state.waiting;
            state.waiting = waiting;
        }
    }

    /// Closes the batches that are due. It is called at fixed times, since times that depend on
    /// the outcome of calls would bias the test. `endpoints` is the candidate's number.
    pub fn close_batches(&mut self, now: Millis, endpoints: u32) {
        let elapsed = now.since(*self.started.get_or_insert(now)).0 as f64;
        let progress = elapsed / (elapsed + self.horizon.0 as f64);
        self.warm = self.candidate_calls >= COLD_CALLS * u64::from(endpoints)
            || self
                .first_call
                .is_some_and(|at| now.since(at).0 >= self.horizon.0 / COLD_PART);
        for state in self.routes.values_mut() {
            let candidate = state.pending.candidate.calls();
            let stable = state.pending.stable.calls();
            let age = now.since(state.opened);
            if candidate > 0 && stable > 0 {
                if state.is_full() || age >= CLOSE_AGE {
                    let factors = state.close(&self.rules, self.warm, progress);
                    self.all.multiply(&factors, progress);
                }
            } else if age >= DROP_AGE || candidate >= CLOSE_CALLS {
                state.stable_latency.merge(&state.pending.stable.latency());
                state.pending = RouteEvidence::default();
            }
            state.take_odds(&self.rules);
        }
    }

    /// Starts the counts of a step of the rollout. Calls of both versions are compared within a step
    /// only, as the part that one of them has in a bad time depends on the share.
    pub fn enter_step(&mut self) {
        for state in self.routes.values_mut() {
            state.take_odds(&self.rules);
            state.earlier_odds.add(std::mem::take(&mut state.step_odds));
            let step = std::mem::take(&mut state.step);
            state.earlier_stable.merge(&step.stable);
            state.waiting = VersionEvidence::default();
        }
    }

    /// Returns the log odds of a clear fault by all calls; see [`odds`](super::odds). They are far
    /// below zero only if the calls speak for the candidate.
    pub fn odds(&self) -> Odds {
        let mut odds = self.step_odds();
        for state in self.routes.values() {
            odds.add(state.earlier_odds);
        }
        odds
    }

    fn step_odds(&self) -> Odds {
        let mut odds = Odds::default();
        for state in self.routes.values() {
            odds.add(state.step_odds);
        }
        odds
    }

    /// Returns the highest log odds of a clear fault: of the whole rollout or the current step, and of
    /// all routes or a single one. A fault may be confined to any of them.
    pub fn worst_odds(&self) -> Odds {
        // One of many routes is the worst by chance.
        let chance = (self.routes.len().max(1) as f64).ln();
        let mut worst = self.odds().max(self.step_odds());
        for state in self.routes.values() {
            let mut odds = state.all_odds().max(state.step_odds);
            odds.failures -= chance;
            odds.slow -= chance;
            worst = worst.max(odds);
        }
        worst
    }

    /// Returns what is known of each route.
    pub fn routes(&self) -> impl Iterator<Item = RouteSummary<'_>> {
        self.routes.iter().map(|(route, state)| RouteSummary {
            route,
            stable: &state.seen.stable,
            candidate: &state.seen.candidate,
            compared: state.tests.slow_totals,
            odds: state.all_odds(),
        })
    }

    /// Returns the candidate's calls that have been added.
    pub fn candidate_calls(&self) -> u64 {
        self.candidate_calls
    }

    /// Returns the candidate's calls whose failures and latencies are both weighed.
    pub fn weighed_calls(&self) -> u64 {
        self.routes.values().map(|state| state.weighed_calls).sum()
    }

    /// Returns the logarithm of the evidence against the candidate in units of that which is
    /// sufficient: 1 condemns it, 0 and less says nothing.
    pub fn suspicion(&self) -> f64 {
        self.log_bad().max(self.log_slow()) / -self.log_alpha
    }

    /// Returns why the candidate is bad, if the evidence suffices: that of the sequential test, or the
    /// odds of a clear fault, which good versions reach with about the same probability.
    pub fn verdict(&self) -> Option<TakeBackReason> {
        let needed = -self.log_alpha;
        let clear = needed.max(MIN_VERDICT_ODDS);
        let odds = self.worst_odds();
        let fails = self.log_bad() >= needed && !self.all.totals.concentrated();
        if fails || odds.failures >= clear {
            return Some(TakeBackReason::Failures(self.bad_ratio()));
        }
        if self.log_slow() >= needed || odds.slow >= clear {
            return Some(TakeBackReason::Slow(self.slow_ratio()));
        }
        None
    }

    /// Returns the bad calls of the route whose odds of a fault are highest: failures, or calls above a
    /// latency that one in twenty calls of the stable version exceeds.
    pub fn worst_ratio(&self) -> BadRatio {
        let highest = |state: &RouteState| state.all_odds().max(state.step_odds).highest();
        let routes = self.routes.iter();
        let worst = routes.max_by(|(_, a), (_, b)| highest(a).total_cmp(&highest(b)));
        let Some((route, state)) = worst else {
            return self.bad_ratio();
        };
        let odds = state.all_odds().max(state.step_odds);
        let RouteEvidence { stable, candidate } = &state.seen;
        let (candidate, stable) = if odds.slow > odds.failures {
            let latency = stable.latency();
            let threshold = latency.upper_bucket(SLOW_TAILS[1]);
            let slow = |version: &Histogram| (version.above(threshold), version.total());
            (slow(&candidate.latency()), slow(&latency))
        } else {
            let bad = |counts: Counts| (counts.failures + counts.refusals, counts.calls);
            (bad(candidate.totals()), bad(stable.totals()))
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

    /// Returns the value that most groups reach. By Markov's inequality at least half of the groups
    /// exceed a bound at most twice as often as a single one does, hence the factor of a half more.
    fn log_slow(&self) -> f64 {
        let used: Vec<usize> = (0..GROUPS)
            .filter(|group| self.all.totals.calls[*group] > 0)
            .collect();
        if used.is_empty() {
            return f64::NEG_INFINITY;
        }
        let value = |group: usize| self.log_weighted(|tests| tests.log_slow(group));
        let mut values: Vec<f64> = used.iter().map(|group| value(*group)).collect();
        values.sort_by(|a, b| b.total_cmp(a));
        0.25_f64.ln() + values[used.len() / 2]
    }

    fn log_weighted(&self, value: impl Fn(&Tests) -> f64) -> f64 {
        let half = 0.5_f64.ln();
        let routes = self.routes.values().enumerate().map(|(index, state)| {
            let n = index as f64 + 1.0;
            half - (n * (n + 1.0)).ln() + value(&state.tests)
        });
        let logs: Vec<f64> = routes.chain([half + value(&self.all)]).collect();
        log_sum(logs.into_iter())
    }

    /// Returns the tests with the highest value: those of a route, or of all routes.
    fn strongest(&self, value: impl Fn(&Tests) -> f64) -> (Option<RouteName>, &Tests) {
        let mut strongest = (None, &self.all);
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
        let sum = |tests: &Tests| (0..GROUPS).map(|group| tests.log_slow(group)).sum::<f64>();
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

impl Tests {
    fn log_slow(&self, group: usize) -> f64 {
        let weight = -(SLOW_TAILS.len() as f64).ln();
        let logs = self.slow[group].map(|process| process.log_value() + weight);
        log_sum(logs.into_iter())
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

impl Totals {
    fn of(calls: &RouteEvidence, refusals_are_bad: bool) -> Self {
        let bad = |counts: &Counts| {
            let refused = if refusals_are_bad { counts.refusals } else { 0 };
            counts.failures + refused
        };
        let stable = calls.stable.totals();
        let mut totals = Self {
            stable_calls: stable.calls,
            stable_bad: bad(&stable),
            ..Self::default()
        };
        for (index, group) in calls.candidate.groups().iter().enumerate() {
            totals.calls[index] = group.counts.calls;
            totals.bad[index] = bad(&group.counts);
        }
        totals
    }

    fn add(&mut self, other: &Self) {
        for group in 0..GROUPS {
            self.calls[group] += other.calls[group];
            self.bad[group] += other.bad[group];
        }
        self.stable_calls += other.stable_calls;
        self.stable_bad += other.stable_bad;
    }

    fn batch(&self) -> Batch {
        Batch {
            candidate_calls: self.calls.iter().sum(),
            candidate_bad: self.bad.iter().sum(),
            stable_calls: self.stable_calls,
            stable_bad: self.stable_bad,
        }
    }

    /// Returns whether one of several groups of endpoints has nearly all bad calls, although the
    /// others have had enough calls to show a fault of the version.
    fn concentrated(&self) -> bool {
        let used = self.calls.iter().filter(|calls| **calls >= MIN_GROUP_CALLS);
        let worst = (0..GROUPS)
            .max_by_key(|group| self.bad[*group])
            .unwrap_or(0);
        let most = self.bad[worst];
        let all: u64 = self.bad.iter().sum();
        let calls: u64 = self.calls.iter().sum();
        let other_calls = calls - self.calls[worst];
        // Bad calls that the others would have had at the rate of the worst group.
        let expected = other_calls as f64 * most as f64 / self.calls[worst].max(1) as f64;
        used.count() > 1
            && most as f64 > MAX_GROUP_PART * all as f64
            && expected >= MIN_EXPECTED_BAD
    }
}

/// What a closed batch says.
struct Factors {
    bad: LogFactors,
    slow: [[LogFactors; SLOW_TAILS.len()]; GROUPS],
    totals: Totals,
    slow_totals: Batch,
}

impl RouteState {
    fn all_odds(&self) -> Odds {
        let mut odds = self.earlier_odds;
        odds.add(self.step_odds);
        odds
    }

    fn take_odds(&mut self, rules: &Rules) {
        if !std::mem::take(&mut self.changed) {
            return;
        }
        let RouteEvidence { stable, candidate } = &self.step;
        let latencies = Latencies {
            stable,
            earlier_stable: &self.earlier_stable,
            candidate,
            waiting: &self.waiting,
        };
        self.step_odds = Odds {
            failures: failure_odds(stable, candidate, rules.refusals_are_bad),
            slow: latency_odds(&latencies, rules.slow_shift),
        };
    }

    /// Decides by the numbers of calls alone, never by their outcome, which would bias the test.
    fn is_full(&self) -> bool {
        let stable = self.pending.stable.calls();
        let candidate = self.pending.candidate.calls();
        let ratio = stable as f64 / candidate as f64;
        let totals = &self.tests.totals;
        let all: u64 = totals.calls.iter().sum();
        let usual = totals.stable_calls as f64 / all as f64;
        stable >= CLOSE_RATIO * candidate
            || stable >= CLOSE_CALLS
            || (stable >= SMALL_CALLS && ratio >= NEAR * usual)
    }

    /// Takes the pending calls as a batch.
    fn close(&mut self, rules: &Rules, warm: bool, progress: f64) -> Factors {
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
            let threshold = self.stable_latency.upper_bucket(*share);
            let stable = Batch {
                stable_calls: stable_latency.total(),
                stable_bad: stable_latency.above(threshold),
                ..Batch::default()
            };
            let slow = threshold.saturating_add(slow_shift);
            let mut total = stable;
            for (group, evidence) in calls.candidate.groups().iter().enumerate() {
                let batch = Batch {
                    candidate_calls: evidence.latency.total(),
                    candidate_bad: evidence.latency.above(slow),
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

fn share(part: u64, whole: u64) -> Share {
    let ratio = part as f64 / whole.max(1) as f64;
    Share((ratio * f64::from(Share::ALL.0)) as u32)
}

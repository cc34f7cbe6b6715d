//! Collects the call statistics of rollouts at an entry daemon, and decides on its local cut-off.

use indexmap::IndexMap;
use sycamoreflow_state::config::{Candidate, RolloutRule, Share, TrafficSplit};
use sycamoreflow_state::ids::{Millis, RouteName};

use super::comparison::Comparison;
use super::histogram::{Histogram, bucket, slowdown_buckets};
use waiting::WaitingCalls;

use super::{CallOutcome, FinishedCall, RolloutEvidence, RouteEvidence, StartedCall};
use crate::shares::ShareReport;

mod waiting;

/// Probability that a daemon cuts off a good version during one rollout. It is far below the usual
/// false-alarm rate of a whole mesh, since thousands of daemons decide independently.
pub const LOCAL_FALSE_ALARM: f64 = 1e-4;
/// Interval at which the local cut-off evaluates the recorded calls.
pub const LOCAL_EVALUATION_INTERVAL: Millis = Millis(200);
/// Encoded bytes per service in a report, unless the caller sets another budget. It leaves most of
/// 3 KB/s to the other messages of a daemon.
pub const DEFAULT_BUDGET_BYTES: usize = 600;
/// Maximum number of routes recorded per service. Calls of further routes are counted under the
/// last one.
const MAX_ROUTES: usize = 64;

/// Call statistics of one service's rollout at an entry daemon, with the local cut-off.
#[derive(Clone, Debug, Default)]
pub struct EvidenceRecorder {
    rollout: Option<u64>,
    share: Share,
    routes: IndexMap<RouteName, RouteEvidence>,
    waiting: WaitingCalls,
    next_route: usize,
    cut_off: LocalCutoff,
    change_detector: ChangeDetector,
}

impl EvidenceRecorder {
    /// Creates a recorder without recorded calls.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records that a first attempt is being sent. If it is tracked until it ends, returns the
    /// number to pass to [`Self::ended`] or [`Self::abandoned`].
    pub fn started(
        &mut self,
        now: Millis,
        split: &TrafficSplit,
        rule: &RolloutRule,
        call: &StartedCall<'_>,
    ) -> Option<u64> {
        let candidate = split.candidate.as_ref()?;
        if *call.version != candidate.version {
            return None;
        }
        self.enter(now, candidate, rule);
        self.waiting.start(now, call.route, call.endpoint)
    }

    /// Stops tracking a call that was answered.
    pub fn ended(&mut self, number: u64) {
        self.waiting.end(number);
    }

    /// Stops tracking a call that timed out or whose caller disconnected. Its waiting time is kept
    /// as a lower bound of its latency.
    pub fn abandoned(&mut self, now: Millis, number: u64) {
        self.waiting.abandon(now, number);
    }

    /// Counts a finished call. Returns the rollout to stop at this daemon if the candidate is
    /// clearly bad; later calls are not counted.
    pub fn record(
        &mut self,
        now: Millis,
        split: &TrafficSplit,
        rule: &RolloutRule,
        call: &FinishedCall<'_>,
    ) -> Option<u64> {
        let candidate = split.candidate.as_ref()?;
        self.enter(now, candidate, rule);
        let to_candidate = *call.version == candidate.version;
        let counted = to_candidate || *call.version == split.stable;
        if !counted || self.cut_off.active {
            return None;
        }
        self.route(call.route).record(call, to_candidate);
        self.change_detector.record(rule, call, to_candidate);
        let cut = self.cut_off.record(now, call, to_candidate);
        cut.then_some(candidate.rollout)
    }

    /// Returns whether the candidate of `rollout` has been cut off at this daemon.
    pub fn is_cut_off(&self, rollout: u64) -> bool {
        self.rollout == Some(rollout) && self.cut_off.active
    }

    /// Returns whether some calls should go to the stable version although the candidate has all
    /// traffic, because the candidate performs worse than the stable version did; see
    /// [`ShareCounter::set_comparing`](crate::shares::ShareCounter::set_comparing).
    pub fn wants_comparison(&self) -> bool {
        self.share == Share::ALL && self.change_detector.suspicious
    }

    /// Returns the statistics to report, at most [`DEFAULT_BUDGET_BYTES`] unless a single route
    /// needs more. Returns `None` if no rollout is known.
    pub fn report(&mut self, now: Millis, shares: ShareReport) -> Option<RolloutEvidence> {
        self.report_within(now, shares, DEFAULT_BUDGET_BYTES)
    }

    /// Returns the statistics that fit into `budget` encoded bytes, at least those of one route.
    /// Routes that don't fit are included in the next reports in rotation; the counts are
    /// cumulative, so none are lost.
    pub fn report_within(
        &mut self,
        now: Millis,
        shares: ShareReport,
        budget: usize,
    ) -> Option<RolloutEvidence> {
        let rollout = self.rollout?;
        let mut routes = IndexMap::new();
        let mut ages = self.waiting.ages(now);
        let mut waiting = IndexMap::new();
        let mut size = 0;
        for _ in 0..self.routes.len() {
            let index = self.next_route % self.routes.len();
            let Some((route, evidence)) = self.routes.get_index(index) else {
                break;
            };
            let age = ages.swap_remove(route).unwrap_or_default();
            size += evidence.encoded_size() + age.encoded_size() + route.as_str().len();
            if size > budget && !routes.is_empty() {
                break;
            }
            routes.insert(route.clone(), evidence.clone());
            if age.has_latency() {
                waiting.insert(route.clone(), age);
            }
            self.next_route = index + 1;
        }
        Some(RolloutEvidence {
            rollout,
            share: self.share,
            shares,
            cut_off: self.cut_off.active,
            routes,
            waiting,
        })
    }

    fn enter(&mut self, now: Millis, candidate: &Candidate, rule: &RolloutRule) {
        if self.rollout != Some(candidate.rollout) {
            *self = Self {
                rollout: Some(candidate.rollout),
                share: candidate.share,
                cut_off: LocalCutoff::new(now, candidate, rule),
                ..Self::default()
            };
        }
        if self.share != candidate.share {
            self.share = candidate.share;
            self.routes.clear();
            self.waiting.clear();
            self.cut_off.enter_step(now);
        }
    }

    fn route(&mut self, name: &RouteName) -> &mut RouteEvidence {
        let known = self.routes.get_index_of(name);
        let index = known.unwrap_or_else(|| {
            if self.routes.len() < MAX_ROUTES {
                self.routes
                    .insert_full(name.clone(), RouteEvidence::default())
                    .0
            } else {
                MAX_ROUTES - 1
            }
        });
        &mut self.routes[index]
    }
}

/// Stops traffic to the candidate at one daemon on the statistics of this daemon alone, before the
/// leader decides.
///
/// It evaluates failures only: refused calls have not run and are sent elsewhere, and detecting
/// slowness takes more calls than one daemon has.
#[derive(Clone, Debug, Default)]
struct LocalCutoff {
    comparison: Option<Comparison>,
    recent: IndexMap<RouteName, RouteEvidence>,
    next_evaluation: Millis,
    active: bool,
}

impl LocalCutoff {
    fn new(now: Millis, candidate: &Candidate, rule: &RolloutRule) -> Self {
        let comparison = Comparison::failures_only(rule, candidate.window, LOCAL_FALSE_ALARM);
        Self {
            comparison: Some(comparison),
            recent: IndexMap::new(),
            next_evaluation: now.after(LOCAL_EVALUATION_INTERVAL),
            active: false,
        }
    }

    /// Counts a call. Returns whether the cut-off is active.
    fn record(&mut self, now: Millis, call: &FinishedCall<'_>, to_candidate: bool) -> bool {
        if now >= self.next_evaluation {
            self.evaluate(now);
        }
        if self.recent.len() < MAX_ROUTES || self.recent.contains_key(call.route) {
            let recent = self.recent.entry(call.route.clone()).or_default();
            recent.count(call, to_candidate);
        }
        self.active
    }

    /// Evaluates the calls of the current share before a new one begins, because calls at different
    /// shares are not comparable.
    fn enter_step(&mut self, now: Millis) {
        self.evaluate(now);
        if let Some(comparison) = &mut self.comparison {
            comparison.enter_step();
        }
    }

    fn evaluate(&mut self, now: Millis) {
        self.next_evaluation = now.after(LOCAL_EVALUATION_INTERVAL);
        let Some(comparison) = &mut self.comparison else {
            return;
        };
        for (route, calls) in self.recent.drain(..) {
            comparison.add(now, &route, &calls);
        }
        comparison.close_batches(now, 0);
        self.active = comparison.roll_back_reason().is_some();
    }
}

/// Detects that the candidate performs worse than the stable version did before. It only requests a
/// comparison, so it needs no bound on its false-alarm rate.
///
/// It uses CUSUM sums: they increase by one with each bad call, decrease by the permitted rate with
/// each call, and never fall below zero.
#[derive(Clone, Debug, Default)]
struct ChangeDetector {
    stable_calls: u64,
    stable_bad: u64,
    stable_latency: Histogram,
    bad: f64,
    slow: [f64; SLOW_TAILS.len()],
    suspicious: bool,
}

/// Factor from the permitted ratio of bad calls to the amount by which each call decreases the sum.
const REFERENCE_FACTOR: f64 = 1.2;
/// Sum at which a comparison begins. It ends when all sums have returned to zero.
const COMPARISON_THRESHOLD: f64 = 3.0;
/// Upper bound of the sums, which limits how long a comparison continues after a fault has ended.
const MAX_SUM: f64 = 8.0;
/// Fractions of the stable calls above the thresholds for slow calls: the larger one detects a
/// shift of all calls within few calls, the smaller one detects a longer tail.
const SLOW_TAILS: [f64; 2] = [0.25, 0.05];

impl ChangeDetector {
    fn record(&mut self, rule: &RolloutRule, call: &FinishedCall<'_>, to_candidate: bool) {
        let bad = call.outcome != CallOutcome::Succeeded;
        if !to_candidate {
            self.stable_calls += 1;
            self.stable_bad += u64::from(bad);
            self.stable_latency.record(call.latency_us);
            return;
        }
        let baseline = self.stable_bad as f64 / self.stable_calls.max(1) as f64;
        let permitted = baseline + rule.max_extra_failures.ratio();
        self.bad = cusum(self.bad, bad, permitted);
        let mut highest = self.bad;
        for (sum, tail) in self.slow.iter_mut().zip(SLOW_TAILS) {
            let threshold = self.stable_latency.quantile_bucket(tail);
            let limit = threshold.saturating_add(slowdown_buckets(rule.max_slowdown_percent));
            let slow = self.stable_calls > 0 && bucket(call.latency_us) > limit;
            *sum = cusum(*sum, slow, tail);
            highest = highest.max(*sum);
        }
        self.suspicious = highest >= COMPARISON_THRESHOLD || (self.suspicious && highest > 0.0);
    }
}

fn cusum(sum: f64, bad: bool, permitted: f64) -> f64 {
    let step = f64::from(u8::from(bad)) - REFERENCE_FACTOR * permitted;
    (sum + step).clamp(0.0, MAX_SUM)
}

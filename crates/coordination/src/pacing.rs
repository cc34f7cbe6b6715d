//! The part of rollouts that only the leader keeps, in memory: it merges the evidence reports of
//! daemons, decides when to advance or roll back, and grants credits.
//!
//! A step is entered when all of these hold:
//! - It is due. The time left until the finish time is divided evenly among the remaining steps, so
//!   that faults that appear late affect only a small share of the traffic.
//! - Enough calls were reported at the current step: at least as many as the candidate will receive
//!   at the next one before a fault could be noticed, and before the last step as many as are
//!   needed to detect a clear fault.
//! - The candidate has endpoints with enough slots for the next share.
//! - The evidence does not indicate a fault of the candidate, and its calls support it.
//! - The daemons that have reported so far still report. A new leader therefore waits until it has
//!   collected evidence again, and missing data never causes a step.
//! - If the rule limits the exposure, the exposure budget of the daemons suffices for the test
//!   under full load.
//!
//! Daemons enforce an exposure limit by themselves, so it holds regardless of the decisions made
//! here. With such a limit, the last step is a test under [full load](crate::full_load), and the
//! version receives all traffic only if the calls of this test support it: calls at smaller shares
//! cannot reveal a fault that depends on load. Because the cost of the test is limited, it may
//! begin while the earlier calls leave some doubt.
//!
//! A version is rolled back if its calls do not support it when its time has expired or the watch
//! period ends, or if it stays under strong suspicion. Otherwise it would keep its share for as
//! long as the evidence is inconclusive.
//!
//! Decisions use two kinds of odds. The sums over all routes permit steps, because calls of a good
//! version support it on any route. The highest odds, including those of a single route or step,
//! hold a version or roll it back, because a fault may be confined to one of them; see
//! [`Comparison::worst_odds`]. As a result, one of many routes with few calls can neither permit a
//! step nor, by chance, prevent it for long.
//!
//! When there is too little traffic for a step, the rule decides at the finish time. Rolling back
//! requires evidence at this leader; missing reports are not evidence.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use sycamoreflow_state::config::{LowTraffic, Share};
use sycamoreflow_state::ids::{DaemonId, Millis, ServiceName, VersionName};
use sycamoreflow_state::rollout::{RollBackReason, Rollout, RolloutPhase};

use crate::evidence::EvidenceReport;
use crate::evidence::comparison::Comparison;
use crate::evidence::odds::Odds;
use crate::full_load;
use crate::rollout::{RolloutAction, RolloutCommand, Rollouts};
use crate::shares::exposure::{Exposed, SLACK_RESERVE};
use crate::shares::{Grant, MAX_REPORT_AGE};

use plan::{Plan, ReportedTraffic, RequiredCalls};
use tracker::Tracker;

mod plan;
#[cfg(test)]
mod tests;
mod tracker;

/// Interval between ticks. A bad version received up to 285 further calls with an interval of one
/// second, and 175 with 250 ms.
pub const TICK_INTERVAL: Millis = Millis(250);
/// Time after which a command that has had no effect is proposed again.
pub const REPROPOSE_AFTER: Millis = Millis(2_000);
/// Suspicion at or above which no step is entered; see
/// [`Comparison::suspicion`](crate::evidence::comparison::Comparison::suspicion). A good version
/// reaches it with a probability of at most the fourth root of the false-alarm rate, and only
/// temporarily.
pub const MAX_SUSPICION: f64 = 0.25;
/// Log odds of a clear fault above which no step is entered; see
/// [`Comparison::worst_odds`](crate::evidence::comparison::Comparison::worst_odds).
pub const MAX_LOG_ODDS: f64 = 1.0;
/// Log odds of a clear fault above which a version is rolled back after a while: the probability of
/// a fault is then about seven in eight.
pub const SUSPECT_LOG_ODDS: f64 = 2.0;
/// A version whose log odds stay above [`SUSPECT_LOG_ODDS`] for the window of the rollout divided
/// by this number is rolled back.
const SUSPECT_WINDOW_DIVISOR: u64 = 6;
/// Log odds of a clear fault at or below which a step may be entered, so that the calls support the
/// version. A faulty version is below it with a probability of about exp(-2), 14%.
pub const STEP_LOG_ODDS: f64 = -2.0;
/// The same for the step to all traffic, which exposes the most calls. A faulty version is below it
/// with a probability of about exp(-6), one in 400.
pub const LAST_STEP_LOG_ODDS: f64 = -6.0;
/// Log odds at or below which a test under full load may pass before its time has expired, based on
/// the calls of the test alone. The threshold for slow calls is lower because a version that slows
/// down part of its calls is harder to tell from a slower host than one that fails.
pub const EARLY_PASS_LOG_ODDS: Odds = Odds {
    failures: -6.0,
    slow: -8.0,
};
/// Log odds at or below which a test under full load passes when its time has expired.
pub const TEST_LOG_ODDS: Odds = Odds {
    failures: -4.0,
    slow: -2.5,
};
/// Log odds for slow calls of all steps at or below which such a test passes. Calls of a good
/// version also take longer under load, so the calls of the test alone are not sufficient.
pub const TESTED_SLOW_LOG_ODDS: f64 = -5.0;

/// Endpoints of one version that accept calls.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Capacity {
    /// Number of endpoints that are not draining.
    pub endpoints: u32,
    /// Total number of their slots.
    pub slots: u32,
}

/// Why a rollout does not advance, as shown to the operator. The names of the variants also appear
/// in log lines.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Waiting {
    /// All conditions are met; the next step is entered when it is due.
    OnPlan,
    /// Too few calls have been reported at this step.
    Evidence,
    /// Enough calls have been reported, but they do not support the candidate clearly enough.
    Support,
    /// The candidate has too few endpoints for the next share.
    Endpoints,
    /// The evidence indicates a fault of the candidate but is not sufficient to roll back.
    Suspicion,
    /// Too few daemons have reported since this leader took over.
    Reports,
    /// The remaining exposure that the rule allows is too small for the next share.
    Exposure,
    /// The finish time has passed with too little traffic, and the rule is to stay at the
    /// current share.
    LowTraffic,
}

/// Forecast of the leader for a rollout in progress.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct Forecast {
    /// What the next step waits for.
    pub waiting: Waiting,
    /// When the next step is due, in milliseconds since the Unix epoch.
    pub next_step: Millis,
    /// When the candidate is expected to receive all traffic, or `None` if the calls reported so
    /// far do not allow an estimate.
    pub expected_finish: Option<Millis>,
    /// Whether the rollout is expected to miss its finish time.
    pub late: bool,
}

/// Progress of a rollout as seen by the leader, for the log.
#[derive(Clone, Copy, Debug)]
pub struct Progress<'a> {
    /// Number of the rollout.
    pub rollout: u64,
    /// What the next step waits for, or `None` before the first decision.
    pub waiting: Option<Waiting>,
    /// Reported calls of the candidate at all steps.
    pub candidate_calls: u64,
    /// Reported calls of the candidate at the current step.
    pub step_calls: u64,
    /// Evidence against the candidate; at 1 it is rolled back.
    pub suspicion: f64,
    /// Highest log odds of a clear fault; see [`Comparison::worst_odds`].
    pub log_odds: f64,
    /// Calls of the service and of the candidate so far, as reported by daemons.
    pub exposed: Exposed,
    /// The evidence on which the odds are based.
    pub comparison: &'a Comparison,
    /// Number of daemons that have stopped sending to the candidate by their own decision.
    pub cut_off: usize,
}

/// Decides the steps of all rollouts at the leader. Each new leader starts with an empty one.
#[derive(Clone, Debug)]
pub struct Pacer {
    term: u64,
    trackers: BTreeMap<u64, Tracker>,
    last_report_at: Option<Millis>,
}

impl Pacer {
    /// Creates a pacer without evidence. `term` is the term of this leader.
    pub fn new(term: u64) -> Self {
        Self {
            term,
            trackers: BTreeMap::new(),
            last_report_at: None,
        }
    }

    /// Adds the report of a daemon. Reports on rollouts that [`tick`](Self::tick) has not seen yet
    /// are ignored; nothing is lost because reports are cumulative. Daemons also report when they
    /// have no evidence, so that a lack of traffic can be told from a lack of reports.
    pub fn report(&mut self, now: Millis, daemon: &DaemonId, report: &EvidenceReport) {
        self.last_report_at = Some(now);
        for evidence in &report.rollouts {
            if let Some(tracker) = self.trackers.get_mut(&evidence.rollout) {
                tracker.report(now, daemon, report.incarnation, evidence);
            }
        }
    }

    /// Returns the commands to propose to the log. To be called once per [`TICK_INTERVAL`].
    ///
    /// `now` is in milliseconds since the Unix epoch; `capacity` returns the capacity of a version
    /// of a service. A command that is lost is returned again by a later tick.
    pub fn tick(
        &mut self,
        now: Millis,
        rollouts: &Rollouts,
        capacity: impl Fn(&ServiceName, &VersionName) -> Capacity,
    ) -> Vec<RolloutCommand> {
        self.trackers.retain(|number, _| {
            let rollout = rollouts.get(*number);
            rollout.is_some_and(|rollout| !rollout.phase.is_final())
        });
        let has_recent_reports = self
            .last_report_at
            .is_some_and(|at| now.since(at) < MAX_REPORT_AGE);
        let mut commands = Vec::new();
        for rollout in rollouts.running() {
            let tracker = self
                .trackers
                .entry(rollout.number)
                .or_insert_with(|| Tracker::new(now, self.term, rollout));
            let stable = capacity(&rollout.service, &rollout.from);
            let candidate = capacity(&rollout.service, &rollout.to);
            tracker.tick(now, rollout, candidate.endpoints);
            let action = decide(
                now,
                rollout,
                tracker,
                [stable, candidate],
                has_recent_reports,
            );
            commands.extend(propose(now, rollout, tracker, action));
        }
        commands
    }

    /// Discards the record that a command was proposed, so that the next tick may return it again.
    pub fn forget_proposal(&mut self, command: &RolloutCommand) {
        if let Some(tracker) = self.trackers.get_mut(&command.rollout) {
            tracker.proposed = None;
        }
    }

    /// Returns the credit grants to send now, with the daemon that each is for.
    pub fn grants(&mut self, now: Millis) -> Vec<(DaemonId, Grant)> {
        let trackers = self.trackers.values_mut();
        trackers
            .flat_map(|tracker| tracker.pool.grants(now))
            .collect()
    }

    /// Returns the forecast of a rollout in progress, or `None` before the first tick that saw it.
    pub fn forecast(&self, rollout: u64) -> Option<Forecast> {
        self.trackers.get(&rollout)?.forecast
    }

    /// Returns the progress of the rollouts in progress, ordered by number.
    pub fn progress(&self) -> impl Iterator<Item = Progress<'_>> {
        self.trackers.iter().map(|(rollout, tracker)| Progress {
            rollout: *rollout,
            waiting: tracker.forecast.map(|forecast| forecast.waiting),
            candidate_calls: tracker.comparison.candidate_calls(),
            step_calls: tracker.step_calls,
            suspicion: tracker.comparison.suspicion(),
            log_odds: tracker.comparison.worst_odds().highest(),
            exposed: tracker.exposed(),
            comparison: &tracker.comparison,
            cut_off: tracker.cut_off(),
        })
    }

    /// Returns the number of daemons that have stopped sending to the candidate on their
    /// own decision.
    pub fn cut_off(&self, rollout: u64) -> usize {
        let tracker = self.trackers.get(&rollout);
        tracker.map_or(0, Tracker::cut_off)
    }
}

fn propose(
    now: Millis,
    rollout: &Rollout,
    tracker: &mut Tracker,
    action: Option<RolloutAction>,
) -> Option<RolloutCommand> {
    let action = action?;
    let roll_back = matches!(action, RolloutAction::TakeBack(_));
    let key = (rollout.step, rollout.phase, roll_back);
    if let Some((proposed, at)) = tracker.proposed
        && proposed == key
        && now.since(at) < REPROPOSE_AFTER
    {
        return None;
    }
    tracker.proposed = Some((key, now));
    Some(RolloutCommand {
        rollout: rollout.number,
        step: rollout.step,
        at: now,
        action,
    })
}

fn decide(
    now: Millis,
    rollout: &Rollout,
    tracker: &mut Tracker,
    capacity: [Capacity; 2],
    has_recent_reports: bool,
) -> Option<RolloutAction> {
    if let Some(reason) = tracker.comparison.roll_back_reason() {
        return Some(RolloutAction::TakeBack(reason));
    }
    let plan = Plan::new(rollout, capacity[1].endpoints);
    let waiting = waiting_reason(now, rollout, tracker, &plan, capacity, has_recent_reports);
    let traffic = ReportedTraffic {
        calls_per_second: tracker.calls_per_second(),
        step_calls: tracker.step_calls,
        total_calls: tracker.comparison.candidate_calls(),
    };
    tracker.forecast = Some(plan.forecast(now, rollout, &traffic, waiting));
    let is_suspect = tracker.is_suspect_for(rollout.window().0 / SUSPECT_WINDOW_DIVISOR, now);
    let is_unproven = matches!(waiting, Waiting::Suspicion | Waiting::Support);
    if is_suspect || (is_unproven && is_step_time_over(now, rollout)) {
        let ratio = tracker.comparison.worst_ratio();
        return Some(RolloutAction::TakeBack(RollBackReason::Suspected(ratio)));
    }
    if waiting != Waiting::OnPlan && is_test_overdue(now, rollout) {
        return Some(RolloutAction::TakeBack(RollBackReason::OutOfTime));
    }
    if waiting != Waiting::OnPlan || now < plan.next_step {
        return None;
    }
    Some(match rollout.phase {
        RolloutPhase::Watching => RolloutAction::Finish,
        RolloutPhase::Testing => RolloutAction::Pass,
        _ if is_test_next(rollout) => RolloutAction::Test {
            extra_calls: extra_calls_per_daemon(rollout, tracker),
            share: compute_test_share(now, rollout, tracker, capacity[1]),
        },
        _ => RolloutAction::Advance,
    })
}

/// Returns whether the time for the current step has expired: the end of the watch period, or the
/// finish time before it.
fn is_step_time_over(now: Millis, rollout: &Rollout) -> bool {
    now >= rollout.watch_until().unwrap_or(rollout.finish_by)
}

/// Returns whether a version with limited exposure has not passed its test by the finish time.
/// Daemons then send no more calls to it.
fn is_test_overdue(now: Millis, rollout: &Rollout) -> bool {
    let is_limited = rollout.rule.max_exposure.is_some() && rollout.passed.is_none();
    is_limited && rollout.phase != RolloutPhase::Planned && now >= rollout.finish_by
}

/// Returns whether the evidence against the version prevents the next step.
fn is_suspect(comparison: &Comparison) -> bool {
    comparison.suspicion() >= MAX_SUSPICION || comparison.worst_odds().highest() > MAX_LOG_ODDS
}

/// Returns whether the evidence against the version also prevents a test with limited cost.
fn is_strongly_suspect(comparison: &Comparison) -> bool {
    comparison.suspicion() >= MAX_SUSPICION || comparison.worst_odds().highest() > SUSPECT_LOG_ODDS
}

/// Returns whether the calls support the version as clearly as the next step requires.
fn is_supported(now: Millis, rollout: &Rollout, comparison: &Comparison) -> bool {
    let is_limited = rollout.rule.max_exposure.is_some();
    let odds = comparison.odds().highest();
    match rollout.next_share() {
        // Before its time has expired, a test passes only on clear evidence.
        None if rollout.phase == RolloutPhase::Testing && !is_step_time_over(now, rollout) => {
            comparison.step_odds().within(EARLY_PASS_LOG_ODDS)
        }
        None if rollout.phase == RolloutPhase::Testing => {
            comparison.step_odds().within(TEST_LOG_ODDS)
                && comparison.odds().slow <= TESTED_SLOW_LOG_ODDS
        }
        None => true,
        Some(Share::ALL) if !is_limited => odds <= LAST_STEP_LOG_ODDS,
        Some(Share::ALL) => odds <= 0.0,
        Some(_) => odds <= STEP_LOG_ODDS,
    }
}

/// Returns whether the next step is the test under full load.
fn is_test_next(rollout: &Rollout) -> bool {
    rollout.rule.max_exposure.is_some() && rollout.next_share() == Some(Share::ALL)
}

/// Returns whether the exposure budget suffices for the test under full load, or the test is
/// not next.
fn has_test_budget(now: Millis, rollout: &Rollout, tracker: &Tracker, endpoints: u32) -> bool {
    let Some(limit) = rollout.rule.max_exposure.filter(|_| is_test_next(rollout)) else {
        return true;
    };
    let share = full_load::proportional_share(endpoints as usize);
    let calls = plan::test_calls(tracker.calls_per_second(), endpoints, share) as f64;
    // Calls answered during the test add to the budget as well.
    let earned = calls * limit.ratio() / share.ratio();
    test_call_budget(now, rollout, tracker, limit) >= calls - earned
}

/// Returns the number of calls in the whole mesh that a test may send in addition to the permitted
/// share of the calls answered during the test.
fn test_call_budget(now: Millis, rollout: &Rollout, tracker: &Tracker, limit: Share) -> f64 {
    let extra = u64::from(extra_calls_per_daemon(rollout, tracker)) * tracker.daemons() as u64;
    (tracker.remaining_exposure(now, limit) + extra) as f64
}

/// Returns the share of the traffic to use for a test: the share that brings the tested endpoints
/// to full load, limited by the exposure budget for all rotation intervals of the test, but at
/// least the share that they will have when the version receives all traffic.
///
/// If another step is next, returns that minimum, because computing the budget iterates over
/// all daemons.
fn compute_test_share(
    now: Millis,
    rollout: &Rollout,
    tracker: &Tracker,
    candidate: Capacity,
) -> Share {
    let endpoints = candidate.endpoints as usize;
    let min_share = full_load::proportional_share(endpoints);
    let (Some(limit), Some(rate), Some(latency_ms)) = (
        rollout.rule.max_exposure.filter(|_| is_test_next(rollout)),
        tracker.calls_per_second().filter(|rate| *rate > 0.0),
        tracker.mean_latency_ms(),
    ) else {
        return min_share;
    };
    let full_load_share =
        full_load::loaded_share(endpoints, candidate.slots, rate * latency_ms / 1_000.0);
    let budget = test_call_budget(now, rollout, tracker, limit);
    let budget_share = limit.ratio() + budget / (rate * full_load::duration_seconds(endpoints));
    let budget_share = Share((budget_share.min(1.0) * f64::from(Share::ALL.0)) as u32);
    full_load_share.min(budget_share).max(min_share)
}

/// Returns the number of calls that each daemon may send during a test in addition to the
/// permitted share.
fn extra_calls_per_daemon(rollout: &Rollout, tracker: &Tracker) -> u32 {
    let distributed = f64::from(rollout.rule.exposure_slack) * (1.0 - SLACK_RESERVE);
    (distributed / tracker.daemons().max(1) as f64) as u32
}

fn waiting_reason(
    now: Millis,
    rollout: &Rollout,
    tracker: &Tracker,
    plan: &Plan,
    [stable, candidate]: [Capacity; 2],
    has_recent_reports: bool,
) -> Waiting {
    let rate = tracker.calls_per_second();
    let slots = plan::slots_needed(rollout, rate, tracker.mean_latency_ms(), stable.slots);
    if candidate.endpoints == 0 || candidate.slots < slots {
        return Waiting::Endpoints;
    }
    // After a passed test, the remaining steps only put the decision into force.
    if rollout.phase == RolloutPhase::Planned || rollout.passed.is_some() {
        return Waiting::OnPlan;
    }
    // The cost of a test is limited, so it is better to begin it in doubt than too late.
    let is_forced_test = is_test_next(rollout) && now >= plan.forced_step;
    let in_doubt = is_forced_test && !is_strongly_suspect(&tracker.comparison);
    if is_suspect(&tracker.comparison) && !in_doubt {
        return Waiting::Suspicion;
    }
    if !has_recent_reports || !tracker.has_enough_reports(now) {
        return Waiting::Reports;
    }
    let test_share = compute_test_share(now, rollout, tracker, candidate);
    let required = RequiredCalls::for_next_step(rollout, rate, candidate.endpoints, test_share);
    if !has_test_budget(now, rollout, tracker, candidate.endpoints) && now < plan.forced_step {
        return Waiting::Exposure;
    }
    let has_enough_calls = tracker.step_calls >= required.step_calls
        && tracker.comparison.candidate_calls() >= required.total_calls;
    let detection_calls = plan::detection_calls(&rollout.rule);
    let has_support = in_doubt || is_supported(now, rollout, &tracker.comparison);
    if has_enough_calls && has_support {
        return Waiting::OnPlan;
    }
    if !has_support && tracker.comparison.evaluated_calls() >= detection_calls {
        return Waiting::Support;
    }
    // A new leader receives the number of earlier calls at once, but not yet the evidence in them.
    if !has_support && tracker.comparison.candidate_calls() >= detection_calls {
        return Waiting::Evidence;
    }
    let is_tested = rollout.phase == RolloutPhase::Testing;
    match rollout.rule.low_traffic {
        LowTraffic::Finish if is_tested && !is_step_time_over(now, rollout) => Waiting::Evidence,
        LowTraffic::Finish if now >= plan.forced_step => Waiting::OnPlan,
        LowTraffic::Stay if now >= rollout.finish_by => Waiting::LowTraffic,
        LowTraffic::Finish | LowTraffic::Stay => Waiting::Evidence,
    }
}

//! The leader's soft part of rollouts: it merges reports, decides steps and take-backs, and
//! grants credits.
//!
//! A step is taken when all of these hold:
//! - it is due: the time left until the finish time is divided evenly among the remaining steps,
//!   so that faults that show late meet a small share;
//! - the calls reported at this step suffice for the next one: at least as many as the candidate
//!   will receive there until a fault could be noticed, and before the last step as many as a clear
//!   fault takes to show;
//! - the new version has endpoints with enough slots for the next share;
//! - the evidence doesn't speak against the new version, and its calls speak for it;
//! - the daemons that reported so far still do, so a new leader waits until its evidence is
//!   refilled, and missing data never moves anything;
//! - if the rule limits the exposure, daemons have room for the test under full load.
//!
//! A limited exposure holds whatever is decided here, since daemons keep to it by themselves. The last
//! step is then a test under [full load](crate::full_load), and the version gets all traffic only if the
//! calls of this test speak for it: those at smaller shares cannot show a fault that depends on load. What
//! the test costs is limited, so it begins also while the calls before it leave some doubt.
//!
//! A version whose calls don't speak for it when its time is over, or when the watch period ends, is
//! taken back, and so is one that stays under strong suspicion: otherwise it would keep its share for
//! as long as the evidence stays unclear.
//!
//! Two kinds of odds decide. Sums over all routes permit steps, since the calls of a good version speak for
//! it wherever they are. The highest ones, of a single route or step too, hold a version and take it back,
//! since a fault may be confined to one; see [`Comparison::worst_odds`]. So one of many routes with few
//! calls can neither permit a step nor, by chance, prevent it for long.
//!
//! When traffic is too low for a step, the rule decides at the finish time. A take-back needs evidence
//! at this leader; the absence of reports is none.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use sycamoreflow_state::config::{LowTraffic, Share};
use sycamoreflow_state::ids::{DaemonId, Millis, ServiceName, VersionName};
use sycamoreflow_state::rollout::{Rollout, RolloutPhase, TakeBackReason};

use crate::evidence::EvidenceReport;
use crate::evidence::comparison::Comparison;
use crate::evidence::odds::Odds;
use crate::full_load;
use crate::rollout::{RolloutAction, RolloutCommand, Rollouts};
use crate::shares::exposure::{Exposed, SLACK_RESERVE};
use crate::shares::{Grant, MAX_REPORT_AGE};

use plan::{Known, Need, Plan};
use tracker::Tracker;

mod plan;
#[cfg(test)]
mod tests;
mod tracker;

/// Interval between ticks. One second let a bad version have up to 285 further calls in the
/// measurement, where 250 ms let it have 175.
pub const TICK_INTERVAL: Millis = Millis(250);
/// A command that has had no effect for this long is proposed again.
pub const REPEAT_AFTER: Millis = Millis(2_000);
/// Level of suspicion from which on no step is taken; see
/// [`Comparison::suspicion`](crate::evidence::comparison::Comparison::suspicion). A good version
/// reaches it with a probability of at most the fourth root of the false-alarm rate, and only for a
/// while.
pub const MAX_SUSPICION: f64 = 0.25;
/// Log odds of a clear fault from which on no step is taken; see
/// [`Comparison::worst_odds`](crate::evidence::comparison::Comparison::worst_odds).
pub const MAX_LOG_ODDS: f64 = 1.0;
/// Log odds of a clear fault above which a version may not stay for long: it is faulty with a
/// probability of seven in eight.
pub const SUSPECT_LOG_ODDS: f64 = 2.0;
/// Part of the time of a rollout after which a version that stays above is taken back.
const MAX_SUSPECT_PART: u64 = 6;
/// Log odds of a clear fault that a step needs: the calls must speak for the version. A faulty version
/// is below with a probability of about exp(-2), 14%.
pub const STEP_LOG_ODDS: f64 = -2.0;
/// The same for the step to all traffic, which exposes most calls: about exp(-6), one in 400.
pub const LAST_STEP_LOG_ODDS: f64 = -6.0;
/// The same for a test under full load before its time is over, by the calls of the test alone. Those of
/// a part that is slow look more like those of another host than failures do.
pub const CLEAR_LOG_ODDS: Odds = Odds {
    failures: -6.0,
    slow: -8.0,
};
/// The same at the end of the test.
pub const TEST_LOG_ODDS: Odds = Odds {
    failures: -4.0,
    slow: -2.5,
};
/// The same for slow calls of all steps. Calls of a good version take longer under load too, so those of
/// the test alone cannot decide.
pub const TESTED_SLOW_LOG_ODDS: f64 = -5.0;

/// Endpoints of one version that can take calls.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Capacity {
    /// Number of endpoints that aren't draining.
    pub endpoints: u32,
    /// Sum of their slots.
    pub slots: u32,
}

/// Why a rollout is not moving on, as shown to the operator.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Waiting {
    /// Nothing is missing; the plan says when the next step is due.
    OnPlan,
    /// Too few calls have been reported at this step.
    Evidence,
    /// The calls are enough, but they don't speak for the new version clearly enough.
    Support,
    /// The new version has too few endpoints for the next share.
    Endpoints,
    /// The evidence speaks against the new version, without being sufficient.
    Suspicion,
    /// Too few daemons have reported since this leader took over.
    Reports,
    /// The exposure that the rule allows has too little room for the next share.
    Exposure,
    /// The finish time has passed with too little traffic, and the rule says to stay.
    LowTraffic,
}

/// What the leader expects of a rollout.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct Outlook {
    /// What the next step waits for.
    pub waiting: Waiting,
    /// When the next step is due by the plan.
    pub next_step: Millis,
    /// When the new version is expected to have all traffic, if the calls reported so far allow
    /// an estimate.
    pub expected_finish: Option<Millis>,
    /// Whether the finish time is expected to be missed.
    pub late: bool,
}

/// What the leader knows of a running rollout.
#[derive(Clone, Copy, Debug)]
pub struct Progress<'a> {
    /// Number of the rollout.
    pub rollout: u64,
    /// What the next step waits for.
    pub waiting: Option<Waiting>,
    /// Calls of the new version that were reported.
    pub candidate_calls: u64,
    /// Those of the current step.
    pub step_calls: u64,
    /// Evidence against the new version; 1 condemns it.
    pub suspicion: f64,
    /// Log odds of a clear fault.
    pub log_odds: f64,
    /// What the rollout has cost so far, as far as daemons have reported it.
    pub exposed: Exposed,
    /// The evidence behind the odds.
    pub comparison: &'a Comparison,
    /// Daemons that have cut the new version off by themselves.
    pub cut_off: usize,
}

/// Decides the pace of all rollouts at the leader. A new leader starts with an empty one.
#[derive(Clone, Debug)]
pub struct Pacer {
    term: u64,
    trackers: BTreeMap<u64, Tracker>,
    heard_at: Option<Millis>,
}

impl Pacer {
    /// Starts without evidence. `term` is the term of this leader.
    pub fn new(term: u64) -> Self {
        Self {
            term,
            trackers: BTreeMap::new(),
            heard_at: None,
        }
    }

    /// Takes in the report of a daemon. Reports on rollouts that no tick has seen yet are ignored;
    /// the next cumulative report makes up for them. Daemons report also when they have no evidence,
    /// since no traffic and no reports are different things.
    pub fn report(&mut self, now: Millis, daemon: &DaemonId, report: &EvidenceReport) {
        self.heard_at = Some(now);
        for evidence in &report.rollouts {
            if let Some(tracker) = self.trackers.get_mut(&evidence.rollout) {
                tracker.report(now, daemon, report.incarnation, evidence);
            }
        }
    }

    /// Decides once per [`TICK_INTERVAL`]. `now` counts from the Unix epoch. The commands are proposed to the log; a command that is lost is decided
    /// again at a later tick.
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
        let heard = self
            .heard_at
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
            let action = decide(now, rollout, tracker, [stable, candidate], heard);
            commands.extend(propose(now, rollout, tracker, action));
        }
        commands
    }

    /// Forgets that a command was proposed, so that the next tick decides it again.
    pub fn withdraw(&mut self, command: &RolloutCommand) {
        if let Some(tracker) = self.trackers.get_mut(&command.rollout) {
            tracker.proposed = None;
        }
    }

    /// Returns the grants to send now.
    pub fn grants(&mut self, now: Millis) -> Vec<(DaemonId, Grant)> {
        let trackers = self.trackers.values_mut();
        trackers
            .flat_map(|tracker| tracker.pool.grants(now))
            .collect()
    }

    /// Returns what is expected of a running rollout, after the first tick that saw it.
    pub fn outlook(&self, rollout: u64) -> Option<Outlook> {
        self.trackers.get(&rollout)?.outlook
    }

    /// Returns what is known of the running rollouts, for the log.
    pub fn progress(&self) -> impl Iterator<Item = Progress<'_>> {
        self.trackers.iter().map(|(rollout, tracker)| Progress {
            rollout: *rollout,
            waiting: tracker.outlook.map(|outlook| outlook.waiting),
            candidate_calls: tracker.comparison.candidate_calls(),
            step_calls: tracker.step_calls,
            suspicion: tracker.comparison.suspicion(),
            log_odds: tracker.comparison.worst_odds().highest(),
            exposed: tracker.exposed(),
            comparison: &tracker.comparison,
            cut_off: tracker.cut_off(),
        })
    }

    /// Returns the daemons that have cut the candidate off by themselves.
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
    let take_back = matches!(action, RolloutAction::TakeBack(_));
    let key = (rollout.step, rollout.phase, take_back);
    if let Some((proposed, at)) = tracker.proposed
        && proposed == key
        && now.since(at) < REPEAT_AFTER
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
    heard: bool,
) -> Option<RolloutAction> {
    if let Some(reason) = tracker.comparison.verdict() {
        return Some(RolloutAction::TakeBack(reason));
    }
    let plan = Plan::new(rollout, capacity[1].endpoints);
    let waiting = waiting(now, rollout, tracker, &plan, capacity, heard);
    let known = Known {
        calls_per_second: tracker.calls_per_second(),
        step_calls: tracker.step_calls,
        total_calls: tracker.comparison.candidate_calls(),
    };
    tracker.outlook = Some(plan.outlook(now, rollout, &known, waiting));
    let is_suspect = tracker.is_suspect_for(rollout.window().0 / MAX_SUSPECT_PART, now);
    let is_unproven = matches!(waiting, Waiting::Suspicion | Waiting::Support);
    if is_suspect || (is_unproven && is_over(now, rollout)) {
        let ratio = tracker.comparison.worst_ratio();
        return Some(RolloutAction::TakeBack(TakeBackReason::Suspected(ratio)));
    }
    if waiting != Waiting::OnPlan && is_late(now, rollout) {
        return Some(RolloutAction::TakeBack(TakeBackReason::OutOfTime));
    }
    if waiting != Waiting::OnPlan || now < plan.next_step {
        return None;
    }
    Some(match rollout.phase {
        RolloutPhase::Watching => RolloutAction::Finish,
        RolloutPhase::Testing => RolloutAction::Pass,
        _ if is_test_next(rollout) => RolloutAction::Test {
            extra_calls: extra_calls(rollout, tracker),
            share: share_of_test(now, rollout, tracker, capacity[1]),
        },
        _ => RolloutAction::Advance,
    })
}

/// Returns whether the time that the current step may take is over.
fn is_over(now: Millis, rollout: &Rollout) -> bool {
    now >= rollout.watch_until().unwrap_or(rollout.finish_by)
}

/// Returns whether the time for the test of a version with limited exposure is over. Daemons send it
/// nothing more.
fn is_late(now: Millis, rollout: &Rollout) -> bool {
    let is_limited = rollout.rule.max_exposure.is_some() && rollout.passed.is_none();
    is_limited && rollout.phase != RolloutPhase::Planned && now >= rollout.finish_by
}

/// Returns whether the evidence is too much against the version for the next step.
fn is_suspect(comparison: &Comparison) -> bool {
    comparison.suspicion() >= MAX_SUSPICION || comparison.worst_odds().highest() > MAX_LOG_ODDS
}

/// Returns whether a version under this suspicion may not stay for long.
fn is_strongly_suspect(comparison: &Comparison) -> bool {
    comparison.suspicion() >= MAX_SUSPICION || comparison.worst_odds().highest() > SUSPECT_LOG_ODDS
}

/// Returns whether the calls speak for the version, as far as the next step needs it.
fn is_supported(now: Millis, rollout: &Rollout, comparison: &Comparison) -> bool {
    let is_limited = rollout.rule.max_exposure.is_some();
    let odds = comparison.odds().highest();
    match rollout.next_share() {
        // Before its time is over, a test ends only on clear evidence.
        None if rollout.phase == RolloutPhase::Testing && !is_over(now, rollout) => {
            comparison.step_odds().within(CLEAR_LOG_ODDS)
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

/// Returns whether the daemons have room for the test under full load, if it is next.
fn has_room(now: Millis, rollout: &Rollout, tracker: &Tracker, endpoints: u32) -> bool {
    let Some(limit) = rollout.rule.max_exposure.filter(|_| is_test_next(rollout)) else {
        return true;
    };
    let share = full_load::proportional_share(endpoints as usize);
    let calls = plan::test_calls(tracker.calls_per_second(), endpoints, share) as f64;
    // The test earns room as well.
    let earned = calls * limit.ratio() / share.ratio();
    room_of_test(now, rollout, tracker, limit) >= calls - earned
}

/// Returns the calls that a test may have beside those that it earns, over the mesh.
fn room_of_test(now: Millis, rollout: &Rollout, tracker: &Tracker, limit: Share) -> f64 {
    let extra = u64::from(extra_calls(rollout, tracker)) * tracker.daemons() as u64;
    (tracker.room(now, limit) + extra) as f64
}

/// Returns the part of the traffic that a test takes: what brings the tested endpoints to full load, as far
/// as there is room for all turns, but at least what they will have when the version is alone. While another
/// step is next it is the latter: the room takes a pass over all daemons.
fn share_of_test(now: Millis, rollout: &Rollout, tracker: &Tracker, candidate: Capacity) -> Share {
    let endpoints = candidate.endpoints as usize;
    let least = full_load::proportional_share(endpoints);
    let (Some(limit), Some(rate), Some(latency_ms)) = (
        rollout.rule.max_exposure.filter(|_| is_test_next(rollout)),
        tracker.calls_per_second().filter(|rate| *rate > 0.0),
        tracker.mean_latency_ms(),
    ) else {
        return least;
    };
    let loaded = full_load::loaded_share(endpoints, candidate.slots, rate * latency_ms / 1_000.0);
    let room = room_of_test(now, rollout, tracker, limit);
    let fitting = limit.ratio() + room / (rate * full_load::duration_seconds(endpoints));
    let fitting = Share((fitting.min(1.0) * f64::from(Share::ALL.0)) as u32);
    loaded.min(fitting).max(least)
}

/// Returns the part of each daemon in the calls that a test may have beside the permitted share.
fn extra_calls(rollout: &Rollout, tracker: &Tracker) -> u32 {
    let given_out = f64::from(rollout.rule.exposure_slack) * (1.0 - SLACK_RESERVE);
    (given_out / tracker.daemons().max(1) as f64) as u32
}

fn waiting(
    now: Millis,
    rollout: &Rollout,
    tracker: &Tracker,
    plan: &Plan,
    [stable, candidate]: [Capacity; 2],
    heard: bool,
) -> Waiting {
    let rate = tracker.calls_per_second();
    let slots = plan::slots_needed(rollout, rate, tracker.mean_latency_ms(), stable.slots);
    if candidate.endpoints == 0 || candidate.slots < slots {
        return Waiting::Endpoints;
    }
    // What comes after a passed test only brings the decision into force.
    if rollout.phase == RolloutPhase::Planned || rollout.passed.is_some() {
        return Waiting::OnPlan;
    }
    // What a test costs is limited, so it may begin in doubt rather than too late.
    let is_forced_test = is_test_next(rollout) && now >= plan.forced_step;
    let in_doubt = is_forced_test && !is_strongly_suspect(&tracker.comparison);
    if is_suspect(&tracker.comparison) && !in_doubt {
        return Waiting::Suspicion;
    }
    if !heard || !tracker.has_reports(now) {
        return Waiting::Reports;
    }
    let test_share = share_of_test(now, rollout, tracker, candidate);
    let need = Need::of_next_step(rollout, rate, candidate.endpoints, test_share);
    if !has_room(now, rollout, tracker, candidate.endpoints) && now < plan.forced_step {
        return Waiting::Exposure;
    }
    let enough = tracker.step_calls >= need.step_calls
        && tracker.comparison.candidate_calls() >= need.total_calls;
    let clear_calls = plan::clear_calls(&rollout.rule);
    let supported = in_doubt || is_supported(now, rollout, &tracker.comparison);
    if enough && supported {
        return Waiting::OnPlan;
    }
    if !supported && tracker.comparison.evaluated_calls() >= clear_calls {
        return Waiting::Support;
    }
    // A new leader learns the number of earlier calls at once, but not what they say.
    if !supported && tracker.comparison.candidate_calls() >= clear_calls {
        return Waiting::Evidence;
    }
    let is_tested = rollout.phase == RolloutPhase::Testing;
    match rollout.rule.low_traffic {
        LowTraffic::Finish if is_tested && !is_over(now, rollout) => Waiting::Evidence,
        LowTraffic::Finish if now >= plan.forced_step => Waiting::OnPlan,
        LowTraffic::Stay if now >= rollout.finish_by => Waiting::LowTraffic,
        LowTraffic::Finish | LowTraffic::Stay => Waiting::Evidence,
    }
}

//! The schedule of a rollout, computed backwards from its finish time.

use sycamoreflow_state::config::{RolloutRule, Share};
use sycamoreflow_state::ids::Millis;
use sycamoreflow_state::rollout::{Rollout, RolloutPhase};

use super::{Forecast, Waiting};
use crate::evidence::SHORT_ROLLOUT_WINDOW;
use crate::full_load;

/// The time between approval and finish time divided by this number is reserved for delays, such as
/// a change of leader.
const RESERVE_DIVISOR: u64 = 20;
/// Interval between steps that are forced before the finish time because of too little traffic.
const FORCED_STEP_INTERVAL: Millis = Millis(3_000);
/// Interval between the later steps of a [short rollout](SHORT_ROLLOUT_WINDOW). It covers the
/// answers to slow calls, a report, a tick of the leader and an update of the daemons.
const SHORT_ROLLOUT_STEP_INTERVAL: Millis = Millis(1_800);
/// Time in seconds from a call until a roll back is in force: a report, a tick, a log entry and
/// an update.
const REACTION_SECONDS: f64 = 3.0;
/// Time after the last rotation interval of a test under full load until its answers are reported.
const TEST_REPORT_DELAY: Millis = Millis(500);
/// Time reserved between the end of a test, with one rotation interval per endpoint, and the finish
/// time. It allows for further intervals if the evidence is not clear yet, or for a test that
/// begins late.
const TEST_RESERVE: Millis = Millis(1_600);
/// Fraction of the planned calls of a test that is required. Daemons that have started during the
/// rollout have a smaller exposure budget than others.
const TEST_CALLS_FRACTION: f64 = 0.6;
/// Number of calls needed to detect a clear fault, as a multiple of the inverse of the permitted
/// extra failures. At a false-alarm rate of 1% and 1% permitted extra failures, about 57 calls
/// suffice to detect a version with ten times the permitted failures.
const DETECTION_FACTOR: f64 = 0.6;
/// Minimum and maximum number of calls needed to detect a clear fault.
const DETECTION_CALLS: (f64, f64) = (20.0, 500.0);
/// Slots required per call in progress on average; more than one because calls arrive unevenly.
const HEADROOM: f64 = 2.0;

/// Times of the next step of a rollout.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Plan {
    /// When the next step is due.
    pub(super) next_step: Millis,
    /// When it is entered at the latest if there is too little traffic and the rule is to finish.
    pub(super) forced_step: Millis,
    target: Millis,
}

/// Number of calls of the candidate required for the next step.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct RequiredCalls {
    /// Calls at the current step.
    pub(super) step_calls: u64,
    /// Calls at all steps together.
    pub(super) total_calls: u64,
}

/// Traffic of the rollout as known from reports.
#[derive(Clone, Copy, Debug)]
pub(super) struct ReportedTraffic {
    pub(super) calls_per_second: Option<f64>,
    pub(super) step_calls: u64,
    pub(super) total_calls: u64,
}

impl Plan {
    /// Computes the plan for a candidate with this number of `endpoints`.
    pub(super) fn new(rollout: &Rollout, endpoints: u32) -> Self {
        let window = rollout.window();
        let is_limited = rollout.rule.max_exposure.is_some();
        let test = full_load::duration(endpoints as usize).after(TEST_REPORT_DELAY);
        let before_finish = |time: Millis| Millis(rollout.finish_by.0.saturating_sub(time.0));
        let target = match is_limited {
            true => before_finish(test.after(TEST_RESERVE)),
            false => before_finish(Millis(window.0 / RESERVE_DIVISOR)),
        };
        let entered = rollout.step_entered();
        let steps_left = rollout
            .rule
            .steps
            .len()
            .saturating_sub(rollout.step as usize) as u64;
        let at = |time| Self {
            next_step: time,
            forced_step: time,
            target,
        };
        match rollout.phase {
            RolloutPhase::Planned => at(rollout.started),
            RolloutPhase::Moving if window <= SHORT_ROLLOUT_WINDOW => {
                let later = steps_left.saturating_sub(1) * SHORT_ROLLOUT_STEP_INTERVAL.0;
                let due = Millis(target.0.saturating_sub(later))
                    .max(entered.after(SHORT_ROLLOUT_STEP_INTERVAL));
                let reserve = if is_limited { TEST_RESERVE } else { Millis(0) };
                Self {
                    next_step: due,
                    forced_step: due.after(reserve),
                    target,
                }
            }
            RolloutPhase::Moving => {
                let dwell = target.since(entered).0 / steps_left.max(1);
                let last = if is_limited {
                    target
                } else {
                    rollout.finish_by
                };
                let forced = last.0.saturating_sub(steps_left * FORCED_STEP_INTERVAL.0);
                Self {
                    next_step: entered.after(Millis(dwell)),
                    forced_step: Millis(forced).max(entered.after(FORCED_STEP_INTERVAL)),
                    target,
                }
            }
            RolloutPhase::Testing => at(entered.after(test).min(rollout.finish_by)),
            RolloutPhase::Watching | RolloutPhase::Done | RolloutPhase::TakenBack => {
                at(rollout.watch_until().unwrap_or(entered))
            }
        }
    }

    pub(super) fn forecast(
        &self,
        now: Millis,
        rollout: &Rollout,
        traffic: &ReportedTraffic,
        waiting: Waiting,
    ) -> Forecast {
        let expected_finish = self.expected_finish(now, rollout, traffic);
        let moving = matches!(rollout.phase, RolloutPhase::Planned | RolloutPhase::Moving);
        let no_calls = traffic.calls_per_second.is_some() && expected_finish.is_none();
        let too_slow = expected_finish.is_some_and(|time| time > rollout.finish_by);
        let is_held = waiting != Waiting::OnPlan && now >= self.target;
        Forecast {
            waiting,
            next_step: self.next_step,
            expected_finish,
            late: moving && (no_calls || too_slow || is_held),
        }
    }

    /// Estimates the finish time from the calls that the remaining steps require. `None`
    /// without traffic.
    fn expected_finish(
        &self,
        now: Millis,
        rollout: &Rollout,
        traffic: &ReportedTraffic,
    ) -> Option<Millis> {
        if matches!(
            rollout.phase,
            RolloutPhase::Testing | RolloutPhase::Watching
        ) {
            return Some(rollout.step_entered());
        }
        let rate = traffic.calls_per_second.filter(|rate| *rate > 0.0)?;
        let mut total = traffic.total_calls as f64;
        let mut seconds = 0.0;
        let first = rollout.step.max(1) as usize;
        for step in first..rollout.rule.steps.len() {
            let required =
                RequiredCalls::for_step(rollout, step, traffic.calls_per_second, 1, Share::ALL);
            let have = if step == rollout.step as usize {
                traffic.step_calls
            } else {
                0
            };
            let missing = required.step_calls.saturating_sub(have) as f64;
            let missing = missing.max(required.total_calls as f64 - total).max(0.0);
            total += missing;
            seconds += missing / (rate * rollout.rule.steps[step - 1].ratio());
        }
        let earliest = now.after(Millis((seconds * 1000.0) as u64));
        Some(earliest.max(self.target))
    }
}

impl RequiredCalls {
    /// Returns the calls required before the step after the current one.
    pub(super) fn for_next_step(
        rollout: &Rollout,
        calls_per_second: Option<f64>,
        endpoints: u32,
        test_share: Share,
    ) -> Self {
        let step = rollout.step as usize;
        Self::for_step(rollout, step, calls_per_second, endpoints, test_share)
    }

    /// Returns the calls required at `step` (counted from one) before the next step. If the rate is
    /// unknown, that is the number needed to detect a clear fault. After the last step, it is the
    /// number required to end the test of a rollout with limited exposure. `test_share` is the
    /// share of the traffic in a test that is next.
    fn for_step(
        rollout: &Rollout,
        step: usize,
        calls_per_second: Option<f64>,
        endpoints: u32,
        test_share: Share,
    ) -> Self {
        let nothing = Self {
            step_calls: 0,
            total_calls: 0,
        };
        let min_calls = detection_calls(&rollout.rule);
        let is_limited = rollout.rule.max_exposure.is_some();
        let Some(next) = rollout.rule.steps.get(step) else {
            if !is_limited {
                return nothing;
            }
            let tested = test_calls(calls_per_second, endpoints, rollout.test_share);
            let tested = tested as f64 * TEST_CALLS_FRACTION;
            return Self {
                step_calls: min_calls.max(tested as u64),
                total_calls: min_calls,
            };
        };
        let is_last = *next == Share::ALL;
        let next = match *next {
            Share::ALL if is_limited => test_share,
            next => next,
        };
        let exposed_calls = calls_per_second.map(|rate| rate * next.ratio() * REACTION_SECONDS);
        Self {
            step_calls: exposed_calls.map_or(min_calls, |calls| min_calls.min(calls as u64)),
            total_calls: if is_last { min_calls } else { 0 },
        }
    }
}

/// Returns the number of calls to the candidate in a test under full load with `share` of
/// the traffic.
pub(super) fn test_calls(calls_per_second: Option<f64>, endpoints: u32, share: Share) -> u64 {
    let calls = calls_per_second.unwrap_or_default() * share.ratio();
    (calls * full_load::duration_seconds(endpoints as usize)) as u64
}

/// Returns the number of calls needed to detect a clear fault.
pub(super) fn detection_calls(rule: &RolloutRule) -> u64 {
    let (min, max) = DETECTION_CALLS;
    (DETECTION_FACTOR / rule.max_extra_failures.ratio()).clamp(min, max) as u64
}

/// Returns the number of slots that the candidate needs for the next share: enough for the expected
/// calls, but no more than the same share of the slots of the stable version. At least one.
pub(super) fn slots_needed(
    rollout: &Rollout,
    calls_per_second: Option<f64>,
    latency_ms: Option<f64>,
    stable_slots: u32,
) -> u32 {
    let Some(next) = rollout.next_share() else {
        return 1;
    };
    let like_stable = next.ratio() * f64::from(stable_slots);
    let in_use = calls_per_second
        .zip(latency_ms)
        .map(|(rate, latency)| HEADROOM * rate * next.ratio() * latency / 1000.0);
    let needed = in_use.map_or(like_stable, |in_use| in_use.min(like_stable));
    (needed.ceil() as u32).max(1)
}

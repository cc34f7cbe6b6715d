//! The plan of a rollout, computed back from its finish time.

use sycamoreflow_state::config::{RolloutRule, Share};
use sycamoreflow_state::ids::Millis;
use sycamoreflow_state::rollout::{Rollout, RolloutPhase};

use super::{Outlook, Waiting};
use crate::evidence::SHORT_ROLLOUT_WINDOW;
use crate::full_load;

/// Part of the time between approval and finish time that is kept free for delays, such as a change
/// of leader.
const RESERVE_PART: u64 = 20;
/// Interval between steps that are taken at the finish time for lack of traffic.
const FORCED_INTERVAL: Millis = Millis(3_000);
/// Interval between the later steps of a [brisk](SHORT_ROLLOUT_WINDOW) rollout. It covers the answers of slow
/// calls, a report, a tick of the leader and an update.
const BRISK_STEP: Millis = Millis(1_800);
/// Time from a call to a take-back in force: a report, a tick, a log entry and an update.
const REACTION_SECONDS: f64 = 3.0;
/// Time after the last turn of a test under full load until its answers are reported.
const TEST_REPORT: Millis = Millis(500);
/// Time between the first turn of each endpoint in a test and the finish time, for more turns if the
/// evidence is not clear yet, or for a test that begins late.
const TEST_RESERVE: Millis = Millis(1_600);
/// Part of the calls of a test that are needed. Daemons that have started during the rollout have less
/// room than others.
const TEST_PART: f64 = 0.6;
/// Calls that show a clear fault, as a multiple of the inverse of the permitted extra failures. At
/// ten times the permitted failures about 57 calls suffice at a false-alarm rate of 1% and 1% extra.
const CLEAR_FACTOR: f64 = 0.6;
/// Bounds of that number of calls.
const CLEAR_CALLS: (f64, f64) = (20.0, 500.0);
/// Slots per call in progress on average, since calls arrive unevenly.
const HEADROOM: f64 = 2.0;

/// When the steps of a rollout are due.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Plan {
    /// When the next step is due.
    pub(super) next_step: Millis,
    /// When it is taken at the latest if traffic is too low and the rule says to finish.
    pub(super) forced_step: Millis,
    target: Millis,
}

/// Calls of the candidate that the next step needs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Need {
    /// At the current step.
    pub(super) step_calls: u64,
    /// At all steps together.
    pub(super) total_calls: u64,
}

/// What is known from reports.
#[derive(Clone, Copy, Debug)]
pub(super) struct Known {
    pub(super) calls_per_second: Option<f64>,
    pub(super) step_calls: u64,
    pub(super) total_calls: u64,
}

impl Plan {
    /// Computes the plan for a new version with this number of endpoints.
    pub(super) fn new(rollout: &Rollout, endpoints: u32) -> Self {
        let window = rollout.window();
        let is_limited = rollout.rule.max_exposure.is_some();
        let test = full_load::duration(endpoints as usize).after(TEST_REPORT);
        let before_finish = |time: Millis| Millis(rollout.finish_by.0.saturating_sub(time.0));
        let target = match is_limited {
            true => before_finish(test.after(TEST_RESERVE)),
            false => before_finish(Millis(window.0 / RESERVE_PART)),
        };
        let entered = rollout.step_entered();
        let left = rollout
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
                let later = left.saturating_sub(1) * BRISK_STEP.0;
                let due = Millis(target.0.saturating_sub(later)).max(entered.after(BRISK_STEP));
                let reserve = if is_limited { TEST_RESERVE } else { Millis(0) };
                Self {
                    next_step: due,
                    forced_step: due.after(reserve),
                    target,
                }
            }
            RolloutPhase::Moving => {
                let dwell = target.since(entered).0 / left.max(1);
                let last = if is_limited {
                    target
                } else {
                    rollout.finish_by
                };
                let forced = last.0.saturating_sub(left * FORCED_INTERVAL.0);
                Self {
                    next_step: entered.after(Millis(dwell)),
                    forced_step: Millis(forced).max(entered.after(FORCED_INTERVAL)),
                    target,
                }
            }
            RolloutPhase::Testing => at(entered.after(test).min(rollout.finish_by)),
            RolloutPhase::Watching | RolloutPhase::Done | RolloutPhase::TakenBack => {
                at(rollout.watch_until().unwrap_or(entered))
            }
        }
    }

    pub(super) fn outlook(
        &self,
        now: Millis,
        rollout: &Rollout,
        known: &Known,
        waiting: Waiting,
    ) -> Outlook {
        let expected_finish = self.expected_finish(now, rollout, known);
        let moving = matches!(rollout.phase, RolloutPhase::Planned | RolloutPhase::Moving);
        let no_calls = known.calls_per_second.is_some() && expected_finish.is_none();
        let too_slow = expected_finish.is_some_and(|time| time > rollout.finish_by);
        let held = waiting != Waiting::OnPlan && now >= self.target;
        Outlook {
            waiting,
            next_step: self.next_step,
            expected_finish,
            late: moving && (no_calls || too_slow || held),
        }
    }

    /// Estimates the finish from the calls that the remaining steps need.
    fn expected_finish(&self, now: Millis, rollout: &Rollout, known: &Known) -> Option<Millis> {
        if matches!(
            rollout.phase,
            RolloutPhase::Testing | RolloutPhase::Watching
        ) {
            return Some(rollout.step_entered());
        }
        let rate = known.calls_per_second.filter(|rate| *rate > 0.0)?;
        let mut total = known.total_calls as f64;
        let mut seconds = 0.0;
        let first = rollout.step.max(1) as usize;
        for step in first..rollout.rule.steps.len() {
            let need = Need::of_step(rollout, step, known.calls_per_second, 1, Share::ALL);
            let have = if step == rollout.step as usize {
                known.step_calls
            } else {
                0
            };
            let missing = need.step_calls.saturating_sub(have) as f64;
            let missing = missing.max(need.total_calls as f64 - total).max(0.0);
            total += missing;
            seconds += missing / (rate * rollout.rule.steps[step - 1].ratio());
        }
        let earliest = now.after(Millis((seconds * 1000.0) as u64));
        Some(earliest.max(self.target))
    }
}

impl Need {
    /// Returns what the step after the current one needs.
    pub(super) fn of_next_step(
        rollout: &Rollout,
        calls_per_second: Option<f64>,
        endpoints: u32,
        test_share: Share,
    ) -> Self {
        let step = rollout.step as usize;
        Self::of_step(rollout, step, calls_per_second, endpoints, test_share)
    }

    /// Returns what must be known at `step` (counted from one) before the next one. Without a known
    /// rate it is as much as a clear fault takes to show. After the last step it is what ends the test of a
    /// limited exposure, which takes `test_share` of the traffic.
    fn of_step(
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
        let clear = clear_calls(&rollout.rule);
        let is_limited = rollout.rule.max_exposure.is_some();
        let Some(next) = rollout.rule.steps.get(step) else {
            if !is_limited {
                return nothing;
            }
            let tested = test_calls(calls_per_second, endpoints, rollout.test_share);
            let tested = tested as f64 * TEST_PART;
            return Self {
                step_calls: clear.max(tested as u64),
                total_calls: clear,
            };
        };
        let is_last = *next == Share::ALL;
        let next = match *next {
            Share::ALL if is_limited => test_share,
            next => next,
        };
        let exposed = calls_per_second.map(|rate| rate * next.ratio() * REACTION_SECONDS);
        Self {
            step_calls: exposed.map_or(clear, |calls| clear.min(calls as u64)),
            total_calls: if is_last { clear } else { 0 },
        }
    }
}

/// Returns the calls of the new version in a test under full load that takes `share` of the traffic.
pub(super) fn test_calls(calls_per_second: Option<f64>, endpoints: u32, share: Share) -> u64 {
    let calls = calls_per_second.unwrap_or_default() * share.ratio();
    (calls * full_load::duration_seconds(endpoints as usize)) as u64
}

/// Returns the calls that show a clear fault.
pub(super) fn clear_calls(rule: &RolloutRule) -> u64 {
    let (min, max) = CLEAR_CALLS;
    (CLEAR_FACTOR / rule.max_extra_failures.ratio()).clamp(min, max) as u64
}

/// Returns the slots that the new version needs for the next share: as many as the calls will use,
/// or the same part of slots as the old version has.
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

//! The baseline policy: steps at fixed times, a random version per call and a fixed
//! error threshold.

use std::collections::BTreeMap;

use sycamoreflow_coordination::rollout::{RolloutAction, RolloutCommand, Rollouts};
use sycamoreflow_state::config::Share;
use sycamoreflow_state::ids::Millis;
use sycamoreflow_state::rollout::{BadRatio, RollBackReason, RolloutPhase};

/// Error ratio of the candidate above which it is rolled back.
const MAX_ERRORS: f64 = 0.05;
/// Minimum number of calls before the error ratio is evaluated.
const MIN_CALLS: u64 = 20;

/// The part of the baseline policy that runs at the leader.
#[derive(Clone, Default)]
pub(crate) struct Baseline {
    /// Cumulative calls and failures of the candidate by daemon and incarnation.
    counts: BTreeMap<(usize, u64), (u64, u64)>,
}

impl Baseline {
    pub(crate) fn report(&mut self, daemon: usize, incarnation: u64, counts: (u64, u64)) {
        let known = self.counts.entry((daemon, incarnation)).or_default();
        *known = (known.0.max(counts.0), known.1.max(counts.1));
    }

    pub(crate) fn tick(&mut self, now: Millis, rollouts: &Rollouts) -> Vec<RolloutCommand> {
        let Some(rollout) = rollouts.running().next() else {
            return Vec::new();
        };
        let calls: u64 = self.counts.values().map(|(calls, _)| calls).sum();
        let failures: u64 = self.counts.values().map(|(_, failures)| failures).sum();
        let ratio = failures as f64 / calls.max(1) as f64;
        let window = rollout.finish_by.since(rollout.started).0 * 19 / 20;
        let interval = window / (rollout.rule.steps.len() as u64 - 1);
        let due = rollout.started.0 + interval * u64::from(rollout.step);
        let action = if calls >= MIN_CALLS && ratio > MAX_ERRORS {
            let ratio = BadRatio {
                route: None,
                candidate: Share((ratio * f64::from(Share::ALL.0)) as u32),
                stable: Share::NONE,
                calls,
            };
            RolloutAction::TakeBack(RollBackReason::Failures(ratio))
        } else if rollout.phase == RolloutPhase::Watching {
            if rollout.watch_until().is_none_or(|until| now < until) {
                return Vec::new();
            }
            RolloutAction::Finish
        } else if now.0 >= due {
            RolloutAction::Advance
        } else {
            return Vec::new();
        };
        vec![RolloutCommand {
            rollout: rollout.number,
            step: rollout.step,
            at: now,
            action,
        }]
    }
}

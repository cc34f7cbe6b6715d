//! Step transitions of a single rollout: which commands its phase allows, and their effects.

use sycamoreflow_state::config::{ExposureLimit, Share};
use sycamoreflow_state::ids::Millis;
use sycamoreflow_state::rollout::{Rollout, RolloutPhase, StepRecord};

use super::{RolloutAction, RolloutCommand, RolloutConflict};

/// Result of a transition.
pub(super) type Result<T> = std::result::Result<T, RolloutConflict>;

pub(super) fn check_step(rollout: &Rollout, command: &RolloutCommand) -> Result<()> {
    let is_expected_step = match command.action {
        RolloutAction::TakeBack(_) => command.step <= rollout.step,
        RolloutAction::Advance
        | RolloutAction::Test { .. }
        | RolloutAction::Pass
        | RolloutAction::Finish => command.step == rollout.step,
    };
    if is_expected_step {
        return Ok(());
    }
    Err(RolloutConflict::WrongStep {
        actual: rollout.step,
    })
}

pub(super) fn advance(rollout: &mut Rollout, at: Millis) -> Result<()> {
    let share = rollout
        .next_share()
        .ok_or(RolloutConflict::WrongPhase(rollout.phase))?;
    rollout.steps.push(StepRecord { at, share });
    rollout.step += 1;
    let last = rollout.next_share().is_none() || share == Share::ALL;
    rollout.phase = match (last, rollout.rule.max_exposure) {
        (false, _) => RolloutPhase::Moving,
        (true, Some(_)) => RolloutPhase::Testing,
        (true, None) => RolloutPhase::Watching,
    };
    Ok(())
}

pub(super) fn pass(rollout: &mut Rollout, at: Millis) -> Result<()> {
    if rollout.phase != RolloutPhase::Testing {
        return Err(RolloutConflict::WrongPhase(rollout.phase));
    }
    rollout.passed = Some(at);
    rollout.phase = RolloutPhase::Watching;
    Ok(())
}

/// Returns the exposure limit that daemons enforce for the candidate, or `None` if the rule has
/// none or the version has passed its test.
pub(super) fn exposure_limit(rollout: &Rollout) -> Option<ExposureLimit> {
    let share = rollout.rule.max_exposure?;
    rollout.passed.is_none().then(|| ExposureLimit {
        share,
        extra: rollout.extra_calls,
        test_share: rollout.test_share,
        lasts: rollout.window().after(rollout.rule.watch),
    })
}

pub(super) fn check_watch(rollout: &Rollout, at: Millis) -> Result<()> {
    let until = rollout
        .watch_until()
        .ok_or(RolloutConflict::WrongPhase(rollout.phase))?;
    if at < until {
        return Err(RolloutConflict::WatchNotOver { until });
    }
    Ok(())
}

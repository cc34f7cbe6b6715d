//! Rollouts, which move the traffic of a service from one version to another.
//!
//! Times are in milliseconds since the Unix epoch. The phases of a rollout are `Planned` → `Moving`
//! → `Watching` → `Done`, with `Testing` before `Watching` if the rule limits the exposure.
//! `TakenBack` can follow every phase but `Done`. `Done` and `TakenBack` are final: a version that
//! was rolled back receives traffic again only through a new rollout with a new number.

use std::fmt;

use serde::{Deserialize, Serialize};

use crate::config::{RolloutRule, Share};
use crate::ids::{Millis, RouteName, ServiceName, VersionName};

#[cfg(test)]
mod tests;

/// Phase of a rollout; see the [module documentation](self) for the transitions.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum RolloutPhase {
    /// The rollout is approved and the new version has no traffic yet.
    Planned,
    /// The new version receives the share of the current step.
    Moving,
    /// The new version is tested under full load, within its exposure limit.
    Testing,
    /// The new version has all traffic, and the old one is kept for a rollback.
    Watching,
    /// The new version is the stable one, and the old one may be removed.
    Done,
    /// The rollout was rolled back and the old version has all traffic again.
    TakenBack,
}

impl RolloutPhase {
    /// Returns whether the rollout has reached a final phase.
    pub fn is_final(self) -> bool {
        matches!(self, Self::Done | Self::TakenBack)
    }

    /// Returns the name of the phase that operators see, which is also its serialized form.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Planned => "planned",
            Self::Moving => "moving",
            Self::Testing => "testing",
            Self::Watching => "watching",
            Self::Done => "done",
            Self::TakenBack => "taken-back",
        }
    }
}

impl fmt::Display for RolloutPhase {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

/// Why a rollout was rolled back.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub enum RollBackReason {
    /// The new version failed or refused more calls than the old one.
    Failures(BadRatio),
    /// The new version was slower than the old one.
    Slow(BadRatio),
    /// The rollout reached its finish time while the calls indicated a bad new version, although
    /// not strongly enough for a decision on their own.
    Suspected(BadRatio),
    /// The rollout reached its finish time before the new version had been tested under full load.
    OutOfTime,
    /// An operator approved the old version again.
    Withdrawn,
    /// An operator approved another version during the rollout.
    Superseded {
        /// The version that was approved instead.
        by: VersionName,
    },
    /// The service was removed from the configuration.
    ServiceRemoved,
}

/// The measured ratios that led to a rollback, from the reports that the deciding leader received.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct BadRatio {
    /// Route on which the ratios were measured, or `None` for all routes together.
    pub route: Option<RouteName>,
    /// Share of failed or slow calls among those of the new version.
    pub candidate: Share,
    /// The same share for the old version over the same period.
    pub stable: Share,
    /// Number of counted calls of the new version.
    pub calls: u64,
}

impl fmt::Display for BadRatio {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let percent = |share: Share| share.ratio() * 100.0;
        write!(
            f,
            "{:.2}% against {:.2}% of the old version in {} calls",
            percent(self.candidate),
            percent(self.stable),
            self.calls
        )?;
        match &self.route {
            Some(route) => write!(f, " on route {route}"),
            None => Ok(()),
        }
    }
}

impl fmt::Display for RollBackReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Failures(ratio) => write!(f, "failed calls: {ratio}"),
            Self::Slow(ratio) => write!(f, "slow calls: {ratio}"),
            Self::Suspected(ratio) => write!(f, "its time was over under suspicion: {ratio}"),
            Self::OutOfTime => f.write_str("its time was over before it was tested"),
            Self::Withdrawn => f.write_str("the old version was approved again"),
            Self::Superseded { by } => write!(f, "version {by} was approved instead"),
            Self::ServiceRemoved => f.write_str("the service was removed"),
        }
    }
}

/// A step that a rollout entered.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct StepRecord {
    /// When the step was entered.
    pub at: Millis,
    /// Share of traffic of the new version from then on.
    pub share: Share,
}

/// One rollout, running or ended.
///
/// Invariants: `step` equals `steps.len()` and never exceeds `rule.steps.len()`; a running rollout
/// is in the phase `Planned` exactly at step 0, and in `Testing` or `Watching` exactly at its last
/// step; `passed` is set exactly from the watch period after a test on.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct Rollout {
    /// Number of the rollout, unique in the mesh and higher than those of earlier rollouts.
    pub number: u64,
    /// Service whose traffic is moved.
    pub service: ServiceName,
    /// Old, stable version, which receives the remaining traffic.
    pub from: VersionName,
    /// Version that is rolled out.
    pub to: VersionName,
    /// Phase that the rollout has reached.
    pub phase: RolloutPhase,
    /// Number of steps entered so far. Step `n` has the share `rule.steps[n - 1]`.
    pub step: u32,
    /// When the rollout was approved.
    pub started: Millis,
    /// When the new version is to have all traffic.
    pub finish_by: Millis,
    /// When the rollout reached a final phase, or `None` while it runs.
    pub ended: Option<Millis>,
    /// Why the rollout was rolled back, or `None` if it was not.
    pub reason: Option<RollBackReason>,
    /// The steps entered so far, in order.
    pub steps: Vec<StepRecord>,
    /// Calls that each daemon may send to the new version during the test, in addition to the share
    /// of calls that [`RolloutRule::max_exposure`] permits.
    #[serde(default)]
    pub extra_calls: u32,
    /// Share of traffic that the new version receives during the test.
    #[serde(default)]
    pub test_share: Share,
    /// When the new version passed its test under full load, or `None` if it has not.
    #[serde(default)]
    pub passed: Option<Millis>,
    /// The rule that was approved with this rollout. Later changes apply to later rollouts only.
    pub rule: RolloutRule,
}

impl Rollout {
    /// Returns the duration from the start of the rollout to its finish time.
    pub fn window(&self) -> Millis {
        self.finish_by.since(self.started)
    }

    /// Returns the share of traffic that the new version may receive.
    pub fn share(&self) -> Share {
        match self.phase {
            RolloutPhase::Planned | RolloutPhase::TakenBack => Share::NONE,
            RolloutPhase::Done => Share::ALL,
            RolloutPhase::Moving | RolloutPhase::Testing | RolloutPhase::Watching => {
                self.steps.last().map_or(Share::NONE, |step| step.share)
            }
        }
    }

    /// Returns the share of the next step, or `None` after the last one or in a final phase.
    pub fn next_share(&self) -> Option<Share> {
        if self.phase.is_final() {
            return None;
        }
        self.rule.steps.get(self.step as usize).copied()
    }

    /// Returns when the current step was entered, or when the rollout started.
    pub fn step_entered(&self) -> Millis {
        self.steps.last().map_or(self.started, |step| step.at)
    }

    /// Returns when the watch period ends, or `None` outside of it. After a test the result is the
    /// time at which the test was passed, since the rollout then only waits until all daemons have
    /// the change in force.
    pub fn watch_until(&self) -> Option<Millis> {
        let watched = || self.step_entered().after(self.rule.watch);
        let until = self.passed.unwrap_or_else(watched);
        (self.phase == RolloutPhase::Watching).then_some(until)
    }
}

impl fmt::Display for Rollout {
    /// Writes one line: number, service, versions, phase, progress, and the reason of a rollback.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "rollout {}: {} {} -> {} {} at step {} of {} ({:.2}% of traffic)",
            self.number,
            self.service,
            self.from,
            self.to,
            self.phase,
            self.step,
            self.rule.steps.len(),
            self.share().ratio() * 100.0
        )?;
        match &self.reason {
            Some(reason) => write!(f, ": {reason}"),
            None => Ok(()),
        }
    }
}

/// The stable and blocked versions of a service and its rollouts.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct RolloutHistory {
    /// Name of the service.
    pub service: ServiceName,
    /// Current stable version, or `None` if the service was removed.
    pub stable: Option<VersionName>,
    /// Versions that were rolled back and have not been approved since.
    pub blocked: Vec<VersionName>,
    /// Rollouts, oldest first. Only a fixed number of the latest ones is kept.
    pub rollouts: Vec<Rollout>,
}

//! Rollouts: the move of a service's traffic from one version to another.
//!
//! Times count from the Unix epoch. A rollout moves `Planned` → `Moving` → `Watching` → `Done`, with
//! `Testing` before `Watching` if its rule limits the exposure. `TakenBack` can be entered from each of
//! them but `Done`. `Done` and `TakenBack` are final: a version that was taken back receives traffic
//! again only through a new rollout with a new number.

use std::fmt;

use serde::{Deserialize, Serialize};

use crate::config::{RolloutRule, Share};
use crate::ids::{Millis, RouteName, ServiceName, VersionName};

#[cfg(test)]
mod tests;

/// State of a rollout.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum RolloutPhase {
    /// Approved; the new version has no traffic yet.
    Planned,
    /// The new version has the share of the current step.
    Moving,
    /// The new version is tested under its full load, within the permitted exposure.
    Testing,
    /// The new version has all traffic and the old one is kept.
    Watching,
    /// The new version is the stable one and the old one may go.
    Done,
    /// The old version has all traffic again.
    TakenBack,
}

impl RolloutPhase {
    /// Returns whether the rollout has reached a final phase.
    pub fn is_final(self) -> bool {
        matches!(self, Self::Done | Self::TakenBack)
    }

    /// Returns the phase as it is shown to operators.
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

/// Why a rollout was taken back.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub enum RollBackReason {
    /// The new version failed or refused more calls than the old one.
    Failures(BadRatio),
    /// The new version was slower than the old one.
    Slow(BadRatio),
    /// The time of the rollout was over while its calls spoke against the new version, without being
    /// sufficient on their own.
    Suspected(BadRatio),
    /// The time of the rollout was over before the new version was tested under full load.
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

/// The measured ratios behind a take-back, as far as the deciding leader has seen them.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct BadRatio {
    /// Route that showed the badness, or `None` if all routes together did.
    pub route: Option<RouteName>,
    /// Share of bad calls of the new version.
    pub candidate: Share,
    /// Share of bad calls of the old version over the same time.
    pub stable: Share,
    /// Calls of the new version that were counted.
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

/// When a step was entered.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct StepRecord {
    /// When the step was entered.
    pub at: Millis,
    /// Share of the new version from then on.
    pub share: Share,
}

/// One rollout, running or ended.
///
/// Invariants: `step` equals `steps.len()` and never exceeds `rule.steps.len()`; the phase is
/// `Planned` exactly at step 0 of a running rollout, and `Testing` or `Watching` exactly at its last step;
/// `passed` is set exactly in a watch period after a test and in what follows.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct Rollout {
    /// Number, unique in the mesh and rising.
    pub number: u64,
    /// Service whose traffic moves.
    pub service: ServiceName,
    /// Stable version, which keeps the remaining traffic.
    pub from: VersionName,
    /// New version.
    pub to: VersionName,
    /// State.
    pub phase: RolloutPhase,
    /// Steps entered so far; step `n` has the share `rule.steps[n - 1]`.
    pub step: u32,
    /// When it was approved.
    pub started: Millis,
    /// When the new version is to have all traffic.
    pub finish_by: Millis,
    /// When it reached its final phase.
    pub ended: Option<Millis>,
    /// Why it was taken back.
    pub reason: Option<RollBackReason>,
    /// The steps entered, in order.
    pub steps: Vec<StepRecord>,
    /// Calls that each daemon may send beside the permitted part during the test.
    #[serde(default)]
    pub extra_calls: u32,
    /// Part of the traffic that the new version gets during the test.
    #[serde(default)]
    pub test_share: Share,
    /// When the new version passed its test under full load.
    #[serde(default)]
    pub passed: Option<Millis>,
    /// The rule as it was approved with this rollout. Later changes apply to later rollouts only.
    pub rule: RolloutRule,
}

impl Rollout {
    /// Returns the time from the start to the finish time.
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

    /// Returns when the watch period ends, if it has begun. After a test it lasts only until all daemons
    /// follow.
    pub fn watch_until(&self) -> Option<Millis> {
        let watched = || self.step_entered().after(self.rule.watch);
        let until = self.passed.unwrap_or_else(watched);
        (self.phase == RolloutPhase::Watching).then_some(until)
    }
}

impl fmt::Display for Rollout {
    /// Writes the line that `sycamoreflow history SERVICE` shows.
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

/// What `sycamoreflow history SERVICE` shows.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct RolloutHistory {
    /// The service.
    pub service: ServiceName,
    /// Version that is stable now, or `None` if the service was removed.
    pub stable: Option<VersionName>,
    /// Versions that were taken back and not approved since.
    pub blocked: Vec<VersionName>,
    /// Rollouts, oldest first. Old ones are dropped beyond a fixed number.
    pub rollouts: Vec<Rollout>,
}

//! The replicated state of rollouts: the stable version of each service, and the rollout in
//! progress, which moves traffic from the stable version to another one, the candidate, in steps.
//!
//! [`Rollouts`] changes only when a log entry is applied, and it is deterministic, so all replicas
//! compute the same state. An approval has these effects:
//!
//! | approved version of a service | result |
//! | --- | --- |
//! | first approval of the service | the version receives all traffic at once |
//! | same version as in the previous approval | no effect, even if the version was rolled back in between |
//! | another version, no rollout in progress | a rollout from the stable version starts |
//! | another version during a rollout | the rollout is rolled back, traffic returns to the stable version, and a rollout from there starts |
//! | the stable version during a rollout | the rollout is rolled back |
//! | the stable version, no rollout in progress | no effect; a rolled back version can then be approved again |
//! | service removed | a rollout in progress is rolled back; the service no longer has a traffic split |
//!
//! Approving an unchanged version never restarts a rolled back one, because an approval
//! with unrelated changes would otherwise bring a bad version back. To approve that
//! version again, an operator approves the stable version first and then the other one, or
//! uses [`Rollouts::approve_anew`].

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use sycamoreflow_state::config::{
    Candidate, FinishTime, MeshConfig, ServiceConfig, Share, TrafficSplit,
};
use sycamoreflow_state::ids::{Millis, ServiceName, VersionName};
use sycamoreflow_state::rollout::{RollBackReason, Rollout, RolloutHistory, RolloutPhase};

pub use orders::{ORDER_REPEAT_WINDOW, OrderEffect, OrderStatus};

use orders::Order;
use steps::{advance, check_step, check_watch, exposure_limit, pass};

mod orders;
mod steps;
#[cfg(test)]
mod tests;

/// Maximum number of ended rollouts kept per service for the history.
pub const HISTORY_PER_SERVICE: usize = 32;
/// Maximum number of rolled back versions listed per service. Versions dropped from the list
/// receive no traffic either, because only the stable version and the candidate do.
pub const MAX_BLOCKED: usize = 16;

/// A change to a rollout, decided by the leader and replicated through the log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct RolloutCommand {
    /// Number of the rollout.
    pub rollout: u64,
    /// Step of the rollout when the leader decided. A command for another step is rejected; see
    /// [`Rollouts::apply`].
    pub step: u32,
    /// When the leader decided, in milliseconds since the Unix epoch.
    pub at: Millis,
    /// The change to apply.
    pub action: RolloutAction,
}

/// The kinds of change to a rollout.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub enum RolloutAction {
    /// Enter the next step of the rule.
    Advance,
    /// Enter the last step as a test under [full load](crate::full_load).
    Test {
        /// Calls that each daemon may send in addition to the permitted share.
        extra_calls: u32,
        /// Share of the traffic that the candidate receives.
        share: Share,
    },
    /// End the test under full load with success: the candidate receives all traffic.
    Pass,
    /// Roll back: return all traffic to the stable version.
    ///
    /// The variant keeps its older name because `Debug` writes it to the `action` field of
    /// log lines.
    TakeBack(RollBackReason),
    /// End the watch period: the candidate becomes the stable version.
    Finish,
}

/// Why a command was rejected. The rollout is unchanged.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub enum RolloutConflict {
    /// No rollout with this number is in progress or in the history.
    UnknownRollout,
    /// The rollout is at another step, so the command is a duplicate or was decided for a
    /// later step.
    WrongStep {
        /// Current step of the rollout.
        actual: u32,
    },
    /// The rollout is already in a final phase.
    Ended(RolloutPhase),
    /// The action is not allowed in the current phase.
    WrongPhase(RolloutPhase),
    /// The watch period has not ended yet.
    WatchNotOver {
        /// End of the watch period.
        until: Millis,
    },
}

/// The effect of an approval on a service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub enum ApprovalEffect {
    /// The service was approved for the first time; its version receives all traffic.
    Introduced {
        /// The service.
        service: ServiceName,
        /// Its stable version.
        version: VersionName,
    },
    /// A rollout of the approved version started.
    Started {
        /// The service.
        service: ServiceName,
        /// Number of the rollout.
        rollout: u64,
    },
    /// The rollout in progress was rolled back.
    #[serde(rename = "taken-back")]
    RolledBack {
        /// The service.
        service: ServiceName,
        /// Number of the rollout.
        rollout: u64,
    },
    /// The approved version was rolled back earlier. It is unchanged, so it still receives
    /// no traffic.
    #[serde(rename = "still-taken-back")]
    StillRolledBack {
        /// The service.
        service: ServiceName,
        /// The rolled back version.
        version: VersionName,
    },
    /// The service was removed from the configuration.
    Removed {
        /// The service.
        service: ServiceName,
    },
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
struct ServiceState {
    stable: VersionName,
    approved: ServiceConfig,
    blocked: Vec<VersionName>,
    running: Option<u64>,
    /// Order that starts when the rollout in progress has ended.
    #[serde(default)]
    waiting: Option<Order>,
}

/// The replicated state of all rollouts of the mesh.
///
/// Invariants: each service has at most one rollout in progress; a rollout in a final phase never
/// changes; the stable version changes only when a rollout is done.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct Rollouts {
    last_number: u64,
    services: BTreeMap<ServiceName, ServiceState>,
    rollouts: BTreeMap<u64, Rollout>,
}

impl Rollouts {
    /// Applies an approved configuration. The module documentation lists the possible effects.
    pub fn approve(&mut self, config: &MeshConfig, at: Millis) -> Vec<ApprovalEffect> {
        let mut effects = self.remove_missing_services(config, at);
        for (name, service) in &config.services {
            self.approve_service(name, service, at, &mut effects);
        }
        effects
    }

    /// Starts a new rollout of the approved version of `service` after it was rolled back.
    ///
    /// Returns the number of the rollout, or `None` if the version is not among those rolled back.
    pub fn approve_anew(&mut self, service: &ServiceName, at: Millis) -> Option<u64> {
        let state = self.services.get(service)?;
        if !state.blocked.contains(&state.approved.version) {
            return None;
        }
        self.start(service, at)
    }

    /// Applies a command from the log. Returns whether the traffic split that proxies enforce
    /// has changed.
    ///
    /// A duplicate command has no effect: rolling back a rollout that is already rolled back
    /// returns `Ok(false)`, any other duplicate returns a conflict. A roll back is also accepted at
    /// a later step than the one at which it was decided, because the evidence against the version
    /// still holds.
    pub fn apply(&mut self, command: &RolloutCommand) -> Result<bool, RolloutConflict> {
        let rollout = self
            .rollouts
            .get_mut(&command.rollout)
            .ok_or(RolloutConflict::UnknownRollout)?;
        let repeated = matches!(command.action, RolloutAction::TakeBack(_))
            && rollout.phase == RolloutPhase::TakenBack;
        if repeated {
            return Ok(false);
        }
        if rollout.phase.is_final() {
            return Err(RolloutConflict::Ended(rollout.phase));
        }
        check_step(rollout, command)?;
        let at = command.at.max(rollout.step_entered());
        match &command.action {
            RolloutAction::Advance => advance(rollout, at)?,
            RolloutAction::Test { extra_calls, share } => {
                rollout.extra_calls = *extra_calls;
                rollout.test_share = *share;
                advance(rollout, at)?;
            }
            RolloutAction::Pass => pass(rollout, at)?,
            RolloutAction::TakeBack(reason) => self.roll_back(command.rollout, reason.clone(), at),
            RolloutAction::Finish => {
                check_watch(rollout, at)?;
                self.finish(command.rollout, at);
            }
        }
        Ok(true)
    }

    /// Returns the traffic split of the service that proxies enforce, or `None` if the service
    /// is unknown.
    pub fn traffic(&self, service: &ServiceName) -> Option<TrafficSplit> {
        let state = self.services.get(service)?;
        let running = state.running.and_then(|number| self.rollouts.get(&number));
        Some(TrafficSplit {
            stable: state.stable.clone(),
            candidate: running.map(|rollout| Candidate {
                version: rollout.to.clone(),
                share: rollout.share(),
                rollout: rollout.number,
                window: rollout.window(),
                limit: exposure_limit(rollout),
            }),
            blocked: state.blocked.clone(),
        })
    }

    /// Returns the rollouts in progress, ordered by service name.
    pub fn running(&self) -> impl Iterator<Item = &Rollout> {
        self.services
            .values()
            .filter_map(|state| self.rollouts.get(&state.running?))
    }

    /// Returns the rollout with this number, if it is in progress or in the history.
    pub fn get(&self, number: u64) -> Option<&Rollout> {
        self.rollouts.get(&number)
    }

    /// Returns the services that have a traffic split.
    pub fn services(&self) -> impl Iterator<Item = &ServiceName> {
        self.services.keys()
    }

    /// Returns the rollout history of a service as shown to operators, or `None` if the service
    /// is unknown.
    pub fn history(&self, service: &ServiceName) -> Option<RolloutHistory> {
        let state = self.services.get(service);
        let of_service = |rollout: &&Rollout| rollout.service == *service;
        let rollouts: Vec<Rollout> = self.rollouts.values().filter(of_service).cloned().collect();
        if state.is_none() && rollouts.is_empty() {
            return None;
        }
        Some(RolloutHistory {
            service: service.clone(),
            stable: state.map(|state| state.stable.clone()),
            blocked: state.map_or_else(Vec::new, |state| state.blocked.clone()),
            rollouts,
        })
    }

    fn remove_missing_services(&mut self, config: &MeshConfig, at: Millis) -> Vec<ApprovalEffect> {
        let missing: Vec<ServiceName> = self
            .services
            .keys()
            .filter(|name| !config.services.contains_key(*name))
            .cloned()
            .collect();
        let mut effects = Vec::new();
        for service in missing {
            let running = self.services.get(&service).and_then(|state| state.running);
            if let Some(number) = running {
                self.roll_back(number, RollBackReason::ServiceRemoved, at);
                effects.push(ApprovalEffect::RolledBack {
                    service: service.clone(),
                    rollout: number,
                });
            }
            self.services.remove(&service);
            effects.push(ApprovalEffect::Removed { service });
        }
        effects
    }

    fn approve_service(
        &mut self,
        name: &ServiceName,
        config: &ServiceConfig,
        at: Millis,
        effects: &mut Vec<ApprovalEffect>,
    ) {
        let Some(state) = self.services.get_mut(name) else {
            self.introduce(name, config);
            effects.push(ApprovalEffect::Introduced {
                service: name.clone(),
                version: config.version.clone(),
            });
            return;
        };
        let changed = state.approved.version != config.version;
        state.approved = config.clone();
        if !changed {
            if state.blocked.contains(&config.version) {
                effects.push(ApprovalEffect::StillRolledBack {
                    service: name.clone(),
                    version: config.version.clone(),
                });
            }
            return;
        }
        let is_stable_version = state.stable == config.version;
        if let Some(number) = state.running {
            let reason = if is_stable_version {
                RollBackReason::Withdrawn
            } else {
                RollBackReason::Superseded {
                    by: config.version.clone(),
                }
            };
            self.roll_back(number, reason, at);
            effects.push(ApprovalEffect::RolledBack {
                service: name.clone(),
                rollout: number,
            });
        }
        if is_stable_version {
            return;
        }
        if let Some(rollout) = self.start(name, at) {
            effects.push(ApprovalEffect::Started {
                service: name.clone(),
                rollout,
            });
        }
    }

    fn introduce(&mut self, name: &ServiceName, config: &ServiceConfig) {
        let state = ServiceState {
            stable: config.version.clone(),
            approved: config.clone(),
            blocked: Vec::new(),
            running: None,
            waiting: None,
        };
        self.services.insert(name.clone(), state);
    }

    /// Sets the stable version of a service that has none yet. Returns whether anything changed.
    pub fn introduce_version(
        &mut self,
        service: &ServiceName,
        config: &ServiceConfig,
        version: &VersionName,
    ) -> bool {
        if self.services.contains_key(service) {
            return false;
        }
        let config = ServiceConfig {
            version: version.clone(),
            ..config.clone()
        };
        self.introduce(service, &config);
        true
    }

    /// Removes the services that are not in `config`, rolling back their rollouts in progress.
    pub fn retain_services(&mut self, config: &MeshConfig, at: Millis) {
        self.remove_missing_services(config, at);
    }

    fn start(&mut self, service: &ServiceName, at: Millis) -> Option<u64> {
        let state = self.services.get_mut(service)?;
        self.last_number += 1;
        let number = self.last_number;
        let to = state.approved.version.clone();
        state.blocked.retain(|version| *version != to);
        state.running = Some(number);
        let finish_by = match state.approved.rollout.finish {
            FinishTime::Within(duration) => at.after(duration),
            FinishTime::By(time) => time,
        };
        let rollout = Rollout {
            number,
            service: service.clone(),
            from: state.stable.clone(),
            to,
            phase: RolloutPhase::Planned,
            step: 0,
            started: at,
            finish_by,
            ended: None,
            reason: None,
            steps: Vec::new(),
            extra_calls: 0,
            test_share: Share::NONE,
            passed: None,
            rule: state.approved.rollout.clone(),
        };
        self.rollouts.insert(number, rollout);
        self.drop_old_history(service);
        Some(number)
    }

    fn roll_back(&mut self, number: u64, reason: RollBackReason, at: Millis) {
        let Some(rollout) = self.rollouts.get_mut(&number) else {
            return;
        };
        rollout.phase = RolloutPhase::TakenBack;
        rollout.reason = Some(reason);
        rollout.ended = Some(at);
        let Some(state) = self.services.get_mut(&rollout.service) else {
            return;
        };
        state.running = None;
        state.blocked.retain(|version| *version != rollout.to);
        state.blocked.push(rollout.to.clone());
        if state.blocked.len() > MAX_BLOCKED {
            state.blocked.remove(0);
        }
        let service = rollout.service.clone();
        self.start_waiting_order(&service, at);
    }

    fn finish(&mut self, number: u64, at: Millis) {
        let Some(rollout) = self.rollouts.get_mut(&number) else {
            return;
        };
        rollout.phase = RolloutPhase::Done;
        rollout.ended = Some(at);
        if let Some(state) = self.services.get_mut(&rollout.service) {
            state.running = None;
            state.stable = rollout.to.clone();
        }
        let service = rollout.service.clone();
        self.start_waiting_order(&service, at);
    }

    fn drop_old_history(&mut self, service: &ServiceName) {
        let ended: Vec<u64> = self
            .rollouts
            .values()
            .filter(|rollout| rollout.service == *service && rollout.phase.is_final())
            .map(|rollout| rollout.number)
            .collect();
        let excess = ended.len().saturating_sub(HISTORY_PER_SERVICE);
        for number in &ended[..excess] {
            self.rollouts.remove(number);
        }
    }
}

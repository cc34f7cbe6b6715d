//! Stands in for `crate::rollout` until that module is merged: an approved version has all
//! traffic at once, and there are no rollout commands.
//!
//! To switch over, replace `mod rollout;` and its import in the parent by `use crate::rollout`.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use sycamoreflow_state::config::{MeshConfig, TrafficSplit};
use sycamoreflow_state::ids::{Millis, ServiceName, VersionName};

/// A change of a rollout.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct RolloutCommand {
    /// Number of the rollout.
    pub rollout: u64,
}

/// Why a command has no effect.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum RolloutConflict {
    /// No rollout has this number.
    UnknownRollout,
}

/// What an approval did to a service.
#[derive(Clone, Debug, PartialEq, Eq)]
#[expect(dead_code, reason = "the stand-in starts no rollouts")]
pub(super) enum ApprovalEffect {
    /// The first approval of the service.
    Introduced {
        /// The service.
        service: ServiceName,
    },
    /// A rollout started.
    Started {
        /// The service.
        service: ServiceName,
    },
}

/// The versions that have all traffic.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct Rollouts {
    stable: BTreeMap<ServiceName, VersionName>,
}

impl Rollouts {
    /// Gives the approved versions all traffic.
    pub(super) fn approve(&mut self, config: &MeshConfig, _at: Millis) -> Vec<ApprovalEffect> {
        let before = std::mem::take(&mut self.stable);
        let mut effects = Vec::new();
        for (name, service) in &config.services {
            self.stable.insert(name.clone(), service.version.clone());
            if !before.contains_key(name) {
                let service = name.clone();
                effects.push(ApprovalEffect::Introduced { service });
            }
        }
        effects
    }

    /// Refuses every command, since there are no rollouts.
    pub(super) fn apply(&mut self, _command: &RolloutCommand) -> Result<bool, RolloutConflict> {
        Err(RolloutConflict::UnknownRollout)
    }

    /// Returns the division of a service's traffic.
    pub fn traffic(&self, service: &ServiceName) -> Option<TrafficSplit> {
        Some(TrafficSplit {
            stable: self.stable.get(service)?.clone(),
            candidate: None,
            blocked: Vec::new(),
        })
    }
}

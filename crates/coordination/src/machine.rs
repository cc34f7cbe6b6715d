//! The replicated state machine: the configuration in force, rollouts, key holders, the departures
//! of instances, orders to drain hosts and the outcomes of operator requests.
//!
//! [`ControlState::apply`] is deterministic: it depends on the state and the command only, so all
//! replicas reach the same state. Invariants:
//! - Each change of what proxies enforce increments [`ConfigVersion`] by one; it never decreases.
//! - At most one of the approvals based on the same version is accepted.
//! - A resent request receives the outcome of the first one and has no further effect.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use sycamoreflow_state::config::MeshConfig;
use sycamoreflow_state::ids::{
    ConfigVersion, DaemonId, Millis, RequestId, ServiceName, VersionName,
};
use sycamoreflow_state::view::{KeyHolder, KeyHolders, Resource, ResourceKey, config_resources};

mod check;
pub mod departures;
pub mod document;
pub mod drains;
pub mod evacuation;
mod history;
mod requests;

#[cfg(test)]
pub(crate) mod tests;

use crate::rollout::{ApprovalEffect, OrderEffect, RolloutCommand, Rollouts};
use check::check_key_holders;
use departures::{DepartureBatch, RecordedDepartures};
use document::{Documents, Replacement, ReplacementCheck};
use drains::DrainOrders;
use evacuation::{EvacuationOrder, Evacuations};
use history::History;
use requests::Requests;

use check::apply_change;
pub use check::check_config;
pub use history::{HistoryEvent, HistoryRecord, MAX_HISTORY};
pub use requests::{MAX_OUTCOMES, OUTCOME_RETENTION};

/// Error of encoding or decoding a command or a snapshot.
pub type CodecError = Box<dyn std::error::Error + Send + Sync>;

/// A change of the replicated state, stored as the payload of a log entry.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub enum Command {
    /// Puts a configuration in force if no other one was approved since its base.
    Approve {
        /// Identifier that the client of the operator chose, equal in all resends of the request.
        request: RequestId,
        /// Version that the operator based the configuration on.
        base: ConfigVersion,
        /// Name of the operator, reported to others whose approval conflicts with this one.
        operator: String,
        /// Text of the answers file.
        answers: String,
        /// Configuration generated from the answers.
        config: MeshConfig,
        /// Time at the leader, counted from the Unix epoch.
        at: Millis,
    },
    /// Replaces the configuration with a document of the operator.
    Replace(Replacement),
    /// Starts a rollout that an operator has ordered.
    StartRollout {
        /// Service whose traffic is shifted.
        service: ServiceName,
        /// Version that receives all traffic at the end of the rollout.
        to: VersionName,
        /// Duration after which the rollout should be finished.
        within: Millis,
        /// Time at the leader, counted from the Unix epoch.
        at: Millis,
    },
    /// Evacuates a data centre, or restores it.
    Evacuate(EvacuationOrder),
    /// Sets the stable version of a service when its first endpoints are announced.
    Introduce {
        /// Service of the endpoints.
        service: ServiceName,
        /// Version of its endpoints.
        version: VersionName,
    },
    /// Changes the state of a rollout.
    Rollout(RolloutCommand),
    /// Sets the group of key holders of a service.
    SetKeyHolders {
        /// Service whose keys the group holds.
        service: ServiceName,
        /// Number of the group, one above that of the previous group.
        epoch: u64,
        /// Members of the group. At most one member of the previous group is missing.
        daemons: Vec<KeyHolder>,
    },
    /// Records instances of upstreams that drain or have left.
    Depart(DepartureBatch),
    /// Gives the endpoints at a daemon no new work, or ends that.
    Drain {
        /// The daemon on the host of the endpoints.
        daemon: DaemonId,
        /// Whether they get no new work.
        draining: bool,
    },
    /// Ends an order to drain whose endpoints have left.
    EndDrain {
        /// The daemon on the host of the endpoints.
        daemon: DaemonId,
        /// Index of the log entry with the order.
        order: u64,
    },
    /// Has no effect on the state.
    Noop,
}

impl Command {
    /// Encodes the command for the log as CBOR.
    pub fn encode(&self) -> Result<Vec<u8>, CodecError> {
        encode(self)
    }

    /// Decodes a command from the payload of a log entry.
    pub fn decode(buf: &[u8]) -> Result<Self, CodecError> {
        Ok(ciborium::from_reader(buf)?)
    }

    /// Returns the problems for which the command must not be proposed. An empty list means that it
    /// may be.
    pub fn problems(&self) -> Vec<String> {
        match self {
            Self::Approve { config, .. } => check_config(config),
            Self::SetKeyHolders { daemons, .. } => check_key_holders(daemons),
            Self::Replace(_)
            | Self::StartRollout { .. }
            | Self::Evacuate(_)
            | Self::Introduce { .. }
            | Self::Rollout(_)
            | Self::Depart(_)
            | Self::Drain { .. }
            | Self::EndDrain { .. }
            | Self::Noop => Vec::new(),
        }
    }
}

/// Outcome of a command, equal on all replicas.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub enum Outcome {
    /// The configuration was accepted and is in force.
    Approved {
        /// Version at which it came into force.
        version: ConfigVersion,
        /// Services for which a rollout started.
        rollouts: Vec<ServiceName>,
        /// Whether this is the outcome of an earlier request with the same identifier.
        repeated: bool,
    },
    /// Another configuration was accepted after the base version, or the base version is above the
    /// current one.
    Conflict {
        /// Version at the time of the first request with this identifier.
        current: ConfigVersion,
        /// Operator of the latest approval at that time. Empty if there was none.
        by: String,
        /// Whether this is the outcome of an earlier request with the same identifier.
        repeated: bool,
    },
    /// The document is in force, or was accepted earlier.
    Replaced {
        /// Number of the document.
        number: u64,
        /// Whether an earlier log entry accepted it.
        repeated: bool,
    },
    /// The document in force is not the base of the document.
    BaseOutdated {
        /// Number of the document in force.
        current: u64,
    },
    /// The changes were computed against a document that is no longer in force. The proposer may
    /// compute them again, since the document itself may still be acceptable.
    ComputedOnOther,
    /// The configuration or the group of key holders is invalid. The state did not change.
    Invalid {
        /// Description of each problem.
        problems: Vec<String>,
    },
    /// An earlier request with other content used the same identifier. The state did not change.
    RequestIdReused,
    /// The command was applied, or repeats an order in force. Accepted approvals and replacements have outcomes of their own.
    Done {
        /// Version after the command.
        version: ConfigVersion,
        /// Whether the command changed what proxies enforce.
        changed: bool,
    },
    /// The command is not allowed in the current state, which did not change.
    Refused {
        /// Reason, written for the operator.
        reason: String,
    },
}

/// The configuration in force.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct Approved {
    /// Version at which it came into force. Zero if nothing was approved.
    pub version: ConfigVersion,
    /// Name of the operator who approved it. Empty for a document.
    pub operator: String,
    /// Time of the approval at the leader, counted from the Unix epoch.
    pub at: Millis,
    /// Text of the answers file. Empty for a document.
    pub answers: String,
    /// Configuration that proxies enforce.
    pub config: MeshConfig,
}

/// The replicated state of the control group.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct ControlState {
    applied: u64,
    version: ConfigVersion,
    approved: Approved,
    rollouts: Rollouts,
    #[serde(default)]
    documents: Documents,
    #[serde(default)]
    evacuations: Evacuations,
    #[serde(default)]
    departures: RecordedDepartures,
    #[serde(default)]
    drains: DrainOrders,
    key_holders: BTreeMap<ServiceName, KeyHolders>,
    /// Highest epoch of the key holders of any removed service. If a removed service is added
    /// again, the epochs of its groups start above this one, so that claims granted by earlier
    /// groups are not taken for claims of the new ones.
    removed_epoch: u64,
    requests: Requests,
    history: History,
}

impl ControlState {
    /// Applies the command of the log entry at `index` and returns its outcome.
    ///
    /// If the entry at `index` was applied before, returns [`Outcome::Refused`] without any effect.
    pub fn apply(&mut self, index: u64, command: &Command) -> Outcome {
        if index <= self.applied {
            return refused(format!("entry {index} was applied before"));
        }
        self.applied = index;
        match command {
            Command::Approve { .. } => self.apply_approval(command),
            Command::Replace(replacement) => self.apply_replacement(replacement),
            Command::StartRollout {
                service,
                to,
                within,
                at,
            } => self.apply_order(service, to, *within, *at),
            Command::Evacuate(order) => self.apply_evacuation(order),
            Command::Introduce { service, version } => self.apply_introduction(service, version),
            Command::Rollout(rollout) => self.apply_rollout(rollout),
            Command::SetKeyHolders {
                service,
                epoch,
                daemons,
            } => self.apply_key_holders(service, *epoch, daemons),
            Command::Depart(batch) => self.apply_departures(batch),
            Command::Drain { daemon, draining } => self.apply_drain(daemon, *draining),
            Command::EndDrain { daemon, order } => self.end_drain(daemon, *order),
            Command::Noop => self.done(false),
        }
    }

    fn apply_approval(&mut self, command: &Command) -> Outcome {
        let Command::Approve {
            request,
            base,
            operator,
            answers,
            config,
            at,
        } = command
        else {
            return self.done(false);
        };
        if let Some(outcome) = self.requests.find(request, *base, answers) {
            return outcome;
        }
        let problems = check_config(config);
        if !problems.is_empty() {
            return Outcome::Invalid { problems };
        }
        // Rollout steps also increment the version, but they must not invalidate the base of an
        // operator. Only an approval after the base is a conflict.
        let outcome = if *base < self.approved.version || *base > self.version {
            Outcome::Conflict {
                current: self.version,
                by: self.approved.operator.clone(),
                repeated: false,
            }
        } else {
            self.accept(request, operator, answers, config, *at)
        };
        self.requests
            .record(request.clone(), *base, answers, &outcome, *at);
        outcome
    }

    fn accept(
        &mut self,
        request: &RequestId,
        operator: &str,
        answers: &str,
        config: &MeshConfig,
        at: Millis,
    ) -> Outcome {
        let rollouts = started_services(self.rollouts.approve(config, at));
        self.retain_key_holders(config);
        self.version.0 += 1;
        self.approved = Approved {
            version: self.version,
            operator: operator.to_owned(),
            at,
            answers: answers.to_owned(),
            config: config.clone(),
        };
        let event = HistoryEvent::Approved {
            request: request.clone(),
            operator: operator.to_owned(),
        };
        self.history
            .add(self.version, self.requests.log_time(at), event);
        Outcome::Approved {
            version: self.version,
            rollouts,
            repeated: false,
        }
    }

    fn retain_key_holders(&mut self, config: &MeshConfig) {
        let removed_epoch = &mut self.removed_epoch;
        self.key_holders.retain(|service, holders| {
            let is_retained = config.services.contains_key(service);
            if !is_retained {
                *removed_epoch = (*removed_epoch).max(holders.epoch);
            }
            is_retained
        });
    }

    fn apply_replacement(&mut self, replacement: &Replacement) -> Outcome {
        match self.documents.check(replacement) {
            ReplacementCheck::Accepted => {}
            ReplacementCheck::Repeated => {
                return Outcome::Replaced {
                    number: replacement.number,
                    repeated: true,
                };
            }
            ReplacementCheck::BaseOutdated => {
                return Outcome::BaseOutdated {
                    current: self.documents.number(),
                };
            }
            ReplacementCheck::ComputedOnOther => return Outcome::ComputedOnOther,
            ReplacementCheck::NumberTooLow => {
                let problem = format!(
                    "version {} is not above the version in force, {}",
                    replacement.number,
                    self.documents.number()
                );
                return Outcome::Invalid {
                    problems: vec![problem],
                };
            }
        }
        if let Err(problems) = apply_change(&mut self.approved.config, replacement) {
            return Outcome::Invalid { problems };
        }
        let config = std::mem::take(&mut self.approved.config);
        self.documents.accept(replacement);
        self.rollouts.retain_services(&config, replacement.at);
        self.retain_key_holders(&config);
        self.version.0 += 1;
        self.approved = Approved {
            version: self.version,
            operator: String::new(),
            at: replacement.at,
            answers: String::new(),
            config,
        };
        let event = HistoryEvent::Replaced {
            number: replacement.number,
        };
        self.history
            .add(self.version, self.requests.log_time(replacement.at), event);
        Outcome::Replaced {
            number: replacement.number,
            repeated: false,
        }
    }

    fn apply_order(
        &mut self,
        service: &ServiceName,
        to: &VersionName,
        within: Millis,
        at: Millis,
    ) -> Outcome {
        let Some(config) = self.approved.config.services.get(service) else {
            return refused(format!("there is no service {service}"));
        };
        match self.rollouts.order(service, config, to, within, at) {
            OrderEffect::Unknown => refused(format!("no endpoint of {service} is known yet")),
            OrderEffect::Repeated => self.done(false),
            OrderEffect::Started => {
                self.version.0 += 1;
                let event = HistoryEvent::Ordered {
                    service: service.clone(),
                    to: to.clone(),
                };
                self.history
                    .add(self.version, self.requests.log_time(at), event);
                self.done(true)
            }
        }
    }

    fn apply_introduction(&mut self, service: &ServiceName, version: &VersionName) -> Outcome {
        let Some(config) = self.approved.config.services.get(service) else {
            return refused(format!("there is no service {service}"));
        };
        let changed = self.rollouts.introduce_version(service, config, version);
        if changed {
            self.version.0 += 1;
        }
        self.done(changed)
    }

    fn apply_rollout(&mut self, command: &RolloutCommand) -> Outcome {
        let changed = match self.rollouts.apply(command) {
            Ok(changed) => changed,
            Err(conflict) => {
                return refused(format!("the rollout does not allow it: {conflict:?}"));
            }
        };
        if changed {
            self.version.0 += 1;
            let event = HistoryEvent::Rollout(command.clone());
            self.history
                .add(self.version, self.requests.log_time(Millis(0)), event);
        }
        self.done(changed)
    }

    fn apply_key_holders(
        &mut self,
        service: &ServiceName,
        epoch: u64,
        daemons: &[KeyHolder],
    ) -> Outcome {
        let problems = check_key_holders(daemons);
        if !problems.is_empty() {
            return Outcome::Invalid { problems };
        }
        if !self.approved.config.services.contains_key(service) {
            return refused(format!("there is no service {service}"));
        }
        let group = self.key_holders.get(service);
        let last_epoch = group.map_or(self.removed_epoch, |group| group.epoch);
        if epoch != last_epoch + 1 {
            return refused(format!("the present epoch is {last_epoch}"));
        }
        let is_retained =
            |holder: &&KeyHolder| daemons.iter().any(|new| new.daemon == holder.daemon);
        let removed = group.map_or(0, |group| {
            group.daemons.len() - group.daemons.iter().filter(is_retained).count()
        });
        // Each record is stored on at least two of three holders. If two holders were replaced at
        // once, no remaining holder might have it.
        if removed > 1 {
            return refused("more than one holder would be replaced".to_owned());
        }
        let daemons = daemons.to_vec();
        let holders = KeyHolders { epoch, daemons };
        self.key_holders.insert(service.clone(), holders);
        self.version.0 += 1;
        let event = HistoryEvent::KeyHolders {
            service: service.clone(),
            epoch,
        };
        self.history
            .add(self.version, self.requests.log_time(Millis(0)), event);
        self.done(true)
    }

    fn done(&self, changed: bool) -> Outcome {
        Outcome::Done {
            version: self.version,
            changed,
        }
    }

    /// Returns the index of the last applied log entry.
    pub fn applied(&self) -> u64 {
        self.applied
    }

    /// Raises the index of the last applied entry to `index`, for entries without a command and
    /// after a snapshot was installed. A lower index has no effect.
    pub fn advance_applied(&mut self, index: u64) {
        self.applied = self.applied.max(index);
    }

    /// Returns the configuration version, which covers all resources except endpoints.
    pub fn version(&self) -> ConfigVersion {
        self.version
    }

    /// Returns the configuration in force with its approval.
    pub fn approved(&self) -> &Approved {
        &self.approved
    }

    /// Returns the document in force and the digests of earlier ones.
    pub fn documents(&self) -> &Documents {
        &self.documents
    }

    /// Returns the data centres that operators have evacuated or restored.
    pub fn evacuations(&self) -> &Evacuations {
        &self.evacuations
    }

    /// Returns the instances of upstreams that have recently left.
    pub fn departures(&self) -> &RecordedDepartures {
        &self.departures
    }

    /// Returns the orders of operators to give the endpoints at daemons no new work.
    pub fn drains(&self) -> &DrainOrders {
        &self.drains
    }

    /// Returns the rollouts of all services.
    pub fn rollouts(&self) -> &Rollouts {
        &self.rollouts
    }

    /// Returns the key holders of `service`, or `None` if it has no group yet.
    pub fn key_holders(&self, service: &ServiceName) -> Option<&KeyHolders> {
        self.key_holders.get(service)
    }

    /// Returns the last [`MAX_HISTORY`] changes, oldest first.
    pub fn history(&self) -> impl DoubleEndedIterator<Item = &HistoryRecord> {
        self.history.iter()
    }

    /// Returns the recorded outcome of a request, so that a resend needs no log entry. Returns
    /// `None` if the request is unknown or its outcome has been dropped.
    pub fn outcome(
        &self,
        request: &RequestId,
        base: ConfigVersion,
        answers: &str,
    ) -> Option<Outcome> {
        self.requests.find(request, base, answers)
    }

    /// Returns all resources that proxies enforce, except endpoints.
    pub fn resources(&self) -> Vec<(ResourceKey, Resource)> {
        let mut resources: Vec<_> = config_resources(&self.approved.config).collect();
        for service in self.approved.config.services.keys() {
            let split = self.rollouts.traffic(service);
            let key = ResourceKey::Traffic(service.clone());
            resources.push((key, Resource::Traffic(split.unwrap_or_default())));
            if let Some(holders) = self.key_holders.get(service) {
                let key = ResourceKey::KeyHolders(service.clone());
                resources.push((key, Resource::KeyHolders(holders.clone())));
            }
        }
        resources.extend(self.evacuations.resources());
        resources
    }

    /// Encodes the state for a snapshot as CBOR.
    pub fn encode(&self) -> Result<Vec<u8>, CodecError> {
        encode(self)
    }

    /// Decodes the state from a snapshot.
    pub fn decode(buf: &[u8]) -> Result<Self, CodecError> {
        Ok(ciborium::from_reader(buf)?)
    }
}

/// Returns the services for which an approval started a rollout.
fn started_services(effects: Vec<ApprovalEffect>) -> Vec<ServiceName> {
    let mut services = Vec::new();
    for effect in effects {
        if let ApprovalEffect::Started { service, .. } = effect {
            services.push(service);
        }
    }
    services
}

fn refused(reason: String) -> Outcome {
    Outcome::Refused { reason }
}

fn encode<T: Serialize>(value: &T) -> Result<Vec<u8>, CodecError> {
    let mut buf = Vec::new();
    ciborium::into_writer(value, &mut buf)?;
    Ok(buf)
}

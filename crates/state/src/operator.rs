//! JSON bodies of the operator interface, shared by the daemon and the client.
//!
//! Requests refuse unknown fields, so that a mistyped option is never ignored. Responses accept
//! them, so that an older client can talk to a newer daemon. Times count from the Unix epoch.

use serde::{Deserialize, Serialize};

use crate::answers::Problem;
use crate::config::{MeshConfig, Share};
use crate::endpoint::Endpoint;
use crate::ids::{
    ConfigVersion, DaemonId, EndpointVersion, Millis, RequestId, ServiceName, VersionName,
};

pub use crate::rollout::RolloutPhase;

/// `POST`, [`ApproveRequest`] to [`ApproveResponse`].
pub const APPROVE_PATH: &str = "/v1/approve";
/// `GET`, [`StatusResponse`].
pub const STATUS_PATH: &str = "/v1/status";
/// `GET`, [`ConfigResponse`].
pub const CONFIG_PATH: &str = "/v1/config";
/// `GET`, [`HistoryResponse`]. The query `service=NAME` selects one service.
pub const HISTORY_PATH: &str = "/v1/history";
/// `GET`, [`EndpointsResponse`].
pub const ENDPOINTS_PATH: &str = "/v1/endpoints";
/// `POST`, [`DrainRequest`] to [`DrainResponse`].
pub const DRAIN_PATH: &str = "/v1/drain";

/// Log entries by which a voter may lag and still count as caught up. It receives them within a
/// heartbeat.
const MAX_LAG_ENTRIES: u64 = 16;

#[cfg(test)]
mod tests;

/// Asks to put a configuration in force.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct ApproveRequest {
    /// Identifier of the request. A resend carries the same one and receives the first result.
    pub request_id: RequestId,
    /// Version that the operator saw. The request is refused if another one is in force.
    pub base: ConfigVersion,
    /// Who approves, to be named to others.
    pub operator: String,
    /// Text of the answers.
    pub answers: String,
    /// Configuration generated from the answers.
    pub config: MeshConfig,
}

/// The result of an approval.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct ApproveResponse {
    /// Version of the configuration that was approved.
    pub version: ConfigVersion,
    /// Whether this is the result of an earlier request with the same identifier.
    pub repeated: bool,
    /// Services whose rollout the approval has started.
    pub rollouts: Vec<ServiceName>,
}

/// The configuration in force.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct ConfigResponse {
    /// Name of the mesh. A client refuses answers for another one.
    pub mesh: String,
    /// Its version. It is zero as long as nothing was approved.
    pub version: ConfigVersion,
    /// Text of the answers that it was generated from.
    pub answers: String,
    /// The configuration.
    pub config: MeshConfig,
}

/// The state of the mesh.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct StatusResponse {
    /// Name of the mesh.
    pub mesh: String,
    /// Daemon that answers.
    pub daemon: DaemonId,
    /// Accepted version of the configuration.
    pub config: ConfigVersion,
    /// Version of the endpoint table.
    pub endpoints: EndpointVersion,
    /// Leader of the control group, if known.
    pub leader: Option<DaemonId>,
    /// Replicas of the control group.
    pub replicas: Vec<ReplicaStatus>,
    /// Progress of the accepted version.
    pub convergence: Convergence,
    /// The latest rollout of each service that had one.
    pub rollouts: Vec<RolloutStatus>,
}

impl StatusResponse {
    /// Returns whether the control group goes on accepting changes if it loses any one more voter.
    ///
    /// Only voters count that are in reach and have caught up: a replaced replica that is still
    /// copying the log can't stand in for another one yet.
    pub fn tolerates_one_voter_failure(&self) -> bool {
        let voters: Vec<_> = self.replicas.iter().filter(|r| r.voter).collect();
        let newest = voters.iter().map(|r| r.log_index).max().unwrap_or(0);
        let caught_up =
            |r: &&&ReplicaStatus| r.reachable && r.log_index + MAX_LAG_ENTRIES >= newest;
        let usable = voters.iter().filter(caught_up).count();
        usable > voters.len() / 2 + 1
    }
}

/// State of a control replica as the leader sees it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct ReplicaStatus {
    /// Daemon that contains the replica.
    pub daemon: DaemonId,
    /// Whether it votes.
    pub voter: bool,
    /// Whether the leader heard from it within the last election timeout.
    pub reachable: bool,
    /// Index of the last log entry that it is known to have.
    pub log_index: u64,
}

/// How far the accepted version has reached.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Convergence {
    /// Daemons that subscribe.
    pub daemons: u64,
    /// Daemons that have the accepted version in force.
    pub in_force: u64,
    /// Time from acceptance until it was in force everywhere, once it is.
    pub duration: Option<Millis>,
    /// Daemons that do not have the accepted version in force yet.
    #[serde(default)]
    pub missing: Vec<DaemonId>,
    /// Daemons that rejected the accepted version, with the reason.
    pub rejected: Vec<RejectedBy>,
}

/// A daemon that rejected the accepted version.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct RejectedBy {
    /// The daemon.
    pub daemon: DaemonId,
    /// Its reason.
    pub reason: String,
}

/// State of a rollout.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct RolloutStatus {
    /// Number of the rollout, unique in the mesh.
    pub rollout: u64,
    /// Version of the configuration whose approval started it.
    pub approved: ConfigVersion,
    /// The service.
    pub service: ServiceName,
    /// Version before the rollout.
    pub from: VersionName,
    /// New version.
    pub to: VersionName,
    /// Phase.
    pub phase: RolloutPhase,
    /// Share of traffic of the new version.
    pub share: Share,
    /// When the new version is to have all traffic.
    pub finish: Millis,
    /// Why it was taken back, or why it stays at its share.
    pub reason: Option<String>,
}

/// What happened in the mesh, the oldest entry first.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct HistoryResponse {
    /// The entries.
    pub entries: Vec<HistoryEntry>,
}

/// An entry of the history.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct HistoryEntry {
    /// Version of the configuration after the event.
    pub version: ConfigVersion,
    /// When the event was accepted.
    pub at: Millis,
    /// Service concerned, if it is only one.
    pub service: Option<ServiceName>,
    /// The event.
    pub event: HistoryEvent,
}

/// An event of the history.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum HistoryEvent {
    /// A configuration was approved.
    Approved {
        /// Identifier of the request.
        request_id: RequestId,
        /// Who approved it.
        operator: String,
    },
    /// A rollout started.
    RolloutStarted {
        /// Version before.
        from: VersionName,
        /// New version.
        to: VersionName,
    },
    /// The share of the new version changed.
    ShareChanged {
        /// New version.
        to: VersionName,
        /// Its share.
        share: Share,
    },
    /// The new version passed its test under full load.
    TestPassed {
        /// New version.
        to: VersionName,
    },
    /// The new version became the stable one.
    RolloutDone {
        /// New version.
        to: VersionName,
    },
    /// The new version was taken back.
    #[serde(rename = "taken-back")]
    RolledBack {
        /// New version.
        to: VersionName,
        /// Why.
        reason: String,
    },
    /// A key holder was replaced.
    KeyHoldersChanged {
        /// Number of the group.
        epoch: u64,
    },
}

/// The endpoints, ordered by daemon and service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct EndpointsResponse {
    /// Version of the endpoint table.
    pub version: EndpointVersion,
    /// The endpoints.
    pub endpoints: Vec<Endpoint>,
}

/// Asks to give the endpoints at a daemon no new work, or to end that.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct DrainRequest {
    /// The daemon.
    pub daemon: DaemonId,
    /// Whether the endpoints drain. `false` takes the mark away again.
    pub draining: bool,
}

/// The result of a drain request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct DrainResponse {
    /// Version of the endpoint table that contains the mark.
    pub version: EndpointVersion,
    /// Number of endpoints that the daemon has.
    pub endpoints: u64,
}

/// Body of every response with an error status.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct ErrorResponse {
    /// Kind of the error.
    pub code: ErrorCode,
    /// What went wrong.
    pub message: String,
    /// Version in force, for [`ErrorCode::Conflict`].
    #[serde(default)]
    pub current: Option<ConfigVersion>,
    /// Problems of the configuration, for [`ErrorCode::Invalid`].
    #[serde(default)]
    pub problems: Vec<Problem>,
}

/// Kind of an error.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ErrorCode {
    /// The request is malformed.
    BadRequest,
    /// The token is missing or wrong.
    Unauthorized,
    /// There is no such path, daemon or service.
    NotFound,
    /// Another version is in force than the base of the request.
    Conflict,
    /// The configuration has problems.
    Invalid,
    /// The request identifier was used for another request.
    RequestIdReused,
    /// The control group cannot decide at present. The request may be resent.
    Unavailable,
}

impl ErrorCode {
    /// Returns the HTTP status.
    pub fn status(self) -> u16 {
        match self {
            Self::BadRequest => 400,
            Self::Unauthorized => 401,
            Self::NotFound => 404,
            Self::Conflict | Self::RequestIdReused => 409,
            Self::Invalid => 422,
            Self::Unavailable => 503,
        }
    }
}

impl ErrorResponse {
    /// Makes an error without details.
    pub fn new(code: ErrorCode, message: impl Into<String>) -> Self {
        Self {
            code,
            message: message.into(),
            current: None,
            problems: Vec::new(),
        }
    }
}

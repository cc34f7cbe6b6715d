//! Paths and JSON bodies of the operator API, shared by the daemon and its clients.
//!
//! Requests with unknown fields are refused, so that a mistyped option is never ignored. Unknown
//! fields of responses are ignored, so that an older client can use a newer daemon. Times are
//! in milliseconds since the Unix epoch.

use serde::{Deserialize, Serialize};

use crate::answers::Problem;
use crate::config::{MeshConfig, Share};
use crate::endpoint::Endpoint;
use crate::ids::{
    ConfigVersion, DaemonId, DataCentre, EndpointVersion, Millis, RequestId, ServiceName,
    VersionName,
};

pub use crate::rollout::RolloutPhase;

/// `POST` with an [`ApproveRequest`]; responds with an [`ApproveResponse`].
pub const APPROVE_PATH: &str = "/v1/approve";
/// `GET`; responds with a [`StatusResponse`].
pub const STATUS_PATH: &str = "/v1/status";
/// `GET`; responds with a [`ConfigResponse`].
pub const CONFIG_PATH: &str = "/v1/config";
/// `GET`; responds with a [`HistoryResponse`]. The query `service=NAME` selects one service.
pub const HISTORY_PATH: &str = "/v1/history";
/// `GET`; responds with an [`EndpointsResponse`].
pub const ENDPOINTS_PATH: &str = "/v1/endpoints";
/// `POST` with a [`DrainRequest`]; responds with a [`DrainResponse`].
pub const DRAIN_PATH: &str = "/v1/drain";

/// Followed by the percent-encoded name of a data centre. `POST` evacuates it and `DELETE` restores
/// it; both respond with an [`EvacuationResponse`]. The query `request-id=ID` identifies the order,
/// so that a resend that arrives after a later order has no effect.
pub const EVACUATIONS_PATH: &str = "/v1/evacuations/";

/// Number of log entries by which a voter may lag behind and still count as caught up. A reachable
/// voter receives that many within a heartbeat.
const MAX_LAG_ENTRIES: u64 = 16;

#[cfg(test)]
mod tests;

/// Request to put a configuration in force.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct ApproveRequest {
    /// Identifier of the request. A resend with the same identifier receives the original result.
    pub request_id: RequestId,
    /// Version that the operator has reviewed. The request is refused if another one is in force.
    pub base: ConfigVersion,
    /// Name of the approving operator, which is recorded in the history.
    pub operator: String,
    /// Text of the answers file.
    pub answers: String,
    /// Configuration generated from the answers.
    pub config: MeshConfig,
}

/// Result of an approval.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct ApproveResponse {
    /// Version that the approved configuration received.
    pub version: ConfigVersion,
    /// Whether this is the stored result of an earlier request with the same identifier.
    pub repeated: bool,
    /// Services for which the approval started a rollout.
    pub rollouts: Vec<ServiceName>,
}

/// The configuration in force.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct ConfigResponse {
    /// Name of the mesh. A client refuses an answers file for another mesh.
    pub mesh: String,
    /// Version of the configuration, or zero if none was approved yet.
    pub version: ConfigVersion,
    /// Text of the answers file that the configuration was generated from.
    pub answers: String,
    /// Content of the configuration.
    pub config: MeshConfig,
}

/// The state of the mesh, as the responding daemon knows it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct StatusResponse {
    /// Name of the mesh.
    pub mesh: String,
    /// Daemon that sent this response.
    pub daemon: DaemonId,
    /// Accepted version of the configuration.
    pub config: ConfigVersion,
    /// Version of the endpoint table.
    pub endpoints: EndpointVersion,
    /// Leader of the control group, if known.
    pub leader: Option<DaemonId>,
    /// Replicas of the control group.
    pub replicas: Vec<ReplicaStatus>,
    /// How far the accepted version has been distributed.
    pub convergence: Convergence,
    /// The latest rollout of each service that has had one.
    pub rollouts: Vec<RolloutStatus>,
    /// Evacuated data centres.
    #[serde(default)]
    pub evacuations: Vec<EvacuationStatus>,
    /// What is left of each service while data centres are evacuated. Empty if none is.
    #[serde(default)]
    pub remaining: Vec<RemainingCapacity>,
}

/// An evacuated data centre.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct EvacuationStatus {
    /// Name of the data centre.
    pub data_centre: DataCentre,
    /// Version at which the evacuation came into force.
    pub since: ConfigVersion,
    /// Time of the order.
    pub at: Millis,
}

/// Capacity of a service outside the evacuated data centres.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct RemainingCapacity {
    /// Name of the service.
    pub service: ServiceName,
    /// Slots of all its endpoints that do not drain.
    pub slots: u64,
    /// Slots of those that are outside the evacuated data centres.
    pub remaining: u64,
}

impl RemainingCapacity {
    /// Returns the load expected of each remaining slot, in percent of the load that a slot has
    /// with all data centres in use. `None` if no slot remains, so that calls are refused.
    pub fn expected_load_percent(&self) -> Option<u64> {
        (self.slots * 100).checked_div(self.remaining)
    }
}

/// Result of an order to evacuate or to restore a data centre.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct EvacuationResponse {
    /// Version of the configuration after the order.
    pub version: ConfigVersion,
    /// Whether the order changed anything, rather than repeat one that is in force.
    pub changed: bool,
    /// Whether the data centre is evacuated now. It differs from the order if a later order has
    /// overtaken this resend.
    pub evacuated: bool,
    /// What is left of each service. Empty if no data centre is evacuated.
    pub remaining: Vec<RemainingCapacity>,
}

impl StatusResponse {
    /// Returns whether the control group keeps its quorum if any one more voter fails.
    ///
    /// Only voters that are reachable and caught up are counted: a replacement that is still
    /// copying the log can't take over for another replica yet.
    pub fn tolerates_one_voter_failure(&self) -> bool {
        let voters: Vec<_> = self.replicas.iter().filter(|r| r.voter).collect();
        let newest = voters.iter().map(|r| r.log_index).max().unwrap_or(0);
        let caught_up =
            |r: &&&ReplicaStatus| r.reachable && r.log_index + MAX_LAG_ENTRIES >= newest;
        let usable = voters.iter().filter(caught_up).count();
        usable > voters.len() / 2 + 1
    }
}

/// State of a control replica, as observed by the leader.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct ReplicaStatus {
    /// Daemon in which the replica runs.
    pub daemon: DaemonId,
    /// Whether the replica is a voter; otherwise it is a learner.
    pub voter: bool,
    /// Whether the leader has received a message from the replica within the last election timeout.
    pub reachable: bool,
    /// Index of the last log entry that the replica is known to have stored.
    pub log_index: u64,
}

/// How far the accepted version has been distributed to the daemons.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Convergence {
    /// Number of subscribed daemons.
    pub daemons: u64,
    /// Number of daemons that have the accepted version in force.
    pub in_force: u64,
    /// Time from the acceptance of the version until all daemons had it in force, or `None` until
    /// then.
    pub duration: Option<Millis>,
    /// Daemons that do not have the accepted version in force yet.
    #[serde(default)]
    pub missing: Vec<DaemonId>,
    /// Daemons that rejected the accepted version, with their reasons.
    pub rejected: Vec<RejectedBy>,
}

/// A daemon that rejected the accepted version.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct RejectedBy {
    /// Identifier of the daemon.
    pub daemon: DaemonId,
    /// Why the daemon rejected the version.
    pub reason: String,
}

/// State of the latest rollout of a service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct RolloutStatus {
    /// Number of the rollout, unique in the mesh.
    pub rollout: u64,
    /// Version of the configuration whose approval started it.
    pub approved: ConfigVersion,
    /// Service whose traffic is moved.
    pub service: ServiceName,
    /// Stable version before the rollout.
    pub from: VersionName,
    /// Version that is rolled out.
    pub to: VersionName,
    /// Phase that the rollout has reached.
    pub phase: RolloutPhase,
    /// Share of traffic that the new version may receive.
    pub share: Share,
    /// When the new version is to have all traffic.
    pub finish: Millis,
    /// Why the rollout was rolled back, or why the new version stays at its share.
    pub reason: Option<String>,
}

/// The history of the mesh.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct HistoryResponse {
    /// Entries, oldest first.
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
    /// Service that the event concerns, or `None` if it is not a single one.
    pub service: Option<ServiceName>,
    /// Kind of the event and its details.
    pub event: HistoryEvent,
}

/// An event of the history.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum HistoryEvent {
    /// A configuration was approved.
    Approved {
        /// Identifier of the approval request.
        request_id: RequestId,
        /// Name of the approving operator.
        operator: String,
    },
    /// An approval started a rollout of the service.
    RolloutStarted {
        /// Old version.
        from: VersionName,
        /// New version.
        to: VersionName,
    },
    /// The share of the new version changed.
    ShareChanged {
        /// New version.
        to: VersionName,
        /// Share of traffic of the new version after the event.
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
    /// The rollout of the new version was rolled back.
    #[serde(rename = "taken-back")]
    RolledBack {
        /// New version.
        to: VersionName,
        /// Reason of the rollback, as text.
        reason: String,
    },
    /// A data centre was evacuated.
    Evacuated {
        /// Name of the data centre.
        data_centre: DataCentre,
    },
    /// The evacuation of a data centre ended.
    Restored {
        /// Name of the data centre.
        data_centre: DataCentre,
    },
    /// A key holder was replaced.
    KeyHoldersChanged {
        /// Epoch of the new group of key holders.
        epoch: u64,
    },
}

/// All endpoints of the mesh, with the version of the endpoint table.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct EndpointsResponse {
    /// Version of the endpoint table.
    pub version: EndpointVersion,
    /// Endpoints, ordered by daemon and then by service.
    pub endpoints: Vec<Endpoint>,
}

/// Request to start or stop draining the endpoints at a daemon. Draining endpoints receive no new
/// requests.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct DrainRequest {
    /// Daemon whose endpoints are concerned.
    pub daemon: DaemonId,
    /// Whether the endpoints are to drain; `false` puts them back into use.
    pub draining: bool,
}

/// Result of a drain request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct DrainResponse {
    /// Version of the endpoint table that contains the change.
    pub version: EndpointVersion,
    /// Number of endpoints at the daemon.
    pub endpoints: u64,
}

/// Body of every response with an error status.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct ErrorResponse {
    /// Kind of the error.
    pub code: ErrorCode,
    /// Description of the error for the operator.
    pub message: String,
    /// Version in force, for [`ErrorCode::Conflict`]; `None` otherwise.
    #[serde(default)]
    pub current: Option<ConfigVersion>,
    /// Problems of the configuration, for [`ErrorCode::Invalid`]. May be empty if the message
    /// contains them.
    #[serde(default)]
    pub problems: Vec<Problem>,
}

/// Kind of an error, which determines the HTTP status.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ErrorCode {
    /// The request is malformed.
    BadRequest,
    /// The operator token is missing or wrong.
    Unauthorized,
    /// The path, daemon or service does not exist.
    NotFound,
    /// The version in force differs from the base of the request.
    Conflict,
    /// The configuration is invalid.
    Invalid,
    /// The request identifier was used before, for a request with other content.
    RequestIdReused,
    /// The control group cannot decide at present. The request may be sent again.
    Unavailable,
}

impl ErrorCode {
    /// Returns the HTTP status code of a response with this error.
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
    /// Creates an error response without a version or problems.
    pub fn new(code: ErrorCode, message: impl Into<String>) -> Self {
        Self {
            code,
            message: message.into(),
            current: None,
            problems: Vec::new(),
        }
    }
}

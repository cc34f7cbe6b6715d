//! Messages between control replicas.

use serde::{Deserialize, Serialize};
use sycamoreflow_coordination::evidence::EvidenceReport;
use sycamoreflow_coordination::quota::{QuotaGrants, QuotaReport};
use sycamoreflow_coordination::raft::message::Message;
use sycamoreflow_coordination::shares::Grant;
use sycamoreflow_coordination::suspect::SuspectReport;
use sycamoreflow_state::endpoint::{Departure, Endpoint};
use sycamoreflow_state::ids::{DaemonId, ViewVersion};

/// A message from one control replica to another.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ReplicaMessage {
    /// A Raft message of the control group.
    Raft(Box<Message>),
    /// Messages of a replica's subscribers, forwarded to the leader.
    Forward(Vec<Forwarded>),
    /// Grants of the leader, for the receiving replica to pass on to these subscribers.
    Grants(Vec<(DaemonId, Grant)>),
    /// Answers of the leader to [`ToLeader::Quota`], for the replica that forwarded the reports to
    /// pass on to these subscribers.
    QuotaGrants(Vec<(DaemonId, QuotaGrants)>),
    /// Requests that have crashed upstreams, for the receiving replica to pass on to its
    /// subscribers.
    Suspects(SuspectReport),
}

/// A message of a subscriber, forwarded to the leader by the replica that serves it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct Forwarded {
    /// Subscriber that sent the message.
    pub daemon: DaemonId,
    /// Content of the message.
    pub content: ToLeader,
}

/// Content of a message to the leader about one subscriber.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ToLeader {
    /// Renews the leases of the listed endpoints and ends those of the subscriber's other
    /// endpoints.
    Renew {
        /// All endpoints on the subscriber's host.
        endpoints: Vec<Endpoint>,
        /// Instances that have recently left the subscriber's host.
        departures: Vec<Departure>,
        /// Version in force at the subscriber. Repeated here so that a new leader receives it.
        in_force: Option<ViewVersion>,
    },
    /// The subscriber has put this version in force.
    InForce(ViewVersion),
    /// The subscriber rejected an update.
    Rejected {
        /// Version of the rejected update.
        version: ViewVersion,
        /// Reason for the rejection, shown to operators.
        reason: String,
    },
    /// Call statistics of the versions under rollout.
    Report(EvidenceReport),
    /// Use of the quotas of client accounts.
    Quota(QuotaReport),
}

//! Conversation between control replicas.

use serde::{Deserialize, Serialize};
use sycamoreflow_coordination::evidence::EvidenceReport;
use sycamoreflow_coordination::raft::message::Message;
use sycamoreflow_coordination::shares::Grant;
use sycamoreflow_coordination::suspect::SuspectReport;
use sycamoreflow_state::endpoint::Endpoint;
use sycamoreflow_state::ids::{DaemonId, ViewVersion};

/// What one control replica sends to another.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ReplicaMessage {
    /// A message of the replicated log.
    Raft(Box<Message>),
    /// What subscribers of a replica have to tell the leader.
    Forward(Vec<Forwarded>),
    /// What the leader has to tell subscribers of a replica.
    Grants(Vec<(DaemonId, Grant)>),
    /// Requests that have crashed upstreams, for the subscribers of the other replicas.
    Suspects(SuspectReport),
}

/// A message of a subscriber that is meant for the leader.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct Forwarded {
    /// The subscriber.
    pub daemon: DaemonId,
    /// Its message.
    pub content: ToLeader,
}

/// What a subscriber has to tell the leader.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ToLeader {
    /// Renews the leases of all its endpoints.
    Renew {
        /// The endpoints.
        endpoints: Vec<Endpoint>,
        /// Version in force, for a leader that has not heard of it.
        in_force: Option<ViewVersion>,
    },
    /// It enforces this version.
    InForce(ViewVersion),
    /// It refused a version.
    Rejected {
        /// The refused version.
        version: ViewVersion,
        /// Why it was refused.
        reason: String,
    },
    /// Evidence about versions under rollout.
    Report(EvidenceReport),
    /// An operator asked to give the daemon no new work, or to end that.
    Drain(bool),
}

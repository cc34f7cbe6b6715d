//! Conversation between a subscriber (every daemon) and a control replica.

use serde::{Deserialize, Serialize};
use sycamoreflow_coordination::evidence::EvidenceReport;
use sycamoreflow_coordination::shares::Grant;
use sycamoreflow_coordination::suspect::SuspectReport;
use sycamoreflow_state::endpoint::Endpoint;
use sycamoreflow_state::ids::{ConfigVersion, DaemonId, Millis, ViewVersion};
use sycamoreflow_state::view::{Delta, Interest};

/// What a subscriber sends.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum FromSubscriber {
    /// Starts the subscription. It is the first message on the link.
    Subscribe {
        /// Resources that the subscriber wants.
        interest: Interest,
        /// Version of the view that the subscriber has for this interest.
        have: Option<ViewVersion>,
        /// Endpoints beside the subscriber.
        endpoints: Vec<Endpoint>,
    },
    /// Follows the view of the leader as another control replica, which serves subscribers from
    /// it. The sender counts neither as a subscriber nor against the rate of joins.
    Follow {
        /// Version of the view that the replica has.
        have: Option<ViewVersion>,
    },
    /// Renews the leases of all endpoints beside the subscriber, or ends those that are missing.
    Renew {
        /// The endpoints.
        endpoints: Vec<Endpoint>,
        /// Version in force, for a leader that has not heard of it.
        in_force: Option<ViewVersion>,
    },
    /// The subscriber enforces this version.
    InForce(ViewVersion),
    /// The subscriber refused an update as a whole and keeps what it has.
    Rejected {
        /// Version of the refused update.
        version: ViewVersion,
        /// Why it was refused, for the operator.
        reason: String,
    },
    /// Evidence about versions under rollout.
    Report(EvidenceReport),
    /// Requests that have crashed upstreams, for all other daemons.
    Suspects(SuspectReport),
}

/// What a control replica sends.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum FromReplica {
    /// The replica admits the subscription. `floor` was confirmed by a quorum after the
    /// subscription arrived, and no update below it follows.
    Admitted {
        /// Lowest version that the subscriber may serve.
        floor: ConfigVersion,
    },
    /// The replicas of the group, at which the subscriber may subscribe as well.
    Members(Vec<DaemonId>),
    /// Brings the subscriber to a newer version.
    Update(Box<Delta>),
    /// The replica is busy: come back after this time.
    RetryAfter(Millis),
    /// The replica has lost its quorum: use another one.
    NoQuorum,
    /// Calls that the subscriber may send to versions under rollout.
    Grants(Vec<Grant>),
    /// Requests that have crashed upstreams at other daemons.
    Suspects(SuspectReport),
}

//! Conversation between a subscriber (every daemon) and a control replica.

use miniz_oxide::deflate::compress_to_vec;
use miniz_oxide::inflate::decompress_to_vec_with_limit;
use serde::{Deserialize, Serialize};
use serde_bytes::ByteBuf;
use sycamoreflow_coordination::evidence::EvidenceReport;
use sycamoreflow_coordination::shares::Grant;
use sycamoreflow_coordination::suspect::SuspectReport;
use sycamoreflow_state::endpoint::Endpoint;
use sycamoreflow_state::ids::{ConfigVersion, DaemonId, Millis, ViewVersion};
use sycamoreflow_state::view::{Delta, Interest};

use crate::codec::{self, CodecError};

#[cfg(test)]
mod tests;

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
    /// Another message of a replica, compressed. A full state repeats its names many times, and all
    /// subscribers fetch it at once after a restart.
    Packed(ByteBuf),
    /// The replica is busy: come back after this time.
    RetryAfter(Millis),
    /// The replica has lost its quorum: use another one.
    NoQuorum,
    /// Calls that the subscriber may send to versions under rollout.
    Grants(Vec<Grant>),
    /// Requests that have crashed upstreams at other daemons.
    Suspects(SuspectReport),
}

/// Messages below this size in bytes are sent as they are: a deflate stream would save little.
const COMPRESSION_THRESHOLD_BYTES: usize = 1_024;

/// Level of compression, 1 to 10. The lowest one, since replicas have least time to spare when all
/// subscribers ask for the state.
const COMPRESSION_LEVEL: u8 = 1;

impl FromReplica {
    /// Encodes the message, compressed if that is worth it.
    ///
    /// # Errors
    ///
    /// Those of [`codec::encode`].
    pub fn to_frame(&self) -> codec::Result<Vec<u8>> {
        let encoded = codec::encode(self)?;
        if encoded.len() < COMPRESSION_THRESHOLD_BYTES {
            return Ok(encoded);
        }
        let packed = ByteBuf::from(compress_to_vec(&encoded, COMPRESSION_LEVEL));
        codec::encode(&Self::Packed(packed))
    }

    /// Decodes the message of a frame, never to [`FromReplica::Packed`].
    ///
    /// # Errors
    ///
    /// Those of [`codec::decode`], also if the compressed bytes hold no message, or one above the size
    /// of a frame.
    pub fn from_frame(frame: &[u8]) -> codec::Result<Self> {
        let packed = match codec::decode(frame)? {
            Self::Packed(packed) => packed,
            message => return Ok(message),
        };
        let encoded = decompress_to_vec_with_limit(&packed, codec::MAX_FRAME_BYTES)
            .map_err(|error| CodecError::Malformed(error.to_string()))?;
        match codec::decode(&encoded)? {
            Self::Packed(_) => Err(CodecError::Malformed("packed twice".to_owned())),
            message => Ok(message),
        }
    }
}

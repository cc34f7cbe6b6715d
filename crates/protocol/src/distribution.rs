//! Messages between a subscriber and a control replica. Every daemon is a subscriber.

use miniz_oxide::deflate::compress_to_vec;
use miniz_oxide::inflate::decompress_to_vec_with_limit;
use serde::{Deserialize, Serialize};
use serde_bytes::ByteBuf;
use sycamoreflow_coordination::evidence::EvidenceReport;
use sycamoreflow_coordination::quota::{QuotaGrants, QuotaReport};
use sycamoreflow_coordination::shares::Grant;
use sycamoreflow_coordination::suspect::SuspectReport;
use sycamoreflow_state::endpoint::{Departure, Endpoint};
use sycamoreflow_state::ids::{ConfigVersion, DaemonId, Millis, ViewVersion};
use sycamoreflow_state::view::{Delta, Interest};

use crate::codec::{self, CodecError};

#[cfg(test)]
mod tests;

/// A message from a subscriber to a control replica.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum FromSubscriber {
    /// Starts a subscription. This is the first message on the link.
    Subscribe {
        /// Resources to receive.
        interest: Interest,
        /// Version of the subscriber's view for this interest, from which the replica can send a
        /// delta. `None` requests the full state.
        have: Option<ViewVersion>,
        /// All endpoints on the subscriber's host.
        endpoints: Vec<Endpoint>,
        /// Instances that have recently left the subscriber's host.
        departures: Vec<Departure>,
    },
    /// Starts a subscription of another control replica, which serves its own subscribers from the
    /// leader's view. The sender does not count as a subscriber and is exempt from the join rate
    /// limit.
    Follow {
        /// Version of the sender's view, or `None` to request the full state.
        have: Option<ViewVersion>,
    },
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
    /// The subscriber rejected an update as a whole and keeps its current view.
    Rejected {
        /// Version of the rejected update.
        version: ViewVersion,
        /// Reason for the rejection, shown to operators.
        reason: String,
    },
    /// Call statistics of the versions under rollout.
    Report(EvidenceReport),
    /// Requests that have crashed upstreams, to be distributed to all other daemons.
    Suspects(SuspectReport),
    /// Asks which configuration is the newest. Sent only by daemons whose settings have a key lease.
    Confirm {
        /// Number of the question, which the answer repeats.
        number: u64,
    },
    /// Use of the quotas of client accounts.
    Quota(QuotaReport),
}

/// A message from a control replica to a subscriber.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum FromReplica {
    /// Accepts the subscription. A quorum confirmed `floor` after the subscription had arrived, and
    /// no update below it follows.
    Admitted {
        /// Lowest configuration version that the subscriber may serve.
        floor: ConfigVersion,
    },
    /// Members of the control group. The subscriber may subscribe to any of them.
    Members(Vec<DaemonId>),
    /// Updates the subscriber's view to a newer version.
    Update(Box<Delta>),
    /// Another message of this type as a deflate stream. A full state repeats its names many times,
    /// and after a restart all subscribers fetch one at the same time.
    Packed(ByteBuf),
    /// The replica refuses the subscription because too many subscribers are joining. The
    /// subscriber may try again after this time.
    RetryAfter(Millis),
    /// The replica has lost contact with a quorum of the control group. The subscriber should use
    /// another replica.
    NoQuorum,
    /// Credits for calls that the subscriber may send to versions under rollout.
    Grants(Vec<Grant>),
    /// Requests that have crashed upstreams of other daemons.
    Suspects(SuspectReport),
    /// Answers [`FromSubscriber::Confirm`]: after the question had arrived, a quorum confirmed the
    /// newest configuration.
    Confirmed {
        /// Number of the question.
        number: u64,
        /// Version of the newest configuration.
        config: ConfigVersion,
    },
    /// Parts of the quotas of client accounts that the subscriber may use.
    QuotaGrants(QuotaGrants),
}

/// Encoded messages below this size in bytes are sent uncompressed, as compression would save
/// little.
const COMPRESSION_THRESHOLD_BYTES: usize = 1_024;

/// Deflate compression level, from 1 to 10. The fastest level is used because replicas compress the
/// most when all subscribers request the full state at once, which is when they are busiest.
const COMPRESSION_LEVEL: u8 = 1;

impl FromReplica {
    /// Encodes the message, and compresses it as [`FromReplica::Packed`] unless it is small.
    ///
    /// # Errors
    ///
    /// Returns the errors of [`codec::encode`].
    pub fn to_frame(&self) -> codec::Result<Vec<u8>> {
        let encoded = codec::encode(self)?;
        if encoded.len() < COMPRESSION_THRESHOLD_BYTES {
            return Ok(encoded);
        }
        let packed = ByteBuf::from(compress_to_vec(&encoded, COMPRESSION_LEVEL));
        codec::encode(&Self::Packed(packed))
    }

    /// Decodes a frame and decompresses its message if necessary. Never returns
    /// [`FromReplica::Packed`].
    ///
    /// # Errors
    ///
    /// Returns the errors of [`codec::decode`], and [`CodecError::Malformed`] if the compressed
    /// bytes are not a valid deflate stream, expand to more than [`codec::MAX_FRAME_BYTES`] or
    /// contain another compressed message.
    pub fn from_frame(frame: &[u8]) -> codec::Result<Self> {
        let packed = match codec::decode(frame)? {
            Self::Packed(packed) => packed,
            message => return Ok(message),
        };
        let encoded = decompress_to_vec_with_limit(&packed, codec::MAX_FRAME_BYTES)
            .map_err(|error| CodecError::Malformed(error.to_string()))?;
        match codec::decode(&encoded)? {
            Self::Packed(_) => Err(CodecError::Malformed(
                "compressed message within a compressed message".to_owned(),
            )),
            message => Ok(message),
        }
    }
}

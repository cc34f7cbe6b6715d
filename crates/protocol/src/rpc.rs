//! Envelope for protocols in which every request has exactly one reply.
//!
//! Requests are pipelined on a link. Replies may arrive in any order and are matched to their
//! requests by number.

use serde::{Deserialize, Serialize};

/// A request or a reply, tagged with the number of the request.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Numbered<T> {
    /// Number of the request, unique on the link. A reply repeats the number of its request.
    #[serde(rename = "n")]
    pub number: u64,
    /// Payload of the request or the reply.
    #[serde(rename = "b")]
    pub body: T,
}

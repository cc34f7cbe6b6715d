//! Envelopes for conversations in which every request has one reply.
//!
//! Many requests share a link. Replies may arrive in any order and are matched by their number.

use serde::{Deserialize, Serialize};

/// A request or a reply with the number that connects them.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Numbered<T> {
    /// Number of the request, unique on its link.
    #[serde(rename = "n")]
    pub number: u64,
    /// The request or the reply.
    #[serde(rename = "b")]
    pub body: T,
}

//! Messages of the conversation by which an entry daemon runs requests at an owner daemon.
//!
//! Many calls share a link. Answers may arrive in any order and are matched by [`Call::id`].
//!
//! Field names are single letters on the wire: most calls are shorter than one KiB, and spelled out
//! the names would be a tenth of that.

use serde::{Deserialize, Serialize};
use serde_bytes::ByteBuf;
use sycamoreflow_coordination::fingerprint::Fingerprint;
use sycamoreflow_coordination::routing::Load;
use sycamoreflow_state::ids::{RouteName, ServiceName, TenantName, VersionName};
use sycamoreflow_state::verdict::Failure;

#[cfg(test)]
mod tests;

/// Headers in their order, with values as raw bytes.
pub type Headers = Vec<(String, ByteBuf)>;

/// Message from the daemon that calls.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub enum CallRequest {
    /// Runs a request.
    Call(Box<Call>),
    /// Withdraws a request.
    Cancel(Cancel),
}

/// A request to run at the upstream beside the receiving daemon.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct Call {
    /// Number of the call, unique on its link for the life of the link.
    #[serde(rename = "i")]
    pub id: u64,
    /// Time left until the caller's deadline, in milliseconds.
    #[serde(rename = "m")]
    pub remaining_ms: u32,
    /// Service that is called.
    #[serde(rename = "s")]
    pub service: ServiceName,
    /// Version that is called. A daemon beside another version refuses the call.
    #[serde(rename = "v")]
    pub version: VersionName,
    /// Route that matched the request.
    #[serde(rename = "r")]
    pub route: RouteName,
    /// Tenant that the request counts against.
    #[serde(rename = "t")]
    pub tenant: TenantName,
    /// Number of earlier sends of the same request.
    #[serde(rename = "a")]
    pub attempt: u32,
    /// Idempotency key, if the caller gave one.
    #[serde(rename = "k")]
    pub key: Option<String>,
    /// Fingerprint of the request, by which requests that crash upstreams are recognised.
    #[serde(rename = "f")]
    pub fingerprint: Option<Fingerprint>,
    /// How urgent the request is among those for the same upstream.
    #[serde(rename = "u", default)]
    pub urgency: CallUrgency,
    /// Service on the host where the request began.
    #[serde(rename = "c", default)]
    pub caller: Option<ServiceName>,
    /// Request line and headers.
    #[serde(rename = "h")]
    pub head: RequestHead,
    /// Whole body of the request.
    #[serde(rename = "b", with = "serde_bytes")]
    pub body: Vec<u8>,
}

/// How urgent a request is.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct CallUrgency {
    /// Rank of the route; 0 is the most urgent.
    #[serde(rename = "p")]
    pub priority: u32,
    /// Time left until the answer loses part of its value, in milliseconds. `None` means that only
    /// the deadline counts.
    #[serde(rename = "t")]
    pub target_ms: Option<u32>,
    /// Whether the request may be run more than once.
    #[serde(rename = "i")]
    pub idempotent: bool,
}

/// Request line and headers of a request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct RequestHead {
    /// Method in upper case.
    #[serde(rename = "m")]
    pub method: String,
    /// Path and query as the caller sent them.
    #[serde(rename = "p")]
    pub path_and_query: String,
    /// End-to-end headers.
    #[serde(rename = "h")]
    pub headers: Headers,
}

/// Withdraws a call. The receiver stops the work and sends no answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct Cancel {
    /// Number of the call.
    pub id: u64,
}

/// Result of a call, sent by the daemon that received it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct CallReply {
    /// Number of the call that is answered.
    #[serde(rename = "i")]
    pub id: u64,
    /// What came of it.
    #[serde(rename = "r")]
    pub result: CallResult,
    /// Load of the upstream when the reply was sent.
    #[serde(rename = "l", default)]
    pub load: Option<Load>,
}

/// What came of a call.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub enum CallResult {
    /// The upstream answered.
    Answer(Answer),
    /// There is no answer; the failure says whether the request may have run.
    Refused(Failure),
}

/// The whole response of an upstream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct Answer {
    /// HTTP status.
    #[serde(rename = "s")]
    pub status: u16,
    /// End-to-end headers.
    #[serde(rename = "h")]
    pub headers: Headers,
    /// Whole body of the response.
    #[serde(rename = "b", with = "serde_bytes")]
    pub body: Vec<u8>,
}

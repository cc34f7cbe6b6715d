//! Messages between an entry daemon, which receives a request from a caller, and the owner daemon
//! of an endpoint, which runs the request at its upstream.
//!
//! Calls are pipelined on a link. Replies may arrive in any order and are matched by [`Call::id`].
//!
//! Field names are single letters on the wire: most calls are shorter than 1 KiB, and full names
//! would make up a tenth of that.

use std::ops::RangeInclusive;

use serde::{Deserialize, Serialize};
use serde_bytes::ByteBuf;
use sycamoreflow_coordination::fingerprint::Fingerprint;
use sycamoreflow_coordination::routing::Load;
use sycamoreflow_state::ids::{RouteName, ServiceName, TenantName, VersionName};
use sycamoreflow_state::verdict::Failure;

#[cfg(test)]
mod tests;

/// Statuses that a final HTTP response may have (RFC 9110, section 15). Lower ones are invalid or
/// belong to interim responses, and higher ones are invalid.
pub const FINAL_STATUSES: RangeInclusive<u16> = 200..=599;

/// Headers in the order in which they were received, with values as raw bytes.
pub type Headers = Vec<(String, ByteBuf)>;

/// A message from an entry daemon to an owner daemon.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub enum CallRequest {
    /// Runs a request at the upstream.
    Call(Box<Call>),
    /// Cancels a call that was sent earlier on the same link.
    Cancel(Cancel),
}

/// A request to run at the upstream on the host of the receiving daemon.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct Call {
    /// Number of the call, unique for the lifetime of the link.
    #[serde(rename = "i")]
    pub id: u64,
    /// Time left until the caller's deadline, in milliseconds.
    #[serde(rename = "m")]
    pub remaining_ms: u32,
    /// Service to call.
    #[serde(rename = "s")]
    pub service: ServiceName,
    /// Version to call. The receiver refuses the call if its upstream runs another version.
    #[serde(rename = "v")]
    pub version: VersionName,
    /// Route that matched the request.
    #[serde(rename = "r")]
    pub route: RouteName,
    /// Tenant whose share of the capacity the request uses.
    #[serde(rename = "t")]
    pub tenant: TenantName,
    /// Number of earlier attempts of the same request; 0 for the first attempt.
    #[serde(rename = "a")]
    pub attempt: u32,
    /// Idempotency key, if the caller sent one.
    #[serde(rename = "k")]
    pub key: Option<String>,
    /// Fingerprint of the request, used to recognise requests that crash upstreams.
    #[serde(rename = "f")]
    pub fingerprint: Option<Fingerprint>,
    /// Urgency of the request relative to others for the same upstream.
    #[serde(rename = "u", default)]
    pub urgency: CallUrgency,
    /// Service that runs on the host of the entry daemon, if one is configured.
    #[serde(rename = "c", default)]
    pub caller: Option<ServiceName>,
    /// Request line and headers.
    #[serde(rename = "h")]
    pub head: RequestHead,
    /// Complete body of the request.
    #[serde(rename = "b", with = "serde_bytes")]
    pub body: Vec<u8>,
}

/// Urgency of a request, from which the owner daemon orders its queue.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct CallUrgency {
    /// Priority of the route; 0 is the most urgent.
    #[serde(rename = "p")]
    pub priority: u32,
    /// Time left until the target latency of the route is exceeded, in milliseconds. `None` means
    /// that only the deadline counts.
    #[serde(rename = "t")]
    pub target_ms: Option<u32>,
    /// Whether the request may safely run more than once.
    #[serde(rename = "i")]
    pub idempotent: bool,
}

/// Method, target and headers of a request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct RequestHead {
    /// Method in upper case.
    #[serde(rename = "m")]
    pub method: String,
    /// Path and query, unchanged from the caller's request.
    #[serde(rename = "p")]
    pub path_and_query: String,
    /// End-to-end headers.
    #[serde(rename = "h")]
    pub headers: Headers,
}

/// Cancels a call. The receiver stops working on it and sends no reply.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct Cancel {
    /// [`Call::id`] of the call to cancel.
    pub id: u64,
}

/// Reply of an owner daemon to a [`Call`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct CallReply {
    /// [`Call::id`] of the call.
    #[serde(rename = "i")]
    pub id: u64,
    /// Result of the call.
    #[serde(rename = "r")]
    pub result: CallResult,
    /// Load of the upstream at the time of the reply, used to balance later calls.
    #[serde(rename = "l", default)]
    pub load: Option<Load>,
}

/// Result of a call.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub enum CallResult {
    /// Response of the upstream.
    Answer(Answer),
    /// Why the call has no response, and whether the request may have run.
    Refused(Failure),
}

/// The complete response of an upstream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct Answer {
    /// HTTP status code.
    #[serde(rename = "s")]
    pub status: u16,
    /// End-to-end headers.
    #[serde(rename = "h")]
    pub headers: Headers,
    /// Complete body of the response.
    #[serde(rename = "b", with = "serde_bytes")]
    pub body: Vec<u8>,
}

impl Answer {
    /// Returns whether the status is one that a final HTTP response may have. The encoding admits
    /// any number, so receivers check it.
    pub fn has_final_status(&self) -> bool {
        FINAL_STATUSES.contains(&self.status)
    }
}

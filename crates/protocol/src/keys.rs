//! Conversation between a daemon and a holder of idempotency keys.

use serde::{Deserialize, Serialize};
use sycamoreflow_coordination::dedup::{KeyReply, KeyRequest};
use sycamoreflow_state::ids::ServiceName;

/// A message to the holder of the keys of one service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct HolderRequest {
    /// The service. A daemon may hold the keys of several.
    pub service: ServiceName,
    /// The message.
    pub request: KeyRequest,
}

/// Answer of a holder.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum HolderReply {
    /// The answer to the message.
    Reply(KeyReply),
    /// The daemon does not hold the keys of the service.
    NotHolder,
}

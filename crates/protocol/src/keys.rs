//! Messages between a daemon and a holder of idempotency keys.

use serde::{Deserialize, Serialize};
use sycamoreflow_coordination::dedup::{KeyReply, KeyRequest};
use sycamoreflow_state::ids::ServiceName;

/// A request to a holder of the idempotency keys of one service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct HolderRequest {
    /// Service that the keys belong to. A daemon may hold the keys of several services.
    pub service: ServiceName,
    /// Operation on the keys.
    pub request: KeyRequest,
}

/// Reply of a daemon to a [`HolderRequest`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum HolderReply {
    /// Reply of the key holder to the operation.
    Reply(KeyReply),
    /// The daemon is not a key holder of the service.
    NotHolder,
}

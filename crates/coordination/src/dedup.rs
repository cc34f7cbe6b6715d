//! Idempotency keys: each keyed request runs at most once.
//!
//! Three key holders per service record which send has claimed a key. [`KeyClaim`] implements the
//! entry daemon's side for one send, [`KeyHolder`] implements a holder (`docs/design.md`,
//! section 2.5).
//!
//! Two sends with the same key never both run, for these reasons:
//!
//! - A send runs only with grants from a majority of the holders, and a holder does not grant a key
//!   that another send has claimed. Any two majorities of one group share a holder.
//! - A claim is removed only when its own send releases it, and that send then does not run, or
//!   when it expires, long after the deadline of the send.
//! - A holder without its records (restarted, or new in the group) grants nothing until it has
//!   copied the records of both other holders, and every majority that includes it also includes
//!   one of them.
//! - A grant made before a restart is never counted together with a grant made after the copy that
//!   followed the restart, because the copy may have missed the claim. Holders learn each other's
//!   incarnations from the copy requests and include them in their grants.
//! - A copy request also carries the epoch of the group, and holders refuse claims of older epochs,
//!   so the same holds when one holder is replaced. The next replacement must wait until the new
//!   holder is ready; otherwise the group stays safe but grants nothing until the retention period
//!   has passed.
//!
//! Limitation: if a second of the three holders restarts while the first is still copying, the
//! group grants no keys for one retention period.

mod claim;
mod holder;
mod records;
#[cfg(test)]
mod tests;

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use serde_bytes::ByteBuf;
use sycamoreflow_state::ids::{DaemonId, Millis, ServiceName, TenantName};

use crate::fingerprint::Fingerprint;

pub use claim::{Action, KeyClaim};
pub use holder::{HolderConfig, KeyHolder};

/// An idempotency key with its scope. Equal keys of other services or tenants are distinct.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct Key {
    /// Service that the request is addressed to.
    pub service: ServiceName,
    /// Tenant of the caller.
    pub tenant: TenantName,
    /// Value of the request header `idempotency-key`.
    pub key: String,
}

/// Identifier of one send of a request by an entry daemon.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct SendId {
    /// Entry daemon that sends the request.
    pub daemon: DaemonId,
    /// Incarnation of the daemon, which increases with every restart.
    pub boot: u64,
    /// Number of the send, unique within the incarnation.
    pub seq: u64,
}

/// Identifier of one round in which a send tries to claim its key. A later round supersedes the
/// earlier ones, in which the request did not run.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct ClaimId {
    /// Send that makes the claim.
    pub send: SendId,
    /// Number of the round within the send, starting at 1.
    pub round: u32,
}

/// The key holders of a service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct Group {
    /// Epoch of the group, which increases by one each time a holder is replaced.
    pub epoch: u64,
    /// Daemons that hold the key records of the service.
    pub holders: Vec<DaemonId>,
}

impl Group {
    /// Returns the number of holders that form a majority.
    pub fn majority(&self) -> usize {
        self.holders.len() / 2 + 1
    }
}

/// Message from an entry daemon or another holder to a key holder.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub enum KeyRequest {
    /// Requests a grant.
    Claim {
        /// Key to claim.
        key: Key,
        /// Send and round that claim the key.
        claim: ClaimId,
        /// Fingerprint of the request.
        fingerprint: Fingerprint,
        /// Latest epoch of the group that the claiming daemon knows.
        epoch: u64,
    },
    /// Stores the answer to a request that ran.
    Complete {
        /// Key of the request.
        key: Key,
        /// Claim under which the request ran.
        claim: ClaimId,
        /// Fingerprint of the request.
        fingerprint: Fingerprint,
        /// The encoded answer.
        answer: ByteBuf,
    },
    /// Withdraws a claim whose request did not run and will not run.
    Release {
        /// Claimed key.
        key: Key,
        /// Claim to withdraw, together with those of earlier rounds of the same send.
        claim: ClaimId,
    },
    /// Reports that the request may have run and that no answer will follow, so that resends do not
    /// wait for one.
    Abandon {
        /// Claimed key.
        key: Key,
        /// Claim under which the request may have run.
        claim: ClaimId,
    },
    /// Requests records for a holder that has lost its own, or never had any.
    Copy(CopyRequest),
}

/// A request for one page of records.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct CopyRequest {
    /// Latest epoch of the group that the requesting holder knows.
    pub epoch: u64,
    /// Holder that requests the records.
    pub holder: DaemonId,
    /// Incarnation of the requesting holder.
    pub boot: u64,
    /// Last key of the previous page, or `None` to request the first page.
    pub after: Option<Key>,
}

/// Reply of a key holder to a [`KeyRequest`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub enum KeyReply {
    /// Reply to [`KeyRequest::Claim`].
    Claim(ClaimId, ClaimReply),
    /// Reply to [`KeyRequest::Complete`]: the holder has recorded that the request ran.
    Stored(ClaimId),
    /// Reply to [`KeyRequest::Release`] or [`KeyRequest::Abandon`], which has been applied.
    Done(ClaimId),
    /// Reply to [`KeyRequest::Copy`]: one page of records.
    Page(CopyPage),
    /// Reply to [`KeyRequest::Copy`]: this holder is not ready itself, or knows a later epoch.
    CannotCopy,
}

/// Decision of a holder about a claim.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub enum ClaimReply {
    /// The holder has recorded the claim, and no other send has claimed the key.
    Granted(Grant),
    /// Another send has claimed the key and may be running.
    Running,
    /// Another send has claimed the key and may have run, and no answer will follow.
    Unresolved,
    /// The request has run. The answer is `None` if the holder had no memory left to store it.
    Finished(Option<ByteBuf>),
    /// The key is in use for a request with another fingerprint.
    OtherRequest,
    /// No send has claimed the key, but the holder has reached its limit of records or memory.
    Full,
    /// The holder has not yet copied the records of the other holders.
    NotReady,
    /// The holder knows this other epoch of the group.
    OtherEpoch(u64),
}

/// Incarnations known to the granting holder, from which the claiming daemon decides whether the
/// grants of several holders may be counted together.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct Grant {
    /// Incarnation of the granting holder.
    pub boot: u64,
    /// Latest known incarnations of the other holders, learned from their copy requests and pages.
    pub known: BTreeMap<DaemonId, u64>,
}

/// One page of records, ordered by key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct CopyPage {
    /// Latest epoch of the group that the sender of the page knows.
    pub epoch: u64,
    /// Incarnation of the sender of the page.
    pub boot: u64,
    /// Latest incarnations of other holders that the sender knows.
    pub known: BTreeMap<DaemonId, u64>,
    /// [`CopyRequest::after`] of the request that this page answers.
    pub after: Option<Key>,
    /// Keys with their records.
    pub records: Vec<(Key, Record)>,
    /// Whether more records follow after this page.
    pub more: bool,
}

/// State of a key at a holder.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct Record {
    /// Sends that claim the key. There may be several after copying from holders that granted the
    /// key to different sends. Each of them excludes further claims.
    pub claims: Vec<Claim>,
    /// Result of the request, once it has run.
    pub result: Option<StoredResult>,
    /// Time until the record expires. Only meaningful within a [`CopyPage`].
    pub remaining: Millis,
}

/// Claim of a send on a key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct Claim {
    /// Send and round that made the claim.
    pub id: ClaimId,
    /// Fingerprint of the request.
    pub fingerprint: Fingerprint,
    /// Whether the request may have run and no answer is expected any more.
    pub abandoned: bool,
}

/// Result of a request that ran.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct StoredResult {
    /// Fingerprint of the request.
    pub fingerprint: Fingerprint,
    /// The encoded answer, or `None` if the holder had no memory left to store it.
    pub answer: Option<ByteBuf>,
}

//! Idempotency keys: each keyed request runs at most once.
//!
//! Three key holders per service record which send claimed a key. [`KeyClaim`] is the entry
//! daemon's side of one send, [`KeyHolder`] a holder's side (`docs/design.md`, section 2.5).
//!
//! Why two sends never both run:
//!
//! - A send runs only with grants from a majority of the holders, and a holder does not grant a key
//!   that another send has claimed. Any two majorities of one group share a holder.
//! - A claim disappears only by the release of its own send, which then does not run, or by
//!   expiry, long after its deadline.
//! - A holder without its records (restarted, or new in the group) grants nothing until it has
//!   copied the records of both other holders, and every majority that includes it also includes
//!   one of them.
//! - A grant that was made before a restart does not count together with one that was made after
//!   the copy for that restart, since the copy may have missed the claim. Holders learn each
//!   other's incarnation from the copy requests and state it in their grants.
//! - A copy request also carries the group epoch, and holders refuse claims of older epochs, so the
//!   same holds for a change of one holder. The next change must wait until the new holder is
//!   ready; otherwise the group is safe but grants nothing until the retention period has passed.
//!
//! Limitation: if two of three holders restart within one copy, the group grants no keys for one
//! retention period.

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

/// An idempotency key in its scope.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct Key {
    /// Service that the request is for.
    pub service: ServiceName,
    /// Tenant of the caller.
    pub tenant: TenantName,
    /// Value of the header `idempotency-key`.
    pub key: String,
}

/// One send of a request by an entry daemon.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct SendId {
    /// Entry daemon.
    pub daemon: DaemonId,
    /// Incarnation of the daemon, which rises with every restart.
    pub boot: u64,
    /// Number of the send, unique within the incarnation.
    pub seq: u64,
}

/// The attempt of a send to claim its key. A later round replaces an earlier one, which did not run.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct ClaimId {
    /// The send.
    pub send: SendId,
    /// Number of the round within the send.
    pub round: u32,
}

/// The key holders of a service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct Group {
    /// Number of the group, which rises by one with each change of a holder.
    pub epoch: u64,
    /// The holders.
    pub holders: Vec<DaemonId>,
}

impl Group {
    /// Returns the number of holders that form a majority.
    pub fn majority(&self) -> usize {
        self.holders.len() / 2 + 1
    }
}

/// Message to a key holder.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub enum KeyRequest {
    /// Asks for a grant.
    Claim {
        /// The key.
        key: Key,
        /// The claim.
        claim: ClaimId,
        /// Fingerprint of the request.
        fingerprint: Fingerprint,
        /// Epoch of the group that the claimer knows.
        epoch: u64,
    },
    /// Stores the answer of a request that ran.
    Complete {
        /// The key.
        key: Key,
        /// The claim under which the request ran.
        claim: ClaimId,
        /// Fingerprint of the request.
        fingerprint: Fingerprint,
        /// The encoded answer.
        answer: ByteBuf,
    },
    /// Withdraws a claim whose request did not run and will not run.
    Release {
        /// The key.
        key: Key,
        /// The claim. Earlier rounds of the same send are withdrawn with it.
        claim: ClaimId,
    },
    /// States that the request may have run and has no answer, so that resends need not wait.
    Abandon {
        /// The key.
        key: Key,
        /// The claim.
        claim: ClaimId,
    },
    /// Asks for records on behalf of a holder without its own.
    Copy(CopyRequest),
}

/// A request for one page of records.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct CopyRequest {
    /// Epoch of the group that the asking holder knows.
    pub epoch: u64,
    /// The asking holder.
    pub holder: DaemonId,
    /// Incarnation of the asking holder.
    pub boot: u64,
    /// Last key of the previous page, or `None` for the first page.
    pub after: Option<Key>,
}

/// Answer of a key holder.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub enum KeyReply {
    /// Answer to [`KeyRequest::Claim`].
    Claim(ClaimId, ClaimReply),
    /// The record of the claim now holds the answer.
    Stored(ClaimId),
    /// [`KeyRequest::Release`] or [`KeyRequest::Abandon`] of the claim was applied.
    Done(ClaimId),
    /// One page of records.
    Page(CopyPage),
    /// The asked holder has not all records itself, or knows another epoch.
    CannotCopy,
}

/// Answer to a claim.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub enum ClaimReply {
    /// The holder has recorded the claim, and no other send has the key.
    Granted(Grant),
    /// Another send has the key and may be running.
    Running,
    /// Another send had the key, may have run, and will not answer.
    Unresolved,
    /// The request has run. The answer is `None` if there was no room for it.
    Finished(Option<ByteBuf>),
    /// The key belongs to a request with another fingerprint.
    OtherRequest,
    /// No send has the key, and the holder has no room for another record.
    Full,
    /// The holder has not yet copied the records of the others.
    NotReady,
    /// The holder knows another epoch of the group.
    OtherEpoch(u64),
}

/// What makes grants of different holders comparable.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct Grant {
    /// Incarnation of the granting holder.
    pub boot: u64,
    /// Latest incarnations of other holders that have copied from this one.
    pub known: BTreeMap<DaemonId, u64>,
}

/// One page of records, in the order of keys.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct CopyPage {
    /// Epoch that the sender of the page knows.
    pub epoch: u64,
    /// Incarnation of the sender of the page.
    pub boot: u64,
    /// Incarnations of other holders that the sender knows.
    pub known: BTreeMap<DaemonId, u64>,
    /// The [`CopyRequest::after`] that the page answers.
    pub after: Option<Key>,
    /// The records.
    pub records: Vec<(Key, Record)>,
    /// Whether there are more records.
    pub more: bool,
}

/// What a holder knows about a key.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct Record {
    /// The sends that claim the key. There may be several after copies from holders that granted
    /// the key to different sends; all of them exclude further ones.
    pub claims: Vec<Claim>,
    /// The result, once the request has run.
    pub result: Option<StoredResult>,
    /// Time until the record expires. Only meaningful in a [`CopyPage`].
    pub remaining: Millis,
}

/// A send that claims a key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct Claim {
    /// The claim.
    pub id: ClaimId,
    /// Fingerprint of the request.
    pub fingerprint: Fingerprint,
    /// Whether no answer is expected any more.
    pub abandoned: bool,
}

/// The result of a request that ran.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct StoredResult {
    /// Fingerprint of the request.
    pub fingerprint: Fingerprint,
    /// The encoded answer, or `None` if there was no room for it.
    pub answer: Option<ByteBuf>,
}

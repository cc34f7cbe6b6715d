//! Configurations that an operator submits as complete documents, each based on the previous one.
//!
//! A document has a number that the operator chose and the number of its base. It is accepted only
//! if its base is the document in force, so at most one of several documents with the same base is
//! accepted. A resent document is recognised by the digest of its content and receives the first
//! outcome as long as the digest is stored.
//!
//! A log entry contains only the parts that differ from the base. The source text of each part is
//! stored unchanged, so that an operator reads back exactly what was submitted.

use std::collections::VecDeque;
use std::fmt;

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use sycamoreflow_state::config::{MeshConfig, RouteConfig, ServiceConfig, TenantConfig};
use sycamoreflow_state::ids::{Millis, RouteName, ServiceName, TenantName};

use super::check::check_config;
use crate::fingerprint::add_part;

#[cfg(test)]
mod tests;

/// Maximum number of stored digests of accepted documents. At 45,000 changes a day, a resend is
/// recognised for two hours.
pub const MAX_ACCEPTED_DIGESTS: usize = 4_096;

/// Size of a digest in bytes. A random collision is expected after 2^64 documents.
const DIGEST_BYTES: usize = 16;

/// Truncated SHA-256 digest of the content of a document.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct ContentDigest([u8; DIGEST_BYTES]);

/// A complete configuration as an operator submitted it.
#[derive(Clone, Debug, PartialEq)]
pub struct Document {
    /// Number that the operator chose. It must be above the number of the document in force.
    pub number: u64,
    /// Number of the document that this one is based on, or zero if there is none.
    pub base: u64,
    /// Parts by key, in the order of the document.
    pub parts: IndexMap<String, Part>,
}

/// A part of a document: a service, a route or data that proxies do not use.
#[derive(Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct Part {
    /// Source text as the operator submitted it, returned when the document is read.
    pub source: String,
    /// Resource that the source text defines.
    pub meaning: Meaning,
}

/// Leaves out the source, which may contain keys of client accounts.
impl fmt::Debug for Part {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let mut out = f.debug_struct("Part");
        out.field("meaning", &self.meaning).finish_non_exhaustive()
    }
}

/// Resource that a part of a document defines for proxies.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Meaning {
    /// A service with its name.
    Service(ServiceName, Box<ServiceConfig>),
    /// A route with its name.
    Route(RouteName, Box<RouteConfig>),
    /// A client account with its name.
    Tenant(TenantName, Box<TenantConfig>),
    /// No resource. The part is stored only to be read back.
    Other,
}

/// A document, expressed by its differences from its base.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct Replacement {
    /// Number of the document that results.
    pub number: u64,
    /// Number of the document that it is based on.
    pub base: u64,
    /// Digest of the complete document.
    pub digest: ContentDigest,
    /// Digest of the document that the differences were computed against.
    pub computed_on: ContentDigest,
    /// New and changed parts by key.
    pub upserts: IndexMap<String, Part>,
    /// Keys of removed parts with the resources that they defined.
    pub removals: Vec<(String, Meaning)>,
    /// Order of all keys. `None` if it is the order of the base, followed by the new keys.
    pub order: Option<Vec<String>>,
    /// Time at the leader, counted from the Unix epoch.
    pub at: Millis,
}

/// Result of checking a replacement against the document in force, without its content.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReplacementCheck {
    /// It may come into force if its content is valid.
    Accepted,
    /// It was accepted earlier.
    Repeated,
    /// The document in force is not its base.
    BaseOutdated,
    /// Its number is not above the number of the document in force.
    NumberTooLow,
    /// Its base has the number of the document in force, but its differences were computed against
    /// a document with other content.
    ComputedOnOther,
}

/// The document in force and the digests of the last accepted documents.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct Documents {
    number: u64,
    base: u64,
    digest: ContentDigest,
    parts: IndexMap<String, Part>,
    accepted: VecDeque<ContentDigest>,
}

impl Document {
    /// Returns the configuration that the parts define.
    pub fn config(&self) -> MeshConfig {
        let mut config = MeshConfig::default();
        apply_parts(&self.parts, &mut config);
        config
    }

    /// Returns the problems for which the document is refused before it enters the log. The list is
    /// empty if it is valid.
    pub fn problems(&self) -> Vec<String> {
        check_config(&self.config())
    }

    /// Returns the digest of the number, the base and the keys and source texts of all parts in
    /// their order.
    pub fn digest(&self) -> ContentDigest {
        let mut hash = Sha256::new();
        hash.update(self.number.to_le_bytes());
        hash.update(self.base.to_le_bytes());
        for (key, part) in &self.parts {
            for text in [key, &part.source] {
                add_part(&mut hash, text.as_bytes());
            }
        }
        let whole: [u8; 32] = hash.finalize().into();
        let mut digest = ContentDigest::default();
        digest.0.copy_from_slice(&whole[..DIGEST_BYTES]);
        digest
    }
}

impl Replacement {
    /// Applies the differences to the configuration of the base.
    pub(super) fn apply_to(&self, config: &mut MeshConfig) {
        for (_, meaning) in &self.removals {
            match meaning {
                Meaning::Service(name, _) => drop(config.services.shift_remove(name)),
                Meaning::Route(name, _) => drop(config.routes.shift_remove(name)),
                Meaning::Tenant(name, _) => drop(config.tenants.shift_remove(name)),
                Meaning::Other => {}
            }
        }
        apply_parts(&self.upserts, config);
    }
}

fn apply_parts(parts: &IndexMap<String, Part>, config: &mut MeshConfig) {
    for part in parts.values() {
        match &part.meaning {
            Meaning::Service(name, service) => {
                config.services.insert(name.clone(), *service.clone());
            }
            Meaning::Route(name, route) => {
                config.routes.insert(name.clone(), *route.clone());
            }
            Meaning::Tenant(name, tenant) => {
                config.tenants.insert(name.clone(), *tenant.clone());
            }
            Meaning::Other => {}
        }
    }
}

impl Documents {
    /// Returns the number of the document in force, or zero if there is none.
    pub fn number(&self) -> u64 {
        self.number
    }

    /// Returns the document in force, or `None` if there is none.
    pub fn current(&self) -> Option<Document> {
        (self.number > 0).then(|| Document {
            number: self.number,
            base: self.base,
            parts: self.parts.clone(),
        })
    }

    /// Returns the differences of `document` from the document in force. `at` is the time at the
    /// leader, counted from the Unix epoch.
    ///
    /// If the document is based on another one or was accepted earlier, the replacement contains no
    /// differences.
    pub fn replacement(&self, document: Document, at: Millis) -> Replacement {
        let digest = document.digest();
        let mut replacement = Replacement {
            number: document.number,
            base: document.base,
            digest,
            computed_on: self.digest,
            upserts: IndexMap::new(),
            removals: Vec::new(),
            order: None,
            at,
        };
        // `Documents::check` does not accept this document, so the differences are not needed.
        if document.base != self.number || self.accepted.contains(&digest) {
            return replacement;
        }
        for (key, part) in &self.parts {
            if !document.parts.contains_key(key) {
                let removal = (key.clone(), part.meaning.clone());
                replacement.removals.push(removal);
            }
        }
        let kept = self
            .parts
            .keys()
            .filter(|k| document.parts.contains_key(*k));
        let added = document
            .parts
            .keys()
            .filter(|k| !self.parts.contains_key(*k));
        if !kept.chain(added).eq(document.parts.keys()) {
            replacement.order = Some(document.parts.keys().cloned().collect());
        }
        for (key, part) in document.parts {
            if self.parts.get(&key) != Some(&part) {
                replacement.upserts.insert(key, part);
            }
        }
        replacement
    }

    /// Checks whether a replacement may come into force, apart from the validity of its content.
    pub fn check(&self, replacement: &Replacement) -> ReplacementCheck {
        if self.accepted.contains(&replacement.digest) {
            return ReplacementCheck::Repeated;
        }
        if replacement.base != self.number {
            return ReplacementCheck::BaseOutdated;
        }
        if replacement.number <= self.number {
            return ReplacementCheck::NumberTooLow;
        }
        if replacement.computed_on != self.digest {
            return ReplacementCheck::ComputedOnOther;
        }
        ReplacementCheck::Accepted
    }

    /// Puts a replacement in force. [`Documents::check`] must have returned
    /// [`ReplacementCheck::Accepted`] for it.
    pub(super) fn accept(&mut self, replacement: &Replacement) {
        for (key, _) in &replacement.removals {
            self.parts.shift_remove(key);
        }
        for (key, part) in &replacement.upserts {
            self.parts.insert(key.clone(), part.clone());
        }
        if let Some(order) = &replacement.order {
            let mut parts = std::mem::take(&mut self.parts);
            let in_order = order.iter().filter_map(|key| parts.swap_remove_entry(key));
            self.parts = in_order.collect();
        }
        self.number = replacement.number;
        self.base = replacement.base;
        self.digest = replacement.digest;
        if self.accepted.len() >= MAX_ACCEPTED_DIGESTS {
            self.accepted.pop_front();
        }
        self.accepted.push_back(replacement.digest);
    }
}

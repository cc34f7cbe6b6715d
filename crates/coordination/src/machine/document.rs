//! Configurations that an operator hands over as a whole, each built on the one before.
//!
//! A document has a number that the operator chose and the number of its base. Only a document on
//! top of the one in force is accepted, so of two operators who build on the same base one wins. A
//! resend is recognised by the digest of its content and receives the first outcome for as long as
//! the digest is remembered.
//!
//! The log holds only the parts that differ from the base. The text of each part is kept as it was
//! given, so that an operator reads back what was sent.

use std::collections::VecDeque;

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use sycamoreflow_state::config::{MeshConfig, RouteConfig, ServiceConfig};
use sycamoreflow_state::ids::{Millis, RouteName, ServiceName};

use super::check::check_config;
use crate::fingerprint::add_part;

#[cfg(test)]
mod tests;

/// Digests of accepted documents that are remembered. At 45,000 changes a day, a resend is
/// recognised for two hours.
pub const MAX_ACCEPTED_DIGESTS: usize = 4_096;

/// Bytes of a digest. A collision by chance takes 2^64 documents.
const DIGEST_BYTES: usize = 16;

/// Digest of the content of a document.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct ContentDigest([u8; DIGEST_BYTES]);

/// A configuration as an operator has handed it over.
#[derive(Clone, Debug, PartialEq)]
pub struct Document {
    /// Number that the operator chose. It must exceed that of the document in force.
    pub number: u64,
    /// Number of the document that this one builds on. Zero stands for none.
    pub base: u64,
    /// The parts by their keys, in the order of the document.
    pub parts: IndexMap<String, Part>,
}

/// A part of a document.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct Part {
    /// The text that the operator sent, kept to be read back.
    pub source: String,
    /// What the text means.
    pub meaning: Meaning,
}

/// What a part of a document means to proxies.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Meaning {
    /// A service.
    Service(ServiceName, Box<ServiceConfig>),
    /// A route.
    Route(RouteName, Box<RouteConfig>),
    /// Something that is only kept to be read back.
    Other,
}

/// A document as the parts in which it differs from its base.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct Replacement {
    /// Number of the document.
    pub number: u64,
    /// Number of its base.
    pub base: u64,
    /// Digest of the whole document.
    pub digest: ContentDigest,
    /// Digest of the document that the changes apply to.
    pub computed_on: ContentDigest,
    /// Parts that are new or changed.
    pub upserts: IndexMap<String, Part>,
    /// Keys of the parts that are gone, with what they meant.
    pub removals: Vec<(String, Meaning)>,
    /// Order of all keys, if it is not that of the base with new keys at the end.
    pub order: Option<Vec<String>>,
    /// Time at the leader, counted from the Unix epoch.
    pub at: Millis,
}

/// What is to become of a replacement.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReplacementCheck {
    /// It comes into force, if its content is valid.
    Accepted,
    /// It was accepted before.
    Repeated,
    /// Another document than its base is in force.
    BaseOutdated,
    /// Its number is not above that of the document in force.
    NumberTooLow,
    /// It builds on the document in force, but its changes were computed on another one.
    ComputedOnOther,
}

/// The document in force and the digests of those accepted before.
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
    /// Returns the configuration that the parts mean.
    pub fn config(&self) -> MeshConfig {
        let mut config = MeshConfig::default();
        apply_parts(&self.parts, &mut config);
        config
    }

    /// Returns what makes the document unusable, so that it is refused before it enters the log.
    pub fn problems(&self) -> Vec<String> {
        check_config(&self.config())
    }

    /// Returns the digest of the number, the base and all parts in their order.
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
    /// Applies the changes to the configuration of the base.
    pub(super) fn apply_to(&self, config: &mut MeshConfig) {
        for (_, meaning) in &self.removals {
            match meaning {
                Meaning::Service(name, _) => drop(config.services.shift_remove(name)),
                Meaning::Route(name, _) => drop(config.routes.shift_remove(name)),
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
            Meaning::Other => {}
        }
    }
}

impl Documents {
    /// Returns the number of the document in force, or zero.
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

    /// Expresses a document by its differences from the one in force.
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
        // Such a document is not accepted, so its content does not matter.
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

    /// Decides about a replacement, apart from the validity of its content.
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

    /// Puts a replacement in force that [`Documents::check`] accepts.
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

//! Digest over a set of resources.

use std::fmt;

use serde::{Deserialize, Serialize};
use sha2::{Digest as _, Sha256};

use super::{Resource, ResourceKey};

/// A 128-bit wrapping sum of the hashes of all entries of a view.
///
/// A sum does not depend on the order of the entries, and a replaced entry costs one addition and
/// one subtraction. The digest detects a view that was assembled wrongly. It does not protect
/// against forged content; the links between daemons authenticate their peers instead.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(into = "(u64, u64)", from = "(u64, u64)")]
pub struct Digest(u128);

impl Digest {
    /// Returns the hash of one entry: the first 128 bits of SHA-256 over its CBOR encoding.
    pub fn of(key: &ResourceKey, resource: &Resource) -> Self {
        let mut buf = Vec::with_capacity(256);
        ciborium::into_writer(&(key, resource), &mut buf)
            .expect("resources consist of types that CBOR can encode");
        let hash = Sha256::digest(&buf);
        let mut low = [0; 16];
        low.copy_from_slice(&hash[..16]);
        Self(u128::from_be_bytes(low))
    }

    /// Returns the digest of the union with a disjoint set of entries.
    pub fn plus(self, other: Self) -> Self {
        Self(self.0.wrapping_add(other.0))
    }

    /// Returns the digest after the removal of a subset of the entries.
    pub fn minus(self, other: Self) -> Self {
        Self(self.0.wrapping_sub(other.0))
    }
}

impl From<Digest> for (u64, u64) {
    fn from(digest: Digest) -> Self {
        ((digest.0 >> 64) as u64, digest.0 as u64)
    }
}

impl From<(u64, u64)> for Digest {
    fn from((high, low): (u64, u64)) -> Self {
        Self(u128::from(high) << 64 | u128::from(low))
    }
}

impl fmt::Display for Digest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:032x}", self.0)
    }
}

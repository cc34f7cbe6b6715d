//! Keys and quotas of client accounts.
//!
//! Keys are secrets. Daemons hold and exchange only their digests, so a view, a snapshot of it or
//! a log entry does not reveal a key (`docs/design/accounts.md`).

use std::fmt;

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

/// Size of a digest in bytes. Keys can't be guessed from digests, since they are random.
const DIGEST_BYTES: usize = 16;

/// Separates the digests of keys from other uses of the hash function.
const DOMAIN: &[u8] = b"sycamoreflow account key\0";

/// Truncated SHA-256 digest of a key.
///
/// A table is looked up by the digest of the presented key. The time of the look-up depends on the
/// digest only, which a caller can't choose without finding a preimage, so it reveals nothing of
/// the keys in the table.
#[derive(Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct KeyDigest(#[serde(with = "serde_bytes")] [u8; DIGEST_BYTES]);

impl KeyDigest {
    /// Computes the digest of a key as a caller presents it.
    pub fn of(key: &[u8]) -> Self {
        let mut hash = Sha256::new();
        hash.update(DOMAIN);
        hash.update(key);
        let whole: [u8; 32] = hash.finalize().into();
        let mut digest = [0; DIGEST_BYTES];
        digest.copy_from_slice(&whole[..DIGEST_BYTES]);
        Self(digest)
    }
}

impl fmt::Debug for KeyDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("KeyDigest(..)")
    }
}

/// Limit of an account's requests over all daemons: in any window, no more than the rate times its
/// length plus the burst.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct Quota {
    /// Requests per second. Greater than 0.
    pub rate_per_s: u32,
    /// Requests beyond the rate that may run at once after a pause.
    pub burst: u32,
}

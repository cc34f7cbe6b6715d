//! Fingerprints that identify resends of the same request.

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use sycamoreflow_state::ids::TenantName;

use crate::dedup::Key;

/// SHA-256 of the tenant, method, path and body of a request.
///
/// Headers are not included, since clients and proxies change some of them with every send.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Fingerprint([u8; 32]);

impl Fingerprint {
    /// Computes the fingerprint of a request. `path` includes the query.
    pub fn of(tenant: &TenantName, method: &str, path: &str, body: &[u8]) -> Self {
        let tenant = tenant.as_str().as_bytes();
        Self::hash(&[tenant, method.as_bytes(), path.as_bytes(), body])
    }

    /// Computes the fingerprint shared by all sends with an idempotency key, whatever they contain.
    pub fn of_key(key: &Key) -> Self {
        let scope = [key.service.as_str(), key.tenant.as_str(), &key.key];
        Self::hash(&scope.map(str::as_bytes))
    }

    fn hash(parts: &[&[u8]]) -> Self {
        let mut hasher = Sha256::new();
        for part in parts {
            add_part(&mut hasher, part);
        }
        Self(hasher.finalize().into())
    }
}

/// Adds a part to a hash, preceded by its length, so that moving bytes from one part to the next
/// changes the hash.
pub(crate) fn add_part(hasher: &mut Sha256, part: &[u8]) {
    hasher.update((part.len() as u64).to_le_bytes());
    hasher.update(part);
}

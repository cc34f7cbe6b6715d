//! Authentication of callers by the keys of client accounts (`docs/design/accounts.md`).
//!
//! Invariants: a request of a route that is not open runs only for the account whose key it
//! presents; the key itself stays at this daemon; the name of the account that an upstream reads is
//! always set by a daemon.

use std::collections::HashMap;
use std::sync::Arc;

use http::HeaderMap;
use sycamoreflow_state::config::KeyDigest;
use sycamoreflow_state::ids::TenantName;
use sycamoreflow_state::verdict::{Failure, Reason};
use sycamoreflow_state::view::View;

use super::Result;
use super::dialect::Dialect;
use super::headers::DEFAULT_TENANT;

#[cfg(test)]
mod tests;

/// Authentication scheme of keys, compared without regard to case.
const SCHEME: &str = "bearer";

/// A client account, as far as the entry role needs it.
#[derive(Debug, PartialEq, Eq)]
pub struct Account {
    /// Name of the account, which is also the name of its tenant.
    pub name: TenantName,
    /// Priority of its requests, which goes before that of their route.
    pub priority: Option<u32>,
}

/// The accounts of a view by the digests of their keys. It is built once per configuration, so that
/// a request costs one hash and one look-up.
#[derive(Debug, Default)]
pub struct Accounts {
    enforced: bool,
    by_key: HashMap<KeyDigest, Arc<Account>>,
}

/// The key that a request presents.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Credential {
    /// None.
    Absent,
    /// One that belongs to no account, or that can't be read.
    Unknown,
    /// One of this account.
    Of(Arc<Account>),
}

impl Accounts {
    /// Builds the table of a view.
    ///
    /// Keys are enforced if any tenant has one. Where callers have no header to name their tenant,
    /// every tenant is an account, so that the removal of the last key opens no route.
    pub fn new(view: &View, dialect: &Dialect) -> Self {
        let mut accounts = Self::default();
        let only_by_key = dialect.tenant.is_none();
        for (name, tenant) in view.tenants() {
            accounts.enforced |= only_by_key || !tenant.keys.is_empty();
            let account = Arc::new(Account {
                name: name.clone(),
                priority: tenant.priority,
            });
            for key in &tenant.keys {
                accounts.by_key.insert(*key, account.clone());
            }
        }
        accounts
    }

    /// Returns whether requests need the key of an account, except on open routes.
    pub fn are_enforced(&self) -> bool {
        self.enforced
    }

    /// Returns the key that a request presents. Several keys count as an unknown one, since it is
    /// not evident whose request it is.
    pub fn credential(&self, headers: &HeaderMap, dialect: &Dialect) -> Credential {
        let mut values = headers.get_all(&dialect.credential).iter();
        let Some(value) = values.next() else {
            return Credential::Absent;
        };
        let key = match values.next() {
            Some(_) => None,
            None => bearer_key(value.as_bytes()),
        };
        let account = key.and_then(|key| self.by_key.get(&KeyDigest::of(key)));
        account.map_or(Credential::Unknown, |account| {
            Credential::Of(account.clone())
        })
    }
}

/// Decides for which account a request runs, or `None` for a request of an open route that presents
/// no known key. `honours_keys` is whether the daemon holds its key lease.
///
/// # Errors
///
/// Returns [`Reason::Unauthenticated`] if the route is not open and the request presents no known
/// key. Without the lease, returns [`Reason::KeysUnconfirmed`] if the answer depends on a key: a
/// known one may have been taken away, and an unknown one may have been added.
pub fn authorize(
    credential: Credential,
    is_open: bool,
    honours_keys: bool,
) -> Result<Option<Arc<Account>>> {
    match credential {
        Credential::Of(account) if honours_keys => Ok(Some(account)),
        Credential::Of(_) => Err(Failure::not_run(Reason::KeysUnconfirmed)),
        Credential::Absent | Credential::Unknown if is_open => Ok(None),
        Credential::Unknown if !honours_keys => Err(Failure::not_run(Reason::KeysUnconfirmed)),
        Credential::Absent | Credential::Unknown => Err(Failure::not_run(Reason::Unauthenticated)),
    }
}

/// Returns the weights by which tenants share the slots of an upstream.
///
/// In a mesh with accounts, requests without one are mostly calls that services make while they run
/// requests of the accounts. They weigh as much as all accounts together: a call that waits behind
/// other requests delays one that already holds a slot.
pub(super) fn tenant_weights(view: &View, has_accounts: bool) -> Vec<(TenantName, u32)> {
    let mut weights: Vec<_> = view
        .tenants()
        .map(|(name, tenant)| (name.clone(), tenant.weight))
        .collect();
    if !weights
        .iter()
        .any(|(name, _)| name.as_str() == DEFAULT_TENANT)
    {
        let sum = weights.iter().map(|(_, weight)| *weight);
        let weight = match has_accounts {
            true => sum.fold(0, u32::saturating_add).max(1),
            false => 1,
        };
        weights.push((TenantName::from(DEFAULT_TENANT), weight));
    }
    weights
}

fn bearer_key(value: &[u8]) -> Option<&[u8]> {
    let end = value.iter().position(|byte| *byte == b' ')?;
    let (scheme, key) = value.split_at(end);
    let key = key.trim_ascii();
    (scheme.eq_ignore_ascii_case(SCHEME.as_bytes()) && !key.is_empty()).then_some(key)
}

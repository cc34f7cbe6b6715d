//! Distribution of views from a control replica to its subscribers.
//!
//! The views that a replica publishes form a sequence in which no component of the version ever
//! decreases. The replica stores for each resource the version of its last change, so a subscriber
//! at any version of the sequence catches up with one merged delta instead of a replay of all
//! changes (`docs/design.md`, section 2.6). A subscriber at a version that this replica has not
//! published receives the full state.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;

use sha2::{Digest as _, Sha256};
use sycamoreflow_state::ids::{DaemonId, Millis, ViewVersion};
use sycamoreflow_state::view::{Delta, Interest, ResourceKey, View};

use crate::fingerprint::add_part;

#[cfg(test)]
mod tests;

/// Maximum number of tombstones of removed resources. A subscriber whose version is older than the
/// tombstones receives the full state.
pub const MAX_TOMBSTONES: usize = 10_000;

/// Maximum number of stored published versions. A subscriber at any other version receives the full
/// state. Each version takes 32 bytes; at ten changes per second they cover 16 minutes.
pub const MAX_PUBLISHED: usize = 10_000;

/// Maximum number of cached encoded updates.
const MAX_CACHED_UPDATES: usize = 64;

/// The current view of a replica with the change history from which deltas are computed.
#[derive(Debug)]
pub struct Distribution {
    view: Arc<View>,
    changed: BTreeMap<ResourceKey, ViewVersion>,
    tombstones: VecDeque<(ViewVersion, ResourceKey)>,
    /// Versions that this replica has published, in increasing order. A version between two of them
    /// may come from an earlier leader, or from a change that this replica received merged with a
    /// later one. This replica does not know its content, so a delta based on it would fail the
    /// digest check.
    published: VecDeque<ViewVersion>,
    /// Lowest version from which a delta is possible. The tombstones of earlier removals were
    /// dropped or never known.
    delta_horizon: ViewVersion,
}

impl Distribution {
    /// Creates a distribution with an empty view at the lowest version.
    pub fn new() -> Self {
        Self {
            view: Arc::new(View::new(Interest::All)),
            changed: BTreeMap::new(),
            tombstones: VecDeque::new(),
            published: VecDeque::new(),
            delta_horizon: ViewVersion::default(),
        }
    }

    /// Returns the current view, which contains all resources.
    pub fn view(&self) -> &Arc<View> {
        &self.view
    }

    /// Replaces the current view. Returns `false` and changes nothing if the version of `view` is
    /// not newer.
    pub fn publish(&mut self, view: Arc<View>) -> bool {
        let old = self.view.version();
        let new = view.version();
        if new == old || !new.is_at_least(&old) {
            return false;
        }
        let delta = self.view.delta_to(&view);
        if self.view.is_empty() {
            // The removals before the first published view are unknown.
            self.delta_horizon = new;
        }
        for (key, _) in delta.upserts {
            self.changed.insert(key, new);
        }
        for key in delta.removals {
            self.changed.remove(&key);
            self.tombstones.push_back((new, key));
        }
        while self.tombstones.len() > MAX_TOMBSTONES {
            if let Some((version, _)) = self.tombstones.pop_front() {
                self.delta_horizon = version;
            }
        }
        if self.published.len() >= MAX_PUBLISHED {
            self.published.pop_front();
        }
        self.published.push_back(new);
        self.view = view;
        true
    }

    /// Returns the update that brings a subscriber from the version `have` to the current view, or
    /// `None` if it needs no update. The update contains the full state if `have` is `None`, if no
    /// delta is possible, or if a delta would not be smaller.
    ///
    /// A change of the configuration version is sent even if no resource of interest has changed,
    /// because the floor of the subscriber and the measured convergence depend on it.
    pub fn update_for(&self, interest: &Interest, have: Option<ViewVersion>) -> Option<Delta> {
        let to = self.view.version();
        if have == Some(to) {
            return None;
        }
        let Some(have) = have.filter(|have| self.can_use_delta(have)) else {
            return Some(self.full(interest));
        };
        let upserts = self.changed_since(interest, &have);
        let removals = self.removed_since(interest, &have);
        if upserts.is_empty() && removals.is_empty() && have.config == to.config {
            return None;
        }
        let wanted = self.view.restrict(interest);
        if upserts.len() + removals.len() >= wanted.len() {
            return Some(Delta::full(&wanted));
        }
        let get = |key: ResourceKey| Some((key.clone(), self.view.get(&key)?.clone()));
        Some(Delta {
            from: Some(have),
            to,
            upserts: upserts.into_iter().filter_map(get).collect(),
            removals,
            digest: wanted.digest(),
        })
    }

    /// Returns an update with the full state, restricted to `interest`.
    pub fn full(&self, interest: &Interest) -> Delta {
        Delta::full(&self.view.restrict(interest))
    }

    /// Returns whether a delta can bring a subscriber at `have` up to date.
    fn can_use_delta(&self, have: &ViewVersion) -> bool {
        have.is_at_least(&self.delta_horizon) && self.has_published(have)
    }

    fn has_published(&self, version: &ViewVersion) -> bool {
        let order = |version: &ViewVersion| (version.config, version.endpoints);
        let wanted = order(version);
        self.published.binary_search_by_key(&wanted, order).is_ok()
    }

    fn changed_since(&self, interest: &Interest, have: &ViewVersion) -> Vec<ResourceKey> {
        let changed = self.changed.iter();
        let newer = changed.filter(|(key, at)| !have.is_at_least(at) && interest.includes(key));
        newer.map(|(key, _)| key.clone()).collect()
    }

    fn removed_since(&self, interest: &Interest, have: &ViewVersion) -> Vec<ResourceKey> {
        let mut removed = Vec::new();
        for (at, key) in &self.tombstones {
            let is_present = self.changed.contains_key(key);
            if have.is_at_least(at) || is_present || !interest.includes(key) {
                continue;
            }
            removed.push(key.clone());
        }
        removed.sort();
        removed.dedup();
        removed
    }
}

impl Default for Distribution {
    fn default() -> Self {
        Self::new()
    }
}

/// Returns the replica that a daemon should subscribe to, among those that it knows.
///
/// Every replica gets about the same number of daemons, and a replica that joins or leaves changes
/// the home of its own daemons only (rendezvous hashing). Daemons need not agree on the replicas.
pub fn home_replica<'a>(
    daemon: &DaemonId,
    replicas: impl IntoIterator<Item = &'a DaemonId>,
) -> Option<&'a DaemonId> {
    let weight = |replica: &DaemonId| {
        let mut hasher = Sha256::new();
        add_part(&mut hasher, daemon.as_str().as_bytes());
        add_part(&mut hasher, replica.as_str().as_bytes());
        hasher.finalize()
    };
    replicas.into_iter().max_by_key(|replica| weight(replica))
}

/// Cache of encoded updates, shared by subscribers with the same interest and version. It avoids
/// one encoding per subscriber when many of them catch up at the same time.
#[derive(Debug)]
pub struct UpdateCache<T> {
    entries: VecDeque<(UpdateKey, T)>,
}

#[derive(Debug, PartialEq, Eq)]
struct UpdateKey {
    interest: Interest,
    have: Option<ViewVersion>,
    to: ViewVersion,
}

impl<T: Clone> UpdateCache<T> {
    /// Creates an empty cache.
    pub fn new() -> Self {
        Self {
            entries: VecDeque::new(),
        }
    }

    /// Returns the cached update from `have` to `to`, or encodes it with `encode` and caches it.
    ///
    /// When the cache is full, the update that was added first is removed.
    pub fn get_or_encode(
        &mut self,
        interest: &Interest,
        have: Option<ViewVersion>,
        to: ViewVersion,
        encode: impl FnOnce() -> T,
    ) -> T {
        let found = self
            .entries
            .iter()
            .find(|(key, _)| key.to == to && key.have == have && key.interest == *interest);
        if let Some((_, encoded)) = found {
            return encoded.clone();
        }
        let encoded = encode();
        let key = UpdateKey {
            interest: interest.clone(),
            have,
            to,
        };
        if self.entries.len() >= MAX_CACHED_UPDATES {
            self.entries.pop_front();
        }
        self.entries.push_back((key, encoded.clone()));
        encoded
    }
}

impl<T: Clone> Default for UpdateCache<T> {
    fn default() -> Self {
        Self::new()
    }
}

/// Token bucket that limits the rate of new subscriptions, so that many daemons that reconnect at
/// the same time do not starve the existing subscribers.
#[derive(Debug)]
pub struct JoinLimiter {
    per_second: f64,
    tokens: f64,
    backlog: f64,
    last_refill: Millis,
}

impl JoinLimiter {
    /// Creates a limiter that admits `per_second` subscriptions per second, at least one, with
    /// bursts of up to the same number.
    pub fn new(now: Millis, per_second: u32) -> Self {
        let per_second = f64::from(per_second.max(1));
        Self {
            per_second,
            tokens: per_second,
            backlog: 0.0,
            last_refill: now,
        }
    }

    /// Admits a subscription if a token is available.
    ///
    /// # Errors
    ///
    /// Returns the time after which the subscriber may retry. It grows with the number of recent
    /// refusals, so that refused subscribers retry at the rate at which they can be admitted.
    pub fn admit(&mut self, now: Millis) -> Result<(), Millis> {
        let refill = now.since(self.last_refill).0 as f64 * self.per_second / 1_000.0;
        self.last_refill = now.max(self.last_refill);
        self.tokens = (self.tokens + refill).min(self.per_second);
        self.backlog = (self.backlog - refill).max(0.0);
        if self.tokens >= 1.0 {
            self.tokens -= 1.0;
            return Ok(());
        }
        self.backlog += 1.0;
        let wait = self.backlog * 1_000.0 / self.per_second;
        Err(Millis(wait.ceil() as u64))
    }
}

//! Changes between two views.

use std::fmt;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use super::{Digest, Interest, Resource, ResourceKey, Result, View, Violation, verify_entry};
use crate::ids::ViewVersion;

/// The change from one view to a newer one with the same interest, or a full state.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct Delta {
    /// Version that the change applies to. `None` means that this is the full state.
    pub from: Option<ViewVersion>,
    /// Version after the change.
    pub to: ViewVersion,
    /// Resources that are added or replaced.
    pub upserts: Vec<(ResourceKey, Arc<Resource>)>,
    /// Resources that are removed.
    pub removals: Vec<ResourceKey>,
    /// Digest of the view after the change.
    pub digest: Digest,
}

impl Delta {
    /// Returns the full state of `view`.
    pub fn full(view: &View) -> Self {
        Self {
            from: None,
            to: view.version,
            upserts: view
                .iter()
                .map(|(key, resource)| (key.clone(), resource.clone()))
                .collect(),
            removals: Vec::new(),
            digest: view.digest,
        }
    }

    /// Returns whether any change concerns more than endpoints, so that references need a check.
    fn changes_config(&self) -> bool {
        self.upserts
            .iter()
            .map(|(key, _)| key)
            .chain(&self.removals)
            .any(|key| !matches!(key, ResourceKey::Endpoint(..)))
    }
}

impl View {
    /// Returns the change from this view to `newer`, which has the same interest.
    ///
    /// The result has the older version in `from` even if it is larger than the full state; see
    /// [`Delta::full`].
    pub fn delta_to(&self, newer: &Self) -> Delta {
        let mut upserts = Vec::new();
        let mut removals = Vec::new();
        let mut old = self.entries.iter().peekable();
        for (key, entry) in &newer.entries {
            while let Some((removed_key, _)) = old.next_if(|(old_key, _)| *old_key < key) {
                removals.push(removed_key.clone());
            }
            let existing = old.next_if(|(old_key, _)| *old_key == key);
            if existing.is_some_and(|(_, old_entry)| old_entry.hash == entry.hash) {
                continue;
            }
            upserts.push((key.clone(), entry.resource.clone()));
        }
        removals.extend(old.map(|(removed_key, _)| removed_key.clone()));
        Delta {
            from: Some(self.version),
            to: newer.version,
            upserts,
            removals,
            digest: newer.digest,
        }
    }

    /// Returns the part of `delta` that `interest` wants. `delta` is the change from this view to
    /// `newer`, and `digest` that of the part of this view that `interest` wants.
    ///
    /// The result equals the change between the two restricted views, but its cost depends on the
    /// size of the change and not on the size of the mesh. A replica does this for each distinct
    /// interest of its subscribers.
    pub fn restrict_delta(
        &self,
        newer: &Self,
        delta: &Delta,
        interest: &Interest,
        mut digest: Digest,
    ) -> Delta {
        let upserts: Vec<_> = delta
            .upserts
            .iter()
            .filter(|(key, _)| interest.includes(key))
            .cloned()
            .collect();
        let removals: Vec<_> = delta
            .removals
            .iter()
            .filter(|key| interest.includes(key))
            .cloned()
            .collect();
        for key in upserts.iter().map(|(key, _)| key).chain(&removals) {
            if let Some(old) = self.entries.get(key) {
                digest = digest.minus(old.hash);
            }
            if let Some(new) = newer.entries.get(key) {
                digest = digest.plus(new.hash);
            }
        }
        Delta {
            from: delta.from,
            to: delta.to,
            upserts,
            removals,
            digest,
        }
    }

    /// Returns the view after `delta`, or rejects the delta as a whole.
    pub fn apply(&self, delta: &Delta) -> Result<Self> {
        self.check_version(delta)?;
        let mut view = match delta.from {
            Some(_) => self.clone(),
            None => Self::new(self.interest.clone()),
        };
        view.version = delta.to;
        view.apply_changes(delta)?;
        if delta.from.is_none() || delta.changes_config() {
            view.verify_references(&view.interest)
                .map_err(Rejection::Invalid)?;
        }
        Ok(view)
    }

    /// Returns the view after `delta` for another interest. The delta must be a full state, since
    /// a change lacks the resources that are newly wanted; it may be at the version of this view.
    pub fn apply_for(&self, interest: &Interest, delta: &Delta) -> Result<Self> {
        if *interest == self.interest {
            return self.apply(delta);
        }
        if !delta.to.is_at_least(&self.version) {
            return Err(self.stale(delta));
        }
        if delta.from.is_some() {
            return Err(Rejection::InterestChanged);
        }
        Self::new(interest.clone()).apply_full(delta)
    }

    /// Makes a view from a full state, for a proxy that has none.
    pub fn from_full(interest: &Interest, delta: &Delta) -> Result<Self> {
        if delta.from.is_some() {
            return Err(Rejection::InterestChanged);
        }
        Self::new(interest.clone()).apply_full(delta)
    }

    fn apply_full(mut self, delta: &Delta) -> Result<Self> {
        self.version = delta.to;
        self.apply_changes(delta)?;
        self.verify_references(&self.interest)
            .map_err(Rejection::Invalid)?;
        Ok(self)
    }

    fn check_version(&self, delta: &Delta) -> Result<()> {
        if !delta.to.is_at_least(&self.version) {
            return Err(self.stale(delta));
        }
        if delta.to == self.version {
            if delta.digest == self.digest {
                return Err(self.stale(delta));
            }
            return Err(self.digest_mismatch(delta));
        }
        match delta.from {
            Some(from) if from != self.version => Err(Rejection::OtherBase {
                own: self.version,
                from,
            }),
            _ => Ok(()),
        }
    }

    fn apply_changes(&mut self, delta: &Delta) -> Result<()> {
        for key in &delta.removals {
            self.remove(key);
        }
        for (key, resource) in &delta.upserts {
            verify_entry(key, resource, &self.interest).map_err(Rejection::Invalid)?;
            self.insert(key.clone(), resource.clone());
        }
        if self.digest != delta.digest {
            return Err(self.digest_mismatch(delta));
        }
        Ok(())
    }

    fn stale(&self, delta: &Delta) -> Rejection {
        Rejection::Stale {
            own: self.version,
            offered: delta.to,
        }
    }

    fn digest_mismatch(&self, delta: &Delta) -> Rejection {
        Rejection::DigestMismatch {
            expected: delta.digest,
            found: self.digest,
        }
    }
}

/// Why a delta was rejected. The view is unchanged in every case.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Rejection {
    /// The delta does not lead to a newer version. See [`Rejection::is_duplicate`].
    Stale {
        /// Version of the view.
        own: ViewVersion,
        /// Version that the delta leads to.
        offered: ViewVersion,
    },
    /// The delta applies to a version other than that of the view.
    OtherBase {
        /// Version of the view.
        own: ViewVersion,
        /// Version that the delta applies to.
        from: ViewVersion,
    },
    /// The delta is a change, but the interest differs or there is no view to change.
    InterestChanged,
    /// The result is not the state that the sender has.
    DigestMismatch {
        /// Digest named by the delta.
        expected: Digest,
        /// Digest of the result, or of the view if the delta names the version of the view.
        found: Digest,
    },
    /// The result refers to resources that are missing, or is malformed.
    Invalid(Violation),
}

impl Rejection {
    /// Returns whether the delta leads to the state that the view has already, so that it may be
    /// acknowledged like an applied one.
    pub fn is_duplicate(&self) -> bool {
        matches!(self, Self::Stale { own, offered } if own == offered)
    }
}

impl fmt::Display for Rejection {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Stale { own, offered } => {
                write!(f, "version {offered} is not newer than {own}")
            }
            Self::OtherBase { own, from } => {
                write!(f, "the change applies to version {from}, not to {own}")
            }
            Self::InterestChanged => {
                f.write_str("a changed interest or a new view needs the full state")
            }
            Self::DigestMismatch { expected, found } => {
                write!(f, "the digest is {found} instead of {expected}")
            }
            Self::Invalid(violation) => violation.fmt(f),
        }
    }
}

impl std::error::Error for Rejection {}

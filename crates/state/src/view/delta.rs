//! Deltas between two views, and their application.

use std::fmt;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use super::{Digest, Interest, Resource, ResourceKey, Result, View, Violation, verify_entry};
use crate::ids::ViewVersion;

/// The difference between a view and a newer one with the same interest, or a full state.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct Delta {
    /// Version that the delta applies to, or `None` if it is a full state.
    pub from: Option<ViewVersion>,
    /// Version of the view after the delta is applied.
    pub to: ViewVersion,
    /// Resources to add or replace.
    pub upserts: Vec<(ResourceKey, Arc<Resource>)>,
    /// Keys of the resources to remove.
    pub removals: Vec<ResourceKey>,
    /// Digest of the view after the delta is applied.
    pub digest: Digest,
}

impl Delta {
    /// Returns the full state of `view` as a delta that does not depend on an earlier version.
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

    /// Returns whether the delta changes more than soft state, so that references must be checked.
    fn changes_config(&self) -> bool {
        self.upserts
            .iter()
            .map(|(key, _)| key)
            .chain(&self.removals)
            .any(|key| !key.has_endpoint_version())
    }
}

impl View {
    /// Returns the delta from this view to `newer`, which must have the same interest.
    ///
    /// The result is incremental even where it is larger than the full state; for that one see
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

    /// Restricts `delta` to `interest`. `delta` must be the delta from this view to `newer`, and
    /// `digest` the digest of this view restricted to `interest`.
    ///
    /// The result equals the delta between the two restricted views, but its cost depends on the
    /// size of the delta and not on the size of the mesh. A control replica computes it for each
    /// distinct interest of its subscribers.
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

    /// Returns the view that results from `delta`. This view is unchanged.
    ///
    /// Fails if the delta is not newer, applies to another version, or leads to a view whose digest
    /// or content is wrong.
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

    /// Like [`View::apply`], for a view whose interest becomes `interest`. If the interest differs,
    /// the delta must be a full state, since an incremental one lacks the newly included resources;
    /// its version may then equal that of this view.
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

    /// Creates a view from a full state, for a proxy that has no view yet.
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

/// Why a delta was rejected. In every case the view is unchanged.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Rejection {
    /// The delta does not lead to a newer version; see also [`Rejection::is_duplicate`].
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
    /// The delta is incremental, but the interest differs or there is no view to apply it to.
    InterestChanged,
    /// The resulting view differs from that of the sender.
    DigestMismatch {
        /// Digest given in the delta.
        expected: Digest,
        /// Digest of the result, or that of the view if the delta leads to the version of the view.
        found: Digest,
    },
    /// The result violates an invariant of the content, for example by a missing reference.
    Invalid(Violation),
}

impl Rejection {
    /// Returns whether the view is already at the state that the delta leads to, so that the delta
    /// may be acknowledged as if it had been applied.
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

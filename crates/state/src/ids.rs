//! Identifiers, versions and the time unit shared by all layers.

use std::borrow::Borrow;
use std::fmt;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// Defines a newtype around a shared string, which is cheap to clone and serialized as the plain
/// string.
macro_rules! string_id {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
        #[serde(transparent)]
        pub struct $name(Arc<str>);

        impl $name {
            /// Returns the content as a string slice.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl Default for $name {
            fn default() -> Self {
                Self("".into())
            }
        }

        impl From<&str> for $name {
            fn from(text: &str) -> Self {
                Self(text.into())
            }
        }

        impl From<String> for $name {
            fn from(text: String) -> Self {
                Self(text.into())
            }
        }

        impl Borrow<str> for $name {
            fn borrow(&self) -> &str {
                &self.0
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }
    };
}

string_id!(
    /// Name of a service, unique in the mesh.
    ServiceName
);
string_id!(
    /// Name of a version of a service, for example `v2`.
    VersionName
);
string_id!(
    /// Name of a route, unique in the mesh.
    RouteName
);
string_id!(
    /// Name of a tenant: a class of callers with its own share of the slots of every service.
    TenantName
);
string_id!(
    /// Identifier of a daemon, unique in the mesh and stable across restarts.
    DaemonId
);
string_id!(
    /// Name of a data centre.
    DataCentre
);
string_id!(
    /// Identifier that an operator's client assigns to a request, so that a resend is recognised.
    RequestId
);

/// Maximum length of a name that another process reports, in bytes.
pub const MAX_NAME_BYTES: usize = 256;

/// Returns whether a name that another process reports may be used: it has 1 to
/// [`MAX_NAME_BYTES`] bytes and no control characters.
///
/// Every reader of reported names checks them, because each name is sent to all daemons and written
/// into logs, metrics and tables. Names in answers follow the narrower rules of
/// [`crate::generate`].
pub fn is_valid_name(name: &str) -> bool {
    (1..=MAX_NAME_BYTES).contains(&name.len()) && !name.contains(char::is_control)
}

/// Version of the accepted configuration, incremented by one with each change of what proxies
/// enforce.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct ConfigVersion(pub u64);

impl fmt::Display for ConfigVersion {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

/// Version of the endpoint table.
///
/// Versions are ordered by the term of the leader and then by the sequence number, so all versions
/// of a later leader sort after those of an earlier one (`docs/design.md`, section 2.2).
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct EndpointVersion {
    /// Raft term of the leader that made the change.
    pub term: u64,
    /// Sequence number of the change within the term.
    pub seq: u64,
}

/// Version of a view. At a proxy, neither component ever decreases.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct ViewVersion {
    /// Version of the accepted configuration.
    pub config: ConfigVersion,
    /// Version of the endpoint table.
    pub endpoints: EndpointVersion,
}

impl EndpointVersion {
    /// Returns the first version of the leader of `term`.
    pub fn first(term: u64) -> Self {
        Self { term, seq: 1 }
    }
}

impl fmt::Display for EndpointVersion {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.term, self.seq)
    }
}

impl fmt::Display for ViewVersion {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.config, self.endpoints)
    }
}

impl ViewVersion {
    /// Returns whether both components are equal to or greater than those of `other`. Of two
    /// versions, neither may be at least the other.
    pub fn is_at_least(&self, other: &Self) -> bool {
        self.config >= other.config && self.endpoints >= other.endpoints
    }
}

/// A point in time or a duration in milliseconds.
///
/// Points in time in the configuration and the replicated state are relative to the Unix epoch. All
/// others are relative to an arbitrary origin of a monotonic clock.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Millis(pub u64);

impl Millis {
    /// Returns the duration from `earlier` to this point in time, or zero if `earlier` is later.
    pub fn since(self, earlier: Self) -> Self {
        Self(self.0.saturating_sub(earlier.0))
    }

    /// Returns the point in time `duration` after this one, saturating at the largest value.
    pub fn after(self, duration: Self) -> Self {
        Self(self.0.saturating_add(duration.0))
    }
}

/// A duration in microseconds, for service times below a millisecond.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Micros(pub u64);

impl From<Millis> for Micros {
    fn from(duration: Millis) -> Self {
        Self(duration.0.saturating_mul(1_000))
    }
}

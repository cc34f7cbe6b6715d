//! Identifiers, versions and the time unit shared by all layers.

use std::borrow::Borrow;
use std::fmt;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

macro_rules! string_id {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
        #[serde(transparent)]
        pub struct $name(Arc<str>);

        impl $name {
            /// Returns the name as text.
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
    /// Name of a tenant: a class of callers with its own share of every service.
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
    /// Identifier that an operator's client gives to a request, so that a resend is recognised.
    RequestId
);

/// Version of the accepted configuration. It rises by one with each change of what proxies enforce.
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
/// The order is by leader term and then by sequence, so every version of a later leader orders
/// after all versions of an earlier one (`docs/design.md`, section 2.2).
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct EndpointVersion {
    /// Term of the leader that made the change.
    pub term: u64,
    /// Sequence number of the change within the term.
    pub seq: u64,
}

/// Version of a view: both components only ever rise at a proxy.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct ViewVersion {
    /// Version of the accepted configuration.
    pub config: ConfigVersion,
    /// Version of the endpoint table.
    pub endpoints: EndpointVersion,
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
    /// Returns whether both components are at or above those of `other`.
    pub fn is_at_least(&self, other: &Self) -> bool {
        self.config >= other.config && self.endpoints >= other.endpoints
    }
}

/// A point in time or a duration in milliseconds.
///
/// Points in time count from the Unix epoch where they appear in configuration or in the
/// replicated state, and from an arbitrary monotonic origin elsewhere.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Millis(pub u64);

impl Millis {
    /// Returns the time that has passed since `earlier`, or zero if `earlier` is later.
    pub fn since(self, earlier: Self) -> Self {
        Self(self.0.saturating_sub(earlier.0))
    }

    /// Returns this point in time moved later by `duration`.
    pub fn after(self, duration: Self) -> Self {
        Self(self.0.saturating_add(duration.0))
    }
}

/// A duration in microseconds, for service times that are shorter than a millisecond.
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

//! Upstreams as they announce themselves, and endpoints as proxies see them.
//!
//! Both come from other processes, so every reader checks each entry and leaves out an invalid one.
//! An invalid entry must not affect the entries beside it, or end the reader
//! (`docs/failures.md`).

use std::fmt;
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::ids::{DaemonId, DataCentre, ServiceName, VersionName, is_valid_name};

#[cfg(test)]
mod tests;

/// Maximum number of slots of an upstream.
pub const MAX_SLOTS: u32 = 100_000;

/// Result of a check of an entry.
pub type Result<T> = std::result::Result<T, InvalidEntry>;

/// Reason why an announcement or an endpoint cannot be used.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum InvalidEntry {
    /// The name in this field is empty, too long or contains control characters.
    Name(&'static str),
    /// The number of slots is 0 or greater than [`MAX_SLOTS`].
    Slots,
    /// No connection can be opened to the address.
    Address,
}

impl fmt::Display for InvalidEntry {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Name(field) => write!(
                f,
                "{field}: must have 1 to {} bytes and no control characters",
                crate::ids::MAX_NAME_BYTES
            ),
            Self::Slots => write!(f, "slots: must be between 1 and {MAX_SLOTS}"),
            Self::Address => f.write_str("address: must have an address of a host and a port"),
        }
    }
}

impl std::error::Error for InvalidEntry {}

fn check_name(field: &'static str, name: &str) -> Result<()> {
    match is_valid_name(name) {
        true => Ok(()),
        false => Err(InvalidEntry::Name(field)),
    }
}

fn check_slots(slots: u32) -> Result<()> {
    match (1..=MAX_SLOTS).contains(&slots) {
        true => Ok(()),
        false => Err(InvalidEntry::Slots),
    }
}

fn check_address(address: SocketAddr) -> Result<()> {
    let ip = address.ip();
    match address.port() == 0 || ip.is_unspecified() || ip.is_multicast() {
        true => Err(InvalidEntry::Address),
        false => Ok(()),
    }
}

/// Announcement of an upstream to the daemon on its host. The upstream must renew it before the
/// lease expires.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct Announcement {
    /// Service that the upstream belongs to.
    pub service: ServiceName,
    /// Version that the upstream runs.
    pub version: VersionName,
    /// Address at which the upstream accepts HTTP/1.1.
    pub address: SocketAddr,
    /// Maximum number of requests that the upstream runs concurrently.
    pub slots: u32,
    /// Path of the health check, if the upstream has one.
    pub health_path: Option<String>,
    /// Path of the load report, if the upstream has one.
    pub load_path: Option<String>,
}

impl Announcement {
    /// Checks that the upstream can be used and its names can be passed on.
    ///
    /// # Errors
    ///
    /// The first field that is invalid.
    pub fn check(&self) -> Result<()> {
        check_name("service", self.service.as_str())?;
        check_name("version", self.version.as_str())?;
        check_address(self.address)?;
        check_slots(self.slots)
    }
}

/// An instance of an upstream that drains or has left, as the daemon on its host was told.
///
/// The daemon may restart and then get a report that the instance sent before it left. Departures
/// are therefore recorded in the log of the control group and distributed with the view, so that
/// the daemon learns them again (`docs/design/departures.md`).
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct Departure {
    /// Identifier of the instance.
    pub instance: String,
    /// When the instance started, in milliseconds since the Unix epoch, or 0 if it is unknown.
    pub started_at: u64,
    /// Whether the instance sends no further reports. Otherwise it drains, and may report that.
    pub is_final: bool,
}

impl Departure {
    /// Checks that the identifier can be passed on.
    ///
    /// # Errors
    ///
    /// If the identifier is not a valid name.
    pub fn check(&self) -> Result<()> {
        check_name("instance", &self.instance)
    }

    /// Returns whether this is a departure of the same instance as `other`.
    pub fn is_same_instance(&self, other: &Self) -> bool {
        self.instance == other.instance && self.started_at == other.started_at
    }

    /// Returns whether whoever knows this departure needs not be told of `other`.
    pub fn covers(&self, other: &Self) -> bool {
        self.is_same_instance(other) && (self.is_final || !other.is_final)
    }
}

/// An upstream that other daemons can send requests to.
///
/// `address` belongs to the daemon on the host of the upstream, since other daemons reach the
/// upstream only through that daemon (`docs/design.md`, section 2.4).
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct Endpoint {
    /// Daemon on the host of the upstream.
    pub daemon: DaemonId,
    /// Service that the upstream belongs to.
    pub service: ServiceName,
    /// Version that the upstream runs.
    pub version: VersionName,
    /// Data centre of the host.
    pub data_centre: DataCentre,
    /// Address of the daemon's link listener.
    pub address: SocketAddr,
    /// Maximum number of requests that the upstream runs concurrently.
    pub slots: u32,
    /// Whether the upstream is draining and receives no new requests.
    pub draining: bool,
    /// Whether it drains because an operator has ordered it. The daemon on the host does not report
    /// that; the leader keeps it until the order is withdrawn or the upstream has left.
    #[serde(default, skip_serializing_if = "is_false")]
    pub drained_by_operator: bool,
}

fn is_false(value: &bool) -> bool {
    !value
}

impl Endpoint {
    /// Checks that the endpoint can be used and its names can be passed on.
    ///
    /// # Errors
    ///
    /// The first field that is invalid.
    pub fn check(&self) -> Result<()> {
        check_name("daemon", self.daemon.as_str())?;
        check_name("service", self.service.as_str())?;
        check_name("version", self.version.as_str())?;
        check_name("data-centre", self.data_centre.as_str())?;
        check_address(self.address)?;
        check_slots(self.slots)
    }
}

//! Upstreams as they announce themselves, and endpoints as proxies see them.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::ids::{DaemonId, DataCentre, ServiceName, VersionName};

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
}

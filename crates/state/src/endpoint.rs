//! Upstream endpoints as they are announced and as proxies see them.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::ids::{DaemonId, DataCentre, ServiceName, VersionName};

/// What an upstream tells the daemon beside it. It is renewed before its lease ends.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct Announcement {
    /// Service that the upstream belongs to.
    pub service: ServiceName,
    /// Version that the upstream runs.
    pub version: VersionName,
    /// Address at which the upstream accepts HTTP/1.1.
    pub address: SocketAddr,
    /// Number of requests that the upstream runs at once.
    pub slots: u32,
    /// Path of its health endpoint, if it has one.
    pub health_path: Option<String>,
    /// Path of its load endpoint, if it has one.
    pub load_path: Option<String>,
}

/// An endpoint as all daemons see it.
///
/// `address` is that of the daemon beside the upstream, since other daemons reach the upstream
/// only through that daemon (`docs/design.md`, section 2.4).
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct Endpoint {
    /// Daemon beside the upstream.
    pub daemon: DaemonId,
    /// Service that the upstream belongs to.
    pub service: ServiceName,
    /// Version that the upstream runs.
    pub version: VersionName,
    /// Data centre of the host.
    pub data_centre: DataCentre,
    /// Address of the daemon's link listener.
    pub address: SocketAddr,
    /// Number of requests that the upstream runs at once.
    pub slots: u32,
    /// Whether the upstream is leaving and takes no new work.
    pub draining: bool,
}

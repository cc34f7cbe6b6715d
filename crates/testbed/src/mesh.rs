//! A mesh of real daemons in one process, with control replicas in a temporary folder.

use std::fs;
use std::net::{SocketAddr, TcpListener};
use std::path::Path;
use std::sync::atomic::{AtomicU32, Ordering};

use sycamoreflow_daemon::Daemon;
use sycamoreflow_daemon::settings::{
    ControlSettings, FloorSettings, Limits, Listen, LogSettings, ReplicaAddress, Settings,
};
use tempfile::TempDir;

use crate::operator::Operator;

/// Key of the meshes of the testbed. They exist on the loopback address only.
const MESH_KEY: &str = "a mesh key for the testbed only";
/// Token of the operators of the testbed.
pub(crate) const OPERATOR_TOKEN: &str = "an operator token for the testbed";
/// Ports that meshes listen on.
const FIRST_PORT: u16 = 12_000;
/// Number of ports that meshes listen on.
const PORT_COUNT: u16 = 20_000;
/// Distance between the first ports of two processes, so that test programs that run at the same
/// time use different ports.
const PORTS_PER_PROCESS: u32 = 400;
/// Number of control replicas.
pub(crate) const REPLICAS: usize = 3;
/// Number of witnesses of each daemon's floor.
const WITNESSES: usize = 3;

/// A host of the mesh: its name and data centre.
#[derive(Clone, Debug)]
pub struct Host {
    /// Name of the daemon.
    pub daemon: String,
    /// Data centre.
    pub data_centre: String,
}

/// A running mesh.
pub struct Mesh {
    settings: Vec<Settings>,
    daemons: Vec<Option<Daemon>>,
    folder: TempDir,
}

impl Mesh {
    /// Starts daemons on `hosts`. The first three are control replicas.
    ///
    /// # Errors
    ///
    /// If an address can't be bound or a folder can't be made.
    pub async fn start(name: &str, hosts: &[Host]) -> eyre::Result<Self> {
        Self::start_with(name, hosts, REPLICAS).await
    }

    /// Starts daemons on `hosts`. The first `replicas` are control replicas, of which three vote.
    ///
    /// # Errors
    ///
    /// If an address can't be bound or a folder can't be made.
    pub async fn start_with(name: &str, hosts: &[Host], replicas: usize) -> eyre::Result<Self> {
        let folder = tempfile::tempdir()?;
        let settings = settings(name, hosts, replicas, folder.path())?;
        let mut mesh = Self {
            daemons: Vec::new(),
            settings,
            folder,
        };
        for settings in &mesh.settings {
            mesh.daemons
                .push(Some(Daemon::start(settings, None).await?));
        }
        Ok(mesh)
    }

    /// Returns the number of hosts.
    pub fn len(&self) -> usize {
        self.settings.len()
    }

    /// Returns whether there are no hosts.
    pub fn is_empty(&self) -> bool {
        self.settings.is_empty()
    }

    /// Returns the address for callers of the daemon on host `index`.
    pub fn calls_address(&self, index: usize) -> SocketAddr {
        self.settings[index]
            .listen
            .calls
            .expect("every daemon of the testbed serves calls")
    }

    /// Returns the address for announcements of the daemon on host `index`.
    pub fn announce_address(&self, index: usize) -> SocketAddr {
        self.settings[index]
            .listen
            .announce
            .expect("every daemon of the testbed takes announcements")
    }

    /// Returns the running daemon on host `index`.
    pub fn daemon(&self, index: usize) -> Option<&Daemon> {
        self.daemons[index].as_ref()
    }

    /// Returns the folder that holds the data folders of the control replicas.
    pub fn folder(&self) -> &Path {
        self.folder.path()
    }

    /// Returns an operator of this mesh.
    pub fn operator(&self) -> Operator {
        let replicas = self.settings.iter().filter_map(|s| s.listen.operator);
        Operator::new(replicas.collect(), OPERATOR_TOKEN)
    }

    /// Ends the daemon on host `index` as a crash would.
    pub async fn kill(&mut self, index: usize) {
        if let Some(daemon) = self.daemons[index].take() {
            daemon.kill().await;
        }
    }

    /// Stops the daemon on host `index` gracefully. Returns the number of calls that were cut.
    pub async fn drain(&mut self, index: usize) -> usize {
        match self.daemons[index].take() {
            Some(daemon) => daemon.drain().await,
            None => 0,
        }
    }

    /// Starts the daemon on host `index` again.
    ///
    /// # Errors
    ///
    /// If an address can't be bound.
    pub async fn restart(&mut self, index: usize) -> eyre::Result<()> {
        self.daemons[index] = Some(Daemon::start(&self.settings[index], None).await?);
        Ok(())
    }
}

/// Makes the settings of the daemons on `hosts` and writes the secrets that they name into `folder`.
/// Returns the settings of a mesh whose first `replicas` hosts are control replicas. The first
/// [`REPLICAS`] of them vote.
pub(crate) fn settings(
    name: &str,
    hosts: &[Host],
    replicas: usize,
    folder: &Path,
) -> eyre::Result<Vec<Settings>> {
    fs::write(folder.join("mesh.key"), MESH_KEY)?;
    fs::write(folder.join("operator.token"), OPERATOR_TOKEN)?;
    let ports = free_addresses(hosts.len() * 4)?;
    let link_of = |index: usize| ReplicaAddress {
        daemon: hosts[index].daemon.as_str().into(),
        link: ports[index * 4 + 1],
    };
    let addresses: Vec<ReplicaAddress> = (0..replicas).map(link_of).collect();
    let voters = addresses.iter().take(REPLICAS);
    let voters: Vec<_> = voters.map(|r| r.daemon.clone()).collect();
    let mut settings = Vec::new();
    for (index, host) in hosts.iter().enumerate() {
        let control = (index < replicas).then(|| ControlSettings {
            data: folder.join(&host.daemon),
            voters: voters.clone(),
            wanted_voters: REPLICAS,
            bootstrap: false,
            joins_per_second: 200,
        });
        let witnesses = (1..=WITNESSES).map(|step| link_of((index + step) % hosts.len()));
        settings.push(Settings {
            mesh: name.to_owned(),
            daemon: host.daemon.as_str().into(),
            data_centre: host.data_centre.as_str().into(),
            mesh_key_file: Some(folder.join("mesh.key")),
            operator_token_file: Some(folder.join("operator.token")),
            listen: Listen {
                calls: Some(ports[index * 4]),
                link: ports[index * 4 + 1],
                announce: Some(ports[index * 4 + 2]),
                operator: (index < replicas).then_some(ports[index * 4 + 3]),
            },
            control_replicas: addresses.clone(),
            seeds: Vec::new(),
            own_service: None,
            control,
            floor: FloorSettings {
                witnesses: witnesses.collect(),
            },
            interest: Vec::new(),
            limits: Limits::default(),
            log: LogSettings::default(),
        });
    }
    Ok(settings)
}

/// Returns loopback addresses that are free now.
///
/// The ports lie below the range from which the system draws those of outgoing connections.
/// Otherwise a connection could take the port of a daemon that is down.
fn free_addresses(count: usize) -> eyre::Result<Vec<SocketAddr>> {
    static NEXT: AtomicU32 = AtomicU32::new(0);
    let first = std::process::id().wrapping_mul(PORTS_PER_PROCESS);
    let mut addresses = Vec::new();
    for _ in 0..PORT_COUNT {
        let step = first.wrapping_add(NEXT.fetch_add(1, Ordering::Relaxed));
        let port = FIRST_PORT + (step % u32::from(PORT_COUNT)) as u16;
        let address = SocketAddr::from(([127, 0, 0, 1], port));
        if TcpListener::bind(address).is_ok() {
            addresses.push(address);
        }
        if addresses.len() == count {
            return Ok(addresses);
        }
    }
    Err(eyre::eyre!("fewer than {count} loopback ports are free"))
}

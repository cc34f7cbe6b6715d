//! A mesh of real daemons in one process, with the data of its control replicas in a temporary
//! folder.

use std::fs;
use std::net::{SocketAddr, TcpListener};
use std::path::Path;

use parking_lot::Mutex;
use sycamoreflow_daemon::Daemon;
use sycamoreflow_daemon::settings::{
    ControlSettings, FloorSettings, Limits, Listen, LogSettings, ReplicaAddress, Settings,
};
use tempfile::TempDir;

use crate::operator::Operator;

#[cfg(test)]
mod tests;

/// Mesh key of all meshes of the testbed. It may be public, as they listen on loopback addresses
/// only.
const MESH_KEY: &str = "a mesh key for the testbed only";
/// Operator token of all meshes of the testbed.
pub(crate) const OPERATOR_TOKEN: &str = "an operator token for the testbed";
/// First port that meshes listen on.
const FIRST_PORT: u16 = 12_000;
/// Number of blocks of ports, from [`FIRST_PORT`] on, that meshes listen on.
const BLOCK_COUNT: u16 = 200;
/// Number of ports of a block. The first one shows which process uses the block.
const BLOCK_PORTS: u16 = 100;
/// Number of control replicas that vote, and of all control replicas if no other number is given.
pub(crate) const REPLICAS: usize = 3;
/// Number of witnesses of each daemon's version floor.
const WITNESSES: usize = 3;

/// A host of a mesh, which runs one daemon.
#[derive(Clone, Debug)]
pub struct Host {
    /// Name of the daemon.
    pub daemon: String,
    /// Name of the host's data centre.
    pub data_centre: String,
}

/// A running mesh. Hosts are addressed by their index in the list with which it was started.
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
    /// If an address can't be bound or a folder can't be created.
    pub async fn start(name: &str, hosts: &[Host]) -> eyre::Result<Self> {
        Self::start_with(name, hosts, REPLICAS).await
    }

    /// Starts daemons on `hosts`. The first `replicas` are control replicas, of which three vote.
    ///
    /// # Errors
    ///
    /// If an address can't be bound or a folder can't be created.
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

    /// Returns whether the mesh has no hosts.
    pub fn is_empty(&self) -> bool {
        self.settings.is_empty()
    }

    /// Returns the address at which the daemon on host `index` accepts calls.
    pub fn calls_address(&self, index: usize) -> SocketAddr {
        self.settings[index]
            .listen
            .calls
            .expect("every daemon of the testbed serves calls")
    }

    /// Returns the address at which the daemon on host `index` accepts announcements.
    pub fn announce_address(&self, index: usize) -> SocketAddr {
        self.settings[index]
            .listen
            .announce
            .expect("every daemon of the testbed takes announcements")
    }

    /// Returns the daemon on host `index` if it is running.
    pub fn daemon(&self, index: usize) -> Option<&Daemon> {
        self.daemons[index].as_ref()
    }

    /// Returns the folder that holds the data folders of the control replicas.
    pub fn folder(&self) -> &Path {
        self.folder.path()
    }

    /// Returns an operator that knows all control replicas of this mesh.
    pub fn operator(&self) -> Operator {
        let replicas = self.settings.iter().filter_map(|s| s.listen.operator);
        Operator::new(replicas.collect(), OPERATOR_TOKEN)
    }

    /// Stops the daemon on host `index` without draining it, as in a crash.
    pub async fn kill(&mut self, index: usize) {
        if let Some(daemon) = self.daemons[index].take() {
            daemon.kill().await;
        }
    }

    /// Stops the daemon on host `index` gracefully. Returns the number of calls that were
    /// cut off.
    pub async fn drain(&mut self, index: usize) -> usize {
        match self.daemons[index].take() {
            Some(daemon) => daemon.drain().await,
            None => 0,
        }
    }

    /// Starts the daemon on host `index` again with the same settings. It must not be running.
    ///
    /// # Errors
    ///
    /// If an address can't be bound.
    pub async fn restart(&mut self, index: usize) -> eyre::Result<()> {
        self.daemons[index] = Some(Daemon::start(&self.settings[index], None).await?);
        Ok(())
    }
}

/// Returns the settings of the daemons on `hosts` and writes the secrets that they name into
/// `folder`. The first `replicas` hosts are control replicas, and the first [`REPLICAS`] of them
/// vote.
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
            data_centres: Vec::new(),
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

/// Returns `count` loopback addresses whose ports are free and stay so until this process ends,
/// also while a daemon is down: another mesh must not listen on its ports.
///
/// The ports lie below the system's range of ephemeral ports. Otherwise an outgoing connection
/// could take the port of a daemon that is down.
fn free_addresses(count: usize) -> eyre::Result<Vec<SocketAddr>> {
    static CLAIMS: Mutex<Vec<TcpListener>> = Mutex::new(Vec::new());
    let address = |port: u16| SocketAddr::from(([127, 0, 0, 1], port));
    let first = std::process::id() % u32::from(BLOCK_COUNT);
    let mut addresses = Vec::new();
    for step in 0..BLOCK_COUNT {
        let block = (first as u16 + step) % BLOCK_COUNT;
        let port = FIRST_PORT + block * BLOCK_PORTS;
        let Ok(claim) = TcpListener::bind(address(port)) else {
            continue;
        };
        CLAIMS.lock().push(claim);
        let ports = (port + 1..port + BLOCK_PORTS).map(address);
        addresses.extend(ports.filter(|address| TcpListener::bind(address).is_ok()));
        if addresses.len() >= count {
            addresses.truncate(count);
            return Ok(addresses);
        }
    }
    Err(eyre::eyre!("fewer than {count} loopback ports are free"))
}

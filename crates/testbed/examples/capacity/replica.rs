//! A real control replica that is the only voter of its group, and the identities of its
//! subscribers.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use async_std::net::TcpListener;
use async_std::task::{self, JoinHandle};
use futures::channel::oneshot;
use sycamoreflow_coordination::machine::{Command, Outcome};
use sycamoreflow_daemon::control::Control;
use sycamoreflow_daemon::control::hub::Hub;
use sycamoreflow_daemon::control::replica::Event;
use sycamoreflow_daemon::settings::{
    ControlSettings, FloorSettings, Limits, Listen, LogSettings, ReplicaAddress, Settings,
};
use sycamoreflow_protocol::handshake::{Identity, MeshKey};
use sycamoreflow_state::config::MeshConfig;
use sycamoreflow_state::ids::ConfigVersion;
use sycamoreflow_transport::link;
use tempfile::TempDir;

use crate::world;

const MESH: &str = "capacity";
const REPLICA: &str = "replica";
const MAX_ELECTION_WAIT: Duration = Duration::from_secs(10);

/// A running control replica with its data in a temporary folder.
pub(crate) struct Replica {
    hub: Arc<Hub>,
    address: SocketAddr,
    config: MeshConfig,
    approvals: u32,
    accepting: Option<JoinHandle<()>>,
    control: Arc<Control>,
    _folder: TempDir,
}

impl Replica {
    /// Starts a replica and approves a configuration with `services` services.
    pub(crate) async fn start(services: usize, joins_per_second: u32) -> eyre::Result<Self> {
        let folder = tempfile::tempdir()?;
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let control_settings = ControlSettings {
            data: folder.path().join("data"),
            voters: vec![REPLICA.into()],
            wanted_voters: 1,
            bootstrap: false,
            joins_per_second,
        };
        let settings = settings(address, control_settings.clone());
        let limits = link::Limits::default();
        let identity = identity(REPLICA)?;
        let control = Control::start(&settings, &control_settings, &identity, &limits, 7)?;
        let control = Arc::new(control);
        let accepting = task::spawn(accept(listener, identity, control.clone()));
        let mut replica = Self {
            hub: control.hub().clone(),
            address,
            config: world::config(services),
            approvals: 0,
            accepting: Some(accepting),
            control,
            _folder: folder,
        };
        replica.approve_first().await?;
        Ok(replica)
    }

    /// Returns the address at which subscribers connect.
    pub(crate) fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the shared state of the replica, which holds the published view.
    pub(crate) fn hub(&self) -> &Arc<Hub> {
        &self.hub
    }

    /// Approves a change of one service and returns the new configuration version.
    pub(crate) async fn change(&mut self) -> eyre::Result<ConfigVersion> {
        world::change(&mut self.config, self.approvals);
        self.approve().await
    }

    /// Stops the replica.
    pub(crate) async fn stop(mut self) {
        if let Some(accepting) = self.accepting.take() {
            accepting.cancel().await;
        }
        drop(self.control);
    }

    async fn approve_first(&mut self) -> eyre::Result<()> {
        let deadline = Instant::now() + MAX_ELECTION_WAIT;
        while let Err(error) = self.approve().await {
            if Instant::now() > deadline {
                return Err(error);
            }
            task::sleep(Duration::from_millis(50)).await;
        }
        Ok(())
    }

    async fn approve(&mut self) -> eyre::Result<ConfigVersion> {
        self.approvals += 1;
        let base = self.hub.view().version().config;
        let command: Command = world::approval(&self.config, base, self.approvals);
        let (tx, rx) = oneshot::channel();
        self.hub.send(Event::Propose(Box::new(command), tx));
        match rx.await? {
            Ok(Outcome::Approved { version, .. }) => Ok(version),
            other => Err(eyre::eyre!("the change was not approved: {other:?}")),
        }
    }
}

/// Returns the identity with which the daemon `daemon` authenticates in the mesh.
pub(crate) fn identity(daemon: &str) -> eyre::Result<Identity> {
    Ok(Identity {
        mesh: MESH.to_owned(),
        daemon: daemon.into(),
        key: MeshKey::new(b"a mesh key for the example only".to_vec())?,
    })
}

fn settings(address: SocketAddr, control: ControlSettings) -> Settings {
    Settings {
        mesh: MESH.to_owned(),
        daemon: REPLICA.into(),
        data_centre: "sfax-a".into(),
        data_centres: Vec::new(),
        mesh_key_file: None,
        operator_token_file: None,
        listen: Listen {
            calls: Some(address),
            link: address,
            announce: Some(address),
            operator: None,
        },
        control_replicas: vec![ReplicaAddress {
            daemon: REPLICA.into(),
            link: address,
        }],
        seeds: Vec::new(),
        own_service: None,
        control: Some(control),
        floor: FloorSettings::default(),
        interest: Vec::new(),
        limits: Limits::default(),
        log: LogSettings::default(),
    }
}

async fn accept(listener: TcpListener, identity: Identity, control: Arc<Control>) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            task::sleep(Duration::from_millis(10)).await;
            continue;
        };
        let identity = identity.clone();
        let control = control.clone();
        task::spawn(async move {
            let opened = link::accept(stream, &identity, &link::Limits::default()).await;
            if let Ok((_, _, tx, rx)) = opened {
                control.serve_subscriber(tx, rx);
            }
        });
    }
}

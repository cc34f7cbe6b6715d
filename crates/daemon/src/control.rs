//! The control replica of a daemon: replicated log, state machine, distribution to subscribers.

use std::path::Path;
use std::sync::Arc;
use std::sync::mpsc;
use std::thread::{self, JoinHandle};
use std::time::Duration;

use async_std::task;
use eyre::WrapErr;
use sycamoreflow_coordination::machine::ControlState;
use sycamoreflow_coordination::raft::{Incarnation, Raft};
use sycamoreflow_protocol::handshake::Identity;
use sycamoreflow_state::ids::DaemonId;
use sycamoreflow_transport::link::{self, Receiver, Sender};
use sycamoreflow_transport::storage::{Files, Storage};

use crate::clock;
use crate::settings::{ControlSettings, Settings};

pub mod documents;
pub mod hints;
pub mod hub;
pub mod leader;
pub mod operator_api;
pub mod peers;
pub mod replica;
pub mod sessions;
pub mod status;

use hints::EndpointHints;
use hub::Hub;
use peers::Peers;
use replica::{End, Event, GroupSettings, Replica, Start};

/// Time between a failure of the storage and an attempt to open it again, as a restart of the process
/// would. The log is read anew, so nothing depends on what the failed operation has left.
const REOPEN_INTERVAL: Duration = Duration::from_millis(1_000);

/// Folder of the log in the data folder of a replica that is found by seeds.
const LOG_FOLDER: &str = "log";

/// A running control replica.
#[derive(Debug)]
pub struct Control {
    hub: Arc<Hub>,
    thread: Option<JoinHandle<()>>,
}

impl Control {
    /// Opens the data folder and starts the replica.
    ///
    /// # Errors
    ///
    /// If the data folder can't be used; the message says what to do.
    pub fn start(
        settings: &Settings,
        control: &ControlSettings,
        identity: &Identity,
        limits: &link::Limits,
        seed: u64,
    ) -> eyre::Result<Self> {
        let (tx, rx) = mpsc::channel();
        let hub = Arc::new(Hub::new(control.joins_per_second, tx));
        let named = settings.named_replicas();
        let peers = Arc::new(Peers::new(&named, identity, limits));
        let replicas: Vec<_> = named.iter().map(|r| r.daemon.clone()).collect();
        let found_by_seeds = !settings.seeds.is_empty();
        let group = GroupSettings {
            voters: match found_by_seeds {
                true => replicas.clone(),
                false => control.voters.clone(),
            },
            replicas,
            wanted_voters: found_by_seeds.then_some(control.wanted_voters),
            may_found: !found_by_seeds || control.bootstrap,
        };
        let data = control.data.clone();
        let id = identity.daemon.clone();
        let start = open(&data, &id, group.clone(), seed)?;
        let replica = Replica::new(start, hub.clone(), peers.clone());
        peers.start();
        task::spawn(peers.clone().follow(hub.clone()));
        let shared = hub.clone();
        let thread = thread::Builder::new()
            .name("control-replica".into())
            .spawn(move || {
                let mut replica = Some(replica);
                while let Some(running) = replica.take() {
                    if running.run(&rx) == End::Stopped {
                        return;
                    }
                    let reopened = reopen(&rx, || open(&data, &id, group.clone(), seed));
                    replica = reopened.map(|s| Replica::new(s, shared.clone(), peers.clone()));
                }
            })
            .wrap_err("can't start the thread of the control replica")?;
        Ok(Self {
            hub,
            thread: Some(thread),
        })
    }

    /// Returns what the parts of the replica share.
    pub fn hub(&self) -> &Arc<Hub> {
        &self.hub
    }

    /// Serves a subscriber or a following replica.
    pub fn serve_subscriber(&self, tx: Sender, rx: Receiver) {
        task::spawn(sessions::serve(self.hub.clone(), tx, rx));
    }

    /// Serves another replica.
    pub fn serve_peer(&self, tx: Sender, rx: Receiver) {
        task::spawn(peers::serve(self.hub.clone(), tx, rx));
    }

    /// Hands over the lead, if this replica has it, so that a planned stop causes no election.
    pub fn transfer_leadership(&self) {
        self.hub.send(Event::TransferLeadership);
    }

    /// Ends the replica and waits until its storage is closed.
    pub fn stop(&mut self) {
        self.hub.send(Event::Stop);
        if let Some(thread) = self.thread.take() {
            // A panic of the thread has been reported by the panic hook.
            let _ = thread.join();
        }
    }
}

impl Drop for Control {
    fn drop(&mut self) {
        self.stop();
    }
}

/// Waits until the data folder can be used again after a failure of its storage. Until then the
/// replica promises nothing. Returns `None` if it is told to stop.
fn reopen(events: &mpsc::Receiver<Event>, open: impl Fn() -> eyre::Result<Start>) -> Option<Start> {
    loop {
        if !replica::refuse_for(events, REOPEN_INTERVAL) {
            return None;
        }
        match open() {
            Ok(start) => {
                tracing::info!(event = "storage", usable = true);
                return Some(start);
            }
            Err(error) => tracing::warn!(event = "storage", usable = false, error = %error),
        }
    }
}

fn open(data: &Path, id: &DaemonId, group: GroupSettings, seed: u64) -> eyre::Result<Start> {
    // The folder of the log has files of the log only, so the copy of the endpoints lies beside it.
    let folder = match group.wanted_voters {
        Some(_) => data.join(LOG_FOLDER),
        None => data.to_owned(),
    };
    let opened = Storage::open(&folder, Incarnation(seed.max(1)), Files::default())
        .wrap_err_with(|| format!("data folder {}", folder.display()))?;
    let (hints, endpoints) = EndpointHints::open(&folder);
    if opened.cut_bytes > 0 {
        let bytes = opened.cut_bytes;
        tracing::info!(bytes, "torn tail of the log cut off");
    }
    let mut state = ControlState::default();
    let mut snapshot_index = 0;
    if let Some(snapshot) = &opened.log.snapshot {
        state = ControlState::decode(&snapshot.data)
            .map_err(|error| eyre::eyre!("the snapshot can't be decoded: {error}"))?;
        state.advance_applied(snapshot.index);
        snapshot_index = snapshot.index;
    }
    let mut raft = Raft::new(
        id.clone(),
        group.voters.clone(),
        opened.hard_state,
        opened.log,
        seed,
        clock::now(),
    );
    if !group.may_found {
        raft = raft.without_bootstrap();
    }
    Ok(Start {
        id: id.clone(),
        group,
        raft,
        storage: opened.storage,
        state,
        snapshot: snapshot_index,
        hints,
        endpoints,
    })
}

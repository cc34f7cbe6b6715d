//! The control replica of a daemon: the replicated log, the state machine and the distribution of
//! views to subscribers.

use std::path::Path;
use std::sync::Arc;
use std::sync::mpsc::{self, RecvTimeoutError};
use std::thread;
use std::time::Duration;

use async_std::task;
use eyre::WrapErr;
use parking_lot::Mutex;
use sycamoreflow_coordination::machine::ControlState;
use sycamoreflow_coordination::quota::Tolerance;
use sycamoreflow_coordination::raft::{Incarnation, Raft};
use sycamoreflow_protocol::handshake::Identity;
use sycamoreflow_state::ids::DaemonId;
use sycamoreflow_transport::link::{self, Receiver, Sender};
use sycamoreflow_transport::storage::{Files, Storage, StorageError};

use crate::clock;
use crate::settings::{ControlSettings, Settings};

pub mod documents;
pub mod evacuations;
pub mod hints;
pub mod hub;
pub mod leader;
pub mod operator_api;
pub mod peers;
pub mod quotas;
pub mod replica;
pub mod sessions;
pub mod status;
pub mod suspects;

use hints::EndpointHints;
use hub::Hub;
use peers::Peers;
use replica::{Event, EventReceiver, Exit, GroupSettings, Replica, ReplicaInit};

#[cfg(test)]
mod tests;

/// Delay before storage is reopened after it failed. Reopening does the same as a restart of the
/// process: the log is read again, so nothing depends on what the failed operation left behind.
const REOPEN_INTERVAL: Duration = Duration::from_millis(1_000);

/// Name of the thread that runs the replica.
const THREAD_NAME: &str = "control-replica";

/// Subdirectory of the data folder that holds the log if replicas are discovered through seeds.
const LOG_FOLDER: &str = "log";

/// A running control replica. Dropping it stops the replica and blocks until its storage is closed,
/// unless [`Control::stop`] was called before.
#[derive(Debug)]
pub struct Control {
    hub: Arc<Hub>,
    /// Disconnected when the thread of the replica ends. No message is ever sent on it.
    thread_end: Option<Mutex<mpsc::Receiver<()>>>,
}

impl Control {
    /// Opens the data folder and starts the replica on a thread of its own. While the disk is full,
    /// the replica refuses all requests and tries again, as after a failure of its storage.
    ///
    /// `seed` must be random and differ between starts. It seeds Raft and becomes the incarnation
    /// of a new data folder.
    ///
    /// # Errors
    ///
    /// If the data folder can't be opened or the thread can't be started. The message says how to
    /// correct the problem.
    pub fn start(
        settings: &Settings,
        control: &ControlSettings,
        identity: &Identity,
        limits: &link::Limits,
        seed: u64,
    ) -> eyre::Result<Self> {
        Self::start_with(settings, control, identity, limits, seed, Files::default)
    }

    /// Like [`Control::start`], with the file operations that `files` creates for each opening of
    /// the data folder.
    fn start_with(
        settings: &Settings,
        control: &ControlSettings,
        identity: &Identity,
        limits: &link::Limits,
        seed: u64,
        files: impl Fn() -> Files + Send + 'static,
    ) -> eyre::Result<Self> {
        let (tx, rx) = replica::event_queue();
        let hub = Arc::new(Hub::new(control.joins_per_second, tx));
        let configured = settings.configured_replicas();
        let suspects = hub.suspects().clone();
        let peers = Arc::new(Peers::new(&configured, identity, limits, suspects));
        let replicas: Vec<_> = configured.iter().map(|r| r.daemon.clone()).collect();
        let uses_seeds = !settings.seeds.is_empty();
        let group = GroupSettings {
            voters: match uses_seeds {
                true => replicas.clone(),
                false => control.voters.clone(),
            },
            replicas,
            wanted_voters: uses_seeds.then_some(control.wanted_voters),
            may_bootstrap: !uses_seeds || control.bootstrap,
        };
        let data = control.data.clone();
        let id = identity.daemon.clone();
        let tolerance = settings.limits.quota_tolerance();
        let open = move || open(&data, &id, group.clone(), tolerance, seed, files());
        let opened = match open() {
            Err(error) if is_out_of_space(&error) => {
                tracing::error!(event = "storage", usable = false, error = %error);
                None
            }
            opened => Some(opened?),
        };
        peers.start();
        task::spawn(peers.clone().follow_leader(hub.clone()));
        let shared_hub = hub.clone();
        let (thread_end_tx, thread_end) = mpsc::channel();
        thread::Builder::new()
            .name(THREAD_NAME.into())
            .spawn(move || {
                let _thread_end_tx = thread_end_tx;
                let mut opened = opened;
                while let Some(init) = opened.take().or_else(|| reopen(&rx, &open)) {
                    let replica = Replica::new(init, shared_hub.clone(), peers.clone());
                    if replica.run(&rx) == Exit::Stopped {
                        return;
                    }
                }
            })
            .wrap_err("failed to start the control replica thread")?;
        Ok(Self {
            hub,
            thread_end: Some(Mutex::new(thread_end)),
        })
    }

    /// Returns the state that the replica thread shares with subscriber sessions and APIs.
    pub fn hub(&self) -> &Arc<Hub> {
        &self.hub
    }

    /// Spawns a task that serves a subscriber, or a replica that follows this one, on a link.
    pub fn serve_subscriber(&self, tx: Sender, rx: Receiver) {
        task::spawn(sessions::serve(self.hub.clone(), tx, rx));
    }

    /// Spawns a task that passes the messages of another replica to this one.
    pub fn serve_peer(&self, tx: Sender, rx: Receiver) {
        task::spawn(peers::serve(self.hub.clone(), tx, rx));
    }

    /// Transfers leadership to another replica if this one leads, so that a planned stop does not
    /// leave the group without a leader until an election timeout.
    pub fn transfer_leadership(&self) {
        self.hub.send(Event::TransferLeadership);
    }

    /// Stops the replica and blocks until its storage is closed, but for `limit` at most, since a
    /// disk that does not respond can block the replica for any time. The process may exit then:
    /// all that the replica has confirmed is on the disk, as before a crash.
    pub fn stop(&mut self, limit: Duration) {
        self.hub.send(Event::Stop);
        let Some(thread_end) = self.thread_end.take() else {
            return;
        };
        if thread_end.into_inner().recv_timeout(limit) == Err(RecvTimeoutError::Timeout) {
            tracing::warn!(
                event = "storage_not_closed",
                waited_ms = limit.as_millis() as u64
            );
        }
    }
}

impl Drop for Control {
    fn drop(&mut self) {
        self.stop(Duration::MAX);
    }
}

/// Retries until the data folder can be opened again after its storage failed. Until then, all
/// requests to the replica are refused. Returns `None` if the replica has to stop.
fn reopen(
    events: &EventReceiver,
    open: impl Fn() -> eyre::Result<ReplicaInit>,
) -> Option<ReplicaInit> {
    loop {
        if !replica::refuse_events_for(events, REOPEN_INTERVAL) {
            return None;
        }
        match open() {
            Ok(init) => {
                tracing::info!(event = "storage", usable = true);
                return Some(init);
            }
            Err(error) => tracing::warn!(event = "storage", usable = false, error = %error),
        }
    }
}

fn is_out_of_space(error: &eyre::Report) -> bool {
    let error = error.downcast_ref::<StorageError>();
    error.is_some_and(StorageError::is_out_of_space)
}

fn open(
    data: &Path,
    id: &DaemonId,
    group: GroupSettings,
    quota_tolerance: Tolerance,
    seed: u64,
    files: Files,
) -> eyre::Result<ReplicaInit> {
    // Storage rejects files that do not belong to the log, so the cached endpoint table is stored
    // next to the folder of the log.
    let folder = match group.wanted_voters {
        Some(_) => data.join(LOG_FOLDER),
        None => data.to_owned(),
    };
    let opened = Storage::open(&folder, Incarnation(seed.max(1)), files)
        .wrap_err_with(|| format!("data folder {}", folder.display()))?;
    let (hints, endpoints) = EndpointHints::open(&folder);
    if opened.truncated_bytes > 0 {
        let bytes = opened.truncated_bytes;
        tracing::info!(bytes, "torn tail of the log cut off");
    }
    let mut state = ControlState::default();
    let (mut snapshot_index, mut snapshot_bytes) = (0, 0);
    if let Some(snapshot) = &opened.log.snapshot {
        state = ControlState::decode(&snapshot.data)
            .map_err(|error| eyre::eyre!("failed to decode the snapshot: {error}"))?;
        state.advance_applied(snapshot.index);
        (snapshot_index, snapshot_bytes) = (snapshot.index, snapshot.data.len());
    }
    let mut raft = Raft::new(
        id.clone(),
        group.voters.clone(),
        opened.hard_state,
        opened.log,
        seed,
        clock::now(),
    );
    if !group.may_bootstrap {
        raft = raft.without_bootstrap();
    }
    Ok(ReplicaInit {
        id: id.clone(),
        group,
        raft,
        storage: opened.storage,
        state,
        snapshot_index,
        snapshot_bytes,
        hints,
        quota_tolerance,
        endpoints,
    })
}

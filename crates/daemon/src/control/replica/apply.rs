//! Application of committed entries to the state machine, in slices.
//!
//! After a restart, a replica learns the commit index with the first message of a leader, or as the
//! leader with the first quorum, and then applies hundreds of entries at once. On a small host this
//! takes longer than an election timeout. The thread of the replica therefore applies them in
//! slices and handles heartbeats, votes and ticks in between (`docs/design.md`, section 2.1).
//!
//! Invariant: entries, snapshots and completed reads take effect in the order in which Raft has
//! output them.

use std::sync::Arc;
use std::time::{Duration, Instant};

use sycamoreflow_coordination::machine::document::Document;
use sycamoreflow_coordination::machine::{Command, ControlState, Outcome};
use sycamoreflow_coordination::raft::{Input, Payload, ReplicaState, SharedEntry, Snapshot, Token};

use super::event::Waiter;
use super::{Replica, StorageResult, codec_error};
use crate::clock;

/// Time for which entries are applied before the queued events are handled. It is a small part of
/// the interval of heartbeats.
const SLICE: Duration = Duration::from_millis(20);

/// Number of applied entries after which the state is saved as a snapshot and the log is truncated.
/// A replica that restarts applies the entries after its snapshot before it can serve.
const SNAPSHOT_ENTRIES: u64 = 250;

/// Minimum size of the log in bytes from which a snapshot is saved with fewer entries.
const SNAPSHOT_BYTES: usize = 1 << 20;

/// Output of Raft that changes or reads the state machine.
#[derive(Debug)]
pub(super) enum Unapplied {
    Entry(u64, SharedEntry),
    Snapshot(Arc<Snapshot>),
    Read(Token),
}

impl Replica {
    /// Applies outputs for the time of a slice, and afterwards handles the documents that were
    /// proposed meanwhile.
    pub(super) fn apply_slice(&mut self) -> StorageResult {
        let end = Instant::now() + SLICE;
        while let Some(next) = self.unapplied.pop_front() {
            match next {
                Unapplied::Entry(index, entry) => self.apply(index, &entry),
                Unapplied::Snapshot(snapshot) => self.install_snapshot(&snapshot)?,
                Unapplied::Read(token) => self.read_ready(token),
            }
            if Instant::now() >= end {
                break;
            }
        }
        if !self.unapplied.is_empty() {
            return Ok(());
        }
        self.save_snapshot_if_due()?;
        for (document, waiter) in std::mem::take(&mut self.delayed) {
            self.replace(document, waiter)?;
        }
        Ok(())
    }

    fn apply(&mut self, index: u64, entry: &SharedEntry) {
        let command = match &entry.payload {
            Payload::Data(data) => Some(Command::decode(data)),
            Payload::Noop | Payload::Members(_) => None,
        };
        let outcome = match &command {
            Some(Ok(command)) => self.state.apply(index, command),
            Some(Err(error)) => {
                // All replicas skip the same bytes, so their states stay identical.
                self.state.advance_applied(index);
                let reason = format!("failed to decode the log entry: {error}");
                Outcome::Refused { reason }
            }
            None => {
                self.state.advance_applied(index);
                Outcome::Done {
                    version: self.state.version(),
                    changed: false,
                }
            }
        };
        if let Some(Ok(command)) = &command {
            self.log_rollout(command);
            self.update_endpoint_table(command);
        }
        self.complete_proposals(index, entry.term, &outcome);
        self.lead_if_ready(entry.term);
        if let Some(leader) = &mut self.leader {
            leader.mark_dirty();
        }
    }

    /// Logs a change of a rollout. Only the leader does so, so that each change is logged once per
    /// mesh.
    fn log_rollout(&self, command: &Command) {
        let Command::Rollout(command) = command else {
            return;
        };
        if self.raft_state != ReplicaState::Leader {
            return;
        }
        let Some(rollout) = self.state.rollouts().get(command.rollout) else {
            return;
        };
        tracing::info!(event = "rollout", %rollout, action = ?command.action,
            version = %self.state.version());
    }

    /// Updates the endpoint table of the leader with what an entry records about endpoints. A replica
    /// that begins to lead later takes that from the state.
    fn update_endpoint_table(&mut self, command: &Command) {
        let Some(leader) = &mut self.leader else {
            return;
        };
        match command {
            Command::Depart(batch) => leader.departures_committed(clock::now(), batch),
            Command::Drain { daemon, .. } | Command::EndDrain { daemon, .. } => {
                leader.drains_changed(daemon, self.state.drains());
            }
            _ => {}
        }
    }

    fn install_snapshot(&mut self, snapshot: &Snapshot) -> StorageResult {
        self.state = ControlState::decode(&snapshot.data).map_err(|error| codec_error(&error))?;
        self.state.advance_applied(snapshot.index);
        self.last_snapshot = snapshot.index;
        self.last_snapshot_bytes = snapshot.data.len();
        Ok(())
    }

    /// Saves a snapshot if applying the log after the last one takes long. The size of the log that
    /// is allowed grows with that of the state, so that snapshots are not a large part of the work.
    fn save_snapshot_if_due(&mut self) -> StorageResult {
        let applied = self.state.applied();
        let max_bytes = SNAPSHOT_BYTES.max(self.last_snapshot_bytes);
        let is_due = applied >= self.last_snapshot + SNAPSHOT_ENTRIES
            || self.raft.bytes_after_snapshot() >= max_bytes;
        if !is_due || applied == self.last_snapshot {
            return Ok(());
        }
        let data = self.state.encode().map_err(|error| codec_error(&error))?;
        let Some(snapshot) = self.raft.snapshot_at(applied, data) else {
            return Ok(());
        };
        let snapshot = Arc::new(snapshot);
        self.storage.save_snapshot(&snapshot)?;
        self.last_snapshot = applied;
        self.last_snapshot_bytes = snapshot.data.len();
        let outputs = self.raft.step(clock::now(), Input::SnapshotSaved(snapshot));
        self.execute(outputs)
    }

    /// Proposes a document with its differences from the document in force, which is known once
    /// all committed entries are applied.
    pub(super) fn replace(&mut self, document: Document, waiter: Waiter) -> StorageResult {
        if !self.unapplied.is_empty() {
            self.delayed.push((document, waiter));
            return Ok(());
        }
        let now = clock::unix_now();
        let replacement = self.state.documents().replacement(document, now);
        self.propose(&Command::Replace(replacement), waiter)
    }
}

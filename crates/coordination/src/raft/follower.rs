//! Handling of entries and snapshots from the leader at followers and learners.

use std::sync::Arc;

use sycamoreflow_state::ids::Millis;

use super::message::{AppendResult, Body, LogPosition};
use super::types::{Membership, Output, Payload, Peer, SharedEntry, Snapshot};
use super::{Raft, State};

/// Largest accepted snapshot in bytes.
const MAX_SNAPSHOT_BYTES: u64 = 256 * 1024 * 1024;

/// Metadata of a snapshot chunk.
#[derive(Debug, PartialEq)]
pub(super) struct ChunkHeader {
    pub(super) last: LogPosition,
    pub(super) members: Membership,
    pub(super) total: u64,
    pub(super) offset: u64,
}

/// A snapshot that is being received. Chunks of different leaders are never combined.
#[derive(Debug)]
pub(super) struct IncomingSnapshot {
    from: Peer,
    term: u64,
    last: LogPosition,
    total: u64,
    data: Vec<u8>,
}

impl Raft {
    pub(super) fn on_append(
        &mut self,
        peer: Peer,
        prev: LogPosition,
        entries: Vec<SharedEntry>,
        commit: u64,
        round: u64,
    ) {
        if !self.follow(&peer) || !is_contiguous(prev, &entries) {
            return;
        }
        let end = prev.index + entries.len() as u64;
        let is_heartbeat = entries.is_empty();
        let result = if end <= self.commit {
            // All sent entries are committed here already, so they equal the leader's log.
            AppendResult::Matched(self.commit)
        } else if prev.index >= self.commit && self.log.term_at(prev.index) != Some(prev.term) {
            let (term, index) = self.log.conflict_hint(prev.index);
            AppendResult::Conflict { term, index }
        } else {
            self.append_missing_entries(entries);
            self.commit_to(commit.min(end));
            AppendResult::Matched(end)
        };
        let prev = prev.index;
        if is_heartbeat {
            let result = self.limit_to_durable(result);
            let body = Body::AppendAnswer {
                prev,
                result,
                round,
            };
            self.send_to_peer(peer, body);
            return;
        }
        let body = Body::AppendAnswer {
            prev,
            result,
            round,
        };
        self.send_after_sync(peer, body);
    }

    /// Limits an acknowledgement to the entries that are already synced, so that it can be sent
    /// immediately. A leader whose followers' disks stall for seconds thus keeps its quorum.
    fn limit_to_durable(&self, result: AppendResult) -> AppendResult {
        match result {
            AppendResult::Matched(index) => {
                AppendResult::Matched(index.min(self.durability.durable_index()))
            }
            AppendResult::Conflict { .. } => result,
        }
    }

    /// Follows the sender as the leader of the current term. Returns false if this replica is the
    /// leader itself.
    fn follow(&mut self, peer: &Peer) -> bool {
        if matches!(self.state, State::Leader(_)) {
            return false;
        }
        self.become_follower(self.hard_state.term, Some(peer.id.clone()));
        self.last_leader_contact = self.now;
        true
    }

    /// Appends the entries that the log lacks, after removing conflicting ones.
    fn append_missing_entries(&mut self, entries: Vec<SharedEntry>) {
        for entry in entries {
            if entry.index <= self.commit || self.log.term_at(entry.index) == Some(entry.term) {
                continue;
            }
            if entry.index <= self.log.last().index {
                self.truncate_log_from(entry.index);
            }
            self.append_entry(entry);
        }
    }

    fn truncate_log_from(&mut self, index: u64) {
        self.log.truncate_from(index);
        self.durability.truncate_from(index);
        (self.members, self.members_index) = self.log.members_at(self.log.last().index);
    }

    pub(super) fn on_chunk(&mut self, peer: Peer, header: ChunkHeader, data: &[u8], round: u64) {
        if !self.follow(&peer) {
            return;
        }
        if header.last.index <= self.commit {
            self.acknowledge_snapshot(peer, self.commit, round);
            return;
        }
        let received = self.store_chunk(&peer, &header, data);
        if received < header.total {
            let body = Body::SnapshotAnswer {
                index: header.last.index,
                received,
                round,
            };
            self.send_to_peer(peer, body);
            return;
        }
        let Some(incoming) = self.incoming_snapshot.take() else {
            return;
        };
        self.install(Snapshot {
            index: header.last.index,
            term: header.last.term,
            members: header.members,
            data: incoming.data,
        });
        self.acknowledge_snapshot(peer, header.last.index, round);
    }

    fn acknowledge_snapshot(&mut self, peer: Peer, index: u64, round: u64) {
        let body = Body::AppendAnswer {
            prev: index,
            result: AppendResult::Matched(index),
            round,
        };
        self.send_after_sync(peer, body);
    }

    /// Stores a chunk and returns the number of bytes received so far without a gap.
    fn store_chunk(&mut self, peer: &Peer, header: &ChunkHeader, data: &[u8]) -> u64 {
        if header.total > MAX_SNAPSHOT_BYTES {
            return 0;
        }
        let continues = self.incoming_snapshot.as_ref().is_some_and(|incoming| {
            incoming.from == *peer
                && incoming.term == self.hard_state.term
                && incoming.last == header.last
                && incoming.total == header.total
        });
        if !continues {
            self.incoming_snapshot = None;
        }
        let incoming = self
            .incoming_snapshot
            .get_or_insert_with(|| IncomingSnapshot {
                from: peer.clone(),
                term: self.hard_state.term,
                last: header.last,
                total: header.total,
                data: Vec::new(),
            });
        let received = incoming.data.len() as u64;
        if header.offset == received && received + data.len() as u64 <= header.total {
            incoming.data.extend_from_slice(data);
        }
        incoming.data.len() as u64
    }

    fn install(&mut self, snapshot: Snapshot) {
        let snapshot = Arc::new(snapshot);
        // Only the entries committed before are known to be on disk and to equal the leader's log.
        self.durability.invalidate_after(self.commit);
        let keeps_rest = self.log.term_at(snapshot.index) == Some(snapshot.term);
        if !keeps_rest {
            self.durability.truncate_from(snapshot.index + 1);
        }
        self.commit = snapshot.index;
        self.log.install(snapshot.clone());
        (self.members, self.members_index) = self.log.members_at(self.log.last().index);
        self.durability.pending.snapshot = Some(snapshot.clone());
        self.outputs.push(Output::InstallSnapshot(snapshot));
        self.answer_waiting_reads();
    }

    /// Returns the time since the last message from a leader.
    pub(super) fn time_since_leader_contact(&self) -> Millis {
        self.now.since(self.last_leader_contact)
    }
}

/// Returns whether the entries follow `prev` without gaps, with terms that never decrease, and none
/// is larger than [`super::MAX_ENTRY_BYTES`].
fn is_contiguous(prev: LogPosition, entries: &[SharedEntry]) -> bool {
    let mut end = prev;
    for entry in entries {
        let next = end.index.checked_add(1) == Some(entry.index);
        let large =
            matches!(&entry.payload, Payload::Data(data) if data.len() > super::MAX_ENTRY_BYTES);
        if !next || entry.term < end.term || large {
            return false;
        }
        end = LogPosition {
            term: entry.term,
            index: entry.index,
        };
    }
    true
}

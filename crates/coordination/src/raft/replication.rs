//! Replicates the leader's log to the members.

use std::sync::Arc;

use sycamoreflow_state::ids::{DaemonId, Millis};

use super::log::position_of;
use super::message::{AppendResult, Body, LogPosition};
use super::types::{Incarnation, Peer, Snapshot};
use super::{Raft, State};

/// Maximum size of the entries in one message, in bytes. A single entry may be larger.
const MAX_APPEND_BYTES: usize = 512 * 1024;
/// Maximum number of entries in one message.
const MAX_APPEND_ENTRIES: usize = 256;
/// Limit on the number of entries that are sent but not acknowledged, checked before each message.
const MAX_IN_FLIGHT: u64 = 256;
/// Size of a snapshot chunk in bytes. Tests use small chunks, so that snapshots need several.
pub(super) const CHUNK_BYTES: usize = if cfg!(test) { 300 } else { 256 * 1024 };
/// Time after which an unanswered snapshot chunk is sent again.
const CHUNK_TIMEOUT: Millis = Millis(1000);

/// Replication state of a member.
#[derive(Debug)]
pub(super) struct Progress {
    pub(super) incarnation: Incarnation,
    /// Index up to which the member's log is known to equal the leader's and to be on disk.
    pub(super) matched: u64,
    /// Index of the next entry to send.
    next: u64,
    mode: Mode,
    /// Whether sending is paused until an answer or the next heartbeat round. Used only in
    /// [`Mode::Searching`].
    pub(super) paused: bool,
    pub(super) last_contact: Millis,
    pub(super) answered_round: u64,
}

#[derive(Debug)]
enum Mode {
    /// Searches for the last position at which the logs agree, one message at a time.
    Searching,
    /// Sends entries without waiting for earlier answers.
    Streaming,
    /// Sends a snapshot, one chunk at a time.
    Snapshot {
        snapshot: Arc<Snapshot>,
        offset: u64,
        /// Time at which the chunk at `offset` was sent, until it is answered.
        sent: Option<Millis>,
    },
}

impl Progress {
    pub(super) fn new(incarnation: Incarnation, next: u64, now: Millis) -> Self {
        Self {
            incarnation,
            matched: 0,
            next: next.max(1),
            mode: Mode::Searching,
            paused: false,
            last_contact: now,
            answered_round: 0,
        }
    }
}

impl Raft {
    pub(super) fn replicate_to_all(&mut self) {
        let State::Leader(state) = &self.state else {
            return;
        };
        let ids: Vec<DaemonId> = state.progress.keys().cloned().collect();
        for id in ids {
            self.replicate(&id, false);
        }
    }

    /// Sends the entries or snapshot chunks that the member lacks. With `heartbeat` it sends at
    /// least one message.
    pub(super) fn replicate(&mut self, id: &DaemonId, heartbeat: bool) {
        let mut send_empty = heartbeat;
        while let Some(body) = self.next_message(id, send_empty) {
            send_empty = false;
            self.send(id.clone(), body);
        }
    }

    fn next_message(&mut self, id: &DaemonId, send_empty: bool) -> Option<Body> {
        let last = self.log.last().index;
        let base = self.log.base();
        let now = self.now;
        let State::Leader(state) = &mut self.state else {
            return None;
        };
        let round = state.round;
        let progress = state.progress.get_mut(id)?;
        if progress.next <= base.index && !matches!(progress.mode, Mode::Snapshot { .. }) {
            progress.mode = Mode::Snapshot {
                snapshot: self.log.snapshot()?.clone(),
                offset: 0,
                sent: None,
            };
        }
        let mut max_entries = 0;
        match &mut progress.mode {
            Mode::Snapshot {
                snapshot,
                offset,
                sent,
            } => {
                if sent.is_some_and(|sent| now.since(sent) >= CHUNK_TIMEOUT) {
                    // A member that was unreachable receives the latest snapshot instead of the one
                    // that was current when sending started.
                    *sent = None;
                    let latest = self.log.snapshot()?;
                    if latest.index > snapshot.index {
                        *snapshot = latest.clone();
                        *offset = 0;
                    }
                }
                if sent.is_none() {
                    *sent = Some(now);
                    return Some(chunk(snapshot, *offset, round));
                }
                return send_empty.then_some(Body::Append {
                    prev: LogPosition::START,
                    entries: Vec::new(),
                    commit: 0,
                    round,
                });
            }
            Mode::Searching if progress.paused && !send_empty => return None,
            Mode::Searching => progress.paused = true,
            Mode::Streaming => {
                let in_flight = progress.next - progress.matched;
                if progress.next <= last && in_flight <= MAX_IN_FLIGHT {
                    max_entries = MAX_APPEND_ENTRIES;
                } else if !send_empty {
                    return None;
                }
            }
        }
        let index = progress.next - 1;
        let term = self.log.term_at(index)?;
        let entries = self.log.slice(progress.next, MAX_APPEND_BYTES, max_entries);
        progress.next += entries.len() as u64;
        Some(Body::Append {
            prev: LogPosition { term, index },
            entries,
            commit: self.commit,
            round,
        })
    }

    pub(super) fn on_append_answer(
        &mut self,
        peer: Peer,
        prev: u64,
        result: AppendResult,
        round: u64,
    ) {
        if !self.record_answer(&peer, round) {
            return;
        }
        match result {
            AppendResult::Matched(index) => self.on_matched(&peer, index),
            AppendResult::Conflict { term, index } => self.on_conflict(&peer, prev, term, index),
        }
        self.replicate(&peer.id, false);
        self.advance_commit();
        self.confirm_reads();
        self.continue_transfer();
    }

    /// Records an answer of the current term. Returns false if the peer is not a member.
    fn record_answer(&mut self, peer: &Peer, round: u64) -> bool {
        let now = self.now;
        let State::Leader(state) = &self.state else {
            return false;
        };
        let round = round.min(state.round);
        let Some(progress) = self.progress_mut(peer) else {
            return false;
        };
        progress.last_contact = now;
        progress.answered_round = progress.answered_round.max(round);
        true
    }

    fn on_matched(&mut self, peer: &Peer, index: u64) {
        let last = self.log.last().index;
        let Some(progress) = self.progress_mut(peer) else {
            return;
        };
        if index > last {
            return;
        }
        progress.matched = progress.matched.max(index);
        progress.next = progress.next.max(progress.matched + 1);
        match &progress.mode {
            Mode::Snapshot { snapshot, .. } if progress.matched < snapshot.index => return,
            Mode::Streaming => {}
            Mode::Searching | Mode::Snapshot { .. } => {
                progress.mode = Mode::Streaming;
                progress.next = progress.matched + 1;
            }
        }
        progress.paused = false;
    }

    fn on_conflict(&mut self, peer: &Peer, prev: u64, term: Option<u64>, index: u64) {
        let last_common = term.and_then(|term| self.log.last_of_term(term, prev));
        let Some(progress) = self.progress_mut(peer) else {
            return;
        };
        let outdated = prev <= progress.matched || prev >= progress.next;
        if outdated || matches!(progress.mode, Mode::Snapshot { .. }) {
            return;
        }
        // Skips all conflicting entries of a term that the leader does not have at once.
        let next = last_common
            .filter(|last_common| *last_common >= index)
            .map_or(index, |last_common| last_common + 1);
        progress.next = next.min(prev).max(progress.matched + 1);
        progress.mode = Mode::Searching;
        progress.paused = false;
    }

    pub(super) fn on_chunk_answer(&mut self, peer: Peer, index: u64, received: u64, round: u64) {
        if !self.record_answer(&peer, round) {
            return;
        }
        if let Some(progress) = self.progress_mut(&peer)
            && let Mode::Snapshot {
                snapshot,
                offset,
                sent,
            } = &mut progress.mode
            && snapshot.index == index
            && received <= snapshot.data.len() as u64
            && received != *offset
        {
            *offset = received;
            *sent = None;
        }
        self.replicate(&peer.id, false);
        self.confirm_reads();
    }
}

fn chunk(snapshot: &Snapshot, offset: u64, round: u64) -> Body {
    let start = usize::try_from(offset).unwrap_or(usize::MAX);
    let start = start.min(snapshot.data.len());
    let end = (start + CHUNK_BYTES).min(snapshot.data.len());
    Body::SnapshotChunk {
        last: position_of(snapshot),
        members: snapshot.members.clone(),
        total: snapshot.data.len() as u64,
        offset: start as u64,
        data: snapshot.data[start..end].to_vec(),
        round,
    }
}

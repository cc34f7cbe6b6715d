//! Tracks which writes are synced and holds back messages that depend on unsynced ones.

use std::collections::VecDeque;

use sycamoreflow_state::ids::DaemonId;

use super::message::Message;
use super::types::{Output, Write};

/// Maximum number of messages held back. If a disk hangs, the oldest messages are dropped. This is
/// safe, because links may lose messages as well.
const MAX_HELD_MESSAGES: usize = 4096;

#[derive(Debug)]
pub(super) struct Durability {
    /// Contents of the write that the current step will issue.
    pub(super) pending: Write,
    /// Messages of the current step that depend on its write and on all earlier ones.
    pub(super) outgoing: Vec<(DaemonId, Message)>,
    issued_seq: u64,
    synced_seq: u64,
    /// Sequence number of each unsynced write, with the index of the last log entry after it.
    log_ends: VecDeque<(u64, u64)>,
    held_messages: VecDeque<(u64, DaemonId, Message)>,
    durable_index: u64,
}

impl Durability {
    /// Creates the state for a log that is on disk up to and including `durable_index`.
    pub(super) fn new(durable_index: u64) -> Self {
        Self {
            pending: Write::default(),
            outgoing: Vec::new(),
            issued_seq: 0,
            synced_seq: 0,
            log_ends: VecDeque::new(),
            held_messages: VecDeque::new(),
            durable_index,
        }
    }

    /// Returns the index up to which the in-memory log is synced.
    pub(super) fn durable_index(&self) -> u64 {
        self.durable_index
    }

    /// Returns the sequence number of the write that the current step will issue.
    pub(super) fn next_write_seq(&self) -> u64 {
        self.issued_seq + 1
    }

    pub(super) fn is_synced(&self, seq: u64) -> bool {
        self.synced_seq >= seq
    }

    /// Removes the entries from `index` on from the log, including those already synced.
    pub(super) fn truncate_from(&mut self, index: u64) {
        self.invalidate_after(index - 1);
        self.pending.entries.retain(|entry| entry.index < index);
        let earlier = self.pending.truncate_from.unwrap_or(index);
        self.pending.truncate_from = Some(earlier.min(index));
    }

    /// Marks the entries after `index` as not durable, because those on disk no longer equal the
    /// in-memory log.
    pub(super) fn invalidate_after(&mut self, index: u64) {
        self.durable_index = self.durable_index.min(index);
        for (_, last) in &mut self.log_ends {
            *last = (*last).min(index);
        }
    }

    /// Ends a step: outputs its write, and its messages if all writes are synced.
    pub(super) fn finish(&mut self, last_index: u64, outputs: &mut Vec<Output>) {
        if !is_empty(&self.pending) {
            self.issued_seq += 1;
            let mut write = std::mem::take(&mut self.pending);
            write.seq = self.issued_seq;
            self.log_ends.push_back((self.issued_seq, last_index));
            outputs.insert(0, Output::Write(write));
        }
        for (to, message) in self.outgoing.drain(..) {
            if self.synced_seq >= self.issued_seq {
                outputs.push(Output::Send { to, message });
                continue;
            }
            if self.held_messages.len() >= MAX_HELD_MESSAGES {
                self.held_messages.pop_front();
            }
            self.held_messages.push_back((self.issued_seq, to, message));
        }
    }

    /// Records that the writes up to `seq` are synced, and releases the messages that depend on
    /// them.
    pub(super) fn on_synced(&mut self, seq: u64, outputs: &mut Vec<Output>) {
        self.synced_seq = self.synced_seq.max(seq.min(self.issued_seq));
        while let Some((write_seq, last)) = self.log_ends.front().copied() {
            if write_seq > self.synced_seq {
                break;
            }
            self.durable_index = last;
            self.log_ends.pop_front();
        }
        while self
            .held_messages
            .front()
            .is_some_and(|held| held.0 <= self.synced_seq)
        {
            if let Some((_, to, message)) = self.held_messages.pop_front() {
                outputs.push(Output::Send { to, message });
            }
        }
    }
}

fn is_empty(write: &Write) -> bool {
    write.hard_state.is_none()
        && write.truncate_from.is_none()
        && write.snapshot.is_none()
        && write.entries.is_empty()
}

//! Keeps account of what is on disk and holds back messages until their writes are synced.

use std::collections::VecDeque;

use sycamoreflow_state::ids::DaemonId;

use super::message::Message;
use super::types::{Output, Write};

/// Messages held back at most. If a disk hangs, the oldest ones are dropped, as a link may do.
const MAX_HELD_MESSAGES: usize = 4096;

#[derive(Debug)]
pub(super) struct Durability {
    /// The write of the current step.
    pub(super) pending: Write,
    /// Messages of the current step that wait for it and for all earlier writes.
    pub(super) outgoing: Vec<(DaemonId, Message)>,
    issued_seq: u64,
    synced_seq: u64,
    /// End of the log after each write that is not synced yet.
    log_ends: VecDeque<(u64, u64)>,
    held_messages: VecDeque<(u64, DaemonId, Message)>,
    durable_index: u64,
}

impl Durability {
    /// Starts with the log on disk up to and including `durable_index`.
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

    /// Returns the index up to which the log in memory is synced.
    pub(super) fn durable_index(&self) -> u64 {
        self.durable_index
    }

    /// Returns the number of the write that the current step will issue.
    pub(super) fn next_write_seq(&self) -> u64 {
        self.issued_seq + 1
    }

    pub(super) fn is_synced(&self, seq: u64) -> bool {
        self.synced_seq >= seq
    }

    /// Entries from `index` on are no longer part of the log, whatever was synced.
    pub(super) fn truncate_from(&mut self, index: u64) {
        self.invalidate_after(index - 1);
        self.pending.entries.retain(|entry| entry.index < index);
        let earlier = self.pending.truncate_from.unwrap_or(index);
        self.pending.truncate_from = Some(earlier.min(index));
    }

    /// What is on disk after `index` no longer equals the log in memory.
    pub(super) fn invalidate_after(&mut self, index: u64) {
        self.durable_index = self.durable_index.min(index);
        for (_, last) in &mut self.log_ends {
            *last = (*last).min(index);
        }
    }

    /// Ends a step: returns its write, and its messages if nothing is left to sync.
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

    /// Notes that the writes up to `seq` are synced and releases the messages that waited.
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

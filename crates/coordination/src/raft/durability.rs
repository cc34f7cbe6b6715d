//! Keeps account of what is on disk and holds back messages until their writes are synced.

use std::collections::VecDeque;

use sycamoreflow_state::ids::DaemonId;

use super::message::Message;
use super::types::{Output, Write};

/// Messages held back at most. If a disk hangs, the oldest ones are dropped, as a link may do.
const MAX_HELD: usize = 4096;

#[derive(Debug)]
pub(super) struct Durability {
    /// The write of the current step.
    pub(super) pending: Write,
    /// Messages of the current step that wait for it and for all earlier writes.
    pub(super) outgoing: Vec<(DaemonId, Message)>,
    issued: u64,
    synced: u64,
    /// End of the log after each write that is not synced yet.
    ends: VecDeque<(u64, u64)>,
    held: VecDeque<(u64, DaemonId, Message)>,
    durable: u64,
}

impl Durability {
    /// Starts with the log on disk up to and including `durable`.
    pub(super) fn new(durable: u64) -> Self {
        Self {
            pending: Write::default(),
            outgoing: Vec::new(),
            issued: 0,
            synced: 0,
            ends: VecDeque::new(),
            held: VecDeque::new(),
            durable,
        }
    }

    /// Returns the index up to which the log in memory is synced.
    pub(super) fn durable(&self) -> u64 {
        self.durable
    }

    /// Returns the number of the write that the current step will issue.
    pub(super) fn upcoming(&self) -> u64 {
        self.issued + 1
    }

    pub(super) fn is_synced(&self, seq: u64) -> bool {
        self.synced >= seq
    }

    /// Entries from `index` on are no longer part of the log, whatever was synced.
    pub(super) fn truncate_from(&mut self, index: u64) {
        self.forget_after(index - 1);
        self.pending.entries.retain(|entry| entry.index < index);
        let earlier = self.pending.truncate_from.unwrap_or(index);
        self.pending.truncate_from = Some(earlier.min(index));
    }

    /// What is on disk after `index` no longer equals the log in memory.
    pub(super) fn forget_after(&mut self, index: u64) {
        self.durable = self.durable.min(index);
        for (_, last) in &mut self.ends {
            *last = (*last).min(index);
        }
    }

    /// Ends a step: returns its write, and its messages if nothing is left to sync.
    pub(super) fn finish(&mut self, last_index: u64, outputs: &mut Vec<Output>) {
        if !is_empty(&self.pending) {
            self.issued += 1;
            let mut write = std::mem::take(&mut self.pending);
            write.seq = self.issued;
            self.ends.push_back((self.issued, last_index));
            outputs.insert(0, Output::Write(write));
        }
        for (to, message) in self.outgoing.drain(..) {
            if self.synced >= self.issued {
                outputs.push(Output::Send { to, message });
                continue;
            }
            if self.held.len() >= MAX_HELD {
                self.held.pop_front();
            }
            self.held.push_back((self.issued, to, message));
        }
    }

    /// Notes that the writes up to `seq` are synced and releases the messages that waited.
    pub(super) fn on_synced(&mut self, seq: u64, outputs: &mut Vec<Output>) {
        self.synced = self.synced.max(seq.min(self.issued));
        while let Some((number, last)) = self.ends.front().copied() {
            if number > self.synced {
                break;
            }
            self.durable = last;
            self.ends.pop_front();
        }
        while self.held.front().is_some_and(|held| held.0 <= self.synced) {
            if let Some((_, to, message)) = self.held.pop_front() {
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

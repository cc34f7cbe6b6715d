//! The in-memory part of the log.

use std::collections::VecDeque;
use std::sync::Arc;

use super::message::LogPosition;
use super::types::{LogState, Membership, Payload, SharedEntry, Snapshot};

/// Number of entries before the end of a snapshot that are kept, so that a replica that is only
/// slightly behind does not need the snapshot.
const TRAILING_ENTRIES: u64 = if cfg!(test) { 4 } else { 512 };
/// Maximum size of these entries in bytes.
const TRAILING_BYTES: usize = 4 * 1024 * 1024;

/// Entries after `base`, without gaps, and the latest snapshot.
///
/// Invariant: `base` is at or before the end of the snapshot, so every entry is either kept or
/// covered by the snapshot.
#[derive(Debug)]
pub(super) struct Log {
    base: LogPosition,
    entries: VecDeque<SharedEntry>,
    bytes: usize,
    snapshot: Option<Arc<Snapshot>>,
}

impl Log {
    pub(super) fn new(state: LogState) -> Self {
        let base = state
            .snapshot
            .as_deref()
            .map_or(LogPosition::START, position_of);
        let mut log = Self {
            base,
            entries: VecDeque::new(),
            bytes: 0,
            snapshot: state.snapshot,
        };
        for entry in state.entries {
            if entry.index == log.last().index + 1 {
                log.append(entry);
            }
        }
        log
    }

    pub(super) fn is_empty(&self) -> bool {
        self.last() == LogPosition::START
    }

    /// Returns the size in bytes of the entries after the snapshot.
    pub(super) fn bytes_after_snapshot(&self) -> usize {
        let from = self.snapshot.as_ref().map_or(0, |snapshot| snapshot.index) + 1;
        let covered = self.entries.iter().take_while(|entry| entry.index < from);
        let covered_bytes: usize = covered.map(|entry| entry.payload.bytes()).sum();
        self.bytes - covered_bytes
    }

    pub(super) fn snapshot(&self) -> Option<&Arc<Snapshot>> {
        self.snapshot.as_ref()
    }

    pub(super) fn base(&self) -> LogPosition {
        self.base
    }

    pub(super) fn last(&self) -> LogPosition {
        let Some(entry) = self.entries.back() else {
            return self.base;
        };
        LogPosition {
            term: entry.term,
            index: entry.index,
        }
    }

    pub(super) fn get(&self, index: u64) -> Option<&SharedEntry> {
        let offset = index.checked_sub(self.base.index + 1)?;
        self.entries.get(usize::try_from(offset).ok()?)
    }

    /// Returns the term of the entry, or `None` if the entry is neither in memory nor at `base`.
    pub(super) fn term_at(&self, index: u64) -> Option<u64> {
        if index == self.base.index {
            return Some(self.base.term);
        }
        self.get(index).map(|entry| entry.term)
    }

    /// Returns entries starting at index `from`: at most `max_entries`, and at most `max_bytes`
    /// unless the first entry alone is larger.
    pub(super) fn slice(
        &self,
        from: u64,
        max_bytes: usize,
        max_entries: usize,
    ) -> Vec<SharedEntry> {
        let mut entries = Vec::new();
        let mut bytes = 0;
        let mut index = from;
        while let Some(entry) = self.get(index) {
            bytes += entry.payload.bytes();
            if entries.len() >= max_entries || (!entries.is_empty() && bytes > max_bytes) {
                break;
            }
            entries.push(entry.clone());
            index += 1;
        }
        entries
    }

    pub(super) fn append(&mut self, entry: SharedEntry) {
        debug_assert_eq!(entry.index, self.last().index + 1);
        self.bytes += entry.payload.bytes();
        self.entries.push_back(entry);
    }

    pub(super) fn truncate_from(&mut self, index: u64) {
        while self
            .entries
            .back()
            .is_some_and(|entry| entry.index >= index)
        {
            let removed = self.entries.pop_back();
            self.bytes -= removed.map_or(0, |entry| entry.payload.bytes());
        }
    }

    /// Adopts a snapshot of the local state machine and drops old entries that it covers.
    pub(super) fn compact(&mut self, snapshot: Arc<Snapshot>) {
        let end = snapshot.index;
        self.snapshot = Some(snapshot);
        let mut covered_bytes = self.bytes - self.bytes_after_snapshot();
        while let Some(entry) = self.entries.front() {
            let droppable = entry.index + TRAILING_ENTRIES <= end || covered_bytes > TRAILING_BYTES;
            if entry.index > end || !droppable {
                break;
            }
            let bytes = entry.payload.bytes();
            self.base = LogPosition {
                term: entry.term,
                index: entry.index,
            };
            covered_bytes -= bytes.min(covered_bytes);
            self.bytes -= bytes;
            self.entries.pop_front();
        }
    }

    /// Adopts a snapshot received from the leader. Entries after it are kept if the log contains
    /// its last entry; otherwise all entries are dropped.
    pub(super) fn install(&mut self, snapshot: Arc<Snapshot>) {
        let end = position_of(&snapshot);
        if self.term_at(end.index) != Some(end.term) {
            self.entries.clear();
            self.bytes = 0;
            self.base = end;
        }
        self.compact(snapshot);
    }

    /// Returns the term at `index` and the first index of that term, as the contents of
    /// [`AppendResult::Conflict`](super::message::AppendResult::Conflict).
    pub(super) fn conflict_hint(&self, index: u64) -> (Option<u64>, u64) {
        let Some(term) = self.term_at(index) else {
            return (None, self.last().index + 1);
        };
        let mut first = index;
        while first > self.base.index + 1 && self.term_at(first - 1) == Some(term) {
            first -= 1;
        }
        (Some(term), first)
    }

    /// Returns the last index at or before `from` whose entry is of `term`.
    pub(super) fn last_of_term(&self, term: u64, from: u64) -> Option<u64> {
        let mut index = from.min(self.last().index);
        while self.term_at(index)? > term {
            index = index.checked_sub(1)?;
        }
        (self.term_at(index)? == term).then_some(index)
    }

    /// Returns the membership as of `index` and the index of its entry, which is 0 if it comes from
    /// the snapshot or there is none.
    pub(super) fn members_at(&self, index: u64) -> (Membership, u64) {
        for entry in self.entries.iter().rev() {
            if entry.index > index {
                continue;
            }
            if let Payload::Members(members) = &entry.payload {
                return (members.clone(), entry.index);
            }
        }
        let snapshot = self.snapshot.as_ref();
        (snapshot.map(|s| s.members.clone()).unwrap_or_default(), 0)
    }
}

/// Returns the position of the last entry of a snapshot.
pub(super) fn position_of(snapshot: &Snapshot) -> LogPosition {
    LogPosition {
        term: snapshot.term,
        index: snapshot.index,
    }
}

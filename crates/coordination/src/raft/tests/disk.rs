//! A simulated disk whose writes become durable with a delay or are lost in a crash.

use std::collections::VecDeque;
use std::sync::Arc;

use sycamoreflow_state::ids::Millis;

use crate::raft::{HardState, Incarnation, LogState, SharedEntry, Snapshot, Write};

pub(super) enum Operation {
    Write(Write),
    Save(Arc<Snapshot>),
}

pub(super) struct Disk {
    pub(super) hard_state: HardState,
    snapshot: Option<Arc<Snapshot>>,
    entries: Vec<SharedEntry>,
    queue: VecDeque<(Millis, Operation)>,
}

impl Disk {
    pub(super) fn new(incarnation: u64) -> Self {
        let incarnation = Incarnation(incarnation);
        Self {
            hard_state: HardState {
                incarnation,
                ..HardState::default()
            },
            snapshot: None,
            entries: Vec::new(),
            queue: VecDeque::new(),
        }
    }

    pub(super) fn state(&self) -> LogState {
        LogState {
            snapshot: self.snapshot.clone(),
            entries: self.entries.clone(),
        }
    }

    pub(super) fn submit(&mut self, due: Millis, operation: Operation) {
        let earliest = self.queue.back().map_or(due, |(last, _)| due.max(*last));
        self.queue.push_back((earliest, operation));
    }

    pub(super) fn next_done(&mut self, now: Millis) -> Option<Operation> {
        if self.queue.front().is_none_or(|(due, _)| *due > now) {
            return None;
        }
        let (_, operation) = self.queue.pop_front()?;
        match &operation {
            Operation::Write(write) => self.execute(write, usize::MAX),
            Operation::Save(snapshot) => self.save(snapshot.clone()),
        }
        Some(operation)
    }

    /// Drops the unsynced operations, except for their first `parts` parts.
    pub(super) fn crash(&mut self, parts: usize) {
        let mut left = parts;
        while let Some((_, operation)) = self.queue.pop_front() {
            if left == 0 {
                continue;
            }
            match &operation {
                Operation::Write(write) => self.execute(write, left),
                Operation::Save(snapshot) => self.save(snapshot.clone()),
            }
            left = left.saturating_sub(4);
        }
    }

    /// Executes the first `parts` parts of a write, in the order in which storage executes them.
    fn execute(&mut self, write: &Write, parts: usize) {
        if let Some(hard_state) = &write.hard_state {
            self.hard_state = hard_state.clone();
        }
        if let Some(from) = write.truncate_from.filter(|_| parts > 1) {
            self.entries.retain(|entry| entry.index < from);
        }
        if let Some(snapshot) = write.snapshot.as_ref().filter(|_| parts > 2) {
            self.save(snapshot.clone());
        }
        if parts <= 3 && write.snapshot.is_some() {
            return;
        }
        for entry in write.entries.iter().take(parts.saturating_sub(2)) {
            let snapshot_end = self.snapshot.as_ref().map_or(0, |snapshot| snapshot.index);
            let last = self
                .entries
                .last()
                .map_or(snapshot_end, |entry| entry.index);
            assert_eq!(entry.index, last + 1, "a write must continue the log");
            self.entries.push(entry.clone());
        }
    }

    fn save(&mut self, snapshot: Arc<Snapshot>) {
        if self
            .snapshot
            .as_ref()
            .is_some_and(|old| old.index >= snapshot.index)
        {
            return;
        }
        self.entries.retain(|entry| entry.index > snapshot.index);
        self.snapshot = Some(snapshot);
    }
}

//! Tests that simulate a crash at each file operation.

use std::sync::{Arc, Mutex};

use super::power::Disk;
use super::*;

/// Returns the writes that the crash tests execute, in order.
fn write_sequence() -> Vec<Write> {
    let vote = |term, write| Write {
        hard_state: Some(hard_state(term)),
        ..write
    };
    vec![
        vote(1, append(1, 3, 1)),
        append(4, 20, 1),
        vote(2, Write::default()),
        Write {
            truncate_from: Some(9),
            ..append(9, 14, 2)
        },
        append(15, 15, 2),
        Write {
            truncate_from: Some(13),
            snapshot: Some(Arc::new(snapshot(12, 2))),
            ..append(13, 30, 3)
        },
        vote(4, append(31, 33, 4)),
    ]
}

/// Expected persistent state of a replica, as the raft module expects it.
#[derive(Clone, Debug, Default, PartialEq)]
struct Model {
    hard_state: Option<HardState>,
    snapshot: u64,
    entries: Vec<(u64, u64)>,
}

impl Model {
    fn apply(&mut self, write: &Write) {
        if write.hard_state.is_some() {
            self.hard_state = write.hard_state.clone();
        }
        if let Some(from) = write.truncate_from {
            self.entries.retain(|(index, _)| *index < from);
        }
        if let Some(snapshot) = &write.snapshot {
            self.snapshot = snapshot.index;
        }
        let new = write.entries.iter().map(|entry| (entry.index, entry.term));
        self.entries.extend(new);
        let snapshot = self.snapshot;
        self.entries.retain(|(index, _)| *index > snapshot);
    }

    fn of(opened: &Opened) -> Self {
        let hard_state = Some(opened.hard_state.clone());
        Self {
            hard_state: hard_state.filter(|hard_state| hard_state.term > 0),
            snapshot: opened.log.snapshot.as_ref().map_or(0, |s| s.index),
            entries: indices(&opened.log),
        }
    }

    /// Returns whether `self` is `before` with none, a part or all of `write` applied.
    fn is_between(&self, before: &Self, write: &Write) -> bool {
        let mut after = before.clone();
        after.apply(write);
        let hard_state = [&before.hard_state, &after.hard_state];
        if !hard_state.contains(&&self.hard_state) {
            return false;
        }
        let mut base = before.clone();
        base.apply(&Write {
            entries: Vec::new(),
            ..write.clone()
        });
        let is_prefix_of = |of: &Self| of.entries.starts_with(&self.entries);
        let extends = |of: &Self| self.entries.starts_with(&of.entries);
        let grown = self.snapshot == after.snapshot && is_prefix_of(&after) && extends(&base);
        // A truncation removes whole segments first, and never entries before the truncated ones.
        let mut kept = before.clone();
        kept.apply(&Write {
            truncate_from: write.truncate_from,
            ..Write::default()
        });
        let shrunk = self.snapshot == before.snapshot && is_prefix_of(before) && extends(&kept);
        grown || shrunk
    }
}

#[derive(Clone, Copy, Debug)]
enum Crash {
    /// The process stops, and the kernel keeps all data that was written.
    Process,
    /// The power fails, and only synced data remains.
    Power,
}

/// Executes the writes with a crash after `stop` file operations, then checks the reopened folder.
/// The operation after them fails; if it is a write, it first writes `written` bytes. Returns
/// whether there was an operation to fail.
fn crash_at(stop: usize, written: usize, crash: Crash) -> bool {
    let folder = TempDir::new().unwrap();
    let disk = Arc::new(Mutex::new(Disk::new(folder.path())));
    let mut count = 0;
    let recorder = disk.clone();
    let files = Files::with_hook(Box::new(move |operation, path| {
        count += 1;
        if count <= stop {
            recorder.lock().unwrap().record(operation, path);
            return InjectedFault::None;
        }
        match operation {
            Operation::Write(bytes) if count == stop + 1 => {
                InjectedFault::ShortWrite(written.min(bytes))
            }
            _ => InjectedFault::Fail,
        }
    }));
    let mut model = Model::default();
    let mut interrupted = Write::default();
    let mut failed = true;
    if let Ok(opened) = Storage::open(folder.path(), Incarnation(7), files) {
        let mut storage = with_short_segments(opened).storage;
        failed = false;
        for write in write_sequence() {
            if storage.execute(std::slice::from_ref(&write)).is_err() {
                interrupted = write;
                failed = true;
                assert!(matches!(storage.execute(&[]), Err(StorageError::Poisoned)));
                break;
            }
            model.apply(&write);
        }
    }
    if matches!(crash, Crash::Power) {
        disk.lock().unwrap().simulate_power_loss();
    }
    let opened = open(folder.path()).unwrap();
    let found = Model::of(&opened);
    assert!(
        found.is_between(&model, &interrupted),
        "stop at {stop}: {found:?} after {model:?} and {interrupted:?}"
    );
    continue_after(opened, folder.path());
    failed
}

/// Checks that the folder is usable after the crash.
fn continue_after(opened: Opened, folder: &Path) {
    let mut model = Model::of(&opened);
    let next = model.entries.last().map_or(model.snapshot, |last| last.0) + 1;
    let write = append(next, next + 2, 9);
    let mut storage = opened.storage;
    storage.execute(std::slice::from_ref(&write)).unwrap();
    drop(storage);
    model.apply(&write);
    assert_eq!(Model::of(&open(folder).unwrap()), model);
}

/// Guards against losing acknowledged writes in a crash, and against folders that cannot be opened
/// after one.
#[rstest]
#[case::process(Crash::Process)]
#[case::power(Crash::Power)]
fn execute_crash_anywhere(#[case] crash: Crash) {
    for written in [0, 1, 30] {
        let mut stop = 0;
        while crash_at(stop, written, crash) {
            stop += 1;
        }
        assert!(stop > 80, "only {stop} operations");
    }
}

/// Guards against acknowledging writes after a file operation has failed, even if later operations
/// would succeed.
#[rstest]
#[case::write(|operation| matches!(operation, Operation::Write(_)))]
#[case::sync(|operation| operation == Operation::Sync)]
#[case::rename(|operation| operation == Operation::Rename)]
#[case::folder(|operation| operation == Operation::SyncFolder)]
fn execute_after_failure(#[case] fails: fn(Operation) -> bool) {
    let folder = TempDir::new().unwrap();
    drop(open(folder.path()).unwrap());
    let enabled = Arc::new(Mutex::new(false));
    let switch = enabled.clone();
    let files = Files::with_hook(Box::new(move |operation, _| {
        if *switch.lock().unwrap() && fails(operation) {
            return InjectedFault::Fail;
        }
        InjectedFault::None
    }));
    let opened = Storage::open(folder.path(), Incarnation(7), files).unwrap();
    let mut storage = with_short_segments(opened).storage;
    storage.execute(&[append(1, 3, 1)]).unwrap();
    *enabled.lock().unwrap() = true;
    let write = Write {
        hard_state: Some(hard_state(1)),
        ..append(4, 4, 1)
    };
    assert!(matches!(
        storage.execute(&[write]),
        Err(StorageError::Io { .. })
    ));
    *enabled.lock().unwrap() = false;
    for _ in 0..2 {
        let result = storage.execute(&[append(4, 4, 1)]);
        assert!(matches!(result, Err(StorageError::Poisoned)));
        let result = storage.save_snapshot(&snapshot(2, 1));
        assert!(matches!(result, Err(StorageError::Poisoned)));
    }
}

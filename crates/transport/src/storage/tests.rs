#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

mod crash;
mod damage;
mod power;

use std::collections::BTreeMap;
use std::os::unix::fs::PermissionsExt;
use std::path::Path;
use std::sync::Arc;

use rstest::rstest;
use sycamoreflow_coordination::raft::{
    Entry, GroupId, Member, Membership, Payload, Peer, Role, SharedEntry,
};
use tempfile::TempDir;

use super::*;

/// Returns an entry whose payload depends on its index and term.
fn entry(index: u64, term: u64) -> SharedEntry {
    let data = format!("entry {index} of term {term}").into_bytes();
    let payload = Payload::Data(data);
    Arc::new(Entry {
        index,
        term,
        payload,
    })
}

fn entries(from: u64, to: u64, term: u64) -> Vec<SharedEntry> {
    (from..=to).map(|index| entry(index, term)).collect()
}

fn append(from: u64, to: u64, term: u64) -> Write {
    Write {
        entries: entries(from, to, term),
        ..Write::default()
    }
}

fn hard_state(term: u64) -> HardState {
    let incarnation = Incarnation(7);
    let id = "b".into();
    let vote = Some(Peer { id, incarnation });
    HardState {
        term,
        vote,
        incarnation,
    }
}

fn snapshot(index: u64, term: u64) -> Snapshot {
    let incarnation = Incarnation(7);
    let role = Role::Voter;
    let member = Member { incarnation, role };
    Snapshot {
        index,
        term,
        members: Membership {
            group: GroupId(7),
            members: BTreeMap::from([("a".into(), member)]),
        },
        data: vec![1, 2, 3],
    }
}

fn open(folder: &Path) -> Result<Opened> {
    let opened = Storage::open(folder, Incarnation(7), Files::default());
    opened.map(with_short_segments)
}

fn with_short_segments(mut opened: Opened) -> Opened {
    opened.storage.segments.set_segment_bytes(200);
    opened
}

fn indices(log: &LogState) -> Vec<(u64, u64)> {
    let pairs = log.entries.iter();
    pairs.map(|entry| (entry.index, entry.term)).collect()
}

fn pairs(from: u64, to: u64, term: u64) -> Vec<(u64, u64)> {
    (from..=to).map(|index| (index, term)).collect()
}

/// Guards against losing hard state, snapshot or entries when the storage is closed and reopened.
#[test]
fn open_after_stop() {
    let folder = TempDir::new().unwrap();
    let mut storage = open(folder.path()).unwrap().storage;
    let vote = Write {
        hard_state: Some(hard_state(3)),
        ..append(1, 9, 2)
    };
    storage.execute(&[vote, append(10, 12, 3)]).unwrap();
    storage.save_snapshot(&snapshot(5, 2)).unwrap();
    drop(storage);
    let opened = open(folder.path()).unwrap();
    assert_eq!(opened.hard_state, hard_state(3));
    assert_eq!(opened.log.snapshot.as_deref(), Some(&snapshot(5, 2)));
    let mut expected = pairs(6, 9, 2);
    expected.extend(pairs(10, 12, 3));
    assert_eq!(indices(&opened.log), expected);
    assert_eq!(opened.truncated_bytes, 0);
}

/// Guards against a log or a snapshot with keys of client accounts that other users can read.
#[test]
fn open_files_private() {
    let folder = TempDir::new().unwrap();
    let mut storage = open(folder.path()).unwrap().storage;
    storage.execute(&[append(1, 12, 1)]).unwrap();
    storage.save_snapshot(&snapshot(5, 1)).unwrap();
    let mut checked = 0;
    for entry in fs::read_dir(folder.path()).unwrap() {
        let metadata = entry.unwrap().metadata().unwrap();
        if metadata.len() > 0 {
            assert_eq!(metadata.permissions().mode() & 0o077, 0);
            checked += 1;
        }
    }
    assert!(checked > 2, "{checked} files");
}

/// Guards against truncated entries, which a former leader wrote, that reappear after a restart.
#[rstest]
#[case::inside_a_segment(8)]
#[case::whole_log(1)]
#[case::nothing(13)]
fn execute_truncation(#[case] from: u64) {
    let folder = TempDir::new().unwrap();
    let mut storage = open(folder.path()).unwrap().storage;
    storage.execute(&[append(1, 12, 1)]).unwrap();
    let conflict = Write {
        truncate_from: Some(from),
        ..append(from, from + 1, 2)
    };
    storage.execute(&[conflict]).unwrap();
    drop(storage);
    let mut expected = pairs(1, from - 1, 1);
    expected.extend(pairs(from, from + 1, 2));
    assert_eq!(indices(&open(folder.path()).unwrap().log), expected);
}

/// Guards against keeping entries that a received snapshot covers, and against a gap between the
/// snapshot and the log.
#[rstest]
#[case::beyond_the_log(20, None, vec![])]
#[case::at_the_end(12, None, vec![])]
#[case::inside(6, None, pairs(7, 12, 1))]
#[case::conflicting(6, Some(7), vec![])]
fn execute_snapshot(
    #[case] index: u64,
    #[case] truncate_from: Option<u64>,
    #[case] rest: Vec<(u64, u64)>,
) {
    let folder = TempDir::new().unwrap();
    let mut storage = open(folder.path()).unwrap().storage;
    storage.execute(&[append(1, 12, 1)]).unwrap();
    let install = Write {
        truncate_from,
        snapshot: Some(Arc::new(snapshot(index, 2))),
        ..Write::default()
    };
    storage.execute(&[install]).unwrap();
    let next = index + 1 + rest.len() as u64;
    storage.execute(&[append(next, next + 1, 3)]).unwrap();
    drop(storage);
    let opened = open(folder.path()).unwrap();
    let mut expected = rest;
    expected.extend(pairs(next, next + 1, 3));
    assert_eq!(indices(&opened.log), expected);
    assert_eq!(opened.log.snapshot.as_deref(), Some(&snapshot(index, 2)));
}

/// Guards against a log that grows without limit because a snapshot removes no segments.
#[test]
fn save_snapshot_removes_segments() {
    let folder = TempDir::new().unwrap();
    let mut storage = open(folder.path()).unwrap().storage;
    storage.execute(&[append(1, 100, 1)]).unwrap();
    let count = || fs::read_dir(folder.path()).unwrap().count();
    let before = count();
    storage.save_snapshot(&snapshot(99, 1)).unwrap();
    assert!(before > 20);
    assert_eq!(count(), 5);
}

/// Guards against refusing entries that are written after a snapshot that covers them was saved.
#[test]
fn execute_after_snapshot() {
    let folder = TempDir::new().unwrap();
    let mut storage = open(folder.path()).unwrap().storage;
    storage.execute(&[append(1, 4, 1)]).unwrap();
    storage.save_snapshot(&snapshot(6, 1)).unwrap();
    storage
        .execute(&[append(5, 6, 1), append(7, 9, 1)])
        .unwrap();
    drop(storage);
    assert_eq!(indices(&open(folder.path()).unwrap().log), pairs(7, 9, 1));
}

/// Guards against opening a data folder that is already in use.
#[test]
fn open_twice() {
    let folder = TempDir::new().unwrap();
    let first = open(folder.path()).unwrap();
    assert!(matches!(
        open(folder.path()),
        Err(StorageError::Locked { .. })
    ));
    drop(first);
    assert!(open(folder.path()).is_ok());
}

/// Guards against an incarnation that changes when the data folder is reopened.
#[test]
fn open_keeps_incarnation() {
    let folder = TempDir::new().unwrap();
    drop(open(folder.path()).unwrap());
    let opened = Storage::open(folder.path(), Incarnation(8), Files::default()).unwrap();
    assert_eq!(opened.hard_state.incarnation, Incarnation(7));
}

/// Guards against using a folder that has files of another program, was written by a newer release
/// or has no format file.
#[rstest]
#[case::other_file("notes.txt", "x", "does not belong")]
#[case::other_format("format", "something", "does not belong")]
#[case::newer_format("format", "sycamoreflow data folder, version 2\n", "newer release")]
#[case::log_without_format("log-00000000000000000001", "", "is missing")]
fn open_foreign_folder(#[case] name: &str, #[case] content: &str, #[case] message: &str) {
    let folder = TempDir::new().unwrap();
    fs::write(folder.path().join(name), content).unwrap();
    let error = open(folder.path()).unwrap_err().to_string();
    assert!(error.contains(message), "{error}");
}

/// Guards against accepting a data folder as empty or complete when a file is missing.
#[rstest]
#[case::hard_state("hard-state")]
#[case::snapshot("snapshot")]
#[case::segment("log-00000000000000000011")]
fn open_missing_file(#[case] name: &str) {
    let folder = TempDir::new().unwrap();
    let mut storage = open(folder.path()).unwrap().storage;
    storage.execute(&[append(1, 10, 1)]).unwrap();
    storage.save_snapshot(&snapshot(10, 1)).unwrap();
    storage.execute(&[append(11, 40, 1)]).unwrap();
    drop(storage);
    fs::remove_file(folder.path().join(name)).unwrap();
    let error = open(folder.path()).unwrap_err();
    assert!(matches!(error, StorageError::Damaged { .. }), "{error}");
    assert!(error.to_string().contains("repaired from the others"));
}

/// Guards against writing an entry whose index leaves a gap in the log.
#[test]
fn execute_out_of_order() {
    let folder = TempDir::new().unwrap();
    let mut storage = open(folder.path()).unwrap().storage;
    storage.execute(&[append(1, 2, 1)]).unwrap();
    let error = storage.execute(&[append(4, 5, 1)]).unwrap_err();
    assert_eq!(error.to_string(), "entry 4 does not follow entry 2");
    assert!(matches!(
        storage.execute(&[append(3, 3, 1)]),
        Err(StorageError::Poisoned)
    ));
}

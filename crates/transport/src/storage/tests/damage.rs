//! Tests with changed bytes in the files of the data folder, and with files truncated at each
//! offset.

use proptest::prelude::*;

use super::*;
use crate::storage::record::{self, Record};

const LAST_SEGMENT: &str = "log-00000000000000000001";

/// Returns a folder with one segment that was written and synced in several steps.
fn synced_folder() -> TempDir {
    let folder = TempDir::new().unwrap();
    let opened = Storage::open(folder.path(), Incarnation(7), Files::default());
    let mut storage = opened.unwrap().storage;
    storage
        .execute(&[append(1, 3, 1), append(4, 5, 1)])
        .unwrap();
    storage.execute(&[append(6, 10, 2)]).unwrap();
    storage.execute(&[append(11, 12, 2)]).unwrap();
    folder
}

fn open_with_content(folder: &Path, name: &str, content: &[u8]) -> Result<Opened> {
    fs::write(folder.join(name), content).unwrap();
    Storage::open(folder, Incarnation(7), Files::default())
}

fn all_entries() -> Vec<(u64, u64)> {
    let mut all = pairs(1, 5, 1);
    all.extend(pairs(6, 12, 2));
    all
}

/// Guards against accepting changed bytes, and against dropping acknowledged entries as a torn
/// tail.
#[test]
fn open_changed_log() {
    let folder = synced_folder();
    let content = fs::read(folder.path().join(LAST_SEGMENT)).unwrap();
    for position in 0..content.len() {
        for bit in [0, 3, 7] {
            let mut changed = content.clone();
            changed[position] ^= 1 << bit;
            let error = open_with_content(folder.path(), LAST_SEGMENT, &changed).unwrap_err();
            assert!(
                matches!(error, StorageError::Damaged { .. }),
                "{position}: {error}"
            );
        }
    }
    let opened = open_with_content(folder.path(), LAST_SEGMENT, &content).unwrap();
    assert_eq!(indices(&opened.log), all_entries());
}

/// Guards against a torn tail that prevents opening the folder or leaves a part of an entry.
#[test]
fn open_cut_log() {
    let folder = synced_folder();
    let content = fs::read(folder.path().join(LAST_SEGMENT)).unwrap();
    let mut longest = 0;
    for length in 8..=content.len() {
        let opened = open_with_content(folder.path(), LAST_SEGMENT, &content[..length]).unwrap();
        let found = indices(&opened.log);
        assert!(all_entries().starts_with(&found));
        assert!(found.len() >= longest);
        longest = found.len();
    }
    assert_eq!(longest, 12);
}

/// Guards against a tail of zeros, which a power failure can leave, that prevents opening the
/// folder.
#[test]
fn open_zeroed_tail() {
    let folder = synced_folder();
    let content = fs::read(folder.path().join(LAST_SEGMENT)).unwrap();
    for zeros in [1, 20, 600, 5000] {
        let mut changed = content.clone();
        changed.resize(content.len() + zeros, 0);
        let opened = open_with_content(folder.path(), LAST_SEGMENT, &changed).unwrap();
        assert_eq!(indices(&opened.log), all_entries());
        assert_eq!(opened.truncated_bytes, zeros as u64);
    }
}

fn large_entries(from: u64, to: u64) -> Write {
    let mut write = Write::default();
    for index in from..=to {
        let payload = Payload::Data(vec![index as u8; 700]);
        let term = 1;
        write.entries.push(Arc::new(Entry {
            index,
            term,
            payload,
        }));
    }
    write
}

/// Guards against treating a lost sector of synced entries as a torn tail, and against a torn batch
/// that prevents opening the folder because a later part of it reached the disk.
#[test]
fn open_zeroed_sector() {
    let folder = TempDir::new().unwrap();
    let path = folder.path().join(LAST_SEGMENT);
    let opened = Storage::open(folder.path(), Incarnation(7), Files::default());
    let mut storage = opened.unwrap().storage;
    storage.execute(&[large_entries(1, 3)]).unwrap();
    storage.execute(&[large_entries(4, 6)]).unwrap();
    let synced = fs::metadata(&path).unwrap().len() as usize;
    storage.execute(&[large_entries(7, 12)]).unwrap();
    drop(storage);
    let content = fs::read(&path).unwrap();
    let mut torn = 0;
    for start in (0..content.len()).step_by(512) {
        let mut changed = content.clone();
        let end = (start + 512).min(content.len());
        changed[start..end].fill(0);
        let opened = open_with_content(folder.path(), LAST_SEGMENT, &changed);
        if start < synced {
            assert!(
                matches!(opened, Err(StorageError::Damaged { .. })),
                "{start}"
            );
            continue;
        }
        let found = indices(&opened.unwrap().log);
        assert!(found.len() >= 6 && pairs(1, 12, 1).starts_with(&found));
        torn += 1;
    }
    assert!(torn >= 8);
}

/// Guards against accepting a truncated segment that is not the last one, which no crash can cause.
#[test]
fn open_cut_earlier_segment() {
    let folder = TempDir::new().unwrap();
    let mut storage = open(folder.path()).unwrap().storage;
    storage.execute(&[append(1, 30, 1)]).unwrap();
    drop(storage);
    let content = fs::read(folder.path().join(LAST_SEGMENT)).unwrap();
    for length in 0..content.len() {
        let error = open_with_content(folder.path(), LAST_SEGMENT, &content[..length]).unwrap_err();
        assert!(
            matches!(error, StorageError::Damaged { .. }),
            "{length}: {error}"
        );
    }
}

/// Guards against accepting a damaged hard state, snapshot or format file.
#[rstest]
#[case::hard_state("hard-state")]
#[case::snapshot("snapshot")]
#[case::format("format")]
fn open_changed_file(#[case] name: &str) {
    let folder = synced_folder();
    let opened = Storage::open(folder.path(), Incarnation(7), Files::default());
    opened
        .unwrap()
        .storage
        .save_snapshot(&snapshot(12, 2))
        .unwrap();
    let content = fs::read(folder.path().join(name)).unwrap();
    for position in 0..content.len() {
        assert!(open_with_content(folder.path(), name, &content[..position]).is_err());
        for bit in 0..8 {
            let mut changed = content.clone();
            changed[position] ^= 1 << bit;
            assert!(
                open_with_content(folder.path(), name, &changed).is_err(),
                "{position}"
            );
        }
    }
    let mut longer = content.clone();
    longer.push(0);
    assert!(open_with_content(folder.path(), name, &longer).is_err());
    assert!(open_with_content(folder.path(), name, &content).is_ok());
}

proptest! {
    /// Guards against a decoder that panics on arbitrary bytes, or allocates as many bytes as a
    /// length field claims.
    #[test]
    fn read_any_bytes(bytes in prop::collection::vec(any::<u8>(), 0..2000), at in 0..2100usize) {
        if let Record::Intact(payload, end) = record::read_at(&bytes, at) {
            prop_assert!(payload.len() < end && end <= bytes.len());
        }
    }

    /// Guards against missing a record between other bytes, and against classifying bytes before it
    /// as torn although its synced length covers them.
    #[test]
    fn read_records_in_noise(
        noise in prop::collection::vec(any::<u8>(), 0..100),
        payload in prop::collection::vec(any::<u8>(), 0..1500),
        synced in 0..200usize,
    ) {
        let mut bytes = noise.clone();
        record::encode(&payload, synced, &mut bytes);
        let end = bytes.len();
        prop_assert_eq!(record::read_at(&bytes, noise.len()), Record::Intact(&payload, end));
        for at in 0..noise.len() {
            let expected = synced > at;
            let damaged = record::read_at(&bytes, at) == Record::Damaged;
            prop_assert!(damaged || !expected);
        }
    }
}

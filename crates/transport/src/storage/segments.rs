//! Log stored as a sequence of segment files.
//!
//! The name of a segment file contains the index of its first entry. Each segment is synced before
//! the next one is created, so only the last one can have a torn tail.

use std::fs::{self, File};
use std::path::{Path, PathBuf};
use std::sync::Arc;

use sycamoreflow_coordination::raft::{Entry, SharedEntry};

use super::files::{Files, io_error};
use super::record::{self, MAX_PAYLOAD_BYTES, Record};
use super::{Result, StorageError};

const MAGIC: [u8; 8] = *b"SyFlLog1";
const PREFIX: &str = "log-";
/// Length in bytes from which a segment is full and the next entry starts a new one.
pub(super) const SEGMENT_BYTES: usize = 8 * 1024 * 1024;
/// Maximum length of a segment that is read, in bytes. It exceeds [`SEGMENT_BYTES`] because the
/// last entry of a segment may extend beyond that length.
const MAX_SEGMENT_BYTES: u64 = 16 * 1024 * 1024;

#[derive(Debug)]
struct Segment {
    path: PathBuf,
    first_index: u64,
    /// Offset of the record of each entry, in bytes.
    offsets: Vec<usize>,
    length: usize,
}

impl Segment {
    fn next_index(&self) -> u64 {
        self.first_index + self.offsets.len() as u64
    }
}

/// Segments of the log in ascending order and without gaps between them.
#[derive(Debug)]
pub(super) struct Segments {
    folder: PathBuf,
    segments: Vec<Segment>,
    /// File of the last segment, open for appending.
    file: Option<File>,
    /// Length of the synced part of the last segment, in bytes.
    synced_length: usize,
    segment_bytes: usize,
}

/// Returns the index of the first entry if `name` is the name of a segment file.
pub(super) fn parse_segment_name(name: &str) -> Option<u64> {
    name.strip_prefix(PREFIX)?.parse().ok()
}

impl Segments {
    /// Reads the entries after `snapshot_index`. Removes the segments that the snapshot covers, and
    /// truncates a torn tail and adds its length to `truncated_bytes`.
    pub(super) fn open(
        folder: &Path,
        files: &mut Files,
        first_indices: Vec<u64>,
        snapshot_index: u64,
        truncated_bytes: &mut u64,
    ) -> Result<(Self, Vec<SharedEntry>)> {
        let mut segments = Self {
            folder: folder.to_owned(),
            segments: Vec::new(),
            file: None,
            synced_length: 0,
            segment_bytes: SEGMENT_BYTES,
        };
        let mut entries: Vec<SharedEntry> = Vec::new();
        for (position, first_index) in first_indices.iter().enumerate() {
            let next = first_indices.get(position + 1);
            if next.is_some_and(|next| *next <= snapshot_index + 1) {
                files.remove(&segments.segment_path(*first_index))?;
                continue;
            }
            segments.check_order(*first_index, snapshot_index)?;
            let is_last = next.is_none();
            segments.read_segment(*first_index, is_last, files, &mut entries, truncated_bytes)?;
        }
        if segments
            .next_index()
            .is_some_and(|next| next <= snapshot_index)
        {
            segments.remove_all(files)?;
        }
        entries.retain(|entry| entry.index > snapshot_index);
        segments.open_last(files)?;
        Ok((segments, entries))
    }

    /// Sets the length from which a segment is full, so that a test gets several segments.
    #[cfg(test)]
    pub(super) fn set_segment_bytes(&mut self, bytes: usize) {
        self.segment_bytes = bytes;
    }

    fn segment_path(&self, first_index: u64) -> PathBuf {
        self.folder.join(format!("{PREFIX}{first_index:020}"))
    }

    /// Returns the index of the next entry, or `None` if there is no segment.
    pub(super) fn next_index(&self) -> Option<u64> {
        self.segments.last().map(Segment::next_index)
    }

    fn check_order(&self, first_index: u64, snapshot_index: u64) -> Result<()> {
        let expected = self
            .next_index()
            .unwrap_or(first_index.min(snapshot_index + 1));
        if first_index == expected {
            return Ok(());
        }
        Err(StorageError::Damaged {
            path: self.segment_path(first_index),
            offset: 0,
            reason: format!("entries {expected} to {} are missing", first_index - 1),
        })
    }

    fn read_segment(
        &mut self,
        first_index: u64,
        is_last: bool,
        files: &mut Files,
        entries: &mut Vec<SharedEntry>,
        truncated_bytes: &mut u64,
    ) -> Result<()> {
        let path = self.segment_path(first_index);
        let bytes = read_file(&path)?;
        let mut segment = Segment {
            path: path.clone(),
            first_index,
            offsets: Vec::new(),
            length: MAGIC.len(),
        };
        let mut term = entries.last().map_or(0, |entry| entry.term);
        let damaged = |offset: usize, reason: &str| StorageError::Damaged {
            path: path.clone(),
            offset: offset as u64,
            reason: reason.to_owned(),
        };
        loop {
            let offset = segment.length;
            match record::read_at(&bytes, offset) {
                Record::Intact(payload, end) => {
                    let entry: Entry = ciborium::from_reader(payload)
                        .map_err(|_| damaged(offset, "cannot decode the entry"))?;
                    if entry.index != segment.next_index() || entry.term < term {
                        return Err(damaged(offset, "the entry is out of order"));
                    }
                    term = entry.term;
                    entries.push(Arc::new(entry));
                    segment.offsets.push(offset);
                    segment.length = end;
                }
                Record::End => break,
                Record::Torn if is_last => {
                    *truncated_bytes += (bytes.len() - offset) as u64;
                    let mut file = files.open_for_append(&path)?;
                    files.set_len(&mut file, &path, offset as u64)?;
                    break;
                }
                Record::Torn | Record::Damaged => {
                    return Err(damaged(offset, "a synced entry is not intact"));
                }
            }
        }
        self.segments.push(segment);
        Ok(())
    }

    /// Opens the last segment and syncs it, since the previous process may not have done so.
    fn open_last(&mut self, files: &mut Files) -> Result<()> {
        let Some(last) = self.segments.last() else {
            return Ok(());
        };
        let file = files.open_for_append(&last.path)?;
        files.sync(&file, &last.path)?;
        self.synced_length = last.length;
        self.file = Some(file);
        Ok(())
    }

    /// Appends entries without syncing them.
    pub(super) fn append(&mut self, files: &mut Files, entries: &[SharedEntry]) -> Result<()> {
        let mut buf = Vec::new();
        for entry in entries {
            let needs_segment = self
                .segments
                .last()
                .is_none_or(|last| last.length >= self.segment_bytes);
            if needs_segment {
                self.write_buffered(files, &mut buf)?;
                self.begin_segment(files, entry.index)?;
            }
            let mut payload = Vec::new();
            let encoded = ciborium::into_writer(entry.as_ref(), &mut payload);
            encoded.map_err(|error| StorageError::Encode {
                reason: error.to_string(),
            })?;
            if payload.len() > MAX_PAYLOAD_BYTES {
                let reason = format!("entry {} is too large", entry.index);
                return Err(StorageError::Encode { reason });
            }
            let Some(last) = self.segments.last_mut() else {
                continue;
            };
            if entry.index != last.next_index() {
                let expected = last.next_index();
                let index = entry.index;
                return Err(StorageError::OutOfOrder { index, expected });
            }
            last.offsets.push(last.length);
            last.length += record::encoded_length(payload.len());
            record::encode(&payload, self.synced_length, &mut buf);
        }
        self.write_buffered(files, &mut buf)
    }

    fn write_buffered(&mut self, files: &mut Files, buf: &mut Vec<u8>) -> Result<()> {
        if let (Some(file), Some(last)) = (&mut self.file, self.segments.last())
            && !buf.is_empty()
        {
            files.write(file, &last.path, buf)?;
        }
        buf.clear();
        Ok(())
    }

    fn begin_segment(&mut self, files: &mut Files, first_index: u64) -> Result<()> {
        self.sync(files)?;
        let path = self.segment_path(first_index);
        files.replace(&path, &[&MAGIC])?;
        self.file = Some(files.open_for_append(&path)?);
        self.synced_length = MAGIC.len();
        self.segments.push(Segment {
            path,
            first_index,
            offsets: Vec::new(),
            length: MAGIC.len(),
        });
        Ok(())
    }

    /// Syncs the last segment if entries were appended since the last sync.
    pub(super) fn sync(&mut self, files: &mut Files) -> Result<()> {
        let (Some(file), Some(last)) = (&self.file, self.segments.last()) else {
            return Ok(());
        };
        if self.synced_length == last.length {
            return Ok(());
        }
        files.sync(file, &last.path)?;
        self.synced_length = last.length;
        Ok(())
    }

    /// Removes the entries from `index` on. Segments are removed in descending order, so that a
    /// crash leaves no gap.
    pub(super) fn truncate_from(&mut self, files: &mut Files, index: u64) -> Result<()> {
        if self.next_index().is_none_or(|next| next <= index) {
            return Ok(());
        }
        while let Some(last) = self.segments.pop_if(|last| last.first_index >= index) {
            files.remove(&last.path)?;
            files.sync_folder(&self.folder)?;
        }
        self.file = None;
        let Some(last) = self.segments.last_mut() else {
            return Ok(());
        };
        let kept_entries = usize::try_from(index - last.first_index).unwrap_or(usize::MAX);
        let mut file = files.open_for_append(&last.path)?;
        if let Some(offset) = last.offsets.get(kept_entries).copied() {
            files.set_len(&mut file, &last.path, offset as u64)?;
            last.offsets.truncate(kept_entries);
            last.length = offset;
        }
        files.sync(&file, &last.path)?;
        self.synced_length = last.length;
        self.file = Some(file);
        Ok(())
    }

    /// Removes the segments whose entries are all covered by the snapshot at `snapshot_index`.
    pub(super) fn compact(&mut self, files: &mut Files, snapshot_index: u64) -> Result<()> {
        if self
            .next_index()
            .is_some_and(|next| next <= snapshot_index + 1)
        {
            return self.remove_all(files);
        }
        while self.segments.len() > 1 && self.segments[1].first_index <= snapshot_index + 1 {
            let oldest = self.segments.remove(0);
            files.remove(&oldest.path)?;
        }
        Ok(())
    }

    fn remove_all(&mut self, files: &mut Files) -> Result<()> {
        self.file = None;
        for segment in self.segments.drain(..) {
            files.remove(&segment.path)?;
        }
        files.sync_folder(&self.folder)
    }
}

fn read_file(path: &Path) -> Result<Vec<u8>> {
    let damaged = |reason: &str| StorageError::Damaged {
        path: path.to_owned(),
        offset: 0,
        reason: reason.to_owned(),
    };
    let metadata = fs::metadata(path).map_err(|error| io_error("read", path, error))?;
    if metadata.len() > MAX_SEGMENT_BYTES {
        return Err(damaged("it exceeds the maximum length of a segment"));
    }
    let bytes = fs::read(path).map_err(|error| io_error("read", path, error))?;
    if !bytes.starts_with(&MAGIC) {
        return Err(damaged(
            "it does not start with the magic number of a segment",
        ));
    }
    Ok(bytes)
}

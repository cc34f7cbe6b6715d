//! Records of a log segment, and the decision whether a bad one is a torn tail or damage.
//!
//! A record is a header of five little-endian `u32` (marker, length of the payload, length of the
//! segment that was synced when the record was written, checksum of these three, checksum of the
//! payload), the payload, and a closing byte that is not zero.
//!
//! A bad record is a torn tail only if a power failure explains it: the file ends within it, or
//! some sector of it was never written and reads as zeros, and no later record was written
//! after it was synced. Everything else is damage, also in the last record: that record may have
//! been acknowledged.

use crc32fast::hash;

const MARKER: [u8; 4] = *b"SyLg";
/// Ends a record, so that its part of the last sector is not all zeros.
const END_BYTE: u8 = 0xa5;
const HEADER_BYTES: usize = 20;
/// Largest payload in bytes. The largest command has 2 MiB.
pub(super) const MAX_PAYLOAD_BYTES: usize = 3 * 1024 * 1024;
/// Unit that a disk writes as a whole or not at all.
const SECTOR_BYTES: usize = 512;

/// Returns the length of a record in bytes.
pub(super) fn encoded_length(payload: usize) -> usize {
    HEADER_BYTES + payload + 1
}

/// Appends a record to `buf`. `synced_length` is the synced length of the segment.
pub(super) fn encode(payload: &[u8], synced_length: usize, buf: &mut Vec<u8>) {
    let start = buf.len();
    buf.extend_from_slice(&MARKER);
    buf.extend_from_slice(&to_u32(payload.len()).to_le_bytes());
    buf.extend_from_slice(&to_u32(synced_length).to_le_bytes());
    let checksum = hash(&buf[start..]);
    buf.extend_from_slice(&checksum.to_le_bytes());
    buf.extend_from_slice(&hash(payload).to_le_bytes());
    buf.extend_from_slice(payload);
    buf.push(END_BYTE);
}

/// Segments and payloads are far below 4 GiB.
fn to_u32(value: usize) -> u32 {
    u32::try_from(value).unwrap_or(u32::MAX)
}

struct Header {
    length: usize,
    synced_length: usize,
    checksum: u32,
}

fn read_u32(bytes: &[u8], offset: usize) -> Option<u32> {
    let field = bytes.get(offset..offset + 4)?;
    Some(u32::from_le_bytes(field.try_into().ok()?))
}

fn read_header(bytes: &[u8]) -> Option<Header> {
    if !bytes.starts_with(&MARKER) || read_u32(bytes, 12)? != hash(&bytes[..12]) {
        return None;
    }
    let length = read_u32(bytes, 4)? as usize;
    let synced_length = read_u32(bytes, 8)? as usize;
    let checksum = read_u32(bytes, 16)?;
    (length <= MAX_PAYLOAD_BYTES).then_some(Header {
        length,
        synced_length,
        checksum,
    })
}

/// Returns the payload at the start of `bytes`, if it is intact.
fn read(bytes: &[u8]) -> Option<(Header, &[u8])> {
    let header = read_header(bytes)?;
    let payload = bytes.get(HEADER_BYTES..HEADER_BYTES + header.length)?;
    let closed = bytes.get(HEADER_BYTES + header.length) == Some(&END_BYTE);
    (closed && hash(payload) == header.checksum).then_some((header, payload))
}

/// What is at a place in a segment.
#[derive(Debug, PartialEq, Eq)]
pub(super) enum Record<'a> {
    /// An intact payload, and the place after it.
    Intact(&'a [u8], usize),
    /// The end of the file.
    End,
    /// The rest of a write that a power failure interrupted.
    Torn,
    /// Damage to something that was synced, or may have been.
    Damaged,
}

/// Reads the record at `at`.
pub(super) fn read_at(segment: &[u8], offset: usize) -> Record<'_> {
    let rest = &segment[offset.min(segment.len())..];
    if rest.is_empty() {
        return Record::End;
    }
    if let Some((header, payload)) = read(rest) {
        return Record::Intact(payload, offset + encoded_length(header.length));
    }
    if was_synced(segment, offset) {
        return Record::Damaged;
    }
    let end = match read_header(rest) {
        Some(header) => offset + encoded_length(header.length),
        None if rest.len() < HEADER_BYTES => usize::MAX,
        None => segment.len(),
    };
    if end > segment.len() || has_unwritten_sector(segment, offset, end) {
        return Record::Torn;
    }
    Record::Damaged
}

/// Returns whether a later record shows that the place `at` was synced.
fn was_synced(segment: &[u8], offset: usize) -> bool {
    for later in offset + 1..segment.len() {
        let rest = &segment[later..];
        if !rest.starts_with(&MARKER) {
            continue;
        }
        if read(rest).is_some_and(|(header, _)| header.synced_length > offset) {
            return true;
        }
    }
    false
}

/// Returns whether a sector's part of the record consists of zeros.
fn has_unwritten_sector(segment: &[u8], offset: usize, end: usize) -> bool {
    let mut start = offset;
    while start < end {
        let next = (start / SECTOR_BYTES + 1) * SECTOR_BYTES;
        let part = &segment[start..next.min(end)];
        if part.iter().all(|byte| *byte == 0) {
            return true;
        }
        start = next;
    }
    false
}

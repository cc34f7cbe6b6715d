//! Encoding of the records of a log segment, and the distinction between a torn tail and damage.
//!
//! A record consists of a header, the payload and a nonzero end byte. The header is five
//! little-endian `u32`: marker, length of the payload, synced length of the segment when the record
//! was encoded, checksum of these three fields, and checksum of the payload.
//!
//! An invalid record is a torn tail only if a power failure can have caused it: the file ends
//! within the record, or a sector of it was never written and reads as zeros, and no later record
//! shows that it was synced. Everything else is damage. This includes the last record, since it may
//! have been acknowledged.

use crc32fast::hash;

const MARKER: [u8; 4] = *b"SyLg";
/// Last byte of a record. It is nonzero, so that the record's part of its last sector is never all
/// zeros.
const END_BYTE: u8 = 0xa5;
const HEADER_BYTES: usize = 20;
/// Maximum length of a payload in bytes. The largest command has 2 MiB.
pub(super) const MAX_PAYLOAD_BYTES: usize = 3 * 1024 * 1024;
/// Size in bytes of the unit that a disk writes either completely or not at all.
const SECTOR_BYTES: usize = 512;

/// Returns the length in bytes of a record whose payload has `payload` bytes.
pub(super) fn encoded_length(payload: usize) -> usize {
    HEADER_BYTES + payload + 1
}

/// Appends a record to `buf`. `synced_length` is the length of the synced part of the segment.
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

/// Converts a length to `u32`. Segments and payloads are far smaller than 4 GiB.
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

/// Returns the header and the payload of the record at the start of `bytes` if it is intact.
fn read(bytes: &[u8]) -> Option<(Header, &[u8])> {
    let header = read_header(bytes)?;
    let payload = bytes.get(HEADER_BYTES..HEADER_BYTES + header.length)?;
    let has_end_byte = bytes.get(HEADER_BYTES + header.length) == Some(&END_BYTE);
    (has_end_byte && hash(payload) == header.checksum).then_some((header, payload))
}

/// Result of reading a record at an offset of a segment.
#[derive(Debug, PartialEq, Eq)]
pub(super) enum Record<'a> {
    /// The payload of an intact record, and the offset after the record.
    Intact(&'a [u8], usize),
    /// The end of the file.
    End,
    /// A partial write, as a power failure leaves it.
    Torn,
    /// An invalid record that was or may have been synced.
    Damaged,
}

/// Reads the record at `offset` and classifies it if it is invalid.
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

/// Returns whether the synced length in a later record shows that `offset` was synced.
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

/// Returns whether the part of the record in some sector is all zeros. `end` is the offset after
/// the record.
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

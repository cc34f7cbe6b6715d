//! Files that contain one value: the hard state and the snapshot.
//!
//! Such a file consists of a magic number of 8 bytes, the length of the payload (`u64`), the
//! checksum of length and payload (`u32`) and the payload. The numbers are little-endian. The file
//! is replaced atomically, so an invalid file is always damage and never a partial write.

use std::fs;
use std::io::ErrorKind;
use std::path::Path;

use crc32fast::Hasher;
use serde::Serialize;
use serde::de::DeserializeOwned;

use super::files::{Files, io_error};
use super::{Result, StorageError};

const HEADER_BYTES: usize = 20;
/// Maximum length of a file that is read, in bytes. It exceeds the largest snapshot that replicas
/// exchange.
const MAX_FILE_BYTES: u64 = 320 * 1024 * 1024;

pub(super) type Magic = [u8; 8];

pub(super) fn write<T: Serialize>(
    files: &mut Files,
    path: &Path,
    magic: Magic,
    value: &T,
) -> Result<()> {
    let mut payload = Vec::new();
    ciborium::into_writer(value, &mut payload).map_err(|error| StorageError::Encode {
        reason: error.to_string(),
    })?;
    let length = (payload.len() as u64).to_le_bytes();
    let checksum = checksum(&length, &payload).to_le_bytes();
    files.replace(path, &[&magic, &length, &checksum, &payload])
}

/// Reads the value in a file, or returns `None` if the file does not exist.
pub(super) fn read<T: DeserializeOwned>(path: &Path, magic: Magic) -> Result<Option<T>> {
    let length = match fs::metadata(path) {
        Ok(metadata) => metadata.len(),
        Err(error) if error.kind() == ErrorKind::NotFound => return Ok(None),
        Err(error) => return Err(io_error("read", path, error)),
    };
    if length > MAX_FILE_BYTES {
        return Err(damaged(path, "it exceeds the maximum length of the file"));
    }
    let bytes = fs::read(path).map_err(|error| io_error("read", path, error))?;
    decode(&bytes, magic)
        .map(Some)
        .map_err(|reason| damaged(path, reason))
}

fn decode<T: DeserializeOwned>(bytes: &[u8], magic: Magic) -> std::result::Result<T, &'static str> {
    let (header, payload) = bytes
        .split_at_checked(HEADER_BYTES)
        .ok_or("it is too short")?;
    if header[..8] != magic {
        return Err("its magic number is wrong");
    }
    let length: [u8; 8] = header[8..16].try_into().map_err(|_| "it is too short")?;
    if u64::from_le_bytes(length) != payload.len() as u64 {
        return Err("its length is wrong");
    }
    if header[16..] != checksum(&length, payload).to_le_bytes() {
        return Err("its checksum is wrong");
    }
    ciborium::from_reader(payload).map_err(|_| "its content cannot be decoded")
}

fn checksum(length: &[u8], payload: &[u8]) -> u32 {
    let mut hasher = Hasher::new();
    hasher.update(length);
    hasher.update(payload);
    hasher.finalize()
}

fn damaged(path: &Path, reason: &str) -> StorageError {
    StorageError::Damaged {
        path: path.to_owned(),
        offset: 0,
        reason: reason.to_owned(),
    }
}

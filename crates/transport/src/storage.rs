//! Persistent storage of a control replica: hard state, snapshot and log in one data folder.
//!
//! | file | content | updates |
//! | --- | --- | --- |
//! | `format` | name and version of the format | written once, after the hard state |
//! | `lock` | empty; locked while a process uses the folder | none |
//! | `hard-state` | term, vote, incarnation | replaced atomically |
//! | `snapshot` | latest snapshot | replaced atomically |
//! | `log-N` | entries from index N on | appended to, truncated, removed |
//!
//! Invariants:
//! - When [`Storage::execute`] returns without an error, all writes passed to it survive a power
//!   failure.
//! - After an operation has failed, all further ones fail with [`StorageError::Poisoned`]: the
//!   kernel may have dropped the data that it could not write, and a second sync would then report
//!   success.
//! - Synced data is never dropped silently. Only a torn tail is truncated when the folder is
//!   opened. Any other damage is an error, and the replica must start with an empty folder and
//!   copy its state from the other replicas.

use std::fmt;
use std::fs::{self, File, TryLockError};
use std::io;
use std::path::{Path, PathBuf};
use std::sync::Arc;

use sycamoreflow_coordination::raft::{
    HardState, Incarnation, LogState, SharedEntry, Snapshot, Write,
};

mod files;
mod frame;
mod record;
mod segments;

#[cfg(test)]
mod tests;

use files::io_error;
use segments::Segments;

pub use files::{Files, Hook, InjectedFault, Operation};

/// Result of a storage operation.
pub type Result<T> = std::result::Result<T, StorageError>;

const FORMAT: &str = "sycamoreflow data folder, version ";
const FORMAT_VERSION: u32 = 1;
const FORMAT_FILE: &str = "format";
const LOCK_FILE: &str = "lock";
const HARD_STATE_FILE: &str = "hard-state";
const HARD_STATE_MAGIC: frame::Magic = *b"SyFlHrd1";
const SNAPSHOT_FILE: &str = "snapshot";
const SNAPSHOT_MAGIC: frame::Magic = *b"SyFlSnp1";

/// Reason why the data folder cannot be used or an operation on it failed.
#[derive(Debug)]
pub enum StorageError {
    /// A file operation failed.
    Io {
        /// Verb for the operation, such as `write`.
        operation: &'static str,
        /// File or folder of the operation.
        path: PathBuf,
        /// Error of the operating system.
        source: io::Error,
    },
    /// Another process has locked the data folder.
    Locked {
        /// Path of the data folder.
        path: PathBuf,
    },
    /// The folder contains a file that does not belong to a data folder, or an unknown format file.
    Foreign {
        /// Path of that file.
        path: PathBuf,
    },
    /// The folder has a format of a newer release.
    NewerVersion {
        /// Version of that format.
        version: u32,
    },
    /// Data that was or may have been synced is damaged or missing.
    Damaged {
        /// Path of the damaged file.
        path: PathBuf,
        /// Offset of the damage in the file, in bytes.
        offset: u64,
        /// Description of the damage, part of the error message.
        reason: String,
    },
    /// The index of an entry is not the next one of the log.
    OutOfOrder {
        /// Index of the entry.
        index: u64,
        /// Next index of the log.
        expected: u64,
    },
    /// A value cannot be encoded, or a log entry is too large.
    Encode {
        /// Description of the cause, part of the error message.
        reason: String,
    },
    /// An earlier operation failed, so the durability of its writes is unknown.
    Poisoned,
}

impl StorageError {
    /// Returns whether an operation failed for lack of space on the disk. It may succeed later
    /// without a change of the settings.
    pub fn is_out_of_space(&self) -> bool {
        let Self::Io { source, .. } = self else {
            return false;
        };
        matches!(
            source.kind(),
            io::ErrorKind::StorageFull | io::ErrorKind::QuotaExceeded
        )
    }
}

impl fmt::Display for StorageError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Io {
                operation, path, ..
            } => write!(f, "cannot {operation} {}", path.display()),
            Self::Locked { path } => {
                write!(
                    f,
                    "another process uses the data folder {}; stop it, or give this replica a \
                     folder of its own",
                    path.display()
                )
            }
            Self::Foreign { path } => write!(
                f,
                "{} does not belong into a data folder; choose an empty folder",
                path.display()
            ),
            Self::NewerVersion { version } => write!(
                f,
                "the data folder has format version {version}, but this release supports versions \
                 up to {FORMAT_VERSION}; use a newer release"
            ),
            Self::Damaged {
                path,
                offset,
                reason,
            } => write!(
                f,
                "{} is damaged at byte {offset}: {reason}; move the data folder away and start \
                 with an empty one, so that this replica is repaired from the others",
                path.display()
            ),
            Self::OutOfOrder { index, expected } => {
                write!(f, "entry {index} does not follow entry {}", expected - 1)
            }
            Self::Encode { reason } => {
                write!(f, "cannot encode a value for the data folder: {reason}")
            }
            Self::Poisoned => f.write_str("an earlier write to the data folder failed"),
        }
    }
}

impl std::error::Error for StorageError {
    fn source(&self) -> Option<&(dyn std::error::Error + 'static)> {
        match self {
            Self::Io { source, .. } => Some(source),
            _ => None,
        }
    }
}

/// An opened data folder and the state that it contains.
#[derive(Debug)]
pub struct Opened {
    /// Storage for further writes.
    pub storage: Storage,
    /// Last hard state that was written.
    pub hard_state: HardState,
    /// Latest snapshot, if any, and the entries after it.
    pub log: LogState,
    /// Length of the torn tail that was truncated, in bytes; zero if there was none.
    pub truncated_bytes: u64,
}

/// An open data folder. It stays locked until this is dropped.
#[derive(Debug)]
pub struct Storage {
    folder: PathBuf,
    files: Files,
    segments: Segments,
    snapshot_index: u64,
    poisoned: bool,
    /// Holds the lock on the folder until it is dropped.
    _lock: File,
}

impl Storage {
    /// Opens a data folder, or creates it with the given incarnation. Reads the whole log and
    /// blocks.
    ///
    /// `incarnation` must be random and nonzero. It is used only for a new folder.
    pub fn open(folder: &Path, incarnation: Incarnation, mut files: Files) -> Result<Opened> {
        fs::create_dir_all(folder).map_err(|error| io_error("create", folder, error))?;
        let lock = lock_folder(folder)?;
        let exists = check_format(folder)?;
        let first_indices = scan_files(folder, &mut files)?;
        if !exists {
            initialize_folder(folder, incarnation, &mut files)?;
        }
        let hard_state = read_required(&folder.join(HARD_STATE_FILE), HARD_STATE_MAGIC)?;
        let snapshot: Option<Snapshot> = frame::read(&folder.join(SNAPSHOT_FILE), SNAPSHOT_MAGIC)?;
        let snapshot_index = snapshot.as_ref().map_or(0, |snapshot| snapshot.index);
        let mut truncated_bytes = 0;
        let (segments, entries) = Segments::open(
            folder,
            &mut files,
            first_indices,
            snapshot_index,
            &mut truncated_bytes,
        )?;
        // The previous process may have stopped after a rename or a removal, before syncing it.
        files.sync_folder(folder)?;
        let storage = Self {
            folder: folder.to_owned(),
            files,
            segments,
            snapshot_index,
            poisoned: false,
            _lock: lock,
        };
        let snapshot = snapshot.map(Arc::new);
        Ok(Opened {
            storage,
            hard_state,
            log: LogState { snapshot, entries },
            truncated_bytes,
        })
    }

    /// Executes writes in order and returns once all of them are synced. The log is synced once for
    /// all of them. Blocks until then.
    pub fn execute(&mut self, writes: &[Write]) -> Result<()> {
        self.poison_on_error(|storage| {
            for write in writes {
                storage.execute_one(write)?;
            }
            storage.segments.sync(&mut storage.files)
        })
    }

    /// Saves a snapshot of the local state machine and removes the segments that it covers. Blocks
    /// until the snapshot is synced. A snapshot that is not newer than the saved one is ignored.
    pub fn save_snapshot(&mut self, snapshot: &Snapshot) -> Result<()> {
        self.poison_on_error(|storage| {
            storage.segments.sync(&mut storage.files)?;
            storage.replace_snapshot(snapshot)
        })
    }

    fn poison_on_error(&mut self, operation: impl FnOnce(&mut Self) -> Result<()>) -> Result<()> {
        if self.poisoned {
            return Err(StorageError::Poisoned);
        }
        self.poisoned = true;
        operation(self)?;
        self.poisoned = false;
        Ok(())
    }

    fn execute_one(&mut self, write: &Write) -> Result<()> {
        if let Some(hard_state) = &write.hard_state {
            let path = self.folder.join(HARD_STATE_FILE);
            frame::write(&mut self.files, &path, HARD_STATE_MAGIC, hard_state)?;
        }
        if let Some(index) = write.truncate_from {
            self.segments.truncate_from(&mut self.files, index)?;
        }
        if let Some(snapshot) = &write.snapshot {
            self.replace_snapshot(snapshot)?;
        }
        // A snapshot may have been saved before the entries that it covers are written.
        let in_snapshot = |entry: &SharedEntry| entry.index <= self.snapshot_index;
        let contained = write
            .entries
            .iter()
            .take_while(|entry| in_snapshot(entry))
            .count();
        let entries = match self.segments.next_index() {
            None => &write.entries[contained..],
            Some(_) => &write.entries,
        };
        self.check_order(entries)?;
        self.segments.append(&mut self.files, entries)
    }

    /// Checks that the entries continue the log, or the snapshot if there is no log.
    fn check_order(&self, entries: &[SharedEntry]) -> Result<()> {
        let expected = self
            .segments
            .next_index()
            .unwrap_or(self.snapshot_index + 1);
        match entries.first() {
            Some(entry) if entry.index != expected => Err(StorageError::OutOfOrder {
                index: entry.index,
                expected,
            }),
            _ => Ok(()),
        }
    }

    fn replace_snapshot(&mut self, snapshot: &Snapshot) -> Result<()> {
        if snapshot.index <= self.snapshot_index {
            return Ok(());
        }
        let path = self.folder.join(SNAPSHOT_FILE);
        frame::write(&mut self.files, &path, SNAPSHOT_MAGIC, snapshot)?;
        self.snapshot_index = snapshot.index;
        self.segments.compact(&mut self.files, snapshot.index)
    }
}

fn lock_folder(folder: &Path) -> Result<File> {
    let path = folder.join(LOCK_FILE);
    let file = File::create(&path).map_err(|error| io_error("create", &path, error))?;
    match file.try_lock() {
        Ok(()) => Ok(file),
        Err(TryLockError::WouldBlock) => Err(StorageError::Locked {
            path: folder.to_owned(),
        }),
        Err(TryLockError::Error(error)) => Err(io_error("lock", &path, error)),
    }
}

/// Refuses folders with unknown files, removes temporary files of interrupted writes, and returns
/// the first index of each segment in ascending order.
fn scan_files(folder: &Path, files: &mut Files) -> Result<Vec<u64>> {
    let mut first_indices = Vec::new();
    let entries = fs::read_dir(folder).map_err(|error| io_error("read", folder, error))?;
    for entry in entries {
        let entry = entry.map_err(|error| io_error("read", folder, error))?;
        let path = entry.path();
        let name = entry.file_name();
        let name = name.to_string_lossy();
        let stem = name.strip_suffix(files::TEMPORARY_EXTENSION);
        let is_known = |name: &str| {
            let names = [FORMAT_FILE, LOCK_FILE, HARD_STATE_FILE, SNAPSHOT_FILE];
            names.contains(&name) || segments::parse_segment_name(name).is_some()
        };
        if let Some(stem) = stem.and_then(|stem| stem.strip_suffix('.'))
            && is_known(stem)
        {
            files.remove(&path)?;
            continue;
        }
        if !is_known(&name) {
            return Err(StorageError::Foreign { path });
        }
        first_indices.extend(segments::parse_segment_name(&name));
    }
    first_indices.sort_unstable();
    Ok(first_indices)
}

/// Returns whether the folder is initialized. Refuses unsupported formats.
fn check_format(folder: &Path) -> Result<bool> {
    let path = folder.join(FORMAT_FILE);
    let bytes = match fs::read(&path) {
        Ok(bytes) => bytes,
        Err(error) if error.kind() == io::ErrorKind::NotFound => return Ok(false),
        Err(error) => return Err(io_error("read", &path, error)),
    };
    let version = std::str::from_utf8(&bytes)
        .ok()
        .and_then(|text| text.strip_prefix(FORMAT)?.strip_suffix('\n')?.parse().ok());
    match version {
        Some(FORMAT_VERSION) => Ok(true),
        Some(version) if version > FORMAT_VERSION => Err(StorageError::NewerVersion { version }),
        _ => Err(StorageError::Foreign { path }),
    }
}

/// Initializes a new folder. The format file is written last: while it is missing, no write has
/// been acknowledged.
fn initialize_folder(folder: &Path, incarnation: Incarnation, files: &mut Files) -> Result<()> {
    let path = folder.join(FORMAT_FILE);
    let in_use = fs::read_dir(folder)
        .map_err(|error| io_error("read", folder, error))?
        .filter_map(std::result::Result::ok)
        .map(|entry| entry.file_name())
        .any(|name| name != LOCK_FILE && name != HARD_STATE_FILE);
    if in_use {
        return Err(damaged(
            &path,
            "it is missing, but the folder contains other data",
        ));
    }
    let hard_state = HardState {
        incarnation,
        ..HardState::default()
    };
    let hard_state_path = folder.join(HARD_STATE_FILE);
    frame::write(files, &hard_state_path, HARD_STATE_MAGIC, &hard_state)?;
    let format = format!("{FORMAT}{FORMAT_VERSION}\n");
    files.replace(&path, &[format.as_bytes()])
}

fn read_required(path: &Path, magic: frame::Magic) -> Result<HardState> {
    frame::read(path, magic)?.ok_or_else(|| damaged(path, "it is missing"))
}

fn damaged(path: &Path, reason: &str) -> StorageError {
    StorageError::Damaged {
        path: path.to_owned(),
        offset: 0,
        reason: reason.to_owned(),
    }
}

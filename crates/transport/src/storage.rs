//! The data folder of a control replica: hard state, snapshot and log.
//!
//! | file | content | change |
//! | --- | --- | --- |
//! | `format` | name and version of the format | written once, after the hard state |
//! | `lock` | nothing; locked while a process uses the folder | never |
//! | `hard-state` | term, vote, incarnation | replaced as a whole |
//! | `snapshot` | latest snapshot | replaced as a whole |
//! | `log-N` | entries from index N on | appended, cut at the end, removed |
//!
//! Invariants:
//! - When [`Storage::execute`] returns, everything it was given survives a power failure.
//! - After an operation has failed, nothing is promised any more: the kernel may have dropped the
//!   data that it could not write, and a second sync would then report success.
//! - What was synced is never dropped silently. Only a torn tail is cut off on open; any other
//!   damage is refused, and the replica must be repaired from the others on an empty folder.

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

/// Why the data folder cannot be used.
#[derive(Debug)]
pub enum StorageError {
    /// A file operation failed.
    Io {
        /// What was tried.
        operation: &'static str,
        /// On which file.
        path: PathBuf,
        /// Cause.
        source: io::Error,
    },
    /// Another process uses the folder.
    Locked {
        /// The folder.
        path: PathBuf,
    },
    /// The folder has files of something else.
    Foreign {
        /// A file that does not belong there.
        path: PathBuf,
    },
    /// The folder was written by a newer release.
    NewerVersion {
        /// Its version.
        version: u32,
    },
    /// Something that was synced is not intact.
    Damaged {
        /// File.
        path: PathBuf,
        /// Place in the file.
        offset: u64,
        /// What is wrong.
        reason: String,
    },
    /// An entry does not continue the log.
    OutOfOrder {
        /// Its index.
        index: u64,
        /// Index that would continue the log.
        expected: u64,
    },
    /// A value cannot be encoded.
    Encode {
        /// Cause.
        reason: String,
    },
    /// An earlier operation failed, and nothing is promised since.
    Poisoned,
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
                "the data folder has the format {version}, but this release knows formats up to \
                 {FORMAT_VERSION}; use a newer release"
            ),
            Self::Damaged {
                path,
                offset,
                reason,
            } => write!(
                f,
                "{} is damaged at byte {offset}: {reason}; move the data folder away and start \
                 on an empty one, so that this replica is repaired from the others",
                path.display()
            ),
            Self::OutOfOrder { index, expected } => {
                write!(f, "entry {index} does not follow entry {}", expected - 1)
            }
            Self::Encode { reason } => write!(f, "cannot encode: {reason}"),
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

/// What was found on open.
#[derive(Debug)]
pub struct Opened {
    /// The store.
    pub storage: Storage,
    /// Hard state.
    pub hard_state: HardState,
    /// Snapshot and entries.
    pub log: LogState,
    /// Bytes of a torn tail that were cut off.
    pub truncated_bytes: u64,
}

/// An open data folder.
#[derive(Debug)]
pub struct Storage {
    folder: PathBuf,
    files: Files,
    segments: Segments,
    snapshot_index: u64,
    poisoned: bool,
    /// Held for as long as the folder is used.
    _lock: File,
}

impl Storage {
    /// Opens a data folder, or creates it with the given incarnation.
    ///
    /// `incarnation` must be random and not zero. It is used only for a new folder.
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
        // The process before may have stopped between a rename or a removal and its sync.
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

    /// Executes writes in order and returns when all of them are synced. Several writes cost one
    /// sync of the log. The call blocks.
    pub fn execute(&mut self, writes: &[Write]) -> Result<()> {
        self.poison_on_error(|storage| {
            for write in writes {
                storage.execute_one(write)?;
            }
            storage.segments.sync(&mut storage.files)
        })
    }

    /// Saves a snapshot of the own machine and removes the segments that it replaces. The call
    /// blocks.
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
        // A snapshot may have been saved before the write of the entries that it contains.
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

    /// Entries must continue the log, or the snapshot if there is no log.
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

/// Refuses folders of something else, removes files that were not completed, and returns the
/// first indices of the segments in order.
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

/// Returns whether the folder was created before, and refuses other formats.
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

/// Creates a new folder. The format is written last: as long as it is missing, nothing was
/// promised.
fn initialize_folder(folder: &Path, incarnation: Incarnation, files: &mut Files) -> Result<()> {
    let path = folder.join(FORMAT_FILE);
    let in_use = fs::read_dir(folder)
        .map_err(|error| io_error("read", folder, error))?
        .filter_map(std::result::Result::ok)
        .map(|entry| entry.file_name())
        .any(|name| name != LOCK_FILE && name != HARD_STATE_FILE);
    if in_use {
        return Err(damaged(&path, "it is missing, but the folder is in use"));
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

//! File operations with hooks for fault injection in tests.

use std::fmt;
use std::fs::{self, File, OpenOptions, Permissions};
use std::io::{self, Seek, SeekFrom, Write};
use std::os::unix::fs::{OpenOptionsExt, PermissionsExt};
use std::path::{Path, PathBuf};

use super::{Result, StorageError};

/// A file operation, as passed to a [`Hook`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Operation {
    /// Create an empty file, or truncate an existing one to length zero.
    Create,
    /// Append this many bytes.
    Write(usize),
    /// Truncate a file to this length in bytes.
    SetLen(u64),
    /// Sync the content and the metadata of a file.
    Sync,
    /// Rename a temporary file to its final name.
    Rename,
    /// Remove a file from the folder.
    Remove,
    /// Sync the directory entries of the folder.
    SyncFolder,
}

/// Fault that a [`Hook`] injects into an operation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum InjectedFault {
    /// No fault: the operation is executed.
    None,
    /// The operation fails without effect.
    Fail,
    /// The operation fails without effect because the disk is full.
    DiskFull,
    /// A write fails after writing this many bytes.
    ShortWrite(usize),
}

/// Called before each operation with its path. Returns the fault to inject.
pub type Hook = Box<dyn FnMut(Operation, &Path) -> InjectedFault + Send>;

/// File operations of a [`Storage`](super::Storage), with an optional [`Hook`].
#[derive(Default)]
pub struct Files {
    hook: Option<Hook>,
}

impl fmt::Debug for Files {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Files").finish_non_exhaustive()
    }
}

impl Files {
    /// Returns file operations that call `hook` before each operation.
    pub fn with_hook(hook: Hook) -> Self {
        Self { hook: Some(hook) }
    }

    fn inject_fault(&mut self, operation: Operation, path: &Path) -> io::Result<Option<usize>> {
        let fault = match &mut self.hook {
            Some(hook) => hook(operation, path),
            None => InjectedFault::None,
        };
        match fault {
            InjectedFault::None => Ok(None),
            InjectedFault::Fail => Err(io::Error::other("injected fault: operation failed")),
            InjectedFault::DiskFull => Err(io::ErrorKind::StorageFull.into()),
            InjectedFault::ShortWrite(bytes) => Ok(Some(bytes)),
        }
    }

    pub(super) fn create(&mut self, path: &Path) -> Result<File> {
        self.inject_fault(Operation::Create, path)
            .and_then(|_| create_private(path))
            .map_err(|source| io_error("create", path, source))
    }

    /// Opens a file for writing and positions it at its end.
    pub(super) fn open_for_append(&mut self, path: &Path) -> Result<File> {
        let open = || {
            let mut file = OpenOptions::new().write(true).open(path)?;
            // An earlier release may have created the file.
            file.set_permissions(Permissions::from_mode(PRIVATE_MODE))?;
            file.seek(SeekFrom::End(0))?;
            Ok(file)
        };
        open().map_err(|source| io_error("open", path, source))
    }

    pub(super) fn write(&mut self, file: &mut File, path: &Path, bytes: &[u8]) -> Result<()> {
        let mut write = || {
            let Some(written) = self.inject_fault(Operation::Write(bytes.len()), path)? else {
                return file.write_all(bytes);
            };
            file.write_all(&bytes[..written.min(bytes.len())])?;
            Err(io::Error::other("injected fault: short write"))
        };
        write().map_err(|source| io_error("write", path, source))
    }

    pub(super) fn set_len(&mut self, file: &mut File, path: &Path, length: u64) -> Result<()> {
        let mut set_len = || {
            self.inject_fault(Operation::SetLen(length), path)?;
            file.set_len(length)?;
            file.seek(SeekFrom::End(0))?;
            Ok(())
        };
        set_len().map_err(|source| io_error("truncate", path, source))
    }

    pub(super) fn sync(&mut self, file: &File, path: &Path) -> Result<()> {
        self.inject_fault(Operation::Sync, path)
            .and_then(|_| file.sync_all())
            .map_err(|source| io_error("sync", path, source))
    }

    pub(super) fn sync_folder(&mut self, path: &Path) -> Result<()> {
        self.inject_fault(Operation::SyncFolder, path)
            .and_then(|_| File::open(path)?.sync_all())
            .map_err(|source| io_error("sync", path, source))
    }

    pub(super) fn remove(&mut self, path: &Path) -> Result<()> {
        self.inject_fault(Operation::Remove, path)
            .and_then(|_| fs::remove_file(path))
            .map_err(|source| io_error("remove", path, source))
    }

    /// Replaces a file atomically: after a crash it has either the old or the new content.
    pub(super) fn replace(&mut self, path: &Path, parts: &[&[u8]]) -> Result<()> {
        let temporary = temporary_path(path);
        let mut file = self.create(&temporary)?;
        for part in parts {
            self.write(&mut file, &temporary, part)?;
        }
        self.sync(&file, &temporary)?;
        self.inject_fault(Operation::Rename, path)
            .and_then(|_| fs::rename(&temporary, path))
            .map_err(|source| io_error("rename", path, source))?;
        self.sync_folder(path.parent().unwrap_or(Path::new(".")))
    }
}

/// Mode of all files. The log and the snapshots contain configurations with the keys of client
/// accounts, so only their owner may read them.
const PRIVATE_MODE: u32 = 0o600;

fn create_private(path: &Path) -> io::Result<File> {
    let mut options = OpenOptions::new();
    options.write(true).create(true).truncate(true);
    options.mode(PRIVATE_MODE).open(path)
}

/// Extension of files that are written completely before they get their final name.
pub(super) const TEMPORARY_EXTENSION: &str = "tmp";

fn temporary_path(path: &Path) -> PathBuf {
    let mut name = path.as_os_str().to_owned();
    name.push(".");
    name.push(TEMPORARY_EXTENSION);
    PathBuf::from(name)
}

pub(super) fn io_error(operation: &'static str, path: &Path, source: io::Error) -> StorageError {
    StorageError::Io {
        operation,
        path: path.to_owned(),
        source,
    }
}

//! Model of a disk that loses all unsynced data in a power failure.

use std::collections::HashMap;
use std::ffi::OsString;
use std::fs;
use std::os::unix::fs::MetadataExt;
use std::path::{Path, PathBuf};

use crate::storage::files::Operation;

/// Content of files by inode and directory entries, each as of their last sync.
#[derive(Default)]
pub(super) struct Disk {
    content: HashMap<u64, Vec<u8>>,
    names: HashMap<OsString, u64>,
    folder: PathBuf,
}

impl Disk {
    pub(super) fn new(folder: &Path) -> Self {
        let folder = folder.to_owned();
        Self {
            folder,
            ..Self::default()
        }
    }

    /// Records the state that an operation makes durable. Called before the operation is executed.
    pub(super) fn record(&mut self, operation: Operation, path: &Path) {
        match operation {
            Operation::Sync => {
                let inode = fs::metadata(path).unwrap().ino();
                self.content.insert(inode, fs::read(path).unwrap());
            }
            Operation::SyncFolder => self.record_names(),
            _ => {}
        }
    }

    fn record_names(&mut self) {
        self.names.clear();
        for entry in fs::read_dir(&self.folder).unwrap() {
            let entry = entry.unwrap();
            let inode = entry.metadata().unwrap().ino();
            self.names.insert(entry.file_name(), inode);
        }
    }

    /// Restores the folder to the state that remains after a power failure.
    pub(super) fn simulate_power_loss(&self) {
        for entry in fs::read_dir(&self.folder).unwrap() {
            fs::remove_file(entry.unwrap().path()).unwrap();
        }
        for (name, inode) in &self.names {
            let content = self.content.get(inode).cloned().unwrap_or_default();
            fs::write(self.folder.join(name), content).unwrap();
        }
    }
}

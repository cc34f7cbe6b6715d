//! A copy of the endpoint table on disk.
//!
//! The table is soft state that is rebuilt from renewals (`docs/design.md`, section 2.2). When all
//! replicas have restarted, a new leader would publish nothing until the renewals are in. With the
//! copy it publishes at once; what is outdated in it ends with the leases, and the daemons beside
//! the upstreams refuse what they can't serve meanwhile. Nothing depends on the copy: a file that
//! can't be read is ignored, and one that can't be written is logged.

use std::fs::{self, File};
use std::io::{ErrorKind, Write};
use std::path::{Path, PathBuf};

use sycamoreflow_protocol::codec;
use sycamoreflow_state::endpoint::Endpoint;
use sycamoreflow_state::ids::{EndpointVersion, Millis};
use sycamoreflow_state::view::View;

/// Shortest time between two writes of the copy. Each costs two syncs.
const WRITE_INTERVAL: Millis = Millis(2_000);

/// Name of the file beside the data folder of the replica.
const FILE_EXTENSION: &str = "endpoints";

/// The copy of one replica.
#[derive(Debug)]
pub struct EndpointHints {
    path: PathBuf,
    saved_version: EndpointVersion,
    next_write: Millis,
    failing: bool,
}

impl EndpointHints {
    /// Opens the copy that belongs to a data folder, and returns the endpoints in it.
    pub fn open(data: &Path) -> (Self, Vec<Endpoint>) {
        let hints = Self {
            path: data.with_extension(FILE_EXTENSION),
            saved_version: EndpointVersion::default(),
            next_write: Millis::default(),
            failing: false,
        };
        let endpoints = hints.read();
        tracing::info!(event = "endpoint_hints", endpoints = endpoints.len());
        (hints, endpoints)
    }

    fn read(&self) -> Vec<Endpoint> {
        let bytes = match fs::read(&self.path) {
            Ok(bytes) => bytes,
            // The first start of a replica.
            Err(error) if error.kind() == ErrorKind::NotFound => return Vec::new(),
            Err(error) => {
                tracing::warn!(event = "endpoint_hints_unreadable", %error);
                return Vec::new();
            }
        };
        codec::decode(&bytes).unwrap_or_else(|error| {
            tracing::warn!(event = "endpoint_hints_unreadable", %error);
            Vec::new()
        })
    }

    /// Writes the endpoints of a view if they have changed and the last write is not too recent.
    pub fn save_if_due(&mut self, now: Millis, view: &View) {
        let version = view.version().endpoints;
        if version == self.saved_version || now < self.next_write {
            return;
        }
        self.next_write = now.after(WRITE_INTERVAL);
        self.saved_version = version;
        let endpoints: Vec<&Endpoint> = view.endpoints().collect();
        let result = codec::encode(&endpoints)
            .map_err(|error| error.to_string())
            .and_then(|bytes| {
                self.write_atomically(&bytes)
                    .map_err(|error| error.to_string())
            });
        let failing = result.is_err();
        if failing && !self.failing {
            tracing::warn!(event = "endpoint_hints_unwritten", error = ?result.err());
        }
        self.failing = failing;
    }

    fn write_atomically(&self, bytes: &[u8]) -> std::io::Result<()> {
        let temporary = self.path.with_extension("tmp");
        let mut file = File::create(&temporary)?;
        file.write_all(bytes)?;
        file.sync_data()?;
        fs::rename(&temporary, &self.path)?;
        match self.path.parent() {
            Some(folder) => File::open(folder)?.sync_all(),
            None => Ok(()),
        }
    }
}

//! A cached copy of the endpoint table on disk.
//!
//! The table is soft state that is rebuilt from lease renewals (`docs/design.md`, section 2.2).
//! After a restart of all replicas, a new leader without the copy could publish nothing until the
//! renewals have arrived. With the copy it publishes immediately. Outdated endpoints in the copy
//! disappear when their leases expire; until then, the daemons beside the upstreams refuse calls
//! that they can't serve. The copy is not needed for correctness: a file that can't be read is
//! ignored, and a failed write is only logged.

use std::fs::{self, File};
use std::io::{ErrorKind, Write};
use std::path::{Path, PathBuf};

use sycamoreflow_protocol::codec;
use sycamoreflow_state::endpoint::Endpoint;
use sycamoreflow_state::ids::{EndpointVersion, Millis};
use sycamoreflow_state::view::View;

#[cfg(test)]
mod tests;

/// Minimum time between two writes of the copy. Each write costs two disk syncs.
const WRITE_INTERVAL: Millis = Millis(2_000);

/// Extension of the file, which is stored next to the folder of the log and named after it.
const FILE_EXTENSION: &str = "endpoints";

/// Reads and writes the cached endpoint table of one replica.
#[derive(Debug)]
pub struct EndpointHints {
    path: PathBuf,
    saved_version: EndpointVersion,
    next_write: Millis,
    failing: bool,
}

impl EndpointHints {
    /// Reads the copy that belongs to the log folder `data` and returns the endpoints in it. The
    /// result is empty if the file does not exist or can't be read.
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
            // The file does not exist before the first write of a new replica.
            Err(error) if error.kind() == ErrorKind::NotFound => return Vec::new(),
            Err(error) => {
                tracing::warn!(event = "endpoint_hints_unreadable", %error);
                return Vec::new();
            }
        };
        let mut endpoints: Vec<Endpoint> = codec::decode(&bytes).unwrap_or_else(|error| {
            tracing::warn!(event = "endpoint_hints_unreadable", %error);
            Vec::new()
        });
        endpoints.retain(|endpoint| endpoint.check().is_ok());
        endpoints
    }

    /// Writes the endpoints of a view if they differ from the saved ones and the last attempt was at
    /// least 2 s ago. A failed write is repeated then. Only the first of several consecutive
    /// failures is logged.
    pub fn save_if_due(&mut self, now: Millis, view: &View) {
        let version = view.version().endpoints;
        if version == self.saved_version || now < self.next_write {
            return;
        }
        self.next_write = now.after(WRITE_INTERVAL);
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
        if !failing {
            self.saved_version = version;
        }
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

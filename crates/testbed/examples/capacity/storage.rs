//! Costs of the recovery of a control replica and of synced appends to its log.
//!
//! The log is written and opened as in `crates/transport/examples/log_recovery.rs`. Here the
//! entries are approvals, and they are also decoded and applied, as a replica does when it starts.

use std::path::Path;
use std::sync::Arc;
use std::time::{Duration, Instant};

use sycamoreflow_coordination::machine::{Command, ControlState};
use sycamoreflow_coordination::raft::{Entry, Incarnation, Membership, Payload, Snapshot, Write};
use sycamoreflow_state::ids::ConfigVersion;
use sycamoreflow_transport::storage::{Files, Opened, Storage};

use crate::table::{Measure, Table, measure};
use crate::world;

const REPEATS: usize = 3;
/// Number of services in the configuration of each log entry.
const LOG_SERVICES: usize = 40;
const LOG_LENGTHS: [u32; 4] = [50, 200, 500, 1_000];
const SNAPSHOT_SERVICES: [usize; 4] = [40, 220, 440, 880];
const BATCHES: [u64; 3] = [1, 8, 64];
const APPEND_TIME: Duration = Duration::from_millis(700);
/// Size of the appended entries in bytes, about that of a configuration of 40 services.
const APPEND_BYTES: usize = 16 * 1024;

const OPEN_LOG: Measure = measure("time to open a log", "entries", "ms");
const REPLAY: Measure = measure("time to apply a log", "entries", "ms");
const LOG_BYTES: Measure = measure("bytes of a log", "entries", "B");
const OPEN_SNAPSHOT: Measure = measure("time to recover a snapshot", "services", "ms");
const SNAPSHOT_BYTES: Measure = measure("bytes of a snapshot", "services", "B");
const APPENDS: Measure = measure("synced appends", "batch", "1/s");
const SYNCS: Measure = measure("syncs", "batch", "1/s");

/// Measures recovery and appends in a temporary folder.
pub(crate) fn storage(table: &mut Table) -> eyre::Result<()> {
    for _ in 0..REPEATS {
        for length in LOG_LENGTHS {
            measure_log_recovery(table, length)?;
        }
        for services in SNAPSHOT_SERVICES {
            measure_snapshot_recovery(table, services)?;
        }
        for batch in BATCHES {
            measure_appends(table, batch)?;
        }
    }
    Ok(())
}

fn open(folder: &Path) -> eyre::Result<Opened> {
    Ok(Storage::open(folder, Incarnation(1), Files::default())?)
}

fn entry(index: u64, data: Vec<u8>) -> Arc<Entry> {
    Arc::new(Entry {
        index,
        term: 1,
        payload: Payload::Data(data),
    })
}

fn encode(command: &Command) -> eyre::Result<Vec<u8>> {
    command.encode().map_err(|error| eyre::eyre!("{error}"))
}

fn milliseconds(since: Instant) -> f64 {
    since.elapsed().as_secs_f64() * 1_000.0
}

fn measure_log_recovery(table: &mut Table, length: u32) -> eyre::Result<()> {
    let folder = tempfile::tempdir()?;
    let mut storage = open(folder.path())?.storage;
    let mut config = world::config(LOG_SERVICES);
    let mut bytes = 0;
    for number in 0..length {
        world::change(&mut config, number);
        let base = ConfigVersion(u64::from(number));
        let data = encode(&world::approval(&config, base, number))?;
        bytes += data.len();
        let mut write = Write::default();
        write.entries.push(entry(u64::from(number) + 1, data));
        storage.execute(&[write])?;
    }
    drop(storage);
    let size = f64::from(length);
    table.add(LOG_BYTES, size, bytes as f64);
    let start = Instant::now();
    let opened = open(folder.path())?;
    table.add(OPEN_LOG, size, milliseconds(start));
    let start = Instant::now();
    let mut state = ControlState::default();
    for entry in &opened.log.entries {
        if let Payload::Data(data) = &entry.payload {
            let command = Command::decode(data).map_err(|error| eyre::eyre!("{error}"))?;
            state.apply(entry.index, &command);
        }
    }
    table.add(REPLAY, size, milliseconds(start));
    if state.version() != ConfigVersion(u64::from(length)) {
        eyre::bail!("{} of {length} versions were recovered", state.version());
    }
    Ok(())
}

fn measure_snapshot_recovery(table: &mut Table, services: usize) -> eyre::Result<()> {
    let folder = tempfile::tempdir()?;
    let state = world::state(&world::config(services));
    let data = state.encode().map_err(|error| eyre::eyre!("{error}"))?;
    table.add(SNAPSHOT_BYTES, services as f64, data.len() as f64);
    let snapshot = Snapshot {
        index: 1,
        term: 1,
        members: Membership::default(),
        data,
    };
    let mut storage = open(folder.path())?.storage;
    storage.save_snapshot(&snapshot)?;
    drop(storage);
    let start = Instant::now();
    let opened = open(folder.path())?;
    let Some(snapshot) = opened.log.snapshot else {
        eyre::bail!("no snapshot was recovered");
    };
    let state = ControlState::decode(&snapshot.data).map_err(|error| eyre::eyre!("{error}"))?;
    table.add(OPEN_SNAPSHOT, services as f64, milliseconds(start));
    if state.version() != ConfigVersion(1) {
        eyre::bail!("the snapshot has version {}", state.version());
    }
    Ok(())
}

fn measure_appends(table: &mut Table, batch: u64) -> eyre::Result<()> {
    let folder = tempfile::tempdir()?;
    let mut storage = open(folder.path())?.storage;
    let start = Instant::now();
    let mut syncs = 0;
    while start.elapsed() < APPEND_TIME {
        let mut write = Write::default();
        for index in syncs * batch + 1..=(syncs + 1) * batch {
            write.entries.push(entry(index, vec![1; APPEND_BYTES]));
        }
        storage.execute(&[write])?;
        syncs += 1;
    }
    let rate = syncs as f64 / start.elapsed().as_secs_f64();
    table.add(APPENDS, batch as f64, rate * batch as f64);
    table.add(SYNCS, batch as f64, rate);
    Ok(())
}

//! Measures the recovery time of a log and the rate of synced appends.
//!
//! `cargo run --release -p sycamoreflow-transport --example log_recovery [FOLDER]`
//!
//! The folder selects the disk that is measured. It defaults to the folder for temporary files.

use std::error::Error;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::{Duration, Instant};

use sycamoreflow_coordination::raft::{Entry, Incarnation, Payload, Write};
use sycamoreflow_transport::storage::{Files, Storage};

/// Size of a command in bytes, about that of a configuration with 40 services.
const COMMAND_BYTES: usize = 16 * 1024;
const LOG_LENGTHS: [u64; 4] = [100, 1_000, 5_000, 20_000];
const BATCHES: [u64; 3] = [1, 8, 64];
const APPEND_TIME: Duration = Duration::from_secs(2);

type Outcome<T> = Result<T, Box<dyn Error>>;

fn main() -> Outcome<()> {
    let parent = std::env::args().nth(1).map(PathBuf::from);
    let parent = parent.unwrap_or_else(std::env::temp_dir);
    println!("{COMMAND_BYTES} bytes per command, on {}", parent.display());
    println!("{:>10} {:>10} {:>14}", "entries", "MiB", "recovery ms");
    for length in LOG_LENGTHS {
        let folder = parent.join(format!("log-recovery-{}", std::process::id()));
        measure_recovery(&folder, length)?;
        std::fs::remove_dir_all(&folder)?;
    }
    println!("{:>10} {:>14} {:>14}", "batch", "appends/s", "syncs/s");
    for batch in BATCHES {
        let folder = parent.join(format!("log-recovery-{}", std::process::id()));
        measure_appends(&folder, batch)?;
        std::fs::remove_dir_all(&folder)?;
    }
    Ok(())
}

fn entries_write(first: u64, count: u64) -> Write {
    let mut write = Write::default();
    for index in first..first + count {
        let byte = u8::try_from(index % 251).unwrap_or_default();
        write.entries.push(Arc::new(Entry {
            index,
            term: 1,
            payload: Payload::Data(vec![byte; COMMAND_BYTES]),
        }));
    }
    write
}

fn open(folder: &Path) -> Outcome<(Storage, usize)> {
    let opened = Storage::open(folder, Incarnation(1), Files::default())?;
    Ok((opened.storage, opened.log.entries.len()))
}

fn measure_recovery(folder: &Path, length: u64) -> Outcome<()> {
    let (mut storage, _) = open(folder)?;
    let mut next = 1;
    while next <= length {
        let count = (length + 1 - next).min(100);
        storage.execute(&[entries_write(next, count)])?;
        next += count;
    }
    drop(storage);
    let start = Instant::now();
    let (_, entries) = open(folder)?;
    let elapsed = start.elapsed();
    let mib = length as f64 * COMMAND_BYTES as f64 / f64::from(1 << 20);
    let ms = elapsed.as_secs_f64() * 1000.0;
    println!("{entries:>10} {mib:>10.1} {ms:>14.1}");
    Ok(())
}

fn measure_appends(folder: &Path, batch: u64) -> Outcome<()> {
    let (mut storage, _) = open(folder)?;
    let start = Instant::now();
    let mut syncs = 0;
    while start.elapsed() < APPEND_TIME {
        storage.execute(&[entries_write(syncs * batch + 1, batch)])?;
        syncs += 1;
    }
    let rate = syncs as f64 / start.elapsed().as_secs_f64();
    let appends = rate * batch as f64;
    println!("{batch:>10} {appends:>14.0} {rate:>14.0}");
    Ok(())
}

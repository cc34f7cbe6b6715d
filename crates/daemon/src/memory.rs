//! Memory of the host, and the part of it that clients may make the daemon hold.

use std::fs;

use crate::settings::Limits;

/// Part of the host's memory that clients may take, as a divisor. The rest is for responses that
/// are being read from upstreams, links, the configuration and the program.
const CLIENT_DIVISOR: u64 = 4;

/// Number of bodies of the largest allowed size for which clients have memory at least. A body counts
/// twice, a part of the memory is reserved for small requests, and another body may be running.
const MIN_BODIES: usize = 6;

/// Memory that is assumed if the system doesn't tell, in bytes: that of a small host.
const ASSUMED_BYTES: u64 = 256 << 20;

/// Returns the memory in bytes that all clients together may make the daemon hold.
pub(crate) fn for_clients(limits: &Limits) -> u64 {
    match limits.client_buffer_bytes {
        0 => (total_bytes() / CLIENT_DIVISOR).max(least_for_clients(limits) as u64),
        bytes => bytes as u64,
    }
}

/// Returns what is wrong with the memory that the settings allow clients, if anything.
pub(crate) fn client_problem(limits: &Limits) -> Option<String> {
    let least = least_for_clients(limits);
    if limits.client_buffer_bytes == 0 || limits.client_buffer_bytes >= least {
        return None;
    }
    Some(format!(
        "limits.client-buffer-bytes: {} is too little for bodies of limits.body-bytes; use 0 or at \
         least {least}",
        limits.client_buffer_bytes
    ))
}

fn least_for_clients(limits: &Limits) -> usize {
    MIN_BODIES * limits.body_bytes
}

/// Returns the memory of the host in bytes, as the process sees it.
fn total_bytes() -> u64 {
    match fs::read_to_string("/proc/meminfo") {
        Ok(text) => parse_total(&text).unwrap_or_else(|| {
            tracing::warn!("/proc/meminfo names no total; assuming {ASSUMED_BYTES} bytes");
            ASSUMED_BYTES
        }),
        Err(error) => {
            tracing::warn!(%error, "can't read /proc/meminfo; assuming {ASSUMED_BYTES} bytes");
            ASSUMED_BYTES
        }
    }
}

fn parse_total(text: &str) -> Option<u64> {
    let line = text
        .lines()
        .find_map(|line| line.strip_prefix("MemTotal:"))?;
    let kib: u64 = line.trim().strip_suffix("kB")?.trim().parse().ok()?;
    kib.checked_mul(1024)
}

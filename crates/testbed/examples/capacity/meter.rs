//! Measurement of processor time, memory and the load of the machine.

use std::fs;
use std::time::{Duration, Instant};

use rustix::time::{ClockId, clock_gettime};

/// Measures the wall-clock time and the processor time since its creation.
pub(crate) struct Meter {
    wall: Instant,
    cpu: Duration,
    clock: ClockId,
}

impl Meter {
    /// Starts to measure, with the processor time of all threads of this process.
    pub(crate) fn process() -> Self {
        Self::start(ClockId::ProcessCPUTime)
    }

    /// Starts to measure, with the processor time of the calling thread only.
    pub(crate) fn thread() -> Self {
        Self::start(ClockId::ThreadCPUTime)
    }

    fn start(clock: ClockId) -> Self {
        Self {
            wall: Instant::now(),
            cpu: read(clock),
            clock,
        }
    }

    /// Returns the processor time since the start in microseconds.
    pub(crate) fn cpu_us(&self) -> f64 {
        (read(self.clock) - self.cpu).as_secs_f64() * 1e6
    }

    /// Returns the wall-clock time since the start in seconds.
    pub(crate) fn seconds(&self) -> f64 {
        self.wall.elapsed().as_secs_f64()
    }
}

fn read(clock: ClockId) -> Duration {
    let time = clock_gettime(clock);
    Duration::new(
        u64::try_from(time.tv_sec).unwrap_or_default(),
        u32::try_from(time.tv_nsec).unwrap_or_default(),
    )
}

/// Returns the resident memory of this process in KiB, or NaN if it can't be read.
pub(crate) fn resident_kib() -> f64 {
    let status = fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find(|line| line.starts_with("VmRSS:"));
    let number = line.and_then(|line| line.split_whitespace().nth(1));
    number
        .and_then(|number| number.parse().ok())
        .unwrap_or(f64::NAN)
}

/// Returns a description of the machine: its cores, memory and present load.
pub(crate) fn machine() -> String {
    let cores = std::thread::available_parallelism().map_or(0, usize::from);
    let memory = fs::read_to_string("/proc/meminfo").unwrap_or_default();
    let total = memory.lines().next().unwrap_or_default();
    let load = fs::read_to_string("/proc/loadavg").unwrap_or_default();
    format!("{cores} cores, {total}, load {}", load.trim())
}

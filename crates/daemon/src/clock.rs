//! The monotonic clock and the wall clock of the process. Code that makes decisions receives the
//! time as an argument instead of reading the clocks.

use std::sync::OnceLock;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use parking_lot::Mutex;
use rustix::time::{ClockId, clock_gettime};
use sycamoreflow_coordination::steady_time::SteadyTime;
use sycamoreflow_state::ids::Millis;

static ORIGIN: OnceLock<Instant> = OnceLock::new();
static UNIX: Mutex<Option<SteadyTime>> = Mutex::new(None);

/// Returns the monotonic time since the first call in this process, plus one second.
///
/// The offset keeps the value above zero, which callers use as "never".
pub fn now() -> Millis {
    let origin = *ORIGIN.get_or_init(Instant::now);
    Millis(1_000 + origin.elapsed().as_millis() as u64)
}

/// Returns the time since the start of the host, plus one second. Unlike [`now`], this clock goes on
/// while the host is suspended, so it measures how long something was valid.
pub fn boot_now() -> Millis {
    let time = clock_gettime(ClockId::Boottime);
    let (seconds, nanoseconds) = (time.tv_sec as u64, time.tv_nsec as u64);
    Millis(1_000 + seconds * 1_000 + nanoseconds / 1_000_000)
}

/// Returns the wall-clock time since the Unix epoch, for values that are replicated or shown to
/// operators. It follows jumps of the clock of the host only slowly ([`SteadyTime`]), so that its
/// differences can be used as durations. A clock before the epoch counts as zero.
pub fn unix_now() -> Millis {
    let elapsed = SystemTime::now().duration_since(UNIX_EPOCH);
    let wall = Millis(elapsed.unwrap_or(Duration::ZERO).as_millis() as u64);
    let mut unix = UNIX.lock();
    let now = now();
    let time = unix.get_or_insert_with(|| SteadyTime::new(now, wall));
    time.read(now, wall)
}

/// Converts milliseconds to a [`Duration`].
pub fn duration(millis: Millis) -> Duration {
    Duration::from_millis(millis.0)
}

/// Converts a time on the clock of [`now`] to an [`Instant`]. Times in the past become the current
/// instant.
pub fn instant(at: Millis) -> Instant {
    Instant::now() + duration(at.since(now()))
}

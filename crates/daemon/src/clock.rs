//! The monotonic clock and the wall clock of the process. Code that makes decisions receives the
//! time as an argument instead of reading the clocks.

use std::sync::OnceLock;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use rustix::time::{ClockId, clock_gettime};
use sycamoreflow_state::ids::Millis;

static ORIGIN: OnceLock<Instant> = OnceLock::new();

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
/// operators. Returns zero if the clock is before the epoch.
pub fn unix_now() -> Millis {
    let elapsed = SystemTime::now().duration_since(UNIX_EPOCH);
    Millis(elapsed.unwrap_or(Duration::ZERO).as_millis() as u64)
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

//! The monotonic clock and the wall clock of the process. Code that makes decisions receives the
//! time as an argument instead of reading the clocks.

use std::sync::OnceLock;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use sycamoreflow_state::ids::Millis;

static ORIGIN: OnceLock<Instant> = OnceLock::new();

/// Returns the monotonic time since the first call in this process, plus one second.
///
/// The offset keeps the value above zero, which callers use as "never".
pub fn now() -> Millis {
    let origin = *ORIGIN.get_or_init(Instant::now);
    Millis(1_000 + origin.elapsed().as_millis() as u64)
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

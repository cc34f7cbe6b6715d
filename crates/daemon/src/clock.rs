//! The clocks of the process. Decision logic receives their readings as arguments.

use std::sync::OnceLock;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use sycamoreflow_state::ids::Millis;

static ORIGIN: OnceLock<Instant> = OnceLock::new();

/// Returns the monotonic time since the first reading in this process.
///
/// It starts at one second, so that a zero stands for "never" in decision logic.
pub fn now() -> Millis {
    let origin = *ORIGIN.get_or_init(Instant::now);
    Millis(1_000 + origin.elapsed().as_millis() as u64)
}

/// Returns the time since the Unix epoch, for what is shown to operators or replicated.
pub fn unix_now() -> Millis {
    let elapsed = SystemTime::now().duration_since(UNIX_EPOCH);
    Millis(elapsed.unwrap_or(Duration::ZERO).as_millis() as u64)
}

/// Converts a duration in milliseconds.
pub fn duration(millis: Millis) -> Duration {
    Duration::from_millis(millis.0)
}

/// Returns the instant at the monotonic time `at`.
pub fn instant(at: Millis) -> Instant {
    Instant::now() + duration(at.since(now()))
}

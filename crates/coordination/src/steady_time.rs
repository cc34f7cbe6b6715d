//! A wall-clock time whose differences can be used as durations.
//!
//! The wall clock of a host may jump by seconds in either direction, and back again. Rollouts and
//! the ages of reports are measured in wall-clock time, since it is replicated, so a jump would
//! move a rollout to its next step early or hold it back. The time here advances with the monotonic
//! clock and approaches the wall clock slowly.
//!
//! Invariants: it never decreases, and between two readings it advances by the monotonic time
//! between them, give or take one part in [`CORRECTION_DIVISOR`].

use sycamoreflow_state::ids::Millis;

#[cfg(test)]
mod tests;

/// Part of the elapsed time by which the difference from the wall clock is reduced. At one percent,
/// a jump changes a duration of 10 s by 0.1 s at most, and a difference of a minute is gone after
/// 100 minutes.
pub const CORRECTION_DIVISOR: u64 = 100;

/// The state of the time of one process.
#[derive(Clone, Debug)]
pub struct SteadyTime {
    unix: Millis,
    /// Monotonic time of the latest reading.
    read_at: Millis,
    /// Monotonic time up to which the difference from the wall clock has been reduced.
    corrected_until: Millis,
}

impl SteadyTime {
    /// Starts at the wall-clock time `wall`, read at the monotonic time `now`.
    pub fn new(now: Millis, wall: Millis) -> Self {
        Self {
            unix: wall,
            read_at: now,
            corrected_until: now,
        }
    }

    /// Returns the time since the Unix epoch at the monotonic time `now`, at which the wall clock
    /// shows `wall`.
    pub fn read(&mut self, now: Millis, wall: Millis) -> Millis {
        let unix = self.unix.after(now.since(self.read_at));
        self.read_at = self.read_at.max(now);
        let correction = Millis(now.since(self.corrected_until).0 / CORRECTION_DIVISOR);
        // Shorter times than the divisor are kept until they add up to a correction.
        if correction > Millis(0) {
            self.corrected_until = now;
        }
        self.unix = match wall > unix {
            true => unix.after(correction.min(wall.since(unix))),
            false => Millis(unix.0 - correction.min(unix.since(wall)).0),
        };
        self.unix
    }
}

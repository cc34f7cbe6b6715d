//! Requests that arrive at a daemon before it has its first view.
//!
//! After a restart of all hosts, the daemons accept requests before the control group has elected a
//! leader and sent them a view. A caller sends a refused request again at most once or twice and
//! waits for a part of its deadline only, so a refusal whose retry also arrives too early loses the
//! request. [`StartupQueue`] therefore decides which requests wait for the view.
//!
//! Invariants: a request waits for at most a quarter of the time that its caller has for it, so
//! that it can still be answered within the timeout of its route, which the daemon does not know
//! yet, and a refusal leaves time for a retry; no request waits after [`MAX_STARTUP_TIME`], since a
//! daemon that has no view by then does not know when it will get one; the waiting requests never
//! exceed the limits on their number and their bytes.

use sycamoreflow_state::ids::Millis;

#[cfg(test)]
mod tests;

/// Expected time from the start of a daemon until it has a view, if all hosts have restarted: an
/// election, the subscription and the transfer of the state. With 281 daemons and replicas limited
/// to 0.075 cores it took 1.0 to 1.6 s.
const EXPECTED_STARTUP_TIME: Millis = Millis(1_200);

/// Time after the start of a daemon from which requests are refused immediately.
pub const MAX_STARTUP_TIME: Millis = Millis(4_000);

/// Minimum delay after which a refused caller is asked to retry.
const MIN_RETRY_AFTER: Millis = Millis(150);

/// Time for which a request without a deadline waits.
const WAIT_WITHOUT_DEADLINE: Millis = Millis(1_000);

/// Part of the remaining time of a request for which it waits, as a divisor.
const WAIT_DIVISOR: u64 = 4;

/// Maximum number of requests that wait at a daemon.
const MAX_WAITING: usize = 512;

/// Maximum number of bytes of the bodies of all requests that wait at a daemon.
const MAX_WAITING_BYTES: usize = 4 << 20;

/// Whether a request waits for the first view of the daemon.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StartupDecision {
    /// The request waits until the daemon has a view, or until this time. It counts as waiting
    /// until [`StartupQueue::leave`].
    Wait(Millis),
    /// The request is refused as not run. The caller may retry after this delay.
    Refuse(Millis),
}

/// The requests that wait at one daemon for its first view.
#[derive(Debug)]
pub struct StartupQueue {
    started: Millis,
    waiting: usize,
    waiting_bytes: usize,
}

impl StartupQueue {
    /// Creates the empty queue of a daemon that has started at `started`.
    pub fn new(started: Millis) -> Self {
        Self {
            started,
            waiting: 0,
            waiting_bytes: 0,
        }
    }

    /// Decides on a request with a body of `bytes` that arrives while the daemon has no view.
    /// `remaining` is the time until the caller's deadline, if it has one.
    ///
    /// A request whose deadline passes before the view is expected is refused immediately, so that
    /// its caller loses no time.
    pub fn offer(
        &mut self,
        now: Millis,
        remaining: Option<Millis>,
        bytes: usize,
    ) -> StartupDecision {
        let max_wait =
            remaining.map_or(WAIT_WITHOUT_DEADLINE, |left| Millis(left.0 / WAIT_DIVISOR));
        let wait_end = now
            .after(max_wait)
            .min(self.started.after(MAX_STARTUP_TIME));
        let expected_view = self.started.after(EXPECTED_STARTUP_TIME);
        let is_late = remaining.is_some_and(|left| now.after(left) <= expected_view);
        let has_room =
            self.waiting < MAX_WAITING && self.waiting_bytes + bytes <= MAX_WAITING_BYTES;
        if !has_room || wait_end <= now || is_late {
            return StartupDecision::Refuse(self.retry_after(now));
        }
        self.waiting += 1;
        self.waiting_bytes += bytes;
        StartupDecision::Wait(wait_end)
    }

    /// Removes a request that was told to wait, after it has been served or refused or its caller
    /// has left. `bytes` must be as in [`StartupQueue::offer`].
    pub fn leave(&mut self, bytes: usize) {
        self.waiting = self.waiting.saturating_sub(1);
        self.waiting_bytes = self.waiting_bytes.saturating_sub(bytes);
    }

    /// Returns the delay after which a caller that is refused now may retry: the time until the
    /// view is expected.
    pub fn retry_after(&self, now: Millis) -> Millis {
        let expected_view = self.started.after(EXPECTED_STARTUP_TIME);
        expected_view.since(now).max(MIN_RETRY_AFTER)
    }
}

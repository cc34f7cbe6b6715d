//! Decisions during the planned stop of a daemon: which work it still accepts, and when it ends the
//! work that is left (`docs/design.md`, section 6).
//!
//! The process is killed some time after the signal to stop, so work that outlasts the stop can't be
//! finished here. An entry that is cut leaves its caller without an answer; an owner that is cut
//! leaves the entry without a verdict. Both therefore end their work shortly before the stop ends,
//! while they can still say how it ended.
//!
//! Invariants: a request that may not be sent again is accepted only if its deadline passes before
//! [`Stop::answers_due`]; no call of another daemon is accepted whose deadline passes later.

use sycamoreflow_state::ids::Millis;

#[cfg(test)]
mod tests;

/// Time between the last answers of a stopping daemon and the end of the stop. The answers have to
/// be written, and may have to cross a slow link.
const ANSWER_TIME: Millis = Millis(100);

/// Largest part of a stop that [`ANSWER_TIME`] may take, as a divisor.
const ANSWER_TIME_DIVISOR: u64 = 4;

/// A planned stop that has begun.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Stop {
    answers_due: Millis,
}

impl Stop {
    /// Creates a stop that begins at `now` and ends after `drain_timeout`.
    pub fn new(now: Millis, drain_timeout: Millis) -> Self {
        let answer_time = ANSWER_TIME.min(Millis(drain_timeout.0 / ANSWER_TIME_DIVISOR));
        Self {
            answers_due: now.after(drain_timeout.since(answer_time)),
        }
    }

    /// Returns when work that is still in progress is ended, so that its result can be sent before
    /// the stop ends.
    pub fn answers_due(&self) -> Millis {
        self.answers_due
    }

    /// Returns the deadline of an attempt that is made during the stop.
    pub fn bounded(&self, deadline: Millis) -> Millis {
        deadline.min(self.answers_due)
    }

    /// Returns whether a request of a caller with this deadline is accepted. `is_announced` is
    /// whether the other daemons know of the stop.
    ///
    /// Most requests end long before their deadline, so an idempotent one is accepted until callers
    /// have had time to turn to other daemons. The deadlines of its attempts are then
    /// [`Stop::bounded`].
    pub fn accepts_request(&self, deadline: Millis, idempotent: bool, is_announced: bool) -> bool {
        deadline <= self.answers_due || (idempotent && !is_announced)
    }

    /// Returns whether a call of another daemon with this deadline is accepted. That daemon can send
    /// the call to another owner at once, which is better than to end it here while it runs.
    pub fn accepts_call(&self, deadline: Millis) -> bool {
        deadline <= self.answers_due
    }
}

//! What a delay or a refusal costs the caller of a request (`docs/design/shedding.md`).
//!
//! When there is too little room, every decision compares the same two quantities: the expected
//! value of an answer if the call waits where it is, and the expected value if it is refused at
//! once. A refused call is not lost: the entry daemon tries another endpoint while there is time,
//! and the caller may return after the delay that it is told. The functions are used by the queue
//! at the owner daemon, by the choice of an endpoint, and by [`OverloadTimer`] for that delay.

use sycamoreflow_state::ids::{Micros, Millis};

#[cfg(test)]
mod tests;

/// Shape parameter of the log-logistic distribution of service times. Service times vary by a
/// factor of about two around their median, which this shape describes.
const LOG_LOGISTIC_SHAPE: f64 = 3.5;
/// Chance that another endpoint has room for a call that this one cannot start in time. The daemon
/// at an endpoint does not know the others, which may be as full or idle.
const ROOM_ELSEWHERE: f64 = 0.5;
/// Time in microseconds for which a refused call is under way to another endpoint: two messages
/// between data centres of one region.
const REROUTE_TIME: f64 = 10_000.0;
/// Time without a refused request after which an overload has ended.
const OVERLOAD_GAP: Millis = Millis(1_000);

/// When the answer to a call is worth something to its caller.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AnswerValue {
    /// Time left until the target latency; a later answer is late.
    pub target: Micros,
    /// Time left until the caller has no use for an answer, if it is limited.
    pub deadline: Option<Micros>,
    /// Value of a late answer relative to one in time, before a reduction that grows with the
    /// delay.
    pub late: f64,
}

impl AnswerValue {
    /// Returns the expected value of an answer whose expected latency is `expected` microseconds,
    /// relative to one in time.
    pub fn expected(&self, expected: f64) -> f64 {
        let ratio = ratio(expected, self.target);
        let in_time = chance(ratio);
        let answered = match self.deadline {
            Some(deadline) => chance(self::ratio(expected, deadline)).max(in_time),
            None => 1.0,
        };
        in_time + (answered - in_time) * self.late / (1.0 + ratio / 4.0)
    }

    /// Returns the value that a call loses if it waits for `wait` microseconds before it runs for
    /// `service` microseconds.
    pub fn cost_of_delay(&self, wait: f64, service: f64) -> f64 {
        self.expected(service) - self.expected(wait + service)
    }

    /// Returns the value that a call of `service` microseconds loses if it is refused before it
    /// has run, so that another endpoint may run it.
    pub fn cost_of_refusal(&self, service: f64) -> f64 {
        self.expected(service) - ROOM_ELSEWHERE * self.expected(REROUTE_TIME + service)
    }

    /// Returns whether a waiting call is better off if it is refused now than if it waits for
    /// `wait` microseconds.
    pub fn gives_way(&self, wait: f64, service: f64) -> bool {
        self.cost_of_delay(wait, service) > self.cost_of_refusal(service)
    }
}

/// Returns an expected latency relative to the time left.
fn ratio(expected: f64, left: Micros) -> f64 {
    expected / left.0.max(1) as f64
}

/// Returns the chance that a latency is at most the time left, by its expected ratio to it.
fn chance(ratio: f64) -> f64 {
    1.0 / (1.0 + ratio.powf(LOG_LOGISTIC_SHAPE))
}

/// Measures how long a service has refused requests for lack of room.
///
/// Nothing tells an entry daemon how long an overload will last. The time for which it has lasted
/// is the usual estimate for the time that remains, so callers that are refused at its beginning
/// return soon, when a short burst is over, and later ones are spread over a longer time.
#[derive(Clone, Copy, Debug, Default)]
pub struct OverloadTimer {
    /// First and latest refusal of the present overload.
    period: Option<(Millis, Millis)>,
}

impl OverloadTimer {
    /// Records that a request was refused for lack of room. Returns for how long requests have been
    /// refused.
    pub fn refused(&mut self, now: Millis) -> Millis {
        let since = match self.period {
            Some((since, latest)) if now.since(latest) < OVERLOAD_GAP => since,
            _ => now,
        };
        self.period = Some((since, now));
        now.since(since)
    }
}

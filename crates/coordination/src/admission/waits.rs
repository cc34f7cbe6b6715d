//! Expected waits in the queue, and the calls that leave it because theirs are too long.

use sycamoreflow_state::ids::{Micros, Millis};
use sycamoreflow_state::verdict::{Failure, Reason};

use super::queue::QueuedCall;
use super::{Admission, Released};
use crate::pace::PaceHistory;
use crate::routing::DEFAULT_SERVICE_TIME;
use crate::shedding::AnswerValue;

#[cfg(test)]
mod tests;

/// One call per this number of slots may always wait in the queue.
const SLOTS_PER_WAITING: usize = 4;

/// Returns the expected service time of a queued call at the present pace of the host.
pub(super) fn service_time(pace: &PaceHistory, now: Millis, call: &QueuedCall) -> Millis {
    Millis((pace.stretched(now, call.work) / 1_000.0) as u64)
}

impl Admission {
    /// Removes the queued calls that are better off elsewhere than behind the calls before them.
    pub(super) fn displace(&mut self, now: Millis) -> Vec<Released> {
        self.defer_late(now);
        let service = |call: &QueuedCall| self.pace.stretched(now, call.work);
        let mut displaced = Vec::new();
        let mut work_before = self.hold_time();
        for call in self.queue.in_order() {
            let wait = Micros::from(self.time_to_run(now, work_before)).0 as f64;
            let value = AnswerValue {
                target: Micros::from(call.due.since(now)),
                deadline: Some(Micros::from(call.deadline.since(now))),
                late: call.late_value,
            };
            if call.route.is_some() && value.gives_way(wait, service(call)) {
                displaced.push(call.id);
                continue;
            }
            work_before += call.work;
        }
        let mut released = Vec::new();
        for call in self.queue.remove_all(&displaced) {
            if let Some(route) = &call.route {
                self.refusal_rates
                    .record_offer(call.priority, route, &call.tenant, true);
            }
            let failure = Failure::not_run(Reason::Overloaded);
            released.push(Released::Refused(call.id, failure));
        }
        released
    }

    /// Moves the queued calls that can only be late behind those that can be in time.
    pub(super) fn defer_late(&mut self, now: Millis) {
        let pace = &self.pace;
        self.queue
            .defer_late(now, |call| service_time(pace, now, call));
    }

    /// Returns the mean time in microseconds for which calls hold their slots at usual pace. Until
    /// the first call has ended, an assumed time keeps the queue of a new upstream short.
    pub(super) fn hold_time(&self) -> f64 {
        if self.mean_hold_time > 0.0 {
            return self.mean_hold_time;
        }
        DEFAULT_SERVICE_TIME
    }

    /// Returns the expected wait for a slot of a new call with this priority and order.
    pub(super) fn expected_wait(&self, now: Millis, priority: u32, order: Millis) -> Millis {
        self.time_to_run(
            now,
            self.queue.work_before(priority, order) + self.hold_time(),
        )
    }

    /// Returns the time that all slots together need from now for calls that hold slots for `work`
    /// microseconds at usual pace.
    fn time_to_run(&self, now: Millis, work: f64) -> Millis {
        let usual = work / self.limit.get().max(1) as f64;
        let micros = self.pace.stretched(now, usual);
        Millis((micros / 1_000.0) as u64)
    }

    /// Returns the wait that is always allowed, at most `slack`. It corresponds to a queue just
    /// long enough to keep all slots in use; without it, slots would be idle between the end of a
    /// call and the arrival of the next one.
    pub(super) fn min_allowed_wait(&self, now: Millis, slack: Millis) -> Millis {
        let calls = self.limit.get().div_ceil(SLOTS_PER_WAITING);
        self.time_to_run(now, calls as f64 * self.hold_time())
            .min(slack)
    }
}

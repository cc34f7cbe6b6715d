//! State of one upstream on the host of this daemon: its announcement, its admission and the calls
//! that wait for a slot.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use async_std::future::timeout;
use futures::channel::oneshot;
use parking_lot::Mutex;
use sycamoreflow_coordination::admission::{
    Admission, CallId, Decision, Released, UpstreamResult, Urgency,
};
use sycamoreflow_coordination::cold::ColdLimiter;
use sycamoreflow_coordination::pace::{Pace, RouteTimes};
use sycamoreflow_coordination::routing::Load;
use sycamoreflow_protocol::call::{Answer, Call};
use sycamoreflow_state::endpoint::Announcement;
use sycamoreflow_state::ids::{Micros, Millis, RouteName};
use sycamoreflow_state::verdict::{Failure, Reason};

use super::{InstanceReport, Result};
use crate::clock;
use crate::proxy::attempts::LATE_ANSWER_VALUE;
use crate::proxy::crashes::CrashTracker;
use crate::proxy::dialect::{Dialect, InvalidPace};
use crate::proxy::headers;
use crate::telemetry::{ANSWERS, REFUSALS};

/// Interval at which a waiting call checks the timeouts of the queue.
const QUEUE_TICK: Duration = Duration::from_millis(25);

/// An upstream that has announced itself.
#[derive(Debug)]
pub(super) struct Upstream {
    pub(super) announcement: Announcement,
    /// Latest report, if the upstream identifies its instances.
    pub(super) report: Mutex<Option<InstanceReport>>,
    pub(super) route_times: Mutex<RouteTimes>,
    pub(super) last_renewed: Mutex<Millis>,
    pub(super) draining: AtomicBool,
    /// Whether the upstream has reported that it is about to exit.
    pub(super) departed: AtomicBool,
    /// Whether the upstream has crashed or another instance has taken its address. It gets no new
    /// work until it announces itself again.
    pub(super) retired: AtomicBool,
    pub(super) admission: Mutex<Admission>,
    /// Limit of the calls that are sent while the upstream is cold.
    pub(super) cold: Mutex<ColdLimiter>,
    pub(super) waiting: Mutex<HashMap<CallId, oneshot::Sender<Result<()>>>>,
}

impl Upstream {
    /// Refuses new calls. Running and waiting calls are not affected.
    pub(super) fn drain(&self) {
        self.draining.store(true, Ordering::SeqCst);
        self.admission.lock().drain();
    }

    /// Refuses waiting calls as soon as they are not expected to end before `end`.
    pub(super) fn end_queue_by(&self, end: Millis) {
        self.admission.lock().end_by(clock::now(), end);
    }

    /// Refuses new calls and those that wait, since other upstreams can run them.
    pub(super) fn stop_new_work(&self) {
        self.drain();
        self.refuse_new_calls();
    }

    /// Refuses new calls and those that wait, without marking the upstream as draining.
    pub(super) fn refuse_new_calls(&self) {
        self.admission.lock().drain();
        let released = self.admission.lock().refuse_queued();
        self.release(released);
    }

    /// Takes the upstream out of use until it announces itself again, because another instance has
    /// its address.
    pub(super) fn retire(&self) {
        self.retired.store(true, Ordering::SeqCst);
        self.stop_new_work();
    }

    /// Records a crash of the upstream once, and refuses new and waiting calls.
    pub(super) fn mark_crashed(&self, crashes: &CrashTracker) {
        if self.retired.swap(true, Ordering::SeqCst) {
            return;
        }
        crashes.upstream_crashed();
        self.stop_new_work();
    }

    /// Returns whether a report is of the same instance as the latest one.
    pub(super) fn is_instance(&self, report: Option<&InstanceReport>) -> bool {
        let identity = |report: &InstanceReport| (report.instance.clone(), report.started_at);
        self.report.lock().as_ref().map(identity) == report.map(identity)
    }

    /// Offers a call to admission, with an urgency if its route has a target latency.
    pub(super) fn offer(&self, id: CallId, call: &Call, deadline: Millis) -> Decision {
        let now = clock::now();
        let mut admission = self.admission.lock();
        let Some(target) = call.urgency.target_ms else {
            return admission.offer(now, id, &call.tenant, deadline);
        };
        let urgency = Urgency {
            route: &call.route,
            priority: call.urgency.priority,
            due: now.after(Millis(u64::from(target))).min(deadline),
            expected: self.route_times.lock().get(&call.route),
            late_value: LATE_ANSWER_VALUE,
        };
        let decision = admission.offer_urgent(now, id, &call.tenant, deadline, urgency);
        let displaced = admission.take_displaced();
        drop(admission);
        self.release(displaced);
        decision
    }

    /// Records the pace that an answer of the upstream reports. One that cannot be read is counted
    /// and has no effect, since the host may be at any pace.
    pub(super) fn observe_pace(&self, pace: std::result::Result<Pace, InvalidPace>) {
        let Ok(pace) = pace else {
            metrics::counter!("sycamoreflow_invalid_pace_reports_total").increment(1);
            return;
        };
        self.admission.lock().observe_pace(clock::now(), pace);
        let service = self.announcement.service.as_str().to_owned();
        metrics::gauge!("sycamoreflow_upstream_pace", "service" => service).set(pace.factor());
    }

    /// Adds the latency of an answer to the estimate of its route.
    pub(super) fn record_latency(&self, route: &RouteName, latency: Micros) {
        let admission = self.admission.lock();
        let usual = admission.pace().usual_time(clock::now(), latency);
        drop(admission);
        self.route_times.lock().record(route, usual);
    }

    /// Returns the load to report with a reply to a call of `route`. The caller sets `waited`.
    pub(super) fn load(&self, route: &RouteName) -> Load {
        let admission = self.admission.lock();
        Load {
            running: admission.running() as u32,
            queued: admission.queued() as u32,
            limit: admission.limit() as u32,
            mean: admission.recent_latency(),
            route: self.route_times.lock().get(route),
            waited: Micros(0),
            pace: admission.pace().latest(clock::now()),
            closed_for: self.cold.lock().wait(clock::now()),
        }
    }

    /// Applies what a report says of the cold start, and logs whether the upstream is cold if that
    /// has changed.
    pub(super) fn report_cold(&self, cold_for: Option<Millis>) {
        let now = clock::now();
        let mut cold = self.cold.lock();
        let before = cold.is_cold(now);
        cold.reported(now, cold_for);
        let after = cold.is_cold(now);
        if before != after {
            tracing::info!(event = "upstream_cold", service = %self.announcement.service,
                cold = after, cold_for_ms = cold_for.map(|time| time.0));
        }
    }

    /// Logs that a call was refused without being sent to the upstream. `stopping` is whether the
    /// daemon is about to stop.
    pub(super) fn log_refusal(
        &self,
        call: &Call,
        dialect: &Dialect,
        failure: Failure,
        stopping: bool,
    ) {
        let load = self.load(&call.route);
        tracing::info!(
            target: REFUSALS,
            event = "owner_refused",
            request = headers::request_id(call, dialect),
            route = %call.route,
            reason = headers::reason_text(failure.reason),
            running = load.running,
            queued = load.queued,
            limit = load.limit,
            mean_us = load.mean.0,
            target_ms = call.urgency.target_ms,
            stopping,
        );
    }

    /// Logs the result of a call that was sent to the upstream. `waited` is the time in the queue,
    /// `latency` is the time that the upstream took, and `stopping` is whether the daemon is about
    /// to stop.
    pub(super) fn log_completion(
        &self,
        call: &Call,
        dialect: &Dialect,
        waited: Millis,
        latency: Micros,
        result: &Result<Answer>,
        stopping: bool,
    ) {
        let (status, failure) = match result {
            Ok(answer) => (Some(answer.status), None),
            Err(failure) => (None, Some(failure)),
        };
        let log_target = if failure.is_some() { REFUSALS } else { ANSWERS };
        let running = self.admission.lock().running();
        let reason = failure.map(|f| headers::reason_text(f.reason));
        let verdict = failure.map(|f| f.verdict.as_str());
        let request = headers::request_id(call, dialect);
        if log_target == REFUSALS {
            tracing::info!(target: REFUSALS, event = "owner_ran", request, route = %call.route,
                priority = call.urgency.priority, running, waited_ms = waited.0, took_us = latency.0, reason, verdict, stopping);
            return;
        }
        tracing::info!(target: ANSWERS, event = "owner_ran", request, route = %call.route,
            priority = call.urgency.priority, running, waited_ms = waited.0, took_us = latency.0, status, stopping);
    }

    /// Returns the number of calls that run or wait.
    pub(super) fn in_flight(&self) -> usize {
        let admission = self.admission.lock();
        admission.running() + admission.queued()
    }

    /// Waits until the queue releases or refuses a call. Waiting calls check the timeouts of the
    /// queue themselves, so that an upstream without waiting calls needs no timer.
    pub(super) async fn wait_for_slot(&self, mut rx: oneshot::Receiver<Result<()>>) -> Result<()> {
        loop {
            match timeout(QUEUE_TICK, &mut rx).await {
                Ok(Ok(result)) => return result,
                Ok(Err(_)) => return Err(Failure::not_run(Reason::Draining)),
                Err(_) => {
                    let released = self.admission.lock().tick(clock::now());
                    self.release(released);
                }
            }
        }
    }

    /// Notifies waiting calls that have left the queue.
    fn release(&self, released: Vec<Released>) {
        let mut waiting = self.waiting.lock();
        for release in released {
            let (id, result) = match release {
                Released::Start(id) => (id, Ok(())),
                Released::Refused(id, failure) => {
                    let reason = headers::reason_text(failure.reason);
                    metrics::counter!("sycamoreflow_waiting_calls_refused_total",
                        "reason" => reason)
                    .increment(1);
                    (id, Err(failure))
                }
            };
            let Some(tx) = waiting.remove(&id) else {
                continue;
            };
            // Fails if the call was cancelled, in which case dropping its `Slot` frees the slot.
            let _ = tx.send(result);
        }
    }

    /// Refuses all waiting calls, because the upstream was replaced or removed.
    pub(super) fn refuse_waiting(&self) {
        for (_, tx) in self.waiting.lock().drain() {
            let _ = tx.send(Err(Failure::not_run(Reason::NoEndpoint)));
        }
    }
}

/// A slot or a queue position of a call at an upstream. Dropping it before the call has finished
/// frees it: the caller has disconnected, and the connection to the upstream is closed with the
/// request.
#[derive(Debug)]
pub(super) struct Slot {
    pub(super) upstream: Arc<Upstream>,
    pub(super) id: CallId,
    pub(super) held: bool,
}

impl Slot {
    /// Frees the slot of a call that has ended, and starts waiting calls.
    pub(super) fn finish(&mut self, outcome: UpstreamResult) {
        self.held = false;
        let released = {
            let mut admission = self.upstream.admission.lock();
            admission.finish(clock::now(), self.id, outcome)
        };
        self.upstream.release(released);
    }

    /// Drops the value for a call that admission has refused, so that it holds nothing to free.
    pub(super) fn forget(mut self) {
        self.held = false;
        self.upstream.waiting.lock().remove(&self.id);
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        if !self.held {
            return;
        }
        self.upstream.waiting.lock().remove(&self.id);
        let was_queued = self.upstream.admission.lock().cancel(self.id);
        if !was_queued {
            self.finish(UpstreamResult::Abandoned);
        }
    }
}

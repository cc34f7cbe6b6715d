//! Admission control at the daemon beside the upstream.
//!
//! The daemon counts the calls that it has sent to the upstream, so that a slot is never assigned
//! twice and a refusal proves that the call did not run (`docs/design.md`, section 2.4). The
//! concurrency limit falls below the announced slots while the upstream sheds load or slows down.
//! Calls beyond the limit wait in a short queue that tenants share by weight; calls that do not fit
//! into the queue are refused immediately.
//!
//! Slots are not reserved: a tenant that is alone may use all of them, and a second tenant then
//! receives the slots that become free until it has its share.

mod limit;
mod pressure;
mod queue;
#[cfg(test)]
mod tests;
mod waits;

use std::collections::BTreeMap;

use sycamoreflow_state::ids::{Micros, Millis, RouteName, TenantName};
use sycamoreflow_state::verdict::{Failure, Reason};

use crate::pace::{Pace, PaceHistory};
use limit::Limit;
use pressure::RefusalRates;
use queue::{Queue, QueuedCall};

/// Weight of one call in the moving average of the time for which calls hold their slots.
const HOLD_TIME_WEIGHT: f64 = 0.05;
/// Time between the latest start of a call and its due time, relative to the mean service time of
/// its route. Two in three calls take less, since service times vary by a factor of about two
/// around their median.
const START_MARGIN: f64 = 1.5;
/// Minimum slot time in microseconds charged for each call, so that calls that fail immediately are
/// not free.
const MIN_CHARGE: f64 = 100.0;

/// Identifier of a call at the owner daemon, unique among its unfinished calls.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct CallId(pub u64);

/// Settings of an [`Admission`].
#[derive(Clone, Debug)]
pub struct AdmissionConfig {
    /// Number of requests that the upstream runs concurrently, as announced.
    pub slots: u32,
    /// Weights of the tenants. A tenant without an entry has weight 1.
    pub weights: Vec<(TenantName, u32)>,
    /// Maximum number of queued calls per slot, for calls without urgency.
    pub queue_per_slot: u32,
    /// Maximum time that a call without urgency waits in the queue.
    pub max_wait: Millis,
    /// Whether the limit falls below the slots while the upstream sheds load or is slow. An
    /// upstream without other clients has free capacity while fewer calls run than it has slots,
    /// and then sheds for other reasons.
    pub adaptive_limit: bool,
}

impl AdmissionConfig {
    /// Returns the default settings for an upstream with `slots` slots.
    pub fn new(slots: u32) -> Self {
        Self {
            slots,
            weights: Vec::new(),
            queue_per_slot: 2,
            max_wait: Millis(50),
            adaptive_limit: true,
        }
    }
}

/// Priority and timing of a call, for [`Admission::offer_urgent`].
#[derive(Clone, Copy, Debug)]
pub struct Urgency<'a> {
    /// Route of the call. Refusals are balanced among the routes of one priority.
    pub route: &'a RouteName,
    /// Priority; calls with a lower value start first.
    pub priority: u32,
    /// When the answer is due. A call that cannot be answered by then is not queued.
    pub due: Millis,
    /// Expected service time of the call at the upstream at the usual pace of the host, or zero if
    /// it is unknown.
    pub expected: Micros,
    /// Value of a late answer relative to one in time.
    pub late_value: f64,
}

impl Urgency<'_> {
    /// Returns the latest start time at which the call is likely to be answered when it is due.
    /// Calls start in the order of this time. In the order of their due times, short calls would
    /// overtake accepted long calls until those are late.
    ///
    /// `expected` is the service time in microseconds at the present pace of the host.
    fn latest_start(&self, expected: f64) -> Millis {
        let margin = expected * START_MARGIN / 1_000.0;
        Millis(self.due.0.saturating_sub(margin as u64))
    }
}

/// The admission decision for an offered call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decision {
    /// Send the call to the upstream now.
    Start,
    /// Hold the call until a list of [`Released`] calls contains it.
    Queued,
    /// Answer with this failure. The call did not run.
    Refused(Failure),
}

/// A call that has left the queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Released {
    /// Send the call to the upstream now.
    Start(CallId),
    /// Answer the call with this failure. It did not run.
    Refused(CallId, Failure),
}

/// How a started call ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UpstreamResult {
    /// A complete answer arrived after this time.
    Answered(Micros),
    /// The upstream refused the request before running it.
    Shed,
    /// The connection failed, the answer was malformed, or the deadline passed.
    Failed,
    /// The call was cancelled or was never sent to the upstream.
    Abandoned,
}

/// Admission state of one upstream.
#[derive(Debug)]
pub struct Admission {
    cfg: AdmissionConfig,
    limit: Limit,
    running: BTreeMap<CallId, Running>,
    queue: Queue,
    draining: bool,
    /// When the daemon ends the calls in progress, if it is about to stop.
    end: Option<Millis>,
    /// Mean time in microseconds for which calls hold their slots at the usual pace of the host,
    /// except for calls that the upstream shed.
    mean_hold_time: f64,
    pace: PaceHistory,
    refusal_rates: RefusalRates,
    /// Calls that had to leave the queue for the latest offered call.
    displaced: Vec<Released>,
}

/// A call that has been sent to the upstream.
#[derive(Clone, Debug)]
struct Running {
    tenant: TenantName,
    started: Millis,
    /// Slot time in microseconds charged to the tenant at the start.
    charge: f64,
}

impl Running {
    /// Returns the slot time in microseconds that the call has used beyond its charge.
    fn overrun(&self, now: Millis) -> f64 {
        let used = Micros::from(now.since(self.started)).0 as f64;
        (used - self.charge).max(0.0)
    }
}

impl Admission {
    /// Creates the admission state of an upstream without running calls.
    pub fn new(cfg: AdmissionConfig) -> Self {
        Self {
            limit: Limit::new(cfg.slots).with_adaptive(cfg.adaptive_limit),
            cfg,
            running: BTreeMap::new(),
            queue: Queue::default(),
            draining: false,
            end: None,
            mean_hold_time: 0.0,
            pace: PaceHistory::default(),
            refusal_rates: RefusalRates::default(),
            displaced: Vec::new(),
        }
    }

    /// Starts, queues or refuses a new call of `tenant` whose caller has no use for an answer after
    /// `deadline`.
    ///
    /// An identifier that is in use is refused, since two calls cannot share a slot.
    pub fn offer(
        &mut self,
        now: Millis,
        id: CallId,
        tenant: &TenantName,
        deadline: Millis,
    ) -> Decision {
        if let Some(reason) = self.refusal(now, id, deadline) {
            return Decision::Refused(Failure::not_run(reason));
        }
        self.queue.register(tenant, self.weight(tenant));
        if self.queue.len() == 0 && self.running.len() < self.limit.get() {
            self.start(now, id, tenant);
            return Decision::Start;
        }
        let capacity = self.limit.get() * self.cfg.queue_per_slot as usize;
        if !self.queue.may_queue(tenant, capacity) {
            self.queue.remove_if_idle(tenant);
            return Decision::Refused(Failure::not_run(Reason::Overloaded));
        }
        let call = QueuedCall {
            id,
            tenant: tenant.clone(),
            route: None,
            priority: 0,
            order: deadline,
            work: self.hold_time(),
            due: deadline,
            late_value: 0.0,
            deadline,
            expires: deadline.min(now.after(self.cfg.max_wait)),
        };
        self.queue.push(tenant, call);
        self.bound_queue(now);
        Decision::Queued
    }

    /// Starts, queues or refuses a new call like [`Admission::offer`], but orders the queue by
    /// urgency and queues a call only if it is likely to be answered when it is due. Other calls
    /// are refused immediately, so that the caller loses no time. A queued call is refused when the
    /// time left until its deadline is less than its expected service time, or as soon as calls that
    /// go before it leave it so little time that it is better off elsewhere.
    ///
    /// The caller must then release the calls of [`Admission::take_displaced`].
    pub fn offer_urgent(
        &mut self,
        now: Millis,
        id: CallId,
        tenant: &TenantName,
        deadline: Millis,
        urgency: Urgency<'_>,
    ) -> Decision {
        if let Some(reason) = self.refusal(now, id, deadline) {
            return Decision::Refused(Failure::not_run(reason));
        }
        self.queue.register(tenant, self.weight(tenant));
        if self.queue.len() == 0 && self.running.len() < self.limit.get() {
            self.refusal_rates
                .record_offer(urgency.priority, urgency.route, tenant, false);
            self.start(now, id, tenant);
            return Decision::Start;
        }
        let work = match urgency.expected {
            Micros(0) => self.hold_time(),
            Micros(expected) => expected as f64,
        };
        let expected_us = self.pace.stretched(now, work);
        let expected = Millis((expected_us / 1_000.0) as u64);
        let order = urgency.latest_start(expected_us);
        let rates = &self.refusal_rates;
        let priority = rates.effective_priority(urgency.priority, urgency.route, tenant);
        let allowance = rates.wait_allowance(priority, urgency.route);
        let expected_wait = self.expected_wait(now, priority, order);
        let slack = urgency.due.since(now).since(expected);
        let allowed = allowance.allowed_wait(slack);
        let full = expected_wait > allowed.max(self.min_allowed_wait(now, slack));
        self.refusal_rates
            .record_offer(urgency.priority, urgency.route, tenant, full);
        if full {
            self.queue.remove_if_idle(tenant);
            return Decision::Refused(Failure::not_run(Reason::Overloaded));
        }
        let call = QueuedCall {
            id,
            tenant: tenant.clone(),
            route: Some(urgency.route.clone()),
            priority,
            order,
            work,
            due: urgency.due,
            late_value: urgency.late_value,
            deadline,
            expires: Millis(deadline.0.saturating_sub(expected.0)).max(now.after(Millis(1))),
        };
        self.queue.push(tenant, call);
        self.bound_queue(now);
        let displaced = self.displace(now);
        self.displaced.extend(displaced);
        Decision::Queued
    }

    /// Removes and returns the calls that had to leave the queue for the calls offered since the
    /// latest call of this function.
    pub fn take_displaced(&mut self) -> Vec<Released> {
        std::mem::take(&mut self.displaced)
    }

    /// Records the pace that the upstream has reported. Until the first report, the host is taken to
    /// be at its usual pace.
    pub fn observe_pace(&mut self, now: Millis, pace: Pace) {
        self.pace.observe(now, pace);
    }

    /// Returns the recent paces of the host.
    pub fn pace(&self) -> &PaceHistory {
        &self.pace
    }

    /// Returns the mean latency of recent answers at the usual pace of the host.
    pub fn recent_latency(&self) -> Micros {
        self.limit.recent_latency()
    }

    /// Removes all calls from the queue and refuses them as draining.
    pub fn refuse_queued(&mut self) -> Vec<Released> {
        let queued = self.queue.clear();
        let failure = Failure::not_run(Reason::Draining);
        let released = queued.into_iter();
        released
            .map(|call| Released::Refused(call.id, failure))
            .collect()
    }

    /// Frees the slot of a started call and returns the calls that have left the queue as a result.
    /// An unknown identifier frees no slot.
    pub fn finish(&mut self, now: Millis, id: CallId, result: UpstreamResult) -> Vec<Released> {
        let count = self.running.len();
        let Some(call) = self.running.remove(&id) else {
            return self.tick(now);
        };
        let hold_time = Micros::from(now.since(call.started));
        let hold_time = self.pace.usual_time(now, hold_time);
        if result != UpstreamResult::Shed {
            let sample = hold_time.0 as f64;
            let weight = if self.mean_hold_time == 0.0 {
                1.0
            } else {
                HOLD_TIME_WEIGHT
            };
            self.mean_hold_time += (sample - self.mean_hold_time) * weight;
        }
        let used = match result {
            UpstreamResult::Answered(latency) => self.pace.usual_time(now, latency),
            _ => hold_time,
        };
        let difference = (used.0 as f64).max(MIN_CHARGE) - call.charge;
        self.queue.finished(&call.tenant, difference);
        match result {
            UpstreamResult::Answered(_) => self.limit.answered(now, used, count),
            UpstreamResult::Shed => self.limit.shed(count),
            UpstreamResult::Failed | UpstreamResult::Abandoned => {}
        }
        let released = self.tick(now);
        self.queue.remove_if_idle(&call.tenant);
        released
    }

    /// Removes a call from the queue and returns whether it was queued.
    ///
    /// A started call keeps its slot until [`Admission::finish`], since the upstream may still be
    /// running it.
    pub fn cancel(&mut self, id: CallId) -> bool {
        self.queue.remove(id)
    }

    /// Removes and returns the queued calls whose time in the queue has expired or for which a slot
    /// is free. The caller must call this every few milliseconds while [`Admission::queued`] is not
    /// zero.
    pub fn tick(&mut self, now: Millis) -> Vec<Released> {
        let mut released = Vec::new();
        for call in self.queue.expire(now) {
            let reason = match (call.deadline <= now, self.end.is_some()) {
                (true, _) => Reason::DeadlineExceeded,
                (false, true) => Reason::Draining,
                (false, false) => Reason::Overloaded,
            };
            released.push(Released::Refused(call.id, Failure::not_run(reason)));
        }
        self.defer_late(now);
        while self.running.len() < self.limit.get() {
            let running = &self.running;
            let Some((tenant, call)) = self.queue.pop(|name| overrun(running, name, now)) else {
                break;
            };
            self.start(now, call.id, &tenant);
            released.push(Released::Start(call.id));
        }
        released.extend(self.displace(now));
        released
    }

    /// Replaces the settings. A changed number of slots scales the current limit.
    pub fn configure(&mut self, cfg: AdmissionConfig) {
        self.limit.set_slots(cfg.slots);
        self.cfg = cfg;
    }

    /// Refuses new calls from now on. Queued calls are still started, since refusing them would
    /// abort accepted work. They wait for at most [`AdmissionConfig::max_wait`], or, if they were
    /// offered with an urgency, for as long as their deadline allows.
    pub fn drain(&mut self) {
        self.draining = true;
    }

    /// Refuses queued calls as soon as they are not expected to end before `end`, when the daemon
    /// ends the calls in progress. Other daemons may still run them.
    pub fn end_by(&mut self, now: Millis, end: Millis) {
        self.end = Some(end);
        self.bound_queue(now);
    }

    /// Applies the end of the daemon to the queue, also to a call that was offered at the same time
    /// as the stop began.
    fn bound_queue(&mut self, now: Millis) {
        let Some(end) = self.end else {
            return;
        };
        let pace = &self.pace;
        self.queue
            .bound(end, |call| waits::service_time(pace, now, call));
    }

    /// Accepts new calls again after [`Admission::drain`].
    pub fn resume(&mut self) {
        self.draining = false;
    }

    /// Returns the number of started calls.
    pub fn running(&self) -> usize {
        self.running.len()
    }

    /// Returns the number of queued calls.
    pub fn queued(&self) -> usize {
        self.queue.len()
    }

    /// Returns the current concurrency limit.
    pub fn limit(&self) -> usize {
        self.limit.get()
    }

    fn refusal(&self, now: Millis, id: CallId, deadline: Millis) -> Option<Reason> {
        if self.draining {
            return Some(Reason::Draining);
        }
        if deadline <= now {
            return Some(Reason::DeadlineExceeded);
        }
        let in_use = self.running.contains_key(&id) || self.queue.contains(id);
        in_use.then_some(Reason::BadRequest)
    }

    fn start(&mut self, now: Millis, id: CallId, tenant: &TenantName) {
        let charge = (self.limit.recent_latency().0 as f64).max(MIN_CHARGE);
        self.queue.started(tenant, charge);
        let call = Running {
            tenant: tenant.clone(),
            started: now,
            charge,
        };
        self.running.insert(id, call);
    }

    fn weight(&self, tenant: &TenantName) -> u32 {
        let mut weights = self.cfg.weights.iter();
        weights
            .find(|(name, _)| name == tenant)
            .map_or(1, |(_, weight)| *weight)
    }
}

/// Returns the slot time in microseconds that the running calls of `tenant` have used beyond their
/// charges.
fn overrun(running: &BTreeMap<CallId, Running>, tenant: &TenantName, now: Millis) -> f64 {
    let calls = running.values().filter(|call| call.tenant == *tenant);
    calls.map(|call| call.overrun(now)).sum()
}

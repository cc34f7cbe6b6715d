//! Admission control at the daemon beside the upstream.
//!
//! The daemon counts the calls that it has sent to the upstream, so a slot is never given twice
//! and a refusal proves that the call did not run (`docs/design.md`, section 2.4). The limit falls
//! below the announced slots while the upstream sheds or slows down. Calls beyond the limit wait in
//! a short queue that tenants share by weight; calls beyond the queue are refused at once.
//!
//! Slots are not reserved: a tenant alone may use all of them, and a second tenant receives the
//! next ones that become free until it has its share.

mod limit;
mod queue;
mod refusal_rates;
#[cfg(test)]
mod tests;

use std::collections::BTreeMap;

use sycamoreflow_state::ids::{Micros, Millis, RouteName, TenantName};
use sycamoreflow_state::verdict::{Failure, Reason};

use limit::Limit;
use queue::{Queue, QueuedCall};
use refusal_rates::RefusalRates;

/// Weight of one call in the mean time for which calls hold their slots.
const HOLD_TIME_WEIGHT: f64 = 0.05;
/// Slots per call that may always wait.
const SLOTS_PER_WAITING: usize = 4;
/// Time that is left for a call at its latest start, relative to the mean time of its route. Two in
/// three calls take less, as service times vary by a factor of about two around their median.
const START_MARGIN: f64 = 1.5;
/// Slot time charged at least for each call, so that calls that fail at once are not free.
const MIN_CHARGE: f64 = 100.0;

/// Identifier of a call at the owner daemon, unique among its unfinished calls.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct CallId(pub u64);

/// Settings of an [`Admission`].
#[derive(Clone, Debug)]
pub struct AdmissionConfig {
    /// Number of requests that the upstream runs at once, as announced.
    pub slots: u32,
    /// Weights of the tenants. A tenant without an entry has weight 1.
    pub weights: Vec<(TenantName, u32)>,
    /// Largest number of queued calls per slot.
    pub queue_per_slot: u32,
    /// Longest time that a call waits in the queue.
    pub max_wait: Millis,
    /// Whether the limit falls below the slots while the upstream sheds or is slow. Where nobody
    /// else sends to the upstream, it is never full below its slots, and sheds for other reasons.
    pub adaptive_limit: bool,
}

impl AdmissionConfig {
    /// Makes the default settings for an upstream with `slots` slots.
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

/// How urgent a call is, for [`Admission::offer_urgent`].
#[derive(Clone, Copy, Debug)]
pub struct Urgency<'a> {
    /// Route of the call. Among routes of one rank, none is refused much more often than others.
    pub route: &'a RouteName,
    /// Rank; calls of lower rank start first.
    pub priority: u32,
    /// When the answer must be there for the call to be worth a place in the queue.
    pub due: Millis,
    /// Time that the call is expected to take at the upstream.
    pub expected: Micros,
}

impl Urgency<'_> {
    /// Returns when the call has to start so that it is likely to be answered when it is due. Calls
    /// start in this order: in that of their dues, short calls would overtake accepted long ones
    /// until those are late.
    fn latest_start(&self) -> Millis {
        let margin = self.expected.0 as f64 * START_MARGIN / 1_000.0;
        Millis(self.due.0.saturating_sub(margin as u64))
    }
}

/// What to do with an offered call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decision {
    /// Send the call to the upstream now.
    Start,
    /// Keep the call until it appears in a list of [`Released`] calls.
    Queued,
    /// Answer with this failure. The call did not run.
    Refused(Failure),
}

/// A call that leaves the queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Released {
    /// Send the call to the upstream now.
    Start(CallId),
    /// Answer the call with this failure. It did not run.
    Refused(CallId, Failure),
}

/// How the upstream treated a started call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UpstreamResult {
    /// A whole answer arrived after this time.
    Answered(Micros),
    /// The upstream refused the request before running it.
    Shed,
    /// The connection failed, the answer was malformed, or the deadline passed.
    Failed,
    /// The call was cancelled, or never sent to the upstream.
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
    /// Mean time in microseconds for which calls hold their slots, whatever comes of them.
    mean_hold_time: f64,
    refusal_rates: RefusalRates,
}

/// A call at the upstream.
#[derive(Clone, Debug)]
struct Running {
    tenant: TenantName,
    started: Millis,
    /// Slot time in microseconds that the tenant was charged at the start.
    charge: f64,
}

impl Running {
    /// Returns the slot time that the call has used beyond its charge.
    fn overrun(&self, now: Millis) -> f64 {
        let used = Micros::from(now.since(self.started)).0 as f64;
        (used - self.charge).max(0.0)
    }
}

impl Admission {
    /// Makes the admission state of an idle upstream.
    pub fn new(cfg: AdmissionConfig) -> Self {
        Self {
            limit: Limit::new(cfg.slots).with_adaptive(cfg.adaptive_limit),
            cfg,
            running: BTreeMap::new(),
            queue: Queue::default(),
            draining: false,
            mean_hold_time: 0.0,
            refusal_rates: RefusalRates::default(),
        }
    }

    /// Decides about a new call of `tenant` that is of no use to its caller after `deadline`.
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
        if !self.queue.has_room(tenant, capacity) {
            self.queue.remove_if_idle(tenant);
            return Decision::Refused(Failure::not_run(Reason::Overloaded));
        }
        let call = QueuedCall {
            id,
            priority: 0,
            order: deadline,
            work: self.mean_hold_time,
            deadline,
            expires: deadline.min(now.after(self.cfg.max_wait)),
        };
        self.queue.push(tenant, call);
        Decision::Queued
    }

    /// Decides about a new call as [`Admission::offer`] does, but places it in the queue by its
    /// urgency, and only if it can be answered when it is due. A call that can't is refused at
    /// once, so that its caller loses no time. A queued call waits for as long as its deadline
    /// leaves time to run it.
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
                .record_offer(urgency.priority, urgency.route, false);
            self.start(now, id, tenant);
            return Decision::Start;
        }
        let expected = Millis(urgency.expected.0 / 1_000);
        let allowance = self
            .refusal_rates
            .wait_allowance(urgency.priority, urgency.route);
        let order = urgency.latest_start();
        let expected_wait = self.expected_wait(urgency.priority, order);
        let slack = urgency.due.since(now).since(expected);
        let allowed = allowance.allowed_wait(slack);
        let full = expected_wait > allowed.max(self.min_allowed_wait(slack));
        self.refusal_rates
            .record_offer(urgency.priority, urgency.route, full);
        if full {
            self.queue.remove_if_idle(tenant);
            return Decision::Refused(Failure::not_run(Reason::Overloaded));
        }
        let call = QueuedCall {
            id,
            priority: urgency.priority,
            order,
            work: match urgency.expected {
                Micros(0) => self.mean_hold_time,
                Micros(expected) => expected as f64,
            },
            deadline,
            expires: Millis(deadline.0.saturating_sub(expected.0)).max(now.after(Millis(1))),
        };
        self.queue.push(tenant, call);
        Decision::Queued
    }

    /// Returns how long a new call is expected to wait for a slot in its place of the queue.
    fn expected_wait(&self, priority: u32, order: Millis) -> Millis {
        self.time_to_run(self.queue.work_before(priority, order) + self.mean_hold_time)
    }

    /// Returns the time in which all slots together have run `work` microseconds of calls.
    fn time_to_run(&self, work: f64) -> Millis {
        let micros = work / self.limit.get().max(1) as f64;
        Millis((micros / 1_000.0) as u64)
    }

    /// Returns the wait in a queue that just keeps all slots in use. Without it, slots would be idle
    /// between the end of a call and the arrival of the next one.
    fn min_allowed_wait(&self, slack: Millis) -> Millis {
        let calls = self.limit.get().div_ceil(SLOTS_PER_WAITING);
        self.time_to_run(calls as f64 * self.mean_hold_time)
            .min(slack)
    }

    /// Returns the mean time of recent answers.
    pub fn recent_latency(&self) -> Micros {
        self.limit.recent_latency()
    }

    /// Takes all calls out of the queue, because their upstream is leaving.
    pub fn refuse_queued(&mut self) -> Vec<Released> {
        let queued = self.queue.clear();
        let failure = Failure::not_run(Reason::Draining);
        let released = queued.into_iter();
        released
            .map(|call| Released::Refused(call.id, failure))
            .collect()
    }

    /// Frees the slot of a started call and returns the calls that leave the queue.
    pub fn finish(&mut self, now: Millis, id: CallId, result: UpstreamResult) -> Vec<Released> {
        let count = self.running.len();
        let Some(call) = self.running.remove(&id) else {
            return self.tick(now);
        };
        let hold_time = Micros::from(now.since(call.started));
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
            UpstreamResult::Answered(latency) => latency,
            _ => hold_time,
        };
        let difference = (used.0 as f64).max(MIN_CHARGE) - call.charge;
        self.queue.finished(&call.tenant, difference);
        match result {
            UpstreamResult::Answered(latency) => self.limit.answered(now, latency, count),
            UpstreamResult::Shed => self.limit.shed(count),
            UpstreamResult::Failed | UpstreamResult::Abandoned => {}
        }
        let released = self.tick(now);
        self.queue.remove_if_idle(&call.tenant);
        released
    }

    /// Removes a call from the queue and returns whether it was queued.
    ///
    /// A started call keeps its slot until [`Admission::finish`], since the upstream may still run
    /// it.
    pub fn cancel(&mut self, id: CallId) -> bool {
        self.queue.remove(id)
    }

    /// Returns the queued calls whose time has run out or that have a slot now. Call it every few
    /// milliseconds while [`Admission::queued`] is not zero.
    pub fn tick(&mut self, now: Millis) -> Vec<Released> {
        let mut released = Vec::new();
        for call in self.queue.expire(now) {
            let reason = if call.deadline <= now {
                Reason::DeadlineExceeded
            } else {
                Reason::Overloaded
            };
            released.push(Released::Refused(call.id, Failure::not_run(reason)));
        }
        while self.running.len() < self.limit.get() {
            let running = &self.running;
            let Some((tenant, call)) = self.queue.pop(|name| overrun(running, name, now)) else {
                break;
            };
            self.start(now, call.id, &tenant);
            released.push(Released::Start(call.id));
        }
        released
    }

    /// Changes the announced number of slots and the weights of the tenants.
    pub fn configure(&mut self, cfg: AdmissionConfig) {
        self.limit.set_slots(cfg.slots);
        self.cfg = cfg;
    }

    /// Refuses new calls from now on. Queued calls are still started: they wait for at most
    /// [`AdmissionConfig::max_wait`], and refusing them would interrupt accepted work.
    pub fn drain(&mut self) {
        self.draining = true;
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

    /// Returns the number of calls that may run at once at present.
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

/// Returns the slot time that the running calls of `tenant` have used beyond their charges.
fn overrun(running: &BTreeMap<CallId, Running>, tenant: &TenantName, now: Millis) -> f64 {
    let calls = running.values().filter(|call| call.tenant == *tenant);
    calls.map(|call| call.overrun(now)).sum()
}

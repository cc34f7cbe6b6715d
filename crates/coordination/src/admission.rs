//! Admission control at the daemon beside the upstream.

use std::collections::BTreeSet;

use sycamoreflow_state::ids::{Micros, Millis, TenantName};
use sycamoreflow_state::verdict::{Failure, Reason};

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
}

impl AdmissionConfig {
    /// Makes the default settings for an upstream with `slots` slots.
    pub fn new(slots: u32) -> Self {
        Self {
            slots,
            weights: Vec::new(),
            queue_per_slot: 2,
            max_wait: Millis(50),
        }
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
    running: BTreeSet<CallId>,
    draining: bool,
}

impl Admission {
    /// Makes the admission state of an idle upstream.
    pub fn new(cfg: AdmissionConfig) -> Self {
        Self {
            cfg,
            running: BTreeSet::new(),
            draining: false,
        }
    }

    /// Decides about a new call of `tenant` that is of no use to its caller after `deadline`.
    pub fn offer(
        &mut self,
        now: Millis,
        id: CallId,
        _tenant: &TenantName,
        deadline: Millis,
    ) -> Decision {
        if self.draining {
            return Decision::Refused(Failure::not_run(Reason::Draining));
        }
        if deadline <= now {
            return Decision::Refused(Failure::not_run(Reason::DeadlineExceeded));
        }
        if self.running.len() >= self.cfg.slots as usize {
            return Decision::Refused(Failure::not_run(Reason::Overloaded));
        }
        self.running.insert(id);
        Decision::Start
    }

    /// Frees the slot of a started call and returns the calls that leave the queue.
    pub fn finish(&mut self, _now: Millis, id: CallId, _result: UpstreamResult) -> Vec<Released> {
        self.running.remove(&id);
        Vec::new()
    }

    /// Removes a call from the queue and returns whether it was queued.
    ///
    /// A started call keeps its slot until [`Admission::finish`], since the upstream may still run
    /// it.
    pub fn cancel(&mut self, _id: CallId) -> bool {
        false
    }

    /// Returns the queued calls whose time has run out. Call it every few milliseconds while
    /// [`Admission::queued`] is not zero.
    pub fn tick(&mut self, _now: Millis) -> Vec<Released> {
        Vec::new()
    }

    /// Changes the announced number of slots and the weights of the tenants.
    pub fn configure(&mut self, cfg: AdmissionConfig) {
        self.cfg = cfg;
    }

    /// Refuses new calls from now on. Queued calls are still started.
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
        0
    }
}

//! Calls in progress at the owner, so that each call that is cut short is logged.

use indexmap::IndexMap;
use parking_lot::Mutex;
use sycamoreflow_coordination::admission::CallId;
use sycamoreflow_protocol::call::Call;
use sycamoreflow_state::ids::{Millis, RouteName};

use super::Owner;
use crate::clock;
use crate::proxy::headers;
use crate::telemetry::REFUSALS;

/// The calls that wait or run at the upstreams of an owner.
#[derive(Debug, Default)]
pub(super) struct CallsInProgress {
    calls: Mutex<IndexMap<CallId, CallInProgress>>,
}

/// Numbers of calls in progress.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct CallCounts {
    /// Calls that an upstream runs.
    pub running: usize,
    /// Calls that wait for a slot.
    pub queued: usize,
}

#[derive(Debug)]
struct CallInProgress {
    request: Option<String>,
    route: RouteName,
    offered: Millis,
    phase: Phase,
}

#[derive(Clone, Copy, Debug)]
enum Phase {
    Queued,
    Running,
}

/// A call in progress. Dropping it before [`ProgressGuard::end`] logs that the call was withdrawn,
/// because its entry has cancelled it or the link to the entry has ended.
pub(super) struct ProgressGuard<'a> {
    owner: &'a Owner,
    id: CallId,
}

impl Phase {
    fn as_str(self) -> &'static str {
        match self {
            Self::Queued => "queued",
            Self::Running => "running",
        }
    }
}

impl<'a> ProgressGuard<'a> {
    /// Adds a call that was offered at the time `offered` to those in progress.
    pub(super) fn start(owner: &'a Owner, id: CallId, call: &Call, offered: Millis) -> Self {
        let call = CallInProgress {
            request: headers::request_id(call, &owner.dialect).map(str::to_owned),
            route: call.route.clone(),
            offered,
            phase: Phase::Queued,
        };
        owner.in_progress.calls.lock().insert(id, call);
        Self { owner, id }
    }

    /// Records that the call has a slot.
    pub(super) fn set_running(&self) {
        if let Some(call) = self.owner.in_progress.calls.lock().get_mut(&self.id) {
            call.phase = Phase::Running;
        }
    }

    /// Records that the call has a result.
    pub(super) fn end(self) {
        self.take();
    }

    fn take(&self) -> Option<CallInProgress> {
        self.owner.in_progress.calls.lock().swap_remove(&self.id)
    }
}

impl Drop for ProgressGuard<'_> {
    fn drop(&mut self) {
        // A call that was cut by the stop is no longer present, and already logged.
        let Some(call) = self.take() else {
            return;
        };
        let stopping = self.owner.is_unready();
        call.count_cut("withdrawn", stopping);
        tracing::info!(target: REFUSALS, event = "owner_withdrawn", request = call.request,
            route = %call.route, phase = call.phase.as_str(),
            after_ms = clock::now().since(call.offered).0, stopping);
    }
}

impl Owner {
    /// Logs the calls that are still in progress when a planned stop ends, and returns their
    /// numbers. Their futures may never be dropped before the process exits.
    pub fn log_cut_calls(&self) -> CallCounts {
        let calls = std::mem::take(&mut *self.in_progress.calls.lock());
        let stopping = self.is_unready();
        let mut counts = CallCounts::default();
        for call in calls.values() {
            match call.phase {
                Phase::Running => counts.running += 1,
                Phase::Queued => counts.queued += 1,
            }
            call.count_cut("stop", stopping);
            tracing::info!(target: REFUSALS, event = "owner_cut", request = call.request,
                route = %call.route, phase = call.phase.as_str(),
                after_ms = clock::now().since(call.offered).0, stopping);
        }
        counts
    }
}

impl CallInProgress {
    fn count_cut(&self, cause: &'static str, stopping: bool) {
        let phase = self.phase.as_str();
        let stopping = if stopping { "true" } else { "false" };
        metrics::counter!("sycamoreflow_calls_cut_total",
            "cause" => cause, "phase" => phase, "stopping" => stopping)
        .increment(1);
    }
}

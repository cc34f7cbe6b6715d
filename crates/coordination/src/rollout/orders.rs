//! Orders: requests of operators to move the traffic of a service to another version within a
//! given time.

use serde::{Deserialize, Serialize};
use sycamoreflow_state::config::{FinishTime, RolloutRule, ServiceConfig};
use sycamoreflow_state::ids::{Millis, ServiceName, VersionName};
use sycamoreflow_state::rollout::{Rollout, RolloutPhase};

use super::{Rollouts, ServiceState};

/// An order for a version whose rollout ended within this time is treated as a duplicate of
/// the order that started that rollout: clients of operators resend an unanswered order for a
/// few seconds.
pub const ORDER_REPEAT_WINDOW: Millis = Millis(15_000);
/// Time at the end of an order that is reserved for the last log entries and their distribution.
const ORDER_RESERVE: Millis = Millis(600);
/// The same for a rollout with a test, where the end of the test and of the rollout are
/// separate entries.
const TESTED_ORDER_RESERVE: Millis = Millis(1_600);
/// The effect of an operator's order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderEffect {
    /// The service has no known version yet, so the order was ignored.
    Unknown,
    /// The order is a duplicate, or the version already receives all traffic.
    Repeated,
    /// A rollout started, or will start when the one in progress has ended.
    Started,
}

/// Status of the latest order for a service, as shown to operators.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OrderStatus {
    /// The ordered version.
    pub to: VersionName,
    /// Phase of its rollout; `Planned` while the order waits for another rollout to end.
    pub phase: RolloutPhase,
}

/// An order whose rollout has not started yet.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub(super) struct Order {
    to: VersionName,
    finish_by: Millis,
}

impl Rollouts {
    /// Handles an order to move all traffic of `service` to version `to` within the
    /// duration `within`.
    ///
    /// The rollout starts at once, or when the one in progress has ended. A later order replaces
    /// one that is still waiting.
    pub fn order(
        &mut self,
        service: &ServiceName,
        config: &ServiceConfig,
        to: &VersionName,
        within: Millis,
        at: Millis,
    ) -> OrderEffect {
        let Some(state) = self.services.get(service) else {
            return OrderEffect::Unknown;
        };
        if self.is_repeated_order(service, state, to, at) {
            return OrderEffect::Repeated;
        }
        // The time of an order includes the watch period, because the old version may be removed
        // only after it.
        let reserve = match config.rollout.max_exposure {
            Some(_) => TESTED_ORDER_RESERVE,
            None => ORDER_RESERVE.after(config.rollout.watch),
        };
        let finish_by = at.after(within.since(reserve));
        let Some(state) = self.services.get_mut(service) else {
            return OrderEffect::Unknown;
        };
        let rollout = RolloutRule {
            finish: FinishTime::By(finish_by),
            ..config.rollout.clone()
        };
        state.approved = ServiceConfig {
            version: state.approved.version.clone(),
            rollout,
            ..config.clone()
        };
        let order = Order {
            to: to.clone(),
            finish_by,
        };
        if state.running.is_some() {
            state.waiting = Some(order);
            return OrderEffect::Started;
        }
        self.start_order(service, order, at);
        OrderEffect::Started
    }

    fn is_repeated_order(
        &self,
        service: &ServiceName,
        state: &ServiceState,
        to: &VersionName,
        at: Millis,
    ) -> bool {
        let is_waiting = state.waiting.as_ref().is_some_and(|order| order.to == *to);
        let of_service = |rollout: &&Rollout| rollout.service == *service && rollout.to == *to;
        let latest = self.rollouts.values().rev().find(of_service);
        let is_running_or_recent = latest.is_some_and(|rollout| {
            !rollout.phase.is_final()
                || rollout
                    .ended
                    .is_some_and(|ended| at.since(ended) < ORDER_REPEAT_WINDOW)
        });
        is_waiting || is_running_or_recent || state.stable == *to
    }

    fn start_order(&mut self, service: &ServiceName, order: Order, at: Millis) {
        if let Some(state) = self.services.get_mut(service) {
            state.approved.version = order.to;
            state.approved.rollout.finish = FinishTime::By(order.finish_by);
        }
        self.start(service, at);
    }

    /// Starts the waiting order after a rollout has ended, unless its version is already stable.
    pub(super) fn start_waiting_order(&mut self, service: &ServiceName, at: Millis) {
        let Some(state) = self.services.get_mut(service) else {
            return;
        };
        let Some(order) = state.waiting.take() else {
            return;
        };
        if state.stable != order.to {
            self.start_order(service, order, at);
        }
    }

    /// Returns the status of the latest order for a service, or of its latest rollout. `None` if
    /// there was neither.
    pub fn order_status(&self, service: &ServiceName) -> Option<OrderStatus> {
        let state = self.services.get(service)?;
        if let Some(order) = &state.waiting {
            return Some(OrderStatus {
                to: order.to.clone(),
                phase: RolloutPhase::Planned,
            });
        }
        let mut newest = self.rollouts.values().rev();
        let latest = newest.find(|rollout| rollout.service == *service)?;
        Some(OrderStatus {
            to: latest.to.clone(),
            phase: latest.phase,
        })
    }
}

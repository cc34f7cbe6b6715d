//! Orders of operators to give the endpoints at a daemon no new work.
//!
//! An order holds until an operator withdraws it, or its endpoints have left. The leader sees that
//! they have, and ends the order it has seen: a later order for the same daemon stays in force.

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};
use sycamoreflow_state::ids::DaemonId;

use super::{ControlState, Outcome};

#[cfg(test)]
mod tests;

/// The orders in force.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct DrainOrders {
    /// Index of the log entry with the latest order for each drained daemon.
    entries: IndexMap<DaemonId, u64>,
}

impl DrainOrders {
    /// Returns whether the endpoints at a daemon are drained.
    pub fn contains(&self, daemon: &DaemonId) -> bool {
        self.entries.contains_key(daemon)
    }

    /// Returns the drained daemons, each with the index of its latest order.
    pub fn iter(&self) -> impl Iterator<Item = (&DaemonId, u64)> {
        self.entries.iter().map(|(daemon, index)| (daemon, *index))
    }
}

impl ControlState {
    /// Applies an order of an operator, or its withdrawal.
    pub(super) fn apply_drain(&mut self, daemon: &DaemonId, draining: bool) -> Outcome {
        let orders = &mut self.drains.entries;
        let changed = match draining {
            true => orders.insert(daemon.clone(), self.applied).is_none(),
            false => orders.shift_remove(daemon).is_some(),
        };
        self.done(changed)
    }

    /// Ends the order in the log entry at `order`, unless a later one has taken its place.
    pub(super) fn end_drain(&mut self, daemon: &DaemonId, order: u64) -> Outcome {
        let is_in_force = self.drains.entries.get(daemon) == Some(&order);
        if is_in_force {
            self.drains.entries.shift_remove(daemon);
        }
        self.done(is_in_force)
    }
}

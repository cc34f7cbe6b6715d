//! Instances of upstreams that drain or have left, kept so that a late report does not bring one of
//! them back into use.
//!
//! The daemon beside an upstream records each departure. The leader has it recorded in the log and
//! then distributes it in the view. A daemon that restarts has forgotten its departures and learns
//! them from its first view (`docs/design/departures.md`).

use std::collections::VecDeque;

use serde::{Deserialize, Serialize};
use sycamoreflow_state::endpoint::Departure;
use sycamoreflow_state::ids::Millis;

mod recorder;

#[cfg(test)]
mod tests;

pub use recorder::Recorder;

/// Time for which departures are distributed. Reports arrive seconds late, not minutes.
pub const DEPARTURE_RETENTION: Millis = Millis(60_000);

/// Maximum number of departures per daemon. A host has one upstream at a time, so few leave.
const MAX_DEPARTURES: usize = 64;

/// The latest departures at one daemon, oldest first, at most one per instance.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Departures {
    entries: VecDeque<(Departure, Millis)>,
}

impl Departures {
    /// Records a departure. Returns whether it is new, or has become final. A known departure keeps
    /// the time at which it was first recorded.
    pub fn record(&mut self, now: Millis, departure: &Departure) -> bool {
        let mut known = self.entries.iter_mut();
        if let Some((known, _)) = known.find(|(known, _)| known.is_same_instance(departure)) {
            let changed = departure.is_final && !known.is_final;
            known.is_final |= departure.is_final;
            return changed;
        }
        if self.entries.len() >= MAX_DEPARTURES {
            self.entries.pop_front();
        }
        self.entries.push_back((departure.clone(), now));
        true
    }

    /// Returns whether the departure has been recorded.
    pub fn contains(&self, departure: &Departure) -> bool {
        self.entries
            .iter()
            .any(|(known, _)| known.covers(departure))
    }

    /// Removes the departures whose retention has ended. Returns whether there were any.
    pub fn expire(&mut self, now: Millis) -> bool {
        let before = self.entries.len();
        self.entries.retain(|(_, at)| is_retained(now, *at));
        self.entries.len() != before
    }

    /// Returns the departures whose retention has not ended.
    pub fn recent(&self, now: Millis) -> Vec<Departure> {
        let retained = self.entries.iter().filter(|(_, at)| is_retained(now, *at));
        retained.map(|(departure, _)| departure.clone()).collect()
    }

    /// Returns whether there are no departures.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Returns whether a report of an instance must be ignored. An instance that drains may still
    /// report that it drains.
    pub fn excludes(&self, instance: &str, started_at: u64, draining: bool) -> bool {
        self.entries.iter().any(|(departure, _)| {
            let left_later = departure.started_at == 0 || departure.started_at >= started_at;
            departure.instance == instance && left_later && (departure.is_final || !draining)
        })
    }
}

fn is_retained(now: Millis, recorded_at: Millis) -> bool {
    now.since(recorded_at) < DEPARTURE_RETENTION
}

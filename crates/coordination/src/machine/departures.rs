//! Departures of instances that the log has recorded.
//!
//! They survive the loss of all processes, so an instance whose departure was acknowledged does not
//! come back with a late report (`docs/design/departures.md`). They don't change the configuration
//! version: only the daemon beside the instance acts on them.

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};
use sycamoreflow_state::endpoint::Departure;
use sycamoreflow_state::ids::{DaemonId, Millis};

use super::{ControlState, Outcome};
use crate::departures::Departures;

#[cfg(test)]
mod tests;

/// Departures that one log entry records.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct DepartureBatch {
    /// The departures, each with the daemon on the host of the instance.
    pub departures: Vec<(DaemonId, Departure)>,
    /// Time at the leader, counted from the Unix epoch.
    pub at: Millis,
}

/// The recent departures at all daemons.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct RecordedDepartures {
    by_daemon: IndexMap<DaemonId, Departures>,
}

impl RecordedDepartures {
    /// Returns the departures at each daemon whose retention has not ended. `unix_now` is the time
    /// since the Unix epoch.
    ///
    /// The retention is measured with the clocks of the leaders. If that of a new leader is ahead,
    /// it ends earlier by the difference.
    pub fn recent(&self, unix_now: Millis) -> impl Iterator<Item = (&DaemonId, Vec<Departure>)> {
        let by_daemon = self.by_daemon.iter();
        let recent =
            by_daemon.map(move |(daemon, departures)| (daemon, departures.recent(unix_now)));
        recent.filter(|(_, departures)| !departures.is_empty())
    }
}

impl ControlState {
    /// Records departures, and removes those whose retention has ended. Invalid departures are
    /// ignored.
    pub(super) fn apply_departures(&mut self, batch: &DepartureBatch) -> Outcome {
        let by_daemon = &mut self.departures.by_daemon;
        by_daemon.retain(|_, departures| {
            departures.expire(batch.at);
            !departures.is_empty()
        });
        let mut changed = false;
        for (daemon, departure) in &batch.departures {
            if departure.check().is_err() {
                continue;
            }
            let known = by_daemon.entry(daemon.clone()).or_default();
            changed |= known.record(batch.at, departure);
        }
        self.done(changed)
    }
}

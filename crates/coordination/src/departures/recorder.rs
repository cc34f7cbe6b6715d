//! Recording of departures in the log, on the leader.
//!
//! A departure is distributed only once a committed entry contains it, so a daemon that finds it in
//! its view may acknowledge it: no loss of processes can undo it. Departures are recorded in batches,
//! at most one between two publications of the view. A larger number of entries would not let
//! daemons acknowledge sooner, since they wait for the view.

use indexmap::IndexSet;
use sycamoreflow_state::endpoint::Departure;
use sycamoreflow_state::ids::{DaemonId, Millis};

#[cfg(test)]
mod tests;

/// Maximum number of departures in a batch. With the longest names, such an entry has about a
/// quarter of [`MAX_ENTRY_BYTES`](crate::raft::MAX_ENTRY_BYTES).
const MAX_BATCH: usize = 1_000;

/// Time after which a batch that was not committed is proposed again, since its entry may be lost.
/// A second entry with the same departures has no effect.
const RETRY_INTERVAL: Millis = Millis(1_000);

/// Longest time for which a publication waits for a batch, so that the endpoint that leaves and its
/// departure take one publication. A commit takes two disk syncs and a round trip; when disks stall,
/// the endpoint is published without its departure.
const MAX_HOLD: Millis = Millis(200);

/// The departures that the log of this leader does not contain yet.
#[derive(Debug, Default)]
pub struct Recorder {
    pending: IndexSet<(DaemonId, Departure)>,
    phase: Phase,
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum Phase {
    #[default]
    Idle,
    /// A batch was proposed at this time.
    Proposed(Millis),
    /// A batch is committed and not published yet.
    Committed,
}

impl Recorder {
    /// Adds a departure that is to be recorded.
    pub fn add(&mut self, daemon: &DaemonId, departure: &Departure) {
        self.pending.insert((daemon.clone(), departure.clone()));
    }

    /// Returns the batch to propose now, if any.
    pub fn next_batch(&mut self, now: Millis) -> Option<Vec<(DaemonId, Departure)>> {
        let may_propose = match self.phase {
            Phase::Idle => true,
            Phase::Proposed(at) => now.since(at) >= RETRY_INTERVAL,
            Phase::Committed => false,
        };
        if !may_propose || self.pending.is_empty() {
            return None;
        }
        self.phase = Phase::Proposed(now);
        Some(self.pending.iter().take(MAX_BATCH).cloned().collect())
    }

    /// Removes the departures of a committed batch.
    pub fn committed(&mut self, batch: &[(DaemonId, Departure)]) {
        let batch: IndexSet<&(DaemonId, Departure)> = batch.iter().collect();
        self.pending.retain(|departure| !batch.contains(departure));
        self.phase = Phase::Committed;
    }

    /// Returns whether a publication of endpoints should wait for the batch in progress.
    pub fn holds_publication(&self, now: Millis) -> bool {
        matches!(self.phase, Phase::Proposed(at) if now.since(at) < MAX_HOLD)
    }

    /// Records that the view with all committed departures is published.
    pub fn published(&mut self) {
        if self.phase == Phase::Committed {
            self.phase = Phase::Idle;
        }
    }
}

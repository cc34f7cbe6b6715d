//! Log of the events that a replica handles while more of them are queued than it takes at a time.

use std::time::{Duration, Instant};

use super::Event;

/// Minimum time between two log lines.
const LOG_INTERVAL: Duration = Duration::from_secs(1);

/// Events handled since the last log line, by kind. The kind that fills the queue is what occupies
/// the thread that also sends heartbeats.
#[derive(Debug)]
pub(super) struct Backlog {
    since: Instant,
    /// Number of batches after which more events were queued than are handled at a time.
    delayed_batches: u64,
    raft: u64,
    forwarded: u64,
    others: u64,
}

impl Backlog {
    pub(super) fn new() -> Self {
        Self {
            since: Instant::now(),
            delayed_batches: 0,
            raft: 0,
            forwarded: 0,
            others: 0,
        }
    }

    /// Counts the events of a batch, and logs the counts if there was a backlog after a batch.
    pub(super) fn record(&mut self, batch: &[Event], has_backlog: bool) {
        for event in batch {
            match event {
                Event::Raft { .. } => self.raft += 1,
                Event::Forwarded { .. } => self.forwarded += 1,
                _ => self.others += 1,
            }
        }
        self.delayed_batches += u64::from(has_backlog);
        let elapsed = self.since.elapsed();
        if elapsed < LOG_INTERVAL {
            return;
        }
        let counts = std::mem::replace(self, Self::new());
        if counts.delayed_batches == 0 {
            return;
        }
        metrics::counter!("sycamoreflow_replica_delayed_batches_total")
            .increment(counts.delayed_batches);
        tracing::warn!(
            event = "replica_backlog",
            ms = elapsed.as_millis() as u64,
            delayed_batches = counts.delayed_batches,
            raft = counts.raft,
            forwarded = counts.forwarded,
            others = counts.others
        );
    }
}

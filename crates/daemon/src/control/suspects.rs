//! Exchange of crash records with subscribers and with other replicas.
//!
//! Crash records take neither the event queue of the replica nor the command queues of sessions:
//! after the loss of many upstreams there are thousands of them, and Raft messages, changes of
//! operators and notices of views must not wait behind them (`docs/design/crash-records.md`). What
//! is pending for a receiver is its position in the log of the [`SuspectRelay`], which has no
//! queue that could fill up.

use bytes::Bytes;
use event_listener::Event;
use indexmap::IndexMap;
use parking_lot::Mutex;
use sycamoreflow_coordination::suspect::SuspectReport;
use sycamoreflow_coordination::suspect::relay::{
    BATCH_INTERVAL, RelayCursor, Source, SuspectRelay,
};
use sycamoreflow_protocol::codec::{self, CodecError};
use sycamoreflow_protocol::distribution::FromReplica;
use sycamoreflow_protocol::replica::ReplicaMessage;
use sycamoreflow_state::ids::Millis;
use sycamoreflow_transport::link::{SendError, Sender};

use crate::clock;

#[cfg(test)]
mod tests;

/// Interval at which expired records are removed, and maximum age of an encoded batch. Batches
/// contain the remaining times of their records.
const REFRESH_INTERVAL: Millis = Millis(1_000);

/// Maximum number of encoded batches that are kept for subscribers at the same position.
const MAX_CACHED_BATCHES: usize = 64;

/// Result of sending batches. An error ends the session or the link.
type Result<T> = std::result::Result<T, SendError>;

/// The crash records of this replica, and the receivers that wait for changes.
#[derive(Debug, Default)]
pub struct SuspectExchange {
    state: Mutex<State>,
    changed: Event,
}

#[derive(Debug, Default)]
struct State {
    relay: SuspectRelay,
    /// Encoded batches for subscribers by the position before them, since the last change or
    /// refresh.
    batches: IndexMap<RelayCursor, Batch>,
    last_refresh: Millis,
}

/// The next batch for a receiver.
#[derive(Clone, Debug)]
struct Batch {
    /// The encoded batch, or `None` if there are no changes.
    frame: Option<Bytes>,
    /// Position of the receiver once the batch is sent.
    cursor: RelayCursor,
}

impl SuspectExchange {
    /// Merges a report, and passes on what is new.
    pub fn merge(&self, report: &SuspectReport, source: Source) {
        let received = report.entries.len() as u64;
        match source {
            Source::Subscriber => {
                metrics::counter!("sycamoreflow_crash_records_received_total", "from" => "subscriber")
                    .increment(received);
            }
            Source::Replica => {
                metrics::counter!("sycamoreflow_crash_records_received_total", "from" => "replica")
                    .increment(received);
            }
        }
        if self.state.lock().merge(clock::now(), report, source) {
            self.changed.notify(usize::MAX);
        }
    }

    /// Sends a new subscriber all records, then the changes, at most one batch per
    /// [`BATCH_INTERVAL`]. Returns when the link fails.
    pub async fn serve_subscriber(&self, tx: &Sender) -> Result<()> {
        let cursor = RelayCursor::of_subscriber();
        let next = |state: &mut State, cursor| state.batch_for_subscriber(clock::now(), cursor);
        self.serve(tx, cursor, next).await
    }

    /// Sends another replica all records, then the changes that subscribers of this replica have
    /// reported, at most one batch per [`BATCH_INTERVAL`]. Returns when the link fails.
    pub async fn serve_replica(&self, tx: &Sender) -> Result<()> {
        let cursor = self.state.lock().relay.cursor_of_replica();
        let next = |state: &mut State, cursor| state.batch_for_replica(clock::now(), cursor);
        self.serve(tx, cursor, next).await
    }

    async fn serve(
        &self,
        tx: &Sender,
        mut cursor: RelayCursor,
        next: impl Fn(&mut State, RelayCursor) -> codec::Result<Batch>,
    ) -> Result<()> {
        loop {
            let changed = self.changed.listen();
            let batch = next(&mut self.state.lock(), cursor).map_err(SendError::Codec)?;
            let Some(frame) = batch.frame else {
                cursor = batch.cursor;
                changed.await;
                continue;
            };
            match tx.send_encoded(frame) {
                Ok(()) => cursor = batch.cursor,
                // The records are sent once the link has written what is more urgent.
                Err(SendError::Full) => {
                    metrics::counter!("sycamoreflow_crash_batches_deferred_total").increment(1);
                }
                Err(error) => return Err(error),
            }
            async_std::task::sleep(clock::duration(BATCH_INTERVAL)).await;
        }
    }
}

impl State {
    fn merge(&mut self, now: Millis, report: &SuspectReport, source: Source) -> bool {
        self.refresh(now);
        let changed = self.relay.merge(now, report, source);
        if changed {
            self.batches.clear();
        }
        changed
    }

    fn refresh(&mut self, now: Millis) {
        if now.since(self.last_refresh) < REFRESH_INTERVAL {
            return;
        }
        self.last_refresh = now;
        self.relay.tick(now);
        self.batches.clear();
        metrics::gauge!("sycamoreflow_crash_records").set(self.relay.len() as f64);
    }

    fn batch_for_subscriber(&mut self, now: Millis, from: RelayCursor) -> codec::Result<Batch> {
        self.refresh(now);
        if let Some(batch) = self.batches.get(&from) {
            return Ok(batch.clone());
        }
        let encode = |report| FromReplica::Suspects(report).to_frame();
        let batch = self.encode_batch(now, from, encode)?;
        if self.batches.len() < MAX_CACHED_BATCHES {
            self.batches.insert(from, batch.clone());
        }
        Ok(batch)
    }

    fn batch_for_replica(&mut self, now: Millis, from: RelayCursor) -> codec::Result<Batch> {
        let encode = |report| codec::encode(&ReplicaMessage::Suspects(report));
        self.encode_batch(now, from, encode)
    }

    fn encode_batch(
        &self,
        now: Millis,
        mut cursor: RelayCursor,
        encode: impl Fn(SuspectReport) -> std::result::Result<Vec<u8>, CodecError>,
    ) -> codec::Result<Batch> {
        let report = self.relay.next_batch(now, &mut cursor);
        let frame = report.map(encode).transpose()?.map(Bytes::from);
        Ok(Batch { frame, cursor })
    }
}

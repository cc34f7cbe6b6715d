//! Dissemination of crash records by the control replicas (`docs/design/crash-records.md`).
//!
//! A daemon reports the crashes and completions that it has observed itself to the replica that
//! serves it, and never those that it has learned. The replica merges reports into a
//! [`SuspectRelay`], a log of changes with a revision each, and every receiver has a
//! [`RelayCursor`] into this log. Subscribers receive all changes, other replicas those that come
//! from a subscriber of this replica.
//!
//! Records of requests that are to be refused come first, since they protect upstreams; the records
//! of other requests may be pending for a while after the loss of many upstreams.
//!
//! Dissemination ends: a record is sent again only after one of its two flags was set, which are
//! never reset, once when its request is to be refused, and once when a subscriber first reports
//! what another replica had sent. A receiver therefore gets a record at most five times from a
//! replica, and no receiver sends anything back that it has learned. A record that is evicted and
//! reported again counts as a new one.
//!
//! Nothing is lost with a link or a process: a cursor starts with all records of the replica when
//! its link opens, and a daemon reports its observations again to each replica that it subscribes
//! to.

use std::collections::BTreeMap;

use sycamoreflow_state::ids::Millis;

use super::{CrashId, CrashRecord, REFUSAL_CRASHES, SuspectReport};
use crate::fingerprint::Fingerprint;

#[cfg(test)]
mod tests;

/// Minimum time between two batches to the same receiver.
pub const BATCH_INTERVAL: Millis = Millis(1_000);
/// Maximum number of records in a batch. With [`BATCH_INTERVAL`], it bounds the bytes that a daemon
/// receives whatever crashes (`docs/CAPACITY.md`).
pub const BATCH_ENTRIES: usize = 32;
/// Maximum number of records of a replica. The one whose last change is the oldest gives way, unless
/// its request is to be refused, and stays at the daemons that have received it.
const MAX_RECORDS: usize = 8_192;

/// Sender of a report to a replica.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Source {
    /// A daemon that the replica serves.
    Subscriber,
    /// Another replica, which reports to all replicas itself.
    Replica,
}

/// Crash records of a replica in the order of their last change.
#[derive(Debug, Default)]
pub struct SuspectRelay {
    revision: u64,
    requests: BTreeMap<Fingerprint, BTreeMap<CrashId, RelayedRecord>>,
    /// All records by the revision of their last change.
    changes: BTreeMap<u64, RecordKey>,
    /// The records of requests that are to be refused, by the revision at which that was known.
    refusals: BTreeMap<u64, RecordKey>,
}

type RecordKey = (Fingerprint, CrashId);

#[derive(Clone, Copy, Debug)]
struct RelayedRecord {
    record: CrashRecord,
    /// Key in [`SuspectRelay::changes`].
    revision: u64,
    /// Key in [`SuspectRelay::refusals`], if the request is to be refused.
    refusal: Option<u64>,
    /// Whether a subscriber of this replica has reported the record, so that this replica reports
    /// it to the others.
    from_subscriber: bool,
}

/// Position of a receiver in the changes of a [`SuspectRelay`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct RelayCursor {
    /// All changes up to this revision were sent.
    changes: u64,
    /// All records of requests to be refused up to this revision were sent.
    refusals: u64,
    /// Up to this revision the receiver gets all changes, afterwards those of subscribers only.
    all_until: u64,
}

impl RelayCursor {
    /// Returns the position of a subscriber that has just connected.
    pub fn of_subscriber() -> Self {
        Self {
            changes: 0,
            refusals: 0,
            all_until: u64::MAX,
        }
    }
}

impl SuspectRelay {
    /// Returns the position of another replica that has just connected.
    pub fn cursor_of_replica(&self) -> RelayCursor {
        RelayCursor {
            all_until: self.revision,
            ..RelayCursor::of_subscriber()
        }
    }

    /// Merges a report. Returns whether it changed anything that receivers have to learn.
    pub fn merge(&mut self, now: Millis, report: &SuspectReport, source: Source) -> bool {
        let before = self.revision;
        let from_subscriber = source == Source::Subscriber;
        for entry in &report.entries {
            let record = CrashRecord::of_entry(now, entry);
            if record.expires <= now {
                continue;
            }
            let key = (entry.request, entry.crash.clone());
            let records = self.requests.get_mut(&entry.request);
            let Some(known) = records.and_then(|records| records.get_mut(&entry.crash)) else {
                self.insert(key, record, from_subscriber);
                self.mark_refusal(entry.request);
                continue;
            };
            // The other replicas may have a record from elsewhere, but need not have all of it.
            let is_first = from_subscriber && !known.from_subscriber;
            known.from_subscriber |= from_subscriber;
            if known.record.merge(record) || is_first {
                self.revision += 1;
                self.changes.remove(&known.revision);
                known.revision = self.revision;
                self.changes.insert(self.revision, key);
            }
        }
        self.revision != before
    }

    /// Returns the next changes for a receiver, [`BATCH_ENTRIES`] at most, and advances its cursor.
    /// Returns `None` if there are no changes.
    pub fn next_batch(&self, now: Millis, cursor: &mut RelayCursor) -> Option<SuspectReport> {
        let mut entries = Vec::new();
        for (&revision, key) in self.refusals.range(cursor.refusals + 1..) {
            if entries.len() >= BATCH_ENTRIES {
                break;
            }
            cursor.refusals = revision;
            if let Some(known) = self.get(key).filter(|k| k.is_for(now, cursor, revision)) {
                entries.push(known.record.to_entry(now, &key.0, &key.1));
            }
        }
        for (&revision, key) in self.changes.range(cursor.changes + 1..) {
            if entries.len() >= BATCH_ENTRIES {
                break;
            }
            cursor.changes = revision;
            let Some(known) = self.get(key).filter(|k| k.is_for(now, cursor, revision)) else {
                continue;
            };
            let was_sent = |refusal| refusal > revision && refusal <= cursor.refusals;
            if known.refusal.is_some_and(was_sent) {
                continue;
            }
            entries.push(known.record.to_entry(now, &key.0, &key.1));
        }
        (!entries.is_empty()).then_some(SuspectReport { entries })
    }

    /// Removes expired records. Call it about once per second.
    pub fn tick(&mut self, now: Millis) {
        let (changes, refusals) = (&mut self.changes, &mut self.refusals);
        self.requests.retain(|_, records| {
            records.retain(|_, known| {
                let is_valid = known.record.expires > now;
                if !is_valid {
                    changes.remove(&known.revision);
                    known.refusal.map(|revision| refusals.remove(&revision));
                }
                is_valid
            });
            !records.is_empty()
        });
    }

    /// Returns the number of records.
    pub fn len(&self) -> usize {
        self.changes.len()
    }

    /// Returns whether there are no records.
    pub fn is_empty(&self) -> bool {
        self.changes.is_empty()
    }

    fn get(&self, (request, crash): &RecordKey) -> Option<&RelayedRecord> {
        self.requests.get(request)?.get(crash)
    }

    fn insert(&mut self, key: RecordKey, record: CrashRecord, from_subscriber: bool) {
        if self.len() >= MAX_RECORDS {
            self.evict();
        }
        self.revision += 1;
        let relayed = RelayedRecord {
            record,
            revision: self.revision,
            refusal: None,
            from_subscriber,
        };
        let (request, crash) = key.clone();
        let records = self.requests.entry(request).or_default();
        records.insert(crash, relayed);
        self.changes.insert(self.revision, key);
    }

    /// Lets the records of a request precede others if they lead to its refusal.
    fn mark_refusal(&mut self, request: Fingerprint) {
        let Some(records) = self.requests.get_mut(&request) else {
            return;
        };
        let counted = records.values().filter(|known| !known.record.cleared);
        if counted.count() < REFUSAL_CRASHES {
            return;
        }
        for (crash, known) in records {
            if known.record.cleared || known.refusal.is_some() {
                continue;
            }
            self.revision += 1;
            known.refusal = Some(self.revision);
            self.refusals
                .insert(self.revision, (request, crash.clone()));
        }
    }

    /// Removes the record that gives way to a new one.
    fn evict(&mut self) {
        let is_refusal = |key| self.get(key).is_some_and(|known| known.refusal.is_some());
        let mut oldest = self.changes.iter();
        let oldest = oldest.find(|(_, key)| !is_refusal(key));
        let oldest = oldest.or_else(|| self.changes.first_key_value());
        let Some((request, crash)) = oldest.map(|(_, key)| key.clone()) else {
            return;
        };
        let Some(records) = self.requests.get_mut(&request) else {
            return;
        };
        if let Some(known) = records.remove(&crash) {
            self.changes.remove(&known.revision);
            known
                .refusal
                .map(|revision| self.refusals.remove(&revision));
        }
        if records.is_empty() {
            self.requests.remove(&request);
        }
    }
}

impl RelayedRecord {
    /// Returns whether a receiver gets the change of this record at `revision`.
    fn is_for(&self, now: Millis, cursor: &RelayCursor, revision: u64) -> bool {
        let is_wanted = revision <= cursor.all_until || self.from_subscriber;
        is_wanted && self.record.is_reportable(now)
    }
}

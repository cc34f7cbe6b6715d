//! Detection of requests that crash upstreams.
//!
//! A request that was in flight when its upstream crashed is suspect: the crash is recorded against
//! it. The entry daemon does not retry suspects, and an upstream runs one of them at a time, so
//! that a second crash identifies one request. After two recorded crashes anywhere in the mesh, a
//! request is refused everywhere.
//!
//! Requests that merely ran at the same time are cleared when they complete, as a request that
//! crashes every upstream never completes. A completion clears all crashes that the daemon has
//! recorded against the request, and a crash shortly after a completion is recorded as cleared.
//! Records also expire. Crashes that a request shared with others cause it to be refused for only
//! [`SHARED_CRASH_PERIOD`]; after that it runs isolated, and either completes or crashes the
//! upstream alone, for which it is refused for [`CRASH_RETENTION`].
//!
//! Daemons exchange crash records in [`SuspectReport`]s. Each crash has an identifier and counts
//! once, clearing a record sets a flag, and of two expiry times the earlier one is kept. Merging is
//! therefore idempotent, commutative and associative, so relays may repeat and reorder reports. A
//! daemon reports only what it has observed itself; control replicas pass it on ([`relay`]).

pub mod relay;
#[cfg(test)]
mod tests;

use std::collections::{BTreeMap, VecDeque};

use serde::{Deserialize, Serialize};
use sycamoreflow_state::ids::{DaemonId, Millis};
use sycamoreflow_state::verdict::{Failure, Reason};

use crate::fingerprint::Fingerprint;

/// Number of crashes after which a request is refused.
const REFUSAL_CRASHES: usize = 2;
/// Time after which a crash record expires.
pub const CRASH_RETENTION: Millis = Millis(600_000);
/// Time for which crashes that several requests shared suffice to refuse these requests.
pub const SHARED_CRASH_PERIOD: Millis = Millis(60_000);
/// Time after a completion in which crashes are recorded as cleared for the request.
const COMPLETION_PERIOD: Millis = Millis(10_000);
/// Maximum number of remembered completions: the rate of one upstream at the target scale, about
/// 800/s, over [`COMPLETION_PERIOD`].
const MAX_COMPLETIONS: usize = 8_192;
/// Maximum number of requests with crash records. The failure of a rack of 40 upstreams with 9
/// slots each adds 360 at once.
const MAX_REQUESTS: usize = 4_096;
/// Maximum number of crash records per request.
const MAX_CRASHES_PER_REQUEST: usize = 8;
/// Remaining time below which an entry is not reported, so that daemons do not restore expired
/// records for each other.
const MIN_REPORTED_REMAINING: Millis = Millis(1_000);

/// Identifier of a crash of an upstream.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct CrashId {
    /// Daemon beside the upstream.
    pub daemon: DaemonId,
    /// Incarnation of the daemon, which increases with every restart.
    pub boot: u64,
    /// Number of the crash within the incarnation.
    pub seq: u64,
}

/// Record of one crash against one request, as daemons exchange it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct SuspectEntry {
    /// Fingerprint of the request.
    pub request: Fingerprint,
    /// Crash during which the request was in flight.
    pub crash: CrashId,
    /// Time until the entry expires.
    pub remaining: Millis,
    /// Whether the request was the only request, or the only suspect, in flight.
    pub alone: bool,
    /// Whether the request has completed shortly before the crash or since, so that the crash no
    /// longer counts.
    pub cleared: bool,
}

/// Crash records that one daemon reports to others.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct SuspectReport {
    /// New or changed records, or all records of a snapshot.
    pub entries: Vec<SuspectEntry>,
}

/// How a request is treated, given the crashes recorded against it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CrashStatus {
    /// No crash counts against the request.
    Clear,
    /// The request runs isolated from other suspects and is not retried after a crash.
    Suspect,
    /// The request is refused as not run.
    Refused,
}

/// Crash records of requests, and the requests in flight at the upstream beside the daemon.
#[derive(Debug)]
pub struct Suspects {
    daemon: DaemonId,
    boot: u64,
    crashes: u64,
    requests: BTreeMap<Fingerprint, CrashRecords>,
    in_flight: BTreeMap<Fingerprint, InFlight>,
    completions: Completions,
}

type CrashRecords = BTreeMap<CrashId, KnownRecord>;

/// The part of a crash record on which daemons and replicas agree.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct CrashRecord {
    expires: Millis,
    alone: bool,
    cleared: bool,
}

/// A crash record at a daemon.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct KnownRecord {
    record: CrashRecord,
    report: ReportState,
}

/// Whether a daemon reports a record. If it also reported what it has learned, each record would be
/// sent from every daemon to every other one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ReportState {
    /// The daemon has learned the record, and has observed neither the crash nor a completion.
    Learned,
    /// The daemon has observed the crash or a completion and has to report it.
    Pending,
    /// The daemon has reported the record to the replica that serves it.
    Reported,
}

#[derive(Clone, Copy, Debug, Default)]
struct InFlight {
    count: usize,
    /// Whether the request was suspect when it started.
    suspect: bool,
}

impl Suspects {
    /// Creates the state of a daemon without crash records. `boot` is its incarnation, which must
    /// increase with every restart so that crash identifiers stay unique.
    pub fn new(daemon: DaemonId, boot: u64) -> Self {
        Self {
            daemon,
            boot,
            crashes: 0,
            requests: BTreeMap::new(),
            in_flight: BTreeMap::new(),
            completions: Completions::default(),
        }
    }

    /// Returns how to treat a request. Entry daemons check this before every send.
    pub fn status(&self, now: Millis, request: &Fingerprint) -> CrashStatus {
        let Some(records) = self.requests.get(request) else {
            return CrashStatus::Clear;
        };
        let active = records.values().map(|known| known.record);
        let active = active.filter(|r| !r.cleared && r.expires > now);
        let (mut total, mut alone, mut recent) = (0, 0, 0);
        for record in active {
            total += 1;
            alone += usize::from(record.alone);
            recent += usize::from(record.is_recent(now));
        }
        if total == 0 {
            return CrashStatus::Clear;
        }
        if total >= REFUSAL_CRASHES && (alone > 0 || recent >= REFUSAL_CRASHES) {
            return CrashStatus::Refused;
        }
        CrashStatus::Suspect
    }

    /// Records the start of a request at the upstream beside the daemon, or refuses it as not run.
    ///
    /// # Errors
    ///
    /// Returns [`Reason::CrashesUpstreams`] if the request has crashed too many upstreams, and
    /// [`Reason::Overloaded`] if it is suspect while another suspect is in flight.
    pub fn start(&mut self, now: Millis, request: Fingerprint) -> Result<(), Failure> {
        let status = self.status(now, &request);
        if status == CrashStatus::Refused {
            return Err(Failure::not_run(Reason::CrashesUpstreams));
        }
        let suspect = status == CrashStatus::Suspect;
        if suspect && self.in_flight.values().any(|running| running.suspect) {
            return Err(Failure::not_run(Reason::Overloaded));
        }
        let running = self.in_flight.entry(request).or_default();
        running.count += 1;
        running.suspect |= suspect;
        Ok(())
    }

    /// Records the end of a started request. `completed` is `true` if a whole answer arrived.
    pub fn finish(&mut self, now: Millis, request: Fingerprint, completed: bool) {
        if let Some(running) = self.in_flight.get_mut(&request) {
            running.count -= 1;
            if running.count == 0 {
                self.in_flight.remove(&request);
            }
        }
        if completed {
            self.completed(now, request);
        }
    }

    /// Records that a request completed at any upstream, which clears all its crash records.
    pub fn completed(&mut self, now: Millis, request: Fingerprint) {
        self.completions.record(now, request);
        if let Some(records) = self.requests.get_mut(&request) {
            records.values_mut().for_each(KnownRecord::clear);
        }
    }

    /// Records a crash of the upstream beside the daemon.
    ///
    /// Returns the failure of each request that was in flight. Requests that are now suspect fail
    /// with [`Reason::CrashesUpstreams`], which is not retried.
    pub fn crashed(&mut self, now: Millis) -> Vec<(Fingerprint, Failure)> {
        self.crashes += 1;
        let crash = CrashId {
            daemon: self.daemon.clone(),
            boot: self.boot,
            seq: self.crashes,
        };
        let in_flight = std::mem::take(&mut self.in_flight);
        let suspects = in_flight.values().filter(|r| r.suspect).count();
        let only_one = in_flight.len() == 1;
        let mut failures = Vec::new();
        for (request, running) in in_flight {
            let record = CrashRecord {
                expires: now.after(CRASH_RETENTION),
                alone: only_one || (running.suspect && suspects == 1),
                cleared: false,
            };
            let report = ReportState::Pending;
            self.add_record(now, request, crash.clone(), KnownRecord { record, report });
            let reason = match self.status(now, &request) {
                CrashStatus::Clear => Reason::ConnectionLost,
                CrashStatus::Suspect | CrashStatus::Refused => Reason::CrashesUpstreams,
            };
            failures.push((request, Failure::may_have_run(reason)));
        }
        failures
    }

    /// Merges the records that a replica passes on. Reports may be repeated and reordered.
    pub fn merge(&mut self, now: Millis, report: &SuspectReport) {
        for entry in &report.entries {
            let known = KnownRecord {
                record: CrashRecord::of_entry(now, entry),
                report: ReportState::Learned,
            };
            self.add_record(now, entry.request, entry.crash.clone(), known);
        }
    }

    /// Returns at most `limit` records that this daemon has observed, or seen completed, since they
    /// were last reported. The rest follows in the next report.
    pub fn report(&mut self, now: Millis, limit: usize) -> SuspectReport {
        self.entries(now, limit, |known| {
            let is_pending = known.report == ReportState::Pending;
            if is_pending {
                known.report = ReportState::Reported;
            }
            is_pending
        })
    }

    /// Reports all observations again. To be called for each new subscription, since the replica of
    /// the previous one may have stopped before it passed the last report on.
    pub fn report_again(&mut self) {
        for known in self.requests.values_mut().flat_map(|r| r.values_mut()) {
            if known.report == ReportState::Reported {
                known.report = ReportState::Pending;
            }
        }
    }

    /// Returns all records, whether they have been reported or not.
    pub fn snapshot(&mut self, now: Millis) -> SuspectReport {
        self.entries(now, usize::MAX, |_| true)
    }

    /// Removes expired records. Call it about once per second.
    pub fn tick(&mut self, now: Millis) {
        self.requests.retain(|_, records| {
            records.retain(|_, known| known.record.expires > now);
            !records.is_empty()
        });
        self.completions.expire(now);
    }

    /// Returns the number of requests with crash records, including cleared ones.
    pub fn len(&self) -> usize {
        self.requests.len()
    }

    /// Returns whether there are no crash records.
    pub fn is_empty(&self) -> bool {
        self.requests.is_empty()
    }

    fn add_record(
        &mut self,
        now: Millis,
        request: Fingerprint,
        crash: CrashId,
        mut new: KnownRecord,
    ) {
        if new.record.expires <= now {
            return;
        }
        if self.completions.contains(now, &request) {
            new.clear();
        }
        self.evict_for(&request);
        let records = self.requests.entry(request).or_default();
        if let Some(known) = records.get_mut(&crash) {
            if known.record.merge(new.record) && new.report == ReportState::Pending {
                known.report = ReportState::Pending;
            }
            return;
        }
        if records.len() >= MAX_CRASHES_PER_REQUEST {
            // A cleared record no longer counts, so the new one may replace it.
            let Some(cleared) = records
                .iter()
                .find(|(_, known)| known.record.cleared)
                .map(|(id, _)| id.clone())
            else {
                return;
            };
            records.remove(&cleared);
        }
        records.insert(crash, new);
    }

    /// If the limit is reached and `request` is new, removes the request whose last record expires
    /// first.
    fn evict_for(&mut self, request: &Fingerprint) {
        if self.requests.len() < MAX_REQUESTS || self.requests.contains_key(request) {
            return;
        }
        let end = |records: &CrashRecords| records.values().map(|known| known.record.expires).max();
        let first = self.requests.iter().min_by_key(|(_, records)| end(records));
        if let Some(first) = first.map(|(request, _)| *request) {
            self.requests.remove(&first);
        }
    }

    fn entries(
        &mut self,
        now: Millis,
        limit: usize,
        mut select: impl FnMut(&mut KnownRecord) -> bool,
    ) -> SuspectReport {
        let mut entries = Vec::new();
        for (request, records) in &mut self.requests {
            for (crash, known) in records {
                if entries.len() < limit && known.record.is_reportable(now) && select(known) {
                    entries.push(known.record.to_entry(now, request, crash));
                }
            }
        }
        SuspectReport { entries }
    }
}

impl KnownRecord {
    /// Clears the record after a completion that this daemon has observed.
    fn clear(&mut self) {
        if !std::mem::replace(&mut self.record.cleared, true) {
            self.report = ReportState::Pending;
        }
    }
}

impl CrashRecord {
    fn of_entry(now: Millis, entry: &SuspectEntry) -> Self {
        Self {
            expires: now.after(entry.remaining.min(CRASH_RETENTION)),
            alone: entry.alone,
            cleared: entry.cleared,
        }
    }

    /// Returns whether the record is sent to others, which it is not if it is about to expire.
    fn is_reportable(&self, now: Millis) -> bool {
        self.expires.since(now) >= MIN_REPORTED_REMAINING
    }

    fn to_entry(self, now: Millis, request: &Fingerprint, crash: &CrashId) -> SuspectEntry {
        SuspectEntry {
            request: *request,
            crash: crash.clone(),
            remaining: self.expires.since(now),
            alone: self.alone,
            cleared: self.cleared,
        }
    }

    fn is_recent(&self, now: Millis) -> bool {
        let until = Millis(self.expires.0 + SHARED_CRASH_PERIOD.0);
        until > now.after(CRASH_RETENTION)
    }

    /// Merges another copy of the record. Returns whether that has set a flag.
    fn merge(&mut self, other: Self) -> bool {
        let flags = (self.alone, self.cleared);
        self.alone |= other.alone;
        self.cleared |= other.cleared;
        // A report carries the remaining time, so delays in transit can only make the expiry time
        // later than the original one. The earlier time is the more accurate one.
        self.expires = self.expires.min(other.expires);
        flags != (self.alone, self.cleared)
    }
}

/// Recently completed requests, in the order of their completion.
#[derive(Debug, Default)]
struct Completions {
    times: BTreeMap<Fingerprint, Millis>,
    order: VecDeque<(Millis, Fingerprint)>,
}

impl Completions {
    fn record(&mut self, now: Millis, request: Fingerprint) {
        self.expire(now);
        if self.times.insert(request, now) == Some(now) {
            return;
        }
        self.order.push_back((now, request));
        if self.order.len() > MAX_COMPLETIONS {
            self.drop_first();
        }
    }

    fn contains(&self, now: Millis, request: &Fingerprint) -> bool {
        let time = self.times.get(request);
        time.is_some_and(|time| now.since(*time) < COMPLETION_PERIOD)
    }

    fn expire(&mut self, now: Millis) {
        let expired = |(time, _): &(Millis, Fingerprint)| now.since(*time) >= COMPLETION_PERIOD;
        while self.order.front().is_some_and(expired) {
            self.drop_first();
        }
    }

    fn drop_first(&mut self) {
        let Some((time, request)) = self.order.pop_front() else {
            return;
        };
        // A later completion of the same request has an entry of its own.
        if self.times.get(&request) == Some(&time) {
            self.times.remove(&request);
        }
    }
}

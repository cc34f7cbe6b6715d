//! The owner role: admits calls and delivers them to the upstreams on the host of this daemon.
//!
//! This daemon decides on admission, since only it has the exact number of calls in flight. Its
//! refusals therefore prove that the request has not run (`docs/design.md`, section 2.4).

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::Duration;

use async_std::future::timeout;
use async_std::net::TcpStream;
use async_std::task;
use bytes::Bytes;
use futures::channel::oneshot;
use indexmap::IndexMap;
use parking_lot::Mutex;
use sycamoreflow_coordination::admission::{
    Admission, AdmissionConfig, CallId, Decision, UpstreamResult,
};
use sycamoreflow_coordination::cold::ColdLimiter;
use sycamoreflow_coordination::departures::Departures;
use sycamoreflow_coordination::routing::Load;
use sycamoreflow_coordination::uplink::{Reserved, Uplink};
use sycamoreflow_protocol::call::{Answer, Call};
use sycamoreflow_state::config::ColdStart;
use sycamoreflow_state::endpoint::{Announcement, Departure, Endpoint};
use sycamoreflow_state::ids::{
    DaemonId, DataCentre, Micros, Millis, RouteName, ServiceName, TenantName, VersionName,
};
use sycamoreflow_state::verdict::{Failure, Reason, Verdict};
use sycamoreflow_state::view::{Resource, ResourceKey, View};
use sycamoreflow_transport::http::client::{Client, SendOptions};

use crate::clock;
use crate::planned_stop::PlannedStop;
use crate::proxy::crashes::CrashTracker;
use crate::proxy::dialect::Dialect;
use crate::proxy::headers;
use crate::proxy::owner::progress::{CallsInProgress, ProgressGuard};
use crate::proxy::owner::upstream::{Slot, Upstream};
use crate::telemetry::REFUSALS;

mod progress;
mod upstream;

pub use progress::CallCounts;

/// Result of a delivery: an answer, or a failure with its verdict.
pub type Result<T> = std::result::Result<T, Failure>;

/// Delays before each probe of an upstream that has closed a connection during a request. A process
/// that exits closes its connections and its listener one after the other, so the first probe may
/// still connect.
const PROBE_DELAYS: [Duration; 3] = [
    Duration::ZERO,
    Duration::from_millis(20),
    Duration::from_millis(80),
];

/// Maximum idle time of a connection that is used for a request that is not idempotent. Upstreams
/// that close idle connections early do so only after a longer time.
const MAX_IDLE_FOR_NON_IDEMPOTENT: Duration = Duration::from_millis(250);

/// Timeout of one probe of an upstream that has closed a connection during a request.
const PROBE_TIMEOUT: Duration = Duration::from_millis(200);

/// Longest wait for a departure to become part of the view. It is shorter than the 1 s after which
/// instances give a report up, so that they are told to send it again.
const DISTRIBUTION_TIMEOUT: Millis = Millis(600);

/// Interval at which the view is checked for a departure.
const DISTRIBUTION_POLL: Duration = Duration::from_millis(10);

/// Time for which an announcement is valid unless the upstream renews it.
pub const ANNOUNCEMENT_LEASE: Millis = Millis(6_000);

/// The upstreams on the host of this daemon, at most one per service.
pub struct Owner {
    daemon: DaemonId,
    data_centre: DataCentre,
    link_address: SocketAddr,
    limits: OwnerLimits,
    client: Client,
    crashes: Arc<CrashTracker>,
    upstreams: Mutex<IndexMap<ServiceName, Arc<Upstream>>>,
    weights: Mutex<Vec<(TenantName, u32)>>,
    /// Whether requests need the key of a client account.
    has_accounts: AtomicBool,
    /// Answers that the link of this host has to send.
    uplink: Mutex<Uplink>,
    /// What upstreams bear while they are cold, by service.
    cold_starts: Mutex<IndexMap<ServiceName, ColdStart>>,
    dialect: Arc<Dialect>,
    /// Instances that have left, so that a late report does not add them again.
    departures: Mutex<Departures>,
    /// Departures in the latest view, which the log contains.
    distributed: Mutex<Vec<Departure>>,
    /// Whether the daemon has had a view since its start, and so knows its earlier departures.
    departures_known: AtomicBool,
    /// The planned stop of the daemon. Once it has begun, the daemon reports to callers that it is
    /// not ready.
    stop: PlannedStop,
    /// Whether the endpoints are announced to other daemons as draining.
    leaving: AtomicBool,
    draining: AtomicBool,
    /// Whether the data centre of this host is evacuated.
    evacuated: AtomicBool,
    next_call: AtomicU64,
    in_progress: CallsInProgress,
}

/// Settings of admission that apply to all upstreams.
#[derive(Clone, Copy, Debug)]
pub struct OwnerLimits {
    /// Maximum time that a call waits for a slot.
    pub max_wait: Millis,
    /// Maximum number of waiting calls per slot.
    pub queue_per_slot: u32,
    /// Whether to reduce the number of concurrent calls while the upstream sheds load or is slow.
    pub adaptive_limit: bool,
    /// Bandwidth of the host's link in bytes per second, or 0 if it is unknown.
    pub link_bytes_per_s: u64,
}

/// Periodic report of an upstream that identifies its instances. A report may arrive late, after
/// the upstream has restarted or has been replaced by another one.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct InstanceReport {
    /// Identifier of the instance.
    pub instance: String,
    /// When the instance started, in milliseconds since the Unix epoch.
    pub started_at: u64,
    /// Number that increases with each report of the instance.
    pub sequence: u64,
    /// Whether the instance is draining and takes no new work.
    pub draining: bool,
    /// How much longer the instance is cold, if it tells.
    pub cold_for: Option<Millis>,
    /// Service, version, address and capacity of the instance.
    pub announcement: Announcement,
}

impl Owner {
    /// Creates the owner role without upstreams. `link_address` is where other daemons reach this
    /// one.
    pub fn new(
        daemon: DaemonId,
        data_centre: DataCentre,
        link_address: SocketAddr,
        limits: OwnerLimits,
        client: Client,
        crashes: Arc<CrashTracker>,
    ) -> Self {
        Self {
            daemon,
            data_centre,
            link_address,
            limits,
            client,
            crashes,
            upstreams: Mutex::default(),
            weights: Mutex::default(),
            has_accounts: AtomicBool::new(false),
            uplink: Mutex::new(Uplink::new(clock::now(), limits.link_bytes_per_s)),
            cold_starts: Mutex::default(),
            dialect: Arc::default(),
            departures: Mutex::default(),
            distributed: Mutex::default(),
            departures_known: AtomicBool::new(false),
            stop: PlannedStop::default(),
            leaving: AtomicBool::new(false),
            draining: AtomicBool::new(false),
            evacuated: AtomicBool::new(false),
            next_call: AtomicU64::new(1),
            in_progress: CallsInProgress::default(),
        }
    }

    /// Sets the dialect of the upstreams.
    pub fn with_dialect(mut self, dialect: Arc<Dialect>) -> Self {
        self.dialect = dialect;
        self
    }

    /// Adds an upstream or renews its announcement, which is valid for [`ANNOUNCEMENT_LEASE`].
    /// Returns whether the endpoints have changed.
    pub fn announce(&self, announcement: Announcement) -> bool {
        self.announce_instance(announcement, None)
    }

    /// Applies the report of an instance. Outdated reports, reports of earlier instances and
    /// reports of departed instances have no effect. Returns whether the endpoints have changed.
    pub fn report(&self, report: InstanceReport) -> bool {
        if self.is_outdated(&report) {
            metrics::counter!("sycamoreflow_outdated_reports_total").increment(1);
            tracing::info!(
                event = "report_ignored",
                instance = report.instance,
                born = report.started_at,
                sequence = report.sequence
            );
            return false;
        }
        if report.draining && report.started_at != 0 {
            self.record_departure(&report.instance, report.started_at, false);
        }
        let service = report.announcement.service.clone();
        let mut changed = self.remove_displaced(&report);
        changed |= self.announce_instance(report.announcement.clone(), Some(&report));
        let Some(upstream) = self.upstreams.lock().get(&service).cloned() else {
            return changed;
        };
        let draining = report.draining;
        upstream.report_cold(report.cold_for);
        *upstream.report.lock() = Some(report);
        if draining && !upstream.draining.load(Ordering::SeqCst) {
            tracing::info!(event = "upstream_draining", %service);
            upstream.stop_new_work();
            changed = true;
        }
        changed
    }

    /// Records that an instance is about to exit, so that it gets no new work. `born` is the
    /// start time of the instance in milliseconds since the Unix epoch, or 0 if it is unknown,
    /// which matches any start time. Returns whether the endpoints have changed.
    pub fn depart(&self, instance: &str, born: u64) -> bool {
        let mut changed = self.record_departure(instance, born, true);
        for (service, upstream) in self.upstreams.lock().iter() {
            let is_departing = upstream.report.lock().as_ref().is_some_and(|known| {
                known.instance == instance && (born == 0 || known.started_at == born)
            });
            if !is_departing {
                continue;
            }
            tracing::info!(event = "upstream_departed", %service, instance, born);
            upstream.departed.store(true, Ordering::SeqCst);
            upstream.stop_new_work();
            changed = true;
        }
        changed
    }

    fn record_departure(&self, instance: &str, started_at: u64, is_final: bool) -> bool {
        let departure = Departure {
            instance: instance.to_owned(),
            started_at,
            is_final,
        };
        self.departures.lock().record(clock::now(), &departure)
    }

    /// Returns the recent departures, to be announced to the control replicas.
    pub fn departures(&self) -> Vec<Departure> {
        self.departures.lock().recent(clock::now())
    }

    /// Waits until the departure of an instance is part of the view, but for 0.6 s at most. Returns
    /// whether it is; then the log of the control group contains it, and this daemon learns it again
    /// after a restart.
    ///
    /// A report that is acknowledged without waiting could be forgotten with the processes that know
    /// it, and a report that is acknowledged is not sent again (`docs/design/departures.md`).
    pub async fn wait_for_distribution(&self, instance: &str, started_at: u64) -> bool {
        let end = clock::now().after(DISTRIBUTION_TIMEOUT);
        while !self.is_departure_distributed(instance, started_at) {
            if clock::now() >= end {
                metrics::counter!("sycamoreflow_departures_not_recorded_total").increment(1);
                tracing::warn!(
                    event = "departure_not_recorded",
                    instance,
                    born = started_at
                );
                return false;
            }
            task::sleep(DISTRIBUTION_POLL).await;
        }
        true
    }

    /// Returns whether the view contains the departure of an instance, or there is none to be
    /// distributed.
    pub fn is_departure_distributed(&self, instance: &str, started_at: u64) -> bool {
        let mut departures = self.departures().into_iter();
        let departure = departures
            .find(|departure| departure.instance == instance && departure.started_at == started_at);
        let Some(departure) = departure else {
            return true;
        };
        let distributed = self.distributed.lock();
        distributed.iter().any(|known| known.covers(&departure))
    }

    /// Adds the departures at this daemon in `view` to its own, and stops work to instances that
    /// have left.
    pub fn apply_departures(&self, view: &View) {
        let key = ResourceKey::Departures(self.daemon.clone());
        let distributed = match view.get(&key).map(AsRef::as_ref) {
            Some(Resource::Departures(departures)) => departures.clone(),
            _ => Vec::new(),
        };
        let mut departures = self.departures.lock();
        for departure in &distributed {
            departures.record(clock::now(), departure);
        }
        *self.distributed.lock() = distributed;
        for (service, upstream) in self.upstreams.lock().iter() {
            let has_left = upstream.report.lock().as_ref().is_some_and(|known| {
                departures.excludes(&known.instance, known.started_at, known.draining)
            });
            if !has_left || upstream.departed.swap(true, Ordering::SeqCst) {
                continue;
            }
            tracing::info!(event = "upstream_departed", %service, by = "view");
            upstream.stop_new_work();
        }
        if !self.departures_known.swap(true, Ordering::SeqCst) {
            let departures = departures.recent(clock::now());
            tracing::info!(event = "departures_learned", ?departures);
        }
    }

    /// Returns whether a report is of a departed instance, or older than the latest report from the
    /// same address.
    fn is_outdated(&self, report: &InstanceReport) -> bool {
        let departures = self.departures.lock();
        if departures.excludes(&report.instance, report.started_at, report.draining) {
            return true;
        }
        drop(departures);
        let upstreams = self.upstreams.lock();
        let mut at_same_address = upstreams
            .values()
            .filter(|upstream| upstream.announcement.address == report.announcement.address);
        at_same_address.any(|upstream| {
            let known = upstream.report.lock();
            known.as_ref().is_some_and(|known| {
                let same =
                    known.instance == report.instance && known.started_at == report.started_at;
                report.started_at < known.started_at || (same && report.sequence <= known.sequence)
            })
        })
    }

    /// Removes upstreams of other services whose address the reporting instance has taken over.
    /// Returns whether there were any.
    fn remove_displaced(&self, report: &InstanceReport) -> bool {
        let mut upstreams = self.upstreams.lock();
        let before = upstreams.len();
        upstreams.retain(|service, upstream| {
            let same_address = upstream.announcement.address == report.announcement.address;
            let keep = !same_address || *service == report.announcement.service;
            if !keep {
                tracing::info!(event = "upstream_displaced", %service, by = report.instance);
                upstream.refuse_waiting();
            }
            keep
        });
        upstreams.len() != before
    }

    /// Renews the announcement of a known instance that is in use, or adds the upstream in place of
    /// an earlier one of the same service. Returns whether the endpoints have changed.
    fn announce_instance(
        &self,
        announcement: Announcement,
        report: Option<&InstanceReport>,
    ) -> bool {
        let mut upstreams = self.upstreams.lock();
        if let Some(known) = upstreams.get(&announcement.service) {
            let in_use = !known.retired.load(Ordering::SeqCst);
            if in_use && known.announcement == announcement && known.is_instance(report) {
                *known.last_renewed.lock() = clock::now();
                return false;
            }
            known.refuse_waiting();
        }
        let cold_start = self.cold_starts.lock().get(&announcement.service).copied();
        let upstream = Upstream {
            cold: Mutex::new(ColdLimiter::new(clock::now(), cold_start)),
            admission: Mutex::new(Admission::new(self.admission_config(&announcement))),
            report: Mutex::new(report.cloned()),
            route_times: Mutex::default(),
            last_renewed: Mutex::new(clock::now()),
            draining: AtomicBool::new(false),
            departed: AtomicBool::new(false),
            retired: AtomicBool::new(false),
            waiting: Mutex::default(),
            announcement,
        };
        // While the daemon drains, an idle upstream is removed, and its next renewal adds it again.
        // It must not get new work then.
        if self.draining.load(Ordering::SeqCst) {
            upstream.drain();
        }
        // The upstream itself is not draining, so it accepts work again after the evacuation.
        if self.evacuated.load(Ordering::SeqCst) {
            upstream.admission.lock().drain();
        }
        let service = upstream.announcement.service.clone();
        tracing::info!(event = "upstream_announced", %service,
            version = %upstream.announcement.version, address = %upstream.announcement.address,
            instance = report.map(|report| report.instance.as_str()),
            born = report.map(|report| report.started_at));
        upstreams.insert(service, Arc::new(upstream));
        true
    }

    /// Stops new work to the upstream of `service`. Running and waiting calls are not affected.
    /// Returns whether there is such an upstream.
    pub fn withdraw(&self, service: &ServiceName) -> bool {
        let upstreams = self.upstreams.lock();
        let Some(upstream) = upstreams.get(service) else {
            return false;
        };
        upstream.drain();
        true
    }

    /// Begins a planned stop, which ends after `drain_timeout`: the daemon reports to callers that
    /// it is not ready. The upstreams still get work that ends in time. Calls that are left when the
    /// stop requires their results are ended ([`PlannedStop::is_due`]).
    pub fn begin_stop(&self, drain_timeout: Millis) {
        self.stop.begin(drain_timeout);
        let Some(stop) = self.stop.get() else {
            return;
        };
        for upstream in self.upstreams.lock().values() {
            upstream.end_queue_by(stop.answers_due());
        }
    }

    /// Returns the planned stop of the daemon.
    pub fn stop(&self) -> &PlannedStop {
        &self.stop
    }

    /// Announces the endpoints to the other daemons as draining. Work that arrives before
    /// [`Owner::drain`] is still accepted.
    pub fn announce_leaving(&self) {
        if !self.leaving.swap(true, Ordering::SeqCst) {
            tracing::info!(event = "leaving");
        }
    }

    /// Stops new work to all upstreams, because the daemon is about to stop. Running and waiting
    /// calls are not affected.
    pub fn drain(&self) {
        if self.draining.swap(true, Ordering::SeqCst) {
            return;
        }
        tracing::info!(event = "draining");
        for upstream in self.upstreams.lock().values() {
            upstream.drain();
        }
    }

    /// Returns whether the daemon reports to callers that it is not ready because it is about to
    /// stop.
    pub fn is_unready(&self) -> bool {
        self.stop.get().is_some() || self.is_leaving()
    }

    /// Returns whether the other daemons are notified that this daemon is about to stop.
    pub fn is_leaving(&self) -> bool {
        self.leaving.load(Ordering::SeqCst) || self.draining.load(Ordering::SeqCst)
    }

    /// Applies the evacuation of the data centre of this host, or its end. New and waiting calls
    /// are refused as not run, whichever daemon they come from; running calls are not affected.
    /// [`Owner::apply_drain_marks`] must be called afterwards.
    pub fn apply_evacuation(&self, view: &View) {
        let evacuated = view.is_evacuated(&self.data_centre);
        if self.evacuated.swap(evacuated, Ordering::SeqCst) == evacuated {
            return;
        }
        metrics::gauge!("sycamoreflow_data_centre_evacuated").set(f64::from(u8::from(evacuated)));
        tracing::info!(event = "evacuation", data_centre = %self.data_centre, evacuated);
        for upstream in self.upstreams.lock().values() {
            match evacuated {
                true => upstream.refuse_new_calls(),
                // Without calls it may have become cold, and its reports may be late.
                false => upstream.cold.lock().suspect(clock::now()),
            }
        }
    }

    /// Applies what upstreams bear while they are cold.
    pub fn apply_cold_starts(&self, view: &View) {
        let services = view.services();
        let limited = services.filter_map(|(name, cfg)| Some((name.clone(), cfg.cold_start?)));
        let cold_starts: IndexMap<_, _> = limited.collect();
        if *self.cold_starts.lock() == cold_starts {
            return;
        }
        *self.cold_starts.lock() = cold_starts.clone();
        for (service, upstream) in self.upstreams.lock().iter() {
            let cold_start = cold_starts.get(service).copied();
            upstream.cold.lock().configure(cold_start);
        }
    }

    /// Applies the drain marks that operators have set on endpoints in `view`: a marked upstream
    /// gets no new work, even from daemons that do not have this view yet. Nor does any upstream
    /// while the data centre of this host is evacuated.
    pub fn apply_drain_marks(&self, view: &View) {
        if self.draining.load(Ordering::SeqCst) {
            return;
        }
        let evacuated = self.evacuated.load(Ordering::SeqCst);
        for (service, upstream) in self.upstreams.lock().iter() {
            if upstream.draining.load(Ordering::SeqCst) {
                continue;
            }
            let key = ResourceKey::Endpoint(self.daemon.clone(), service.clone());
            let endpoint = view.get(&key).map(AsRef::as_ref);
            let marked = matches!(endpoint, Some(Resource::Endpoint(e)) if e.drained_by_operator);
            let mut admission = upstream.admission.lock();
            if marked || evacuated {
                admission.drain();
            } else {
                admission.resume();
            }
        }
    }

    /// Removes upstreams that have crashed or whose address another instance has taken, that did
    /// not renew their announcement in time, or that have departed or drain and have no calls left.
    /// Returns whether the endpoints have changed.
    pub fn expire(&self) -> bool {
        let now = clock::now();
        let mut upstreams = self.upstreams.lock();
        let before = upstreams.len();
        upstreams.retain(|service, upstream| {
            let lease_expired = now.since(*upstream.last_renewed.lock()) > ANNOUNCEMENT_LEASE;
            // An upstream that reports its instance also reports its departure, so draining alone
            // does not remove it.
            let upstream_leaving = match upstream.report.lock().is_some() {
                true => upstream.departed.load(Ordering::SeqCst),
                false => upstream.draining.load(Ordering::SeqCst),
            };
            let has_finished = upstream_leaving && upstream.in_flight() == 0;
            if lease_expired {
                tracing::warn!(event = "upstream_silent", %service,
                    lease_ms = ANNOUNCEMENT_LEASE.0);
                upstream.refuse_waiting();
            }
            let retired = upstream.retired.load(Ordering::SeqCst);
            !lease_expired && !has_finished && !retired
        });
        upstreams.len() != before
    }

    /// Sets the weights by which tenants share the slots of every upstream.
    pub fn set_weights(&self, weights: Vec<(TenantName, u32)>) {
        if *self.weights.lock() == weights {
            return;
        }
        *self.weights.lock() = weights;
        for upstream in self.upstreams.lock().values() {
            let cfg = self.admission_config(&upstream.announcement);
            upstream.admission.lock().configure(cfg);
        }
    }

    /// Sets whether the mesh has client accounts, whose keys no upstream may receive.
    pub fn set_has_accounts(&self, has_accounts: bool) {
        self.has_accounts.store(has_accounts, Ordering::Relaxed);
    }

    /// Returns the endpoints to announce to the control replicas. There are none before the first
    /// view, since a report may be of an instance that left before this daemon started.
    pub fn endpoints(&self) -> Vec<Endpoint> {
        if !self.departures_known.load(Ordering::SeqCst) {
            return Vec::new();
        }
        let draining = self.is_leaving();
        let upstreams = self.upstreams.lock();
        let endpoints = upstreams.values().map(|upstream| Endpoint {
            daemon: self.daemon.clone(),
            service: upstream.announcement.service.clone(),
            version: upstream.announcement.version.clone(),
            data_centre: self.data_centre.clone(),
            address: self.link_address,
            slots: upstream.announcement.slots,
            draining: draining || upstream.draining.load(Ordering::SeqCst),
            drained_by_operator: false,
        });
        endpoints.collect()
    }

    /// Returns the number of calls that run or wait at all upstreams.
    pub fn in_flight(&self) -> usize {
        let upstreams = self.upstreams.lock();
        upstreams
            .values()
            .map(|upstream| upstream.in_flight())
            .sum()
    }

    /// Runs a call at the upstream of its service and version. `deadline` is a time of
    /// [`clock::now`].
    ///
    /// # Errors
    ///
    /// The verdict is [`Verdict::NotRun`] if no byte of the request reached the upstream, or if the
    /// upstream states that it has not run the request.
    pub async fn deliver(&self, call: &Call, deadline: Millis) -> Result<Answer> {
        self.deliver_with_load(call, deadline).await.0
    }

    /// Runs a call as [`Owner::deliver`] does, and returns the load of the upstream with the result
    /// if the call reached admission.
    pub async fn deliver_with_load(
        &self,
        call: &Call,
        deadline: Millis,
    ) -> (Result<Answer>, Option<Load>) {
        let upstream = match self.upstream(&call.service, &call.version) {
            Ok(upstream) => upstream,
            Err(failure) => return (Err(failure), None),
        };
        let stop = self.stop.get();
        if stop.is_some_and(|stop| !stop.accepts_call(deadline)) {
            let failure = Failure::not_run(Reason::Draining);
            upstream.log_refusal(call, &self.dialect, failure, self.is_unready());
            return (Err(failure), None);
        }
        let (result, waited) = self.run(&upstream, call, deadline).await;
        let load = Load {
            waited: waited.into(),
            ..upstream.load(&call.route)
        };
        (result, Some(load))
    }

    /// Runs a call. Returns its result and the time that it waited for a slot.
    async fn run(
        &self,
        upstream: &Arc<Upstream>,
        call: &Call,
        deadline: Millis,
    ) -> (Result<Answer>, Millis) {
        let id = CallId(self.next_call.fetch_add(1, Ordering::Relaxed));
        let offered = clock::now();
        let mut uplink_use = match self.reserve_uplink(&call.route) {
            Ok(uplink_use) => uplink_use,
            Err(failure) => {
                upstream.log_refusal(call, &self.dialect, failure, self.is_unready());
                return (Err(failure), Millis(0));
            }
        };
        let progress = ProgressGuard::start(self, id, call, offered);
        let admitted = self.admit(upstream, id, call, deadline).await;
        let waited = clock::now().since(offered);
        let result = match admitted {
            Ok(slot) => {
                progress.set_running();
                self.run_admitted(slot, call, deadline, waited).await
            }
            Err(failure) => {
                upstream.log_refusal(call, &self.dialect, failure, self.is_unready());
                Err(failure)
            }
        };
        uplink_use.sent = result.as_ref().ok().map(|answer| answer.body.len());
        progress.end();
        (result, waited)
    }

    /// Reserves a part of the host's link for the answer of a call, unless the answer is probably
    /// large and the link has enough to send.
    fn reserve_uplink<'a>(&'a self, route: &'a RouteName) -> Result<UplinkUse<'a>> {
        let Some(reserved) = self.uplink.lock().admit(clock::now(), route) else {
            metrics::counter!("sycamoreflow_uplink_refusals_total").increment(1);
            return Err(Failure::not_run(Reason::Overloaded));
        };
        Ok(UplinkUse {
            uplink: &self.uplink,
            route,
            reserved,
            sent: None,
        })
    }

    /// Sends an admitted call to the upstream, and updates admission, the crash records and the
    /// state of the upstream with the result.
    async fn run_admitted(
        &self,
        mut slot: Slot,
        call: &Call,
        deadline: Millis,
        waited: Millis,
    ) -> Result<Answer> {
        let upstream = &slot.upstream.clone();
        let request = self.request(upstream, call, deadline.since(clock::now()))?;
        let started_request = match call.fingerprint {
            Some(fingerprint) => Some(self.crashes.start(fingerprint)?),
            None => None,
        };
        if !upstream.cold.lock().take(clock::now()) {
            slot.finish(UpstreamResult::Abandoned);
            return Err(refuse_cold());
        }
        let options = SendOptions {
            echoed_header: self.dialect.request_id.clone(),
            max_idle_time: (!call.urgency.idempotent).then_some(MAX_IDLE_FOR_NON_IDEMPOTENT),
        };
        let started = std::time::Instant::now();
        let address = upstream.announcement.address;
        let limit = clock::instant(deadline);
        let response = self
            .client
            .send_with_options(address, request, limit, &options);
        let response = self.stop.run_until_due(response).await;
        let response = response.unwrap_or(Err(Failure::may_have_run(Reason::Draining)));
        let latency = Micros(started.elapsed().as_micros() as u64);
        if let Ok(response) = &response
            && let Some(pace) = (self.dialect.reported_pace)(response)
        {
            upstream.observe_pace(pace);
        }
        let (mut result, outcome) = classify_response(response, call, latency, &self.dialect);
        if let UpstreamResult::Answered(latency) = outcome {
            upstream.record_latency(&call.route, latency);
        }
        let stopping = self.is_unready();
        upstream.log_completion(call, &self.dialect, waited, latency, &result, stopping);
        match &result {
            Err(f) if f.reason == Reason::ConnectionLost => self.check_for_crash(upstream).await,
            Err(f) if f.reason == Reason::NoEndpoint => upstream.retire(),
            _ => {}
        }
        if let Some(request) = started_request {
            match &mut result {
                Err(failure) if failure.verdict != Verdict::NotRun => {
                    *failure = request.failed(*failure);
                }
                result => request.finish(result.is_ok()),
            }
        }
        slot.finish(outcome);
        result
    }

    fn request(
        &self,
        upstream: &Upstream,
        call: &Call,
        remaining: Millis,
    ) -> Result<http::Request<Bytes>> {
        let report = upstream.report.lock();
        let instance = report.as_ref().map(|report| report.instance.as_str());
        let removes_key = self.has_accounts.load(Ordering::Relaxed);
        headers::upstream_request(call, remaining, instance, removes_key, &self.dialect)
    }

    /// Probes an upstream after a lost connection, and records a crash against the requests in
    /// flight if the process of the upstream has exited, that is, if connections are refused.
    ///
    /// The request waits for the result, since it must not be retried at another upstream if it has
    /// crashed this one.
    async fn check_for_crash(&self, upstream: &Upstream) {
        for delay in PROBE_DELAYS {
            task::sleep(delay).await;
            if refuses_connections(upstream.announcement.address).await {
                upstream.mark_crashed(&self.crashes);
                return;
            }
        }
    }

    fn upstream(&self, service: &ServiceName, version: &VersionName) -> Result<Arc<Upstream>> {
        let upstreams = self.upstreams.lock();
        let upstream = upstreams
            .get(service)
            .filter(|upstream| upstream.announcement.version == *version)
            .ok_or(Failure::not_run(Reason::NoEndpoint))?;
        Ok(upstream.clone())
    }

    /// Obtains a slot for a call, which may wait in the queue.
    async fn admit(
        &self,
        upstream: &Arc<Upstream>,
        id: CallId,
        call: &Call,
        deadline: Millis,
    ) -> Result<Slot> {
        // Waiting would not help: the queue has no room for calls that a cold upstream can't take.
        if upstream.cold.lock().wait(clock::now()) > Millis(0) {
            return Err(refuse_cold());
        }
        let (tx, rx) = oneshot::channel();
        upstream.waiting.lock().insert(id, tx);
        let slot = Slot {
            upstream: upstream.clone(),
            id,
            held: true,
        };
        let decision = upstream.offer(id, call, deadline);
        match decision {
            Decision::Start => {
                upstream.waiting.lock().remove(&id);
                Ok(slot)
            }
            Decision::Refused(failure) => {
                slot.forget();
                Err(failure)
            }
            Decision::Queued => match upstream.wait_for_slot(rx).await {
                Ok(()) => Ok(slot),
                Err(failure) => {
                    slot.forget();
                    Err(failure)
                }
            },
        }
    }

    fn admission_config(&self, announcement: &Announcement) -> AdmissionConfig {
        let mut cfg = AdmissionConfig::new(announcement.slots);
        cfg.weights = self.weights.lock().clone();
        cfg.max_wait = self.limits.max_wait;
        cfg.queue_per_slot = self.limits.queue_per_slot;
        cfg.adaptive_limit = self.limits.adaptive_limit;
        cfg
    }
}

/// Counts a call that is refused because the upstream is cold, and returns its failure.
fn refuse_cold() -> Failure {
    metrics::counter!("sycamoreflow_cold_refusals_total").increment(1);
    Failure::not_run(Reason::Overloaded)
}

/// Part of the host's link that a call in progress is expected to need.
struct UplinkUse<'a> {
    uplink: &'a Mutex<Uplink>,
    route: &'a RouteName,
    reserved: Reserved,
    /// Size of the answer in bytes, if there is one.
    sent: Option<usize>,
}

impl Drop for UplinkUse<'_> {
    fn drop(&mut self) {
        let mut uplink = self.uplink.lock();
        uplink.ended(clock::now(), self.route, self.reserved, self.sent);
    }
}

/// Returns whether nothing listens at `address`. A timeout or another error does not prove that.
async fn refuses_connections(address: SocketAddr) -> bool {
    match timeout(PROBE_TIMEOUT, TcpStream::connect(address)).await {
        Ok(Err(error)) => error.kind() == std::io::ErrorKind::ConnectionRefused,
        Ok(Ok(_)) | Err(_) => false,
    }
}

/// Derives the result of a call and its outcome for admission from the response of the upstream.
///
/// A statement that the request has not run is accepted only with the identifier of the request. A
/// response without it may belong to an earlier request on the connection, and the caller would
/// send the request again although it may still run.
fn classify_response(
    response: std::result::Result<http::Response<Bytes>, Failure>,
    call: &Call,
    latency: Micros,
    dialect: &Dialect,
) -> (Result<Answer>, UpstreamResult) {
    let response = match response {
        Ok(response) => response,
        Err(failure) => return (Err(failure), UpstreamResult::Failed),
    };
    if (dialect.says_not_run)(&response) {
        if !headers::echoes_request_id(&response, call, dialect) {
            tracing::warn!(target: REFUSALS, event = "unproven_refusal",
                request = headers::request_id(call, dialect), route = %call.route,
                status = response.status().as_u16());
            let failure = Failure::may_have_run(Reason::BadAnswer);
            return (Err(failure), UpstreamResult::Failed);
        }
        // With 421, another instance has the address of the expected one.
        let reason = match response.status() {
            http::StatusCode::MISDIRECTED_REQUEST => Reason::NoEndpoint,
            _ => Reason::Shed,
        };
        return (Err(Failure::not_run(reason)), UpstreamResult::Shed);
    }
    if !(dialect.is_genuine)(&response) {
        let failure = Failure::may_have_run(Reason::BadAnswer);
        return (Err(failure), UpstreamResult::Failed);
    }
    let answer = headers::answer(response);
    (Ok(answer), UpstreamResult::Answered(latency))
}

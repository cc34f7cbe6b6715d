//! The owner role: delivers calls to the upstreams beside this daemon.
//!
//! Admission is decided here, since only this daemon knows the work in flight exactly. A refusal
//! from here proves that nothing ran (`docs/design.md`, section 2.4).

use std::collections::VecDeque;
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
use sycamoreflow_coordination::routing::Load;
use sycamoreflow_protocol::call::{Answer, Call};
use sycamoreflow_state::endpoint::{Announcement, Endpoint};
use sycamoreflow_state::ids::{
    DaemonId, DataCentre, Micros, Millis, ServiceName, TenantName, VersionName,
};
use sycamoreflow_state::verdict::{Failure, Reason, Verdict};
use sycamoreflow_state::view::{Resource, ResourceKey, View};
use sycamoreflow_transport::http::client::{Client, SendOptions};

use crate::clock;
use crate::proxy::crashes::Crashes;
use crate::proxy::dialect::Dialect;
use crate::proxy::headers;
use crate::proxy::owner::upstream::{Slot, Upstream};
use crate::telemetry::REFUSALS;

mod upstream;

/// Result of a delivery.
pub type Result<T> = std::result::Result<T, Failure>;

/// Pauses before the probes of an upstream that has broken a connection. A process that dies closes
/// its connections and its listener one after the other, so the first probe may still succeed.
const PROBE_PAUSES: [Duration; 3] = [
    Duration::ZERO,
    Duration::from_millis(20),
    Duration::from_millis(80),
];

/// Idle time up to which a connection carries requests that must not run twice. An upstream that
/// drops idle connections early does so after a longer time.
const FRESH_CONNECTION: Duration = Duration::from_millis(250);

/// Instances that have left and are remembered. One host has one upstream at a time.
const MAX_DEPARTED: usize = 64;

/// How long the probe of an upstream that has broken a connection may take.
const PROBE_TIMEOUT: Duration = Duration::from_millis(200);

/// How long an announcement holds without a renewal by the upstream.
pub const ANNOUNCEMENT_LEASE: Millis = Millis(6_000);

/// The upstreams beside this daemon.
pub struct Owner {
    daemon: DaemonId,
    data_centre: DataCentre,
    link_address: SocketAddr,
    limits: OwnerLimits,
    client: Client,
    crashes: Arc<Crashes>,
    upstreams: Mutex<IndexMap<ServiceName, Arc<Upstream>>>,
    weights: Mutex<Vec<(TenantName, u32)>>,
    dialect: Arc<Dialect>,
    /// Instances that have left, so that a late report does not bring them back.
    departed: Mutex<VecDeque<(String, u64)>>,
    /// When the work in flight is cut, if the host is leaving.
    ends_at: Mutex<Option<Millis>>,
    /// Whether callers are told that the host is leaving.
    unready: AtomicBool,
    /// Whether the other daemons are told that the host is leaving.
    leaving: AtomicBool,
    draining: AtomicBool,
    next_call: AtomicU64,
}

/// Bounds of the wait for a slot.
#[derive(Clone, Copy, Debug)]
pub struct OwnerLimits {
    /// Longest wait.
    pub max_wait: Millis,
    /// Waiting calls per slot.
    pub queue_per_slot: u32,
    /// Whether fewer calls run at once while the upstream sheds or is slow.
    pub adapts: bool,
}

/// What an upstream that identifies its instances says about itself. It is repeated, and a report
/// may arrive late, after the upstream has started again or has been replaced by another one.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct InstanceReport {
    /// Identifier of the instance.
    pub instance: String,
    /// When the instance started, in milliseconds since the Unix epoch.
    pub born: u64,
    /// Number that rises with each report of the instance.
    pub sequence: u64,
    /// Whether the instance is leaving.
    pub draining: bool,
    /// What else the instance announces.
    pub announcement: Announcement,
}

impl Owner {
    /// Makes the owner role of a daemon without upstreams.
    pub fn new(
        daemon: DaemonId,
        data_centre: DataCentre,
        link_address: SocketAddr,
        limits: OwnerLimits,
        client: Client,
        crashes: Arc<Crashes>,
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
            dialect: Arc::default(),
            departed: Mutex::default(),
            ends_at: Mutex::default(),
            unready: AtomicBool::new(false),
            leaving: AtomicBool::new(false),
            draining: AtomicBool::new(false),
            next_call: AtomicU64::new(1),
        }
    }

    /// Makes the role speak another dialect to its upstreams.
    pub fn with_dialect(mut self, dialect: Arc<Dialect>) -> Self {
        self.dialect = dialect;
        self
    }

    /// Takes in an announcement or its renewal. Returns whether the endpoints have changed.
    pub fn announce(&self, announcement: Announcement) -> bool {
        self.announce_instance(announcement, None)
    }

    /// Takes in the report of an instance. Late reports of earlier instances, and of instances that
    /// have left, have no effect. Returns whether the endpoints have changed.
    pub fn report(&self, report: InstanceReport) -> bool {
        if self.is_outdated(&report) {
            metrics::counter!("sycamoreflow_outdated_reports_total").increment(1);
            tracing::info!(
                event = "report_ignored",
                instance = report.instance,
                born = report.born,
                sequence = report.sequence
            );
            return false;
        }
        let service = report.announcement.service.clone();
        let mut changed = self.displace(&report);
        changed |= self.announce_instance(report.announcement.clone(), Some(&report));
        let Some(upstream) = self.upstreams.lock().get(&service).cloned() else {
            return changed;
        };
        let draining = report.draining;
        *upstream.report.lock() = Some(report);
        if draining && !upstream.draining.load(Ordering::SeqCst) {
            tracing::info!(event = "upstream_draining", %service);
            upstream.leave();
            changed = true;
        }
        changed
    }

    /// Takes in that an instance is about to end. It gets no new work from now on. Returns whether
    /// the endpoints have changed.
    pub fn depart(&self, instance: &str, born: u64) -> bool {
        let mut departed = self.departed.lock();
        if departed.len() >= MAX_DEPARTED {
            departed.pop_front();
        }
        departed.push_back((instance.to_owned(), born));
        drop(departed);
        let mut changed = false;
        for (service, upstream) in self.upstreams.lock().iter() {
            let is_it = upstream.report.lock().as_ref().is_some_and(|known| {
                known.instance == instance && (born == 0 || known.born == born)
            });
            if !is_it {
                continue;
            }
            tracing::info!(event = "upstream_departed", %service, instance, born);
            upstream.departed.store(true, Ordering::SeqCst);
            upstream.leave();
            changed = true;
        }
        changed
    }

    fn is_outdated(&self, report: &InstanceReport) -> bool {
        let has_left = |(instance, born): &(String, u64)| {
            *instance == report.instance && (*born == 0 || *born >= report.born)
        };
        if self.departed.lock().iter().any(has_left) {
            return true;
        }
        let upstreams = self.upstreams.lock();
        let mut others = upstreams
            .values()
            .filter(|upstream| upstream.announcement.address == report.announcement.address);
        others.any(|upstream| {
            let known = upstream.report.lock();
            known.as_ref().is_some_and(|known| {
                let same = known.instance == report.instance && known.born == report.born;
                report.born < known.born || (same && report.sequence <= known.sequence)
            })
        })
    }

    /// Removes the upstreams whose address the reporting instance has taken over.
    fn displace(&self, report: &InstanceReport) -> bool {
        let mut upstreams = self.upstreams.lock();
        let before = upstreams.len();
        upstreams.retain(|service, upstream| {
            let same_address = upstream.announcement.address == report.announcement.address;
            let stays = !same_address || *service == report.announcement.service;
            if !stays {
                tracing::info!(event = "upstream_displaced", %service, by = report.instance);
                upstream.refuse_waiting();
            }
            stays
        });
        upstreams.len() != before
    }

    fn announce_instance(
        &self,
        announcement: Announcement,
        report: Option<&InstanceReport>,
    ) -> bool {
        let mut upstreams = self.upstreams.lock();
        if let Some(known) = upstreams.get(&announcement.service) {
            let is_alive = !known.dead.load(Ordering::SeqCst);
            if is_alive && known.announcement == announcement && known.is_instance(report) {
                *known.renewed.lock() = clock::now();
                return false;
            }
            known.refuse_waiting();
        }
        let upstream = Upstream {
            admission: Mutex::new(Admission::new(self.admission_config(&announcement))),
            report: Mutex::new(report.cloned()),
            route_times: Mutex::default(),
            renewed: Mutex::new(clock::now()),
            draining: AtomicBool::new(false),
            departed: AtomicBool::new(false),
            dead: AtomicBool::new(false),
            waiting: Mutex::default(),
            announcement,
        };
        // An idle upstream of a leaving host is removed, and its next renewal arrives here.
        if self.draining.load(Ordering::SeqCst) {
            upstream.drain();
        }
        let service = upstream.announcement.service.clone();
        tracing::info!(event = "upstream_announced", %service,
            version = %upstream.announcement.version, address = %upstream.announcement.address,
            instance = report.map(|report| report.instance.as_str()),
            born = report.map(|report| report.born));
        upstreams.insert(service, Arc::new(upstream));
        true
    }

    /// Stops new work to the upstream of `service`. Work in flight goes on. Returns whether there
    /// is such an upstream.
    pub fn withdraw(&self, service: &ServiceName) -> bool {
        let upstreams = self.upstreams.lock();
        let Some(upstream) = upstreams.get(service) else {
            return false;
        };
        upstream.drain();
        true
    }

    /// Tells callers that the host is leaving. The upstream still takes work that ends in time, as
    /// work in flight is cut at `ends_at`.
    pub fn refuse_readiness(&self, ends_at: Millis) {
        *self.ends_at.lock() = Some(ends_at);
        self.unready.store(true, Ordering::SeqCst);
    }

    /// Returns whether a request must be refused because it may be cut at the end of a planned stop:
    /// its caller waits for longer. One that may be sent again is still taken until the others know
    /// that the host is leaving, since most requests take much less than their time.
    pub fn may_cut(&self, deadline: Millis, idempotent: bool) -> bool {
        let outlasts = self.ends_at.lock().is_some_and(|at| deadline > at);
        outlasts && (!idempotent || self.is_leaving())
    }

    /// Tells the other daemons that the host is leaving. Work that arrives before
    /// [`Owner::drain`] is still done.
    pub fn announce_leaving(&self) {
        if !self.leaving.swap(true, Ordering::SeqCst) {
            tracing::info!(event = "leaving");
        }
    }

    /// Stops new work to all upstreams, because the host is leaving.
    pub fn drain(&self) {
        if self.draining.swap(true, Ordering::SeqCst) {
            return;
        }
        tracing::info!(event = "draining");
        for upstream in self.upstreams.lock().values() {
            upstream.drain();
        }
    }

    /// Returns whether callers are told to go elsewhere.
    pub fn is_unready(&self) -> bool {
        self.unready.load(Ordering::SeqCst) || self.is_leaving()
    }

    /// Returns whether the host is leaving.
    pub fn is_leaving(&self) -> bool {
        self.leaving.load(Ordering::SeqCst) || self.draining.load(Ordering::SeqCst)
    }

    /// Follows the drain marks of operators in a view: a marked upstream gets no new work, also from
    /// daemons that do not know the mark yet.
    pub fn follow_marks(&self, view: &View) {
        if self.draining.load(Ordering::SeqCst) {
            return;
        }
        for (service, upstream) in self.upstreams.lock().iter() {
            if upstream.draining.load(Ordering::SeqCst) {
                continue;
            }
            let key = ResourceKey::Endpoint(self.daemon.clone(), service.clone());
            let endpoint = view.get(&key).map(AsRef::as_ref);
            let marked = matches!(endpoint, Some(Resource::Endpoint(e)) if e.draining);
            let mut admission = upstream.admission.lock();
            if marked {
                admission.drain();
            } else {
                admission.resume();
            }
        }
    }

    /// Removes upstreams that have not renewed their announcement, or that have left and finished
    /// their work. Returns whether the endpoints have changed.
    pub fn expire(&self) -> bool {
        let now = clock::now();
        let mut upstreams = self.upstreams.lock();
        let before = upstreams.len();
        upstreams.retain(|service, upstream| {
            let silent = now.since(*upstream.renewed.lock()) > ANNOUNCEMENT_LEASE;
            // An upstream that reports its instance says itself when it is gone.
            let leaves = match upstream.report.lock().is_some() {
                true => upstream.departed.load(Ordering::SeqCst),
                false => upstream.draining.load(Ordering::SeqCst),
            };
            let left = leaves && upstream.in_flight() == 0;
            if silent {
                tracing::warn!(event = "upstream_silent", %service,
                    lease_ms = ANNOUNCEMENT_LEASE.0);
                upstream.refuse_waiting();
            }
            let dead = upstream.dead.load(Ordering::SeqCst);
            !silent && !left && !dead
        });
        upstreams.len() != before
    }

    /// Sets the tenants' weights.
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

    /// Returns the endpoints as they are announced to the control replicas.
    pub fn endpoints(&self) -> Vec<Endpoint> {
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
        });
        endpoints.collect()
    }

    /// Returns the number of calls that run or wait.
    pub fn in_flight(&self) -> usize {
        let upstreams = self.upstreams.lock();
        upstreams
            .values()
            .map(|upstream| upstream.in_flight())
            .sum()
    }

    /// Runs a call at the upstream beside this daemon.
    ///
    /// # Errors
    ///
    /// The verdict is [`Verdict::NotRun`] if no byte of the request reached the upstream, or if
    /// the upstream itself says so.
    pub async fn deliver(&self, call: &Call, deadline: Millis) -> Result<Answer> {
        self.deliver_with_load(call, deadline).await.0
    }

    /// Runs a call as [`Owner::deliver`] does, and returns the load of the upstream with the
    /// result, if there is one.
    pub async fn deliver_with_load(
        &self,
        call: &Call,
        deadline: Millis,
    ) -> (Result<Answer>, Option<Load>) {
        let upstream = match self.upstream(&call.service, &call.version) {
            Ok(upstream) => upstream,
            Err(failure) => return (Err(failure), None),
        };
        if self.may_cut(deadline, call.urgency.idempotent) {
            let failure = Failure::not_run(Reason::Draining);
            upstream.log_refusal(call, &self.dialect, failure);
            return (Err(failure), None);
        }
        let (result, waited) = self.run(&upstream, call, deadline).await;
        let load = Load {
            waited: waited.into(),
            ..upstream.load(&call.route)
        };
        (result, Some(load))
    }

    /// Runs a call. Returns the time for which it waited for a slot with the result.
    async fn run(
        &self,
        upstream: &Arc<Upstream>,
        call: &Call,
        deadline: Millis,
    ) -> (Result<Answer>, Millis) {
        let id = CallId(self.next_call.fetch_add(1, Ordering::Relaxed));
        let offered = clock::now();
        let mut withdrawal = WithdrawalLog {
            call,
            dialect: &self.dialect,
            offered,
            ended: false,
        };
        let admitted = self.admit(upstream, id, call, deadline).await;
        let waited = clock::now().since(offered);
        let result = match admitted {
            Ok(slot) => self.run_admitted(slot, call, deadline, waited).await,
            Err(failure) => {
                upstream.log_refusal(call, &self.dialect, failure);
                Err(failure)
            }
        };
        withdrawal.ended = true;
        (result, waited)
    }

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
        let options = SendOptions {
            echoed_header: self.dialect.request_id.clone(),
            max_idle_time: (!call.urgency.idempotent).then_some(FRESH_CONNECTION),
        };
        let started = std::time::Instant::now();
        let address = upstream.announcement.address;
        let limit = clock::instant(deadline);
        let response = self
            .client
            .send_with_options(address, request, limit, &options);
        let response = response.await;
        let latency = Micros(started.elapsed().as_micros() as u64);
        let (mut result, outcome) = judge(response, call, latency, &self.dialect);
        if let UpstreamResult::Answered(latency) = outcome {
            upstream.learn(&call.route, latency);
        }
        upstream.log_end(call, &self.dialect, waited, latency, &result);
        match &result {
            Err(f) if f.reason == Reason::ConnectionLost => self.note_if_dead(upstream).await,
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
        headers::upstream_request(call, remaining, instance, &self.dialect)
    }

    /// Finds out whether a lost connection means that the upstream has died, and blames the
    /// requests in flight if so. An upstream that refuses connections has no process any more.
    ///
    /// The request waits for the result, since it must not be sent to another upstream if it has
    /// crashed this one.
    async fn note_if_dead(&self, upstream: &Upstream) {
        for pause in PROBE_PAUSES {
            task::sleep(pause).await;
            if refuses_connections(upstream.announcement.address).await {
                upstream.note_death(&self.crashes);
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

    async fn admit(
        &self,
        upstream: &Arc<Upstream>,
        id: CallId,
        call: &Call,
        deadline: Millis,
    ) -> Result<Slot> {
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
        cfg.adaptive_limit = self.limits.adapts;
        cfg
    }
}

/// Logs that a call was withdrawn, if its future is dropped before it ends.
struct WithdrawalLog<'a> {
    call: &'a Call,
    dialect: &'a Dialect,
    offered: Millis,
    ended: bool,
}

impl Drop for WithdrawalLog<'_> {
    fn drop(&mut self) {
        if self.ended {
            return;
        }
        let after = clock::now().since(self.offered);
        tracing::info!(target: REFUSALS, event = "owner_withdrawn",
            request = headers::request_id(self.call, self.dialect), route = %self.call.route,
            after_ms = after.0);
    }
}

async fn refuses_connections(address: SocketAddr) -> bool {
    match timeout(PROBE_TIMEOUT, TcpStream::connect(address)).await {
        Ok(Err(error)) => error.kind() == std::io::ErrorKind::ConnectionRefused,
        Ok(Ok(_)) | Err(_) => false,
    }
}

/// Turns what the upstream sent into the result of the call and the outcome for admission.
///
/// A promise that the request has not run counts only with the request's own id. One without an id may be
/// that of an earlier request, and its caller would send the request again while it runs.
fn judge(
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
        if !headers::names_request(&response, call, dialect) {
            tracing::warn!(target: REFUSALS, event = "unproven_refusal",
                request = headers::request_id(call, dialect), route = %call.route,
                status = response.status().as_u16());
            let failure = Failure::may_have_run(Reason::BadAnswer);
            return (Err(failure), UpstreamResult::Failed);
        }
        // Another instance has the address of the one that was expected.
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

//! The owner role: delivers calls to the upstreams beside this daemon.
//!
//! Admission is decided here, since only this daemon knows the work in flight exactly. A refusal
//! from here proves that nothing ran (`docs/design.md`, section 2.4).

use std::collections::HashMap;
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
    Admission, AdmissionConfig, CallId, Decision, Released, UpstreamResult,
};
use sycamoreflow_protocol::call::{Answer, Call};
use sycamoreflow_state::endpoint::{Announcement, Endpoint};
use sycamoreflow_state::ids::{
    DaemonId, DataCentre, Micros, Millis, ServiceName, TenantName, VersionName,
};
use sycamoreflow_state::verdict::{Failure, Reason, VERDICT_HEADER, Verdict};
use sycamoreflow_state::view::{Resource, ResourceKey, View};
use sycamoreflow_transport::http::client::Client;

use crate::clock;
use crate::proxy::crashes::Crashes;
use crate::proxy::headers;

/// Result of a delivery.
pub type Result<T> = std::result::Result<T, Failure>;

/// Pauses before the probes of an upstream that has broken a connection. A process that dies closes
/// its connections and its listener one after the other, so the first probe may still succeed.
const PROBE_PAUSES: [Duration; 3] = [
    Duration::ZERO,
    Duration::from_millis(20),
    Duration::from_millis(80),
];

/// How often a waiting call looks at the timeouts of the queue.
const QUEUE_TICK: Duration = Duration::from_millis(5);

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
}

/// An upstream that has announced itself.
#[derive(Debug)]
struct Upstream {
    announcement: Announcement,
    renewed: Mutex<Millis>,
    draining: AtomicBool,
    /// Whether the upstream was found dead. It has to announce itself again.
    dead: AtomicBool,
    admission: Mutex<Admission>,
    waiting: Mutex<HashMap<CallId, oneshot::Sender<Result<()>>>>,
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
            draining: AtomicBool::new(false),
            next_call: AtomicU64::new(1),
        }
    }

    /// Takes in an announcement or its renewal. Returns whether the endpoints have changed.
    pub fn announce(&self, announcement: Announcement) -> bool {
        let mut upstreams = self.upstreams.lock();
        if let Some(known) = upstreams.get(&announcement.service) {
            let is_alive = !known.dead.load(Ordering::SeqCst);
            if is_alive && known.announcement == announcement {
                *known.renewed.lock() = clock::now();
                return false;
            }
            known.refuse_waiting();
        }
        let upstream = Upstream {
            admission: Mutex::new(Admission::new(self.admission_config(&announcement))),
            renewed: Mutex::new(clock::now()),
            draining: AtomicBool::new(false),
            dead: AtomicBool::new(false),
            waiting: Mutex::default(),
            announcement,
        };
        // An idle upstream of a leaving host is removed, and its next renewal arrives here.
        if self.draining.load(Ordering::SeqCst) {
            upstream.drain();
        }
        let service = upstream.announcement.service.clone();
        tracing::info!(%service, version = %upstream.announcement.version, "upstream announced");
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

    /// Stops new work to all upstreams, because the host is leaving.
    pub fn drain(&self) {
        if self.draining.swap(true, Ordering::SeqCst) {
            return;
        }
        tracing::info!("draining: new work is refused");
        for upstream in self.upstreams.lock().values() {
            upstream.drain();
        }
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
            let left = upstream.draining.load(Ordering::SeqCst) && upstream.is_idle();
            if silent {
                tracing::warn!(%service, "upstream stopped renewing its announcement");
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
        let draining = self.draining.load(Ordering::SeqCst);
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
        let counts = upstreams.values().map(|upstream| {
            let admission = upstream.admission.lock();
            admission.running() + admission.queued()
        });
        counts.sum()
    }

    /// Runs a call at the upstream beside this daemon.
    ///
    /// # Errors
    ///
    /// The verdict is [`Verdict::NotRun`] if no byte of the request reached the upstream, or if
    /// the upstream itself says so.
    pub async fn deliver(&self, call: &Call, deadline: Millis) -> Result<Answer> {
        let upstream = self.upstream(&call.service, &call.version)?;
        let id = CallId(self.next_call.fetch_add(1, Ordering::Relaxed));
        let mut slot = self.admit(&upstream, id, &call.tenant, deadline).await?;
        let request = headers::upstream_request(call, deadline.since(clock::now()))?;
        let started_request = match call.fingerprint {
            Some(fingerprint) => Some(self.crashes.start(fingerprint)?),
            None => None,
        };
        let started = std::time::Instant::now();
        let address = upstream.announcement.address;
        let response = self
            .client
            .send(address, request, clock::instant(deadline))
            .await;
        let latency = Micros(started.elapsed().as_micros() as u64);
        let (mut result, outcome) = judge(response, latency);
        if matches!(&result, Err(f) if f.reason == Reason::ConnectionLost) {
            self.note_if_dead(&upstream).await;
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

    /// Finds out whether a lost connection means that the upstream has died, and blames the
    /// requests in flight if so. An upstream that refuses connections has no process any more.
    async fn note_if_dead(&self, upstream: &Upstream) {
        let mut refused = false;
        for pause in PROBE_PAUSES {
            task::sleep(pause).await;
            refused = refuses_connections(upstream.announcement.address).await;
            if refused {
                break;
            }
        }
        if !refused || upstream.dead.swap(true, Ordering::SeqCst) {
            return;
        }
        self.crashes.upstream_died();
        upstream.drain();
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
        tenant: &TenantName,
        deadline: Millis,
    ) -> Result<Slot> {
        let (tx, rx) = oneshot::channel();
        upstream.waiting.lock().insert(id, tx);
        let slot = Slot {
            upstream: upstream.clone(),
            id,
            held: true,
        };
        let decision = upstream
            .admission
            .lock()
            .offer(clock::now(), id, tenant, deadline);
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
        cfg
    }
}

impl Upstream {
    fn drain(&self) {
        self.draining.store(true, Ordering::SeqCst);
        self.admission.lock().drain();
    }

    fn is_idle(&self) -> bool {
        let admission = self.admission.lock();
        admission.running() + admission.queued() == 0
    }

    /// Waits until the queue releases or refuses a call. While calls wait, they advance the queue's
    /// timeouts themselves, so that an idle upstream costs nothing.
    async fn wait_for_slot(&self, mut rx: oneshot::Receiver<Result<()>>) -> Result<()> {
        loop {
            match timeout(QUEUE_TICK, &mut rx).await {
                Ok(Ok(result)) => return result,
                Ok(Err(_)) => return Err(Failure::not_run(Reason::Draining)),
                Err(_) => {
                    let released = self.admission.lock().tick(clock::now());
                    self.release(released);
                }
            }
        }
    }

    fn release(&self, released: Vec<Released>) {
        let mut waiting = self.waiting.lock();
        for release in released {
            let (id, result) = match release {
                Released::Start(id) => (id, Ok(())),
                Released::Refused(id, failure) => (id, Err(failure)),
            };
            let Some(tx) = waiting.remove(&id) else {
                continue;
            };
            // A receiver that is gone frees its slot when it is dropped.
            let _ = tx.send(result);
        }
    }

    /// Refuses all waiting calls, because the upstream is replaced or gone.
    fn refuse_waiting(&self) {
        for (_, tx) in self.waiting.lock().drain() {
            let _ = tx.send(Err(Failure::not_run(Reason::NoEndpoint)));
        }
    }
}

/// A place in the admission of an upstream. Dropping it before the end frees the place: the caller
/// is gone, and the connection to the upstream is closed with the request.
#[derive(Debug)]
struct Slot {
    upstream: Arc<Upstream>,
    id: CallId,
    held: bool,
}

impl Slot {
    fn finish(&mut self, outcome: UpstreamResult) {
        self.held = false;
        let released = {
            let mut admission = self.upstream.admission.lock();
            admission.finish(clock::now(), self.id, outcome)
        };
        self.upstream.release(released);
    }

    /// Drops the place of a call that admission does not hold.
    fn forget(mut self) {
        self.held = false;
        self.upstream.waiting.lock().remove(&self.id);
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        if !self.held {
            return;
        }
        self.upstream.waiting.lock().remove(&self.id);
        let was_queued = self.upstream.admission.lock().cancel(self.id);
        if !was_queued {
            self.finish(UpstreamResult::Abandoned);
        }
    }
}

async fn refuses_connections(address: SocketAddr) -> bool {
    match timeout(PROBE_TIMEOUT, TcpStream::connect(address)).await {
        Ok(Err(error)) => error.kind() == std::io::ErrorKind::ConnectionRefused,
        Ok(Ok(_)) | Err(_) => false,
    }
}

/// Turns what the upstream sent into the result of the call and the outcome for admission.
fn judge(
    response: std::result::Result<http::Response<Bytes>, Failure>,
    latency: Micros,
) -> (Result<Answer>, UpstreamResult) {
    let response = match response {
        Ok(response) => response,
        Err(failure) => return (Err(failure), UpstreamResult::Failed),
    };
    let verdict = response.headers().get(VERDICT_HEADER);
    let shed = verdict.is_some_and(|value| value == Verdict::NotRun.as_str());
    if shed && response.status() == http::StatusCode::SERVICE_UNAVAILABLE {
        let failure = Failure::not_run(Reason::Shed);
        return (Err(failure), UpstreamResult::Shed);
    }
    let answer = headers::answer(response);
    (Ok(answer), UpstreamResult::Answered(latency))
}

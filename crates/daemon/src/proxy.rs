//! The request path of a daemon.
//!
//! The entry role matches a request to a route, chooses version and endpoint and retries within
//! the rules of `docs/design.md`, section 2; the owner role runs calls at the upstream beside the
//! daemon.

use std::collections::{HashMap, HashSet};
use std::sync::Arc;
use std::time::{Duration, Instant};

use arc_swap::ArcSwapOption;
use async_std::channel;
use bytes::Bytes;
use http::{Request, Response};
use parking_lot::{Mutex, RwLock};
use sycamoreflow_coordination::dedup::Key;
use sycamoreflow_coordination::evidence::EvidenceReport;
use sycamoreflow_coordination::fingerprint::Fingerprint;
use sycamoreflow_coordination::retry::{Attempts, Next};
use sycamoreflow_coordination::routing::{CallSizes, Goal, Load, RouterConfig};
use sycamoreflow_coordination::shares::Grant;
use sycamoreflow_coordination::split::SplitCounter;
use sycamoreflow_protocol::call::{Answer, Call, CallResult, CallUrgency, RequestHead};
use sycamoreflow_state::endpoint::Endpoint;
use sycamoreflow_state::ids::{
    DaemonId, DataCentre, Micros, Millis, RouteName, ServiceName, TenantName, VersionName,
    ViewVersion,
};
use sycamoreflow_state::verdict::{Failure, Reason, Verdict};
use sycamoreflow_state::view::{ResourceKey, View};

use crate::clock;
use crate::proxy::crashes::Crashes;
use crate::proxy::dialect::Dialect;
use crate::proxy::headers::{CallerHeaders, DEFAULT_TENANT};
use crate::proxy::keys::{KeyedRequest, Keys};
use crate::proxy::links::CallLinks;
use crate::proxy::owner::Owner;
use crate::proxy::service::{AttemptEnd, Service, Target};
use crate::proxy::table::{Route, RouteTable};
use crate::telemetry::{ANSWERS, REFUSALS};

pub mod crashes;
pub mod dialect;
pub mod headers;
pub mod keys;
pub mod links;
pub mod owner;
pub mod service;
pub mod table;

/// Sends of one call at most, including the first.
const MAX_ATTEMPTS: usize = 3;

/// Daemons that may refuse a request for lack of room before its caller is refused.
const MAX_REFUSALS: usize = 4;

/// Value of an answer after the target of its route, relative to one in time.
const LATE_VALUE: f64 = 0.3;

/// Bytes of a call and its answer beyond their bodies: heads and the envelopes of links.
const ENVELOPE_BYTES: usize = 600;

/// First status by which an upstream says that it has failed a call.
const FIRST_SERVER_ERROR: u16 = 500;

/// When a caller may come back if nothing better is known.
const RETRY_AFTER: Millis = Millis(300);

/// Latency between data centres that the first estimates assume.
const FIRST_HOP: Micros = Micros(1_000);

/// Result of a call.
pub type Result<T> = std::result::Result<T, Failure>;

/// The request path of a daemon.
pub struct Proxy {
    daemon: DaemonId,
    data_centre: DataCentre,
    incarnation: u64,
    active: ArcSwapOption<Active>,
    services: RwLock<HashMap<ServiceName, Arc<Service>>>,
    links: CallLinks,
    owner: Arc<Owner>,
    keys: Arc<Keys>,
    crashes: Arc<Crashes>,
    dialect: Arc<Dialect>,
    /// Service beside this daemon, if the settings name it.
    own_service: Option<ServiceName>,
    /// Retries that all daemons together may make beyond their share of a service's requests.
    shared_retries: Option<u64>,
    splits: Mutex<HashMap<RouteName, SplitCounter>>,
    sizes: Mutex<CallSizes>,
    /// Wakes the subscription when evidence has to be reported at once.
    urgent_report: channel::Sender<()>,
}

/// The view in force, compiled for lookups. A request keeps the one that it started with.
#[derive(Debug)]
struct Active {
    view: Arc<View>,
    routes: Arc<RouteTable>,
}

/// A request that has passed all checks of the entry role.
#[derive(Debug)]
struct Admitted {
    route: RouteName,
    service_name: ServiceName,
    service: Arc<Service>,
    tenant: TenantName,
    deadline: Millis,
    idempotent: bool,
    key: Option<String>,
    request_id: Option<String>,
    priority: u32,
    /// When the answer loses part of its value, if the route says so.
    target: Option<Millis>,
    max_attempts: usize,
}

/// What became of a request, for the log and the response.
#[derive(Debug, Default)]
struct Trace {
    request_id: Option<String>,
    route: Option<RouteName>,
    service: Option<ServiceName>,
    version: Option<VersionName>,
    endpoint: Option<DaemonId>,
    view: Option<ViewVersion>,
    attempts: u32,
    /// When the caller may come back after a refusal.
    retry_after: Option<Millis>,
}

/// The parts that a request path is made of.
pub struct Parts {
    /// This daemon.
    pub daemon: DaemonId,
    /// Data centre of its host.
    pub data_centre: DataCentre,
    /// Number that rises with every start of the daemon.
    pub incarnation: u64,
    /// Links to other daemons.
    pub links: CallLinks,
    /// The owner role.
    pub owner: Arc<Owner>,
    /// Idempotency keys.
    pub keys: Arc<Keys>,
    /// Requests that crash upstreams.
    pub crashes: Arc<Crashes>,
    /// Dialect of callers.
    pub dialect: Arc<Dialect>,
    /// Service beside this daemon, if the settings name it.
    pub own_service: Option<ServiceName>,
    /// Retries that all daemons together may make beyond their share of a service's requests. `None`
    /// leaves the number to each daemon.
    pub shared_retries: Option<u64>,
    /// Wakes the subscription when evidence has to be reported at once.
    pub urgent_report: channel::Sender<()>,
}

impl Proxy {
    /// Makes the request path of a daemon that has no view yet.
    pub fn new(parts: Parts) -> Self {
        Self {
            daemon: parts.daemon,
            data_centre: parts.data_centre,
            incarnation: parts.incarnation,
            active: ArcSwapOption::empty(),
            services: RwLock::default(),
            links: parts.links,
            owner: parts.owner,
            keys: parts.keys,
            crashes: parts.crashes,
            dialect: parts.dialect,
            own_service: parts.own_service,
            shared_retries: parts.shared_retries,
            splits: Mutex::default(),
            sizes: Mutex::default(),
            urgent_report: parts.urgent_report,
        }
    }

    /// Returns the idempotency keys.
    pub fn keys(&self) -> &Arc<Keys> {
        &self.keys
    }

    /// Returns the requests that crash upstreams.
    pub fn crashes(&self) -> &Arc<Crashes> {
        &self.crashes
    }

    /// Returns the owner role.
    pub fn owner(&self) -> &Arc<Owner> {
        &self.owner
    }

    /// Returns the view in force.
    pub fn view(&self) -> Option<Arc<View>> {
        self.active
            .load()
            .as_ref()
            .map(|active| active.view.clone())
    }

    /// Puts a view in force as a whole.
    ///
    /// Services are prepared before the routes that use them are swapped in, and those that are
    /// no longer used are dropped afterwards.
    pub fn activate(&self, view: Arc<View>) {
        let mut endpoints: HashMap<&ServiceName, Vec<Endpoint>> = HashMap::new();
        for endpoint in view.endpoints() {
            let of_service = endpoints.entry(&endpoint.service).or_default();
            of_service.push(endpoint.clone());
        }
        let daemons: HashSet<&DaemonId> = view.endpoints().map(|e| &e.daemon).collect();
        let sharing = daemons.len().max(1) as u64;
        let retry_burst = self.shared_retries.map(|all| (all / sharing).max(1));
        let mut used = HashSet::new();
        for (name, config) in view.services() {
            let Some(split) = view.traffic(name) else {
                continue;
            };
            let service = self.service_or_new(name, || {
                Service::new(self.router_config(name), config, split, self.incarnation)
            });
            let endpoints = endpoints.remove(name).unwrap_or_default();
            service.update(config, split, &endpoints);
            service.set_retry_burst(retry_burst);
            used.insert(name);
        }
        self.keys.update(self.view().as_deref(), &view);
        self.owner.set_weights(tenant_weights(&view));
        self.owner.follow_marks(&view);
        let active = Active {
            routes: self.routes_of(&view),
            view: view.clone(),
        };
        self.active.store(Some(Arc::new(active)));
        self.services.write().retain(|name, _| used.contains(name));
        let has_route = |name: &RouteName| view.get(&ResourceKey::Route(name.clone())).is_some();
        self.splits.lock().retain(|name, _| has_route(name));
        self.links.retain(|daemon| daemons.contains(daemon));
        metrics::gauge!("sycamoreflow_view_config_version").set(view.version().config.0 as f64);
    }

    /// Returns the routes of a view. Those in force are used again if only endpoints have changed.
    fn routes_of(&self, view: &View) -> Arc<RouteTable> {
        let active = self.active.load();
        if let Some(active) = active.as_ref()
            && active.view.version().config == view.version().config
        {
            return active.routes.clone();
        }
        Arc::new(RouteTable::new(view))
    }

    /// Serves a request of a caller.
    pub async fn serve(self: &Arc<Self>, req: Request<Bytes>) -> Response<Bytes> {
        let started = Instant::now();
        let id_header = self.dialect.request_id.clone();
        let id_header = id_header.and_then(|name| Some((req.headers().get(&name)?.clone(), name)));
        let mut trace = Trace::default();
        let (result, tenant) = self.run(req, &mut trace).await;
        let elapsed = started.elapsed();
        trace.log(&result, elapsed);
        let response = match result {
            Ok(answer) => headers::response(answer, &self.dialect),
            Err(failure) => {
                let reason = headers::reason_text(failure.reason);
                let verdict = failure.verdict.as_str();
                metrics::counter!("sycamoreflow_calls_failed_total",
                    "reason" => reason, "verdict" => verdict)
                .increment(1);
                let wait = trace.retry_after.unwrap_or(RETRY_AFTER);
                let mut response = headers::refusal_in(failure, &self.dialect, Some(wait));
                if let Some((id, name)) = id_header {
                    response.headers_mut().insert(name, id);
                }
                response
            }
        };
        let tenant = tenant.as_str().to_owned();
        metrics::counter!("sycamoreflow_calls_total", "tenant" => tenant.clone()).increment(1);
        metrics::histogram!("sycamoreflow_call_seconds", "tenant" => tenant)
            .record(elapsed.as_secs_f64());
        response
    }

    /// Runs a call that another daemon has sent here. Returns the load of the upstream with it.
    pub async fn run_owned(&self, call: Call) -> (CallResult, Option<Load>) {
        let deadline = clock::now().after(Millis(u64::from(call.remaining_ms)));
        let (result, load) = self.owner.deliver_with_load(&call, deadline).await;
        match result {
            Ok(answer) => (CallResult::Answer(answer), load),
            Err(failure) => (CallResult::Refused(failure), load),
        }
    }

    /// Returns whether callers may send requests here: there is a view, and the daemon is not
    /// leaving.
    pub fn is_ready(&self) -> bool {
        self.active.load().is_some() && !self.owner.is_unready()
    }

    /// Returns whether any service is under rollout.
    pub fn has_rollout(&self) -> bool {
        let services = self.services.read();
        services.values().any(|service| service.has_rollout())
    }

    /// Returns the evidence of all running rollouts.
    pub fn report(&self) -> EvidenceReport {
        let services = self.services.read();
        let rollouts = services.values().filter_map(|service| service.report());
        EvidenceReport {
            incarnation: self.incarnation,
            rollouts: rollouts.collect(),
        }
    }

    /// Hands credits of the leader to the services that they are meant for.
    pub fn grant(&self, grants: &[Grant]) {
        let services = self.services.read();
        for grant in grants {
            for service in services.values() {
                if service.grant(grant) {
                    break;
                }
            }
        }
    }

    /// Probes ejected endpoints by opening a link to the daemon beside them.
    pub async fn probe(&self) {
        let services: Vec<Arc<Service>> = self.services.read().values().cloned().collect();
        for service in services {
            let Some(target) = service.next_probe() else {
                continue;
            };
            let is_local = target.daemon == self.daemon;
            let limit = Instant::now() + std::time::Duration::from_secs(1);
            let success = is_local
                || self
                    .links
                    .probe(&target.daemon, target.address, limit)
                    .await;
            service.probed(&target.daemon, success);
        }
    }

    async fn run(
        self: &Arc<Self>,
        req: Request<Bytes>,
        trace: &mut Trace,
    ) -> (Result<Answer>, TenantName) {
        let caller = match headers::read_caller(req.headers(), &self.dialect) {
            Ok(caller) => caller,
            Err(failure) => return (Err(failure), TenantName::from(DEFAULT_TENANT)),
        };
        let tenant = caller.tenant.clone();
        trace.request_id = caller.request_id.clone();
        let Some(active) = self.active.load_full() else {
            return (Err(Failure::not_run(Reason::NotReady)), tenant);
        };
        trace.view = Some(active.view.version());
        let admitted = match self.admit(&active, caller, &req) {
            Ok(admitted) => admitted,
            // A tenant that is not in the configuration must not become a metric label.
            Err(failure) => return (Err(failure), TenantName::from(DEFAULT_TENANT)),
        };
        trace.route = Some(admitted.route.clone());
        trace.service = Some(admitted.service_name.clone());
        let (head, body) = headers::request_head(req, &self.dialect);
        (self.run_admitted(admitted, head, body, trace).await, tenant)
    }

    /// Runs a request, at most once if it has an idempotency key.
    async fn run_admitted(
        self: &Arc<Self>,
        admitted: Admitted,
        head: RequestHead,
        body: Bytes,
        trace: &mut Trace,
    ) -> Result<Answer> {
        let content = Fingerprint::of(&admitted.tenant, &head.method, &head.path_and_query, &body);
        let Some(key) = admitted.key.clone() else {
            return self.attempt(&admitted, content, head, body, trace).await;
        };
        let key = Key {
            service: admitted.service_name.clone(),
            tenant: admitted.tenant.clone(),
            key,
        };
        let identity = Fingerprint::of_key(&key);
        let keyed = KeyedRequest {
            key,
            fingerprint: content,
            deadline: admitted.deadline,
        };
        let proxy = self.clone();
        let run = async move {
            // The run may outlive its caller, so it has a trace of its own.
            let mut trace = Trace::default();
            proxy
                .attempt(&admitted, identity, head, body, &mut trace)
                .await
        };
        self.keys.run_once(keyed, run).await
    }

    fn admit(
        &self,
        active: &Active,
        caller: CallerHeaders,
        req: &Request<Bytes>,
    ) -> Result<Admitted> {
        let tenant = caller.tenant;
        let known = active.view.tenant(&tenant).is_some() || tenant.as_str() == DEFAULT_TENANT;
        if !known {
            return Err(Failure::not_run(Reason::TenantRefused));
        }
        let route = active
            .routes
            .find_at(&host_of(req), req.method().as_str(), req.uri().path())
            .ok_or(Failure::not_run(Reason::NoRoute))?;
        let allowed = &route.config.tenants;
        if !allowed.is_empty() && !allowed.contains(&tenant) {
            return Err(Failure::not_run(Reason::TenantRefused));
        }
        let service_name = self.service_of(route);
        let service = self.services.read().get(&service_name).cloned();
        let service = service.ok_or(Failure::not_run(Reason::NoEndpoint))?;
        let delivery = &route.config.delivery;
        let now = clock::now();
        let timeout = route.config.timeout;
        let remaining = caller.remaining.map_or(timeout, |r| r.min(timeout));
        // A route that says how often a request may be sent also says whether it may be repeated.
        let by_method = delivery.max_attempts.is_none() && req.method().is_idempotent();
        let idempotent = route.config.idempotent || by_method;
        Ok(Admitted {
            route: route.name.clone(),
            service_name,
            service,
            tenant,
            deadline: now.after(remaining),
            idempotent,
            key: caller.key.filter(|_| !idempotent),
            request_id: caller.request_id,
            priority: delivery.priority,
            target: delivery.target_latency.map(|target| now.after(target)),
            max_attempts: delivery
                .max_attempts
                .map_or(MAX_ATTEMPTS, |max| max as usize),
        })
    }

    /// Chooses the service of a request by the weights of its route.
    fn service_of(&self, route: &Route) -> ServiceName {
        let split = &route.config.delivery.split;
        if split.is_empty() {
            return route.config.service.clone();
        }
        let mut splits = self.splits.lock();
        let counter = splits.entry(route.name.clone()).or_default();
        let chosen = counter.next(split);
        chosen.unwrap_or_else(|| route.config.service.clone())
    }

    /// Sends a request until it is answered or the rules for retries end it.
    async fn attempt(
        &self,
        admitted: &Admitted,
        fingerprint: Fingerprint,
        head: RequestHead,
        body: Bytes,
        trace: &mut Trace,
    ) -> Result<Answer> {
        let deadline = admitted.deadline;
        let service = &admitted.service;
        let mut attempts = Attempts::new(admitted.idempotent, deadline, admitted.max_attempts)
            .with_free_refusals(match admitted.target {
                Some(_) => MAX_REFUSALS,
                None => 0,
            });
        let mut sent = 0;
        let mut reached = false;
        // What an endpoint has answered is better than no answer, if another one does not succeed.
        let mut failed: Option<Answer> = None;
        let mut last_reason = Reason::NoEndpoint;
        loop {
            if let Err(refused) = self.crashes.check(&fingerprint) {
                return Err(attempts.failure(refused.reason));
            }
            let goal = admitted.goal(clock::now(), &self.sizes.lock());
            let Some(target) = service.pick(&mut attempts, sent == 0, goal.as_ref()) else {
                trace.retry_after = Some(service.retry_after());
                return failed.ok_or(attempts.failure(last_reason));
            };
            trace.attempts += 1;
            trace.version = Some(target.version.clone());
            trace.endpoint = Some(target.daemon.clone());
            let call = Call {
                id: 0,
                remaining_ms: 0,
                service: admitted.service_name.clone(),
                version: target.version.clone(),
                route: admitted.route.clone(),
                tenant: admitted.tenant.clone(),
                attempt: sent,
                key: admitted.key.clone(),
                fingerprint: Some(fingerprint),
                urgency: admitted.urgency(clock::now()),
                caller: self.own_service.clone(),
                head: head.clone(),
                body: body.to_vec(),
            };
            let result = self.send(admitted, &target, call, !reached).await;
            sent += 1;
            reached |= match &result {
                Ok(_) => true,
                Err(failure) => {
                    failure.verdict != Verdict::NotRun || failure.reason == Reason::Shed
                }
            };
            let failure = match result {
                Ok(answer)
                    if answer.status >= FIRST_SERVER_ERROR
                        && admitted.target.is_some()
                        && service.failed_by_outlier(&mut attempts, &target) =>
                {
                    admitted.log_retry(&target, Failure::may_have_run(Reason::BadAnswer), sent);
                    failed = Some(answer);
                    continue;
                }
                Ok(answer) => {
                    self.crashes.completed(fingerprint);
                    let bytes = body.len() + answer.body.len() + ENVELOPE_BYTES;
                    self.sizes.lock().record(&admitted.route, bytes);
                    return Ok(answer);
                }
                Err(failure) => failure,
            };
            last_reason = failure.reason;
            match service.failed(&mut attempts, failure) {
                Next::Retry => admitted.log_retry(&target, failure, sent),
                Next::GiveUp(failure) => {
                    trace.retry_after = Some(service.retry_after());
                    return failed.ok_or(failure);
                }
            }
        }
    }

    async fn send(
        &self,
        admitted: &Admitted,
        target: &Target,
        call: Call,
        first: bool,
    ) -> Result<Answer> {
        let started = Instant::now();
        let mut pending = PendingAttempt {
            service: &admitted.service,
            target,
            ended: false,
        };
        let deadline = admitted.deadline;
        let (result, load) = if target.daemon == self.daemon {
            let mut call = call;
            call.remaining_ms = deadline.since(clock::now()).0 as u32;
            self.owner.deliver_with_load(&call, deadline).await
        } else {
            let limit = clock::instant(deadline);
            self.links
                .call(&target.daemon, target.address, call, limit)
                .await
        };
        pending.ended = true;
        if let Some(load) = load {
            admitted.service.observe_load(target, &admitted.route, load);
        }
        let end = AttemptEnd {
            result: result.as_ref().map(|answer| answer.status).map_err(|f| *f),
            latency: Micros(started.elapsed().as_micros() as u64),
            first,
            refused_for_room: admitted.target.is_some()
                && matches!(&result, Err(f) if *f == Failure::not_run(Reason::Overloaded)),
        };
        if admitted.service.finished(&admitted.route, target, end) {
            // A wake-up that is waiting already is enough.
            let _ = self.urgent_report.try_send(());
        }
        let lost = matches!(&result, Err(f) if f.reason == Reason::ConnectionLost);
        if lost && target.daemon != self.daemon && !self.links.is_open(&target.daemon) {
            admitted.service.link_down(&target.daemon);
        }
        result
    }

    fn service_or_new(&self, name: &ServiceName, make: impl FnOnce() -> Service) -> Arc<Service> {
        if let Some(service) = self.services.read().get(name) {
            return service.clone();
        }
        let service = Arc::new(make());
        self.services.write().insert(name.clone(), service.clone());
        service
    }

    fn router_config(&self, service: &ServiceName) -> RouterConfig {
        RouterConfig {
            daemon: self.daemon.clone(),
            data_centre: self.data_centre.clone(),
            hop: FIRST_HOP,
            seed: self.incarnation ^ seed_of(service),
        }
    }
}

impl Admitted {
    fn log_retry(&self, target: &Target, failure: Failure, attempt: u32) {
        metrics::counter!("sycamoreflow_retries_total").increment(1);
        tracing::info!(target: REFUSALS, event = "retry", request = self.request_id.as_deref(),
            endpoint = %target.daemon, reason = headers::reason_text(failure.reason),
            verdict = failure.verdict.as_str(), attempt);
    }

    /// Returns what the next attempt is to achieve, if the route has a target.
    fn goal(&self, now: Millis, sizes: &CallSizes) -> Option<Goal> {
        let target = self.target?.min(self.deadline);
        Some(Goal {
            route: self.route.clone(),
            target: Micros::from(target.since(now)),
            late_value: LATE_VALUE,
            remote_price: sizes.remote_price(&self.route),
        })
    }

    fn urgency(&self, now: Millis) -> CallUrgency {
        let target = self.target.map(|target| target.min(self.deadline));
        CallUrgency {
            priority: self.priority,
            target_ms: target.map(|target| target.since(now).0 as u32),
            idempotent: self.idempotent,
        }
    }
}

impl Trace {
    fn log(&self, result: &Result<Answer>, elapsed: Duration) {
        let request = self.request_id.as_deref();
        let route = self.route.as_ref().map(RouteName::as_str);
        let service = self.service.as_ref().map(ServiceName::as_str);
        let version = self.version.as_ref().map(VersionName::as_str);
        let endpoint = self.endpoint.as_ref().map(DaemonId::as_str);
        let config = self.view.map(|view| view.config.0);
        let endpoints = self.view.map(|view| view.endpoints.seq);
        let took_ms = elapsed.as_millis() as u64;
        let attempts = self.attempts;
        match result {
            Ok(answer) => tracing::info!(target: ANSWERS, event = "request", request, route,
                service, version, endpoint, config, endpoints, attempts, took_ms,
                status = answer.status),
            Err(failure) => tracing::info!(target: REFUSALS, event = "request", request, route,
                service, version, endpoint, config, endpoints, attempts, took_ms,
                reason = headers::reason_text(failure.reason), verdict = failure.verdict.as_str(),
                retry_after_ms = self.retry_after.map(|wait| wait.0)),
        }
    }
}

/// Returns the host that a request names, without its port, in lower case.
fn host_of(req: &Request<Bytes>) -> String {
    let named = req.headers().get(http::header::HOST);
    let named = named.and_then(|value| value.to_str().ok());
    let host = named.or_else(|| req.uri().host()).unwrap_or_default();
    let without_port = host.rsplit_once(':').map_or(host, |(name, _)| name);
    without_port.to_ascii_lowercase()
}

/// Records the attempt as cancelled if its future is dropped before it ends.
struct PendingAttempt<'a> {
    service: &'a Service,
    target: &'a Target,
    ended: bool,
}

impl Drop for PendingAttempt<'_> {
    fn drop(&mut self) {
        if !self.ended {
            self.service.cancelled(self.target);
        }
    }
}

fn tenant_weights(view: &View) -> Vec<(TenantName, u32)> {
    let mut weights: Vec<_> = view
        .tenants()
        .map(|(name, tenant)| (name.clone(), tenant.weight))
        .collect();
    if !weights
        .iter()
        .any(|(name, _)| name.as_str() == DEFAULT_TENANT)
    {
        weights.push((TenantName::from(DEFAULT_TENANT), 1));
    }
    weights
}

fn seed_of(service: &ServiceName) -> u64 {
    let bytes = service.as_str().bytes();
    bytes.fold(0, |seed, byte| seed.rotate_left(8) ^ u64::from(byte))
}

//! The request path of a daemon.
//!
//! In the entry role, the daemon matches a request to a route, chooses a version and an endpoint,
//! and retries according to the rules in `docs/design.md`, section 2. In the owner role, it runs
//! calls at the upstreams on its own host.

use std::collections::{HashMap, HashSet};
use std::sync::Arc;
use std::time::Instant;

use arc_swap::ArcSwapOption;
use async_std::channel;
use bytes::Bytes;
use http::{Request, Response};
use parking_lot::{Mutex, RwLock};
use sycamoreflow_coordination::dedup::Key;
use sycamoreflow_coordination::evidence::{EvidenceReport, REPORT_INTERVAL};
use sycamoreflow_coordination::fingerprint::Fingerprint;
use sycamoreflow_coordination::routing::{CallSizes, Load, RouterConfig};
use sycamoreflow_coordination::shares::Grant;
use sycamoreflow_coordination::split::SplitCounter;
use sycamoreflow_protocol::call::{Answer, Call, CallResult, RequestHead};
use sycamoreflow_state::endpoint::Endpoint;
use sycamoreflow_state::ids::{
    DaemonId, DataCentre, Micros, Millis, RouteName, ServiceName, TenantName,
};
use sycamoreflow_state::verdict::{Failure, Reason};
use sycamoreflow_state::view::{ResourceKey, View};

use crate::clock;
use crate::proxy::accounts::Accounts;
use crate::proxy::attempts::AdmittedRequest;
use crate::proxy::crashes::CrashTracker;
use crate::proxy::dialect::Dialect;
use crate::proxy::headers::{CallerHeaders, DEFAULT_TENANT};
use crate::proxy::held_lease::HeldLease;
use crate::proxy::keys::{KeyedRequest, Keys};
use crate::proxy::links::CallLinks;
use crate::proxy::owner::Owner;
use crate::proxy::quotas::Quotas;
use crate::proxy::service::Service;
use crate::proxy::startup::ViewWaiters;
use crate::proxy::table::{Route, RouteTable};
use crate::proxy::trace::{RequestLog, Trace};

pub mod accounts;
mod attempts;
pub mod crashes;
pub mod dialect;
pub mod headers;
pub mod held_lease;
pub mod keys;
pub mod links;
pub mod owner;
pub mod quotas;
pub mod service;
mod startup;
pub mod table;
mod trace;

/// Maximum number of attempts per request, including the first, unless its route sets another.
const MAX_ATTEMPTS: usize = 3;

/// Delay after which a refused caller may retry, unless the service has a better estimate.
const DEFAULT_RETRY_AFTER: Millis = Millis(300);

/// Latency between data centres that the router assumes before it has measurements.
const INITIAL_REMOTE_LATENCY: Micros = Micros(1_000);

/// Result of a request: an answer, or a failure with its verdict.
pub type Result<T> = std::result::Result<T, Failure>;

/// The request path of a daemon.
///
/// It serves the requests of callers and the calls that other daemons forward. Until the first
/// [`Proxy::activate`], requests wait for the view as long as their time allows, and are then
/// refused with [`Reason::NotReady`].
pub struct Proxy {
    daemon: DaemonId,
    data_centre: DataCentre,
    incarnation: u64,
    active: ArcSwapOption<Active>,
    /// Requests that wait for the first view.
    view_waiters: ViewWaiters,
    services: RwLock<HashMap<ServiceName, Arc<Service>>>,
    links: CallLinks,
    owner: Arc<Owner>,
    keys: Arc<Keys>,
    crashes: Arc<CrashTracker>,
    key_lease: HeldLease,
    quotas: Quotas,
    dialect: Arc<Dialect>,
    /// Service on the host of this daemon, if the settings name it.
    own_service: Option<ServiceName>,
    /// Retries per service that all daemons together may accumulate, see [`ProxyComponents`].
    shared_retries: Option<u64>,
    split_counters: Mutex<HashMap<RouteName, SplitCounter>>,
    call_sizes: Mutex<CallSizes>,
    /// Wakes the subscription if evidence must be reported immediately.
    urgent_report: channel::Sender<()>,
}

/// The active view and its route table. A request uses the one that was active when it started.
#[derive(Debug)]
struct Active {
    view: Arc<View>,
    routes: Arc<RouteTable>,
    accounts: Arc<Accounts>,
}

/// Settings and components of a [`Proxy`].
pub struct ProxyComponents {
    /// Identifier of this daemon.
    pub daemon: DaemonId,
    /// Data centre of the host of this daemon.
    pub data_centre: DataCentre,
    /// Number that increases with every start of the daemon.
    pub incarnation: u64,
    /// Links over which calls are sent to other daemons.
    pub links: CallLinks,
    /// Owner role, which delivers calls to the upstreams on this host.
    pub owner: Arc<Owner>,
    /// Idempotency keys that this daemon claims or holds.
    pub keys: Arc<Keys>,
    /// Tracker of requests that crash upstreams.
    pub crashes: Arc<CrashTracker>,
    /// Lease under which the keys of client accounts are honoured.
    pub key_lease: HeldLease,
    /// Header names and status codes that callers and upstreams use.
    pub dialect: Arc<Dialect>,
    /// Service on the host of this daemon, if the settings name it.
    pub own_service: Option<ServiceName>,
    /// Retries per service that all daemons together may accumulate, divided evenly among the
    /// daemons that have endpoints. With `None`, each daemon has the default retry budget.
    pub shared_retries: Option<u64>,
    /// Wakes the subscription if evidence must be reported immediately.
    pub urgent_report: channel::Sender<()>,
}

impl Proxy {
    /// Creates the request path of a daemon that has no view yet.
    pub fn new(components: ProxyComponents) -> Self {
        Self {
            daemon: components.daemon,
            data_centre: components.data_centre,
            incarnation: components.incarnation,
            active: ArcSwapOption::empty(),
            view_waiters: ViewWaiters::new(clock::now()),
            services: RwLock::default(),
            links: components.links,
            owner: components.owner,
            keys: components.keys,
            crashes: components.crashes,
            key_lease: components.key_lease,
            quotas: Quotas::new(components.incarnation),
            dialect: components.dialect,
            own_service: components.own_service,
            shared_retries: components.shared_retries,
            split_counters: Mutex::default(),
            call_sizes: Mutex::default(),
            urgent_report: components.urgent_report,
        }
    }

    /// Returns the idempotency keys.
    pub fn keys(&self) -> &Arc<Keys> {
        &self.keys
    }

    /// Returns the tracker of requests that crash upstreams.
    pub fn crashes(&self) -> &Arc<CrashTracker> {
        &self.crashes
    }

    /// Returns the lease under which this daemon honours the keys of client accounts.
    pub fn key_lease(&self) -> &HeldLease {
        &self.key_lease
    }

    /// Returns the quotas of client accounts.
    pub fn quotas(&self) -> &Quotas {
        &self.quotas
    }

    /// Returns the owner role.
    pub fn owner(&self) -> &Arc<Owner> {
        &self.owner
    }

    /// Returns the active view, or `None` before the first [`Proxy::activate`].
    pub fn view(&self) -> Option<Arc<View>> {
        self.active
            .load()
            .as_ref()
            .map(|active| active.view.clone())
    }

    /// Returns the active view and its tables, or `None` before the first with a configuration.
    fn configured(&self) -> Option<Arc<Active>> {
        let active = self.active.load_full();
        active.filter(|active| has_configuration(&active.view))
    }

    /// Activates a view as a whole.
    ///
    /// Services are updated before the routes that use them take effect, and services that are no
    /// longer used are dropped afterwards. Endpoints in an evacuated data centre are left out.
    pub fn activate(&self, view: Arc<View>) {
        let mut endpoints: HashMap<&ServiceName, Vec<Endpoint>> = HashMap::new();
        let evacuated: HashSet<&DataCentre> = view.evacuations().map(|(name, _)| name).collect();
        for endpoint in view.endpoints() {
            if evacuated.contains(&endpoint.data_centre) {
                continue;
            }
            let of_service = endpoints.entry(&endpoint.service).or_default();
            of_service.push(endpoint.clone());
        }
        let daemons: HashSet<&DaemonId> = view.endpoints().map(|e| &e.daemon).collect();
        let daemon_count = daemons.len().max(1) as u64;
        let retry_burst = self
            .shared_retries
            .map(|shared| (shared / daemon_count).max(1));
        let mut used_services = HashSet::new();
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
            used_services.insert(name);
        }
        self.keys.update(self.view().as_deref(), &view);
        let (routes, accounts) = self.tables(&view);
        self.owner
            .set_weights(accounts::tenant_weights(&view, accounts.are_enforced()));
        self.owner.set_has_accounts(accounts.are_enforced());
        self.quotas.update(&view);
        self.owner.apply_departures(&view);
        self.owner.apply_cold_starts(&view);
        self.owner.apply_evacuation(&view);
        self.owner.apply_drain_marks(&view);
        let active = Active {
            routes,
            accounts,
            view: view.clone(),
        };
        self.active.store(Some(Arc::new(active)));
        self.key_lease.activated(view.version().config);
        if has_configuration(&view) {
            self.view_waiters.wake();
        }
        self.services
            .write()
            .retain(|name, _| used_services.contains(name));
        let has_route = |name: &RouteName| view.get(&ResourceKey::Route(name.clone())).is_some();
        self.split_counters.lock().retain(|name, _| has_route(name));
        self.links.retain(|daemon| daemons.contains(daemon));
    }

    /// Updates the metric of the version in force, before the metrics are rendered.
    ///
    /// A metric is rendered as 0 between its registration and its first value. If the first
    /// activation registered it, a scrape at that moment would show a version that was never in
    /// force.
    pub fn record_version(&self) {
        if let Some(view) = self.view() {
            let version = view.version().config.0 as f64;
            metrics::gauge!("sycamoreflow_view_config_version").set(version);
        }
    }

    /// Returns the routes and the accounts of a view. Reuses the active tables if only endpoints
    /// have changed.
    fn tables(&self, view: &View) -> (Arc<RouteTable>, Arc<Accounts>) {
        let active = self.active.load();
        if let Some(active) = active.as_ref()
            && active.view.version().config == view.version().config
        {
            return (active.routes.clone(), active.accounts.clone());
        }
        let accounts = Accounts::new(view, &self.dialect);
        (Arc::new(RouteTable::new(view)), Arc::new(accounts))
    }

    /// Serves a request of a caller. A failure becomes a response in the dialect of callers.
    pub async fn serve(self: &Arc<Self>, req: Request<Bytes>) -> Response<Bytes> {
        let mut log = RequestLog::start(&self.owner);
        let id_header = self.dialect.request_id.clone();
        let id_header = id_header.and_then(|name| Some((req.headers().get(&name)?.clone(), name)));
        let run = self.run(req, &mut log.trace);
        let result = self.owner.stop().run_until_due(run).await;
        let result = result.unwrap_or_else(|| Err(log.trace.failure_at_stop()));
        let is_ended = matches!(&result, Err(f) if f.reason == Reason::Draining);
        if is_ended && log.trace.may_have_run && self.owner.stop().is_due() {
            self.owner.stop().record_ended();
        }
        let elapsed = log.end(&result);
        let tenant = log.trace.tenant.take();
        let tenant = tenant.unwrap_or_else(|| TenantName::from(DEFAULT_TENANT));
        let response = match result {
            Ok(answer) => headers::response(answer, &self.dialect),
            Err(failure) => {
                let reason = headers::reason_text(failure.reason);
                let verdict = failure.verdict.as_str();
                metrics::counter!("sycamoreflow_calls_failed_total",
                    "reason" => reason, "verdict" => verdict)
                .increment(1);
                let wait = log.trace.retry_after.unwrap_or(DEFAULT_RETRY_AFTER);
                let mut response = headers::failure_response(failure, &self.dialect, Some(wait));
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

    /// Runs a call that another daemon has forwarded. Returns its result, and the load of the
    /// upstream if the call reached admission.
    pub async fn run_forwarded_call(&self, call: Call) -> (CallResult, Option<Load>) {
        let deadline = clock::now().after(Millis(u64::from(call.remaining_ms)));
        let (result, load) = self.owner.deliver_with_load(&call, deadline).await;
        if result.as_ref().err() == Some(&Failure::may_have_run(Reason::Draining)) {
            self.owner.stop().record_ended();
        }
        match result {
            Ok(answer) => (CallResult::Answer(answer), load),
            Err(failure) => (CallResult::Refused(failure), load),
        }
    }

    /// Returns whether callers may send requests to this daemon: it has a view and is not about to
    /// stop.
    pub fn is_ready(&self) -> bool {
        self.active.load().is_some() && !self.owner.is_unready()
    }

    /// Returns whether any service has a running rollout.
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

    /// Returns the interval between evidence reports, the shortest that any service needs.
    pub fn report_interval(&self) -> Millis {
        let services = self.services.read();
        let intervals = services.values().map(|service| service.report_interval());
        intervals.min().unwrap_or(REPORT_INTERVAL)
    }

    /// Passes credits granted by the leader to the services whose rollouts they belong to.
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

    /// Probes ejected endpoints that are due by opening a link to the daemon on their host. An
    /// endpoint on this host needs no link, so its probe succeeds.
    pub async fn probe(&self) {
        let services: Vec<Arc<Service>> = self.services.read().values().cloned().collect();
        for service in services {
            let Some(target) = service.next_probe() else {
                continue;
            };
            let is_local = target.daemon == self.daemon;
            let deadline = Instant::now() + std::time::Duration::from_secs(1);
            let success = is_local
                || self
                    .links
                    .probe(&target.daemon, target.address, deadline)
                    .await;
            service.probed(&target.daemon, success);
        }
    }

    async fn run(self: &Arc<Self>, mut req: Request<Bytes>, trace: &mut Trace) -> Result<Answer> {
        let caller = headers::read_caller(req.headers(), &self.dialect)?;
        trace.request_id = caller.request_id.clone();
        let arrived = clock::now();
        let has_waited = self.configured().is_none();
        if has_waited {
            let is_active = || self.configured().is_some();
            let wait =
                self.view_waiters
                    .wait(arrived, caller.remaining, req.body().len(), is_active);
            trace.retry_after = wait.await.err();
        }
        let honours_keys = self.key_lease.is_valid();
        let Some(active) = self.configured() else {
            return Err(Failure::not_run(Reason::NotReady));
        };
        trace.view = Some(active.view.version());
        let admitted = match self.admit(&active, honours_keys, caller, &req, arrived) {
            Ok(admitted) => admitted,
            Err(failure) => {
                if failure.reason == Reason::KeysUnconfirmed {
                    trace.retry_after = self.key_lease.retry_after();
                }
                return Err(failure);
            }
        };
        trace.route = Some(admitted.route.clone());
        trace.service = Some(admitted.service_name.clone());
        // Unknown tenants must not become metric labels, whose number would be unbounded.
        trace.tenant = Some(admitted.tenant.clone());
        // The timeout of the route may have passed while the request waited for the view.
        if has_waited && admitted.deadline <= clock::now() {
            return Err(Failure::not_run(Reason::NotReady));
        }
        if active.accounts.are_enforced() {
            let account = admitted.has_account.then_some(&admitted.tenant);
            headers::set_account(req.headers_mut(), account, &self.dialect)?;
        }
        let max_wait = admitted.max_quota_wait(clock::now());
        let permission = match self.quotas.admit(&admitted.tenant, max_wait).await {
            Ok(permission) => permission,
            Err(wait) => {
                trace.retry_after = Some(wait);
                return Err(Failure::not_run(Reason::QuotaExceeded));
            }
        };
        let (head, body) = headers::request_head(req, &self.dialect);
        trace.may_have_run = true;
        let result = self.run_admitted(admitted, head, body, trace).await;
        permission.end(&result);
        result
    }

    /// Runs an admitted request. One with an idempotency key runs at most once, and its crash
    /// record is kept by key instead of by content.
    async fn run_admitted(
        self: &Arc<Self>,
        admitted: AdmittedRequest,
        head: RequestHead,
        body: Bytes,
        trace: &mut Trace,
    ) -> Result<Answer> {
        let content_fingerprint =
            Fingerprint::of(&admitted.tenant, &head.method, &head.path_and_query, &body);
        let Some(key) = admitted.key.clone() else {
            return self
                .attempt(&admitted, content_fingerprint, head, body, trace)
                .await;
        };
        let key = Key {
            service: admitted.service_name.clone(),
            tenant: admitted.tenant.clone(),
            key,
        };
        let key_fingerprint = Fingerprint::of_key(&key);
        let keyed = KeyedRequest {
            key,
            fingerprint: content_fingerprint,
            deadline: admitted.deadline,
        };
        let proxy = self.clone();
        let run = async move {
            // The run can outlive its caller, so it needs its own trace.
            let mut trace = Trace::default();
            proxy
                .attempt(&admitted, key_fingerprint, head, body, &mut trace)
                .await
        };
        self.keys.run_once(keyed, run).await
    }

    /// Checks a request that arrived at `arrived`. Its deadline and its target latency count from
    /// then, whether or not it has waited for the view since. `honours_keys` is whether the daemon
    /// held its key lease before it loaded the view.
    fn admit(
        &self,
        active: &Active,
        honours_keys: bool,
        caller: CallerHeaders,
        req: &Request<Bytes>,
        arrived: Millis,
    ) -> Result<AdmittedRequest> {
        let tenant = caller.tenant;
        let is_known_tenant = active.accounts.are_enforced()
            || active.view.tenant(&tenant).is_some()
            || tenant.as_str() == DEFAULT_TENANT;
        if !is_known_tenant {
            return Err(Failure::not_run(Reason::TenantRefused));
        }
        let route = active
            .routes
            .find_for_host(&host_of(req), req.method().as_str(), req.uri().path())
            .ok_or(Failure::not_run(Reason::NoRoute))?;
        let delivery = &route.config.delivery;
        let account = match active.accounts.are_enforced() {
            true => {
                let credential = active.accounts.credential(req.headers(), &self.dialect);
                accounts::authorize(credential, delivery.allow_anonymous, honours_keys)?
            }
            false => None,
        };
        let tenant = match (&account, active.accounts.are_enforced()) {
            (Some(account), _) => account.name.clone(),
            (None, true) => TenantName::from(DEFAULT_TENANT),
            (None, false) => tenant,
        };
        let allowed = &route.config.tenants;
        if !allowed.is_empty() && !allowed.contains(&tenant) {
            return Err(Failure::not_run(Reason::TenantRefused));
        }
        let service_name = self.choose_service(route);
        let service = self.services.read().get(&service_name).cloned();
        let service = service.ok_or(Failure::not_run(Reason::NoEndpoint))?;
        let timeout = route.config.timeout;
        let remaining = caller.remaining.map_or(timeout, |r| r.min(timeout));
        // A route that sets the number of attempts also decides whether its requests are
        // idempotent.
        let by_method = delivery.max_attempts.is_none() && req.method().is_idempotent();
        let idempotent = route.config.idempotent || by_method;
        let deadline = arrived.after(remaining);
        let stop = self.owner.stop().get();
        let is_announced = self.owner.is_leaving();
        if stop.is_some_and(|stop| !stop.accepts_request(deadline, idempotent, is_announced)) {
            return Err(Failure::not_run(Reason::Draining));
        }
        Ok(AdmittedRequest {
            route: route.name.clone(),
            service_name,
            service,
            tenant,
            deadline,
            idempotent,
            key: caller.key.filter(|_| !idempotent),
            request_id: caller.request_id,
            has_account: account.is_some(),
            priority: account
                .and_then(|account| account.priority)
                .unwrap_or(delivery.priority),
            target: delivery.target_latency.map(|target| arrived.after(target)),
            max_attempts: delivery
                .max_attempts
                .map_or(MAX_ATTEMPTS, |max| max as usize),
        })
    }

    /// Chooses the service of a request according to the weights of its route.
    fn choose_service(&self, route: &Route) -> ServiceName {
        let split = &route.config.delivery.split;
        if split.is_empty() {
            return route.config.service.clone();
        }
        let mut split_counters = self.split_counters.lock();
        let counter = split_counters.entry(route.name.clone()).or_default();
        let chosen = counter.next(split);
        chosen.unwrap_or_else(|| route.config.service.clone())
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
            remote_latency: INITIAL_REMOTE_LATENCY,
            seed: self.incarnation ^ service_seed(service),
        }
    }
}

/// Returns the host that a request is addressed to, in lower case and without the port.
fn host_of(req: &Request<Bytes>) -> String {
    let host_header = req.headers().get(http::header::HOST);
    let host_header = host_header.and_then(|value| value.to_str().ok());
    let host = host_header.or_else(|| req.uri().host()).unwrap_or_default();
    let without_port = host.rsplit_once(':').map_or(host, |(name, _)| name);
    without_port.to_ascii_lowercase()
}

/// Returns whether a configuration was approved before the view was published. Until then a daemon
/// can't tell a request without a route from one whose route is still to come. The version alone
/// does not tell, since an operator may evacuate a data centre before the first approval.
fn has_configuration(view: &View) -> bool {
    view.services().next().is_some()
}

fn service_seed(service: &ServiceName) -> u64 {
    let bytes = service.as_str().bytes();
    bytes.fold(0, |seed, byte| seed.rotate_left(8) ^ u64::from(byte))
}

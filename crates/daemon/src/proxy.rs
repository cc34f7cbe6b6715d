//! The request path of a daemon.
//!
//! The entry role matches a request to a route, chooses version and endpoint and retries within
//! the rules of `docs/design.md`, section 2; the owner role runs calls at the upstream beside the
//! daemon.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Instant;

use arc_swap::ArcSwapOption;
use bytes::Bytes;
use http::{Request, Response};
use parking_lot::RwLock;
use sycamoreflow_coordination::evidence::EvidenceReport;
use sycamoreflow_coordination::retry::{Attempts, Next};
use sycamoreflow_coordination::routing::RouterConfig;
use sycamoreflow_coordination::shares::Grant;
use sycamoreflow_protocol::call::{Answer, Call, CallResult, RequestHead};
use sycamoreflow_state::endpoint::Endpoint;
use sycamoreflow_state::ids::{DaemonId, DataCentre, Micros, Millis, ServiceName, TenantName};
use sycamoreflow_state::verdict::{Failure, Reason};
use sycamoreflow_state::view::View;

use crate::clock;
use crate::proxy::headers::{CallerHeaders, DEFAULT_TENANT};
use crate::proxy::links::CallLinks;
use crate::proxy::owner::Owner;
use crate::proxy::service::{AttemptEnd, Service, Target};
use crate::proxy::table::{Route, RouteTable};

pub mod headers;
pub mod links;
pub mod owner;
pub mod service;
pub mod table;

/// Sends of one call at most, including the first.
const MAX_ATTEMPTS: usize = 3;

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
}

/// The view in force, compiled for lookups. A request keeps the one that it started with.
#[derive(Debug)]
struct Active {
    view: Arc<View>,
    routes: RouteTable,
}

/// A request that has passed all checks of the entry role.
#[derive(Debug)]
struct Admitted<'a> {
    route: &'a Route,
    service: Arc<Service>,
    tenant: TenantName,
    deadline: Millis,
    idempotent: bool,
    key: Option<String>,
}

impl Proxy {
    /// Makes the request path of a daemon that has no view yet.
    pub fn new(
        daemon: DaemonId,
        data_centre: DataCentre,
        incarnation: u64,
        links: CallLinks,
        owner: Arc<Owner>,
    ) -> Self {
        Self {
            daemon,
            data_centre,
            incarnation,
            active: ArcSwapOption::empty(),
            services: RwLock::default(),
            links,
            owner,
        }
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
        let mut used = Vec::new();
        for (name, config) in view.services() {
            let Some(split) = view.traffic(name) else {
                continue;
            };
            let service = self.service_or_new(name, || {
                Service::new(self.router_config(name), config, split, self.incarnation)
            });
            let endpoints = endpoints.remove(name).unwrap_or_default();
            service.update(config, split, &endpoints);
            used.push(name);
        }
        self.owner.set_weights(tenant_weights(&view));
        let routes = RouteTable::new(&view);
        let active = Active {
            view: view.clone(),
            routes,
        };
        self.active.store(Some(Arc::new(active)));
        self.services.write().retain(|name, _| used.contains(&name));
        self.links
            .retain(|daemon| view.endpoints().any(|endpoint| endpoint.daemon == *daemon));
        metrics::gauge!("sycamoreflow_view_config_version").set(view.version().config.0 as f64);
    }

    /// Serves a request of a caller.
    pub async fn serve(&self, req: Request<Bytes>) -> Response<Bytes> {
        let started = Instant::now();
        let (result, tenant) = self.run(req).await;
        let response = match result {
            Ok(answer) => headers::response(answer),
            Err(failure) => {
                let reason = headers::reason_text(failure.reason);
                let verdict = failure.verdict.as_str();
                metrics::counter!("sycamoreflow_calls_failed_total",
                    "reason" => reason, "verdict" => verdict)
                .increment(1);
                headers::refusal(failure)
            }
        };
        let tenant = tenant.as_str().to_owned();
        metrics::counter!("sycamoreflow_calls_total", "tenant" => tenant.clone()).increment(1);
        metrics::histogram!("sycamoreflow_call_seconds", "tenant" => tenant)
            .record(started.elapsed().as_secs_f64());
        response
    }

    /// Runs a call that another daemon has sent here.
    pub async fn run_owned(&self, call: Call) -> CallResult {
        let deadline = clock::now().after(Millis(u64::from(call.remaining_ms)));
        match self.owner.deliver(&call, deadline).await {
            Ok(answer) => CallResult::Answer(answer),
            Err(failure) => CallResult::Refused(failure),
        }
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

    async fn run(&self, req: Request<Bytes>) -> (Result<Answer>, TenantName) {
        let caller = match headers::read_caller(req.headers()) {
            Ok(caller) => caller,
            Err(failure) => return (Err(failure), TenantName::from(DEFAULT_TENANT)),
        };
        let tenant = caller.tenant.clone();
        let Some(active) = self.active.load_full() else {
            return (Err(Failure::not_run(Reason::NotReady)), tenant);
        };
        let admitted = match self.admit(&active, caller, &req) {
            Ok(admitted) => admitted,
            // A tenant that is not in the configuration must not become a metric label.
            Err(failure) => return (Err(failure), TenantName::from(DEFAULT_TENANT)),
        };
        let (head, body) = headers::request_head(req);
        (self.attempt(&admitted, head, body).await, tenant)
    }

    fn admit<'a>(
        &self,
        active: &'a Active,
        caller: CallerHeaders,
        req: &Request<Bytes>,
    ) -> Result<Admitted<'a>> {
        let tenant = caller.tenant;
        let known = active.view.tenant(&tenant).is_some() || tenant.as_str() == DEFAULT_TENANT;
        if !known {
            return Err(Failure::not_run(Reason::TenantRefused));
        }
        let route = active
            .routes
            .find(req.method().as_str(), req.uri().path())
            .ok_or(Failure::not_run(Reason::NoRoute))?;
        let allowed = &route.config.tenants;
        if !allowed.is_empty() && !allowed.contains(&tenant) {
            return Err(Failure::not_run(Reason::TenantRefused));
        }
        let service = self.services.read().get(&route.config.service).cloned();
        let service = service.ok_or(Failure::not_run(Reason::NoEndpoint))?;
        let timeout = route.config.timeout;
        let remaining = caller.remaining.map_or(timeout, |r| r.min(timeout));
        let idempotent = route.config.idempotent || req.method().is_idempotent();
        Ok(Admitted {
            route,
            service,
            tenant,
            deadline: clock::now().after(remaining),
            idempotent,
            key: caller.key.filter(|_| !idempotent),
        })
    }

    /// Sends a request until it is answered or the rules for retries end it.
    async fn attempt(
        &self,
        admitted: &Admitted<'_>,
        head: RequestHead,
        body: Bytes,
    ) -> Result<Answer> {
        let deadline = admitted.deadline;
        let service = &admitted.service;
        let mut attempts = Attempts::new(admitted.idempotent, deadline, MAX_ATTEMPTS);
        let mut sent = 0;
        loop {
            let Some(target) = service.pick(&mut attempts, sent == 0) else {
                return Err(attempts.failure(Reason::NoEndpoint));
            };
            let call = Call {
                id: 0,
                remaining_ms: 0,
                service: admitted.route.config.service.clone(),
                version: target.version.clone(),
                route: admitted.route.name.clone(),
                tenant: admitted.tenant.clone(),
                attempt: sent,
                key: admitted.key.clone(),
                fingerprint: None,
                head: head.clone(),
                body: body.to_vec(),
            };
            let result = self.send(admitted, &target, call, sent == 0).await;
            sent += 1;
            let failure = match result {
                Ok(answer) => return Ok(answer),
                Err(failure) => failure,
            };
            match service.failed(&mut attempts, failure) {
                Next::Retry => metrics::counter!("sycamoreflow_retries_total").increment(1),
                Next::GiveUp(failure) => return Err(failure),
            }
        }
    }

    async fn send(
        &self,
        admitted: &Admitted<'_>,
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
        let result = if target.daemon == self.daemon {
            let mut call = call;
            call.remaining_ms = deadline.since(clock::now()).0 as u32;
            self.owner.deliver(&call, deadline).await
        } else {
            let limit = clock::instant(deadline);
            self.links
                .call(&target.daemon, target.address, call, limit)
                .await
        };
        pending.ended = true;
        let end = AttemptEnd {
            result: result.as_ref().map(|answer| answer.status).map_err(|f| *f),
            latency: Micros(started.elapsed().as_micros() as u64),
            first,
        };
        admitted.service.finished(&admitted.route.name, target, end);
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

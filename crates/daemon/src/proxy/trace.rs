//! Collects what happened to a request, for its log line and the response.

use std::time::{Duration, Instant};

use sycamoreflow_protocol::call::Answer;
use sycamoreflow_state::ids::{
    DaemonId, Millis, RouteName, ServiceName, TenantName, VersionName, ViewVersion,
};
use sycamoreflow_state::verdict::{Failure, Reason};

use super::owner::Owner;
use super::{Result, headers};
use crate::telemetry::{ANSWERS, REFUSALS};

/// How a request was routed and sent. Fields are set as the request proceeds.
#[derive(Debug, Default)]
pub(super) struct Trace {
    pub(super) request_id: Option<String>,
    pub(super) route: Option<RouteName>,
    pub(super) service: Option<ServiceName>,
    pub(super) version: Option<VersionName>,
    pub(super) endpoint: Option<DaemonId>,
    pub(super) view: Option<ViewVersion>,
    pub(super) attempts: u32,
    /// Tenant of the request once it is admitted.
    pub(super) tenant: Option<TenantName>,
    /// Whether the request was admitted to be sent, so that an upstream may have received it.
    pub(super) may_have_run: bool,
    /// Delay after which a refused caller may retry.
    pub(super) retry_after: Option<Millis>,
}

impl Trace {
    /// Returns the failure to report if the stop of the daemon ends the request.
    pub(super) fn failure_at_stop(&self) -> Failure {
        match self.may_have_run {
            true => Failure::may_have_run(Reason::Draining),
            false => Failure::not_run(Reason::Draining),
        }
    }

    /// Logs the result of the request. `elapsed` is the time since the request arrived, and
    /// `stopping` is whether the daemon is about to stop.
    fn log(&self, result: &Result<Answer>, elapsed: Duration, stopping: bool) {
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
                status = answer.status, stopping),
            Err(failure) => tracing::info!(target: REFUSALS, event = "request", request, route,
                service, version, endpoint, config, endpoints, attempts, took_ms,
                reason = headers::reason_text(failure.reason), verdict = failure.verdict.as_str(),
                retry_after_ms = self.retry_after.map(|wait| wait.0), stopping),
        }
    }

    /// Logs that the request ended without a result.
    fn log_dropped(&self, elapsed: Duration, stopping: bool) {
        tracing::info!(target: REFUSALS, event = "request_dropped",
            request = self.request_id.as_deref(),
            route = self.route.as_ref().map(RouteName::as_str),
            endpoint = self.endpoint.as_ref().map(DaemonId::as_str),
            attempts = self.attempts, took_ms = elapsed.as_millis() as u64, stopping);
    }
}

/// A request in progress at its entry. Dropping it before [`RequestLog::end`] logs that the request
/// was dropped, because its caller has left or a planned stop has aborted its connection.
pub(super) struct RequestLog<'a> {
    owner: &'a Owner,
    started: Instant,
    ended: bool,
    pub(super) trace: Trace,
}

impl<'a> RequestLog<'a> {
    pub(super) fn start(owner: &'a Owner) -> Self {
        Self {
            owner,
            started: Instant::now(),
            ended: false,
            trace: Trace::default(),
        }
    }

    /// Logs the result of the request. Returns the time since the request arrived.
    pub(super) fn end(&mut self, result: &Result<Answer>) -> Duration {
        self.ended = true;
        let elapsed = self.started.elapsed();
        self.trace.log(result, elapsed, self.owner.is_unready());
        elapsed
    }
}

impl Drop for RequestLog<'_> {
    fn drop(&mut self) {
        if self.ended {
            return;
        }
        let stopping = self.owner.is_unready();
        self.trace.log_dropped(self.started.elapsed(), stopping);
        let stopping = if stopping { "true" } else { "false" };
        metrics::counter!("sycamoreflow_requests_dropped_total", "stopping" => stopping)
            .increment(1);
    }
}

//! Collects what happened to a request, for its log line and the response.

use std::time::Duration;

use sycamoreflow_protocol::call::Answer;
use sycamoreflow_state::ids::{DaemonId, Millis, RouteName, ServiceName, VersionName, ViewVersion};

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
    /// Delay after which a refused caller may retry.
    pub(super) retry_after: Option<Millis>,
}

impl Trace {
    /// Logs the result of the request. `elapsed` is the time since the request arrived.
    pub(super) fn log(&self, result: &Result<Answer>, elapsed: Duration) {
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

//! HTTP interface for the upstream on this host and for metrics collectors.
//!
//! It is meant for a loopback address and requires no token: only processes on this host can reach
//! it there.

use std::sync::Arc;

use async_std::channel::Sender;
use metrics_exporter_prometheus::PrometheusHandle;
use serde::Serialize;
use sycamoreflow_state::endpoint::Announcement;
use sycamoreflow_state::ids::ServiceName;
use sycamoreflow_state::operator::{ErrorCode, ErrorResponse};
use tide::{Request, Response, StatusCode};

use crate::proxy::Proxy;

/// Path that takes announcements of upstreams (PUT) and their withdrawal (DELETE).
pub const ANNOUNCEMENT_PATH: &str = "/v1/announcement";
/// Path of the metrics in the Prometheus text format.
pub const METRICS_PATH: &str = "/metrics";
/// Path that returns 200 once the daemon has a view in force, and 503 before.
pub const READY_PATH: &str = "/ready";

/// State shared by the request handlers.
#[derive(Clone)]
pub struct AnnounceState {
    /// The request path of this daemon.
    pub proxy: Arc<Proxy>,
    /// Wakes the subscription after a change of the announced endpoints.
    pub endpoints_changed: Sender<()>,
    /// Renders the metrics of this process. Without it, [`METRICS_PATH`] returns 404.
    pub metrics: Option<PrometheusHandle>,
}

/// Response to an announcement.
#[derive(Debug, Serialize)]
#[serde(rename_all = "kebab-case")]
struct Announced {
    renew_within_ms: u64,
}

/// Creates the HTTP application with all routes.
pub fn app(state: AnnounceState) -> tide::Server<AnnounceState> {
    let mut app = tide::with_state(state);
    app.at(ANNOUNCEMENT_PATH).put(announce).delete(withdraw);
    app.at(METRICS_PATH).get(render_metrics);
    app.at(READY_PATH).get(ready);
    app
}

async fn announce(mut req: Request<AnnounceState>) -> tide::Result {
    let announcement: Announcement = match req.body_json().await {
        Ok(announcement) => announcement,
        Err(error) => return bad_request(&format!("the announcement is malformed: {error}")),
    };
    if let Err(error) = announcement.check() {
        return bad_request(&error.to_string());
    }
    let state = req.state();
    if state.proxy.owner().announce(announcement) {
        // If the channel is full, a wake-up is already pending.
        let _ = state.endpoints_changed.try_send(());
    }
    let announced = Announced {
        renew_within_ms: crate::proxy::owner::ANNOUNCEMENT_LEASE.0,
    };
    let mut response = Response::new(StatusCode::Ok);
    response.set_body(tide::Body::from_json(&announced)?);
    Ok(response)
}

/// Withdraws the announcement of the service in the query parameter `service`. Its upstream gets no
/// new requests; requests in flight complete.
async fn withdraw(req: Request<AnnounceState>) -> tide::Result {
    let pair = req.url().query_pairs().find(|(name, _)| name == "service");
    let Some(service) = pair.map(|(_, value)| ServiceName::from(value.as_ref())) else {
        return bad_request(
            "the query parameter service is missing: DELETE /v1/announcement?service=NAME",
        );
    };
    if !req.state().proxy.owner().withdraw(&service) {
        return bad_request("the service is not announced at this daemon");
    }
    let _ = req.state().endpoints_changed.try_send(());
    Ok(Response::new(StatusCode::NoContent))
}

async fn render_metrics(req: Request<AnnounceState>) -> tide::Result {
    let Some(metrics) = &req.state().metrics else {
        return Ok(Response::new(StatusCode::NotFound));
    };
    req.state().proxy.record_version();
    let mut response = Response::new(StatusCode::Ok);
    response.set_content_type("text/plain; version=0.0.4");
    response.set_body(metrics.render());
    Ok(response)
}

async fn ready(req: Request<AnnounceState>) -> tide::Result {
    let status = match req.state().proxy.view() {
        Some(_) => StatusCode::Ok,
        None => StatusCode::ServiceUnavailable,
    };
    Ok(Response::new(status))
}

fn bad_request(message: &str) -> tide::Result {
    let mut response = Response::new(StatusCode::BadRequest);
    let body = ErrorResponse::new(ErrorCode::BadRequest, message);
    response.set_body(tide::Body::from_json(&body)?);
    Ok(response)
}

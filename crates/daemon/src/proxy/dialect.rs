//! What the callers and upstreams of a mesh call the things that a daemon tells them.
//!
//! The default is the daemon's own dialect of `docs/headers.md`. A deployment whose callers and
//! upstreams speak another one passes its own to [`crate::Daemon::start_with`].

use bytes::Bytes;
use http::{HeaderName, Response, StatusCode};
use sycamoreflow_state::verdict::{Failure, VERDICT_HEADER, Verdict};

use super::headers::{DEADLINE_HEADER, KEY_HEADER, REASON_HEADER, TENANT_HEADER, failure_status};

/// Names of headers and meanings of statuses. A header without a name is neither read nor sent.
#[derive(Clone, Debug)]
pub struct Dialect {
    /// Request header with the id of a request, which its answer repeats.
    pub request_id: Option<HeaderName>,
    /// Request header with the time left until the caller's deadline, in milliseconds.
    pub deadline: HeaderName,
    /// Request header that names the tenant of a caller.
    pub tenant: Option<HeaderName>,
    /// Request header that marks resends of the same request.
    pub key: Option<HeaderName>,
    /// Request header that tells the upstream which service calls. Callers can't set it.
    pub caller_service: Option<HeaderName>,
    /// Request header that names the instance that must run the request.
    pub instance: Option<HeaderName>,
    /// Response header with the verdict.
    pub verdict: Option<HeaderName>,
    /// Response header with the reason of a failure.
    pub reason: Option<HeaderName>,
    /// Returns the status that tells a caller about a failure.
    pub status: fn(Failure) -> StatusCode,
    /// Returns whether the response of an upstream says that the request has not run.
    pub says_not_run: fn(&Response<Bytes>) -> bool,
    /// Returns whether a response can be that of the upstream.
    pub is_genuine: fn(&Response<Bytes>) -> bool,
    /// Whether [`Failure`]s of the verdict `NotRun` say when to come back.
    pub retry_after: bool,
}

impl Default for Dialect {
    fn default() -> Self {
        let own = |name: &'static str| Some(HeaderName::from_static(name));
        Self {
            request_id: None,
            deadline: HeaderName::from_static(DEADLINE_HEADER),
            tenant: own(TENANT_HEADER),
            key: own(KEY_HEADER),
            caller_service: None,
            instance: None,
            verdict: own(VERDICT_HEADER),
            reason: own(REASON_HEADER),
            status: failure_status,
            says_not_run,
            is_genuine: |_| true,
            retry_after: false,
        }
    }
}

fn says_not_run(response: &Response<Bytes>) -> bool {
    let verdict = response.headers().get(VERDICT_HEADER);
    let is_shed = verdict.is_some_and(|value| value == Verdict::NotRun.as_str());
    is_shed && response.status() == StatusCode::SERVICE_UNAVAILABLE
}

//! Header names and status codes that a daemon uses with the callers and upstreams of a mesh.
//!
//! The default is described in `docs/headers.md`. A deployment whose callers and upstreams use
//! other headers or status codes passes its own dialect to [`crate::Daemon::start_with`].

use bytes::Bytes;
use http::{HeaderName, Response, StatusCode};
use sycamoreflow_coordination::pace::Pace;
use sycamoreflow_state::verdict::{Failure, VERDICT_HEADER, Verdict};

use super::headers::{DEADLINE_HEADER, KEY_HEADER, REASON_HEADER, TENANT_HEADER, failure_status};

/// The pace in a response cannot be read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct InvalidPace;

/// Names of headers and meanings of status codes. A header without a name is neither read nor sent.
#[derive(Clone, Debug)]
pub struct Dialect {
    /// Request header with the identifier of a request, which the upstream's response must
    /// repeat.
    pub request_id: Option<HeaderName>,
    /// Request header with the time left until the caller's deadline, in milliseconds.
    pub deadline: HeaderName,
    /// Request header with the name of the caller's tenant.
    pub tenant: Option<HeaderName>,
    /// Request header with the key of a client account, in the scheme `Bearer`. In a mesh whose
    /// tenants have keys, daemons remove it from every request.
    pub credential: HeaderName,
    /// Request header with the name of the client account. In a mesh whose tenants have keys, the
    /// daemon sets it for the upstream; a value from the caller is removed.
    pub account: Option<HeaderName>,
    /// Request header with the idempotency key.
    pub key: Option<HeaderName>,
    /// Request header with the name of the service that the call comes from. The daemon sets it for
    /// the upstream; a value from the caller is removed.
    pub caller_service: Option<HeaderName>,
    /// Request header that identifies the upstream instance that must run the request. The daemon
    /// sets it; a value from the caller is removed.
    pub instance: Option<HeaderName>,
    /// Response header with the verdict: whether the request has run.
    pub verdict: Option<HeaderName>,
    /// Response header with the reason of a failure.
    pub reason: Option<HeaderName>,
    /// Returns the HTTP status that reports a failure to a caller.
    pub status: fn(Failure) -> StatusCode,
    /// Returns whether an upstream states in its response that it has not run the request.
    pub says_not_run: fn(&Response<Bytes>) -> bool,
    /// Returns whether a response can come from the upstream itself. Any other response fails the
    /// call with [`Reason::BadAnswer`](sycamoreflow_state::verdict::Reason::BadAnswer).
    pub is_genuine: fn(&Response<Bytes>) -> bool,
    /// Returns the present pace of the host if the upstream reports one with its response.
    pub reported_pace: fn(&Response<Bytes>) -> Option<Result<Pace, InvalidPace>>,
    /// Whether failures with the verdict [`Verdict::NotRun`] carry a `Retry-After` header.
    pub retry_after: bool,
}

impl Default for Dialect {
    fn default() -> Self {
        let own = |name: &'static str| Some(HeaderName::from_static(name));
        Self {
            request_id: None,
            deadline: HeaderName::from_static(DEADLINE_HEADER),
            tenant: own(TENANT_HEADER),
            credential: http::header::AUTHORIZATION,
            account: own(TENANT_HEADER),
            key: own(KEY_HEADER),
            caller_service: None,
            instance: None,
            verdict: own(VERDICT_HEADER),
            reason: own(REASON_HEADER),
            status: failure_status,
            says_not_run,
            is_genuine: |_| true,
            reported_pace: |_| None,
            retry_after: false,
        }
    }
}

fn says_not_run(response: &Response<Bytes>) -> bool {
    let verdict = response.headers().get(VERDICT_HEADER);
    let is_shed = verdict.is_some_and(|value| value == Verdict::NotRun.as_str());
    is_shed && response.status() == StatusCode::SERVICE_UNAVAILABLE
}

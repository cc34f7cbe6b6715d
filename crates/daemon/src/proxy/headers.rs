//! Conversion between HTTP messages and the messages of calls, and the headers that the system
//! reads and writes. They are listed in `docs/headers.md`.

use bytes::Bytes;
use http::{HeaderMap, HeaderValue, Request, Response, StatusCode};
use sycamoreflow_protocol::call::{Answer, Call, RequestHead};
use sycamoreflow_state::ids::{Millis, TenantName};
use sycamoreflow_state::verdict::{Failure, Reason, VERDICT_HEADER, Verdict};
use sycamoreflow_transport::http::headers::{from_call, to_call};

/// Request header that names the tenant of a caller.
pub const TENANT_HEADER: &str = "sycamoreflow-tenant";

/// Request header with the time left until the caller's deadline, in milliseconds. It is passed
/// on to the upstream with the time that is left then.
pub const DEADLINE_HEADER: &str = "sycamoreflow-deadline-ms";

/// Request header that marks resends of the same request.
pub const KEY_HEADER: &str = "idempotency-key";

/// Response header that says why a request has no answer from an upstream.
pub const REASON_HEADER: &str = "sycamoreflow-reason";

/// Longest idempotency key in bytes.
pub const MAX_KEY_BYTES: usize = 256;

/// Tenant of callers that name none.
pub const DEFAULT_TENANT: &str = "default";

/// What a caller says about its request in headers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CallerHeaders {
    /// Tenant of the caller.
    pub tenant: TenantName,
    /// Time left until the caller's deadline, if it has one.
    pub remaining: Option<Millis>,
    /// Idempotency key, if any.
    pub key: Option<String>,
}

/// Reads the headers that the system understands.
///
/// # Errors
///
/// [`Reason::BadRequest`] if one of them is malformed.
pub fn read_caller(headers: &HeaderMap) -> Result<CallerHeaders, Failure> {
    let tenant = text(headers, TENANT_HEADER)?.unwrap_or(DEFAULT_TENANT);
    let remaining = match text(headers, DEADLINE_HEADER)? {
        Some(value) => Some(Millis(value.parse().map_err(|_| bad_request())?)),
        None => None,
    };
    let key = text(headers, KEY_HEADER)?;
    if key.is_some_and(|key| key.is_empty() || key.len() > MAX_KEY_BYTES) {
        return Err(bad_request());
    }
    Ok(CallerHeaders {
        tenant: TenantName::from(tenant),
        remaining,
        key: key.map(str::to_owned),
    })
}

/// Takes the head and the body of a caller's request. The server has removed the headers that
/// concern one connection only.
pub fn request_head(mut req: Request<Bytes>) -> (RequestHead, Bytes) {
    let path = req.uri().path_and_query().map_or("/", |p| p.as_str());
    let path_and_query = path.to_owned();
    let method = req.method().as_str().to_owned();
    req.headers_mut().remove(DEADLINE_HEADER);
    let head = RequestHead {
        method,
        path_and_query,
        headers: to_call(req.headers()),
    };
    (head, req.into_body())
}

/// Makes the request to the upstream.
///
/// # Errors
///
/// [`Reason::BadRequest`], not run, if the head from the entry daemon is malformed.
pub fn upstream_request(call: &Call, remaining: Millis) -> Result<Request<Bytes>, Failure> {
    let mut req = Request::builder()
        .method(call.head.method.as_str())
        .uri(call.head.path_and_query.as_str())
        .body(Bytes::copy_from_slice(&call.body))
        .map_err(|_| bad_request())?;
    *req.headers_mut() = from_call(call.head.headers.clone()).ok_or_else(bad_request)?;
    req.headers_mut().remove(http::header::CONTENT_LENGTH);
    let deadline = HeaderValue::from(remaining.0);
    req.headers_mut().insert(DEADLINE_HEADER, deadline);
    Ok(req)
}

/// Makes the answer of a call from the response of the upstream.
pub fn answer(response: Response<Bytes>) -> Answer {
    Answer {
        status: response.status().as_u16(),
        headers: to_call(response.headers()),
        body: response.into_body().to_vec(),
    }
}

/// Makes the response to the caller from an answer.
pub fn response(answer: Answer) -> Response<Bytes> {
    let status = StatusCode::from_u16(answer.status);
    let headers = from_call(answer.headers);
    let (Ok(status), Some(headers)) = (status, headers) else {
        return refusal(Failure {
            verdict: Verdict::Ran,
            reason: Reason::BadAnswer,
        });
    };
    let mut response = Response::new(Bytes::from(answer.body));
    *response.status_mut() = status;
    *response.headers_mut() = headers;
    let verdict = HeaderValue::from_static(Verdict::Ran.as_str());
    response.headers_mut().insert(VERDICT_HEADER, verdict);
    // The reason is the daemon's to give, and an answered request has none.
    response.headers_mut().remove(REASON_HEADER);
    response
}

/// Makes the response to the caller of a request without an answer.
pub fn refusal(failure: Failure) -> Response<Bytes> {
    let reason = reason_text(failure.reason);
    let body = format!(
        "{{\"verdict\":\"{}\",\"reason\":\"{reason}\"}}\n",
        failure.verdict
    );
    let mut response = Response::new(Bytes::from(body));
    *response.status_mut() = status_of(failure);
    let headers = response.headers_mut();
    let json = HeaderValue::from_static("application/json");
    headers.insert(http::header::CONTENT_TYPE, json);
    let verdict = HeaderValue::from_static(failure.verdict.as_str());
    headers.insert(VERDICT_HEADER, verdict);
    headers.insert(REASON_HEADER, HeaderValue::from_static(reason));
    response
}

/// Returns the value of [`REASON_HEADER`].
pub fn reason_text(reason: Reason) -> &'static str {
    match reason {
        Reason::NotReady => "not-ready",
        Reason::NoRoute => "no-route",
        Reason::TenantRefused => "tenant-refused",
        Reason::NoEndpoint => "no-endpoint",
        Reason::Overloaded => "overloaded",
        Reason::Draining => "draining",
        Reason::Shed => "shed",
        Reason::DeadlineExceeded => "deadline-exceeded",
        Reason::ConnectionLost => "connection-lost",
        Reason::BadAnswer => "bad-answer",
        Reason::BadRequest => "bad-request",
        Reason::CrashesUpstreams => "crashes-upstreams",
        Reason::KeyUnresolved => "key-unresolved",
        Reason::KeyHoldersUnavailable => "key-holders-unavailable",
    }
}

fn status_of(failure: Failure) -> StatusCode {
    match failure.reason {
        Reason::BadRequest => StatusCode::BAD_REQUEST,
        Reason::TenantRefused => StatusCode::FORBIDDEN,
        Reason::NoRoute => StatusCode::NOT_FOUND,
        Reason::KeyUnresolved => StatusCode::CONFLICT,
        Reason::CrashesUpstreams if failure.verdict == Verdict::NotRun => {
            StatusCode::UNPROCESSABLE_ENTITY
        }
        Reason::CrashesUpstreams | Reason::ConnectionLost | Reason::BadAnswer => {
            StatusCode::BAD_GATEWAY
        }
        Reason::DeadlineExceeded => StatusCode::GATEWAY_TIMEOUT,
        Reason::NotReady
        | Reason::NoEndpoint
        | Reason::Overloaded
        | Reason::Draining
        | Reason::Shed
        | Reason::KeyHoldersUnavailable => StatusCode::SERVICE_UNAVAILABLE,
    }
}

fn bad_request() -> Failure {
    Failure::not_run(Reason::BadRequest)
}

fn text<'a>(headers: &'a HeaderMap, name: &str) -> Result<Option<&'a str>, Failure> {
    let Some(value) = headers.get(name) else {
        return Ok(None);
    };
    let text = value.to_str().map_err(|_| bad_request())?;
    Ok(Some(text.trim()))
}

//! Conversion between HTTP messages and call messages, and the headers that a daemon reads and
//! writes (`docs/headers.md`).

use bytes::Bytes;
use http::{HeaderMap, HeaderName, HeaderValue, Request, Response, StatusCode};
use sycamoreflow_protocol::call::{Answer, Call, RequestHead};
use sycamoreflow_state::ids::{Millis, TenantName};
use sycamoreflow_state::verdict::{Failure, Reason, Verdict};
use sycamoreflow_transport::http::headers::{from_call_headers, to_call_headers};

use super::dialect::Dialect;

/// Request header with the name of the caller's tenant.
pub const TENANT_HEADER: &str = "sycamoreflow-tenant";

/// Request header with the time left until the caller's deadline, in milliseconds. The request to
/// the upstream carries the time that remains when it is sent.
pub const DEADLINE_HEADER: &str = "sycamoreflow-deadline-ms";

/// Request header with the idempotency key, which is the same in all sends of one request.
pub const KEY_HEADER: &str = "idempotency-key";

/// Response header with the reason why a request has no answer from an upstream.
pub const REASON_HEADER: &str = "sycamoreflow-reason";

/// Maximum length of an idempotency key in bytes.
pub const MAX_KEY_BYTES: usize = 256;

/// Tenant of callers that do not name one.
pub const DEFAULT_TENANT: &str = "default";

/// Values that a daemon reads from the headers of a caller's request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CallerHeaders {
    /// Tenant of the caller.
    pub tenant: TenantName,
    /// Time left until the caller's deadline, if the caller set one.
    pub remaining: Option<Millis>,
    /// Idempotency key, if any.
    pub key: Option<String>,
    /// Identifier of the request, if the dialect has a header for it.
    pub request_id: Option<String>,
}

/// Reads the headers of a caller's request that the dialect names.
///
/// # Errors
///
/// Returns [`Reason::BadRequest`] if one of them is malformed, or if the idempotency key is empty
/// or longer than [`MAX_KEY_BYTES`].
pub fn read_caller(headers: &HeaderMap, dialect: &Dialect) -> Result<CallerHeaders, Failure> {
    let tenant = optional_text(headers, dialect.tenant.as_ref())?.unwrap_or(DEFAULT_TENANT);
    let remaining = match optional_text(headers, Some(&dialect.deadline))? {
        Some(value) => Some(Millis(value.parse().map_err(|_| bad_request())?)),
        None => None,
    };
    let key = optional_text(headers, dialect.key.as_ref())?;
    if key.is_some_and(|key| key.is_empty() || key.len() > MAX_KEY_BYTES) {
        return Err(bad_request());
    }
    let request_id = optional_text(headers, dialect.request_id.as_ref())?;
    Ok(CallerHeaders {
        tenant: TenantName::from(tenant),
        remaining,
        key: key.map(str::to_owned),
        request_id: request_id.map(str::to_owned),
    })
}

/// Splits a caller's request into head and body, without the headers that only a daemon may set.
/// The HTTP server has already removed the hop-by-hop headers.
pub fn request_head(mut req: Request<Bytes>, dialect: &Dialect) -> (RequestHead, Bytes) {
    let path = req.uri().path_and_query().map_or("/", |p| p.as_str());
    let path_and_query = path.to_owned();
    let method = req.method().as_str().to_owned();
    // Callers must not set headers that the daemon sets for the upstream.
    let daemon_headers = [&dialect.caller_service, &dialect.instance];
    for name in daemon_headers
        .into_iter()
        .flatten()
        .chain([&dialect.deadline])
    {
        req.headers_mut().remove(name);
    }
    let head = RequestHead {
        method,
        path_and_query,
        headers: to_call_headers(req.headers()),
    };
    (head, req.into_body())
}

/// Replaces what a request states of its account by what a daemon has found out: it removes the key
/// and sets the name of the account.
///
/// # Errors
///
/// Returns [`Reason::BadRequest`] if the name is no valid header value.
pub fn set_account(
    headers: &mut HeaderMap,
    account: Option<&TenantName>,
    dialect: &Dialect,
) -> Result<(), Failure> {
    headers.remove(&dialect.credential);
    let Some(name) = &dialect.account else {
        return Ok(());
    };
    headers.remove(name);
    match account {
        Some(account) => insert_text(headers, name, account.as_str()),
        None => Ok(()),
    }
}

/// Builds the request to the upstream. `remaining` is the time left until the deadline, and
/// `instance` identifies the upstream instance that must run the request. `removes_key` is whether
/// the mesh has client accounts: the entry daemon removes their keys, but may have had an older
/// configuration.
///
/// # Errors
///
/// Returns [`Reason::BadRequest`] with the verdict [`Verdict::NotRun`] if the head from the entry
/// daemon is malformed.
pub fn upstream_request(
    call: &Call,
    remaining: Millis,
    instance: Option<&str>,
    removes_key: bool,
    dialect: &Dialect,
) -> Result<Request<Bytes>, Failure> {
    let mut req = Request::builder()
        .method(call.head.method.as_str())
        .uri(call.head.path_and_query.as_str())
        .body(Bytes::copy_from_slice(&call.body))
        .map_err(|_| bad_request())?;
    *req.headers_mut() = from_call_headers(call.head.headers.clone()).ok_or_else(bad_request)?;
    let headers = req.headers_mut();
    headers.remove(http::header::CONTENT_LENGTH);
    if removes_key {
        headers.remove(&dialect.credential);
    }
    headers.insert(dialect.deadline.clone(), HeaderValue::from(remaining.0));
    if let Some(name) = &dialect.caller_service {
        let caller = call.caller.as_ref().map_or("", |service| service.as_str());
        insert_text(headers, name, caller)?;
    }
    if let (Some(name), Some(instance)) = (&dialect.instance, instance) {
        insert_text(headers, name, instance)?;
    }
    Ok(req)
}

fn insert_text(headers: &mut HeaderMap, name: &HeaderName, text: &str) -> Result<(), Failure> {
    let value = HeaderValue::from_bytes(text.as_bytes()).map_err(|_| bad_request())?;
    headers.insert(name.clone(), value);
    Ok(())
}

/// Converts the response of an upstream into the answer of a call.
pub fn answer(response: Response<Bytes>) -> Answer {
    Answer {
        status: response.status().as_u16(),
        headers: to_call_headers(response.headers()),
        body: response.into_body().into(),
    }
}

/// Converts the answer of a call into the response to the caller. An answer that is no valid HTTP
/// response is reported as [`Reason::BadAnswer`].
pub fn response(answer: Answer, dialect: &Dialect) -> Response<Bytes> {
    let status = StatusCode::from_u16(answer.status);
    let headers = from_call_headers(answer.headers);
    let (Ok(status), Some(headers)) = (status, headers) else {
        let failure = Failure {
            verdict: Verdict::Ran,
            reason: Reason::BadAnswer,
        };
        return failure_response(failure, dialect, None);
    };
    let mut response = Response::new(Bytes::from(answer.body));
    *response.status_mut() = status;
    *response.headers_mut() = headers;
    if let Some(name) = &dialect.verdict {
        let verdict = HeaderValue::from_static(Verdict::Ran.as_str());
        response.headers_mut().insert(name.clone(), verdict);
    }
    // Only the daemon sets the reason header, and an answered request has no reason.
    if let Some(name) = &dialect.reason {
        response.headers_mut().remove(name);
    }
    response
}

/// Builds the response for a request without an answer, in the default dialect.
pub fn default_failure_response(failure: Failure) -> Response<Bytes> {
    failure_response(failure, &Dialect::default(), None)
}

/// Builds the response for a request without an answer. `wait` is the delay after which the caller
/// may retry. It is sent in `Retry-After` as decimal seconds, if the request has not run and the
/// dialect asks for it.
pub fn failure_response(
    failure: Failure,
    dialect: &Dialect,
    wait: Option<Millis>,
) -> Response<Bytes> {
    let reason = reason_text(failure.reason);
    let body = format!(
        "{{\"verdict\":\"{}\",\"reason\":\"{reason}\"}}\n",
        failure.verdict
    );
    let mut response = Response::new(Bytes::from(body));
    *response.status_mut() = (dialect.status)(failure);
    let headers = response.headers_mut();
    let json = HeaderValue::from_static("application/json");
    headers.insert(http::header::CONTENT_TYPE, json);
    if let Some(name) = &dialect.verdict {
        let verdict = HeaderValue::from_static(failure.verdict.as_str());
        headers.insert(name.clone(), verdict);
    }
    if let Some(name) = &dialect.reason {
        headers.insert(name.clone(), HeaderValue::from_static(reason));
    }
    if let Some(wait) = wait.filter(|_| dialect.retry_after && failure.verdict == Verdict::NotRun) {
        let seconds = format!("{}.{:03}", wait.0 / 1_000, wait.0 % 1_000);
        if let Ok(value) = HeaderValue::from_str(&seconds) {
            headers.insert(http::header::RETRY_AFTER, value);
        }
    }
    response
}

/// Returns the request identifier in the headers of a call, if the dialect has a header for it.
pub fn request_id<'a>(call: &'a Call, dialect: &Dialect) -> Option<&'a str> {
    let name = dialect.request_id.as_ref()?;
    let mut headers = call.head.headers.iter();
    let (_, value) = headers.find(|(header, _)| header == name.as_str())?;
    std::str::from_utf8(value).ok()
}

/// Returns whether a response of an upstream repeats the request identifier of the call exactly
/// once and no other one. Returns `true` if the dialect has no request identifiers.
pub fn echoes_request_id(response: &Response<Bytes>, call: &Call, dialect: &Dialect) -> bool {
    let Some(name) = &dialect.request_id else {
        return true;
    };
    let mut echoed = response.headers().get_all(name).iter();
    let sent = call.head.headers.iter();
    let mut sent = sent.filter(|(header, _)| header == name.as_str());
    let (echoed, second) = (echoed.next(), echoed.next());
    let expected = sent.next().map(|(_, value)| value.as_ref());
    second.is_none() && echoed.map(|value| value.as_bytes()) == expected
}

/// Returns the value of [`REASON_HEADER`] for a reason. Logs and metrics use the same text.
pub fn reason_text(reason: Reason) -> &'static str {
    match reason {
        Reason::NotReady => "not-ready",
        Reason::NoRoute => "no-route",
        Reason::TenantRefused => "tenant-refused",
        Reason::Unauthenticated => "unauthenticated",
        Reason::KeysUnconfirmed => "keys-unconfirmed",
        Reason::QuotaExceeded => "quota-exceeded",
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

/// Returns the HTTP status for a failure in the default dialect.
pub fn failure_status(failure: Failure) -> StatusCode {
    match failure.reason {
        Reason::BadRequest => StatusCode::BAD_REQUEST,
        Reason::Unauthenticated => StatusCode::UNAUTHORIZED,
        Reason::TenantRefused => StatusCode::FORBIDDEN,
        Reason::QuotaExceeded => StatusCode::TOO_MANY_REQUESTS,
        Reason::NoRoute => StatusCode::NOT_FOUND,
        Reason::KeyUnresolved => StatusCode::CONFLICT,
        Reason::CrashesUpstreams if failure.verdict == Verdict::NotRun => {
            StatusCode::UNPROCESSABLE_ENTITY
        }
        Reason::CrashesUpstreams | Reason::ConnectionLost | Reason::BadAnswer => {
            StatusCode::BAD_GATEWAY
        }
        Reason::Draining if failure.verdict != Verdict::NotRun => StatusCode::BAD_GATEWAY,
        Reason::DeadlineExceeded => StatusCode::GATEWAY_TIMEOUT,
        Reason::NotReady
        | Reason::KeysUnconfirmed
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

fn optional_text<'a>(
    headers: &'a HeaderMap,
    name: Option<&HeaderName>,
) -> Result<Option<&'a str>, Failure> {
    let Some(value) = name.and_then(|name| headers.get(name)) else {
        return Ok(None);
    };
    let text = value.to_str().map_err(|_| bad_request())?;
    Ok(Some(text.trim()))
}

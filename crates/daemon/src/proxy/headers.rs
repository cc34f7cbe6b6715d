//! Conversion between HTTP messages and the messages of calls, and the headers that the system
//! reads and writes. They are listed in `docs/headers.md`.

use bytes::Bytes;
use http::{HeaderMap, HeaderName, HeaderValue, Request, Response, StatusCode};
use sycamoreflow_protocol::call::{Answer, Call, RequestHead};
use sycamoreflow_state::ids::{Millis, TenantName};
use sycamoreflow_state::verdict::{Failure, Reason, Verdict};
use sycamoreflow_transport::http::headers::{from_call_headers, to_call_headers};

use super::dialect::Dialect;

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
    /// Id of the request, if the dialect has one.
    pub request_id: Option<String>,
}

/// Reads the headers that the system understands.
///
/// # Errors
///
/// [`Reason::BadRequest`] if one of them is malformed.
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

/// Takes the head and the body of a caller's request. The server has removed the headers that
/// concern one connection only.
pub fn request_head(mut req: Request<Bytes>, dialect: &Dialect) -> (RequestHead, Bytes) {
    let path = req.uri().path_and_query().map_or("/", |p| p.as_str());
    let path_and_query = path.to_owned();
    let method = req.method().as_str().to_owned();
    // What the system sets itself must not come from a caller.
    let own = [&dialect.caller_service, &dialect.instance];
    for name in own.into_iter().flatten().chain([&dialect.deadline]) {
        req.headers_mut().remove(name);
    }
    let head = RequestHead {
        method,
        path_and_query,
        headers: to_call_headers(req.headers()),
    };
    (head, req.into_body())
}

/// Makes the request to the upstream. `instance` names the upstream that must run it.
///
/// # Errors
///
/// [`Reason::BadRequest`], not run, if the head from the entry daemon is malformed.
pub fn upstream_request(
    call: &Call,
    remaining: Millis,
    instance: Option<&str>,
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
    let value = HeaderValue::from_str(text).map_err(|_| bad_request())?;
    headers.insert(name.clone(), value);
    Ok(())
}

/// Makes the answer of a call from the response of the upstream.
pub fn answer(response: Response<Bytes>) -> Answer {
    Answer {
        status: response.status().as_u16(),
        headers: to_call_headers(response.headers()),
        body: response.into_body().to_vec(),
    }
}

/// Makes the response to the caller from an answer.
pub fn response(answer: Answer, dialect: &Dialect) -> Response<Bytes> {
    let status = StatusCode::from_u16(answer.status);
    let headers = from_call_headers(answer.headers);
    let (Ok(status), Some(headers)) = (status, headers) else {
        let failure = Failure {
            verdict: Verdict::Ran,
            reason: Reason::BadAnswer,
        };
        return refusal_in(failure, dialect, None);
    };
    let mut response = Response::new(Bytes::from(answer.body));
    *response.status_mut() = status;
    *response.headers_mut() = headers;
    if let Some(name) = &dialect.verdict {
        let verdict = HeaderValue::from_static(Verdict::Ran.as_str());
        response.headers_mut().insert(name.clone(), verdict);
    }
    // The reason is the daemon's to give, and an answered request has none.
    if let Some(name) = &dialect.reason {
        response.headers_mut().remove(name);
    }
    response
}

/// Makes the response to the caller of a request without an answer, in the daemon's own dialect.
pub fn refusal(failure: Failure) -> Response<Bytes> {
    refusal_in(failure, &Dialect::default(), None)
}

/// Makes the response to the caller of a request without an answer. `wait` says when the caller
/// may come back, if the request has not run.
pub fn refusal_in(failure: Failure, dialect: &Dialect, wait: Option<Millis>) -> Response<Bytes> {
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

/// Returns the id of a request in a call, if its dialect has one.
pub fn request_id<'a>(call: &'a Call, dialect: &Dialect) -> Option<&'a str> {
    let name = dialect.request_id.as_ref()?;
    let mut headers = call.head.headers.iter();
    let (_, value) = headers.find(|(known, _)| known == name.as_str())?;
    std::str::from_utf8(value).ok()
}

/// Returns whether a response of an upstream repeats the id of the call, and no other one. Without ids in
/// the dialect every response does.
pub fn names_request(response: &Response<Bytes>, call: &Call, dialect: &Dialect) -> bool {
    let Some(name) = &dialect.request_id else {
        return true;
    };
    let mut named = response.headers().get_all(name).iter();
    let sent = call.head.headers.iter();
    let mut sent = sent.filter(|(known, _)| known == name.as_str());
    let (named, others) = (named.next(), named.next());
    let expected = sent.next().map(|(_, value)| value.as_ref());
    others.is_none() && named.map(|value| value.as_bytes()) == expected
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

/// Returns the status of a failure in the daemon's own dialect.
pub fn status_of(failure: Failure) -> StatusCode {
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

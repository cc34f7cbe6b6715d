//! HTTP/1.1 client for upstreams.
//!
//! Every failure carries a verdict: `NotRun` only if no byte of the request was written,
//! `MayHaveRun` otherwise. A connection is driven by the future of the request that uses it, so
//! dropping the future closes the connection, and a connection with an unanswered request is
//! never reused. A connection carries a request with the same echoed header at most once. Before a pooled connection is reused, it is checked for having been closed and for
//! unsolicited bytes.

use std::fmt;
use std::future::Future;
use std::net::SocketAddr;
use std::pin::pin;
use std::sync::Arc;
use std::time::{Duration, Instant};

use async_std::future::timeout;
use async_std::task;
use bytes::Bytes;
use futures::future::{Either, select};
use http::header::{CONTENT_LENGTH, EXPECT, HOST, HeaderName, HeaderValue};
use http::uri::PathAndQuery;
use http::{Method, Request, Response, Uri, Version};
use http_body_util::Full;
use sycamoreflow_state::verdict::{Failure, Reason};

use self::body::BodyBudget;
use self::connection::{Connection, ExchangeError, TrafficSnapshot};
use self::pool::Pool;
use super::headers::remove_hop_by_hop;
use crate::timer;

mod body;
mod connection;
mod pool;
#[cfg(test)]
mod tests;

/// Result of a request. The error says whether the request may have run.
pub type Result<T> = std::result::Result<T, Failure>;

/// Size and time limits of a client.
#[derive(Clone, Debug)]
pub struct Limits {
    /// Time limit for opening a connection.
    pub connect_timeout: Duration,
    /// Time without a byte of the response after which a pooled connection is suspected to be
    /// broken. The client then probes the address with a new connection. If that succeeds, it
    /// discards the idle connections that were last used before the request was sent.
    pub silence_timeout: Duration,
    /// Maximum size of a response's head in bytes. Smaller values than 8 KiB count as 8 KiB.
    pub max_head_bytes: usize,
    /// Maximum number of headers of a response.
    pub max_headers: usize,
    /// Maximum size of a response's body in bytes.
    pub max_body_bytes: usize,
    /// Maximum size in bytes of all bodies of responses that are being read, beyond the first
    /// 32 KiB of each. A body that does not fit fails, as one above `max_body_bytes` does.
    pub max_buffered_bytes: usize,
    /// Maximum number of idle connections per address.
    pub max_idle_connections: usize,
    /// Time after which an idle connection is closed. It should be shorter than the idle timeout of
    /// the upstreams: a request sent while the upstream closes the connection may have run.
    pub idle_timeout: Duration,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            connect_timeout: Duration::from_secs(1),
            silence_timeout: Duration::from_secs(2),
            max_head_bytes: 16 * 1024,
            max_headers: 100,
            max_body_bytes: 1024 * 1024,
            max_buffered_bytes: 24 * 1024 * 1024,
            max_idle_connections: 64,
            idle_timeout: Duration::from_secs(20),
        }
    }
}

/// Options for sending a single request.
#[derive(Clone, Debug, Default)]
pub struct SendOptions {
    /// Request header that the upstream echoes in its response. A response with another value
    /// belongs to another request and is rejected; one without the header is accepted, but its
    /// connection is not reused. A request is never sent on a connection that has carried one with
    /// the same value: a second response to the earlier one could not be told from its response.
    pub echoed_header: Option<HeaderName>,
    /// Maximum time for which a reused connection may have been idle. The upstream may have dropped
    /// the connection since, and a request sent on it then may have run.
    pub max_idle_time: Option<Duration>,
}

/// A client with a pool of idle connections. Clones share the pool.
#[derive(Clone)]
pub struct Client {
    shared: Arc<Shared>,
}

struct Shared {
    limits: Limits,
    pool: Pool,
    budget: BodyBudget,
}

/// A header of a request that the upstream echoes in the response.
struct EchoedHeader {
    name: HeaderName,
    value: HeaderValue,
}

impl EchoedHeader {
    fn from_request(request: &Request<Bytes>, options: &SendOptions) -> Option<Self> {
        let name = options.echoed_header.clone()?;
        let value = request.headers().get(&name)?.clone();
        Some(Self { name, value })
    }

    /// Returns whether the response carries another value and so belongs to another request. A
    /// response without the header doesn't count: it may be an error that the upstream produced
    /// before it read the header.
    fn mismatches(&self, response: &Response<Bytes>) -> bool {
        let mut repeated = response.headers().get_all(&self.name).iter();
        repeated.any(|value| *value != self.value)
    }

    /// Returns whether the response carries the header with the value of the request.
    fn matches(&self, response: &Response<Bytes>) -> bool {
        response.headers().contains_key(&self.name) && !self.mismatches(response)
    }
}

/// Outcome of an attempt to send a request on one connection.
enum AttemptOutcome {
    Done(Result<Response<Bytes>>),
    /// The pooled connection was closed. Nothing of the request was written, so it can be sent on
    /// another connection.
    Retry(Request<Full<Bytes>>),
}

impl Client {
    /// Creates a client with an empty pool.
    pub fn new(limits: Limits) -> Self {
        let pool = Pool::new(limits.max_idle_connections, limits.idle_timeout);
        let budget = BodyBudget::new(limits.max_buffered_bytes);
        let shared = Shared {
            limits,
            pool,
            budget,
        };
        Self {
            shared: Arc::new(shared),
        }
    }

    /// Sends a request and returns the complete response.
    ///
    /// The framing headers of the request are set from its body. Hop-by-hop headers are removed
    /// from the request and from the response; trailers are dropped.
    ///
    /// # Errors
    ///
    /// Fails if there is no complete and valid response by the deadline. The verdict is `NotRun`
    /// only if no byte of the request was written.
    pub async fn send(
        &self,
        address: SocketAddr,
        request: Request<Bytes>,
        deadline: Instant,
    ) -> Result<Response<Bytes>> {
        let options = SendOptions::default();
        self.send_with_options(address, request, deadline, &options)
            .await
    }

    /// Sends a request as [`Client::send`] does, with options.
    ///
    /// # Errors
    ///
    /// As [`Client::send`], and [`Reason::BadAnswer`] if the response belongs to another request.
    pub async fn send_with_options(
        &self,
        address: SocketAddr,
        request: Request<Bytes>,
        deadline: Instant,
        options: &SendOptions,
    ) -> Result<Response<Bytes>> {
        let echo = EchoedHeader::from_request(&request, options);
        let mut request = prepare_request(request, address)?;
        loop {
            let value = echo.as_ref().map(|echo| &echo.value);
            let pool = &self.shared.pool;
            let (mut connection, is_pooled) = match pool.take(address, options.max_idle_time, value)
            {
                Some(connection) => (connection, true),
                None => (self.shared.connect(address, deadline).await?, false),
            };
            if let Some(value) = value {
                connection.record_carried(value.clone());
            }
            let attempt = self.attempt(connection, is_pooled, request, deadline, echo.as_ref());
            match attempt.await {
                AttemptOutcome::Done(outcome) => return outcome,
                AttemptOutcome::Retry(unsent) => request = unsent,
            }
        }
    }

    /// Closes the idle connections whose [`Limits::idle_timeout`] has passed. Sending requests does
    /// this as well, so it is needed only in periods without requests.
    pub fn close_expired(&self) {
        self.shared.pool.close_expired(Instant::now());
    }

    /// Returns the number of idle connections to an address.
    pub fn idle_connections(&self, address: SocketAddr) -> usize {
        self.shared.pool.count(address)
    }

    /// Returns the bytes of bodies that are being read and count towards
    /// [`Limits::max_buffered_bytes`].
    pub fn buffered_bytes(&self) -> usize {
        self.shared.budget.used()
    }

    async fn attempt(
        &self,
        mut connection: Connection,
        is_pooled: bool,
        request: Request<Full<Bytes>>,
        deadline: Instant,
        echo: Option<&EchoedHeader>,
    ) -> AttemptOutcome {
        if is_pooled && !connection.is_alive().await {
            return AttemptOutcome::Retry(request);
        }
        let address = connection.address;
        let sent_at = Instant::now();
        let traffic = connection.traffic_snapshot();
        let Shared { limits, budget, .. } = &*self.shared;
        let exchange = pin!(connection.exchange(request, limits, budget));
        let monitored = self.wait_with_probe(exchange, address, is_pooled, sent_at, &traffic);
        let Some(outcome) = timer::timeout_at(deadline, monitored).await else {
            // The connection is no longer driven, so nothing more is written.
            if is_pooled {
                self.probe_if_silent(address, sent_at, &traffic);
            }
            return AttemptOutcome::Done(Err(traffic.failure(Reason::DeadlineExceeded)));
        };
        match outcome {
            // The connection is not reused, since the matching response may still follow on it.
            Ok((response, _)) if echo.is_some_and(|echo| echo.mismatches(&response)) => {
                AttemptOutcome::Done(Err(Failure::may_have_run(Reason::BadAnswer)))
            }
            // The matching response may also follow a response without the header.
            Ok((response, connection)) => {
                let is_matched = echo.is_none_or(|echo| echo.matches(&response));
                if is_matched && connection.is_reusable() {
                    self.shared.pool.put(connection);
                }
                AttemptOutcome::Done(Ok(response))
            }
            Err(ExchangeError::Unsent(request)) if is_pooled => AttemptOutcome::Retry(*request),
            Err(ExchangeError::Unsent(_)) => {
                AttemptOutcome::Done(Err(Failure::not_run(Reason::ConnectionLost)))
            }
            Err(ExchangeError::Failed(reason)) => {
                AttemptOutcome::Done(Err(traffic.failure(reason)))
            }
        }
    }

    /// Waits for an exchange. If a pooled connection stays silent for the silence timeout, probes
    /// its address meanwhile.
    async fn wait_with_probe<T>(
        &self,
        exchange: impl Future<Output = T> + Unpin,
        address: SocketAddr,
        is_pooled: bool,
        sent_at: Instant,
        traffic: &TrafficSnapshot,
    ) -> T {
        if !is_pooled {
            return exchange.await;
        }
        let silence = timer::sleep(self.shared.limits.silence_timeout);
        let exchange = match select(exchange, silence).await {
            Either::Left((outcome, _)) => return outcome,
            Either::Right(((), exchange)) => exchange,
        };
        self.probe_if_silent(address, sent_at, traffic);
        exchange.await
    }

    /// Starts a probe of the address if nothing was received on the connection since `sent_at`.
    fn probe_if_silent(&self, address: SocketAddr, sent_at: Instant, traffic: &TrafficSnapshot) {
        if traffic.has_read_since_start() {
            return;
        }
        let shared = self.shared.clone();
        task::spawn(async move { shared.probe(address, sent_at).await });
    }
}

impl Shared {
    async fn connect(&self, address: SocketAddr, deadline: Instant) -> Result<Connection> {
        let remaining = deadline.saturating_duration_since(Instant::now());
        if remaining.is_zero() {
            return Err(Failure::not_run(Reason::DeadlineExceeded));
        }
        let limit = remaining.min(self.limits.connect_timeout);
        let opened = timeout(limit, Connection::open(address, &self.limits)).await;
        opened
            .ok()
            .flatten()
            .ok_or(Failure::not_run(Reason::ConnectionLost))
    }

    /// Opens a connection to an address at which a pooled connection has been silent since
    /// `sent_at`. If that succeeds, the state of older connections was probably lost on the network
    /// path, so the idle connections that were last used before `sent_at` are discarded.
    async fn probe(&self, address: SocketAddr, sent_at: Instant) {
        if !self.pool.try_start_probe(address) {
            return;
        }
        let deadline = Instant::now() + self.limits.connect_timeout;
        let probe = self.connect(address, deadline).await;
        self.pool.finish_probe(address);
        let Ok(connection) = probe else {
            return;
        };
        self.pool.discard_unused_since(address, sent_at);
        self.pool.put(connection);
    }
}

impl fmt::Debug for Client {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Client")
            .field("limits", &self.shared.limits)
            .finish_non_exhaustive()
    }
}

/// Prepares a request for one hop: target in origin form, framing headers set from the body, and no
/// hop-by-hop headers.
fn prepare_request(request: Request<Bytes>, address: SocketAddr) -> Result<Request<Full<Bytes>>> {
    let (mut parts, body) = request.into_parts();
    if parts.method == Method::CONNECT {
        return Err(Failure::not_run(Reason::BadRequest));
    }
    remove_hop_by_hop(&mut parts.headers);
    // hyper would give these headers precedence over the actual body.
    parts.headers.remove(CONTENT_LENGTH);
    parts.headers.remove(EXPECT);
    let takes_body = matches!(parts.method, Method::POST | Method::PUT | Method::PATCH);
    if takes_body || !body.is_empty() {
        let length = HeaderValue::from(body.len());
        parts.headers.insert(CONTENT_LENGTH, length);
    }
    if !parts.headers.contains_key(HOST) {
        let host = match parts.uri.authority() {
            Some(authority) => HeaderValue::from_str(authority.as_str()),
            None => HeaderValue::from_str(&address.to_string()),
        };
        let host = host.map_err(|_| Failure::not_run(Reason::BadRequest))?;
        parts.headers.insert(HOST, host);
    }
    let path = parts.uri.path_and_query().cloned();
    parts.uri = Uri::from(path.unwrap_or_else(|| PathAndQuery::from_static("/")));
    parts.version = Version::HTTP_11;
    parts.extensions.clear();
    Ok(Request::from_parts(parts, Full::new(body)))
}

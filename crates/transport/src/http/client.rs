//! HTTP/1.1 client for upstreams.
//!
//! Every failure carries a verdict: `NotRun` only when no byte of the request was written,
//! `MayHaveRun` otherwise. A connection is driven by the future of the request that uses it, so
//! dropping the future closes the connection, and a connection with an unanswered request is
//! never used again. A pooled connection is checked for an end or unsolicited bytes before it is
//! used.

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

use self::connection::{Connection, Lost, Traffic};
use self::pool::Pool;
use super::headers::remove_hop_by_hop;
use crate::timer;

mod connection;
mod pool;
#[cfg(test)]
mod tests;

/// Result of a request.
pub type Result<T> = std::result::Result<T, Failure>;

/// Size and time limits of a client.
#[derive(Clone, Debug)]
pub struct Limits {
    /// Time limit of opening a connection.
    pub connect_time: Duration,
    /// Time without a byte of the answer after which a pooled connection is suspected to be
    /// silent, and idle connections of the same address are checked.
    pub silence: Duration,
    /// Largest head of an answer in bytes, at least 8 KiB.
    pub max_head_bytes: usize,
    /// Largest number of headers of an answer.
    pub max_headers: usize,
    /// Largest body of an answer in bytes.
    pub max_body_bytes: usize,
    /// Largest number of idle connections per address.
    pub max_idle: usize,
    /// Time after which an idle connection is closed. It should be shorter than the idle time of
    /// the upstreams, since a request that meets their close may have run.
    pub idle_time: Duration,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            connect_time: Duration::from_secs(1),
            silence: Duration::from_secs(2),
            max_head_bytes: 16 * 1024,
            max_headers: 100,
            max_body_bytes: 1024 * 1024,
            max_idle: 64,
            idle_time: Duration::from_secs(20),
        }
    }
}

/// What a request demands of its connection and of the answer.
#[derive(Clone, Debug, Default)]
pub struct Demand {
    /// Request header whose value the answer must repeat. An answer with another value belongs to
    /// another request.
    pub echo: Option<HeaderName>,
    /// Longest time for which a connection may have been idle. An upstream may have dropped it
    /// meanwhile, and a request that meets that may have run.
    pub max_idle: Option<Duration>,
}

/// A client with a pool of connections. Clones share the pool.
#[derive(Clone)]
pub struct Client {
    shared: Arc<Shared>,
}

struct Shared {
    limits: Limits,
    pool: Pool,
}

/// A header of a request that its answer must repeat.
struct Echo {
    name: HeaderName,
    value: HeaderValue,
}

impl Echo {
    fn of(request: &Request<Bytes>, demand: &Demand) -> Option<Self> {
        let name = demand.echo.clone()?;
        let value = request.headers().get(&name)?.clone();
        Some(Self { name, value })
    }

    /// Returns whether the answer names another request. One that names none may be an error that
    /// the upstream made before it read the header.
    fn contradicts(&self, response: &Response<Bytes>) -> bool {
        let mut repeated = response.headers().get_all(&self.name).iter();
        repeated.any(|value| *value != self.value)
    }

    /// Returns whether the answer names the request.
    fn is_repeated_by(&self, response: &Response<Bytes>) -> bool {
        response.headers().contains_key(&self.name) && !self.contradicts(response)
    }
}

/// What an attempt on one connection came to.
enum Attempt {
    Done(Result<Response<Bytes>>),
    /// The pooled connection had ended; the request was not written and is handed back.
    Retry(Request<Full<Bytes>>),
}

impl Client {
    /// Makes a client with an empty pool.
    pub fn new(limits: Limits) -> Self {
        let pool = Pool::new(limits.max_idle, limits.idle_time);
        Self {
            shared: Arc::new(Shared { limits, pool }),
        }
    }

    /// Sends a request and returns the whole answer.
    ///
    /// The framing of the request follows its body. Hop-by-hop headers are removed from the
    /// request and from the answer; trailers are dropped.
    ///
    /// # Errors
    ///
    /// The verdict is `NotRun` only if no byte of the request was written.
    pub async fn send(
        &self,
        address: SocketAddr,
        request: Request<Bytes>,
        deadline: Instant,
    ) -> Result<Response<Bytes>> {
        let demand = Demand::default();
        self.send_demanding(address, request, deadline, &demand)
            .await
    }

    /// Sends a request as [`Client::send`] does, with demands on connection and answer.
    ///
    /// # Errors
    ///
    /// [`Reason::BadAnswer`] if the answer belongs to another request.
    pub async fn send_demanding(
        &self,
        address: SocketAddr,
        request: Request<Bytes>,
        deadline: Instant,
        demand: &Demand,
    ) -> Result<Response<Bytes>> {
        let echo = Echo::of(&request, demand);
        let mut request = prepare(request, address)?;
        loop {
            let pooled = self.shared.pool.take(address, demand.max_idle);
            let (connection, is_pooled) = match pooled {
                Some(connection) => (connection, true),
                None => (self.shared.connect(address, deadline).await?, false),
            };
            let attempt = self.attempt(connection, is_pooled, request, deadline, echo.as_ref());
            match attempt.await {
                Attempt::Done(outcome) => return outcome,
                Attempt::Retry(unsent) => request = unsent,
            }
        }
    }

    /// Closes the idle connections that have exceeded their age. Sending does this as well, so a
    /// caller needs it only for times without requests.
    pub fn close_aged(&self) {
        self.shared.pool.close_aged(Instant::now());
    }

    /// Returns the number of idle connections to an address.
    pub fn idle_connections(&self, address: SocketAddr) -> usize {
        self.shared.pool.count(address)
    }

    async fn attempt(
        &self,
        mut connection: Connection,
        is_pooled: bool,
        request: Request<Full<Bytes>>,
        deadline: Instant,
        echo: Option<&Echo>,
    ) -> Attempt {
        if is_pooled && !connection.is_alive().await {
            return Attempt::Retry(request);
        }
        let address = connection.address;
        let sent_at = Instant::now();
        let traffic = connection.traffic();
        let exchange = pin!(connection.exchange(request, &self.shared.limits));
        let watched = self.watch(exchange, address, is_pooled, sent_at, &traffic);
        let Some(outcome) = timer::timeout_at(deadline, watched).await else {
            // The connection is not driven any more, so nothing is written from here on.
            if is_pooled {
                self.suspect(address, sent_at, &traffic);
            }
            return Attempt::Done(Err(traffic.failure(Reason::DeadlineExceeded)));
        };
        match outcome {
            // The right answer may follow on the connection, which is not used again.
            Ok((response, _)) if echo.is_some_and(|echo| echo.contradicts(&response)) => {
                Attempt::Done(Err(Failure::may_have_run(Reason::BadAnswer)))
            }
            // The right answer may follow one that names no request, too.
            Ok((response, connection)) => {
                let is_named = echo.is_none_or(|echo| echo.is_repeated_by(&response));
                if is_named && connection.is_reusable() {
                    self.shared.pool.put(connection);
                }
                Attempt::Done(Ok(response))
            }
            Err(Lost::Unsent(request)) if is_pooled => Attempt::Retry(*request),
            Err(Lost::Unsent(_)) => Attempt::Done(Err(Failure::not_run(Reason::ConnectionLost))),
            Err(Lost::Failed(reason)) => Attempt::Done(Err(traffic.failure(reason))),
        }
    }

    /// Waits for an exchange, and suspects a pooled connection that stays silent for the limit.
    async fn watch<T>(
        &self,
        exchange: impl Future<Output = T> + Unpin,
        address: SocketAddr,
        is_pooled: bool,
        sent_at: Instant,
        traffic: &Traffic,
    ) -> T {
        if !is_pooled {
            return exchange.await;
        }
        let silence = timer::sleep(self.shared.limits.silence);
        let exchange = match select(exchange, silence).await {
            Either::Left((outcome, _)) => return outcome,
            Either::Right(((), exchange)) => exchange,
        };
        self.suspect(address, sent_at, traffic);
        exchange.await
    }

    /// Starts a probe if a pooled connection has been silent since `sent_at`.
    fn suspect(&self, address: SocketAddr, sent_at: Instant, traffic: &Traffic) {
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
        let limit = remaining.min(self.limits.connect_time);
        let opened = timeout(limit, Connection::open(address, &self.limits)).await;
        opened
            .ok()
            .flatten()
            .ok_or(Failure::not_run(Reason::ConnectionLost))
    }

    /// Opens a connection to an address where a pooled one is silent since `sent_at`. If that
    /// succeeds, something between the two ends has lost the state of the older connections, so
    /// those that were not used since then are discarded.
    async fn probe(&self, address: SocketAddr, sent_at: Instant) {
        if !self.pool.start_probe(address) {
            return;
        }
        let deadline = Instant::now() + self.limits.connect_time;
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

/// Makes the request of one hop: origin form, own framing, no hop-by-hop headers.
fn prepare(request: Request<Bytes>, address: SocketAddr) -> Result<Request<Full<Bytes>>> {
    let (mut parts, body) = request.into_parts();
    if parts.method == Method::CONNECT {
        return Err(Failure::not_run(Reason::BadRequest));
    }
    remove_hop_by_hop(&mut parts.headers);
    // hyper would trust these headers more than the body.
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

//! Serves a `tide` application with limits on size and time, one request per connection.
//!
//! async-h1 buffers a line of a head without limit, drains unread bodies without limit and treats
//! truncated bodies as complete. Here it reads through a stream that limits the size of the head
//! and of the request, and that fails when a request is truncated; the time for reading is limited
//! as well. The bearer token is checked before the body is read, and the body is read completely
//! before its route runs. Error responses are JSON objects with a field `error`.

use std::fmt;
use std::io;
use std::net::SocketAddr;
use std::pin::pin;
use std::sync::Arc;
use std::time::Duration;

use async_h1::server::Encoder;
use async_std::channel;
use async_std::future::timeout;
use async_std::net::{TcpListener, TcpStream};
use async_std::task;
use futures::AsyncReadExt;
use futures::AsyncWriteExt;
use futures::future::{Either, select};
use hmac::{Hmac, KeyInit, Mac};
use http_types::headers::{AUTHORIZATION, CONNECTION, WWW_AUTHENTICATE};
use http_types::{Body, Method, Request, Response, StatusCode, mime};
use sha2::Sha256;
use sycamoreflow_coordination::buffers::Activity;

use self::stream::BoundedStream;
use super::framing::{FramingLimits, Violation};
use super::server::linger;
use crate::buffers::{Buffers, Holder};

mod stream;
#[cfg(test)]
mod tests;

/// Delay before the next `accept` after one has failed, for example for lack of file descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Time for which requests are still received after a stop.
const DRAIN_READ_TIME: Duration = Duration::from_millis(100);

const MAX_HEADERS: usize = 100;

/// Size and time limits of an operator interface.
#[derive(Clone, Debug)]
pub struct Limits {
    /// Maximum number of open connections. Beyond it, those whose request is not complete are closed
    /// in favour of new ones.
    pub max_connections: usize,
    /// Maximum size of a request's head in bytes. async-h1 accepts at most 8 KiB.
    pub max_head_bytes: usize,
    /// Maximum size of a request in bytes, including its head.
    pub max_request_bytes: usize,
    /// Time limit for receiving a request, from the start of the connection.
    pub read_timeout: Duration,
    /// Time limit for running a request and writing its response. The connection is closed after
    /// it.
    pub response_timeout: Duration,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            max_connections: 64,
            max_head_bytes: 16 * 1024,
            max_request_bytes: 4 * 1024 * 1024,
            read_timeout: Duration::from_secs(10),
            response_timeout: Duration::from_secs(30),
        }
    }
}

/// The bearer token that requests must present. Its `Debug` output does not reveal it.
#[derive(Clone)]
pub struct BearerToken {
    /// HMAC with a random key, to which a presented token is added. Comparing hashes of fixed
    /// length in constant time reveals neither the token nor its length.
    hash: Hmac<Sha256>,
    expected: [u8; 32],
}

impl BearerToken {
    /// Creates a token from its text and draws a random key for its hash.
    ///
    /// # Errors
    ///
    /// Fails if the system's random number generator is unavailable.
    pub fn new(token: &str) -> io::Result<Self> {
        let mut key = [0; 32];
        getrandom::fill(&mut key).map_err(|_| io::Error::from(io::ErrorKind::Other))?;
        let hash = Hmac::new_from_slice(&key).expect("HMAC-SHA256 accepts keys of every length");
        let expected = hash
            .clone()
            .chain_update(token)
            .finalize()
            .into_bytes()
            .into();
        Ok(Self { hash, expected })
    }

    fn matches(&self, presented: &str) -> bool {
        let hash = self.hash.clone().chain_update(presented);
        hash.verify_slice(&self.expected).is_ok()
    }
}

impl fmt::Debug for BearerToken {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("BearerToken(..)")
    }
}

/// A running operator interface. It stops accepting connections when the handle is dropped;
/// requests that are received by then are completed within their time limits.
#[derive(Debug)]
pub struct OperatorHandle {
    address: SocketAddr,
    stop: channel::Sender<()>,
    finished: channel::Receiver<()>,
}

impl OperatorHandle {
    /// Returns the address that the interface listens on.
    pub fn local_addr(&self) -> SocketAddr {
        self.address
    }

    /// Stops accepting connections and waits until the requests in progress have responses, but for
    /// `limit` at most. Requests that are not received soon are dropped.
    pub async fn drain(&self, limit: Duration) {
        self.stop.close();
        // The channel is closed when the last connection has ended.
        let _ = timeout(limit, self.finished.recv()).await;
    }
}

impl Drop for OperatorHandle {
    fn drop(&mut self) {
        self.stop.close();
    }
}

struct Context<S> {
    app: tide::Server<S>,
    token: Option<BearerToken>,
    limits: Limits,
    buffers: Buffers,
    /// Number of this interface in the account of `buffers`.
    group: u64,
    /// Closed when the interface stops.
    stopped: channel::Receiver<()>,
    /// Dropped with the last connection after the interface has stopped.
    _finished: channel::Sender<()>,
}

/// Serves an application on a listener until the handle is dropped. Without a token, every request
/// is allowed, which is intended for interfaces on the loopback address. Each connection counts
/// towards `buffers`.
///
/// # Errors
///
/// Fails if the address of the listener cannot be determined.
pub fn serve<S>(
    listener: TcpListener,
    app: tide::Server<S>,
    token: Option<BearerToken>,
    limits: Limits,
    buffers: Buffers,
) -> io::Result<OperatorHandle>
where
    S: Clone + Send + Sync + 'static,
{
    let address = listener.local_addr()?;
    let (stop, stopped) = channel::bounded(1);
    let (finished_signal, finished) = channel::bounded(1);
    let context = Arc::new(Context {
        app,
        token,
        limits,
        group: buffers.new_group(),
        buffers,
        stopped,
        _finished: finished_signal,
    });
    task::spawn(accept_loop(listener, context));
    Ok(OperatorHandle {
        address,
        stop,
        finished,
    })
}

async fn accept_loop<S>(listener: TcpListener, context: Arc<Context<S>>)
where
    S: Clone + Send + Sync + 'static,
{
    let semaphore = Arc::new(async_lock::Semaphore::new(context.limits.max_connections));
    let accepting = async {
        loop {
            let stream = match listener.accept().await {
                Ok((stream, _)) => stream,
                Err(error) => {
                    metrics::counter!("sycamoreflow_accept_failures_total").increment(1);
                    tracing::debug!(%error, "failed to accept a connection");
                    task::sleep(ACCEPT_RETRY_DELAY).await;
                    continue;
                }
            };
            let permit = context.buffers.place(context.group, &semaphore).await;
            let context = context.clone();
            task::spawn(async move {
                context.serve_connection(stream).await;
                drop(permit);
            });
        }
    };
    let accepting = pin!(accepting);
    let stopped = pin!(context.stopped.recv());
    if let Either::Left((never, _)) = select(accepting, stopped).await {
        never
    }
}

impl<S: Clone + Send + Sync + 'static> Context<S> {
    async fn serve_connection(&self, stream: TcpStream) {
        // Fails only if the connection has already ended.
        let _ = stream.set_nodelay(true);
        let limits = &self.limits;
        let bounded = BoundedStream::new(
            stream.clone(),
            FramingLimits {
                max_head_bytes: limits.max_head_bytes,
                max_headers: MAX_HEADERS,
                max_body_bytes: limits
                    .max_request_bytes
                    .saturating_sub(limits.max_head_bytes) as u64,
            },
        );
        let mut holder = self.buffers.open(self.group);
        let reading = pin!(timeout(limits.read_timeout, self.read_request(&bounded)));
        let received = match select(reading, pin!(self.incomplete_dropped(&holder))).await {
            Either::Left((received, _)) => received,
            Either::Right(_) => return,
        };
        holder.set_activity(Activity::Running);
        let responding = async {
            let (response, method) = match received {
                Ok(Ok(Some(request))) => {
                    let method = request.method();
                    (self.respond(request).await, method)
                }
                Ok(Ok(None)) => return,
                Ok(Err(response)) => (response, Method::Get),
                Err(_) => (violation_response(Violation::TimedOut), Method::Get),
            };
            // Fails if the peer has closed the connection.
            let _ = write_response(&stream, response, method).await;
            linger(&stream).await;
        };
        // After the time limit the connection is closed; the peer receives a truncated response or
        // none.
        let _ = timeout(limits.response_timeout, responding).await;
    }

    /// Waits until a request that is not complete is dropped, because its memory is needed or the
    /// interface has stopped.
    async fn incomplete_dropped(&self, holder: &Holder) {
        let stopped = async {
            // `recv` returns an error once the channel is closed. No message is ever sent on it.
            let _ = self.stopped.recv().await;
            task::sleep(DRAIN_READ_TIME).await;
        };
        select(pin!(holder.leaving()), pin!(stopped)).await;
    }

    /// Reads a complete request and checks its token. Returns `None` if the peer closes the
    /// connection without sending anything.
    ///
    /// # Errors
    ///
    /// The response to a request that is unauthorized, malformed, truncated or too large.
    async fn read_request(&self, stream: &BoundedStream) -> Result<Option<Request>, Response> {
        let decoded = async_h1::server::decode(stream.clone()).await;
        let Some((mut request, _)) = decoded.map_err(|_| stream.rejection())? else {
            // async-h1 doesn't distinguish a stream that ends within the head from an empty one.
            return match stream.has_read() {
                true => Err(stream.rejection()),
                false => Ok(None),
            };
        };
        if !self.is_authorized(&request) {
            return Err(unauthorized_response());
        }
        let mut body = Vec::new();
        let mut reader = request.take_body();
        let read = reader.read_to_end(&mut body).await;
        // async-h1 may report a complete body although the stream failed within it.
        if read.is_err() || !stream.is_complete() {
            return Err(stream.rejection());
        }
        let mime = reader.mime().clone();
        let mut body = Body::from_bytes(body);
        body.set_mime(mime);
        request.set_body(body);
        Ok(Some(request))
    }

    fn is_authorized(&self, request: &Request) -> bool {
        let Some(token) = &self.token else {
            return true;
        };
        let Some(values) = request.header(AUTHORIZATION) else {
            return false;
        };
        let (scheme, presented) = match values.as_str().split_once(' ') {
            Some(parts) => parts,
            None => return false,
        };
        scheme.eq_ignore_ascii_case("bearer") && token.matches(presented.trim())
    }

    /// Runs a request in the application. Errors without a body get a JSON body.
    async fn respond(&self, request: Request) -> Response {
        let response: Response = match self.app.respond(request).await {
            Ok(response) => response,
            Err(error) => error_response(error.status(), error.status().canonical_reason()),
        };
        let is_error = response.status().is_client_error() || response.status().is_server_error();
        if is_error && response.is_empty() == Some(true) {
            return error_response(response.status(), response.status().canonical_reason());
        }
        response
    }
}

fn error_response(status: StatusCode, error: &str) -> Response {
    let mut response = Response::new(status);
    response.set_body(serde_json::json!({ "error": error }).to_string());
    response.set_content_type(mime::JSON);
    response
}

fn unauthorized_response() -> Response {
    let error = "a valid bearer token is required";
    let mut response = error_response(StatusCode::Unauthorized, error);
    response.insert_header(WWW_AUTHENTICATE, "Bearer");
    response
}

fn violation_response(violation: Violation) -> Response {
    let (status, reason) = violation.status();
    let status = StatusCode::try_from(status).unwrap_or(StatusCode::BadRequest);
    error_response(status, reason)
}

async fn write_response(
    mut stream: &TcpStream,
    mut response: Response,
    method: Method,
) -> io::Result<()> {
    response.insert_header(CONNECTION, "close");
    let mut encoder = Encoder::new(response, method);
    futures::io::copy(&mut encoder, &mut stream).await?;
    stream.flush().await
}

//! Serves the requests of one caller's connection.

use std::future::{Future, poll_fn};
use std::io;
use std::net::{Shutdown, SocketAddr};
use std::pin::{Pin, pin};
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::task::{Context, Poll};
use std::time::{Duration, Instant};

use async_std::future::timeout;
use async_std::net::TcpStream;
use async_std::task;
use bytes::{Buf, Bytes, BytesMut};
use futures::io::{AsyncRead, AsyncWrite};
use futures::stream::FuturesOrdered;
use futures::{AsyncReadExt, AsyncWriteExt, FutureExt, StreamExt};
use http::header::{CONTENT_LENGTH, EXPECT};
use http::{Method, Response, StatusCode};

use super::{CallerAddress, Limits, Signals, State, wait_closed};
use crate::http::framing::{FramingLimits, Position, ReceivedRequest, RequestFraming, Violation};
use crate::http::headers::remove_hop_by_hop;
use crate::timer::{Sleep, sleep_until};

/// Limits on the bytes and the time spent on reading what a peer still sends before its connection
/// is closed. Closing a socket with unread data resets the connection, and the peer may lose the
/// response that says why its request was rejected.
const LINGER_BYTES: usize = 256 * 1024;
const LINGER_TIME: Duration = Duration::from_millis(500);

/// Maximum number of bytes per read from the socket.
const READ_BYTES: usize = 8 * 1024;

/// No further responses are collected while at least this many bytes wait to be written.
const MAX_UNSENT_BYTES: usize = 256 * 1024;

/// No further bytes are read while at least this many complete requests wait to be started.
const MAX_QUEUED_REQUESTS: usize = 16;

/// Interim response for a caller that sent `Expect: 100-continue`.
const CONTINUE: &[u8] = b"HTTP/1.1 100 Continue\r\n\r\n";

pub(super) struct Connection<H> {
    pub(super) stream: TcpStream,
    pub(super) caller: SocketAddr,
    pub(super) state: Arc<State>,
    pub(super) handler: Arc<H>,
}

/// How a connection ends.
enum ConnectionEnd {
    /// The caller closed the connection, stopped reading or was idle for too long. The connection
    /// is closed without a response.
    Immediate,
    /// All responses were written, the last one with `connection: close` unless the connection was
    /// idle.
    Graceful,
    /// The caller's request was invalid, too large or too slow, and is answered with an error
    /// status.
    Rejected(Violation),
}

impl<H, F> Connection<H>
where
    H: Fn(http::Request<Bytes>) -> F + Send + Sync + 'static,
    F: Future<Output = Response<Bytes>> + Send + 'static,
{
    /// Serves requests until the connection ends or a drain has completed.
    pub(super) async fn serve(self, signals: Signals) {
        // Fails only if the connection has already ended.
        let _ = self.stream.set_nodelay(true);
        let limits = &self.state.limits;
        let mut pipeline = Pipeline::new(&self);
        let mut draining = pin!(
            async {
                wait_closed(&signals.drain).await;
                // Requests received within this time are served, with `connection: close`.
                task::sleep(limits.drain_idle_timeout).await;
            }
            .fuse()
        );
        let end = poll_fn(|cx| {
            if draining.as_mut().poll(cx).is_ready() {
                pipeline.stop_when_idle = true;
            }
            pipeline.poll(cx)
        })
        .await;
        drop(pipeline);
        match end {
            ConnectionEnd::Immediate => {}
            ConnectionEnd::Graceful => linger(&self.stream).await,
            ConnectionEnd::Rejected(violation) => {
                // Fails if the caller has closed the connection.
                let _ = timeout(limits.write_stall_timeout, reject(&self.stream, violation)).await;
            }
        }
    }
}

/// The result of a handler, with what is needed to write the response.
struct CompletedResponse {
    response: Response<Bytes>,
    method: Method,
    close_after: bool,
}

type ResponseFuture = Pin<Box<dyn Future<Output = CompletedResponse> + Send>>;

/// State of the pipelined requests and responses of one connection.
struct Pipeline<'a, H> {
    connection: &'a Connection<H>,
    stream: TcpStream,
    framing: RequestFraming,
    running: FuturesOrdered<ResponseFuture>,
    unsent: BytesMut,
    violation: Option<Violation>,
    /// Whether the connection is closed as soon as it is idle between requests.
    stop_when_idle: bool,
    /// Whether the last response of the connection is already in `unsent`.
    is_closing: bool,
    read_timer: DeadlineTimer,
    /// Start of the timeout that applies to the current position.
    read_wait_start: Instant,
    position: Position,
    write_timer: DeadlineTimer,
    write_blocked_since: Option<Instant>,
}

impl<'a, H, F> Pipeline<'a, H>
where
    H: Fn(http::Request<Bytes>) -> F + Send + Sync + 'static,
    F: Future<Output = Response<Bytes>> + Send + 'static,
{
    fn new(connection: &'a Connection<H>) -> Self {
        let limits = &connection.state.limits;
        let framing = RequestFraming::new(FramingLimits {
            max_head_bytes: limits.max_head_bytes,
            max_headers: limits.max_headers,
            max_body_bytes: limits.max_body_bytes,
        });
        Self {
            connection,
            stream: connection.stream.clone(),
            framing,
            running: FuturesOrdered::new(),
            unsent: BytesMut::new(),
            violation: None,
            stop_when_idle: false,
            is_closing: false,
            read_timer: DeadlineTimer::default(),
            read_wait_start: Instant::now(),
            position: Position::BetweenRequests,
            write_timer: DeadlineTimer::default(),
            write_blocked_since: None,
        }
    }

    fn limits(&self) -> &'a Limits {
        &self.connection.state.limits
    }

    /// Starts requests, collects responses, writes and reads until no more progress is possible.
    fn poll(&mut self, cx: &mut Context<'_>) -> Poll<ConnectionEnd> {
        loop {
            self.start_requests();
            let collected = self.collect_responses(cx);
            if self.write(cx).is_err() {
                return Poll::Ready(ConnectionEnd::Immediate);
            }
            if let Some(end) = self.connection_end() {
                return Poll::Ready(end);
            }
            match self.read(cx) {
                Poll::Ready(Ok(())) => {}
                Poll::Ready(Err(end)) => return Poll::Ready(end),
                Poll::Pending if collected => {}
                Poll::Pending => return Poll::Pending,
            }
        }
    }

    fn start_requests(&mut self) {
        while !self.is_closing && self.running.len() < self.limits().max_pipelined {
            let Some(received) = self.framing.take_request() else {
                return;
            };
            self.start_request(received);
        }
    }

    fn start_request(&mut self, received: ReceivedRequest) {
        let close_after = received.close_after;
        let (mut parts, body) = received.request.into_parts();
        remove_hop_by_hop(&mut parts.headers);
        parts.headers.remove(EXPECT);
        parts
            .extensions
            .insert(CallerAddress(self.connection.caller));
        let method = parts.method.clone();
        let response = (self.connection.handler)(http::Request::from_parts(parts, body));
        self.running.push_back(Box::pin(async move {
            CompletedResponse {
                response: response.await,
                method,
                close_after,
            }
        }));
    }

    /// Appends the responses that are ready to `unsent`. Returns whether there was one.
    fn collect_responses(&mut self, cx: &mut Context<'_>) -> bool {
        let mut collected = false;
        while !self.is_closing && self.unsent.len() < MAX_UNSENT_BYTES {
            let Poll::Ready(Some(completed)) = self.running.poll_next_unpin(cx) else {
                break;
            };
            // A caller repeats the requests that follow a response with `connection: close`, so
            // only the last response may carry it.
            let is_last = self.running.is_empty() && self.framing.received_count() == 0;
            let is_draining = self.connection.state.draining.load(Ordering::SeqCst);
            self.is_closing = completed.close_after || (is_last && is_draining);
            let response = apply_framing(completed.response, &completed.method);
            write_response(&mut self.unsent, &response, self.is_closing);
            self.read_wait_start = Instant::now();
            collected = true;
        }
        collected
    }

    /// Writes as much of `unsent` as the socket accepts. Fails if the write timeout has passed.
    fn write(&mut self, cx: &mut Context<'_>) -> io::Result<()> {
        if self.unsent.is_empty() && self.running.is_empty() && self.framing.take_expectation() {
            self.unsent.extend_from_slice(CONTINUE);
        }
        while !self.unsent.is_empty() {
            match Pin::new(&mut self.stream).poll_write(cx, &self.unsent) {
                Poll::Ready(Ok(0)) => return Err(io::ErrorKind::WriteZero.into()),
                Poll::Ready(Ok(count)) => {
                    self.unsent.advance(count);
                    self.write_blocked_since = None;
                    self.read_wait_start = Instant::now();
                }
                Poll::Ready(Err(error)) => return Err(error),
                Poll::Pending => return self.check_write_stall(cx),
            }
        }
        Ok(())
    }

    fn check_write_stall(&mut self, cx: &mut Context<'_>) -> io::Result<()> {
        let since = *self.write_blocked_since.get_or_insert_with(Instant::now);
        let deadline = since + self.limits().write_stall_timeout;
        if self.write_timer.poll(cx, deadline).is_ready() {
            return Err(io::ErrorKind::TimedOut.into());
        }
        Ok(())
    }

    /// Returns how the connection ends, or `None` if it must be served further.
    fn connection_end(&self) -> Option<ConnectionEnd> {
        let is_idle = self.running.is_empty() && self.framing.received_count() == 0;
        if !self.unsent.is_empty() {
            return None;
        }
        if self.is_closing {
            return Some(ConnectionEnd::Graceful);
        }
        if let Some(violation) = self.violation.filter(|_| is_idle) {
            return Some(ConnectionEnd::Rejected(violation));
        }
        let is_between_requests = self.position == Position::BetweenRequests;
        (self.stop_when_idle && is_idle && is_between_requests).then_some(ConnectionEnd::Graceful)
    }

    /// Reads once. Returns `Pending` if no bytes are available, or if reading is suspended because
    /// the connection is closing or too many requests are queued.
    fn read(&mut self, cx: &mut Context<'_>) -> Poll<Result<(), ConnectionEnd>> {
        if self.violation.is_some()
            || self.is_closing
            || self.framing.received_count() >= MAX_QUEUED_REQUESTS
        {
            return Poll::Pending;
        }
        let mut buf = [0; READ_BYTES];
        match Pin::new(&mut self.stream).poll_read(cx, &mut buf) {
            Poll::Ready(Ok(0) | Err(_)) => Poll::Ready(Err(ConnectionEnd::Immediate)),
            Poll::Ready(Ok(count)) => {
                self.receive(&buf[..count]);
                Poll::Ready(Ok(()))
            }
            Poll::Pending => self.poll_read_timeout(cx),
        }
    }

    fn receive(&mut self, bytes: &[u8]) {
        let (_, violation) = self.framing.push(bytes);
        self.violation = violation;
        let position = self.framing.position();
        if position != self.position {
            self.position = position;
            self.read_wait_start = Instant::now();
        }
    }

    /// Returns `Ready` when the timeout of the current position has passed. It is suspended while a
    /// request is in progress.
    fn poll_read_timeout(&mut self, cx: &mut Context<'_>) -> Poll<Result<(), ConnectionEnd>> {
        if !self.running.is_empty() || !self.unsent.is_empty() {
            return Poll::Pending;
        }
        let limits = self.limits();
        let time_limit = self.position.time_limit(
            limits.idle_timeout,
            limits.head_timeout,
            limits.body_timeout,
        );
        let deadline = self.read_wait_start + time_limit;
        if self.read_timer.poll(cx, deadline).is_pending() {
            return Poll::Pending;
        }
        Poll::Ready(Err(match self.position {
            Position::BetweenRequests => ConnectionEnd::Immediate,
            Position::InHead | Position::InBody => ConnectionEnd::Rejected(Violation::TimedOut),
        }))
    }
}

/// A timer that is rearmed only when it fires or the deadline becomes earlier. Most deadlines are
/// replaced by a later one before they pass, so this saves most of the timer operations.
#[derive(Default)]
struct DeadlineTimer {
    armed: Option<(Instant, Sleep)>,
}

impl DeadlineTimer {
    fn poll(&mut self, cx: &mut Context<'_>, deadline: Instant) -> Poll<()> {
        loop {
            if let Some((at, timer)) = &mut self.armed
                && *at <= deadline
                && Pin::new(timer).poll(cx).is_pending()
            {
                return Poll::Pending;
            }
            if Instant::now() >= deadline {
                return Poll::Ready(());
            }
            self.armed = Some((deadline, sleep_until(deadline)));
        }
    }
}

/// Sets the framing headers of a response from its actual body, and removes hop-by-hop headers.
fn apply_framing(response: Response<Bytes>, method: &Method) -> Response<Bytes> {
    let (mut parts, mut body) = response.into_parts();
    remove_hop_by_hop(&mut parts.headers);
    if parts.status.is_informational() {
        parts.status = StatusCode::BAD_GATEWAY;
        body = Bytes::new();
    }
    let is_bodiless = matches!(
        parts.status,
        StatusCode::NO_CONTENT | StatusCode::NOT_MODIFIED
    );
    if is_bodiless || method == Method::HEAD {
        body = Bytes::new();
    }
    // In a response to HEAD and in a 304, `Content-Length` is the length of the omitted body.
    if method != Method::HEAD && parts.status != StatusCode::NOT_MODIFIED {
        parts.headers.remove(CONTENT_LENGTH);
        if !is_bodiless {
            parts.headers.insert(CONTENT_LENGTH, body.len().into());
        }
    }
    Response::from_parts(parts, body)
}

/// Appends the serialized response to `buf`.
fn write_response(buf: &mut BytesMut, response: &Response<Bytes>, close: bool) {
    let status = response.status();
    let reason = status.canonical_reason().unwrap_or("");
    let line = format!("HTTP/1.1 {} {reason}\r\n", status.as_str());
    buf.extend_from_slice(line.as_bytes());
    for (name, value) in response.headers() {
        buf.extend_from_slice(name.as_str().as_bytes());
        buf.extend_from_slice(b": ");
        buf.extend_from_slice(value.as_bytes());
        buf.extend_from_slice(b"\r\n");
    }
    if close {
        buf.extend_from_slice(b"connection: close\r\n");
    }
    buf.extend_from_slice(b"\r\n");
    buf.extend_from_slice(response.body());
}

/// Responds to an invalid request with the status of its violation.
async fn reject(mut stream: &TcpStream, violation: Violation) -> io::Result<()> {
    let (status, reason) = violation.status();
    let head = format!(
        "HTTP/1.1 {status} {reason}\r\nconnection: close\r\ncontent-length: 0\r\n\
         sycamoreflow-verdict: not-run\r\n\r\n"
    );
    stream.write_all(head.as_bytes()).await?;
    linger(stream).await;
    Ok(())
}

/// Shuts down the write direction and discards what the peer still sends, up to [`LINGER_BYTES`]
/// and [`LINGER_TIME`].
pub(in crate::http) async fn linger(mut stream: &TcpStream) {
    // Fails only if the connection has already ended.
    let _ = stream.shutdown(Shutdown::Write);
    let reading = async {
        let mut buf = [0; 4096];
        let mut left = LINGER_BYTES;
        while let Ok(count @ 1..) = stream.read(&mut buf).await {
            left = left.saturating_sub(count);
            if left == 0 {
                return;
            }
        }
    };
    // A peer that keeps its connection open is expected to run into the time limit.
    let _ = timeout(LINGER_TIME, reading).await;
}

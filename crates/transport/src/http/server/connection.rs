//! One connection of a caller.

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

/// Bytes and time that are spent on reading what a rejected caller still sends. Without this, the
/// system resets the connection and the caller may lose the answer that says why.
const LINGER_BYTES: usize = 256 * 1024;
const LINGER_TIME: Duration = Duration::from_millis(500);

/// Bytes that one read takes from the socket.
const READ_BYTES: usize = 8 * 1024;

/// Responses are no longer collected while this many bytes wait to be written.
const MAX_UNSENT_BYTES: usize = 256 * 1024;

/// Requests that are read ahead of those that run.
const MAX_QUEUED_REQUESTS: usize = 16;

/// Interim response that permits a caller to send its body.
const CONTINUE: &[u8] = b"HTTP/1.1 100 Continue\r\n\r\n";

pub(super) struct Connection<H> {
    pub(super) stream: TcpStream,
    pub(super) caller: SocketAddr,
    pub(super) state: Arc<State>,
    pub(super) handler: Arc<H>,
}

/// How the requests of a connection ended.
enum ConnectionEnd {
    /// The caller has gone, or was idle for too long. Nothing is owed.
    Immediate,
    /// The last response said that the connection ends with it.
    Graceful,
    /// What the caller sent can't be accepted.
    Rejected(Violation),
}

impl<H, F> Connection<H>
where
    H: Fn(http::Request<Bytes>) -> F + Send + Sync + 'static,
    F: Future<Output = Response<Bytes>> + Send + 'static,
{
    /// Serves requests until the connection ends.
    pub(super) async fn serve(self, signals: Signals) {
        // Fails only if the connection has already ended.
        let _ = self.stream.set_nodelay(true);
        let limits = &self.state.limits;
        let mut pipeline = Pipeline::new(&self);
        let mut draining = pin!(
            async {
                wait_closed(&signals.drain).await;
                // Requests that arrive in this time are still answered, with `connection: close`.
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
                // Fails if the caller is gone.
                let _ = timeout(limits.write_stall_timeout, reject(&self.stream, violation)).await;
            }
        }
    }
}

/// A response in the order of its request.
struct CompletedResponse {
    response: Response<Bytes>,
    method: Method,
    close_after: bool,
}

type ResponseFuture = Pin<Box<dyn Future<Output = CompletedResponse> + Send>>;

/// The requests and responses of one connection.
struct Pipeline<'a, H> {
    connection: &'a Connection<H>,
    stream: TcpStream,
    framing: RequestFraming,
    running: FuturesOrdered<ResponseFuture>,
    unsent: BytesMut,
    violation: Option<Violation>,
    /// Whether the connection ends once it has nothing to do.
    stop_when_idle: bool,
    /// Whether the last response was collected.
    is_closing: bool,
    read_timer: DeadlineTimer,
    /// Start of the time that the current position may last.
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

    /// Makes all progress that is possible now.
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

    /// Takes the responses that are ready. Returns whether there was one.
    fn collect_responses(&mut self, cx: &mut Context<'_>) -> bool {
        let mut collected = false;
        while !self.is_closing && self.unsent.len() < MAX_UNSENT_BYTES {
            let Poll::Ready(Some(completed)) = self.running.poll_next_unpin(cx) else {
                break;
            };
            // A caller sends again what follows a response that closes the connection, so only the
            // last one may do that.
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

    /// Writes as much as the caller takes.
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

    /// Returns how the connection ends, if it has nothing left to do.
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

    /// Reads once. Pending means that nothing can be read or that nothing more may be read now.
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

    /// Is ready when the current position has lasted too long, with no request in progress.
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

/// A timer that is set again only if it would fire too late, since most deadlines are replaced
/// by a later one before they pass.
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

/// Gives a response the framing of its body, whatever its headers say.
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
    // A response to HEAD and a 304 state the length of the body that they leave out.
    if method != Method::HEAD && parts.status != StatusCode::NOT_MODIFIED {
        parts.headers.remove(CONTENT_LENGTH);
        if !is_bodiless {
            parts.headers.insert(CONTENT_LENGTH, body.len().into());
        }
    }
    Response::from_parts(parts, body)
}

/// Appends a framed response.
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

/// Tells the caller why its request was rejected.
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

/// Ends the writing direction and reads for a while what the peer still sends.
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
    // The time limit is the expected end of it for a peer that keeps its connection open.
    let _ = timeout(LINGER_TIME, reading).await;
}

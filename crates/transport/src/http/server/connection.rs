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

use super::{CallerAddress, Limits, Signals, State, closed};
use crate::http::framing::{Arrived, FramingLimits, Position, RequestFraming, Violation};
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
const MAX_READ_AHEAD: usize = 16;

/// Interim response that permits a caller to send its body.
const CONTINUE: &[u8] = b"HTTP/1.1 100 Continue\r\n\r\n";

pub(super) struct Connection<H> {
    pub(super) stream: TcpStream,
    pub(super) caller: SocketAddr,
    pub(super) state: Arc<State>,
    pub(super) handler: Arc<H>,
}

/// How the requests of a connection ended.
enum End {
    /// The caller has gone, or was idle for too long. Nothing is owed.
    Gone,
    /// The last response said that the connection ends with it.
    Closed,
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
        let mut exchange = Exchange::new(&self);
        let mut draining = pin!(
            async {
                closed(&signals.drain).await;
                // Requests that arrive in this time are still answered, with `connection: close`.
                task::sleep(limits.drain_idle_timeout).await;
            }
            .fuse()
        );
        let end = poll_fn(|cx| {
            if draining.as_mut().poll(cx).is_ready() {
                exchange.stops = true;
            }
            exchange.poll(cx)
        })
        .await;
        drop(exchange);
        match end {
            End::Gone => {}
            End::Closed => linger(&self.stream).await,
            End::Rejected(violation) => {
                // Fails if the caller is gone.
                let _ = timeout(limits.write_stall_timeout, reject(&self.stream, violation)).await;
            }
        }
    }
}

/// A response in the order of its request.
struct Answered {
    response: Response<Bytes>,
    method: Method,
    closes: bool,
}

type Answering = Pin<Box<dyn Future<Output = Answered> + Send>>;

/// The requests and responses of one connection.
struct Exchange<'a, H> {
    connection: &'a Connection<H>,
    stream: TcpStream,
    framing: RequestFraming,
    running: FuturesOrdered<Answering>,
    unsent: BytesMut,
    violation: Option<Violation>,
    /// Whether the connection ends once it has nothing to do.
    stops: bool,
    /// Whether the last response was collected.
    closes: bool,
    read_alarm: Alarm,
    /// Start of the time that the current position may last.
    read_since: Instant,
    position: Position,
    write_alarm: Alarm,
    write_blocked_since: Option<Instant>,
}

impl<'a, H, F> Exchange<'a, H>
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
            stops: false,
            closes: false,
            read_alarm: Alarm::default(),
            read_since: Instant::now(),
            position: Position::BetweenRequests,
            write_alarm: Alarm::default(),
            write_blocked_since: None,
        }
    }

    fn limits(&self) -> &'a Limits {
        &self.connection.state.limits
    }

    /// Makes all progress that is possible now.
    fn poll(&mut self, cx: &mut Context<'_>) -> Poll<End> {
        loop {
            self.start_requests();
            let collected = self.collect_responses(cx);
            if self.write(cx).is_err() {
                return Poll::Ready(End::Gone);
            }
            if let Some(end) = self.end() {
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
        while !self.closes && self.running.len() < self.limits().max_pipelined {
            let Some(arrived) = self.framing.take() else {
                return;
            };
            self.start(arrived);
        }
    }

    fn start(&mut self, arrived: Arrived) {
        let closes = arrived.closes;
        let (mut parts, body) = arrived.request.into_parts();
        remove_hop_by_hop(&mut parts.headers);
        parts.headers.remove(EXPECT);
        parts
            .extensions
            .insert(CallerAddress(self.connection.caller));
        let method = parts.method.clone();
        let answer = (self.connection.handler)(http::Request::from_parts(parts, body));
        self.running.push_back(Box::pin(async move {
            Answered {
                response: answer.await,
                method,
                closes,
            }
        }));
    }

    /// Takes the responses that are ready. Returns whether there was one.
    fn collect_responses(&mut self, cx: &mut Context<'_>) -> bool {
        let mut collected = false;
        while !self.closes && self.unsent.len() < MAX_UNSENT_BYTES {
            let Poll::Ready(Some(answered)) = self.running.poll_next_unpin(cx) else {
                break;
            };
            // A caller sends again what follows a response that closes the connection, so only the
            // last one may do that.
            let is_last = self.running.is_empty() && self.framing.arrived() == 0;
            let drains = self.connection.state.draining.load(Ordering::SeqCst);
            self.closes = answered.closes || (is_last && drains);
            let response = frame(answered.response, &answered.method);
            write_response(&mut self.unsent, &response, self.closes);
            self.read_since = Instant::now();
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
                    self.read_since = Instant::now();
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
        if self.write_alarm.poll(cx, deadline).is_ready() {
            return Err(io::ErrorKind::TimedOut.into());
        }
        Ok(())
    }

    /// Returns how the connection ends, if it has nothing left to do.
    fn end(&self) -> Option<End> {
        let idle = self.running.is_empty() && self.framing.arrived() == 0;
        if !self.unsent.is_empty() {
            return None;
        }
        if self.closes {
            return Some(End::Closed);
        }
        if let Some(violation) = self.violation.filter(|_| idle) {
            return Some(End::Rejected(violation));
        }
        let between = self.position == Position::BetweenRequests;
        (self.stops && idle && between).then_some(End::Closed)
    }

    /// Reads once. Pending means that nothing can be read or that nothing more may be read now.
    fn read(&mut self, cx: &mut Context<'_>) -> Poll<Result<(), End>> {
        if self.violation.is_some() || self.closes || self.framing.arrived() >= MAX_READ_AHEAD {
            return Poll::Pending;
        }
        let mut buf = [0; READ_BYTES];
        match Pin::new(&mut self.stream).poll_read(cx, &mut buf) {
            Poll::Ready(Ok(0) | Err(_)) => Poll::Ready(Err(End::Gone)),
            Poll::Ready(Ok(count)) => {
                self.take(&buf[..count]);
                Poll::Ready(Ok(()))
            }
            Poll::Pending => self.poll_late(cx),
        }
    }

    fn take(&mut self, bytes: &[u8]) {
        let (_, violation) = self.framing.push(bytes);
        self.violation = violation;
        let position = self.framing.position();
        if position != self.position {
            self.position = position;
            self.read_since = Instant::now();
        }
    }

    /// Is ready when the current position has lasted too long, with no request in progress.
    fn poll_late(&mut self, cx: &mut Context<'_>) -> Poll<Result<(), End>> {
        if !self.running.is_empty() || !self.unsent.is_empty() {
            return Poll::Pending;
        }
        let limits = self.limits();
        let allowed = self.position.limit(
            limits.idle_timeout,
            limits.head_timeout,
            limits.body_timeout,
        );
        let deadline = self.read_since + allowed;
        if self.read_alarm.poll(cx, deadline).is_pending() {
            return Poll::Pending;
        }
        Poll::Ready(Err(match self.position {
            Position::BetweenRequests => End::Gone,
            Position::InHead | Position::InBody => End::Rejected(Violation::TimedOut),
        }))
    }
}

/// A timer that is set again only if it would fire too late, since most deadlines are replaced
/// by a later one before they pass.
#[derive(Default)]
struct Alarm {
    armed: Option<(Instant, Sleep)>,
}

impl Alarm {
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
fn frame(response: Response<Bytes>, method: &Method) -> Response<Bytes> {
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
fn write_response(buf: &mut BytesMut, response: &Response<Bytes>, closes: bool) {
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
    if closes {
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

//! Serves the requests of one caller's connection.

use std::future::{Future, poll_fn};
use std::io;
use std::net::SocketAddr;
use std::pin::{Pin, pin};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::task::{Context, Poll};
use std::time::Instant;

use async_std::future::timeout;
use async_std::net::TcpStream;
use async_std::task;
use bytes::Bytes;
use futures::io::{AsyncRead, AsyncWrite};
use futures::stream::FuturesOrdered;
use futures::{FutureExt, StreamExt};
use http::header::EXPECT;
use http::{Method, Response};
use sycamoreflow_coordination::buffers::Activity;

use super::closing::{linger, reject};
use super::unsent::{Unsent, apply_framing};
use super::{CallerAddress, Limits, Signals, State, wait_closed};
use crate::buffers::{Growth, Holder};
use crate::http::framing::{FramingLimits, Position, ReceivedRequest, RequestFraming, Violation};
use crate::http::headers::remove_hop_by_hop;
use crate::timer::{Sleep, sleep_until};

/// Maximum number of bytes per read from the socket.
const READ_BYTES: usize = 8 * 1024;

/// No further responses are collected while at least this many bytes wait to be written.
const MAX_UNSENT_BYTES: usize = 256 * 1024;

/// No further bytes are read while at least this many complete requests wait to be started.
const MAX_QUEUED_REQUESTS: usize = 16;

/// The rest of an incomplete request is not read while the complete ones of the connection, queued
/// and running, take at least this much memory. A single request may take more.
const MAX_QUEUED_BYTES: usize = 256 * 1024;

/// A second request is started only if the responses of those that run are expected to take less
/// than this, in bytes, going by the largest one so far.
const MAX_EXPECTED_BYTES: usize = 1024 * 1024;

/// Bytes that a caller has to read of its responses within [`Limits::write_stall_timeout`].
const MIN_WRITTEN_BYTES: usize = 16 * 1024;

/// Interim response for a caller that sent `Expect: 100-continue`.
const CONTINUE: &[u8] = b"HTTP/1.1 100 Continue\r\n\r\n";

pub(super) struct Connection<H> {
    pub(super) stream: TcpStream,
    pub(super) caller: SocketAddr,
    /// Share in the memory that all clients may hold.
    pub(super) holder: Holder,
    pub(super) state: Arc<State>,
    pub(super) handler: Arc<H>,
}

/// How a connection ends.
enum ConnectionEnd {
    /// The caller closed the connection, stopped reading or was idle for too long, or the memory
    /// that it held was needed. The connection is closed without a response.
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
        let Self {
            stream,
            caller,
            holder,
            state,
            handler,
        } = self;
        // Fails only if the connection has already ended.
        let _ = stream.set_nodelay(true);
        let limits = &state.limits;
        let mut pipeline = Pipeline::new(stream.clone(), caller, holder, &state, &*handler);
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
            ConnectionEnd::Graceful => linger(&stream).await,
            ConnectionEnd::Rejected(violation) => {
                // Fails if the caller has closed the connection.
                let _ = timeout(limits.write_stall_timeout, reject(&stream, violation)).await;
            }
        }
    }
}

/// The result of a handler, with what is needed to write the response.
struct CompletedResponse {
    response: Response<Bytes>,
    method: Method,
    close_after: bool,
    /// Memory that the request and its future took, in bytes.
    request_bytes: usize,
}

type ResponseFuture = Pin<Box<dyn Future<Output = CompletedResponse> + Send>>;

/// State of the pipelined requests and responses of one connection.
struct Pipeline<'a, H> {
    stream: TcpStream,
    caller: SocketAddr,
    holder: Holder,
    state: &'a State,
    handler: &'a H,
    framing: RequestFraming,
    running: FuturesOrdered<ResponseFuture>,
    /// Memory that the requests in `running` and their futures take, in bytes.
    running_bytes: usize,
    /// Memory that the completed responses in `running` take, in bytes.
    completed_bytes: Arc<AtomicUsize>,
    /// Size of the largest response so far, in bytes.
    largest_response: usize,
    unsent: Unsent,
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
    /// Bytes written since `write_blocked_since`.
    written_while_blocked: usize,
}

impl<'a, H, F> Pipeline<'a, H>
where
    H: Fn(http::Request<Bytes>) -> F + Send + Sync + 'static,
    F: Future<Output = Response<Bytes>> + Send + 'static,
{
    fn new(
        stream: TcpStream,
        caller: SocketAddr,
        holder: Holder,
        state: &'a State,
        handler: &'a H,
    ) -> Self {
        let limits = &state.limits;
        let framing = RequestFraming::new(FramingLimits {
            max_head_bytes: limits.max_head_bytes,
            max_headers: limits.max_headers,
            max_body_bytes: limits.max_body_bytes,
        });
        Self {
            stream,
            caller,
            holder,
            state,
            handler,
            framing,
            running: FuturesOrdered::new(),
            running_bytes: 0,
            completed_bytes: Arc::default(),
            largest_response: 0,
            unsent: Unsent::default(),
            violation: None,
            stop_when_idle: false,
            is_closing: false,
            read_timer: DeadlineTimer::default(),
            read_wait_start: Instant::now(),
            position: Position::BetweenRequests,
            write_timer: DeadlineTimer::default(),
            write_blocked_since: None,
            written_while_blocked: 0,
        }
    }

    fn limits(&self) -> &'a Limits {
        &self.state.limits
    }

    /// Starts requests, collects responses, writes and reads until no more progress is possible.
    fn poll(&mut self, cx: &mut Context<'_>) -> Poll<ConnectionEnd> {
        loop {
            if self.holder.is_leaving(cx) {
                return Poll::Ready(self.end_without_memory());
            }
            self.start_requests();
            let collected = self.collect_responses(cx);
            if self.write(cx).is_err() {
                return Poll::Ready(ConnectionEnd::Immediate);
            }
            self.record_holding();
            if let Some(end) = self.connection_end() {
                return Poll::Ready(end);
            }
            match self.read(cx) {
                Poll::Ready(Ok(())) => {}
                Poll::Ready(Err(end)) => return Poll::Ready(end),
                Poll::Pending if collected || self.can_start() => {}
                Poll::Pending => {
                    self.holder.set_activity(self.activity());
                    return Poll::Pending;
                }
            }
        }
    }

    /// Returns how a connection ends whose memory is needed. A request that is not complete has not
    /// run, and nothing else is in progress if it is the only one.
    fn end_without_memory(&self) -> ConnectionEnd {
        let is_only_request = self.running.is_empty()
            && self.unsent.is_empty()
            && self.framing.received_count() == 0
            && self.position != Position::BetweenRequests;
        match is_only_request {
            true => ConnectionEnd::Rejected(Violation::NoMemory),
            false => ConnectionEnd::Immediate,
        }
    }

    fn held_bytes(&self) -> usize {
        self.framing.partial_bytes()
            + self.framing.received_bytes()
            + self.running_bytes
            + self.completed_bytes.load(Ordering::Relaxed)
            + self.unsent.held_bytes()
    }

    fn record_holding(&mut self) {
        self.holder.set_activity(self.activity());
        self.holder.set_bytes(self.held_bytes() as u64);
    }

    fn activity(&self) -> Activity {
        let is_ahead = self.framing.partial_bytes() + self.framing.received_bytes();
        if !self.unsent.is_empty() || self.completed_bytes.load(Ordering::Relaxed) > 0 {
            Activity::Sending
        } else if !self.running.is_empty() && is_ahead <= self.running_bytes {
            Activity::Running
        } else if self.running.is_empty()
            && self.position == Position::BetweenRequests
            && self.framing.received_count() == 0
        {
            Activity::Idle
        } else {
            Activity::Receiving
        }
    }

    /// Returns whether the next complete request can be started. None is started while the caller
    /// doesn't read its responses, and none beside a running one while memory is scarce.
    fn can_start(&self) -> bool {
        let expected = self.running.len() * self.largest_response;
        let fits = self.running.is_empty()
            || (expected < MAX_EXPECTED_BYTES && !self.state.buffers.is_scarce());
        !self.is_closing
            && self.framing.received_count() > 0
            && self.running.len() < self.limits().max_pipelined
            && self.write_blocked_since.is_none()
            && fits
    }

    fn start_requests(&mut self) {
        while self.can_start() {
            let Some(received) = self.framing.take_request() else {
                return;
            };
            self.start_request(received);
        }
    }

    fn start_request(&mut self, received: ReceivedRequest) {
        let close_after = received.close_after;
        let received_bytes = received.held_bytes;
        let (mut parts, body) = received.request.into_parts();
        remove_hop_by_hop(&mut parts.headers);
        parts.headers.remove(EXPECT);
        parts.extensions.insert(CallerAddress(self.caller));
        let method = parts.method.clone();
        let response = (self.handler)(http::Request::from_parts(parts, body));
        let request_bytes = received_bytes + size_of_val(&response);
        self.running_bytes += request_bytes;
        let completed_bytes = self.completed_bytes.clone();
        self.running.push_back(Box::pin(async move {
            let response = response.await;
            completed_bytes.fetch_add(response.body().len(), Ordering::Relaxed);
            CompletedResponse {
                response,
                method,
                close_after,
                request_bytes,
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
            let response_bytes = completed.response.body().len();
            self.completed_bytes
                .fetch_sub(response_bytes, Ordering::Relaxed);
            self.running_bytes -= completed.request_bytes;
            self.largest_response = self.largest_response.max(response_bytes);
            self.holder.set_served();
            // A caller repeats the requests that follow a response with `connection: close`, so
            // only the last response may carry it.
            let is_last = self.running.is_empty() && self.framing.received_count() == 0;
            let is_draining = self.state.draining.load(Ordering::SeqCst);
            self.is_closing = completed.close_after || (is_last && is_draining);
            let response = apply_framing(completed.response, &completed.method);
            self.unsent.push_response(response, self.is_closing);
            self.read_wait_start = Instant::now();
            collected = true;
        }
        collected
    }

    /// Writes as much of `unsent` as the socket accepts. Fails if the write timeout has passed.
    fn write(&mut self, cx: &mut Context<'_>) -> io::Result<()> {
        if self.unsent.is_empty() && self.running.is_empty() && self.framing.take_expectation() {
            self.unsent.push(CONTINUE);
        }
        while !self.unsent.is_empty() {
            match Pin::new(&mut self.stream).poll_write(cx, self.unsent.front()) {
                Poll::Ready(Ok(0)) => return Err(io::ErrorKind::WriteZero.into()),
                Poll::Ready(Ok(count)) => {
                    self.unsent.advance(count);
                    self.holder.record_moved(count);
                    self.written_while_blocked += count;
                    if self.written_while_blocked >= MIN_WRITTEN_BYTES {
                        self.write_blocked_since = None;
                    }
                    self.read_wait_start = Instant::now();
                }
                Poll::Ready(Err(error)) => return Err(error),
                Poll::Pending => return self.check_write_stall(cx),
            }
        }
        self.write_blocked_since = None;
        Ok(())
    }

    fn check_write_stall(&mut self, cx: &mut Context<'_>) -> io::Result<()> {
        let since = match self.write_blocked_since {
            Some(since) => since,
            None => {
                self.written_while_blocked = 0;
                *self.write_blocked_since.insert(Instant::now())
            }
        };
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

    /// Reads once. Returns `Pending` if no bytes are available, if reading is suspended because the
    /// connection is closing, too much is queued or the caller doesn't read its responses, or if
    /// the body waits for memory.
    fn read(&mut self, cx: &mut Context<'_>) -> Poll<Result<(), ConnectionEnd>> {
        let queued_bytes = self.framing.received_bytes() + self.running_bytes;
        // Between requests, reading goes on, since it shows that the caller has left.
        let is_ahead = self.position != Position::BetweenRequests;
        if self.violation.is_some()
            || self.is_closing
            || self.write_blocked_since.is_some()
            || self.framing.received_count() >= MAX_QUEUED_REQUESTS
            || (queued_bytes >= MAX_QUEUED_BYTES && is_ahead)
        {
            return Poll::Pending;
        }
        let growth = self.framing.body_growth(READ_BYTES);
        if growth > 0 {
            let grown = (self.held_bytes() + growth) as u64;
            match self.holder.poll_grow(grown, cx) {
                Poll::Ready(Growth::Granted) => {}
                Poll::Ready(Growth::Refused) => return Poll::Ready(Err(self.end_without_memory())),
                Poll::Pending => return self.poll_read_timeout(cx),
            }
        }
        let mut buf = [0; READ_BYTES];
        match Pin::new(&mut self.stream).poll_read(cx, &mut buf) {
            Poll::Ready(Ok(0) | Err(_)) => Poll::Ready(Err(ConnectionEnd::Immediate)),
            Poll::Ready(Ok(count)) => {
                self.holder.record_moved(count);
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

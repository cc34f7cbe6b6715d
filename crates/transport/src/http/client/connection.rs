//! A connection to an upstream, driven by hyper.

use std::collections::VecDeque;
use std::future::{Future, poll_fn};
use std::io;
use std::net::SocketAddr;
use std::pin::{Pin, pin};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::task::{Context, Poll, ready};
use std::time::Duration;

use async_std::net::TcpStream;
use bytes::Bytes;
use futures::io::{AsyncRead, AsyncWrite};
use http::header::TRANSFER_ENCODING;
use http::{HeaderValue, Request, Response};
use http_body_util::Full;
use hyper::client::conn::http1;
use sycamoreflow_protocol::call::FINAL_STATUSES;
use sycamoreflow_state::verdict::{Failure, Reason};

use super::Limits;
use super::body::{BodyBudget, read_body};
use crate::http::adapter::HyperIo;
use crate::http::headers::remove_hop_by_hop;

/// Minimum size that hyper accepts for its read buffer.
const MIN_HYPER_BUFFER: usize = 8 * 1024;

/// Number of bytes that may arrive before the end of the head of a response, as a multiple of the
/// maximum size of a head. It leaves room for interim responses (1xx), which precede the response
/// and whose number is not limited otherwise.
const HEAD_BYTES_FACTOR: u64 = 4;

/// Fraction of the `Keep-Alive` timeout for which a connection is reused. The margin is needed
/// since the peer's timeout starts earlier than ours.
const KEEP_ALIVE_FRACTION: f64 = 0.8;

/// Number of requests whose echoed header is remembered. A late second response arrives in place of
/// the next response, and a response to another request ends the connection, so one would do if
/// upstreams were never later than that.
const MAX_CARRIED: usize = 8;

type Driver = http1::Connection<HyperIo<CountedStream>, Full<Bytes>>;

/// Why an exchange ended without a response.
pub(super) enum ExchangeError {
    /// The connection was closed before hyper accepted the request, which is returned.
    Unsent(Box<Request<Full<Bytes>>>),
    /// The exchange failed. [`TrafficSnapshot::failure`] says whether bytes were written.
    Failed(Reason),
}

/// A connection to an upstream that carries one request at a time.
pub(super) struct Connection {
    pub(super) address: SocketAddr,
    /// Time for which the connection may be idle according to the peer's `Keep-Alive` header, less
    /// a margin. `None` if the peer sent none.
    pub(super) idle_limit: Option<Duration>,
    sender: http1::SendRequest<Full<Bytes>>,
    /// `None` once the connection is closed.
    driver: Option<Pin<Box<Driver>>>,
    counters: Arc<Counters>,
    /// Values of the echoed header in the latest requests, the last one most recent.
    carried: VecDeque<HeaderValue>,
}

struct Counters {
    read: AtomicU64,
    written: AtomicU64,
    /// Value of `read` from which reading fails.
    max_read: AtomicU64,
}

impl Counters {
    fn new() -> Self {
        Self {
            read: AtomicU64::new(0),
            written: AtomicU64::new(0),
            max_read: AtomicU64::new(u64::MAX),
        }
    }

    /// Makes reading fail after this number of further bytes.
    fn limit_reads(&self, bytes: u64) {
        let read = self.read.load(Ordering::Relaxed);
        let limit = read.saturating_add(bytes);
        self.max_read.store(limit, Ordering::Relaxed);
    }

    fn remove_read_limit(&self) {
        self.max_read.store(u64::MAX, Ordering::Relaxed);
    }
}

/// Snapshot of a connection's byte counters, to detect what was read and written since.
pub(super) struct TrafficSnapshot {
    counters: Arc<Counters>,
    read_before: u64,
    written_before: u64,
}

impl TrafficSnapshot {
    pub(super) fn has_read_since_start(&self) -> bool {
        self.counters.read.load(Ordering::Relaxed) != self.read_before
    }

    /// Returns the failure of an exchange. The verdict is `NotRun` if no byte was written since the
    /// snapshot.
    pub(super) fn failure(&self, reason: Reason) -> Failure {
        if self.counters.written.load(Ordering::Relaxed) == self.written_before {
            return Failure::not_run(reason);
        }
        Failure::may_have_run(reason)
    }
}

impl Connection {
    /// Opens a connection. Returns `None` if connecting fails.
    pub(super) async fn open(address: SocketAddr, limits: &Limits) -> Option<Self> {
        let stream = TcpStream::connect(address).await.ok()?;
        stream.set_nodelay(true).ok()?;
        let counters = Arc::new(Counters::new());
        let stream = CountedStream {
            stream,
            counters: counters.clone(),
        };
        let (sender, driver) = http1::Builder::new()
            .max_headers(limits.max_headers)
            .max_buf_size(limits.max_head_bytes.max(MIN_HYPER_BUFFER))
            .handshake(HyperIo(stream))
            .await
            .ok()?;
        Some(Self {
            address,
            idle_limit: None,
            sender,
            driver: Some(Box::pin(driver)),
            counters,
            carried: VecDeque::new(),
        })
    }

    /// Records that the connection carries a request with this value of the echoed header.
    pub(super) fn record_carried(&mut self, value: HeaderValue) {
        if self.carried.len() >= MAX_CARRIED {
            self.carried.pop_front();
        }
        self.carried.push_back(value);
    }

    /// Returns whether one of the latest requests on the connection had this value of the echoed
    /// header.
    pub(super) fn has_carried(&self, value: &HeaderValue) -> bool {
        self.carried.contains(value)
    }

    pub(super) fn traffic_snapshot(&self) -> TrafficSnapshot {
        TrafficSnapshot {
            counters: self.counters.clone(),
            read_before: self.counters.read.load(Ordering::Relaxed),
            written_before: self.counters.written.load(Ordering::Relaxed),
        }
    }

    /// Returns whether an idle connection can carry a request: the peer has neither closed it nor
    /// sent unsolicited bytes.
    pub(super) async fn is_alive(&mut self) -> bool {
        poll_fn(|cx| {
            self.drive(cx);
            Poll::Ready(())
        })
        .await;
        self.is_reusable()
    }

    /// Returns whether the connection is open and has no exchange in progress.
    pub(super) fn is_reusable(&self) -> bool {
        self.driver.is_some() && self.sender.is_ready()
    }

    /// Sends a request and reads the complete response. Dropping the future closes the connection.
    pub(super) async fn exchange(
        mut self,
        request: Request<Full<Bytes>>,
        limits: &Limits,
        budget: &BodyBudget,
    ) -> Result<(Response<Bytes>, Self), ExchangeError> {
        let max_head_bytes = limits.max_head_bytes as u64 * HEAD_BYTES_FACTOR;
        self.counters.limit_reads(max_head_bytes);
        let response_future = pin!(self.sender.try_send_request(request));
        let driver = &mut self.driver;
        let response = drive_until(driver, response_future)
            .await
            .map_err(|mut error| {
                let reason = failure_reason(error.error());
                match error.take_message() {
                    Some(request) => ExchangeError::Unsent(Box::new(request)),
                    None => ExchangeError::Failed(reason),
                }
            })?;
        self.counters.remove_read_limit();
        let (mut parts, body) = response.into_parts();
        // hyper skips interim responses except 101, and accepts statuses up to 999.
        let is_final = FINAL_STATUSES.contains(&parts.status.as_u16());
        if !is_final || !has_supported_coding(&parts) {
            return Err(ExchangeError::Failed(Reason::BadAnswer));
        }
        let body = pin!(read_body(body, limits.max_body_bytes, budget));
        let body = drive_until(driver, body)
            .await
            .map_err(ExchangeError::Failed)?;
        // Polls the driver once more, so that it completes the exchange and accepts the next one.
        self.is_alive().await;
        self.idle_limit = idle_limit(&parts).or(self.idle_limit);
        remove_hop_by_hop(&mut parts.headers);
        parts.extensions.clear();
        Ok((Response::from_parts(parts, body), self))
    }

    fn drive(&mut self, cx: &mut Context<'_>) {
        poll_driver(&mut self.driver, cx);
    }
}

fn poll_driver(driver: &mut Option<Pin<Box<Driver>>>, cx: &mut Context<'_>) {
    let Some(active) = driver else {
        return;
    };
    // The result is ignored: an exchange in progress reports the error itself, and an idle
    // connection is not reused.
    if active.as_mut().poll(cx).is_ready() {
        *driver = None;
    }
}

/// Drives the connection until a future that depends on it completes.
async fn drive_until<F: Future + Unpin>(
    driver: &mut Option<Pin<Box<Driver>>>,
    mut future: F,
) -> F::Output {
    poll_fn(|cx| {
        if let Poll::Ready(output) = Pin::new(&mut future).poll(cx) {
            return Poll::Ready(output);
        }
        poll_driver(driver, cx);
        Pin::new(&mut future).poll(cx)
    })
    .await
}

/// Returns whether hyper decodes the transfer coding of a response. With any other coding, the body
/// would be passed on encoded.
fn has_supported_coding(parts: &http::response::Parts) -> bool {
    let mut codings = parts.headers.get_all(TRANSFER_ENCODING).iter();
    match (codings.next(), codings.next()) {
        (None, _) => true,
        (Some(coding), None) => coding.as_bytes().eq_ignore_ascii_case(b"chunked"),
        _ => false,
    }
}

/// Returns the time for which a connection may be idle according to its `Keep-Alive` header.
fn idle_limit(parts: &http::response::Parts) -> Option<Duration> {
    let value = parts.headers.get("keep-alive")?.to_str().ok()?;
    let mut parameters = value.split(',').map(str::trim);
    let timeout = parameters.find_map(|parameter| parameter.strip_prefix("timeout="))?;
    let seconds: u64 = timeout.parse().ok()?;
    Some(Duration::from_secs(seconds).mul_f64(KEEP_ALIVE_FRACTION))
}

pub(super) fn failure_reason(error: &hyper::Error) -> Reason {
    let source = std::error::Error::source(error);
    let io_error = source.and_then(|source| source.downcast_ref::<io::Error>());
    let is_over_limit = io_error.is_some_and(|e| e.kind() == io::ErrorKind::InvalidData);
    if error.is_parse() || is_over_limit {
        return Reason::BadAnswer;
    }
    Reason::ConnectionLost
}

/// Socket that counts the bytes read and written.
struct CountedStream {
    stream: TcpStream,
    counters: Arc<Counters>,
}

impl CountedStream {
    fn count_written(&self, written: Poll<io::Result<usize>>) -> Poll<io::Result<usize>> {
        let count = ready!(written)?;
        self.counters
            .written
            .fetch_add(count as u64, Ordering::Relaxed);
        Poll::Ready(Ok(count))
    }
}

impl AsyncRead for CountedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        let read = self.counters.read.load(Ordering::Relaxed);
        if read >= self.counters.max_read.load(Ordering::Relaxed) {
            let error = "no response after the maximum number of bytes";
            return Poll::Ready(Err(io::Error::new(io::ErrorKind::InvalidData, error)));
        }
        let count = ready!(Pin::new(&mut self.stream).poll_read(cx, buf))?;
        self.counters
            .read
            .fetch_add(count as u64, Ordering::Relaxed);
        Poll::Ready(Ok(count))
    }
}

impl AsyncWrite for CountedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write(cx, buf);
        self.count_written(written)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write_vectored(cx, bufs);
        self.count_written(written)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_close(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_close(cx)
    }
}

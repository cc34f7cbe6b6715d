//! One connection of a caller.

use std::future::Future;
use std::io;
use std::net::{Shutdown, SocketAddr};
use std::pin::pin;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use async_std::future::timeout;
use async_std::net::TcpStream;
use async_std::task;
use bytes::Bytes;
use futures::future::{Either, select};
use futures::{AsyncReadExt, AsyncWriteExt};
use http::header::{CONNECTION, CONTENT_LENGTH, EXPECT, HeaderValue};
use http::{Method, Request, Response, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;

use super::{CallerAddress, Signals, State, closed};
use crate::http::adapter::HyperIo;
use crate::http::framing::{FramingLimits, Violation};
use crate::http::guard::{Guard, GuardTimes, Progress};
use crate::http::headers::remove_hop_by_hop;

/// Bytes and time that are spent on reading what a rejected caller still sends. Without this, the
/// system resets the connection and the caller may lose the answer that says why.
const LINGER_BYTES: usize = 256 * 1024;
const LINGER_TIME: Duration = Duration::from_millis(500);

/// hyper's buffer for a head must be at least this large.
const MIN_HYPER_BUFFER: usize = 8 * 1024;

pub(super) struct Connection<H> {
    pub(super) stream: TcpStream,
    pub(super) caller: SocketAddr,
    pub(super) state: Arc<State>,
    pub(super) handler: Arc<H>,
}

impl<H, F> Connection<H>
where
    H: Fn(Request<Bytes>) -> F + Send + Sync + 'static,
    F: Future<Output = Response<Bytes>> + Send + 'static,
{
    /// Serves requests until the connection ends.
    pub(super) async fn serve(self, signals: Signals) {
        // Fails only if the connection has already ended.
        let _ = self.stream.set_nodelay(true);
        let progress = Progress::default();
        self.run_requests(&progress, &signals).await;
        if let Some(violation) = progress.violation() {
            // Fails if the caller is gone.
            let _ = timeout(
                self.state.limits.write_stall,
                reject(&self.stream, violation),
            )
            .await;
        }
    }

    async fn run_requests(&self, progress: &Progress, signals: &Signals) {
        let limits = &self.state.limits;
        let guard = Guard::new(
            self.stream.clone(),
            FramingLimits {
                max_head_bytes: limits.max_head_bytes,
                max_headers: limits.max_headers,
                max_body_bytes: limits.max_body_bytes,
            },
            GuardTimes {
                idle: limits.idle_time,
                head: limits.head_time,
                body: limits.body_time,
                write_stall: limits.write_stall,
            },
            progress.clone(),
        );
        let service = service_fn(|request| self.answer(request, progress));
        let mut connection = pin!(
            http1::Builder::new()
                .keep_alive(true)
                .max_headers(limits.max_headers)
                .max_buf_size(limits.max_head_bytes.max(MIN_HYPER_BUFFER))
                .serve_connection(HyperIo(guard), service)
        );
        let drained = pin!(async {
            closed(&signals.drain).await;
            // Requests that arrive in this time are still answered, with `connection: close`.
            task::sleep(limits.drain_idle).await;
        });
        // Errors end the connection; the caller has gone or is told below.
        if let Either::Right(_) = select(connection.as_mut(), drained).await {
            connection.as_mut().graceful_shutdown();
            let _ = connection.await;
        }
    }

    async fn answer(
        &self,
        request: Request<Incoming>,
        progress: &Progress,
    ) -> Result<Response<Full<Bytes>>, hyper::Error> {
        let (mut parts, body) = request.into_parts();
        let body = body.collect().await?.to_bytes();
        remove_hop_by_hop(&mut parts.headers);
        parts.headers.remove(EXPECT);
        parts.extensions.clear();
        parts.extensions.insert(CallerAddress(self.caller));
        let method = parts.method.clone();
        let response = (self.handler)(Request::from_parts(parts, body)).await;
        progress.answered();
        let mut response = frame(response, &method);
        if self.state.draining.load(Ordering::SeqCst) {
            let close = HeaderValue::from_static("close");
            response.headers_mut().insert(CONNECTION, close);
        }
        Ok(response.map(Full::new))
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
    }
    Response::from_parts(parts, body)
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

//! HTTP/1.1 server for callers.
//!
//! The handler is called only after a request was received completely and its framing is
//! unambiguous. A connection runs up to [`Limits::max_pipelined`] requests at a time and sends the
//! responses in the order of the requests. When the caller closes its connection, the futures of
//! its handlers are dropped.

use std::fmt;
use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::pin::pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::time::Duration;

use async_lock::Semaphore;
use async_std::channel;
use async_std::future::timeout;
use async_std::net::{TcpListener, TcpStream};
use async_std::task;
use bytes::Bytes;
use futures::future::{Either, select};
use http::{Request, Response};

pub(super) use self::closing::linger;
use self::connection::Connection;

use crate::buffers::Buffers;

mod closing;
mod connection;
#[cfg(test)]
pub(crate) mod tests;
mod unsent;

/// Delay before the next `accept` after one has failed, for example for lack of file descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Time to wait, when a drain starts, for a connection attempt to appear in the accept queue.
const ACCEPT_QUEUE_TIMEOUT: Duration = Duration::from_millis(1);

/// Maximum time that a drain waits for aborted connections to end, so that their requests are
/// logged before the process exits.
const ABORT_TIMEOUT: Duration = Duration::from_millis(50);

/// Size and time limits of a server.
#[derive(Clone, Debug)]
pub struct Limits {
    /// Maximum number of open connections. Beyond it, idle and stalled ones are closed in favour
    /// of new ones.
    pub max_connections: usize,
    /// Maximum size of a request's head in bytes.
    pub max_head_bytes: usize,
    /// Maximum number of headers of a request.
    pub max_headers: usize,
    /// Maximum size of a request's body in bytes.
    pub max_body_bytes: u64,
    /// Maximum number of requests of one connection that run concurrently. With 1, requests run in
    /// the order in which the caller sent them.
    pub max_pipelined: usize,
    /// Time for which a connection may be idle between requests.
    pub idle_timeout: Duration,
    /// Time limit for receiving a head, from its first byte.
    pub head_timeout: Duration,
    /// Time limit for receiving a body, from the end of its head.
    pub body_timeout: Duration,
    /// Time after which the connection of a caller that reads nothing of its response is closed.
    pub write_stall_timeout: Duration,
    /// Time for which an idle connection stays open after a drain has started, since a request may
    /// already be in transit on it.
    pub drain_idle_timeout: Duration,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            max_connections: 4096,
            max_head_bytes: 16 * 1024,
            max_headers: 100,
            max_body_bytes: 1024 * 1024,
            max_pipelined: 1,
            idle_timeout: Duration::from_secs(60),
            head_timeout: Duration::from_secs(5),
            body_timeout: Duration::from_secs(10),
            write_stall_timeout: Duration::from_secs(10),
            drain_idle_timeout: Duration::from_millis(500),
        }
    }
}

/// Socket address of the caller, stored in the extensions of each request passed to the handler.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallerAddress(pub SocketAddr);

/// Outcome of a drain.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DrainOutcome {
    /// Number of connections that were still open at the time limit and were aborted.
    pub aborted_connections: usize,
}

/// A running server. Dropping the handle stops the server and aborts all connections.
pub struct ServerHandle {
    address: SocketAddr,
    state: Arc<State>,
    drain: channel::Sender<()>,
    abort: channel::Sender<()>,
    finished: channel::Receiver<()>,
}

/// State shared by the connections of a server.
struct State {
    limits: Limits,
    buffers: Buffers,
    /// Number of this server in the account of `buffers`.
    group: u64,
    connections: AtomicUsize,
    draining: AtomicBool,
}

/// Signals to the connections. A signal is given by closing its channel.
#[derive(Clone)]
struct Signals {
    drain: channel::Receiver<()>,
    abort: channel::Receiver<()>,
    /// Dropped when the connection ends; the server has finished when all clones are dropped.
    _finished: channel::Sender<()>,
}

/// Serves requests on a listener as [`serve_with`] does, without a bound on memory. It is meant for
/// tests and for callers that are trusted.
///
/// # Errors
///
/// Fails if the address of the listener cannot be determined.
pub fn serve<H, F>(listener: TcpListener, limits: Limits, handler: H) -> io::Result<ServerHandle>
where
    H: Fn(Request<Bytes>) -> F + Send + Sync + 'static,
    F: Future<Output = Response<Bytes>> + Send + 'static,
{
    serve_with(listener, limits, Buffers::unbounded(), handler)
}

/// Serves requests on a listener until the handle is drained or dropped. What its connections hold
/// counts towards `buffers`.
///
/// The handler receives complete requests without hop-by-hop headers.
///
/// # Errors
///
/// Fails if the address of the listener cannot be determined.
pub fn serve_with<H, F>(
    listener: TcpListener,
    limits: Limits,
    buffers: Buffers,
    handler: H,
) -> io::Result<ServerHandle>
where
    H: Fn(Request<Bytes>) -> F + Send + Sync + 'static,
    F: Future<Output = Response<Bytes>> + Send + 'static,
{
    let address = listener.local_addr()?;
    let state = Arc::new(State {
        limits,
        group: buffers.new_group(),
        buffers,
        connections: AtomicUsize::new(0),
        draining: AtomicBool::new(false),
    });
    let (drain, drain_signal) = channel::bounded(1);
    let (abort, abort_signal) = channel::bounded(1);
    let (finished_signal, finished) = channel::bounded(1);
    let signals = Signals {
        drain: drain_signal,
        abort: abort_signal,
        _finished: finished_signal,
    };
    task::spawn(accept_loop(
        listener,
        state.clone(),
        signals,
        Arc::new(handler),
    ));
    Ok(ServerHandle {
        address,
        state,
        drain,
        abort,
        finished,
    })
}

impl ServerHandle {
    /// Returns the address that the server listens on.
    pub fn local_addr(&self) -> SocketAddr {
        self.address
    }

    /// Returns the number of open connections.
    pub fn connections(&self) -> usize {
        self.state.connections.load(Ordering::Relaxed)
    }

    /// Stops accepting connections and completes the requests in progress; the last response of
    /// each connection carries `connection: close`. Returns when all connections have ended, or
    /// after `limit`, when the remaining connections are aborted.
    pub async fn drain(&self, limit: Duration) -> DrainOutcome {
        self.state.draining.store(true, Ordering::SeqCst);
        self.drain.close();
        let finished = timeout(limit, self.finished.recv()).await;
        if finished.is_ok() {
            return DrainOutcome {
                aborted_connections: 0,
            };
        }
        let aborted_connections = self.connections();
        self.abort.close();
        let _ = timeout(ABORT_TIMEOUT, self.finished.recv()).await;
        DrainOutcome {
            aborted_connections,
        }
    }
}

impl Drop for ServerHandle {
    fn drop(&mut self) {
        self.drain.close();
        self.abort.close();
    }
}

impl fmt::Debug for ServerHandle {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("ServerHandle")
            .field("address", &self.address)
            .field("connections", &self.connections())
            .finish_non_exhaustive()
    }
}

async fn accept_loop<H, F>(
    listener: TcpListener,
    state: Arc<State>,
    signals: Signals,
    handler: Arc<H>,
) where
    H: Fn(Request<Bytes>) -> F + Send + Sync + 'static,
    F: Future<Output = Response<Bytes>> + Send + 'static,
{
    let max_connections = state.limits.max_connections;
    let max_connections = max_connections.min(state.buffers.max_connections());
    let semaphore = Arc::new(Semaphore::new(max_connections));
    let spawn = |stream: TcpStream, caller: SocketAddr, permit| {
        let connection = Connection {
            stream,
            caller,
            holder: state.buffers.open(state.group),
            state: state.clone(),
            handler: handler.clone(),
        };
        let guard = ConnectionGuard::new(state.clone());
        let abort = signals.abort.clone();
        let signals = signals.clone();
        task::spawn(async move {
            let serving = pin!(connection.serve(signals));
            let aborted = pin!(wait_closed(&abort));
            select(serving, aborted).await;
            drop((guard, permit));
        });
    };
    let accepting = async {
        loop {
            match listener.accept().await {
                Ok((stream, caller)) => {
                    let permit = state.buffers.place(state.group, &semaphore).await;
                    spawn(stream, caller, permit);
                }
                Err(error) => {
                    metrics::counter!("sycamoreflow_accept_failures_total").increment(1);
                    tracing::debug!(%error, "failed to accept a connection of a caller");
                    task::sleep(ACCEPT_RETRY_DELAY).await;
                }
            }
        }
    };
    if let Either::Left((never, _)) =
        select(pin!(accepting), pin!(wait_closed(&signals.drain))).await
    {
        return never;
    }
    // Connections in the system's accept queue may carry requests, and closing the listener would
    // reset them.
    while let Some(permit) = semaphore.try_acquire_arc() {
        match timeout(ACCEPT_QUEUE_TIMEOUT, listener.accept()).await {
            Ok(Ok((stream, caller))) => spawn(stream, caller, permit),
            _ => break,
        }
    }
}

/// Waits until a signal's channel is closed. No message is ever sent on it.
async fn wait_closed(signal: &channel::Receiver<()>) {
    // `recv` returns an error once the channel is closed.
    let _ = signal.recv().await;
}

/// Counts an open connection until it is dropped.
struct ConnectionGuard(Arc<State>);

impl ConnectionGuard {
    fn new(state: Arc<State>) -> Self {
        state.connections.fetch_add(1, Ordering::Relaxed);
        Self(state)
    }
}

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        self.0.connections.fetch_sub(1, Ordering::Relaxed);
    }
}

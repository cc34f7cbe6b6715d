//! HTTP/1.1 server for callers.
//!
//! A request is handed to the handler only when it has arrived whole and its framing is
//! unambiguous. A connection runs up to [`Limits::max_pipelined`] requests at a time and sends the
//! responses in the order of the requests. The handlers' futures are dropped when the caller closes
//! its connection.

use std::fmt;
use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::pin::pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::time::Duration;

use async_std::channel;
use async_std::future::timeout;
use async_std::net::{TcpListener, TcpStream};
use async_std::task;
use bytes::Bytes;
use futures::future::{Either, select};
use http::{Request, Response};

use self::connection::Connection;
pub(super) use self::connection::linger;

mod connection;
#[cfg(test)]
pub(crate) mod tests;

/// Time to wait after the system refused a new connection, for example for lack of descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Time that a connection attempt may take to show up in the accept queue when a drain starts.
const ACCEPT_QUEUE_TIMEOUT: Duration = Duration::from_millis(1);

/// Size and time limits of a server.
#[derive(Clone, Debug)]
pub struct Limits {
    /// Largest number of connections. Further ones wait in the accept queue of the system.
    pub max_connections: usize,
    /// Largest head of a request in bytes.
    pub max_head_bytes: usize,
    /// Largest number of headers of a request.
    pub max_headers: usize,
    /// Largest body of a request in bytes.
    pub max_body_bytes: u64,
    /// Requests of one connection that run at the same time. One keeps the order in which a caller
    /// sent them.
    pub max_pipelined: usize,
    /// Time that a connection may be idle between requests.
    pub idle_timeout: Duration,
    /// Time limit for reading a head, from its first byte.
    pub head_timeout: Duration,
    /// Time limit for reading a body, from the end of its head.
    pub body_timeout: Duration,
    /// Time after which a caller that takes no byte of its response is cut off.
    pub write_stall_timeout: Duration,
    /// Time that an idle connection is kept in a drain, since a request may be on its way on it.
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

/// Address of the caller, in the extensions of the requests that a handler receives.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallerAddress(pub SocketAddr);

/// Outcome of a drain.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DrainOutcome {
    /// Connections that were still open at the time limit and were cut.
    pub aborted_connections: usize,
}

/// A running server. Dropping it ends all connections at once.
pub struct ServerHandle {
    address: SocketAddr,
    state: Arc<State>,
    drain: channel::Sender<()>,
    abort: channel::Sender<()>,
    finished: channel::Receiver<()>,
}

/// State that the connections of a server share.
struct State {
    limits: Limits,
    connections: AtomicUsize,
    draining: AtomicBool,
}

/// Signals to a connection. A closed channel means that the signal was given.
#[derive(Clone)]
struct Signals {
    drain: channel::Receiver<()>,
    abort: channel::Receiver<()>,
    /// Tells that the connection has ended, when it is dropped.
    _finished: channel::Sender<()>,
}

/// Serves requests on a listener until the handle is drained or dropped.
///
/// The handler receives whole requests without hop-by-hop headers.
///
/// # Errors
///
/// Fails if the address of the listener cannot be read.
pub fn serve<H, F>(listener: TcpListener, limits: Limits, handler: H) -> io::Result<ServerHandle>
where
    H: Fn(Request<Bytes>) -> F + Send + Sync + 'static,
    F: Future<Output = Response<Bytes>> + Send + 'static,
{
    let address = listener.local_addr()?;
    let state = Arc::new(State {
        limits,
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

    /// Stops accepting connections and finishes requests in progress, whose responses carry
    /// `connection: close`. Returns when all connections have ended or `limit` has passed;
    /// connections that remain are then cut.
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
    let semaphore = Arc::new(async_lock::Semaphore::new(state.limits.max_connections));
    let spawn = |stream: TcpStream, caller: SocketAddr, permit| {
        let connection = Connection {
            stream,
            caller,
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
            let permit = semaphore.acquire_arc().await;
            match listener.accept().await {
                Ok((stream, caller)) => spawn(stream, caller, permit),
                Err(_) => task::sleep(ACCEPT_RETRY_DELAY).await,
            }
        }
    };
    if let Either::Left((never, _)) =
        select(pin!(accepting), pin!(wait_closed(&signals.drain))).await
    {
        return never;
    }
    // Connections that the system has already accepted may carry requests; closing the listener
    // would reset them.
    while let Some(permit) = semaphore.try_acquire_arc() {
        match timeout(ACCEPT_QUEUE_TIMEOUT, listener.accept()).await {
            Ok(Ok((stream, caller))) => spawn(stream, caller, permit),
            _ => break,
        }
    }
}

/// Waits until a channel is closed. Nothing is ever sent on it.
async fn wait_closed(signal: &channel::Receiver<()>) {
    // An error means that the channel is closed.
    let _ = signal.recv().await;
}

/// Counts a connection while it exists.
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

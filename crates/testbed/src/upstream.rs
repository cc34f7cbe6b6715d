//! A simulated upstream, which announces itself, runs requests and counts the runs of each.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use async_std::net::TcpListener;
use async_std::task::{self, JoinHandle};
use bytes::Bytes;
use http::{Request, Response, StatusCode};
use parking_lot::Mutex;
use sycamoreflow_state::endpoint::Announcement;
use sycamoreflow_transport::http::client::{self, Client};
use sycamoreflow_transport::http::server::{self, ServerHandle};

/// Request header with the number of a request, set by the callers of the testbed.
pub const NUMBER_HEADER: &str = "x-request-number";

/// Interval at which an announcement is renewed.
const RENEW_INTERVAL: Duration = Duration::from_secs(2);

/// How an upstream handles requests.
#[derive(Clone, Copy, Debug)]
pub struct Behaviour {
    /// Time that the upstream takes for a request.
    pub service_time: Duration,
    /// Whether the upstream answers every request with status 500.
    pub fails: bool,
}

/// Statistics of the requests that an upstream has received.
#[derive(Debug, Default)]
pub struct Stats {
    calls: AtomicU64,
    runs: Mutex<HashMap<u64, u32>>,
    last_call: Mutex<Option<Instant>>,
}

impl Stats {
    /// Returns the number of requests received.
    pub fn calls(&self) -> u64 {
        self.calls.load(Ordering::Relaxed)
    }

    /// Returns how often each request has run, by the number of the request.
    pub fn runs(&self) -> HashMap<u64, u32> {
        self.runs.lock().clone()
    }

    /// Returns the arrival of the latest request, or `None` if there was none.
    pub fn last_call(&self) -> Option<Instant> {
        *self.last_call.lock()
    }
}

/// Body of a request that crashes every upstream that runs it.
pub const CRASHING_BODY: &[u8] = b"crash";

/// Server of an upstream, or `None` after a crash.
type Server = Arc<Mutex<Option<ServerHandle>>>;

/// A running upstream. Its server stops when it is dropped.
pub struct Upstream {
    address: SocketAddr,
    server: Server,
    stats: Arc<Stats>,
    announcer: Option<JoinHandle<()>>,
}

impl Upstream {
    /// Starts an upstream on a loopback address and announces it at `daemon` until it is killed or
    /// crashes.
    ///
    /// # Errors
    ///
    /// If no address can be bound.
    pub async fn start(
        service: &str,
        version: &str,
        slots: u32,
        behaviour: Behaviour,
        daemon: SocketAddr,
    ) -> eyre::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let stats = Arc::new(Stats::default());
        let handler_stats = stats.clone();
        let server = Server::default();
        let handler_server = server.clone();
        let handle = server::serve(listener, server::Limits::default(), move |req| {
            let stats = handler_stats.clone();
            let server = handler_server.clone();
            async move {
                if req.body() == CRASHING_BODY {
                    stats.calls.fetch_add(1, Ordering::Relaxed);
                    drop(server.lock().take());
                }
                run(&stats, behaviour, &req).await
            }
        })?;
        let address = handle.local_addr();
        *server.lock() = Some(handle);
        let announcement = Announcement {
            service: service.into(),
            version: version.into(),
            address,
            slots,
            health_path: None,
            load_path: None,
        };
        let announcer = {
            let server = server.clone();
            let is_alive = move || server.lock().is_some();
            task::spawn(announce(announcement, daemon, is_alive))
        };
        Ok(Self {
            address,
            server,
            stats,
            announcer: Some(announcer),
        })
    }

    /// Returns the address that the upstream listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns whether a request with the body [`CRASHING_BODY`] has crashed the upstream.
    pub fn has_crashed(&self) -> bool {
        self.server.lock().is_none()
    }

    /// Returns the statistics of the requests received, which are kept after a crash.
    pub fn stats(&self) -> &Arc<Stats> {
        &self.stats
    }

    /// Stops the announcements and the server at once, as in a crash.
    pub async fn kill(mut self) {
        if let Some(announcer) = self.announcer.take() {
            announcer.cancel().await;
        }
        drop(self.server.lock().take());
    }
}

async fn run(stats: &Stats, behaviour: Behaviour, req: &Request<Bytes>) -> Response<Bytes> {
    stats.calls.fetch_add(1, Ordering::Relaxed);
    *stats.last_call.lock() = Some(Instant::now());
    let number = req.headers().get(NUMBER_HEADER);
    let number = number.and_then(|value| value.to_str().ok()?.parse().ok());
    if let Some(number) = number {
        *stats.runs.lock().entry(number).or_default() += 1;
    }
    task::sleep(behaviour.service_time).await;
    let echo = number.map_or_else(String::new, |number: u64| number.to_string());
    let mut response = Response::new(Bytes::from(echo));
    if behaviour.fails {
        *response.status_mut() = StatusCode::INTERNAL_SERVER_ERROR;
    }
    response
}

/// Announces an upstream at `daemon` and renews the announcement while `is_alive` returns `true`. A
/// failed announcement is tried again after 100 ms.
pub async fn announce(announcement: Announcement, daemon: SocketAddr, is_alive: impl Fn() -> bool) {
    let client = Client::new(client::Limits::default());
    let body = serde_json::to_vec(&announcement).unwrap_or_default();
    while is_alive() {
        let request = Request::put("/v1/announcement")
            .header("content-type", "application/json")
            .body(Bytes::from(body.clone()));
        let Ok(request) = request else {
            return;
        };
        let deadline = Instant::now() + Duration::from_secs(1);
        let result = client.send(daemon, request, deadline).await;
        let wait = match result {
            Ok(response) if response.status().is_success() => RENEW_INTERVAL,
            _ => Duration::from_millis(100),
        };
        task::sleep(wait).await;
    }
}

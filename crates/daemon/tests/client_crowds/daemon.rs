//! The daemon under test, with an upstream whose answers are large.

use std::future::Future;
use std::net::SocketAddr;
use std::sync::Mutex;
use std::time::{Duration, Instant};

use async_std::task::{self, JoinHandle};
use bytes::Bytes;
use eyre::ensure;
use http::{Method, Request, Response};
use sycamoreflow_daemon::settings::Settings;
use sycamoreflow_state::endpoint::Announcement;
use sycamoreflow_testbed::mesh::Host;
use sycamoreflow_testbed::process::ProcessMesh;
use sycamoreflow_testbed::{caller, upstream};
use sycamoreflow_transport::http::server::{self, ServerHandle};
use sycamoreflow_transport::listen::listen;

/// Connections that the daemon allows its callers.
pub(crate) const CONNECTIONS: usize = 128;

/// Memory that the daemon may hold for all its clients, in bytes.
const CLIENT_BUFFER_BYTES: usize = 8 << 20;

/// Memory that the daemon may hold for responses that it is reading from upstreams, in bytes.
const RESPONSE_BUFFER_BYTES: usize = 4 << 20;

/// What a connection may take beyond the buffers, in bytes: its task, its timers, its socket.
const CONNECTION_BYTES: usize = 16 << 10;

/// What the daemon may take beyond all that, in bytes: code and tables in use for the first time.
const BASE_BYTES: usize = 8 << 20;

/// Bound on the memory that a crowd adds. Buffers count twice: one that grows is copied, and the
/// allocator keeps free memory for reuse.
pub(crate) const MEMORY_BOUND_KIB: u64 = ((2 * (CLIENT_BUFFER_BYTES + RESPONSE_BUFFER_BYTES)
    + CONNECTIONS * CONNECTION_BYTES
    + BASE_BYTES)
    >> 10) as u64;

/// Bound on the descriptors that a crowd adds: the connections of callers, those to the upstream
/// (one per slot), links and one accepted connection that waits for its place.
pub(crate) const DESCRIPTOR_BOUND: usize = CONNECTIONS + SLOTS as usize + 32;

const SLOTS: u32 = 16;

/// Size in bytes of the upstream's answers to GET.
const ANSWER: usize = 256 << 10;

/// Limit of waits. It is long, so that tests do not fail on a busy machine.
const LIMIT: Duration = Duration::from_secs(60);

const POLL: Duration = Duration::from_millis(50);

const ANSWERS: &str = r#"
mesh = "sfax"

[[tenants]]
name = "grocers"
weight = 1

[[services]]
name = "orders"
version = "v1"

[[routes]]
name = "orders"
service = "orders"
prefix = "/orders"
methods = ["GET", "POST"]
timeout = "20s"
"#;

/// Runs a test while no other one runs.
pub(crate) fn run(test: impl Future<Output = eyre::Result<()>>) -> eyre::Result<()> {
    static ALONE: Mutex<()> = Mutex::new(());
    // A test that failed leaves nothing behind for the next one.
    let _alone = ALONE.lock().unwrap_or_else(|error| error.into_inner());
    task::block_on(test)
}

fn adjust(settings: &mut Settings) {
    let limits = &mut settings.limits;
    limits.body_bytes = 1 << 20;
    limits.response_buffer_bytes = RESPONSE_BUFFER_BYTES;
    limits.connections = CONNECTIONS;
    limits.pipelined = 16;
    limits.queue_ms = 15_000;
    limits.queue_per_slot = 100;
    limits.client_buffer_bytes = CLIENT_BUFFER_BYTES;
}

/// A mesh of four daemons. The last one, which is no control replica, is the target.
pub(crate) struct Target {
    mesh: ProcessMesh,
    _upstream: ServerHandle,
    _announcer: JoinHandle<()>,
}

impl Target {
    const INDEX: usize = 3;

    /// Starts the mesh and waits until the target answers.
    pub(crate) async fn start() -> eyre::Result<Self> {
        let host = |index: usize| Host {
            daemon: format!("sfax-{index}"),
            data_centre: "sfax-a".to_owned(),
        };
        let hosts: Vec<Host> = (0..=Self::INDEX).map(host).collect();
        let program = env!("CARGO_BIN_EXE_sycamoreflowd");
        let mesh = ProcessMesh::start_with(program, "sfax", &hosts, adjust)?;
        let upstream = server::serve(
            listen(([127, 0, 0, 1], 0).into())?,
            server::Limits::default(),
            answer,
        )?;
        let announcement = Announcement {
            service: "orders".into(),
            version: "v1".into(),
            address: upstream.local_addr(),
            slots: SLOTS,
            health_path: None,
            load_path: None,
        };
        let announce = mesh.announce_address(Self::INDEX);
        let announcer = task::spawn(upstream::announce(announcement, announce, || true));
        mesh.operator().approve("crowd", ANSWERS, LIMIT).await?;
        let target = Self {
            mesh,
            _upstream: upstream,
            _announcer: announcer,
        };
        let end = Instant::now() + LIMIT;
        while !target.request().await.is_ok_and(|status| status == 200) {
            ensure!(Instant::now() < end, "the daemon does not answer");
            task::sleep(POLL).await;
        }
        Ok(target)
    }

    pub(crate) fn address(&self) -> SocketAddr {
        self.mesh.calls_address(Self::INDEX)
    }

    /// Sends an ordinary request and returns the status of its answer.
    pub(crate) async fn request(&self) -> eyre::Result<u16> {
        let request = Request::post("/orders").body(Bytes::from_static(b"1 sack"))?;
        let end = Instant::now() + LIMIT;
        let response = caller::client().send(self.address(), request, end).await;
        let response = response.map_err(|failure| eyre::eyre!("no answer: {failure:?}"))?;
        Ok(response.status().as_u16())
    }

    pub(crate) fn resident_memory(&self) -> eyre::Result<u64> {
        self.mesh.resident_memory(Self::INDEX)
    }

    pub(crate) fn peak_memory(&self) -> eyre::Result<u64> {
        self.mesh.peak_memory(Self::INDEX)
    }

    pub(crate) fn open_descriptors(&self) -> eyre::Result<usize> {
        self.mesh.open_descriptors(Self::INDEX)
    }
}

async fn answer(request: Request<Bytes>) -> Response<Bytes> {
    let length = match *request.method() {
        Method::GET => ANSWER,
        _ => 0,
    };
    Response::new(Bytes::from(vec![b'x'; length]))
}

//! Helpers for the process tests: starting a mesh and upstreams, sending calls, and polling for
//! conditions.

use std::future::Future;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use async_lock::Semaphore;
use async_std::task::{self, JoinHandle};
use bytes::Bytes;
use eyre::ensure;
use http::{Request, Response};
use parking_lot::Mutex;
use sycamoreflow_testbed::caller;
use sycamoreflow_testbed::mesh::Host;
use sycamoreflow_testbed::process::{self, ProcessMesh};
use sycamoreflow_testbed::upstream::{Behaviour, Upstream};
use sycamoreflow_transport::http::client::{self, Client};

/// Timeout of waits and calls. It is long, so that tests do not fail on a busy machine.
pub(crate) const LIMIT: Duration = Duration::from_secs(30);

/// Interval between two checks of a condition.
const POLL: Duration = Duration::from_millis(25);

const DATA_CENTRES: [&str; 3] = ["sfax-a", "sfax-b", "sfax-c"];

/// Limits the number of concurrent tests, and thereby of processes. Two tests use at most 26
/// processes, and the whole set takes half the time of a sequential run.
static SLOTS: Semaphore = Semaphore::new(2);

/// Runs a test to completion once a slot is free.
pub(crate) fn run(test: impl Future<Output = eyre::Result<()>>) -> eyre::Result<()> {
    task::block_on(async {
        let _slot = SLOTS.acquire().await;
        test.await
    })
}

/// Starts a mesh with one daemon process per host. The first three are control replicas.
pub(crate) fn mesh(hosts: usize) -> eyre::Result<ProcessMesh> {
    let host = |index: usize| Host {
        daemon: format!("{}-{}", DATA_CENTRES[index % 3], index / 3 + 1),
        data_centre: DATA_CENTRES[index % 3].to_owned(),
    };
    let hosts: Vec<Host> = (0..hosts).map(host).collect();
    ProcessMesh::start(env!("CARGO_BIN_EXE_sycamoreflowd"), "sfax", &hosts)
}

/// Returns answers with the given weight of the only tenant. All else is the same in each of them.
pub(crate) fn answers(weight: usize) -> String {
    format!(
        r#"
mesh = "sfax"

[[tenants]]
name = "grocers"
weight = {weight}

[[services]]
name = "orders"
version = "v1"

[[routes]]
name = "place-order"
service = "orders"
prefix = "/orders"
methods = ["POST"]
timeout = "3s"

[[routes]]
name = "read-orders"
service = "orders"
prefix = "/orders"
methods = ["GET"]
timeout = "1s"
"#
    )
}

/// Approves [`answers`] and waits until they are in force at all daemons. Returns their version.
pub(crate) async fn approve_everywhere(mesh: &ProcessMesh, weight: usize) -> eyre::Result<u64> {
    let operator = mesh.operator();
    let request = format!("setup-{weight}");
    let approved = operator.approve(&request, &answers(weight), LIMIT).await?;
    let version = approved.version.0;
    let all: Vec<usize> = (0..mesh.len()).collect();
    wait_for_version(mesh, &all, version).await?;
    Ok(version)
}

/// Waits until each of the daemons has `version` or a newer one in force.
pub(crate) async fn wait_for_version(
    mesh: &ProcessMesh,
    daemons: &[usize],
    version: u64,
) -> eyre::Result<()> {
    for &index in daemons {
        let what = format!("version {version} at daemon {index}");
        wait_for(&what, || async move {
            mesh.config_version(index).await >= Some(version)
        })
        .await?;
    }
    Ok(())
}

/// Polls until a condition holds.
///
/// # Errors
///
/// If it does not hold within [`LIMIT`]. The error contains `what`.
pub(crate) async fn wait_for<F>(what: &str, mut condition: impl FnMut() -> F) -> eyre::Result<()>
where
    F: Future<Output = bool>,
{
    let end = Instant::now() + LIMIT;
    while !condition().await {
        ensure!(Instant::now() < end, "timed out waiting for: {what}");
        task::sleep(POLL).await;
    }
    Ok(())
}

/// Starts one upstream of the service `orders` next to each of the daemons and waits until calls
/// through every daemon of the mesh succeed.
pub(crate) async fn start_upstreams(
    mesh: &ProcessMesh,
    daemons: &[usize],
    service_time: Duration,
) -> eyre::Result<Vec<Upstream>> {
    let behaviour = Behaviour {
        service_time,
        fails: false,
    };
    let mut upstreams = Vec::new();
    for &index in daemons {
        let announce = mesh.announce_address(index);
        upstreams.push(Upstream::start("orders", "v1", 32, behaviour, announce).await?);
    }
    wait_for_endpoints(mesh, upstreams.len()).await?;
    Ok(upstreams)
}

/// Waits until the control group lists `count` endpoints and calls through every daemon are
/// answered.
async fn wait_for_endpoints(mesh: &ProcessMesh, count: usize) -> eyre::Result<()> {
    let operator = mesh.operator();
    let operator = &operator;
    wait_for("all endpoints", || async move {
        let listed = operator.endpoints(LIMIT).await;
        listed.is_ok_and(|listed| listed.endpoints.len() == count)
    })
    .await?;
    let client = caller::client();
    let client = &client;
    for index in 0..mesh.len() {
        let target = mesh.calls_address(index);
        wait_for(&format!("a call through daemon {index}"), || async move {
            let response = call(client, target, "GET").await;
            response.is_ok_and(|response| response.status() == 200)
        })
        .await?;
    }
    Ok(())
}

/// Sends one call to the service `orders` through the daemon at `target`.
pub(crate) async fn call(
    client: &Client,
    target: SocketAddr,
    method: &str,
) -> eyre::Result<Response<Bytes>> {
    let request = Request::builder()
        .method(method)
        .uri("/orders")
        .body(Bytes::new())?;
    let limit = Instant::now() + LIMIT;
    let response = client.send(target, request, limit).await;
    response.map_err(|failure| eyre::eyre!("no response: {failure:?}"))
}

/// Returns a response header as text, or `None` if it is absent or not ASCII.
pub(crate) fn header<'a>(response: &'a Response<Bytes>, name: &str) -> Option<&'a str> {
    response.headers().get(name)?.to_str().ok()
}

/// Polls the version in force at every daemon and records every decrease.
pub(crate) struct VersionWatch {
    decreases: Arc<Mutex<Vec<String>>>,
    polling: Vec<JoinHandle<()>>,
}

impl VersionWatch {
    /// Starts polling all daemons of a mesh. Polling continues across their restarts.
    pub(crate) fn start(mesh: &ProcessMesh) -> Self {
        let decreases = Arc::new(Mutex::default());
        let addresses = (0..mesh.len()).map(|index| (index, mesh.announce_address(index)));
        let polling = addresses.map(|(index, address)| {
            let decreases = Arc::clone(&decreases);
            task::spawn(poll_version(index, address, decreases))
        });
        Self {
            polling: polling.collect(),
            decreases,
        }
    }

    /// Stops polling.
    ///
    /// # Errors
    ///
    /// If the version of a daemon has decreased.
    pub(crate) async fn finish(self) -> eyre::Result<()> {
        for task in self.polling {
            task.cancel().await;
        }
        let decreases = self.decreases.lock().clone();
        ensure!(decreases.is_empty(), "versions decreased: {decreases:?}");
        Ok(())
    }
}

async fn poll_version(index: usize, address: SocketAddr, decreases: Arc<Mutex<Vec<String>>>) {
    let client = Client::new(client::Limits::default());
    let mut highest = 0.0;
    loop {
        let metric = process::metric(&client, address, "sycamoreflow_view_config_version").await;
        if let Some(version) = metric {
            if version < highest {
                let decrease = format!("daemon {index}: {version} after {highest}");
                decreases.lock().push(decrease);
            }
            highest = highest.max(version);
        }
        task::sleep(POLL).await;
    }
}

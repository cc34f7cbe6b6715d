//! Convergence time of meshes of several sizes, and the costs of their daemons at rest.
//!
//! All daemons are in this process: three of them are control replicas that sync their logs to
//! disk. Each daemon has three witnesses of its version floor.

use std::time::{Duration, Instant};

use async_std::task;
use sycamoreflow_state::ids::ConfigVersion;
use sycamoreflow_testbed::mesh::{Host, Mesh};

use crate::meter::{Meter, resident_kib};
use crate::table::{Measure, Table, measure};

/// Answers with one service.
pub(crate) const ANSWERS: &str = r#"
mesh = "capacity"

[[tenants]]
name = "grocers"
weight = 1

[[services]]
name = "catalogue"
version = "v1"

[[routes]]
name = "stock"
service = "catalogue"
prefix = "/stock"
methods = ["GET"]
timeout = "1s"
"#;

/// Longest wait for a state of the mesh.
pub(crate) const TIMEOUT: Duration = Duration::from_secs(20);

const REPEATS: usize = 2;
const DAEMONS: [usize; 3] = [5, 15, 30];
const CHANGES: usize = 5;
const REST: Duration = Duration::from_secs(3);
const DATA_CENTRES: [&str; 3] = ["sfax-a", "sfax-b", "sfax-c"];

const APPROVAL_TO_IN_FORCE: Measure =
    measure("approval sent to in force everywhere", "daemons", "ms");
const LEADER_CONVERGENCE: Measure =
    measure("convergence as the leader measures it", "daemons", "ms");
const MEMORY: Measure = measure("memory of the mesh", "daemons", "KiB");
const REST_CPU: Measure = measure("processor time of the mesh per second", "daemons", "us");
const REST_BYTES: Measure = measure("control bytes of all daemons per second", "daemons", "B");

/// Returns `count` hosts spread over three data centres.
pub(crate) fn hosts(count: usize) -> Vec<Host> {
    let host = |index: usize| Host {
        daemon: format!("host-{index:02}"),
        data_centre: DATA_CENTRES[index % 3].to_owned(),
    };
    (0..count).map(host).collect()
}

/// Measures meshes of the sizes [`DAEMONS`].
pub(crate) fn convergence(table: &mut Table) -> eyre::Result<()> {
    let before = resident_kib();
    for repeat in 0..REPEATS {
        for count in DAEMONS {
            // Later meshes reuse freed memory, so memory is measured in the first repeat only.
            let before = (repeat == 0).then_some(before);
            task::block_on(measure_mesh(table, count, before))?;
        }
    }
    Ok(())
}

async fn measure_mesh(table: &mut Table, count: usize, before: Option<f64>) -> eyre::Result<()> {
    let size = count as f64;
    let mut mesh = Mesh::start("capacity", &hosts(count)).await?;
    let operator = mesh.operator();
    let first = operator.approve("first", ANSWERS, TIMEOUT).await?;
    wait_until_in_force(&mesh, first.version).await?;
    task::sleep(Duration::from_secs(1)).await;
    if let Some(before) = before {
        table.add(MEMORY, size, resident_kib() - before);
    }

    let bytes = control_bytes(&mesh);
    let meter = Meter::process();
    task::sleep(REST).await;
    table.add(REST_CPU, size, meter.cpu_us() / meter.seconds());
    let used = control_bytes(&mesh) - bytes;
    table.add(REST_BYTES, size, used / meter.seconds());

    for change in 0..CHANGES {
        let timeout = format!("timeout = \"{}ms\"", 1_001 + change);
        let answers = ANSWERS.replace("timeout = \"1s\"", &timeout);
        let start = Instant::now();
        let approved = operator
            .approve(&format!("change-{change}"), &answers, TIMEOUT)
            .await?;
        wait_until_in_force(&mesh, approved.version).await?;
        table.add(
            APPROVAL_TO_IN_FORCE,
            size,
            start.elapsed().as_secs_f64() * 1e3,
        );
        let measured = operator
            .wait_for_convergence(approved.version, count as u64, TIMEOUT)
            .await?;
        table.add(LEADER_CONVERGENCE, size, measured.0 as f64);
    }
    for index in 0..count {
        mesh.kill(index).await;
    }
    Ok(())
}

/// Waits until the version `version` or a later one is in force at every daemon of the mesh.
async fn wait_until_in_force(mesh: &Mesh, version: ConfigVersion) -> eyre::Result<()> {
    let deadline = Instant::now() + TIMEOUT;
    for index in 0..mesh.len() {
        let has = || {
            let view = mesh.daemon(index).and_then(|daemon| daemon.proxy().view());
            view.is_some_and(|view| view.version().config >= version)
        };
        while !has() {
            if Instant::now() > deadline {
                eyre::bail!("daemon {index} does not have version {version} in force");
            }
            task::sleep(Duration::from_millis(1)).await;
        }
    }
    Ok(())
}

/// Returns the bytes of control traffic of all daemons in both directions. Each link is counted at
/// the daemon that opened it.
fn control_bytes(mesh: &Mesh) -> f64 {
    let daemons = (0..mesh.len()).filter_map(|index| mesh.daemon(index));
    let bytes = daemons.map(|daemon| daemon.control_traffic().bytes());
    bytes.map(|b| (b.sent + b.received) as f64).sum()
}

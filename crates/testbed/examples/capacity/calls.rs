//! Costs of calls through one daemon and through two, compared with direct calls.
//!
//! The whole mesh is in this process. The processor time of a daemon is the difference between
//! calls with and without it at the same rate: calls through one daemon, which is entry and owner,
//! compared with direct calls, and calls through two daemons compared with one. The load is
//! open-loop, and latency counts from the time at which a call was due.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use async_std::task;
use bytes::Bytes;
use futures::future::join_all;
use hdrhistogram::Histogram;
use http::Request;
use parking_lot::Mutex;
use sycamoreflow_testbed::caller;
use sycamoreflow_testbed::mesh::Mesh;
use sycamoreflow_testbed::upstream::{Behaviour, Upstream};
use sycamoreflow_transport::http::client::Client;

use crate::convergence::{ANSWERS, TIMEOUT, hosts};
use crate::meter::Meter;
use crate::table::{Measure, Table, measure};

const REPEATS: usize = 3;
const RATES: [u32; 3] = [500, 1_000, 2_000];
const DURATION: Duration = Duration::from_millis(2_500);
const SLOTS: u32 = 256;
/// Longest latency that is recorded, in microseconds.
const MAX_LATENCY_US: u64 = 10_000_000;
/// Index of the host with the upstream. The first three hosts are control replicas.
const OWNER: usize = 3;
/// Index of a host without an upstream.
const ENTRY: usize = 4;

const DIRECT_CPU: Measure = measure("direct: processor time of a call", "calls/s", "us");
const FIRST_DAEMON_CPU: Measure =
    measure("first daemon: processor time of a call", "calls/s", "us");
const SECOND_DAEMON_CPU: Measure =
    measure("second daemon: processor time of a call", "calls/s", "us");
const DIRECT_P50: Measure = measure("direct: latency p50", "calls/s", "us");
const DIRECT_P99: Measure = measure("direct: latency p99", "calls/s", "us");
const ONE_DAEMON_P50: Measure = measure("one daemon: added latency p50", "calls/s", "us");
const ONE_DAEMON_P99: Measure = measure("one daemon: added latency p99", "calls/s", "us");
const TWO_DAEMONS_P50: Measure = measure("two daemons: added latency p50", "calls/s", "us");
const TWO_DAEMONS_P99: Measure = measure("two daemons: added latency p99", "calls/s", "us");
const FAILED: Measure = measure("calls without an answer of status 200", "calls/s", "calls");

/// Measurements of one load.
struct LoadResult {
    cpu_us: f64,
    p50: f64,
    p99: f64,
    failed: u64,
}

/// Measures calls at the rates [`RATES`].
pub(crate) fn calls(table: &mut Table) -> eyre::Result<()> {
    task::block_on(measure_calls(table))
}

async fn measure_calls(table: &mut Table) -> eyre::Result<()> {
    let mesh = Mesh::start("capacity-calls", &hosts(5)).await?;
    let behaviour = Behaviour {
        service_time: Duration::ZERO,
        fails: false,
    };
    let announce = mesh.announce_address(OWNER);
    let upstream = Upstream::start("catalogue", "v1", SLOTS, behaviour, announce).await?;
    let operator = mesh.operator();
    let approved = operator.approve("calls", ANSWERS, TIMEOUT).await?;
    operator
        .wait_for_convergence(approved.version, 5, TIMEOUT)
        .await?;
    let targets = [
        upstream.address(),
        mesh.calls_address(OWNER),
        mesh.calls_address(ENTRY),
    ];
    wait_until_served(&targets).await?;
    for _ in 0..REPEATS {
        for rate in RATES {
            let direct = run_load(targets[0], rate).await?;
            let one_daemon = run_load(targets[1], rate).await?;
            let two_daemons = run_load(targets[2], rate).await?;
            record(table, f64::from(rate), &direct, &one_daemon, &two_daemons);
        }
    }
    upstream.kill().await;
    Ok(())
}

fn record(
    table: &mut Table,
    rate: f64,
    direct: &LoadResult,
    one_daemon: &LoadResult,
    two_daemons: &LoadResult,
) {
    table.add(DIRECT_CPU, rate, direct.cpu_us);
    table.add(FIRST_DAEMON_CPU, rate, one_daemon.cpu_us - direct.cpu_us);
    table.add(
        SECOND_DAEMON_CPU,
        rate,
        two_daemons.cpu_us - one_daemon.cpu_us,
    );
    table.add(DIRECT_P50, rate, direct.p50);
    table.add(DIRECT_P99, rate, direct.p99);
    table.add(ONE_DAEMON_P50, rate, one_daemon.p50 - direct.p50);
    table.add(ONE_DAEMON_P99, rate, one_daemon.p99 - direct.p99);
    table.add(TWO_DAEMONS_P50, rate, two_daemons.p50 - direct.p50);
    table.add(TWO_DAEMONS_P99, rate, two_daemons.p99 - direct.p99);
    let failed = direct.failed + one_daemon.failed + two_daemons.failed;
    table.add(FAILED, rate, failed as f64);
}

/// Waits until a call to each target is answered with status 200.
async fn wait_until_served(targets: &[SocketAddr]) -> eyre::Result<()> {
    let client = caller::client();
    let deadline = Instant::now() + TIMEOUT;
    for target in targets {
        while !call(&client, *target).await {
            if Instant::now() > deadline {
                eyre::bail!("{target} did not answer a call");
            }
            task::sleep(Duration::from_millis(50)).await;
        }
    }
    Ok(())
}

/// Sends calls at a fixed rate. A dedicated thread paces them, since the timers of the runtime are
/// too coarse for this.
async fn run_load(target: SocketAddr, rate: u32) -> eyre::Result<LoadResult> {
    let client = caller::client();
    let latency = Histogram::<u64>::new_with_bounds(1, MAX_LATENCY_US, 3)?;
    let latency = Arc::new(Mutex::new(latency));
    let failed = Arc::new(AtomicU64::new(0));
    let count = (f64::from(rate) * DURATION.as_secs_f64()) as u32;
    let meter = Meter::process();
    let (counting, recording) = (failed.clone(), latency.clone());
    let pacing = task::spawn_blocking(move || {
        let start = Instant::now();
        let mut pending = Vec::new();
        for index in 0..count {
            let due = start + Duration::from_secs_f64(f64::from(index) / f64::from(rate));
            std::thread::sleep(due.saturating_duration_since(Instant::now()));
            let (client, failed, latency) = (client.clone(), counting.clone(), recording.clone());
            pending.push(task::spawn(async move {
                if !call(&client, target).await {
                    failed.fetch_add(1, Ordering::Relaxed);
                    return;
                }
                let micros = due.elapsed().as_micros() as u64;
                latency.lock().saturating_record(micros.max(1));
            }));
        }
        pending
    });
    join_all(pacing.await).await;
    let cpu_us = meter.cpu_us() / f64::from(count);
    let latency = latency.lock();
    Ok(LoadResult {
        cpu_us,
        p50: latency.value_at_quantile(0.5) as f64,
        p99: latency.value_at_quantile(0.99) as f64,
        failed: failed.load(Ordering::Relaxed),
    })
}

/// Sends one call and returns whether it was answered with status 200.
async fn call(client: &Client, target: SocketAddr) -> bool {
    let request = Request::get("/stock/harissa")
        .header("sycamoreflow-tenant", "grocers")
        .body(Bytes::new());
    let Ok(request) = request else {
        return false;
    };
    let deadline = Instant::now() + Duration::from_secs(5);
    let answer = client.send(target, request, deadline).await;
    answer.is_ok_and(|response| response.status() == 200)
}

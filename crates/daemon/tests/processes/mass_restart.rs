//! Restarts of daemons that are not control replicas, one of them or all at once.

use std::time::{Duration, Instant};

use async_std::task;
use eyre::{ensure, eyre};
use sycamoreflow_testbed::caller;

use crate::support::{
    VersionWatch, approve_everywhere, call, header, mesh, run, start_upstreams, wait_for_version,
};

/// Maximum control traffic of a daemon for a restart, in bytes. A full view of this mesh has about
/// 1 KiB, and a daemon contacts a few others to stage versions and to subscribe.
const MAX_CONTROL_BYTES: f64 = 64.0 * 1024.0;

/// Guards against a mass restart that overloads the control group, or in which each daemon receives
/// many full views.
#[test]
fn herd_all_proxies_restart() -> eyre::Result<()> {
    run(async {
        let mut mesh = mesh(18)?;
        let version = approve_everywhere(&mesh, 1).await?;
        let watch = VersionWatch::start(&mesh);
        for index in mesh.proxies() {
            mesh.kill(index);
        }
        let started = Instant::now();
        for index in mesh.proxies() {
            mesh.spawn(index)?;
        }
        let proxies: Vec<usize> = mesh.proxies().collect();
        wait_for_version(&mesh, &proxies, version).await?;
        println!(
            "the version was in force at all daemons after {:?}",
            started.elapsed()
        );
        let mut max_bytes: f64 = 0.0;
        for index in mesh.proxies() {
            let bytes = mesh.metric(index, "sycamoreflow_link_bytes_total").await;
            let bytes = bytes.ok_or_else(|| eyre!("daemon {index} reports no control bytes"))?;
            max_bytes = max_bytes.max(bytes);
        }
        println!("at most {max_bytes} control bytes per daemon");
        ensure!(max_bytes > 0.0, "control bytes are not counted");
        ensure!(
            max_bytes <= MAX_CONTROL_BYTES,
            "a daemon used {max_bytes} control bytes"
        );
        watch.finish().await
    })
}

/// Guards against refusing the callers of a daemon that has just started: their requests wait for
/// its view for up to 1 s.
#[test]
fn restart_call_before_view() -> eyre::Result<()> {
    const MIN_WAIT: Duration = Duration::from_secs(1);
    run(async {
        let mut mesh = mesh(6)?;
        approve_everywhere(&mesh, 1).await?;
        let _upstreams = start_upstreams(&mesh, &[3], Duration::from_millis(5)).await?;
        let restarted = 5;
        mesh.kill(restarted);
        mesh.spawn(restarted)?;
        let client = caller::client();
        let address = mesh.calls_address(restarted);
        // Until the daemon listens, calls fail without a response.
        let (started, response) = loop {
            let started = Instant::now();
            match call(&client, address, "POST").await {
                Ok(response) => break (started, response),
                Err(_) => task::sleep(Duration::from_millis(2)).await,
            }
        };
        let waited = started.elapsed();
        let reason = header(&response, "sycamoreflow-reason");
        ensure!(
            response.status() == 200 || waited >= MIN_WAIT,
            "refused as {reason:?} after {waited:?}"
        );
        Ok(())
    })
}

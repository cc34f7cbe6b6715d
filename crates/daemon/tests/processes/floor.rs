//! Restart of a daemon without persistent state while the whole control group is down.

use std::time::{Duration, Instant};

use async_std::task;
use eyre::ensure;
use sycamoreflow_testbed::caller;

use crate::support::{
    VersionWatch, approve_everywhere, call, header, mesh, run, start_upstreams, wait_for_version,
};

/// How long a daemon that can't determine its floor is observed.
const WATCH: Duration = Duration::from_secs(4);

/// Guards against a restarted daemon that serves an older version than before, that does not serve
/// although its witnesses know its floor, or that serves while its floor is unknown.
#[test]
fn floor_restart_without_control_group() -> eyre::Result<()> {
    run(async {
        let mut mesh = mesh(8)?;
        approve_everywhere(&mesh, 1).await?;
        let _upstreams = start_upstreams(&mesh, &[7], Duration::from_millis(1)).await?;
        let version = approve_everywhere(&mesh, 2).await?;
        let watch = VersionWatch::start(&mesh);
        for index in 0..3 {
            mesh.kill(index);
        }
        mesh.kill(3);
        mesh.spawn(3)?;
        wait_for_version(&mesh, &[3], version).await?;
        let client = caller::client();
        let response = call(&client, mesh.calls_address(3), "GET").await?;
        ensure!(response.status() == 200, "{response:?}");

        // Daemons 4, 5 and 6 are the witnesses of daemon 3. Restarted witnesses have no
        // record of its floor.
        for index in 3..7 {
            mesh.kill(index);
        }
        for index in 3..7 {
            mesh.spawn(index)?;
        }
        let end = Instant::now() + WATCH;
        let mut refused = 0;
        while Instant::now() < end {
            if let Ok(response) = call(&client, mesh.calls_address(3), "GET").await {
                let verdict = header(&response, "sycamoreflow-verdict");
                ensure!(response.status() == 503, "{response:?}");
                ensure!(verdict == Some("not-run"), "{response:?}");
                refused += 1;
            }
            task::sleep(Duration::from_millis(50)).await;
        }
        ensure!(refused > 0, "the daemon never responded");

        for index in 0..3 {
            mesh.spawn(index)?;
        }
        let all: Vec<usize> = (0..mesh.len()).collect();
        wait_for_version(&mesh, &all, version).await?;
        watch.finish().await
    })
}

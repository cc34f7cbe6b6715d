//! Evacuation of a data centre while daemons fail.

use std::time::Duration;

use async_std::task;
use eyre::{ensure, eyre};
use sycamoreflow_testbed::caller;
use sycamoreflow_testbed::process::ProcessMesh;

use crate::support::{
    LIMIT, approve_everywhere, call, mesh, run, start_upstreams, wait_for, wait_for_version,
};

/// Sends a few calls through every daemon, and checks that all are answered.
async fn call_everywhere(mesh: &ProcessMesh) -> eyre::Result<()> {
    let client = caller::client();
    for index in 0..mesh.len() {
        for _ in 0..4 {
            let response = call(&client, mesh.calls_address(index), "GET").await?;
            ensure!(response.status() == 200, "daemon {index}: {response:?}");
        }
    }
    Ok(())
}

/// Guards against an acknowledged evacuation that is lost with the leader or in a restart of all
/// daemons, against calls that reach the data centre meanwhile, also through its own daemons, and
/// against a resend that evacuates it again after it was restored.
#[test]
fn evacuation_leader_killed_and_restart() -> eyre::Result<()> {
    run(async {
        let mut mesh = mesh(7)?;
        approve_everywhere(&mesh, 1).await?;
        let upstreams = start_upstreams(&mesh, &[3, 4], Duration::from_millis(5)).await?;
        let operator = mesh.operator();
        let unknown = operator.evacuate("e0", "sfax-x", true, LIMIT).await;
        let unknown = unknown.err().map(|error| error.to_string());
        ensure!(
            unknown.as_ref().is_some_and(|text| text.contains("404")),
            "{unknown:?}"
        );
        let leader = operator.status(LIMIT).await?.leader;
        let leader = leader.ok_or_else(|| eyre!("the status names no leader"))?;
        let leader = mesh.position(leader.as_str());
        let leader = leader.ok_or_else(|| eyre!("the leader is not a host of the mesh"))?;
        let order = operator.clone();
        let order = task::spawn(async move { order.evacuate("e1", "sfax-a", true, LIMIT).await });
        mesh.kill(leader);
        let accepted = order.await?;
        ensure!(accepted.evacuated, "{accepted:?}");
        mesh.spawn(leader)?;
        let all: Vec<usize> = (0..mesh.len()).collect();
        wait_for_version(&mesh, &all, accepted.version.0).await?;

        let before = upstreams[0].stats().calls();
        call_everywhere(&mesh).await?;
        for index in &all {
            mesh.kill(*index);
        }
        for index in &all {
            mesh.spawn(*index)?;
        }
        wait_for_version(&mesh, &all, accepted.version.0).await?;
        let client = caller::client();
        let target = mesh.calls_address(6);
        wait_for("a call after the restart", || async {
            let response = call(&client, target, "GET").await;
            response.is_ok_and(|response| response.status() == 200)
        })
        .await?;
        let status = operator.status(LIMIT).await?;
        ensure!(status.evacuations.len() == 1, "{status:?}");
        let sent = upstreams[0].stats().calls() - before;
        ensure!(sent == 0, "{sent} calls reached the evacuated data centre");

        operator.evacuate("e2", "sfax-a", false, LIMIT).await?;
        let resent = operator.evacuate("e1", "sfax-a", true, LIMIT).await?;
        ensure!(!resent.evacuated, "{resent:?}");
        wait_for("calls to the restored data centre", || async {
            // Refusals do not matter here, only where the calls go.
            let _ = call(&client, target, "GET").await;
            upstreams[0].stats().calls() > before
        })
        .await
    })
}

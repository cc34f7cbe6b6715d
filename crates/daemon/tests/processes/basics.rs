//! Approval, calls, stop and restart without other failures, and validation of settings.

use std::process::Command;
use std::time::Duration;

use eyre::ensure;
use sycamoreflow_testbed::caller;

use crate::support::{
    LIMIT, approve_everywhere, call, header, mesh, run, start_upstreams, wait_for,
};

/// Guards against a daemon that does not serve calls after an approval, or whose graceful stop does
/// not exit with code 0.
#[test]
fn mesh_approve_call_and_stop() -> eyre::Result<()> {
    run(async {
        let mut mesh = mesh(6)?;
        approve_everywhere(&mesh, 1).await?;
        let _upstreams = start_upstreams(&mesh, &[3, 4], Duration::from_millis(1)).await?;
        let client = caller::client();
        for index in 0..mesh.len() {
            let response = call(&client, mesh.calls_address(index), "POST").await?;
            ensure!(response.status() == 200, "daemon {index}: {response:?}");
            ensure!(header(&response, "sycamoreflow-verdict") == Some("ran"));
        }
        for index in (0..mesh.len()).rev() {
            mesh.terminate(index)?;
        }
        for index in 0..mesh.len() {
            let status = mesh.wait_for_exit(index, LIMIT).await?;
            ensure!(
                status.code() == Some(0),
                "daemon {index}: {status}\n{}",
                mesh.log(index)
            );
        }
        Ok(())
    })
}

/// Guards against a daemon that denies requests for good although it knows no configuration yet: its
/// callers would not send them again.
#[test]
fn call_before_approval() -> eyre::Result<()> {
    run(async {
        let mesh = mesh(4)?;
        let client = caller::client();
        for index in 0..mesh.len() {
            let mesh = &mesh;
            wait_for("the empty view", || async move {
                mesh.config_version(index).await == Some(0)
            })
            .await?;
            let response = call(&client, mesh.calls_address(index), "POST").await?;
            ensure!(response.status() == 503, "daemon {index}: {response:?}");
            ensure!(header(&response, "sycamoreflow-reason") == Some("not-ready"));
        }
        Ok(())
    })
}

/// Guards against a restart of all daemons that loses the approved configuration.
#[test]
fn mesh_restart_of_all() -> eyre::Result<()> {
    run(async {
        let mut mesh = mesh(4)?;
        let version = approve_everywhere(&mesh, 1).await?;
        for index in 0..mesh.len() {
            mesh.kill(index);
        }
        for index in 0..mesh.len() {
            mesh.spawn(index)?;
        }
        let mesh = &mesh;
        for index in 0..mesh.len() {
            wait_for("the version after the restart", || async move {
                mesh.config_version(index).await >= Some(version)
            })
            .await?;
        }
        Ok(())
    })
}

/// Guards against invalid settings that are detected only after addresses are bound, or one at a
/// time.
#[test]
fn check_settings_with_errors() -> eyre::Result<()> {
    run(async {
        let mesh = mesh(4)?;
        let program = env!("CARGO_BIN_EXE_sycamoreflowd");
        let check = |file: &std::path::Path| {
            let mut command = Command::new(program);
            command.arg("--check").arg("--config").arg(file).output()
        };
        // The daemon is running, so the check would fail here if it bound any address.
        let output = check(&mesh.settings_file(0))?;
        ensure!(output.status.code() == Some(0), "{output:?}");

        let mut settings = mesh.settings(0).clone();
        settings.mesh.clear();
        settings.limits.drain_timeout_ms = 0;
        let file = mesh.folder().join("wrong.toml");
        std::fs::write(&file, toml::to_string(&settings)?)?;
        let output = check(&file)?;
        let errors = String::from_utf8(output.stderr)?;
        ensure!(output.status.code() == Some(1), "{errors}");
        for part in ["wrong.toml", "mesh:", "limits.drain-timeout-ms:"] {
            ensure!(errors.contains(part), "{part} is missing in: {errors}");
        }
        let text = std::fs::read_to_string(mesh.settings_file(0))?;
        std::fs::write(&file, format!("unknown-key = 1\n{text}"))?;
        let output = check(&file)?;
        let errors = String::from_utf8(output.stderr)?;
        ensure!(output.status.code() == Some(1), "{errors}");
        ensure!(errors.contains("unknown-key"), "{errors}");
        Ok(())
    })
}

//! How a planned stop ends the requests and calls that are left.

use std::sync::Arc;
use std::time::Duration;

use async_std::task;
use eyre::ensure;
use futures::future::join_all;
use http::StatusCode;
use rstest::rstest;
use sycamoreflow_testbed::caller;
use sycamoreflow_testbed::process::ProcessMesh;

use crate::support::{LIMIT, answers, call, mesh, run, start_upstreams, wait_for_version};

/// Number of requests in progress at the stop.
const REQUESTS: usize = 24;

/// Times of a stop.
struct StopTimes {
    drain_timeout: Duration,
    leave_notice: Duration,
    /// Service time of the upstreams, longer than the drain timeout.
    service_time: Duration,
}

const SHORT: StopTimes = StopTimes {
    drain_timeout: Duration::from_millis(700),
    leave_notice: Duration::from_millis(350),
    service_time: Duration::from_millis(900),
};

/// The stop is announced 400 ms after its begin.
const LONG: StopTimes = StopTimes {
    drain_timeout: Duration::from_millis(1_500),
    leave_notice: Duration::from_millis(1_000),
    service_time: Duration::from_millis(1_800),
};

/// Guards against idempotent calls that fail because their owner stops, although another owner can
/// run them in time: the verdict of the stopping owner has to reach the entry before its link ends.
#[rstest]
fn stopping_owner_calls_run_elsewhere(#[values(1, 2, 3)] _round: u32) -> eyre::Result<()> {
    run(async {
        let (entry, leaving, other) = (3, 4, 5);
        let mesh = Arc::new(stopping_mesh(6, &[leaving], &SHORT).await?);
        let upstreams = start_upstreams(&mesh, &[leaving, other], SHORT.service_time).await?;
        let requests = send(&mesh, entry);
        task::sleep(SHORT.drain_timeout / 5).await;
        mesh.terminate(leaving)?;
        let statuses = statuses(requests).await?;
        let log = mesh.log(entry);
        let lost = log.lines().filter(|line| line.contains("connection-lost"));
        let lost = lost.count();
        let runs: Vec<u64> = upstreams.iter().map(|u| u.stats().calls()).collect();
        ensure!(
            lost == 0 && statuses.iter().all(|status| *status == StatusCode::OK),
            "{lost} lost, runs {runs:?}, {statuses:?}\n{}",
            mesh.log(leaving)
        );
        Ok(())
    })
}

/// Guards against requests that a stop ends without counting them, or whose callers learn that their
/// deadline has passed instead of the stop. The requests arrive before the stop or after its begin.
#[rstest]
#[case::before(false, &[4])]
#[case::during(true, &[4])]
#[case::before_own_upstream(false, &[3])]
#[case::during_own_upstream(true, &[3])]
fn stopping_entry_reports_stop(#[case] during: bool, #[case] owners: &[usize]) -> eyre::Result<()> {
    run(async {
        let entry = 3;
        let mut mesh = stopping_mesh(5, &[entry], &LONG).await?;
        let _upstreams = start_upstreams(&mesh, owners, LONG.service_time).await?;
        if during {
            mesh.terminate(entry)?;
            task::sleep(LONG.drain_timeout / 10).await;
        }
        let requests = send(&mesh, entry);
        if !during {
            task::sleep(LONG.drain_timeout / 10).await;
            mesh.terminate(entry)?;
        }
        let statuses = statuses(requests).await?;
        let status = mesh.wait_for_exit(entry, LIMIT).await?;
        let log = mesh.log(entry);
        // An earlier line is of the stop before the settings were changed.
        let ended = log.lines().rfind(|line| line.contains("drain_ended"));
        ensure!(
            statuses.iter().all(|s| *s == StatusCode::BAD_GATEWAY) && status.code() == Some(3),
            "{statuses:?}, {status}, {ended:?}"
        );
        let expected = format!("ended={REQUESTS} ");
        ensure!(
            ended.is_some_and(|line| line.contains(&expected)),
            "{ended:?}"
        );
        Ok(())
    })
}

/// Guards against a stopping entry that sends a request again at the moment at which its stop ends
/// the request.
#[test]
fn stopping_entry_does_not_retry_at_its_end() -> eyre::Result<()> {
    run(async {
        let (entry, other) = (3, 4);
        let mut mesh = stopping_mesh(5, &[entry], &SHORT).await?;
        let _upstreams = start_upstreams(&mesh, &[entry, other], SHORT.service_time).await?;
        let requests = send(&mesh, entry);
        task::sleep(SHORT.drain_timeout / 5).await;
        mesh.terminate(entry)?;
        let statuses = statuses(requests).await?;
        mesh.wait_for_exit(entry, LIMIT).await?;
        let log = mesh.log(entry);
        let retries = log
            .lines()
            .filter(|line| line.contains("event=\"retry\"") && line.contains("draining"));
        let retries = retries.count();
        ensure!(retries == 0, "{retries} retries, {statuses:?}");
        Ok(())
    })
}

/// Starts a mesh whose routes have long timeouts, and in which the daemons `leaving` have the times
/// of a stop.
async fn stopping_mesh(
    hosts: usize,
    leaving: &[usize],
    times: &StopTimes,
) -> eyre::Result<ProcessMesh> {
    let mut mesh = mesh(hosts)?;
    let answers = answers(1).replace("timeout = \"1s\"", "timeout = \"8s\"");
    let approved = mesh.operator().approve("setup", &answers, LIMIT).await?;
    let all: Vec<usize> = (0..hosts).collect();
    wait_for_version(&mesh, &all, approved.version.0).await?;
    for &index in leaving {
        mesh.terminate(index)?;
        mesh.wait_for_exit(index, LIMIT).await?;
        let file = mesh.settings_file(index);
        let text = std::fs::read_to_string(&file)?;
        let timeout = format!("drain-timeout-ms = {}", times.drain_timeout.as_millis());
        let notice = format!("leave-notice-ms = {}", times.leave_notice.as_millis());
        let changed = text
            .replace("drain-timeout-ms = 30000", &timeout)
            .replace("leave-notice-ms = 0", &notice);
        ensure!(changed != text, "{text}");
        std::fs::write(file, changed)?;
        mesh.spawn(index)?;
    }
    Ok(mesh)
}

type Requests = Vec<task::JoinHandle<eyre::Result<StatusCode>>>;

/// Sends idempotent requests, each on its own connection.
fn send(mesh: &ProcessMesh, entry: usize) -> Requests {
    let target = mesh.calls_address(entry);
    let request = || {
        task::spawn(async move {
            let response = call(&caller::client(), target, "GET").await?;
            Ok(response.status())
        })
    };
    (0..REQUESTS).map(|_| request()).collect()
}

async fn statuses(requests: Requests) -> eyre::Result<Vec<StatusCode>> {
    join_all(requests).await.into_iter().collect()
}

//! Planned stops and drains under load.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use async_std::task;
use bytes::Bytes;
use eyre::{ensure, eyre};
use futures::future::join_all;
use http::{Request, StatusCode};
use rstest::rstest;
use sycamoreflow_testbed::caller::{self, Call, Outcome, Results};
use sycamoreflow_testbed::process::ProcessMesh;
use sycamoreflow_testbed::upstream::Upstream;

use crate::support::{LIMIT, approve_everywhere, mesh, run, start_upstreams, wait_for};

/// Calls that may be sent again and calls that may not.
pub(crate) const CALLS: [Call; 2] = [
    Call {
        method: "GET",
        path: "/orders",
        tenant: "grocers",
        keyed: false,
    },
    Call {
        method: "POST",
        path: "/orders",
        tenant: "grocers",
        keyed: false,
    },
];

/// Calls per second.
const RATE: f64 = 120.0;
/// Time a request takes, long enough that several are in flight when the daemon is told to stop.
const SERVICE_TIME: Duration = Duration::from_millis(100);
/// Time of the load before the event.
const BEFORE: Duration = Duration::from_millis(1_500);
/// Time of the whole load. It ends well after the time at which no call may arrive.
const LOAD: Duration = Duration::from_millis(5_000);
/// Time that a daemon has for its stop, in the test of requests that take longer.
const STOP_TIME: Duration = Duration::from_millis(700);
/// Time that these requests take. It is below the timeout of their route.
const LONG_TIME: Duration = Duration::from_millis(900);
/// Time within which new calls must stop to arrive.
const QUIET_AFTER: Duration = Duration::from_secs(2);

/// Guards against calls that a planned stop cuts, fails or runs twice, and against an upstream
/// that gets new work from a daemon that is leaving.
#[test]
fn leaving_sigterm_under_load() -> eyre::Result<()> {
    run(async {
        let mut mesh = mesh(7)?;
        approve_everywhere(&mesh, 1).await?;
        let upstreams = start_upstreams(&mesh, &[3, 4, 5], SERVICE_TIME).await?;
        let targets: Vec<_> = [0, 1, 2, 4, 5, 6].map(|at| mesh.calls_address(at)).into();
        let results = Arc::new(Results::default());
        let own = Arc::new(Results::default());
        let load = task::spawn(load(targets, LOAD, results.clone()));
        // Calls that enter at the leaving daemon are sent until it is told to stop.
        let own_targets = vec![mesh.calls_address(3)];
        let own_load = task::spawn(self::load(own_targets, BEFORE, own.clone()));
        task::sleep(BEFORE).await;
        let told = Instant::now();
        mesh.terminate(3)?;
        own_load.await;
        load.await;
        let status = mesh.wait_for_exit(3, LIMIT).await?;
        ensure!(status.code() == Some(0), "{status}\n{}", mesh.log(3));
        check_all_answered(&results)?;
        check_all_answered(&own)?;
        check_quiet(&upstreams[0], told)?;
        check_runs(&upstreams, &[&results, &own])
    })
}

/// Guards against requests that are taken after the order to stop and cut without an answer at the end of
/// the time for it, although they may not be sent again: those of callers, and those of other daemons,
/// which another upstream can run.
#[rstest]
#[case::at_the_entry(3, 4, StatusCode::SERVICE_UNAVAILABLE)]
#[case::at_the_owner(4, 3, StatusCode::OK)]
fn leaving_with_long_requests(
    #[case] leaving: usize,
    #[case] other: usize,
    #[case] expected: StatusCode,
) -> eyre::Result<()> {
    run(async {
        let mut mesh = mesh(6)?;
        approve_everywhere(&mesh, 1).await?;
        mesh.terminate(leaving)?;
        mesh.wait_for_exit(leaving, LIMIT).await?;
        shorten_stop(&mesh, leaving)?;
        mesh.spawn(leaving)?;
        let upstreams = start_upstreams(&mesh, &[4, 5], LONG_TIME).await?;
        let entry = if leaving == 3 { leaving } else { other };
        let address = mesh.calls_address(entry);
        wait_for("the entry has a view", || async {
            mesh.config_version(entry).await.is_some()
        })
        .await?;
        let calls = || {
            upstreams
                .iter()
                .map(|upstream| upstream.stats().calls())
                .sum::<u64>()
        };
        let before = calls();
        mesh.terminate(leaving)?;
        task::sleep(STOP_TIME / 10).await;
        let client = caller::client();
        let requests = (0..6).map(|_| {
            let request = Request::post("/orders").body(Bytes::new());
            let client = client.clone();
            async move {
                client
                    .send(address, request?, Instant::now() + LIMIT)
                    .await
                    .map_err(|f| eyre!("{f:?}"))
            }
        });
        for response in join_all(requests).await {
            ensure!(response?.status() == expected, "{}", mesh.log(leaving));
        }
        let runs = calls() - before;
        let expected_runs = if expected == StatusCode::OK { 6 } else { 0 };
        ensure!(runs == expected_runs, "{runs} runs");
        Ok(())
    })
}

/// Gives a daemon less time for its stop than its requests take.
fn shorten_stop(mesh: &ProcessMesh, at: usize) -> eyre::Result<()> {
    let file = mesh.settings_file(at);
    let text = std::fs::read_to_string(&file)?;
    let changed = text
        .replace(
            "drain-timeout-ms = 30000",
            &format!("drain-timeout-ms = {}", STOP_TIME.as_millis()),
        )
        .replace(
            "leave-notice-ms = 0",
            &format!("leave-notice-ms = {}", STOP_TIME.as_millis() / 2),
        );
    ensure!(changed != text, "{text}");
    std::fs::write(file, changed)?;
    Ok(())
}

/// Guards against a drain by the operator that fails calls, runs them twice, or does not end the
/// flow of new work.
#[test]
fn leaving_operator_drain_under_load() -> eyre::Result<()> {
    run(async {
        let mesh = mesh(7)?;
        approve_everywhere(&mesh, 1).await?;
        let upstreams = start_upstreams(&mesh, &[3, 4, 5], SERVICE_TIME).await?;
        let targets: Vec<_> = (0..mesh.len()).map(|at| mesh.calls_address(at)).collect();
        let results = Arc::new(Results::default());
        let load = task::spawn(load(targets, LOAD, results.clone()));
        task::sleep(BEFORE).await;
        let told = Instant::now();
        let name = mesh.settings(3).daemon.clone();
        let drained = mesh.operator().drain(name.as_str(), true, LIMIT).await?;
        ensure!(drained.endpoints == 1, "{drained:?}");
        load.await;
        check_all_answered(&results)?;
        check_quiet(&upstreams[0], told)?;
        check_runs(&upstreams, &[&results])
    })
}

async fn load(targets: Vec<std::net::SocketAddr>, duration: Duration, results: Arc<Results>) {
    let client = caller::client();
    caller::run(&client, &targets, &CALLS, RATE, duration, &results).await;
}

fn check_all_answered(results: &Results) -> eyre::Result<()> {
    let ended = results.ended.lock();
    let failed: Vec<_> = ended
        .iter()
        .filter(|call| call.outcome != Outcome::Answered)
        .collect();
    let (sent, failures) = (ended.len(), failed.len());
    let first = failed.first();
    ensure!(
        failed.is_empty(),
        "{failures} of {sent} calls failed: {first:?}"
    );
    ensure!(sent > 0, "no call was sent");
    Ok(())
}

fn check_quiet(upstream: &Upstream, told: Instant) -> eyre::Result<()> {
    let last = upstream.stats().last_call();
    let last = last.ok_or_else(|| eyre!("the upstream never had a call"))?;
    ensure!(last + BEFORE >= told, "no call arrived before the event");
    let after = last.saturating_duration_since(told);
    ensure!(after <= QUIET_AFTER, "a call arrived {after:?} later");
    Ok(())
}

/// Checks that no request ran more often than it was sent. Several results number their calls
/// from zero each, so a number may occur once in each of them.
fn check_runs(upstreams: &[Upstream], results: &[&Results]) -> eyre::Result<()> {
    let mut runs: HashMap<u64, u32> = HashMap::new();
    for upstream in upstreams {
        for (number, count) in upstream.stats().runs() {
            *runs.entry(number).or_default() += count;
        }
    }
    for (number, count) in runs {
        let sent = results.iter().filter(|results| {
            let ended = results.ended.lock();
            ended.iter().any(|call| call.number == number)
        });
        let sent = sent.count() as u32;
        ensure!(
            count <= sent,
            "request {number} ran {count} times, sent {sent}"
        );
    }
    Ok(())
}

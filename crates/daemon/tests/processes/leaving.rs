//! Graceful stops and operator drains under load.

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

use crate::support::{LIMIT, approve_everywhere, call, mesh, run, start_upstreams, wait_for};

/// One idempotent call, which may be retried, and one that may not.
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

/// Load in calls per second.
const RATE: f64 = 120.0;
/// Service time of the upstreams, long enough that several requests are in flight when the daemon
/// receives the stop signal.
const SERVICE_TIME: Duration = Duration::from_millis(100);
/// Duration of the load before the stop or drain.
const WARM_UP_TIME: Duration = Duration::from_millis(1_500);
/// Total duration of the load. It exceeds [`WARM_UP_TIME`] plus [`MAX_DRAIN_DELAY`], after which no
/// call may arrive.
const LOAD_TIME: Duration = Duration::from_millis(5_000);
/// Drain timeout in the test with requests that take longer.
const DRAIN_TIMEOUT: Duration = Duration::from_millis(700);
/// Service time of these requests. It is below the timeout of their route.
const LONG_SERVICE_TIME: Duration = Duration::from_millis(900);
/// Time after a stop or drain within which new calls must cease to arrive.
const MAX_DRAIN_DELAY: Duration = Duration::from_secs(2);

/// Guards against calls that are aborted, fail or run twice during a graceful stop, and against new
/// calls to the upstream of a stopping daemon.
#[test]
fn leaving_sigterm_under_load() -> eyre::Result<()> {
    run(async {
        let mut mesh = mesh(7)?;
        approve_everywhere(&mesh, 1).await?;
        let upstreams = start_upstreams(&mesh, &[3, 4, 5], SERVICE_TIME).await?;
        let targets: Vec<_> = [0, 1, 2, 4, 5, 6]
            .map(|index| mesh.calls_address(index))
            .into();
        let results = Arc::new(Results::default());
        let leaving_results = Arc::new(Results::default());
        let load = task::spawn(load(targets, LOAD_TIME, results.clone()));
        // Callers of the leaving daemon send calls only until it receives the stop signal.
        let leaving_targets = vec![mesh.calls_address(3)];
        let leaving_load = task::spawn(self::load(
            leaving_targets,
            WARM_UP_TIME,
            leaving_results.clone(),
        ));
        task::sleep(WARM_UP_TIME).await;
        let stop_requested = Instant::now();
        mesh.terminate(3)?;
        leaving_load.await;
        load.await;
        let status = mesh.wait_for_exit(3, LIMIT).await?;
        ensure!(status.code() == Some(0), "{status}\n{}", mesh.log(3));
        check_logged(
            &mesh,
            3,
            &["drain_ended", "connections=0 running=0 queued=0"],
        )?;
        check_logged(&mesh, 3, &["stopped cut=0"])?;
        check_all_answered(&results)?;
        check_all_answered(&leaving_results)?;
        check_no_late_calls(&upstreams[0], stop_requested)?;
        check_runs(&upstreams, &[&results, &leaving_results])
    })
}

/// Guards against non-idempotent requests that are accepted after the stop signal and aborted at
/// the drain timeout. Requests of callers must be refused; requests of other daemons must run on
/// another upstream.
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
        shorten_drain_timeout(&mesh, leaving)?;
        mesh.spawn(leaving)?;
        let upstreams = start_upstreams(&mesh, &[4, 5], LONG_SERVICE_TIME).await?;
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
        task::sleep(DRAIN_TIMEOUT / 10).await;
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

/// Guards against a stop that closes the connection of a request in progress without an answer,
/// although the daemon knows that the request can't end in time.
#[test]
fn leaving_answers_requests_in_progress() -> eyre::Result<()> {
    run(async {
        let (leaving, owner) = (3, 4);
        let mut mesh = mesh(5)?;
        restart_with_short_drain(&mut mesh, leaving).await?;
        let upstreams = start_upstreams(&mesh, &[owner], LONG_SERVICE_TIME).await?;
        let before = upstreams[0].stats().calls();
        let entry = mesh.calls_address(leaving);
        let request = task::spawn(async move { call(&caller::client(), entry, "GET").await });
        task::sleep(DRAIN_TIMEOUT / 10).await;
        mesh.terminate(leaving)?;
        let response = request.await?;
        ensure!(response.status() == StatusCode::BAD_GATEWAY, "{response:?}");
        let runs = upstreams[0].stats().calls() - before;
        ensure!(runs == 1, "{runs} runs");
        Ok(())
    })
}

/// Guards against a planned stop that ends requests without a log line of each, at the entry or at
/// the owner, and against losing the last lines.
#[rstest]
#[case::at_the_entry(3, "event=\"request\"")]
#[case::at_the_owner(4, "event=\"owner_ran\"")]
fn leaving_logs_ended_requests(#[case] leaving: usize, #[case] event: &str) -> eyre::Result<()> {
    run(async {
        let mut mesh = mesh(5)?;
        restart_with_short_drain(&mut mesh, leaving).await?;
        let _upstreams = start_upstreams(&mesh, &[4], LONG_SERVICE_TIME).await?;
        let entry = mesh.calls_address(3);
        let requests = (0..3).map(|_| {
            task::spawn(async move {
                let _ = call(&caller::client(), entry, "GET").await;
            })
        });
        let requests: Vec<_> = requests.collect();
        task::sleep(DRAIN_TIMEOUT / 10).await;
        mesh.terminate(leaving)?;
        let status = mesh.wait_for_exit(leaving, LIMIT).await?;
        join_all(requests).await;
        ensure!(status.code() == Some(3), "{status}\n{}", mesh.log(leaving));
        let log = mesh.log(leaving);
        let texts = [
            event,
            "read-orders",
            "draining",
            "may-have-run",
            "stopping=true",
        ];
        let ended = log
            .lines()
            .filter(|line| texts.iter().all(|text| line.contains(text)));
        ensure!(ended.count() == 3, "{log}");
        check_logged(
            &mesh,
            leaving,
            &["drain_ended", "ended=3 connections=0 running=0"],
        )?;
        check_logged(&mesh, leaving, &["stopped cut=3"])
    })
}

/// Approves the answers, and starts a daemon again with a short drain timeout.
async fn restart_with_short_drain(mesh: &mut ProcessMesh, index: usize) -> eyre::Result<()> {
    approve_everywhere(mesh, 1).await?;
    mesh.terminate(index)?;
    mesh.wait_for_exit(index, LIMIT).await?;
    shorten_drain_timeout(mesh, index)?;
    mesh.spawn(index)?;
    Ok(())
}

/// Checks that a line of the log of a daemon contains all of the texts.
fn check_logged(mesh: &ProcessMesh, index: usize, texts: &[&str]) -> eyre::Result<()> {
    let log = mesh.log(index);
    let mut lines = log.lines();
    let found = lines.any(|line| texts.iter().all(|text| line.contains(text)));
    ensure!(found, "no line with {texts:?}\n{log}");
    Ok(())
}

/// Sets the drain timeout of a daemon below the service time of its requests, and its leave notice
/// to half of the drain timeout.
fn shorten_drain_timeout(mesh: &ProcessMesh, index: usize) -> eyre::Result<()> {
    let file = mesh.settings_file(index);
    let text = std::fs::read_to_string(&file)?;
    let changed = text
        .replace(
            "drain-timeout-ms = 30000",
            &format!("drain-timeout-ms = {}", DRAIN_TIMEOUT.as_millis()),
        )
        .replace(
            "leave-notice-ms = 0",
            &format!("leave-notice-ms = {}", DRAIN_TIMEOUT.as_millis() / 2),
        );
    ensure!(changed != text, "{text}");
    std::fs::write(file, changed)?;
    Ok(())
}

/// Guards against an operator drain that makes calls fail or run twice, or after which new calls
/// keep arriving.
#[test]
fn leaving_operator_drain_under_load() -> eyre::Result<()> {
    run(async {
        let mesh = mesh(7)?;
        approve_everywhere(&mesh, 1).await?;
        let upstreams = start_upstreams(&mesh, &[3, 4, 5], SERVICE_TIME).await?;
        let targets: Vec<_> = (0..mesh.len())
            .map(|index| mesh.calls_address(index))
            .collect();
        let results = Arc::new(Results::default());
        let load = task::spawn(load(targets, LOAD_TIME, results.clone()));
        task::sleep(WARM_UP_TIME).await;
        let stop_requested = Instant::now();
        let name = mesh.settings(3).daemon.clone();
        let drained = mesh.operator().drain(name.as_str(), true, LIMIT).await?;
        ensure!(drained.endpoints == 1, "{drained:?}");
        load.await;
        check_all_answered(&results)?;
        check_no_late_calls(&upstreams[0], stop_requested)?;
        check_runs(&upstreams, &[&results])
    })
}

/// Guards against orders to drain, or to end that, that are forgotten although they were acknowledged
/// when all replicas are killed at once.
#[test]
fn leaving_operator_drain_replicas_killed() -> eyre::Result<()> {
    run(async {
        let mut mesh = mesh(5)?;
        approve_everywhere(&mesh, 1).await?;
        let _upstreams = start_upstreams(&mesh, &[3, 4], SERVICE_TIME).await?;
        let operator = mesh.operator();
        let [restored, drained] = [3, 4].map(|index| mesh.settings(index).daemon.clone());
        // Replicas save a copy of the endpoint table, but not again within 2 s.
        operator.drain(restored.as_str(), true, LIMIT).await?;
        operator.drain(restored.as_str(), false, LIMIT).await?;
        operator.drain(drained.as_str(), true, LIMIT).await?;
        let replicas = [0, 1, 2];
        replicas.iter().for_each(|index| mesh.kill(*index));
        for index in replicas {
            mesh.spawn(index)?;
        }
        let operator = &operator;
        wait_for("all endpoints", || async move {
            let listed = operator.endpoints(LIMIT).await;
            listed.is_ok_and(|listed| listed.endpoints.len() == 2)
        })
        .await?;
        for endpoint in operator.endpoints(LIMIT).await?.endpoints {
            let expected = endpoint.daemon == drained;
            ensure!(endpoint.draining == expected, "{endpoint:?}");
        }
        Ok(())
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

fn check_no_late_calls(upstream: &Upstream, stop_requested: Instant) -> eyre::Result<()> {
    let last = upstream.stats().last_call();
    let last = last.ok_or_else(|| eyre!("no call reached the upstream"))?;
    ensure!(
        last + WARM_UP_TIME >= stop_requested,
        "no call arrived shortly before the stop or drain"
    );
    let after = last.saturating_duration_since(stop_requested);
    ensure!(
        after <= MAX_DRAIN_DELAY,
        "a call arrived {after:?} after the stop or drain"
    );
    Ok(())
}

/// Checks that no request ran more often than it was sent. Each `Results` numbers its calls from
/// zero, so a number may occur once in each of them.
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

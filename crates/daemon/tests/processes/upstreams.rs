//! Upstreams that crash or send truncated responses, and a suspended owner daemon.

use std::collections::HashMap;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use std::time::Duration;

use async_std::task;
use bytes::Bytes;
use eyre::ensure;
use futures::future::join_all;
use http::Response;
use sycamoreflow_state::endpoint::Announcement;
use sycamoreflow_testbed::caller::{self, Call, Outcome, Results};
use sycamoreflow_testbed::process::ProcessMesh;
use sycamoreflow_testbed::upstream::{Behaviour, Stats, Upstream, announce};

use crate::leaving::CALLS;
use crate::support::{approve_everywhere, call, header, mesh, run, start_upstreams, wait_for};

/// Guards against non-idempotent requests that run twice after their upstream crashed, and against
/// the verdict "not run" for a request that ran.
#[test]
fn upstream_killed_under_load() -> eyre::Result<()> {
    const POST: [Call; 1] = [CALLS[1]];
    const SERVICE_TIME: Duration = Duration::from_millis(100);
    run(async {
        let mesh = mesh(6)?;
        approve_everywhere(&mesh, 1).await?;
        let mut upstreams = start_upstreams(&mesh, &[3, 4, 5], SERVICE_TIME).await?;
        let mut stats: Vec<Arc<Stats>> = upstreams.iter().map(|u| u.stats().clone()).collect();
        let targets: Vec<SocketAddr> = (0..mesh.len())
            .map(|index| mesh.calls_address(index))
            .collect();
        let results = Arc::new(Results::default());
        let load_results = results.clone();
        let load = task::spawn(async move {
            let client = caller::client();
            let duration = Duration::from_secs(5);
            caller::run(&client, &targets, &POST, 150.0, duration, &load_results).await;
        });
        let behaviour = Behaviour {
            service_time: SERVICE_TIME,
            fails: false,
        };
        for _ in 0..3 {
            task::sleep(Duration::from_secs(1)).await;
            upstreams.remove(0).kill().await;
            let address = mesh.announce_address(3);
            let replacement = Upstream::start("orders", "v1", 32, behaviour, address).await?;
            stats.push(replacement.stats().clone());
            upstreams.insert(0, replacement);
        }
        load.await;
        let mut runs: HashMap<u64, u32> = HashMap::new();
        for stats in &stats {
            for (number, count) in stats.runs() {
                *runs.entry(number).or_default() += count;
            }
        }
        let mut without_answer = 0;
        let mut answered = 0;
        for call in results.ended.lock().iter() {
            let count = runs.get(&call.number).copied().unwrap_or(0);
            ensure!(count <= 1, "ran {count} times: {call:?}");
            match call.outcome {
                Outcome::Answered => {
                    ensure!(count == 1, "answered but not run: {call:?}");
                    answered += 1;
                }
                Outcome::NotRun => ensure!(
                    count == 0,
                    "not-run verdict for a request that ran: {call:?}"
                ),
                Outcome::MayHaveRun => without_answer += 1,
                Outcome::Error | Outcome::NoResponse | Outcome::Wrong => {
                    ensure!(false, "{call:?}");
                }
            }
        }
        ensure!(
            without_answer > 0,
            "no request was in flight when an upstream was killed"
        );
        ensure!(answered > 300, "only {answered} requests were answered");
        Ok(())
    })
}

/// Guards against callers that wait beyond their timeout for a suspended daemon, and against calls
/// that are still sent to it after the failure was detected.
#[test]
fn owner_frozen_under_load() -> eyre::Result<()> {
    /// Tolerance beyond the timeout for a busy machine.
    const SLACK: Duration = Duration::from_secs(1);
    run(async {
        let mesh = mesh(7)?;
        approve_everywhere(&mesh, 1).await?;
        let upstreams = start_upstreams(&mesh, &[3, 4, 5], Duration::from_millis(5)).await?;
        let targets: Vec<SocketAddr> = [0, 1, 2, 4, 5, 6]
            .map(|index| mesh.calls_address(index))
            .into();
        let client = caller::client();
        let calls = upstreams[0].stats().calls();
        let before = Arc::new(Results::default());
        let duration = Duration::from_secs(1);
        caller::run(&client, &targets, &CALLS, 120.0, duration, &before).await;
        ensure!(
            upstreams[0].stats().calls() > calls,
            "no call arrived before the daemon was suspended"
        );
        mesh.suspend(3)?;
        let during = Arc::new(Results::default());
        let duration = Duration::from_secs(5);
        caller::run(&client, &targets, &CALLS, 120.0, duration, &during).await;
        for call in during.ended.lock().iter() {
            let timeout = match call.call.method {
                "GET" => Duration::from_secs(1),
                _ => Duration::from_secs(3),
            };
            ensure!(call.latency <= timeout + SLACK, "{call:?}");
            ensure!(call.outcome != Outcome::NoResponse, "{call:?}");
            ensure!(call.outcome != Outcome::Wrong, "{call:?}");
        }
        // Every daemon has detected the failure by now, so no call is sent to the suspended one.
        let after = Arc::new(Results::default());
        let duration = Duration::from_secs(2);
        caller::run(&client, &targets, &CALLS, 120.0, duration, &after).await;
        let ended = after.ended.lock().clone();
        let failed: Vec<_> = ended
            .iter()
            .filter(|call| call.outcome != Outcome::Answered)
            .collect();
        let count = failed.len();
        ensure!(failed.is_empty(), "{count} calls failed: {:?}", failed[0]);
        drop(upstreams);
        mesh.resume(3)
    })
}

/// Guards against a truncated response of an upstream that is passed to the caller as complete.
#[test]
fn upstream_answers_in_part() -> eyre::Result<()> {
    const TRUNCATED_RESPONSES: [(&str, &str); 4] = [
        ("head", "HTTP/1.1 200 OK\r\ncontent-le"),
        ("no body", "HTTP/1.1 200 OK\r\ncontent-length: 10\r\n\r\n"),
        (
            "length",
            "HTTP/1.1 200 OK\r\ncontent-length: 10\r\n\r\n01234",
        ),
        (
            "chunks",
            "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n5\r\n01234\r\n",
        ),
    ];
    run(async {
        let mesh = mesh(5)?;
        approve_everywhere(&mesh, 1).await?;
        for (case, raw_response) in TRUNCATED_RESPONSES {
            check_raw_response(&mesh, case, raw_response, |response| {
                assert_ne!(response.status(), 200, "{case}: {response:?}");
            })
            .await?;
        }
        Ok(())
    })
}

/// Guards against a response of an upstream whose status is invalid and that reaches the caller as
/// an answer, on the host of the upstream or through another daemon, and against an endpoint that
/// is not ejected for such responses.
#[test]
fn upstream_answers_invalid_status() -> eyre::Result<()> {
    const INVALID_RESPONSES: [(&str, &str); 3] = [
        ("000", "HTTP/1.1 000 Odd\r\nx-signature: 3e1b\r\n\r\n"),
        ("600", "HTTP/1.1 600 Odd\r\nx-signature: 3e1b\r\n\r\n"),
        ("999", "HTTP/1.1 999 Odd\r\nx-signature: 3e1b\r\n\r\n"),
    ];
    run(async {
        let mesh = mesh(5)?;
        approve_everywhere(&mesh, 1).await?;
        for (case, raw_response) in INVALID_RESPONSES {
            check_raw_response(&mesh, case, raw_response, |response| {
                let status = response.status().as_u16();
                let expected = match header(response, "sycamoreflow-verdict") {
                    Some("not-run") => 503,
                    _ => 502,
                };
                assert_eq!(status, expected, "{case}: {response:?}");
                let reason = header(response, "sycamoreflow-reason");
                let is_bad = reason == Some("bad-answer");
                assert_eq!(is_bad, status == 502, "{case}: {response:?}");
                assert_eq!(header(response, "x-signature"), None, "{case}");
            })
            .await?;
        }
        // The last endpoint in use is never ejected.
        let _sound = start_upstreams(&mesh, &[4], Duration::ZERO).await?;
        let address = start_truncating_upstream(INVALID_RESPONSES[0].1)?;
        let announcing = task::spawn(announce(
            announcement(address, 8),
            mesh.announce_address(3),
            || true,
        ));
        let (client, mesh) = (&caller::client(), &mesh);
        let target = mesh.calls_address(2);
        wait_for("the ejection of the endpoint", || async move {
            let _ = call(client, target, "POST").await;
            let changes = mesh.metric(2, "sycamoreflow_ejection_changes_total").await;
            changes > Some(0.0)
        })
        .await?;
        announcing.cancel().await;
        Ok(())
    })
}

/// Starts an upstream that sends `raw_response`, and checks the responses to callers until requests
/// of both methods have reached it, through the daemon on its host and through another one.
async fn check_raw_response(
    mesh: &ProcessMesh,
    case: &str,
    raw_response: &'static str,
    check: impl Fn(&Response<Bytes>),
) -> eyre::Result<()> {
    let client = &caller::client();
    let announcement = announcement(start_truncating_upstream(raw_response)?, 8);
    let announcing = task::spawn(announce(announcement, mesh.announce_address(3), || true));
    let check = &check;
    for (index, method) in [(3, "GET"), (3, "POST"), (4, "GET"), (4, "POST")] {
        let target = mesh.calls_address(index);
        // While the upstream is ejected or not yet known, calls are refused as not run.
        wait_for(
            &format!("{case}: a run of {method} through {index}"),
            || async move {
                let Ok(response) = call(client, target, method).await else {
                    return false;
                };
                check(&response);
                let verdict = header(&response, "sycamoreflow-verdict");
                verdict == Some("may-have-run") || verdict == Some("ran")
            },
        )
        .await?;
    }
    announcing.cancel().await;
    Ok(())
}

/// Scenario: an upstream with many slots answers every request with a body without end.
///
/// Guards against a daemon that keeps all of them and exceeds the memory of its host, and against
/// requests for other upstreams that fail meanwhile.
#[test]
fn upstream_answers_without_end() -> eyre::Result<()> {
    const CALLS: usize = 150;
    /// Memory limit of the smallest hosts of the users, in KiB.
    const MAX_MEMORY: u64 = 88 * 1024;
    run(async {
        let mesh = mesh(5)?;
        approve_everywhere(&mesh, 1).await?;
        let announcement = announcement(start_endless_upstream()?, CALLS as u32);
        let announcing = task::spawn(announce(announcement, mesh.announce_address(3), || true));
        let client = caller::client();
        let (client, mesh) = (&client, &mesh);
        let target = mesh.calls_address(3);
        wait_for("a call that reaches the upstream", || async move {
            let response = call(client, target, "POST").await;
            response.is_ok_and(|r| header(&r, "sycamoreflow-verdict") == Some("may-have-run"))
        })
        .await?;
        for _ in 0..3 {
            let calls = (0..CALLS).map(|_| call(client, target, "POST"));
            for response in join_all(calls).await {
                ensure!(response?.status() != 200, "an endless body was passed on");
            }
        }
        announcing.cancel().await;
        let peak = mesh.peak_memory(3)?;
        ensure!(peak < MAX_MEMORY, "the daemon used {peak} KiB");
        Ok(())
    })
}

fn announcement(address: SocketAddr, slots: u32) -> Announcement {
    Announcement {
        service: "orders".into(),
        version: "v1".into(),
        address,
        slots,
        health_path: None,
        load_path: None,
    }
}

/// Starts an upstream that answers every request with a body without end.
fn start_endless_upstream() -> eyre::Result<SocketAddr> {
    let listener = TcpListener::bind("127.0.0.1:0")?;
    let address = listener.local_addr()?;
    std::thread::spawn(move || {
        for stream in listener.incoming() {
            let Ok(mut stream) = stream else {
                continue;
            };
            std::thread::spawn(move || {
                let mut head = [0; 4_096];
                let _ = stream.read(&mut head);
                let _ = stream.write_all(b"HTTP/1.1 200 OK\r\n\r\n");
                while stream.write_all(&[b'a'; 16 * 1024]).is_ok() {}
            });
        }
    });
    Ok(address)
}

/// Starts an upstream that sends `raw_response` to every request and closes the connection.
fn start_truncating_upstream(raw_response: &'static str) -> eyre::Result<SocketAddr> {
    let listener = TcpListener::bind("127.0.0.1:0")?;
    let address = listener.local_addr()?;
    std::thread::spawn(move || {
        for stream in listener.incoming() {
            let Ok(mut stream) = stream else {
                continue;
            };
            let mut head = [0; 4_096];
            let _ = stream.read(&mut head);
            let _ = stream.write_all(raw_response.as_bytes());
        }
    });
    Ok(address)
}

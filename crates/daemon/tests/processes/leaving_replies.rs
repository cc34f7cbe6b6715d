//! Stops of a daemon whose replies are made, but not yet read by those who wait for them.

use std::time::{Duration, Instant};

use async_std::channel;
use async_std::future::timeout;
use async_std::net::TcpStream;
use async_std::task;
use bytes::Bytes;
use eyre::ensure;
use futures::{AsyncReadExt, AsyncWriteExt};
use http::Response;
use rstest::rstest;
use sycamoreflow_protocol::call::{Call, CallReply, CallRequest, CallResult, RequestHead};
use sycamoreflow_protocol::handshake::{Identity, MeshKey, Purpose};
use sycamoreflow_state::endpoint::Announcement;
use sycamoreflow_testbed::mesh::Host;
use sycamoreflow_testbed::process::ProcessMesh;
use sycamoreflow_testbed::upstream;
use sycamoreflow_transport::http::server::{self, ServerHandle};
use sycamoreflow_transport::link::{self, Limits, Receiver, Sender};
use sycamoreflow_transport::listen::listen;

use crate::support::{LIMIT, approve_everywhere, run};

/// Index of the daemon that is stopped.
const LEAVING: usize = 3;
/// Calls in hand when the daemon is stopped. Their answers exceed the buffers of the system.
const CALLS: u64 = 12;
const ANSWER_BYTES: usize = 900_000;
/// Time for which the peer reads nothing. The daemon would exit within it if it didn't wait.
const PAUSE: Duration = Duration::from_millis(2_500);
/// Drain timeout in the test with a peer that never reads.
const DRAIN_TIMEOUT: Duration = Duration::from_millis(2_000);

/// Guards against answers of an upstream that a planned stop discards because the daemon that waits
/// for them reads slowly.
#[test]
fn leaving_with_unread_replies() -> eyre::Result<()> {
    run(async {
        let mut mesh = start(LIMIT)?;
        let (_upstream, _tx, mut rx) = send_calls(&mesh).await?;
        mesh.terminate(LEAVING)?;
        task::sleep(PAUSE).await;
        for received in 0..CALLS {
            let reply = timeout(LIMIT, rx.receive::<CallReply>()).await?;
            let Ok(reply) = reply else {
                eyre::bail!(
                    "{received} of {CALLS} replies: {reply:?}\n{}",
                    mesh.log(LEAVING)
                );
            };
            let CallResult::Answer(answer) = reply.result else {
                eyre::bail!("{:?}", reply.result);
            };
            ensure!(answer.body.len() == ANSWER_BYTES);
        }
        ensure!(timeout(LIMIT, rx.receive::<CallReply>()).await?.is_err());
        let status = mesh.wait_for_exit(LEAVING, LIMIT).await?;
        ensure!(status.code() == Some(0), "{status}\n{}", mesh.log(LEAVING));
        Ok(())
    })
}

/// Guards against responses that a planned stop discards because the caller reads slowly, whether
/// the system's buffers hold all of the response or a part of it.
#[rstest]
#[case::in_system_buffers(100_000)]
#[case::partly_unsent(ANSWER_BYTES)]
fn leaving_with_unread_response(#[case] answer_bytes: usize) -> eyre::Result<()> {
    run(async {
        let mut mesh = start(LIMIT)?;
        approve_everywhere(&mesh, 1).await?;
        let (_upstream, ran_rx) = start_upstream(&mesh, answer_bytes).await?;
        let mut caller = TcpStream::connect(mesh.calls_address(LEAVING)).await?;
        let request = b"GET /orders HTTP/1.1\r\nhost: a\r\n\r\n";
        caller.write_all(request).await?;
        timeout(LIMIT, ran_rx.recv()).await??;
        mesh.terminate(LEAVING)?;
        task::sleep(PAUSE).await;
        let mut response = Vec::new();
        timeout(LIMIT, caller.read_to_end(&mut response)).await??;
        let body = response.iter().rev().take_while(|byte| **byte == b'a');
        ensure!(body.count() == answer_bytes, "{}", mesh.log(LEAVING));
        let status = mesh.wait_for_exit(LEAVING, LIMIT).await?;
        ensure!(status.code() == Some(0), "{status}\n{}", mesh.log(LEAVING));
        Ok(())
    })
}

/// Guards against a peer that reads nothing and so holds a planned stop beyond the drain timeout.
#[test]
fn leaving_with_stuck_peer() -> eyre::Result<()> {
    run(async {
        let mut mesh = start(DRAIN_TIMEOUT)?;
        let (_upstream, _tx, _rx) = send_calls(&mesh).await?;
        let terminated = Instant::now();
        mesh.terminate(LEAVING)?;
        mesh.wait_for_exit(LEAVING, LIMIT).await?;
        let took = terminated.elapsed();
        ensure!(took < DRAIN_TIMEOUT * 2, "{took:?}\n{}", mesh.log(LEAVING));
        Ok(())
    })
}

fn start(drain_timeout: Duration) -> eyre::Result<ProcessMesh> {
    let host = |name: &str| Host {
        daemon: name.to_owned(),
        data_centre: "sfax-a".to_owned(),
    };
    let hosts = ["a-1", "a-2", "a-3", "a-4"].map(host);
    let program = env!("CARGO_BIN_EXE_sycamoreflowd");
    ProcessMesh::start_with(program, "sfax", &hosts, |settings| {
        settings.limits.drain_timeout_ms = drain_timeout.as_millis() as u64;
    })
}

/// Starts an upstream at the daemon that will leave. The channel receives a message for each call
/// that it answers.
async fn start_upstream(
    mesh: &ProcessMesh,
    answer_bytes: usize,
) -> eyre::Result<(ServerHandle, channel::Receiver<()>)> {
    let (ran_tx, ran_rx) = channel::unbounded();
    let listener = listen(([127, 0, 0, 1], 0).into())?;
    let server = server::serve(listener, server::Limits::default(), move |_| {
        let ran_tx = ran_tx.clone();
        async move {
            let _ = ran_tx.try_send(());
            Response::new(Bytes::from(vec![b'a'; answer_bytes]))
        }
    })?;
    let announcement = Announcement {
        service: "orders".into(),
        version: "v1".into(),
        address: server.local_addr(),
        slots: CALLS as u32,
        health_path: None,
        load_path: None,
    };
    let announcing = upstream::announce(announcement, mesh.announce_address(LEAVING), || true);
    timeout(Duration::from_secs(2), announcing).await.ok();
    Ok((server, ran_rx))
}

/// Starts an upstream with large answers, opens a link to its daemon, and returns once the upstream
/// has answered all calls. Nothing is read from the link.
async fn send_calls(mesh: &ProcessMesh) -> eyre::Result<(ServerHandle, Sender, Receiver)> {
    let (server, ran_rx) = start_upstream(mesh, ANSWER_BYTES).await?;
    let settings = mesh.settings(LEAVING);
    let identity = Identity {
        mesh: settings.mesh.clone(),
        daemon: "peer".into(),
        key: MeshKey::new(settings.mesh_key()?.expose().as_bytes().to_vec())?,
    };
    let address = settings.listen.link;
    let (tx, rx) = link::connect(address, &identity, Purpose::Calls, &Limits::default()).await?;
    for id in 1..=CALLS {
        tx.send(&CallRequest::Call(Box::new(call(id))))?;
    }
    for _ in 0..CALLS {
        timeout(LIMIT, ran_rx.recv()).await??;
    }
    task::sleep(Duration::from_millis(300)).await;
    Ok((server, tx, rx))
}

fn call(id: u64) -> Call {
    Call {
        id,
        remaining_ms: LIMIT.as_millis() as u32,
        service: "orders".into(),
        version: "v1".into(),
        route: "read-orders".into(),
        tenant: "default".into(),
        attempt: 0,
        key: None,
        fingerprint: None,
        urgency: Default::default(),
        caller: None,
        head: RequestHead {
            method: "GET".into(),
            path_and_query: "/orders".into(),
            headers: Vec::new(),
        },
        body: Vec::new(),
    }
}

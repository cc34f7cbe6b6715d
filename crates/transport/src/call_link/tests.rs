use std::sync::atomic::AtomicUsize;

use async_std::task::sleep;
use futures::channel::mpsc;
use futures::future::join_all;
use futures::{StreamExt, join};
use sycamoreflow_protocol::call::RequestHead;

use super::*;
use crate::link::tests::{limits, open};

fn call(body: &[u8]) -> Call {
    Call {
        id: 0,
        remaining_ms: 0,
        service: "orders".into(),
        version: "v1".into(),
        route: "r".into(),
        tenant: "t".into(),
        attempt: 0,
        key: None,
        fingerprint: None,
        urgency: Default::default(),
        caller: None,
        head: RequestHead {
            method: "POST".into(),
            path_and_query: "/".into(),
            headers: Vec::new(),
        },
        body: body.to_vec(),
    }
}

fn answer(body: Vec<u8>) -> CallResult {
    CallResult::Answer(Answer {
        status: 200,
        headers: Vec::new(),
        body,
    })
}

fn deadline() -> Instant {
    Instant::now() + Duration::from_secs(5)
}

/// Guards against delivering replies to the wrong calls when they arrive in another order than the
/// calls were sent in.
#[async_std::test]
async fn call_answers_out_of_order() {
    let ((a_tx, a_rx), (b_tx, b_rx)) = open(&limits(), &limits()).await;
    task::spawn(serve(b_tx, b_rx, 1000, |call, _| async move {
        sleep(Duration::from_millis(u64::from(200 - call.body[0]) / 8)).await;
        answer(call.body)
    }));
    let client = CallClient::start(a_tx, a_rx);
    let calls = (0..200_u8).map(|number| {
        let client = &client;
        async move { (number, client.call(call(&[number]), deadline()).await) }
    });
    for (number, outcome) in join_all(calls).await {
        assert_eq!(outcome.unwrap().body, [number]);
    }
    assert_eq!((client.in_flight(), client.dropped_replies()), (0, 0));
}

/// Guards against delivering late, repeated or unknown replies to another call.
#[async_std::test]
async fn call_answers_late_and_repeated() {
    let ((a_tx, a_rx), (b_tx, mut b_rx)) = open(&limits(), &limits()).await;
    let client = CallClient::start(a_tx, a_rx);
    let server = async {
        let mut ids = Vec::new();
        while ids.len() < 2 {
            if let CallRequest::Call(call) = b_rx.receive().await.unwrap() {
                ids.push(call.id);
            }
        }
        for (id, body) in [(ids[0], 0), (77, 1), (ids[1], 2), (ids[1], 3)] {
            let result = answer(vec![body]);
            b_tx.send(&CallReply {
                id,
                result,
                load: None,
            })
            .unwrap();
        }
    };
    let calls = async {
        let early = Instant::now() + Duration::from_millis(50);
        let first = client.call(call(&[]), early).await;
        let second = client.call(call(&[]), deadline()).await;
        (first, second)
    };
    let ((first, second), ()) = join!(calls, server);
    let late = Failure::may_have_run(Reason::DeadlineExceeded);
    assert_eq!(first, Err(late));
    assert_eq!(second.unwrap().body, [2]);
    while client.dropped_replies() < 3 {
        sleep(Duration::from_millis(1)).await;
    }
}

/// Guards against an answer whose status is invalid that passes for the answer of an upstream, and
/// against other calls on the link that fail with it.
#[async_std::test]
async fn call_answer_with_invalid_status() {
    let ((a_tx, a_rx), (b_tx, b_rx)) = open(&limits(), &limits()).await;
    task::spawn(serve(b_tx, b_rx, 10, |call, _| async move {
        let status = u16::from_be_bytes([call.body[0], call.body[1]]);
        CallResult::Answer(Answer {
            status,
            headers: vec![("response-signature".into(), b"3e1b.07".to_vec().into())],
            body: Vec::new(),
        })
    }));
    let client = CallClient::start(a_tx, a_rx);
    for status in [0, 99, 100, 101, 199, 600, 999, 1_000, u16::MAX] {
        let outcome = client.call(call(&status.to_be_bytes()), deadline()).await;
        let bad = Failure::may_have_run(Reason::BadAnswer);
        assert_eq!(outcome, Err(bad), "{status}");
    }
    for status in [200_u16, 599] {
        let outcome = client.call(call(&status.to_be_bytes()), deadline()).await;
        assert_eq!(outcome.map(|answer| answer.status), Ok(status));
    }
    assert!(!client.is_closed());
}

/// Guards against the verdict `NotRun` for a call that the other end received before the link
/// ended.
#[async_std::test]
async fn call_link_lost() {
    let ((a_tx, a_rx), (b_tx, mut b_rx)) = open(&limits(), &limits()).await;
    let client = CallClient::start(a_tx, a_rx);
    let server = async {
        let received: CallRequest = b_rx.receive().await.unwrap();
        assert!(matches!(received, CallRequest::Call(_)));
        drop((b_tx, b_rx));
    };
    let (outcome, ()) = join!(client.call(call(&[]), deadline()), server);
    let lost = Failure::may_have_run(Reason::ConnectionLost);
    assert_eq!(outcome, Err(lost));
    let refused = client.call(call(&[]), deadline()).await;
    assert_eq!(refused, Err(Failure::not_run(Reason::ConnectionLost)));
}

/// Guards against the verdict `MayHaveRun` for a call that reaches the other end when that has
/// closed the link because it is about to stop.
#[async_std::test]
async fn call_link_drained() {
    let ((a_tx, a_rx), (b_tx, mut b_rx)) = open(&limits(), &limits()).await;
    let client = CallClient::start(a_tx, a_rx);
    let server = async {
        let _: CallRequest = b_rx.receive().await.unwrap();
        b_tx.close_drained();
        b_rx.receive::<CallRequest>().await.unwrap_err();
    };
    let (outcome, ()) = join!(client.call(call(&[]), deadline()), server);
    assert_eq!(outcome, Err(Failure::not_run(Reason::Draining)));
}

/// Guards against a drain that closes a link before its calls have replies, or that never closes
/// it.
#[async_std::test]
async fn serve_until_drained() {
    let ((a_tx, a_rx), (b_tx, b_rx)) = open(&limits(), &limits()).await;
    let drain = Drain::default();
    let client = CallClient::start(a_tx, a_rx);
    let serving = serve_with_load(b_tx, b_rx, 10, &drain, |call, _| async move {
        sleep(Duration::from_millis(300)).await;
        (answer(call.body), None)
    });
    let calling = async {
        let early = client.call(call(&[1]), deadline());
        let late = async {
            sleep(Duration::from_millis(100)).await;
            drain.start();
            sleep(Duration::from_millis(100)).await;
            client.call(call(&[2]), deadline()).await
        };
        join!(early, late)
    };
    let (_, (early, late)) = join!(serving, calling);
    assert_eq!(
        (early.unwrap().body, late.unwrap().body),
        (vec![1], vec![2])
    );
    assert_eq!(drain.open_links(), 0);
}

/// Guards against the verdict `MayHaveRun` for a call that was never queued for writing.
#[async_std::test]
async fn call_never_written() {
    let full = crate::link::Limits {
        queue_frames: 0,
        ..limits()
    };
    let ((a_tx, a_rx), _b) = open(&full, &limits()).await;
    let client = CallClient::start(a_tx, a_rx);
    let outcome = client.call(call(&[]), deadline()).await;
    assert_eq!(outcome, Err(Failure::not_run(Reason::Overloaded)));
    let outcome = client.call(call(&[0; 5 << 20]), deadline()).await;
    assert_eq!(outcome, Err(Failure::not_run(Reason::BadRequest)));
    let outcome = client.call(call(&[]), Instant::now()).await;
    assert_eq!(outcome, Err(Failure::not_run(Reason::DeadlineExceeded)));
    assert_eq!(client.in_flight(), 0);
}

/// Increments a counter when dropped.
struct CountDrop(Arc<AtomicUsize>);

impl Drop for CountDrop {
    fn drop(&mut self) {
        self.0.fetch_add(1, Ordering::SeqCst);
    }
}

/// Guards against calls that keep running after the client has cancelled them or the link has
/// ended.
#[async_std::test]
async fn call_cancelled() {
    let ((a_tx, a_rx), (b_tx, b_rx)) = open(&limits(), &limits()).await;
    let (started_tx, mut started) = mpsc::unbounded();
    let dropped = Arc::new(AtomicUsize::new(0));
    let counter = dropped.clone();
    task::spawn(serve(b_tx, b_rx, 10, move |_, _| {
        let guard = CountDrop(counter.clone());
        let started = started_tx.clone();
        async move {
            started.unbounded_send(()).unwrap();
            futures::future::pending::<()>().await;
            drop(guard);
            answer(Vec::new())
        }
    }));
    let client = Arc::new(CallClient::start(a_tx, a_rx));
    let mut calls = Vec::new();
    for _ in 0..2 {
        let client = client.clone();
        calls.push(task::spawn(async move {
            client.call(call(&[]), deadline()).await
        }));
        started.next().await.unwrap();
    }
    calls.pop().unwrap().cancel().await;
    while dropped.load(Ordering::SeqCst) < 1 {
        sleep(Duration::from_millis(1)).await;
    }
    client.sender().close();
    while dropped.load(Ordering::SeqCst) < 2 {
        sleep(Duration::from_millis(1)).await;
    }
    let lost = Failure::may_have_run(Reason::ConnectionLost);
    assert_eq!(calls.pop().unwrap().await, Err(lost));
}

/// Guards against running more calls than the limit, and against refusing the excess ones with
/// another verdict than `NotRun`.
#[async_std::test]
async fn call_above_limit() {
    let ((a_tx, a_rx), (b_tx, b_rx)) = open(&limits(), &limits()).await;
    task::spawn(serve(b_tx, b_rx, 1, |_, _| async {
        sleep(Duration::from_millis(100)).await;
        answer(Vec::new())
    }));
    let client = CallClient::start(a_tx, a_rx);
    let (first, second) = join!(
        client.call(call(&[]), deadline()),
        client.call(call(&[]), deadline())
    );
    assert!(first.is_ok());
    assert_eq!(second, Err(Failure::not_run(Reason::Overloaded)));
}

/// Guards against leaving a call without a reply when its answer does not fit into a frame.
#[async_std::test]
async fn call_answer_too_large() {
    let ((a_tx, a_rx), (b_tx, b_rx)) = open(&limits(), &limits()).await;
    task::spawn(serve(b_tx, b_rx, 1, |_, _| async {
        answer(vec![0; codec::MAX_FRAME_BYTES])
    }));
    let client = CallClient::start(a_tx, a_rx);
    let outcome = client.call(call(&[]), deadline()).await;
    assert_eq!(outcome, Err(Failure::may_have_run(Reason::BadAnswer)));
}

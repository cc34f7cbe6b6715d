#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use std::time::{Duration, Instant};

use async_std::net::TcpListener;
use sycamoreflow_coordination::fingerprint::Fingerprint;
use sycamoreflow_coordination::suspect::relay::BATCH_ENTRIES;
use sycamoreflow_coordination::suspect::{CrashId, SuspectEntry};
use sycamoreflow_protocol::handshake::{Identity, MeshKey, Purpose};
use sycamoreflow_transport::link::{self, Receiver};

use super::*;

/// Returns the records of one crash with `in_flight` requests.
fn crash(seq: u64, in_flight: usize) -> SuspectReport {
    let entry = |number: usize| SuspectEntry {
        request: Fingerprint::of(&"grocers".into(), "POST", &format!("/{seq}/{number}"), b""),
        crash: CrashId {
            daemon: "sfax-a-1".into(),
            boot: 1,
            seq,
        },
        remaining: Millis(600_000),
        alone: in_flight == 1,
        cleared: false,
    };
    SuspectReport {
        entries: (0..in_flight).map(entry).collect(),
    }
}

/// Opens a link, and returns the sender of one end and the receiver of the other.
async fn open_link() -> (Sender, Receiver) {
    let identity = |daemon: &str| Identity {
        mesh: "sfax".to_owned(),
        daemon: daemon.into(),
        key: MeshKey::new([7; 32]).unwrap(),
    };
    let limits = link::Limits::default();
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let accepting = async {
        let (stream, _) = listener.accept().await.unwrap();
        let (_, _, tx, rx) = link::accept(stream, &identity("sfax-a-2"), &limits)
            .await
            .unwrap();
        (tx, rx)
    };
    let subscriber = identity("sfax-b-1");
    let connecting = link::connect(address, &subscriber, Purpose::Distribution, &limits);
    let ((tx, unused_rx), connected) = futures::join!(accepting, connecting);
    let (unused_tx, rx) = connected.unwrap();
    // Both ends of a link must stay open and be received from.
    async_std::task::spawn(async move {
        let (_tx, mut rx) = (unused_tx, unused_rx);
        while rx.receive_encoded().await.is_ok() {}
    });
    (tx, rx)
}

/// Guards against batches that follow each other without a pause while many upstreams crash, and
/// against records that a subscriber never receives although it has subscribed after the crash.
#[async_std::test]
async fn serve_subscriber_in_batches() {
    const CRASHES: u64 = 12;
    const IN_FLIGHT: usize = 6;
    let exchange = std::sync::Arc::new(SuspectExchange::default());
    exchange.merge(&crash(0, IN_FLIGHT), Source::Replica);
    let (tx, mut rx) = open_link().await;
    let started = Instant::now();
    let serving = exchange.clone();
    async_std::task::spawn(async move { serving.serve_subscriber(&tx).await });
    let (mut records, mut batches) = (0, 0);
    while records < (CRASHES as usize + 1) * IN_FLIGHT {
        let frame = rx.receive_encoded().await.unwrap();
        let FromReplica::Suspects(batch) = FromReplica::from_frame(&frame).unwrap() else {
            panic!("another message than a batch");
        };
        assert!(batch.entries.len() <= BATCH_ENTRIES);
        records += batch.entries.len();
        batches += 1;
        if batches == 1 {
            for seq in 1..=CRASHES {
                exchange.merge(&crash(seq, IN_FLIGHT), Source::Subscriber);
            }
        }
    }
    let pauses = Duration::from_millis(BATCH_INTERVAL.0) * (batches - 1);
    assert!(started.elapsed() >= pauses, "{batches} batches");
    assert_eq!(
        batches, 4,
        "one batch at once and three for the other crashes"
    );
}

/// Guards against a request that is refused for longer than its records are valid, because a daemon
/// that starts later receives the remaining times of an earlier batch.
#[test]
fn batch_for_subscriber_remaining_times() {
    let mut state = State::default();
    state.merge(Millis(0), &crash(0, 1), Source::Subscriber);
    let mut remaining = |now| {
        let cursor = RelayCursor::of_subscriber();
        let frame = state
            .batch_for_subscriber(Millis(now), cursor)
            .unwrap()
            .frame;
        match FromReplica::from_frame(&frame.unwrap()).unwrap() {
            FromReplica::Suspects(batch) => batch.entries[0].remaining,
            message => panic!("{message:?}"),
        }
    };
    assert_eq!(remaining(1_000), Millis(599_000));
    assert!(remaining(1_500) <= Millis(599_000));
    assert_eq!(remaining(500_000), Millis(100_000));
}

/// Guards against one encoding per subscriber of a batch that is the same for all of them.
#[test]
fn batch_for_subscriber_shared() {
    let mut state = State::default();
    state.merge(Millis(0), &crash(0, 3), Source::Subscriber);
    let cursor = RelayCursor::of_subscriber();
    let first = state.batch_for_subscriber(Millis(1), cursor).unwrap();
    let second = state.batch_for_subscriber(Millis(2), cursor).unwrap();
    let (first, second) = (first.frame.unwrap(), second.frame.unwrap());
    assert_eq!(first.as_ptr(), second.as_ptr());
    state.merge(Millis(3), &crash(1, 3), Source::Subscriber);
    let third = state.batch_for_subscriber(Millis(4), cursor).unwrap();
    assert_ne!(third.frame.unwrap(), first);
}

use super::*;

const WAIT: Duration = Duration::from_millis(1);

fn soft() -> Event {
    Event::Forwarded {
        via: None,
        messages: Vec::new(),
    }
}

/// Guards against heartbeats, votes and changes of operators that wait behind the soft state of
/// daemons, so that a group loses its leader when thousands of daemons report at once.
#[test]
fn next_batch_behind_soft_state() {
    let (tx, rx) = event_queue();
    for _ in 0..1_000 {
        assert!(tx.send(soft()));
    }
    assert!(tx.send(Event::TransferLeadership));
    let batch = rx.next_batch(WAIT).unwrap_or_default();
    assert!(matches!(batch[0], Event::TransferLeadership));
    assert_eq!(batch.len(), MAX_EVENTS_PER_SLICE);
}

/// Guards against leases that expire because the replica handles nothing but Raft messages.
#[test]
fn next_batch_leaves_room_for_soft_state() {
    let (tx, rx) = event_queue();
    for _ in 0..1_000 {
        tx.send(Event::TransferLeadership);
    }
    tx.send(soft());
    let batch = rx.next_batch(WAIT).unwrap_or_default();
    assert!(batch.iter().any(Event::is_soft));
}

/// Guards against a replica that is killed for its memory while its disk stalls.
#[test]
fn send_bounded() {
    let (tx, rx) = event_queue();
    for _ in 0..MAX_SOFT_EVENTS + 100 {
        assert!(tx.send(soft()));
    }
    assert_eq!(rx.soft.len(), MAX_SOFT_EVENTS);
}

/// Guards against a thread that outlives its replica.
#[test]
fn next_batch_without_senders() {
    let (tx, rx) = event_queue();
    drop(tx);
    let result = rx.next_batch(WAIT);
    assert!(matches!(result, Err(RecvTimeoutError::Disconnected)));
}

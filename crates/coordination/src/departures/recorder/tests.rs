use super::*;

fn departure(number: usize) -> Departure {
    Departure {
        instance: format!("i-{number}"),
        started_at: 1_000,
        is_final: true,
    }
}

fn recorder(departures: usize) -> Recorder {
    let mut recorder = Recorder::default();
    for number in 0..departures {
        recorder.add(&"a".into(), &departure(number));
        recorder.add(&"a".into(), &departure(number));
    }
    recorder
}

/// Guards against a log entry for each departure while many instances leave, and against one that is
/// left out.
#[test]
fn next_batch_many_departures() {
    let mut recorder = recorder(MAX_BATCH + 1);
    let first = recorder.next_batch(Millis(0)).unwrap_or_default();
    assert_eq!(first.len(), MAX_BATCH);
    assert_eq!(recorder.next_batch(Millis(10)), None, "in progress");
    recorder.committed(&first);
    assert_eq!(recorder.next_batch(Millis(20)), None, "not published");
    recorder.published();
    let second = recorder.next_batch(Millis(30)).unwrap_or_default();
    assert_eq!(second, [("a".into(), departure(MAX_BATCH))]);
    recorder.committed(&second);
    recorder.published();
    assert_eq!(recorder.next_batch(Millis(40)), None);
}

/// Guards against a departure that is never recorded because the entry with it was lost.
#[test]
fn next_batch_entry_lost() {
    let mut recorder = recorder(1);
    let lost = recorder.next_batch(Millis(0));
    assert!(lost.is_some());
    assert_eq!(recorder.next_batch(Millis(RETRY_INTERVAL.0 - 1)), None);
    assert_eq!(recorder.next_batch(RETRY_INTERVAL), lost);
}

/// Guards against views that are withheld while the disks of the control group stall.
#[test]
fn holds_publication_bounded() {
    let mut recorder = recorder(1);
    assert!(!recorder.holds_publication(Millis(0)));
    let batch = recorder.next_batch(Millis(0)).unwrap_or_default();
    assert!(recorder.holds_publication(Millis(MAX_HOLD.0 - 1)));
    assert!(!recorder.holds_publication(MAX_HOLD));
    recorder.published();
    assert_eq!(recorder.next_batch(MAX_HOLD), None, "still in progress");
    recorder.committed(&batch);
    assert!(!recorder.holds_publication(Millis(MAX_HOLD.0 - 1)));
}

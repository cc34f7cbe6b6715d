use rstest::rstest;

use super::*;

fn departure(instance: &str, started_at: u64, is_final: bool) -> Departure {
    Departure {
        instance: instance.to_owned(),
        started_at,
        is_final,
    }
}

/// Guards against late reports that are believed, and against reports of other instances that are
/// ignored.
#[rstest]
#[case::ready_after_final(true, "i-1", 1_000, false, true)]
#[case::draining_after_final(true, "i-1", 1_000, true, true)]
#[case::ready_after_draining(false, "i-1", 1_000, false, true)]
#[case::still_draining(false, "i-1", 1_000, true, false)]
#[case::earlier_start(true, "i-1", 900, false, true)]
#[case::later_start(true, "i-1", 1_001, false, false)]
#[case::other_instance(true, "i-2", 1_000, false, false)]
fn excludes_report(
    #[case] is_final: bool,
    #[case] instance: &str,
    #[case] started_at: u64,
    #[case] draining: bool,
    #[case] expected: bool,
) {
    let mut departures = Departures::default();
    departures.record(Millis(0), &departure("i-1", 1_000, is_final));
    assert_eq!(
        departures.excludes(instance, started_at, draining),
        expected
    );
}

/// Guards against departures that are distributed for ever because the daemon repeats them.
#[test]
fn record_repeated() {
    let mut departures = Departures::default();
    assert!(departures.record(Millis(0), &departure("i-1", 1_000, false)));
    assert!(!departures.record(Millis(30_000), &departure("i-1", 1_000, false)));
    assert!(departures.record(Millis(40_000), &departure("i-1", 1_000, true)));
    assert!(!departures.record(Millis(50_000), &departure("i-1", 1_000, false)));
    assert_eq!(
        departures.recent(Millis(59_999)),
        [departure("i-1", 1_000, true)]
    );
    assert!(departures.recent(Millis(60_000)).is_empty());
    assert!(departures.expire(Millis(60_000)));
    assert!(departures.is_empty());
}

/// Guards against memory that grows with the number of departures.
#[test]
fn record_many() {
    let mut departures = Departures::default();
    for number in 0..1_000 {
        departures.record(Millis(number), &departure(&format!("i-{number}"), 1, true));
    }
    assert_eq!(departures.recent(Millis(1_000)).len(), MAX_DEPARTURES);
    assert!(departures.excludes("i-999", 1, false));
}

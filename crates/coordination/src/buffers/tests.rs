use rstest::rstest;

use super::*;

const KIB: u64 = 1024;

fn holding(id: u64, kib: u64, activity: Activity, quiet: u64) -> Holding {
    Holding {
        id,
        bytes: kib * KIB,
        activity,
        quiet: Millis(quiet),
        has_served: true,
    }
}

fn closing(ids: &[u64], is_enough: bool) -> Closing {
    Closing {
        ids: ids.to_vec(),
        is_enough,
    }
}

/// Answers many bodies that stop just short of their end: the largest stalled ones go first, one
/// that still arrives stays although it is larger.
#[test]
fn holdings_to_close_stalled_first() {
    let holdings = [
        holding(1, 900, Activity::Receiving, 0),
        holding(2, 100, Activity::Receiving, 5_000),
        holding(3, 700, Activity::Receiving, 2_000),
        holding(4, 300, Activity::Sending, 1_000),
    ];
    let close = |kib: u64| holdings_to_close(&holdings, kib * KIB);
    assert_eq!(close(1), closing(&[3], true));
    assert_eq!(close(900), closing(&[3, 4], true));
    assert_eq!(close(1_200), closing(&[3, 4, 2, 1], true));
    assert_eq!(close(3_000), closing(&[3, 4, 2, 1], false));
}

/// Guards against closing connections whose requests run or which hold nothing to speak of.
#[test]
fn holdings_to_close_only_running() {
    let holdings = [
        holding(1, 900, Activity::Running, 5_000),
        holding(2, 8, Activity::Idle, 5_000),
    ];
    assert_eq!(holdings_to_close(&holdings, 1), closing(&[], false));
}

/// Answers connections that are opened and left alone: they give way, unlike a busy one.
#[rstest]
#[case::unused_before_used(&[(1, Activity::Idle, 9_000, true), (2, Activity::Idle, 300, false)], Some(2))]
#[case::longest_idle(&[(1, Activity::Idle, 300, true), (2, Activity::Idle, 9_000, true)], Some(2))]
#[case::idle_before_stalled(&[(1, Activity::Receiving, 9_000, true), (2, Activity::Idle, 300, true)], Some(2))]
#[case::stalled(&[(1, Activity::Running, 9_000, true), (2, Activity::Sending, 1_000, true)], Some(2))]
#[case::new(&[(1, Activity::Idle, 100, false), (2, Activity::Receiving, 900, false)], None)]
fn connection_to_close_order(
    #[case] connections: &[(u64, Activity, u64, bool)],
    #[case] expected: Option<u64>,
) {
    let holdings: Vec<Holding> = connections
        .iter()
        .map(|&(id, activity, quiet, has_served)| Holding {
            has_served,
            ..holding(id, 8, activity, quiet)
        })
        .collect();
    assert_eq!(connection_to_close(&holdings), expected);
}

/// Answers a crowd of large bodies that fills its share: an ordinary request still fits.
#[test]
fn limit_small_and_large() {
    let budget = Budget::new(8_000);
    assert_eq!(budget.limit(SMALL_BYTES), 8_000);
    assert_eq!(budget.limit(SMALL_BYTES + 1), 7_000);
    assert!(budget.is_scarce(7_000) && !budget.is_scarce(6_999));
}

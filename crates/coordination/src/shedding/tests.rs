use rstest::rstest;

use super::*;

fn value(target_ms: u64, deadline_ms: u64) -> AnswerValue {
    AnswerValue {
        target: Micros(target_ms * 1_000),
        deadline: Some(Micros(deadline_ms * 1_000)),
        late: 0.3,
    }
}

/// Guards against calls that wait where they cannot be answered in time, against refusals of calls
/// that can, and against late calls that are refused although there is room soon.
#[rstest]
#[case::in_time(value(600, 2_000), 200, false)]
#[case::close(value(600, 2_000), 400, false)]
#[case::late_here(value(600, 2_000), 800, true)]
#[case::never_here(value(600, 2_000), 5_000, true)]
#[case::late_but_soon(value(0, 1_500), 100, false)]
#[case::late_and_far(value(0, 1_500), 1_000, true)]
fn gives_way_wait(#[case] value: AnswerValue, #[case] wait_ms: u64, #[case] expected: bool) {
    let wait = wait_ms as f64 * 1_000.0;
    assert_eq!(value.gives_way(wait, 190_000.0), expected);
}

/// Guards against a value that grows with the delay or is left after the deadline.
#[test]
fn cost_of_delay_grows() {
    let value = value(600, 2_000);
    let costs = [0.0, 2e5, 4e5, 8e5, 2e6, 8e6].map(|wait| value.cost_of_delay(wait, 190_000.0));
    assert!(costs.is_sorted(), "{costs:?}");
    assert!(value.expected(8e6) < 0.01);
}

/// Guards against callers who all return while an overload lasts and are refused for good, and
/// against long delays after a single refusal.
#[test]
fn refused_lasting_overload() {
    let mut timer = OverloadTimer::default();
    assert_eq!(timer.refused(Millis(1_000)), Millis(0));
    for now in (1_100..3_000).step_by(300) {
        timer.refused(Millis(now));
    }
    assert_eq!(timer.refused(Millis(3_000)), Millis(2_000));
    assert_eq!(timer.refused(Millis(9_000)), Millis(0));
}

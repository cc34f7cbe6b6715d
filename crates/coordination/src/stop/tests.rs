use rstest::rstest;

use super::*;

const STOP_AT: Millis = Millis(1_000);

/// Guards against requests that are accepted although the stop may cut them.
#[rstest]
#[case::ends_before(6_400, false, true, true)]
#[case::outlasts(6_401, false, false, false)]
#[case::outlasts_idempotent(9_000, true, false, true)]
#[case::outlasts_announced(9_000, true, true, false)]
fn accepts_request_during_stop(
    #[case] deadline: u64,
    #[case] idempotent: bool,
    #[case] is_announced: bool,
    #[case] accepted: bool,
) {
    let stop = Stop::new(STOP_AT, Millis(5_500));
    let deadline = Millis(deadline);
    assert_eq!(
        stop.accepts_request(deadline, idempotent, is_announced),
        accepted
    );
    assert!(stop.accepts_call(stop.bounded(deadline)));
}

/// Guards against calls of other daemons that a stopping owner accepts and then cuts.
#[rstest]
#[case::ends_before(6_400, true)]
#[case::outlasts(6_401, false)]
fn accepts_call_during_stop(#[case] deadline: u64, #[case] accepted: bool) {
    let stop = Stop::new(STOP_AT, Millis(5_500));
    assert_eq!(stop.accepts_call(Millis(deadline)), accepted);
}

/// Guards against a short drain timeout that leaves no time for work.
#[test]
fn new_short_timeout() {
    let stop = Stop::new(STOP_AT, Millis(40));
    assert_eq!(stop.answers_due(), Millis(1_030));
}

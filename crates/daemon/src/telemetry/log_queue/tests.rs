use super::*;

/// Guards against a burst of answers that pushes out the lines about failures, and against lines
/// that are left out without a trace.
#[test]
fn allows_burst() {
    let quota = Quota::default();
    let start = Instant::now();
    let written = |target: &str, count: usize, now: Instant| {
        (0..count).filter(|_| quota.allows(target, now)).count() as u64
    };
    assert_eq!(written(ANSWERS, 500, start), ANSWERS_PER_SECOND);
    assert_eq!(written(REFUSALS, 100, start), 100);
    assert_eq!(written("sycamoreflow_daemon", 500, start), 500);
    assert_eq!(quota.take_left_out(), (500 - ANSWERS_PER_SECOND, 0));
    assert_eq!(quota.take_left_out(), (0, 0));
    let later = start + INTERVAL;
    assert_eq!(written(ANSWERS, 10, later), 10);
}

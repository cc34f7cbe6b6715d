use super::*;

/// Guards against a burst of answers that suppresses the lines about failures, and against
/// suppressed lines that are not counted.
#[test]
fn allows_burst() {
    let rate_limits = RateLimits::default();
    let start = Instant::now();
    let written = |target: &str, count: usize, now: Instant| {
        (0..count)
            .filter(|_| rate_limits.allows(target, now))
            .count() as u64
    };
    assert_eq!(written(ANSWERS, 500, start), ANSWERS_PER_SECOND);
    assert_eq!(written(REFUSALS, 100, start), 100);
    assert_eq!(written("sycamoreflow_daemon", 500, start), 500);
    assert_eq!(rate_limits.take_suppressed(), (500 - ANSWERS_PER_SECOND, 0));
    assert_eq!(rate_limits.take_suppressed(), (0, 0));
    let later = start + RATE_INTERVAL;
    assert_eq!(written(ANSWERS, 10, later), 10);
}

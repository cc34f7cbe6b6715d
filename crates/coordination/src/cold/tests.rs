use std::collections::VecDeque;

use proptest::prelude::*;
use rstest::rstest;

use super::*;

const COLD: ColdStart = ColdStart {
    duration: Millis(3_000),
    rate: 6.75,
    burst: 8,
};

fn millis(time: u64) -> Millis {
    Millis(time)
}

/// Returns the largest number of sends in any second.
fn most_in_a_second(sends: &[u64]) -> usize {
    let mut window = VecDeque::new();
    let mut most = 0;
    for send in sends {
        window.push_back(*send);
        while window.front().is_some_and(|first| first + 1_000 <= *send) {
            window.pop_front();
        }
        most = most.max(window.len());
    }
    most
}

proptest! {
    /// Answers a data centre that returns together: every entry daemon sends to the few endpoints
    /// that it knows. No arrival pattern, and no restart of the daemon, may exceed the limit in any
    /// second.
    #[test]
    fn take_any_arrivals(
        gaps in proptest::collection::vec(0..180u64, 1..300),
        restart_at in 0..300usize,
        burst in 0..12u32,
        rate in 1.0..20.0f64,
    ) {
        let cfg = ColdStart { burst, rate, ..COLD };
        let mut limiter = ColdLimiter::new(millis(1), Some(cfg));
        limiter.reported(millis(1), Some(Millis(1_000_000)));
        let (mut now, mut sends) = (1, Vec::new());
        for (index, gap) in gaps.iter().enumerate() {
            now += gap;
            if index == restart_at {
                limiter = ColdLimiter::new(millis(now), Some(cfg));
                limiter.reported(millis(now), Some(Millis(1_000_000)));
            }
            if limiter.take(millis(now)) {
                sends.push(now);
            }
        }
        // A rate and a burst that leave no room for a whole call still let single calls through.
        let limit = (rate + f64::from(burst) - MARGIN).max(1.0 + MIN_RATE);
        prop_assert!(most_in_a_second(&sends) as f64 <= limit, "{sends:?}");
    }
}

/// Guards against an upstream that is kept almost idle while it is cold: it takes calls at the rate
/// that it bears, and as many as it likes once it is warm.
#[test]
fn take_steady_load() {
    let mut limiter = ColdLimiter::new(millis(1), Some(COLD));
    limiter.reported(millis(1), Some(Millis(3_000)));
    let sent = |limiter: &mut ColdLimiter, from: u64| {
        let times = (from..from + 3_000).step_by(10);
        times.filter(|now| limiter.take(millis(*now))).count()
    };
    let cold = sent(&mut limiter, 1);
    assert!((19..=27).contains(&cold), "{cold}");
    assert_eq!(sent(&mut limiter, 3_001), 300);
}

/// Guards against the time of the cold start that is taken from the clock of the upstream, or that
/// a wait is named after which the call is refused again.
#[test]
fn wait_names_next_call() {
    let mut limiter = ColdLimiter::new(millis(1), Some(COLD));
    limiter.reported(millis(1), Some(Millis(60_000)));
    let mut now = 1;
    for _ in 0..50 {
        let wait = limiter.wait(millis(now));
        if wait.0 > 1 {
            assert!(!limiter.clone().take(millis(now + wait.0 - 2)));
        }
        now += wait.0;
        assert!(limiter.take(millis(now)), "refused after {wait:?}");
    }
}

/// Answers a restored data centre whose endpoints became cold meanwhile: the first report may have
/// been sent before that. An endpoint that never tells is cold for the configured time.
#[rstest]
#[case::tells(true, 2)]
#[case::silent(false, 0)]
fn suspect_until_confirmed(#[case] tells: bool, #[case] reports: usize) {
    let mut limiter = ColdLimiter::new(millis(1), Some(COLD));
    let told = tells.then_some(Millis(0));
    limiter.reported(millis(1), told);
    assert_eq!(limiter.is_cold(millis(2)), !tells);
    assert!(!limiter.is_cold(millis(10_000)));
    limiter.suspect(millis(10_000));
    for report in 0..reports {
        let now = millis(10_100 + report as u64);
        assert!(limiter.is_cold(now), "warm after {report} reports");
        limiter.reported(now, told);
    }
    assert_eq!(limiter.is_cold(millis(12_999)), !tells);
    assert!(!limiter.is_cold(millis(13_000)));
}

/// Guards against an endpoint that turns cold while it serves and gets more than its limit in the
/// second after, on top of the calls before.
#[test]
fn reported_cold_while_serving() {
    let mut limiter = ColdLimiter::new(millis(1), Some(COLD));
    limiter.reported(millis(1), Some(Millis(0)));
    for now in 1_000..1_050 {
        assert!(limiter.take(millis(now)));
    }
    limiter.reported(millis(1_050), Some(Millis(3_000)));
    let sends = (1_050..2_050).filter(|now| limiter.take(millis(*now)));
    assert!(sends.count() <= 6);
}

/// Guards against deployments without the setting that are limited.
#[test]
fn take_without_configuration() {
    let mut limiter = ColdLimiter::new(millis(1), None);
    limiter.reported(millis(1), Some(Millis(3_000)));
    limiter.suspect(millis(1));
    assert!((0..100).all(|_| limiter.take(millis(1))));
    assert_eq!(limiter.wait(millis(1)), Millis(0));
}

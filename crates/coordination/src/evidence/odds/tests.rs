use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rstest::rstest;

use super::super::{GroupEvidence, histogram::slowdown_buckets};
use super::latency::{Latencies, latency_odds, slow_calls};
use super::*;
use crate::pacing::{LAST_STEP_LOG_ODDS, MAX_LOG_ODDS, TEST_LOG_ODDS};

/// Fraction of the calls that may fail in addition to those of the stable version.
const PERMITTED: f64 = 0.05;

/// Builds statistics from pairs of calls and failures, one pair for each endpoint.
fn version(groups: &[[u64; 2]]) -> VersionEvidence {
    let group = |&[calls, failures]: &[u64; 2]| GroupEvidence {
        counts: Counts {
            calls,
            failures,
            ..Counts::default()
        },
        ..GroupEvidence::default()
    };
    groups.iter().map(group).collect::<Vec<_>>().into()
}

/// Guards against odds that hold back a good version or let a faulty one proceed, including when
/// both versions fail equally, one host is bad, or a route fails for all callers.
#[rstest]
#[case::good(&[[27, 1], [27, 0], [26, 1]], [1_500, 30], false)]
#[case::fifth_fails(&[[27, 5], [27, 5], [26, 6]], [1_500, 30], true)]
#[case::both_fail(&[[27, 8], [27, 8], [26, 8]], [1_500, 450], false)]
#[case::faulty_among_failures(&[[27, 13], [27, 13], [26, 14]], [1_500, 450], true)]
#[case::one_bad_host(&[[27, 20], [27, 0], [26, 1]], [1_500, 30], false)]
#[case::route_that_fails(&[[1, 1], [2, 2]], [8, 8], false)]
#[case::few_of_many_calls(&[[120, 8], [120, 9], [120, 8]], [3_000, 15], true)]
#[case::good_of_many_calls(&[[120, 1], [120, 3], [120, 2]], [3_000, 15], false)]
fn failure_odds_hold(
    #[case] candidate: &[[u64; 2]],
    #[case] stable: [u64; 2],
    #[case] holds: bool,
) {
    let odds = failure_odds(&version(&[stable]), &version(candidate), true, PERMITTED);
    assert_eq!(odds > MAX_LOG_ODDS, holds, "{odds}");
}

/// Guards against a good version that fails its test because calls to one slow host time out. Such
/// calls count as slow, not as failures.
#[test]
fn failure_odds_timeouts_of_slow_host() {
    let group = |calls, failures, timeouts| GroupEvidence {
        counts: Counts {
            calls,
            failures,
            timeouts,
            ..Counts::default()
        },
        ..GroupEvidence::default()
    };
    let candidate = vec![group(58, 9, 9), group(44, 2, 1), group(39, 1, 0)];
    let odds = failure_odds(&version(&[[900, 6]]), &candidate.into(), true, PERMITTED);
    assert!(odds < TEST_LOG_ODDS.failures, "{odds}");
}

/// Guards against odds other than zero if one of the versions has no calls.
#[test]
fn failure_odds_no_calls() {
    assert_eq!(
        failure_odds(&version(&[[100, 2]]), &version(&[]), true, PERMITTED),
        0.0
    );
    assert_eq!(
        failure_odds(&version(&[]), &version(&[[5, 5]]), true, PERMITTED),
        0.0
    );
}

/// Generates latencies of a version. For each endpoint, `hosts` contains the latency factor of its
/// host and the fraction of calls that take `factor` times as long.
fn latencies(
    rng: &mut ChaCha8Rng,
    calls: usize,
    hosts: &[(f64, f64)],
    factor: f64,
) -> VersionEvidence {
    let mut groups = Vec::new();
    for (speed, part) in hosts {
        let mut group = GroupEvidence::default();
        for _ in 0..calls / hosts.len() {
            let spread: f64 = (0..3).map(|_| rng.random_range(0.6..1.7)).product();
            let slowed = if rng.random_bool(*part) { factor } else { 1.0 };
            let millis = 110.0 * spread * speed * slowed;
            group.latency.record((millis * 1_000.0) as u64);
        }
        groups.push(group);
    }
    groups.into()
}

/// Guards against missing a version that is several times slower within 60 calls to three
/// endpoints, and against suspecting a good version because of the speed of its hosts, one slow
/// host, or slow hosts of the stable version.
///
/// The last step needs log odds of 4, which the wrong hypothesis reaches with a probability of
/// exp(-4), or 2%.
#[rstest]
#[case::good(&[(0.8, 0.0), (1.0, 0.0), (1.4, 0.0)], &[(0.7, 0.0), (1.1, 0.0), (1.5, 0.0)], false)]
#[case::slower_hosts(&[(0.8, 0.0), (1.0, 0.0), (1.0, 0.0)], &[(1.4, 0.0), (1.4, 0.0), (1.6, 0.0)], false)]
#[case::slow_host(&[(0.8, 0.0), (1.0, 0.0), (1.4, 0.0)], &[(0.7, 0.0), (1.1, 0.0), (5.0, 0.0)], false)]
#[case::slow_upstream(&[(0.8, 0.0), (1.0, 0.6), (1.4, 0.0)], &[(0.7, 0.0), (1.1, 0.0), (1.5, 0.0)], false)]
#[case::half(&[(0.8, 0.0), (1.0, 0.0), (1.4, 0.0)], &[(0.7, 0.5), (1.1, 0.5), (1.5, 0.5)], true)]
#[case::third(&[(0.8, 0.0), (1.0, 0.0), (1.4, 0.0)], &[(0.7, 0.33), (1.1, 0.33), (1.5, 0.33)], true)]
#[case::all(&[(0.8, 0.0), (1.0, 0.0), (1.4, 0.0)], &[(0.7, 1.0), (1.1, 1.0), (1.5, 1.0)], true)]
#[case::half_among_slow(&[(0.8, 0.0), (1.0, 0.6), (1.4, 0.0)], &[(0.7, 0.5), (1.1, 0.5), (1.5, 0.5)], true)]
#[case::half_among_two_slow(&[(0.8, 0.6), (1.0, 0.6), (1.4, 0.0)], &[(0.7, 0.5), (1.1, 0.5), (1.5, 0.5)], true)]
fn latency_odds_sides(
    #[case] stable: &[(f64, f64)],
    #[case] candidate: &[(f64, f64)],
    #[case] is_faulty: bool,
) {
    let mut wrong = [0; 2];
    let mut all = Vec::new();
    for seed in 0..200 {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let stable = latencies(&mut rng, 1_000, stable, 5.0);
        let candidate = latencies(&mut rng, 60, candidate, 4.0);
        let none = VersionEvidence::default();
        let latencies = Latencies {
            stable: &stable,
            earlier_stable: &none,
            candidate: &candidate,
            waiting: &none,
        };
        let odds = latency_odds(&latencies, slowdown_buckets(250)).unwrap();
        all.push(odds);
        wrong[0] += usize::from((odds > 0.0) != is_faulty);
        wrong[1] += usize::from((odds.abs() > 4.0) && (odds > 0.0) != is_faulty);
    }
    all.sort_by(f64::total_cmp);
    println!(
        "wrong {wrong:?}, odds {:.1} {:.1} {:.1} {:.1} {:.1}",
        all[0], all[20], all[100], all[180], all[199]
    );
    assert!(wrong[0] <= 20 && wrong[1] <= 4, "{wrong:?}");
}

/// Guards against wrong odds during a test in which the stable version gets few calls, most of them
/// at its fastest endpoint. The other endpoints have too few calls in that time, so the fastest one
/// would be taken as usual: good versions would look slow, or slow ones good.
#[rstest]
#[case::good(0.0, false)]
#[case::half(0.5, true)]
fn latency_odds_missing_host(#[case] part: f64, #[case] is_faulty: bool) {
    let mut wrong = 0;
    let mut all = Vec::new();
    for seed in 0..200 {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let hosts = [0.55, 1.2, 1.2].map(|speed| (speed, 0.0));
        let earlier = latencies(&mut rng, 900, &hosts, 1.0);
        let same_time = [(245, 0.55), (96, 1.2), (10, 1.2)].map(|(calls, speed)| {
            latencies(&mut rng, calls, &[(speed, 0.0)], 1.0).groups()[0].clone()
        });
        let hosts = [1.0, 1.2, 0.9].map(|speed| (speed, part));
        let candidate = latencies(&mut rng, 130, &hosts, 4.0);
        let latencies = Latencies {
            stable: &same_time.to_vec().into(),
            earlier_stable: &earlier,
            candidate: &candidate,
            waiting: &VersionEvidence::default(),
        };
        let odds = latency_odds(&latencies, slowdown_buckets(250)).unwrap();
        all.push(odds);
        wrong += usize::from((odds > TEST_LOG_ODDS.slow) != is_faulty);
    }
    all.sort_by(f64::total_cmp);
    println!(
        "{wrong} wrong, odds {:.1} {:.1} {:.1}",
        all[20], all[100], all[180]
    );
    assert!(wrong <= 10, "{wrong}");
}

/// Guards against accepting a slow version one second after a step, when only its fast answers have
/// arrived.
#[test]
fn latency_odds_waiting() {
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let stable = latencies(&mut rng, 300, &[(0.8, 0.0), (1.0, 0.0), (1.4, 0.0)], 1.0);
    let ended = latencies(&mut rng, 30, &[(0.8, 0.0), (1.0, 0.0), (1.4, 0.0)], 1.0);
    let mut waiting = VersionEvidence::default();
    for call in 0..30 {
        waiting.record_latency(call % 3, 500_000 + 15_000 * call as u64);
    }
    let none = VersionEvidence::default();
    let odds = |waiting| {
        let latencies = Latencies {
            stable: &stable,
            earlier_stable: &none,
            candidate: &ended,
            waiting,
        };
        latency_odds(&latencies, slowdown_buckets(250)).unwrap()
    };
    assert!(odds(&none) < -2.0);
    assert!(odds(&waiting) > 2.0);

    let slow = slow_calls(&Latencies {
        stable: &stable,
        earlier_stable: &none,
        candidate: &ended,
        waiting: &waiting,
    })
    .unwrap();
    let ratio = |(slow, all): (u64, u64)| slow as f64 / all as f64;
    assert!(ratio(slow.stable) <= 0.05);
    assert!(ratio(slow.candidate) >= 0.4, "{slow:?}");
}

/// Guards against rules with a small permitted slowdown under which no version can prove to be
/// good: the odds must reach what the last step needs.
#[rstest]
#[case::plain(250)]
#[case::twice(200)]
#[case::half_more(150)]
#[case::tenth_more(110)]
fn latency_odds_strict_rule(#[case] percent: u32) {
    let none = VersionEvidence::default();
    let hosts = &[(0.9, 0.0), (1.0, 0.0), (1.1, 0.0)];
    let mut held = 0;
    for seed in 0..40 {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let stable = latencies(&mut rng, 4_000, hosts, 1.0);
        let candidate = latencies(&mut rng, 1_000, hosts, 1.0);
        let latencies = Latencies {
            stable: &stable,
            earlier_stable: &none,
            candidate: &candidate,
            waiting: &none,
        };
        let odds = latency_odds(&latencies, slowdown_buckets(percent)).unwrap();
        held += usize::from(odds > LAST_STEP_LOG_ODDS);
    }
    assert_eq!(held, 0);
}

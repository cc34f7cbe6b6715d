#![allow(clippy::unwrap_used)]

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rstest::rstest;
use sycamoreflow_state::config::{Candidate, FinishTime, LowTraffic, RolloutRule, TrafficSplit};
use sycamoreflow_state::rollout::RollBackReason;

use super::comparison::Comparison;
use super::recorder::DEFAULT_BUDGET_BYTES;
use super::sequential::{Batch, EProcess};
use super::*;

const WINDOW: Millis = Millis(600_000);

fn rule() -> RolloutRule {
    RolloutRule {
        steps: vec![Share::percent(1), Share::ALL],
        finish: FinishTime::Within(WINDOW),
        watch: Millis(60_000),
        max_extra_failures: Share::percent(1),
        max_slowdown_percent: 200,
        false_alarm: Share::percent(5),
        low_traffic: LowTraffic::Finish,
        max_exposure: None,
        exposure_slack: 0,
    }
}

/// A simulated mesh.
#[derive(Clone, Copy)]
struct Case {
    /// Calls per second on each route.
    calls: u64,
    share: f64,
    routes: usize,
    /// Failure probability by second, whether the call goes to the candidate, and route.
    failure: fn(u64, bool, usize) -> f64,
    /// Latency factor by whether the call goes to the candidate, endpoint, and number of calls of
    /// the candidate so far.
    slowdown: fn(bool, usize, u64) -> f64,
    seconds: u64,
}

const GOOD: Case = Case {
    calls: 100,
    share: 0.05,
    routes: 3,
    failure: |_, _, _| 0.002,
    slowdown: |_, _, _| 1.0,
    seconds: 120,
};

const LATE: Case = Case {
    share: 0.15,
    ..GOOD
};

struct Detection {
    reason: RollBackReason,
    candidate_calls: u64,
}

/// Runs one mesh until the candidate is rejected or the time is over.
fn run(case: &Case, seed: u64) -> Option<Detection> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut comparison = Comparison::new(&rule(), WINDOW);
    let mut candidate_calls = 0;
    let (stable, candidate) = (VersionName::from("v1"), VersionName::from("v2"));
    for second in 0..case.seconds {
        let now = Millis(second * 1000);
        for index in 0..case.routes {
            let route = RouteName::from(format!("r{index}"));
            let mut calls = RouteEvidence::default();
            for _ in 0..case.calls {
                let new = rng.random_bool(case.share);
                let endpoint = rng.random_range(0..3);
                let failed = rng.random_bool((case.failure)(second, new, index));
                let spread: f64 = rng.random_range(0.5..1.0);
                let tail = if rng.random_bool(0.05) { 4.0 } else { 1.0 };
                let latency =
                    10_000.0 * spread * tail * (case.slowdown)(new, endpoint, candidate_calls);
                candidate_calls += u64::from(new);
                let call = FinishedCall {
                    route: &route,
                    version: if new { &candidate } else { &stable },
                    endpoint,
                    outcome: if failed {
                        CallOutcome::Failed
                    } else {
                        CallOutcome::Succeeded
                    },
                    latency_us: latency as u64,
                };
                calls.record(&call, new);
            }
            comparison.add(now, &route, &calls);
        }
        comparison.close_batches(now, 3);
        if let Some(reason) = comparison.roll_back_reason() {
            let candidate_calls = comparison.candidate_calls();
            return Some(Detection {
                reason,
                candidate_calls,
            });
        }
    }
    None
}

/// Guards against rolling back good versions more often than the false-alarm rate permits,
/// including when failures or overload affect both versions, or one host is slow or fails.
///
/// The bound is the rate of 5% plus three standard deviations of 400 runs: 8.2%, which is 33 runs.
#[rstest]
#[case::steady(GOOD)]
#[case::at_margin(Case { failure: |_, new, _| if new { 0.012 } else { 0.002 }, ..GOOD })]
#[case::half_share(Case { share: 0.5, ..GOOD })]
#[case::both_fail(Case { failure: |t, _, _| if t % 40 > 30 { 0.7 } else { 0.002 }, ..GOOD })]
#[case::both_fail_fast_change(Case { failure: |t, _, _| if t % 2 == 0 { 0.3 } else { 0.0 }, ..GOOD })]
#[case::low_traffic(Case { calls: 2, share: 0.1, seconds: 600, ..GOOD })]
#[case::permitted_slowdown(Case { slowdown: |new, _, _| if new { 1.6 } else { 1.0 }, ..GOOD })]
#[case::slow_host(Case { slowdown: |new, e, _| if new && e == 0 { 8.0 } else { 1.0 }, ..GOOD })]
#[case::cold_start(Case { slowdown: |new, _, n| if new && n < 75 { 20.0 } else { 1.0 }, ..GOOD })]
fn roll_back_reason_good_version(#[case] case: Case) {
    let alarms = (0..400).filter(|seed| run(&case, *seed).is_some()).count();
    println!("{alarms} of 400");
    assert!(alarms <= 33, "{alarms} of 400");
}

/// Guards against detecting bad versions late or not at all. The bound applies to the number of the
/// candidate's calls up to its rejection, at the median of 40 runs.
#[rstest]
#[case::all_fail(Case { failure: |_, new, _| if new { 1.0 } else { 0.002 }, ..GOOD }, 20, false)]
#[case::fifth_fails(Case { failure: |_, new, _| if new { 0.2 } else { 0.002 }, ..GOOD }, 80, false)]
#[case::three_percent(Case { failure: |_, new, _| if new { 0.03 } else { 0.0 }, seconds: 600, ..GOOD }, 2_000, false)]
#[case::one_route(Case { failure: |_, new, r| if new && r == 1 { 0.5 } else { 0.002 }, routes: 8, ..GOOD }, 300, false)]
#[case::three_times_slower(Case { slowdown: |new, _, _| if new { 3.0 } else { 1.0 }, ..GOOD }, 300, true)]
fn roll_back_reason_bad_version(#[case] case: Case, #[case] bound: u64, #[case] slow: bool) {
    let mut calls = Vec::new();
    for seed in 0..40 {
        let found = run(&case, seed).unwrap();
        assert_eq!(matches!(found.reason, RollBackReason::Slow(_)), slow);
        calls.push(found.candidate_calls);
    }
    calls.sort_unstable();
    println!("median {} worst {}", calls[20], calls[39]);
    assert!(calls[20] <= bound, "{} calls", calls[20]);
}

/// Guards against late detection of a version that becomes bad after a long good period. The bound
/// is in seconds after the change, with 45 calls/s of the candidate.
#[rstest]
#[case::fails(Case { failure: |t, new, _| if new && t >= 400 { 1.0 } else { 0.002 }, ..LATE }, 2)]
#[case::tenth_fails(Case { failure: |t, new, _| if new && t >= 400 { 0.1 } else { 0.002 }, ..LATE }, 15)]
fn roll_back_reason_late_change(#[case] case: Case, #[case] bound: u64) {
    for seed in 0..10 {
        assert!(
            run(
                &Case {
                    seconds: 400,
                    ..case
                },
                seed
            )
            .is_none()
        );
        let until = Case {
            seconds: 400 + bound,
            ..case
        };
        assert!(run(&until, seed).is_some(), "seed {seed}");
    }
}

/// Guards against a reason that doesn't name the route to which the failures are confined.
#[test]
fn roll_back_reason_names_route() {
    let case = Case {
        failure: |_, new, r| if new && r == 1 { 0.5 } else { 0.002 },
        routes: 8,
        ..GOOD
    };
    let found = run(&case, 1).unwrap();
    let RollBackReason::Failures(ratio) = found.reason else {
        panic!("the reason must be failures");
    };
    assert_eq!(ratio.route, Some("r1".into()));
    assert!(ratio.candidate > Share::percent(20));
}

/// Returns in how many of 400 runs the e-process exceeds its bound although both versions have the
/// same failure probability.
fn false_alarms(factors: fn(&Batch) -> [f64; 8]) -> usize {
    let alarm = |seed: u64| {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut process = EProcess::default();
        (0..200).any(|second| {
            let p = if second % 20 < 5 { 0.4 } else { 0.01 };
            let mut count = |calls| (0..calls).filter(|_| rng.random_bool(p)).count() as u64;
            let batch = Batch {
                candidate_calls: 10,
                candidate_bad: count(10),
                stable_calls: 90,
                stable_bad: count(90),
            };
            process.multiply(&factors(&batch), second as f64 / 400.0);
            process.log_value() > 20.0_f64.ln()
        })
    };
    (0..400).filter(|seed| alarm(*seed)).count()
}

/// Verifies that the false-alarm check detects broken tests: one that ignores the stable version,
/// and one whose factors have an expectation above one.
#[test]
fn log_factors_broken_variant() {
    assert!(false_alarms(|batch| batch.log_factors(0.0)) <= 33);
    let stable_ignored = false_alarms(|batch| {
        let none = Batch {
            stable_bad: 0,
            ..*batch
        };
        none.log_factors(0.01)
    });
    assert!(stable_ignored > 33, "{stable_ignored}");
    let not_compensated = false_alarms(|batch| batch.log_factors(0.0).map(|log| log + 0.1));
    assert!(not_compensated > 33, "{not_compensated}");
}

fn split(share: Share) -> TrafficSplit {
    TrafficSplit {
        stable: "v1".into(),
        candidate: Some(Candidate {
            version: "v2".into(),
            share,
            rollout: 1,
            window: WINDOW,
            limit: None,
        }),
        blocked: Vec::new(),
    }
}

/// Records 300 seconds of calls at a daemon with 30 calls/s. Returns the number of the candidate's
/// failed calls before it was cut off, or `None` if it wasn't.
fn record(recorder: &mut EvidenceRecorder, seed: u64, failure: [f64; 2]) -> Option<u64> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let split = split(Share::percent(5));
    let mut failed_calls = 0;
    for n in 0..9_000_u64 {
        let new = n % 20 == 0;
        let failed = rng.random_bool(failure[usize::from(new)]);
        failed_calls += u64::from(failed && new);
        let call = FinishedCall {
            route: &RouteName::from(format!("/route/number/{}", rng.random_range(0..3))),
            version: &VersionName::from(if new { "v2" } else { "v1" }),
            endpoint: rng.random_range(0..3),
            outcome: if failed {
                CallOutcome::Failed
            } else {
                CallOutcome::Succeeded
            },
            latency_us: rng.random_range(2_000..40_000),
        };
        if recorder
            .record(Millis(n * 33), &split, &rule(), &call)
            .is_some()
        {
            return Some(failed_calls);
        }
    }
    None
}

/// Guards against a daemon that keeps sending calls to a version that fails all of them.
#[test]
fn cut_off_failing_version() {
    for seed in 0..40 {
        let mut recorder = EvidenceRecorder::new();
        let failed = record(&mut recorder, seed, [0.002, 1.0]).unwrap();
        assert!(failed <= 12, "{failed} failed calls");
        assert!(recorder.is_cut_off(1));
    }
}

/// Guards against daemons that cut off a good version by chance or because of a common failure.
#[rstest]
#[case::steady([0.002, 0.002])]
#[case::common_failure([0.6, 0.6])]
fn cut_off_good_version(#[case] failure: [f64; 2]) {
    let cut = |seed: &u64| record(&mut EvidenceRecorder::new(), *seed, failure).is_some();
    assert_eq!((0..200).filter(cut).count(), 0);
}

/// Guards against reports that exceed their byte budget, and against routes that are never reported
/// because of the budget.
#[test]
fn report_size() {
    let mut recorder = EvidenceRecorder::new();
    record(&mut recorder, 1, [0.01, 0.01]);
    let mut reported = std::collections::BTreeSet::new();
    for _ in 0..4 {
        let evidence = recorder
            .report(Millis(300_000), ShareReport::default())
            .unwrap();
        reported.extend(evidence.routes.keys().cloned());
        let report = EvidenceReport {
            incarnation: u64::MAX,
            rollouts: vec![evidence],
        };
        let mut bytes = Vec::new();
        ciborium::into_writer(&report, &mut bytes).unwrap();
        println!("{} bytes", bytes.len());
        assert!(bytes.len() <= DEFAULT_BUDGET_BYTES + 100, "{}", bytes.len());
        let decoded: EvidenceReport = ciborium::from_reader(&bytes[..]).unwrap();
        assert_eq!(decoded, report);
    }
    assert_eq!(reported.len(), 3);
}

/// Guards against a comparison that isn't requested when a version becomes bad at full share, or
/// that never ends.
#[test]
fn wants_comparison_at_full_share() {
    let mut recorder = EvidenceRecorder::new();
    record(&mut recorder, 1, [0.002, 0.002]);
    let all = split(Share::ALL);
    let mut send = |outcome, count: u64| {
        let call = FinishedCall {
            route: &"r".into(),
            version: &"v2".into(),
            endpoint: 0,
            outcome,
            latency_us: 5_000,
        };
        for n in 0..count {
            recorder.record(Millis(400_000 + n), &all, &rule(), &call);
        }
        recorder.wants_comparison()
    };
    assert!(!send(CallOutcome::Succeeded, 100));
    assert!(send(CallOutcome::Failed, 5));
    assert!(!send(CallOutcome::Succeeded, 1_000));
}

/// Guards against rolling back a good version because one of its hosts is bad, and against
/// accepting a bad version because of the rule that prevents this.
#[rstest]
#[case::one_host([50, 0, 0], false)]
#[case::all_hosts([17, 17, 16], true)]
fn roll_back_reason_failing_host(#[case] failures: [u64; 3], #[case] rejected: bool) {
    let group = |calls, failures| GroupEvidence {
        counts: Counts {
            calls,
            failures,
            ..Counts::default()
        },
        ..GroupEvidence::default()
    };
    let calls = RouteEvidence {
        stable: vec![group(3_000, 0)].into(),
        candidate: failures.map(|failures| group(50, failures)).to_vec().into(),
    };
    let mut comparison = Comparison::new(&rule(), WINDOW);
    comparison.add(Millis(0), &"r".into(), &calls);
    comparison.close_batches(Millis(1_000), 3);
    assert_eq!(comparison.roll_back_reason().is_some(), rejected);
}

/// Guards against missing a fault that appears only at a larger share because the good calls at
/// earlier shares outweigh it.
#[test]
fn worst_odds_of_step() {
    let calls = |candidate: [u64; 2], stable: [u64; 2]| {
        let version = |[calls, failures]: [u64; 2]| {
            let counts = Counts {
                calls,
                failures,
                ..Counts::default()
            };
            let group = GroupEvidence {
                counts,
                ..GroupEvidence::default()
            };
            vec![group].into()
        };
        RouteEvidence {
            stable: version(stable),
            candidate: version(candidate),
        }
    };
    let mut comparison = Comparison::new(&rule(), WINDOW);
    comparison.add(Millis(0), &"r".into(), &calls([400, 8], [1_500, 30]));
    comparison.close_batches(Millis(0), 1);
    assert!(comparison.worst_odds().failures <= 0.0);
    comparison.enter_step();
    comparison.add(Millis(1_000), &"r".into(), &calls([40, 12], [40, 1]));
    comparison.close_batches(Millis(1_000), 1);
    assert!(comparison.odds().failures < 0.0);
    assert!(comparison.worst_odds().failures > 0.0);
}

/// Guards against ignoring slow answers until they arrive: reports must contain calls that are
/// still waiting or whose callers have disconnected, and no others.
#[test]
fn report_waiting_calls() {
    let route = RouteName::from("r");
    let version = VersionName::from("v2");
    let mut recorder = EvidenceRecorder::new();
    let start = |recorder: &mut EvidenceRecorder, share, at, endpoint| {
        let call = StartedCall {
            route: &route,
            version: &version,
            endpoint,
        };
        recorder.started(Millis(at), &split(share), &rule(), &call)
    };
    let [answered, left, waits] =
        [0, 1, 2].map(|endpoint| start(&mut recorder, Share::percent(5), 1_000, endpoint).unwrap());
    recorder.ended(answered);
    recorder.abandoned(Millis(1_300), left);
    let finished = FinishedCall {
        route: &route,
        version: &version,
        endpoint: 0,
        outcome: CallOutcome::Succeeded,
        latency_us: 50_000,
    };
    let small = split(Share::percent(5));
    recorder.record(Millis(1_050), &small, &rule(), &finished);
    let evidence = recorder
        .report(Millis(1_600), ShareReport::default())
        .unwrap();
    let ages: Vec<Option<u64>> = evidence.waiting[&route]
        .groups()
        .iter()
        .map(|group| group.latency.quantile_us(0.0))
        .collect();
    assert_eq!(ages.len(), 3);
    assert_eq!(ages[0], None);
    assert!((300_000..400_000).contains(&ages[1].unwrap()), "{ages:?}");
    assert!((600_000..750_000).contains(&ages[2].unwrap()), "{ages:?}");

    start(&mut recorder, Share::percent(50), 2_000, 0).unwrap();
    recorder.ended(waits);
    recorder.record(
        Millis(2_010),
        &split(Share::percent(50)),
        &rule(),
        &finished,
    );
    let evidence = recorder
        .report(Millis(2_100), ShareReport::default())
        .unwrap();
    assert_eq!(evidence.waiting[&route].groups().len(), 1);
}

/// Guards against slow versions that look fast because their slowest calls time out. Such calls
/// count as failures of both versions; their latency is recorded for the stable version only, since
/// those of the candidate are reported as waiting calls.
#[test]
fn record_timed_out() {
    let route = RouteName::from("r");
    let mut evidence = RouteEvidence::default();
    for (to_candidate, version) in [(false, "v1"), (true, "v2")] {
        let call = FinishedCall {
            route: &route,
            version: &version.into(),
            endpoint: 0,
            outcome: CallOutcome::TimedOut,
            latency_us: 800_000,
        };
        evidence.record(&call, to_candidate);
    }
    assert_eq!(evidence.stable.totals().failures, 1);
    assert_eq!(evidence.candidate.totals().failures, 1);
    assert_eq!(evidence.stable.latency().total(), 1);
    assert!(!evidence.candidate.has_latency());
}

/// Guards against cutting off a good version when both versions fail while the share is large,
/// although the calls before were counted at a small share.
#[test]
fn cut_off_common_failure_at_larger_share() {
    for seed in 0..40 {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut recorder = EvidenceRecorder::new();
        for n in 0..6_000_u64 {
            let (share, failure) = match n {
                0..3_000 => (Share::percent(5), 0.002),
                _ => (Share::percent(50), 0.4),
            };
            let new = rng.random_bool(share.ratio());
            let failed = rng.random_bool(failure);
            let call = FinishedCall {
                route: &"r".into(),
                version: &VersionName::from(if new { "v2" } else { "v1" }),
                endpoint: rng.random_range(0..3),
                outcome: if failed {
                    CallOutcome::Failed
                } else {
                    CallOutcome::Succeeded
                },
                latency_us: 5_000,
            };
            let cut = recorder.record(Millis(n * 33), &split(share), &rule(), &call);
            assert_eq!(cut, None, "seed {seed}, call {n}");
        }
    }
}

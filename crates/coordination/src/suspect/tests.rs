use proptest::prelude::*;
use rstest::rstest;

use super::*;

fn request(number: usize) -> Fingerprint {
    Fingerprint::of(&"grocers".into(), "POST", "/orders", &number.to_le_bytes())
}

fn suspects(daemon: usize) -> Suspects {
    Suspects::new(format!("d{daemon}").into(), 1)
}

/// Simulates a crash of the upstream beside `suspects` while `requests` are in flight.
fn crash(suspects: &mut Suspects, now: u64, requests: &[usize]) {
    for number in requests {
        let started = suspects.start(Millis(now), request(*number));
        assert!(started.is_ok());
    }
    suspects.crashed(Millis(now));
}

fn exchange(now: u64, daemons: &mut [Suspects]) {
    let reports: Vec<SuspectReport> = daemons
        .iter_mut()
        .map(|d| d.snapshot(Millis(now)))
        .collect();
    for daemon in daemons {
        reports.iter().for_each(|r| daemon.merge(Millis(now), r));
    }
}

/// Guards against a request that crashes one upstream after another because the crash records stay
/// at the daemon that observed the crash.
#[test]
fn crashing_request_refused_after_two_crashes() {
    let mut daemons: Vec<Suspects> = (0..4).map(suspects).collect();
    crash(&mut daemons[0], 0, &[1]);
    exchange(10, &mut daemons);
    assert!(
        daemons
            .iter()
            .all(|d| d.status(Millis(10), &request(1)) == CrashStatus::Suspect)
    );
    crash(&mut daemons[1], 20, &[1]);
    exchange(30, &mut daemons);
    let refused = Err(Failure::not_run(Reason::CrashesUpstreams));
    for daemon in &mut daemons {
        assert_eq!(daemon.start(Millis(30), request(1)), refused);
        assert_eq!(
            daemon.status(Millis(599_000), &request(1)),
            CrashStatus::Refused
        );
        assert_eq!(
            daemon.status(Millis(600_030), &request(1)),
            CrashStatus::Clear
        );
    }
}

/// Guards against retries of a request that was in flight during a crash, and against failures that
/// prevent the retry of a request that completed shortly before.
#[test]
fn crashed_failures() {
    let mut daemon = suspects(0);
    daemon.completed(Millis(0), request(2));
    for number in [1, 2] {
        assert!(daemon.start(Millis(5_000), request(number)).is_ok());
    }
    let failures = daemon.crashed(Millis(5_000));
    for (fingerprint, failure) in failures {
        let reason = if fingerprint == request(1) {
            Reason::CrashesUpstreams
        } else {
            Reason::ConnectionLost
        };
        assert_eq!(failure, Failure::may_have_run(reason));
    }
}

/// Guards against two suspects in flight at one upstream, as a crash would then identify neither.
#[test]
fn suspects_run_one_at_a_time() {
    let mut daemon = suspects(0);
    crash(&mut daemon, 0, &[1, 2]);
    assert!(daemon.start(Millis(1), request(1)).is_ok());
    assert!(daemon.start(Millis(1), request(3)).is_ok());
    let busy = Err(Failure::not_run(Reason::Overloaded));
    assert_eq!(daemon.start(Millis(1), request(2)), busy);
    daemon.finish(Millis(2), request(1), false);
    assert!(daemon.start(Millis(2), request(2)).is_ok());
}

/// Guards against lasting suspicion of requests that ran at the same time as a crashing one: a
/// completion clears them at every daemon, whether it precedes or follows the crash report.
#[rstest]
#[case::after_report(20_000)]
#[case::before_report(5)]
fn concurrent_request_cleared_by_completion(#[case] completed: u64) {
    let mut daemons: Vec<Suspects> = (0..3).map(suspects).collect();
    crash(&mut daemons[0], 0, &[1, 2]);
    if completed >= 10 {
        exchange(10, &mut daemons);
    }
    daemons[2].completed(Millis(completed), request(2));
    crash(&mut daemons[1], completed + 1, &[1, 3]);
    exchange(completed + 10, &mut daemons);
    exchange(completed + 11, &mut daemons);
    let now = Millis(completed + 11);
    for daemon in &daemons {
        assert_eq!(daemon.status(now, &request(1)), CrashStatus::Refused);
        assert_eq!(daemon.status(now, &request(2)), CrashStatus::Clear);
        assert_eq!(daemon.status(now, &request(3)), CrashStatus::Suspect);
    }
}

/// Guards against lasting refusal of a request that was in flight during both crashes of a crashing
/// request and had no chance to complete.
#[test]
fn request_in_both_crashes_runs_again() {
    let mut daemons: Vec<Suspects> = (0..3).map(suspects).collect();
    crash(&mut daemons[0], 0, &[1, 2]);
    crash(&mut daemons[1], 1, &[1, 2]);
    exchange(10, &mut daemons);
    assert_eq!(
        daemons[2].status(Millis(10), &request(2)),
        CrashStatus::Refused
    );
    let later = SHARED_CRASH_PERIOD.0 + 10;
    assert!(daemons[2].start(Millis(later), request(2)).is_ok());
    daemons[2].finish(Millis(later + 5), request(2), true);
    crash(&mut daemons[0], later, &[1]);
    exchange(later + 10, &mut daemons);
    for daemon in &daemons {
        let now = Millis(later + 10);
        assert_eq!(daemon.status(now, &request(2)), CrashStatus::Clear);
        assert_eq!(daemon.status(now, &request(1)), CrashStatus::Refused);
        let much_later = Millis(later + CRASH_RETENTION.0 / 2);
        assert_eq!(daemon.status(much_later, &request(1)), CrashStatus::Refused);
    }
}

/// Guards against unbounded memory use by crash records and completions.
#[test]
fn requests_bounded() {
    let mut daemon = suspects(0);
    for number in 0..5_000 {
        crash(&mut daemon, number as u64, &[number]);
        daemon.completed(Millis(number as u64), request(100_000 + number * 2));
        daemon.completed(Millis(number as u64), request(100_001 + number * 2));
    }
    assert_eq!(daemon.len(), MAX_REQUESTS);
    assert!(daemon.completions.times.len() <= MAX_COMPLETIONS);
    assert_eq!(
        daemon.status(Millis(5_000), &request(4_999)),
        CrashStatus::Suspect
    );
    daemon.tick(Millis(5_000 + CRASH_RETENTION.0));
    assert!(daemon.is_empty());
}

/// Guards against reports that repeat unchanged entries or omit changed ones.
#[test]
fn report_contains_changes_only() {
    let mut daemon = suspects(0);
    crash(&mut daemon, 0, &[1, 2, 3]);
    assert_eq!(daemon.report(Millis(1), 2).entries.len(), 2);
    assert_eq!(daemon.report(Millis(1), 2).entries.len(), 1);
    assert!(daemon.report(Millis(1), 2).entries.is_empty());
    daemon.completed(Millis(2), request(2));
    let changed = daemon.report(Millis(2), 10).entries;
    assert_eq!(changed.len(), 1);
    assert!(changed[0].cleared);
}

/// Guards against a flood of crash records, in which each daemon reports what others have reported
/// (`docs/incidents/crash-record-flood.md`).
#[rstest]
#[case::few_daemons(30)]
#[case::many_daemons(100)]
fn report_by_observers_only(#[case] count: usize) {
    let mut daemons: Vec<Suspects> = (0..count).map(suspects).collect();
    crash(&mut daemons[0], 0, &[1, 2, 3]);
    let mut reports = 0;
    for now in 1..20 {
        if now == 10 {
            daemons[1].completed(Millis(now), request(2));
        }
        for from in 0..count {
            let report = daemons[from].report(Millis(now), 30);
            if report.entries.is_empty() {
                continue;
            }
            reports += 1;
            daemons
                .iter_mut()
                .for_each(|daemon| daemon.merge(Millis(now), &report));
        }
    }
    assert_eq!(
        reports, 2,
        "one report of the crash and one of the completion"
    );
    for daemon in &daemons {
        let status = |number| daemon.status(Millis(20), &request(number));
        assert_eq!(status(1), CrashStatus::Suspect);
        assert_eq!(status(2), CrashStatus::Clear);
    }
}

fn any_entry() -> impl Strategy<Value = SuspectEntry> {
    (
        0..4_usize,
        0..5_u64,
        2_000..CRASH_RETENTION.0,
        any::<bool>(),
        any::<bool>(),
    )
        .prop_map(|(number, seq, remaining, alone, cleared)| SuspectEntry {
            request: request(number),
            crash: CrashId {
                daemon: "d9".into(),
                boot: 1,
                seq,
            },
            remaining: Millis(remaining),
            alone,
            cleared,
        })
}

proptest! {
    /// Guards against a merge that depends on the order, the grouping or the repetition of reports.
    #[test]
    fn merge_is_idempotent(
        entries in prop::collection::vec(any_entry(), 1..30),
        order in prop::collection::vec(any::<prop::sample::Index>(), 0..60),
    ) {
        let now = Millis(1_000);
        let single = |entry: &SuspectEntry| SuspectReport { entries: vec![entry.clone()] };
        let (mut once, mut shuffled, mut relay) = (suspects(0), suspects(1), suspects(2));
        once.merge(now, &SuspectReport { entries: entries.clone() });
        for index in &order {
            shuffled.merge(now, &single(index.get(&entries)));
        }
        for entry in entries.iter().rev() {
            shuffled.merge(now, &single(entry));
            relay.merge(now, &single(entry));
            let all = relay.snapshot(now);
            relay.merge(now, &all);
            shuffled.merge(now, &all);
        }
        prop_assert_eq!(once.snapshot(now), shuffled.snapshot(now));
        prop_assert_eq!(once.snapshot(now), relay.snapshot(now));
    }

    /// Guards against a crashing request that reaches many upstreams: its caller resends it through
    /// random daemons while other requests are in flight and reports arrive late.
    #[test]
    fn crashing_request_is_contained(
        sends in prop::collection::vec((0..20_usize, 1..500_u64, any::<bool>()), 50..100),
    ) {
        let mut daemons: Vec<Suspects> = (0..20).map(suspects).collect();
        let (mut now, mut exchanged) = (0, 0);
        let mut crashes: Vec<u64> = Vec::new();
        for (index, pause, shared) in sends {
            now += pause;
            if now - exchanged >= 1_000 {
                exchanged = now;
                exchange(now, &mut daemons);
            }
            let daemon = &mut daemons[index];
            let concurrent = request(1_000 + crashes.len());
            let shares = shared && daemon.start(Millis(now), concurrent).is_ok();
            if daemon.start(Millis(now), request(1)).is_ok() {
                daemon.crashed(Millis(now));
                crashes.push(now);
            } else if shares {
                daemon.finish(Millis(now), concurrent, true);
            }
        }
        // Once two crashes are known everywhere, at most one isolated run follows, after
        // `SHARED_CRASH_PERIOD`.
        prop_assert!(crashes.len() >= 2);
        let known = crashes[1] + 1_500;
        let later = crashes.iter().filter(|at| **at > known).count();
        prop_assert!(later <= 1, "{:?}", crashes);
    }
}

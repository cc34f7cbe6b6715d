use std::collections::BTreeSet;

use proptest::prelude::*;
use rstest::rstest;

use super::*;

fn ids(count: usize) -> Vec<DaemonId> {
    (0..count).map(|i| format!("d{i}").into()).collect()
}

fn ejector(count: usize, min_percent: u32) -> Ejector {
    let mut ejector = Ejector::new(Share::percent(min_percent));
    ejector.set_endpoints(Millis(0), &ids(count));
    ejector
}

fn outcome(result: CallResult, latency: u64) -> Outcome {
    Outcome {
        latency: Micros(latency),
        result,
    }
}

/// Reports failures of `id` until it is ejected. Returns their number, or 0 if it is not ejected.
fn fail(ejector: &mut Ejector, now: Millis, id: &DaemonId) -> u32 {
    for count in 1..=20 {
        let changes = ejector.observe(now, id, outcome(CallResult::Failure, 1_000));
        if !changes.is_empty() {
            return count;
        }
    }
    0
}

/// Returns the time from `now` to the next probe, in milliseconds.
fn wait_for_probe(ejector: &mut Ejector, now: u64) -> u64 {
    let wait = (0..100_000).find(|ms| ejector.next_probe(Millis(now + ms)).is_some());
    wait.expect("an ejected endpoint must be probed")
}

/// Guards against ejection because of refusals or cancellations, and against counting failures as
/// consecutive although a success lies between them.
#[rstest]
#[case::failures(&[CallResult::Failure; 5], true)]
#[case::interrupted(&[
    CallResult::Failure, CallResult::Failure, CallResult::Failure, CallResult::Failure,
    CallResult::Success, CallResult::Failure,
], false)]
#[case::refusals(&[CallResult::Refused; 50], false)]
#[case::cancellations(&[CallResult::Cancelled; 50], false)]
fn observe_consecutive(#[case] results: &[CallResult], #[case] ejected: bool) {
    let mut ejector = ejector(3, 50);
    let id = &ids(3)[0];
    for result in results {
        ejector.observe(Millis(0), id, outcome(*result, 1_000));
    }
    assert_eq!(ejector.is_ejected(id), ejected);
}

/// Guards against slow endpoints that stay in use, and against the ejection of an endpoint that is
/// only moderately slower or has given one slow answer.
#[rstest]
#[case::far_slower(60_000, 60_000, true)]
#[case::moderately_slower(5_000, 5_000, false)]
#[case::one_slow_answer(1_000, 10_000_000, false)]
fn observe_latency(#[case] usual: u64, #[case] last: u64, #[case] ejected: bool) {
    let mut ejector = ejector(3, 50);
    let ids = ids(3);
    for call in 0..64 {
        let latency = if call == 63 { last } else { usual };
        ejector.observe(Millis(call), &ids[1], outcome(CallResult::Success, 1_000));
        ejector.observe(Millis(call), &ids[2], outcome(CallResult::Success, 1_200));
        ejector.observe(Millis(call), &ids[0], outcome(CallResult::Success, latency));
    }
    assert_eq!(ejector.is_ejected(&ids[0]), ejected);
}

/// Guards against the ejection of more endpoints than the limit allows, including after the number
/// of endpoints has decreased.
#[test]
fn eject_bounded() {
    let mut ejector = ejector(10, 50);
    for id in &ids(10) {
        fail(&mut ejector, Millis(0), id);
        ejector.link_down(Millis(1), id);
    }
    assert_eq!(ejector.ejected(), 5);
    let changes = ejector.set_endpoints(Millis(2), &ids(6));
    assert_eq!(changes.len(), 2);
    assert_eq!(ejector.ejected(), 3);
}

/// Guards against probes at a constant rate, against an interval that is reset when an endpoint is
/// ejected again soon, and against a lost probe that leaves the endpoint ejected for ever.
#[test]
fn probe_intervals_grow() {
    let mut ejector = ejector(3, 50);
    let id = &ids(3)[0];
    fail(&mut ejector, Millis(0), id);
    let mut now = wait_for_probe(&mut ejector, 0);
    assert!((750..=1_000).contains(&now));
    for expected in [2_000, 4_000, 8_000] {
        ejector.probed(Millis(now), id, false);
        let wait = wait_for_probe(&mut ejector, now);
        assert!((expected * 3 / 4..=expected).contains(&wait), "{wait}");
        now += wait;
    }
    let lost = wait_for_probe(&mut ejector, now);
    assert!((5_000 + 12_000..=5_000 + 16_000).contains(&lost), "{lost}");
    now += lost;
    let changes = ejector.probed(Millis(now), id, true);
    assert_eq!(changes, [EjectionChange::Reinstated(id.clone())]);
    fail(&mut ejector, Millis(now), id);
    let reejection = wait_for_probe(&mut ejector, now);
    assert!((24_000..=32_000).contains(&reejection), "{reejection}");
}

proptest! {
    /// Guards against changes that do not match the state, against ejections beyond the limit,
    /// against probes of endpoints that are not ejected, and against endpoints that are never
    /// reinstated although their probes succeed.
    #[test]
    fn changes_match_state(
        min_percent in 0..=100_u32,
        steps in prop::collection::vec((0..6_u8, 0..8_usize, 0..3_000_u64), 1..200),
    ) {
        let all = ids(8);
        let mut ejector = ejector(8, min_percent);
        let mut ejected: BTreeSet<DaemonId> = BTreeSet::new();
        let mut size = 8;
        let mut now = Millis(0);
        for (action, index, time) in steps {
            now = now.after(Millis(time));
            let id = &all[index];
            let changes = match action {
                0 | 1 => ejector.observe(now, id, outcome(CallResult::Failure, 100)),
                2 => ejector.observe(now, id, outcome(CallResult::Success, time * 100)),
                3 => ejector.link_down(now, id),
                4 => {
                    size = index + 1;
                    ejected.retain(|id| all[..size].contains(id));
                    ejector.set_endpoints(now, &all[..size])
                }
                _ => {
                    let probe = ejector.next_probe(now);
                    prop_assert!(probe.iter().all(|id| ejected.contains(id)));
                    probe.map_or(Vec::new(), |id| ejector.probed(now, &id, time % 2 == 0))
                }
            };
            for change in changes {
                match change {
                    EjectionChange::Ejected(id) => prop_assert!(ejected.insert(id)),
                    EjectionChange::Reinstated(id) => prop_assert!(ejected.remove(&id)),
                }
            }
            let max_ejected = size as u32 * (100 - min_percent) / 100;
            prop_assert!(ejected.len() <= max_ejected as usize);
            prop_assert!(all.iter().all(|id| ejector.is_ejected(id) == ejected.contains(id)));
        }
        for _ in 0..200 {
            now = now.after(Millis(1_000));
            while let Some(id) = ejector.next_probe(now) {
                ejector.probed(now, &id, true);
            }
        }
        prop_assert_eq!(ejector.ejected(), 0);
    }
}

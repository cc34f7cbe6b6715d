#![allow(clippy::unwrap_used)]

use proptest::prelude::*;
use sycamoreflow_state::config::{Candidate, TrafficSplit};

use super::*;
use crate::shares::{Attempt, ShareCounter};

const LIMIT: ExposureLimit = ExposureLimit {
    share: Share::percent(10),
    extra: 0,
    // A third of the traffic, because one of three endpoints is in use at a time.
    test_share: Share(333_333),
    lasts: Millis(12_000),
};
const ENDPOINTS: usize = 3;

fn split(share: Share, limit: Option<ExposureLimit>) -> TrafficSplit {
    TrafficSplit {
        stable: "v1".into(),
        candidate: Some(Candidate {
            version: "v2".into(),
            share,
            rollout: 1,
            window: Millis(12_000),
            limit,
        }),
        blocked: Vec::new(),
    }
}

/// Events at a daemon.
#[derive(Clone, Debug)]
enum Event {
    Send(Attempt),
    Answer,
    Unsent,
    /// The stable version has no endpoint for a call.
    Fallback,
    /// The next step of the rollout, with additional calls beyond the share.
    Step(Share, u32),
    Wait(u64),
}

fn events() -> impl Strategy<Value = Vec<Event>> {
    let event = prop_oneof![
        12 => Just(Event::Send(Attempt::First)),
        2 => Just(Event::Send(Attempt::Retry)),
        12 => Just(Event::Answer),
        1 => Just(Event::Unsent),
        2 => Just(Event::Fallback),
        1 => (1u32..=100, 0u32..5).prop_map(|(percent, extra)| Event::Step(Share::percent(percent), extra)),
        1 => Just(Event::Step(Share::ALL, 3)),
        6 => (0u64..400).prop_map(Event::Wait),
    ];
    prop::collection::vec(event, 1..600)
}

proptest! {
    /// Guards against a version that receives more than its fraction of the calls. This happened
    /// when the limit depended on a decision of the leader arriving in time.
    #[test]
    fn pick_within_limit(events in events()) {
        let mut counter = ShareCounter::new(1);
        counter.set_endpoints(ENDPOINTS);
        let mut now = Millis(1_000);
        let (mut share, mut extra) = (Share::percent(4), 0);
        let (mut answered, mut sent) = (0u64, 0u64);
        let started = now;
        for event in events {
            let split = split(share, Some(ExposureLimit { extra, ..LIMIT }));
            match event {
                Event::Send(attempt) => {
                    let to_candidate = counter.pick(now, &split, attempt) == "v2".into();
                    prop_assert!(!to_candidate || now < started.after(LIMIT.lasts));
                    sent += u64::from(to_candidate);
                }
                Event::Answer => {
                    counter.answered();
                    answered += 1;
                }
                Event::Unsent if sent > 0 => {
                    counter.refund_unsent(1);
                    sent -= u64::from(counter.report(now).exposure.sent < sent);
                }
                Event::Unsent => {}
                Event::Fallback => sent += u64::from(counter.take_fallback_call(now, &split)),
                Event::Step(next, more) if next > share => {
                    share = next;
                    extra = extra.max(more);
                }
                Event::Step(..) => {}
                Event::Wait(millis) => now = now.after(Millis(millis)),
            }
            let allowed = answered * u64::from(LIMIT.share.0) / UNITS_PER_CALL + u64::from(extra);
            prop_assert!(sent <= allowed, "{sent} sent, {answered} answered, {extra} extra");
            prop_assert_eq!(counter.report(now).exposure.sent, sent);
        }
    }
}

/// Sends one call every 10 ms, all of which are answered at once. Returns the number of calls to
/// the candidate.
fn run(counter: &mut ShareCounter, split: &TrafficSplit, from: u64, to: u64) -> usize {
    let times = (from..to).step_by(10);
    let picked = times.map(|time| {
        counter.answered();
        counter.pick(Millis(time), split, Attempt::First)
    });
    picked.filter(|version| *version == "v2".into()).count()
}

/// Guards against a test whose calls don't have the load of full traffic, one that continues at a
/// smaller load after its budget is exhausted, and a version that stays limited after it has
/// passed.
#[test]
fn pick_test() {
    let mut counter = ShareCounter::new(1);
    counter.set_endpoints(ENDPOINTS);
    assert_eq!(
        run(
            &mut counter,
            &split(Share::percent(4), Some(LIMIT)),
            0,
            9_000
        ),
        36
    );
    let testing = split(Share::ALL, Some(ExposureLimit { extra: 2, ..LIMIT }));
    let tested = run(&mut counter, &testing, 9_000, 10_200);
    // A third of the traffic; the share is rounded down.
    assert!((39..=40).contains(&tested), "{tested}");
    let rest = run(&mut counter, &testing, 10_200, 12_000);
    assert!(rest > 20 && rest < 45, "{rest}");
    assert_eq!(run(&mut counter, &testing, 12_000, 13_000), 0);
    assert_eq!(
        run(&mut counter, &split(Share::ALL, None), 13_000, 14_000),
        100
    );
}

/// Guards against a test that exceeds the slack of the rule because daemons that restart during it
/// receive their part of the slack again.
#[test]
fn pick_restart_in_test() {
    let testing = split(Share::ALL, Some(ExposureLimit { extra: 4, ..LIMIT }));
    let mut restarted = ShareCounter::new(2);
    restarted.set_endpoints(ENDPOINTS);
    let picked = (0..40).map(|_| restarted.pick(Millis(9_000), &testing, Attempt::First));
    assert_eq!(picked.filter(|version| *version == "v2".into()).count(), 0);
    // Without budget at the beginning of the test, the daemon sends nothing until the test ends.
    assert_eq!(run(&mut restarted, &testing, 9_000, 10_000), 0);
}

/// Guards against a daemon that sends calls of a test to endpoints that are not in use at that
/// time.
#[test]
fn active_endpoints_during_test() {
    let mut counter = ShareCounter::new(1);
    counter.set_endpoints(ENDPOINTS);
    run(
        &mut counter,
        &split(Share::percent(4), Some(LIMIT)),
        0,
        5_000,
    );
    assert_eq!(counter.active_endpoints(Millis(5_000)), None);
    run(&mut counter, &split(Share::ALL, Some(LIMIT)), 5_000, 5_010);
    let first = counter.active_endpoints(Millis(5_000)).unwrap();
    assert_eq!(
        (0..ENDPOINTS).filter(|rank| first.contains(*rank)).count(),
        1
    );
    run(&mut counter, &split(Share::ALL, None), 6_000, 6_010);
    assert_eq!(counter.active_endpoints(Millis(6_000)), None);
}

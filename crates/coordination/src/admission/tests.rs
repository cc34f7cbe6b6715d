#![allow(clippy::unwrap_used, reason = "a missing value fails the test")]

use std::collections::BTreeMap;

use proptest::prelude::*;
use rstest::rstest;
use sycamoreflow_state::verdict::Verdict;

use super::*;

const FAR_DEADLINE: Millis = Millis(1_000_000);

fn tenant(name: &str) -> TenantName {
    name.into()
}

fn admission(slots: u32, weights: &[(&str, u32)]) -> Admission {
    let weights = weights.iter().map(|(n, w)| (tenant(n), *w)).collect();
    Admission::new(AdmissionConfig {
        weights,
        ..AdmissionConfig::new(slots)
    })
}

fn started(released: &[Released]) -> Vec<CallId> {
    let ids = released.iter().filter_map(|r| match r {
        Released::Start(id) => Some(*id),
        Released::Refused(..) => None,
    });
    ids.collect()
}

/// Offers calls of two tenants at more than the capacity and returns the slot time that each tenant
/// received, in milliseconds. Calls of tenant `a` run for `long` ms, those of `b` for 2 ms.
fn contend(weights: &[(&str, u32)], slots: u32, long: u64) -> BTreeMap<&'static str, u64> {
    let mut admission = admission(slots, weights);
    let mut running: Vec<(u64, CallId, &'static str)> = Vec::new();
    let mut waiting: BTreeMap<CallId, &'static str> = BTreeMap::new();
    let mut used = BTreeMap::new();
    let length = |name: &str| if name == "a" { long } else { 2 };
    let mut next = 0;
    for now in 0..20_000_u64 {
        let (done, rest): (Vec<_>, Vec<_>) = running.into_iter().partition(|c| c.0 <= now);
        running = rest;
        for (_, id, name) in done {
            *used.entry(name).or_default() += length(name);
            let result = UpstreamResult::Answered(Micros(length(name) * 1_000));
            for released in admission.finish(Millis(now), id, result) {
                let Released::Start(id) = released else {
                    continue;
                };
                let name = waiting.remove(&id).unwrap();
                running.push((now + length(name), id, name));
            }
        }
        for name in ["a", "b"].repeat(8) {
            next += 1;
            match admission.offer(Millis(now), CallId(next), &tenant(name), FAR_DEADLINE) {
                Decision::Start => running.push((now + length(name), CallId(next), name)),
                Decision::Queued => {
                    waiting.insert(CallId(next), name);
                }
                Decision::Refused(_) => {}
            }
        }
        for released in admission.tick(Millis(now)) {
            if let Released::Start(id) = released {
                let name = waiting.remove(&id).unwrap();
                running.push((now + length(name), id, name));
            }
        }
    }
    used
}

/// Guards against shares of slot time that are not proportional to the weights, including
/// starvation of the tenant with the lower weight at a single slot and an advantage for long calls.
#[rstest]
#[case::equal(&[("a", 1), ("b", 1)], 8, 2, 1.0)]
#[case::weighted(&[("a", 3), ("b", 1)], 8, 2, 3.0)]
#[case::single_slot(&[("a", 3), ("b", 1)], 1, 2, 3.0)]
#[case::long_calls(&[("a", 1), ("b", 1)], 8, 20, 1.0)]
fn slots_follow_weights(
    #[case] weights: &[(&str, u32)],
    #[case] slots: u32,
    #[case] long: u64,
    #[case] expected: f64,
) {
    let used = contend(weights, slots, long);
    let ratio = used["a"] as f64 / used["b"] as f64;
    assert!((ratio / expected - 1.0).abs() < 0.15, "{used:?}");
}

/// Guards against a burst of one tenant that fills the queue, so that another tenant is refused.
#[test]
fn offer_burst_leaves_capacity() {
    let mut admission = admission(2, &[]);
    for id in 0..100 {
        admission.offer(Millis(0), CallId(id), &tenant("burst"), FAR_DEADLINE);
    }
    let other = admission.offer(Millis(0), CallId(100), &tenant("other"), FAR_DEADLINE);
    assert_eq!(other, Decision::Queued);
    let next = admission.finish(
        Millis(1),
        CallId(0),
        UpstreamResult::Answered(Micros(1_000)),
    );
    assert_eq!(started(&next), [CallId(100)]);
}

/// Guards against new calls during a drain, and against drains that abort accepted calls.
#[test]
fn drain_refuses_new_only() {
    let mut admission = admission(1, &[]);
    admission.offer(Millis(0), CallId(0), &tenant("a"), FAR_DEADLINE);
    admission.offer(Millis(0), CallId(1), &tenant("a"), FAR_DEADLINE);
    admission.drain();
    let refused = admission.offer(Millis(0), CallId(2), &tenant("a"), FAR_DEADLINE);
    assert_eq!(
        refused,
        Decision::Refused(Failure::not_run(Reason::Draining))
    );
    let next = admission.finish(Millis(1), CallId(0), UpstreamResult::Failed);
    assert_eq!(started(&next), [CallId(1)]);
    admission.resume();
    let queued = admission.offer(Millis(1), CallId(3), &tenant("a"), FAR_DEADLINE);
    assert_eq!(queued, Decision::Queued);
}

/// Guards against a queue that ignores deadlines, and against refusals whose reason does not tell
/// whether the deadline or the maximum wait was reached.
#[test]
fn queue_orders_and_expires_by_deadline() {
    let mut admission = admission(2, &[]);
    for (id, deadline) in [(0, 500), (1, 500), (2, 400), (3, 100), (4, 10), (5, 300)] {
        admission.offer(Millis(0), CallId(id), &tenant("a"), Millis(deadline));
    }
    let released = admission.tick(Millis(10));
    let expired = Failure::not_run(Reason::DeadlineExceeded);
    assert_eq!(released, [Released::Refused(CallId(4), expired)]);
    let next = admission.finish(Millis(11), CallId(0), UpstreamResult::Abandoned);
    assert_eq!(started(&next), [CallId(3)]);
    let overloaded = Failure::not_run(Reason::Overloaded);
    let late = [CallId(5), CallId(2)].map(|id| Released::Refused(id, overloaded));
    assert_eq!(admission.tick(Millis(50)), late);
}

/// Guards against calls that wait at a host that is slow at the moment although they would be late
/// there, and against refusals long after the slow moment. All slots are in use.
#[rstest]
#[case::usual(100, 1_000, true)]
#[case::slow(250, 1_000, false)]
#[case::slow_before(250, 3_100, true)]
fn offer_urgent_pace(#[case] percent: u32, #[case] now: u64, #[case] queued: bool) {
    let mut admission = admission(1, &[]);
    admission.offer(Millis(0), CallId(0), &tenant("a"), FAR_DEADLINE);
    let answered = UpstreamResult::Answered(Micros(190_000));
    admission.finish(Millis(190), CallId(0), answered);
    admission.observe_pace(Millis(1_000), Pace::from_percent(percent));
    admission.offer(Millis(now), CallId(1), &tenant("a"), FAR_DEADLINE);
    let urgency = Urgency {
        route: &"slots".into(),
        priority: 1,
        due: Millis(now + 600),
        expected: Micros(190_000),
        late_value: 0.3,
    };
    let now = Millis(now);
    let decision = admission.offer_urgent(now, CallId(2), &tenant("a"), FAR_DEADLINE, urgency);
    assert_eq!(decision == Decision::Queued, queued, "{decision:?}");
}

/// Guards against a call that stays in the queue past a planned stop. It may be checked against the
/// stop just before the stop begins, and be offered just after.
#[rstest]
#[case::offered_before(0)]
#[case::offered_after(2)]
fn end_by_bounds_queue(#[case] offered: u64) {
    let mut admission = admission(1, &[]);
    admission.offer(Millis(0), CallId(0), &tenant("a"), FAR_DEADLINE);
    let offer = |now: u64, admission: &mut Admission| {
        let urgency = Urgency {
            route: &"slots".into(),
            priority: 1,
            due: Millis(8_000),
            expected: Micros(100_000),
            late_value: 0.3,
        };
        let id = CallId(1);
        admission.offer_urgent(Millis(now), id, &tenant("a"), Millis(8_000), urgency)
    };
    if offered < 1 {
        assert_eq!(offer(offered, &mut admission), Decision::Queued);
    }
    admission.end_by(Millis(1), Millis(5_400));
    if offered >= 1 {
        assert_eq!(offer(offered, &mut admission), Decision::Queued);
    }
    let ended = Failure::not_run(Reason::Draining);
    let released = admission.tick(Millis(5_301));
    assert_eq!(released, [Released::Refused(CallId(1), ended)]);
}

/// Guards against a limit that ignores shedding or slow answers, falls too far because of slow
/// answers, or never recovers.
#[rstest]
#[case::shedding(true, 1..=5)]
#[case::slowing(false, 8..=10)]
fn limit_adapts(#[case] sheds: bool, #[case] reduced: std::ops::RangeInclusive<usize>) {
    let mut limit = Limit::new(16);
    let normal = Micros(1_000);
    for call in 0..500 {
        limit.answered(Millis(call), normal, 16);
    }
    assert_eq!(limit.get(), 16);
    for call in 0..60 {
        let now = Millis(500 + call * 10);
        if sheds {
            limit.shed(limit.get());
        } else {
            limit.answered(now, Micros(20_000), limit.get());
        }
    }
    assert!(reduced.contains(&limit.get()), "{}", limit.get());
    for call in 0..2_000 {
        limit.answered(Millis(1_200 + call), normal, limit.get());
    }
    assert_eq!(limit.get(), 16);
}

/// Guards against a limit that oscillates around the number of calls that the upstream accepts, so
/// that the upstream sheds many calls or slots stay unused.
#[test]
fn limit_stays_at_accepted() {
    let mut limit = Limit::new(9);
    let mut sheds = 0;
    for call in 0..3_000 {
        if limit.get() > 6 {
            limit.shed(limit.get());
            sheds += 1;
        }
        limit.answered(Millis(call), Micros(1_000), limit.get());
        assert!(call < 10 || limit.get() >= 6);
    }
    assert!(sheds <= 33, "{sheds}");
}

proptest! {
    /// Guards against slots that are assigned twice or leaked, queues beyond their bound, calls
    /// that are released twice or never, and refusals with a verdict other than not run.
    #[test]
    fn calls_are_accounted(
        slots in 1..12_u32,
        steps in prop::collection::vec((0..10_u8, any::<u8>(), 1..80_u64), 1..300),
    ) {
        let mut admission = admission(slots, &[("t0", 1), ("t1", 2), ("t2", 5)]);
        let mut running: Vec<CallId> = Vec::new();
        let mut queued: Vec<CallId> = Vec::new();
        let mut now = Millis(0);
        for (step, (action, pick, time)) in steps.into_iter().enumerate() {
            let id = CallId(step as u64);
            let released = match action {
                0..=5 => {
                    let name = tenant(&format!("t{}", pick % 3));
                    match admission.offer(now, id, &name, now.after(Millis(time - 1))) {
                        Decision::Start => running.push(id),
                        Decision::Queued => queued.push(id),
                        Decision::Refused(f) => prop_assert_eq!(f.verdict, Verdict::NotRun),
                    }
                    Vec::new()
                }
                6 | 7 if !running.is_empty() => {
                    let id = running.remove(usize::from(pick) % running.len());
                    let results = [
                        UpstreamResult::Answered(Micros(time * 500)),
                        UpstreamResult::Shed,
                        UpstreamResult::Failed,
                        UpstreamResult::Abandoned,
                    ];
                    admission.finish(now, id, results[usize::from(pick) % 4])
                }
                8 if !queued.is_empty() => {
                    let id = queued.remove(usize::from(pick) % queued.len());
                    prop_assert!(admission.cancel(id));
                    prop_assert!(!admission.cancel(id));
                    Vec::new()
                }
                _ => {
                    now = now.after(Millis(time));
                    admission.tick(now)
                }
            };
            for release in released {
                let (id, starts) = match release {
                    Released::Start(id) => (id, true),
                    Released::Refused(id, failure) => {
                        prop_assert_eq!(failure.verdict, Verdict::NotRun);
                        (id, false)
                    }
                };
                let position = queued.iter().position(|q| *q == id);
                prop_assert!(position.is_some(), "released {:?} was not queued", id);
                queued.swap_remove(position.unwrap());
                if starts {
                    running.push(id);
                }
            }
            prop_assert!(running.len() <= slots as usize);
            prop_assert_eq!(admission.running(), running.len());
            prop_assert_eq!(admission.queued(), queued.len());
            // Three tenants queue at most the sum of their shares at the time they became active.
            prop_assert!(queued.len() <= slots as usize * 2 * 3 + 3);
            let free = admission.limit() > running.len();
            prop_assert!(!free || queued.is_empty() || action != 9);
        }
        now = now.after(Millis(100));
        for _ in 0..running.len() {
            admission.finish(now, running.remove(0), UpstreamResult::Abandoned);
        }
        prop_assert_eq!(admission.running() + admission.queued(), 0);
        prop_assert!(admission.queue.is_idle());
    }
}

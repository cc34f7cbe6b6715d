#![allow(clippy::unwrap_used, reason = "a missing value fails the test")]

use std::collections::{BTreeMap, BTreeSet};

use proptest::prelude::*;
use rstest::rstest;
use sycamoreflow_state::endpoint::Endpoint;

use super::*;

fn id(index: usize) -> DaemonId {
    format!("d{index:04}").into()
}

fn endpoint(index: usize, data_centre: &str) -> Endpoint {
    Endpoint {
        daemon: id(index),
        service: "orders".into(),
        version: "v1".into(),
        data_centre: data_centre.into(),
        address: ([127, 0, 0, 1], 9000).into(),
        slots: 9,
        draining: false,
        drained_by_operator: false,
    }
}

fn router(seed: u64) -> Router {
    Router::new(RouterConfig {
        daemon: format!("entry{seed}").into(),
        data_centre: "a".into(),
        remote_latency: Micros(500),
        seed,
    })
}

fn local_router(count: usize) -> Router {
    let mut router = router(1);
    let endpoints: Vec<Endpoint> = (0..count).map(|i| endpoint(i, "a")).collect();
    router.set_endpoints(Millis(0), &endpoints);
    router
}

fn success(latency: u64) -> Outcome {
    Outcome {
        latency: Micros(latency),
        result: CallResult::Success,
    }
}

/// Runs `calls` sequential calls, 1 ms apart, and returns their number by endpoint.
fn run(
    router: &mut Router,
    from: u64,
    calls: u64,
    mut outcome: impl FnMut(&DaemonId, u64) -> Outcome,
) -> BTreeMap<DaemonId, u64> {
    let mut counts = BTreeMap::new();
    for call in 0..calls {
        let now = Millis(from + call);
        let id = router.choose(now, &"v1".into(), &[]).unwrap();
        router.started(now, &id);
        router.finished(now, &id, outcome(&id, call));
        *counts.entry(id).or_default() += 1;
    }
    counts
}

fn count(counts: &BTreeMap<DaemonId, u64>, index: usize) -> u64 {
    counts.get(&id(index)).copied().unwrap_or(0)
}

/// Guards against a choice that ignores slow, failing, refusing or draining endpoints.
#[rstest]
#[case::slow(success(20_000))]
#[case::failing_fast(Outcome { latency: Micros(100), result: CallResult::Failure })]
#[case::refusing(Outcome { latency: Micros(100), result: CallResult::Refused })]
#[case::draining(Outcome { latency: Micros(100), result: CallResult::Draining })]
fn choose_avoids_bad_endpoint(#[case] bad: Outcome) {
    let mut router = local_router(3);
    let counts = run(&mut router, 0, 1_000, |endpoint, _| {
        if *endpoint == id(0) {
            bad
        } else {
            success(1_000)
        }
    });
    assert!(count(&counts, 0) < 50, "{counts:?}");
}

/// Guards against calls to an endpoint that never answers and therefore never produces a sample.
#[test]
fn choose_avoids_silent_endpoint() {
    let mut router = local_router(3);
    run(&mut router, 0, 300, |_, _| success(1_000));
    router.started(Millis(300), &id(0));
    let counts = run(&mut router, 400, 300, |_, _| success(1_000));
    assert_eq!(count(&counts, 0), 0, "{counts:?}");
}

/// Guards against an endpoint that is no longer chosen after a single slow answer.
#[test]
fn estimate_limits_outlier() {
    let mut router = local_router(3);
    run(&mut router, 0, 300, |_, _| success(1_000));
    router.started(Millis(300), &id(0));
    router.finished(Millis(300), &id(0), success(2_000_000));
    let expected = router.expected(Millis(301), &id(0)).unwrap();
    assert!(expected < Micros(2_000), "{expected:?}");
}

/// Guards against an endpoint that was slow once and is never tried again.
#[test]
fn choose_returns_to_recovered_endpoint() {
    let mut router = local_router(3);
    run(&mut router, 0, 300, |endpoint, _| {
        success(if *endpoint == id(0) { 50_000 } else { 1_000 })
    });
    run(&mut router, 300, 50_000, |_, _| success(1_000));
    let counts = run(&mut router, 50_300, 3_000, |_, _| success(1_000));
    assert!(count(&counts, 0) > 500, "{counts:?}");
}

/// Guards against a preference for the local data centre that ignores its higher latency.
#[rstest]
#[case::equal(1_000, true)]
#[case::slower_than_hop(4_000, false)]
fn choose_weighs_data_centre(#[case] local_latency: u64, #[case] prefers_local: bool) {
    let mut router = router(1);
    router.set_endpoints(Millis(0), &[endpoint(0, "a"), endpoint(1, "b")]);
    let counts = run(&mut router, 0, 1_000, |endpoint, _| {
        success(if *endpoint == id(0) {
            local_latency
        } else {
            2_000
        })
    });
    assert_eq!(count(&counts, 0) > 900, prefers_local, "{counts:?}");
    assert_eq!(count(&counts, 1) > 900, !prefers_local, "{counts:?}");
}

/// Guards against concurrent calls that are all sent to the endpoint with the best estimate.
#[test]
fn choose_spreads_calls_in_flight() {
    let mut router = local_router(3);
    let mut counts: BTreeMap<DaemonId, u64> = BTreeMap::new();
    for _ in 0..30 {
        let id = router.choose(Millis(0), &"v1".into(), &[]).unwrap();
        router.started(Millis(0), &id);
        *counts.entry(id).or_default() += 1;
    }
    assert!(counts.values().all(|n| (5..=15).contains(n)), "{counts:?}");
}

/// Guards against a new endpoint that receives its full share of calls before it has warmed up.
#[test]
fn choose_slow_starts_added_endpoint() {
    let mut router = local_router(3);
    let endpoints: Vec<Endpoint> = (0..4).map(|i| endpoint(i, "a")).collect();
    router.set_endpoints(Millis(0), &endpoints);
    let early = run(&mut router, 0, 1_000, |_, _| success(1_000));
    let late = run(&mut router, 20_000, 1_000, |_, _| success(1_000));
    assert!(count(&early, 3) < 80, "{early:?}");
    assert!(count(&late, 3) > 150, "{late:?}");
}

/// Guards against an upstream that restarted with the same version and receives its full share of
/// calls before it has warmed up.
#[test]
fn choose_slow_starts_endpoint_after_drain() {
    let mut router = local_router(3);
    let mut endpoints: Vec<Endpoint> = (0..3).map(|i| endpoint(i, "a")).collect();
    endpoints[0].draining = true;
    router.set_endpoints(Millis(0), &endpoints);
    endpoints[0].draining = false;
    router.set_endpoints(Millis(0), &endpoints);
    let counts = run(&mut router, 0, 1_000, |_, _| success(1_000));
    assert!(count(&counts, 0) < 80, "{counts:?}");
}

/// Guards against endpoints that are in no entry daemon's subset and receive no calls.
#[rstest]
#[case::few_entries(3, 4_000)]
#[case::many_entries(200, 100)]
fn choose_covers_all_endpoints(#[case] entries: u64, #[case] calls: u64) {
    let endpoints: Vec<Endpoint> = (0..100).map(|i| endpoint(i, "a")).collect();
    let mut used = BTreeSet::new();
    for entry in 0..entries {
        let mut router = router(entry);
        router.set_endpoints(Millis(0), &endpoints);
        let counts = run(&mut router, 0, calls, |_, _| success(1_000));
        used.extend(counts.into_keys());
        let tracked = router.members.iter().filter(|m| m.tracked).count();
        assert_eq!(tracked, Tuning::default().subset);
    }
    assert_eq!(used.len(), 100);
}

/// Guards against subsets that give some endpoints several times the load of others.
#[test]
fn subset_spreads_evenly() {
    let mut counts = vec![0_u32; 100];
    for entry in 0..1_000 {
        let daemon = format!("entry{entry}").into();
        let mut members: Vec<usize> = (0..100).collect();
        subset::split(&mut members, 32, |i| subset::rank(&daemon, &id(i)));
        for member in members {
            counts[member] += 1;
        }
    }
    // The expected count is 320 and its standard deviation is below 15; the bounds are five
    // standard deviations from the mean.
    assert!(counts.iter().all(|n| (245..=395).contains(n)), "{counts:?}");
}

/// Guards against the choice of an ejected endpoint while another one is available.
#[test]
fn choose_ejected_only_as_last_resort() {
    let mut router = local_router(2);
    router.set_available(&id(0), false);
    let counts = run(&mut router, 0, 200, |_, _| success(1_000));
    assert_eq!(count(&counts, 0), 0);
    let only = router.choose(Millis(200), &"v1".into(), &[id(1)]);
    assert_eq!(only, Some(id(0)));
}

proptest! {
    /// Guards against the choice of an excluded or draining endpoint or one of another version,
    /// against a missing choice although there is a usable endpoint, and against in-flight counts
    /// that become wrong when the endpoints are updated.
    #[test]
    fn choose_returns_usable(
        kinds in prop::collection::vec((0..3_u8, any::<bool>(), any::<bool>()), 1..60),
        steps in prop::collection::vec((0..6_u8, any::<u16>()), 1..120),
        seed in any::<u64>(),
    ) {
        let mut router = router(seed);
        let all: Vec<Endpoint> = kinds
            .iter()
            .enumerate()
            .map(|(i, (version, draining, local))| Endpoint {
                version: format!("v{version}").into(),
                draining: *draining,
                drained_by_operator: false,
                ..endpoint(i, if *local { "a" } else { "b" })
            })
            .collect();
        router.set_endpoints(Millis(0), &all);
        let mut in_flight: BTreeMap<DaemonId, u32> = BTreeMap::new();
        for (step, (action, number)) in steps.into_iter().enumerate() {
            let now = Millis(step as u64 * 7);
            let target = id(usize::from(number) % all.len());
            match action {
                0 => router.set_endpoints(now, &all),
                1 => router.set_available(&target, number > 30_000),
                2 if in_flight.get(&target).is_some_and(|n| *n > 0) => {
                    router.finished(now, &target, success(u64::from(number)));
                    *in_flight.entry(target).or_default() -= 1;
                }
                _ => {
                    let version: VersionName = format!("v{}", number % 3).into();
                    let exclude: Vec<DaemonId> = (0..usize::from(number) % 5).map(id).collect();
                    let usable = |e: &&Endpoint| {
                        e.version == version && !e.draining && !exclude.contains(&e.daemon)
                    };
                    let chosen = router.choose(now, &version, &exclude);
                    prop_assert_eq!(chosen.is_some(), all.iter().any(|e| usable(&e)));
                    let Some(chosen) = chosen else { continue };
                    prop_assert!(all.iter().filter(usable).any(|e| e.daemon == chosen));
                    router.started(now, &chosen);
                    *in_flight.entry(chosen).or_default() += 1;
                }
            }
        }
        for (id, count) in in_flight {
            prop_assert_eq!(router.in_flight(&id), count);
        }
    }
}

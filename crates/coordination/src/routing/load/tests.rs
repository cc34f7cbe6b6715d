mod mixed_speeds;

use rstest::rstest;
use sycamoreflow_state::endpoint::Endpoint;
use sycamoreflow_state::ids::{DaemonId, Millis};

use super::*;
use crate::pace::Pace;
use crate::routing::{CallResult, Outcome, Router, RouterConfig};

fn endpoint(name: &str, data_centre: &str) -> Endpoint {
    Endpoint {
        daemon: name.into(),
        service: "catalogue".into(),
        version: "v1".into(),
        data_centre: data_centre.into(),
        address: "127.0.0.1:1".parse().unwrap(),
        slots: 9,
        draining: false,
        drained_by_operator: false,
    }
}

/// Returns a router in data centre `a` with one local and one remote endpoint.
fn router() -> Router {
    let mut router = Router::new(RouterConfig {
        daemon: "entry".into(),
        data_centre: "a".into(),
        remote_latency: Micros(1_000),
        seed: 7,
    });
    let endpoints = [endpoint("near", "a"), endpoint("far", "b")];
    router.set_endpoints(Millis(1_000), &endpoints);
    router
}

fn load(running: u32, queued: u32, route_ms: u64) -> Load {
    Load {
        running,
        queued,
        limit: 9,
        mean: Micros(120_000),
        route: Micros(route_ms * 1_000),
        waited: Micros(0),
        pace: None,
        closed_for: Millis(0),
    }
}

fn objective(remote_cost: f64) -> LatencyObjective {
    LatencyObjective {
        route: "stock-check".into(),
        target: Micros(400_000),
        late_value: 0.3,
        remote_cost,
    }
}

fn observe(router: &mut Router, near: Load, far: Load) {
    let route = RouteName::from("stock-check");
    router.observe_load(Millis(1_000), &"near".into(), near, &route);
    router.observe_load(Millis(1_000), &"far".into(), far, &route);
}

/// Guards against requests that are sent to another data centre without need, and against requests
/// that stay in the local data centre although they would be late there. The endpoints differ in
/// load, service time and data centre.
#[rstest]
#[case::both_idle(load(0, 0, 120), load(0, 0, 120), 0.06, "near")]
#[case::near_busy(load(8, 0, 120), load(0, 0, 120), 0.06, "near")]
#[case::near_full(load(9, 20, 120), load(2, 0, 120), 0.06, "far")]
#[case::near_slow(load(0, 0, 600), load(0, 0, 120), 0.06, "far")]
#[case::near_slower(load(0, 0, 170), load(0, 0, 100), 0.06, "near")]
#[case::large_bodies(load(9, 8, 120), load(2, 0, 120), 0.9, "near")]
#[case::both_full(load(9, 20, 120), load(9, 40, 120), 0.06, "near")]
fn choose_for_load(
    #[case] near: Load,
    #[case] far: Load,
    #[case] remote_cost: f64,
    #[case] expected: &str,
) {
    let mut router = router();
    observe(&mut router, near, far);
    let objective = objective(remote_cost);
    let chosen = router.choose_for(Millis(1_010), &"v1".into(), &[], &objective);
    assert_eq!(chosen, Some(DaemonId::from(expected)));
}

/// Guards against requests that go to a host that was slow a moment ago, and against hosts that are
/// avoided because of an old report. The near host was 2.5 times slower than usual at its report.
#[rstest]
#[case::just_reported(1_010, "far")]
#[case::outdated(3_100, "near")]
fn choose_for_pace(#[case] now: u64, #[case] expected: &str) {
    let mut router = router();
    let pace = PaceReport {
        pace: Pace::from_percent(250),
        age: Millis(0),
    };
    let slow = Load {
        pace: Some(pace),
        ..load(0, 0, 200)
    };
    observe(&mut router, slow, load(0, 0, 200));
    let chosen = router.choose_for(Millis(now), &"v1".into(), &[], &objective(0.06));
    assert_eq!(chosen, Some(DaemonId::from(expected)));
}

/// Guards against an unresponsive endpoint that keeps receiving requests because its last load
/// report was good. The endpoint accepts a request and does not answer it.
#[test]
fn choose_for_silent() {
    let mut router = router();
    observe(&mut router, load(0, 0, 120), load(0, 0, 120));
    let near = DaemonId::from("near");
    router.started(Millis(1_010), &near);
    let later = Millis(2_000);
    let chosen = router.choose_for(later, &"v1".into(), &[], &objective(0.06));
    assert_eq!(chosen, Some("far".into()));
}

/// Guards against retries of failures that every endpoint shows, and against a request that fails
/// for good because an endpoint that fails rarely has failed it. An endpoint is an outlier only if
/// it fails more of its requests than the others; a failure is isolated if the others rarely fail.
#[rstest]
#[case::one_fails(8, 0, true, true)]
#[case::one_fails_once(1, 0, false, true)]
#[case::all_fail(8, 8, false, false)]
#[case::none_fails(0, 0, false, true)]
fn is_outlier_failures(
    #[case] near: u32,
    #[case] far: u32,
    #[case] outlier: bool,
    #[case] isolated: bool,
) {
    let mut router = router();
    for (id, failures) in [("near", near), ("far", far)] {
        let id = DaemonId::from(id);
        for call in 0..16 {
            let result = match call % 2 == 0 && call < 2 * failures {
                true => CallResult::Failure,
                false => CallResult::Success,
            };
            let outcome = Outcome {
                latency: Micros(100_000),
                result,
            };
            router.started(Millis(1_000), &id);
            router.finished(Millis(1_000), &id, outcome);
        }
    }
    let (now, id) = (Millis(1_000), DaemonId::from("near"));
    assert_eq!(router.is_outlier(now, &id), outlier);
    assert_eq!(router.is_isolated_failure(now, &id), isolated);
}

/// Answers endpoints that return cold: one that takes no call now is left out, its refusals do not
/// count against it, and if no other is left the call is refused at once instead of being sent.
#[test]
fn choose_for_closed_endpoints() {
    let mut router = router();
    let closed = |closed_for| Load {
        closed_for: Millis(closed_for),
        ..load(0, 0, 120)
    };
    observe(&mut router, closed(150), closed(0));
    let choose = |router: &mut Router, now| {
        let chosen = router.choose_for(Millis(now), &"v1".into(), &[], &objective(0.9));
        chosen.map(|id| id.as_str().to_owned())
    };
    assert_eq!(choose(&mut router, 1_000).as_deref(), Some("far"));
    router.started(Millis(1_000), &"near".into());
    let refused = Outcome {
        latency: Micros(1_000),
        result: CallResult::Refused,
    };
    router.finished(Millis(1_001), &"near".into(), refused);
    assert!(!router.is_outlier(Millis(1_001), &"near".into()));
    observe(&mut router, closed(900), closed(600));
    assert_eq!(choose(&mut router, 1_010), None);
    assert!(router.retry_after(Millis(1_010), false) >= Millis(400));
    assert_eq!(choose(&mut router, 1_700).as_deref(), Some("far"));
}

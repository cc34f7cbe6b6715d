use crate::admission::{Admission, AdmissionConfig, CallId, Decision, UpstreamResult, Urgency};
use sycamoreflow_state::ids::{Micros, Millis, RouteName, TenantName};

/// A route of the load, in milliseconds.
struct Class {
    route: &'static str,
    interval: u64,
    service: u64,
    target: u64,
}

/// What became of the calls of a load.
struct Outcome {
    /// Part of the calls of each class that was started.
    started: Vec<f64>,
    /// Part of the started calls of each class that ended after their target.
    late: Vec<f64>,
    /// Longest wait of a started call.
    longest: u64,
}

/// Offers calls at fixed intervals to an upstream of six slots for 20 s.
fn run(classes: &[Class]) -> Outcome {
    let mut cfg = AdmissionConfig::new(6);
    cfg.adaptive_limit = false;
    let mut admission = Admission::new(cfg);
    let tenant = TenantName::from("default");
    let mut offered = vec![0_u32; classes.len()];
    let mut started = vec![0_u32; classes.len()];
    let mut late = vec![0_u32; classes.len()];
    let mut calls: Vec<(usize, u64)> = Vec::new();
    let mut running: Vec<(u64, CallId)> = Vec::new();
    let mut longest = 0;
    let mut start = |now: u64, id: CallId, calls: &[(usize, u64)], running: &mut Vec<_>| {
        let (class, arrived) = calls[id.0 as usize];
        started[class] += 1;
        if now + classes[class].service > arrived + classes[class].target {
            late[class] += 1;
        }
        longest = longest.max(now - arrived);
        running.push((now + classes[class].service, id));
    };
    for now in 1..20_000 {
        running.sort_by_key(|(end, _)| *end);
        while running.first().is_some_and(|(end, _)| *end <= now) {
            let (_, id) = running.remove(0);
            let service = classes[calls[id.0 as usize].0].service;
            let result = UpstreamResult::Answered(Micros(service * 1_000));
            for released in admission.finish(Millis(now), id, result) {
                if let crate::admission::Released::Start(id) = released {
                    start(now, id, &calls, &mut running);
                }
            }
        }
        for (index, class) in classes.iter().enumerate() {
            if now % class.interval != 0 {
                continue;
            }
            let id = CallId(calls.len() as u64);
            calls.push((index, now));
            offered[index] += 1;
            let route = RouteName::from(class.route);
            let urgency = Urgency {
                route: &route,
                priority: 1,
                due: Millis(now + class.target),
                expected: Micros(class.service * 1_000),
            };
            let deadline = Millis(now + class.target * 5);
            let offer = admission.offer_urgent(Millis(now), id, &tenant, deadline, urgency);
            if offer == Decision::Start {
                start(now, id, &calls, &mut running);
            }
        }
    }
    let ratios_of = |counts: &[u32], all: &[u32]| {
        let counts = counts.iter().zip(all);
        counts.map(|(c, a)| f64::from(*c) / f64::from(*a)).collect()
    };
    Outcome {
        late: ratios_of(&late, &started),
        started: ratios_of(&started, &offered),
        longest,
    }
}

/// Pattern: short calls of running requests share an overloaded upstream with long calls.
///
/// Guards against a queue in which short calls with a near target are nearly all refused, which
/// fails the requests that have made them.
#[test]
fn offer_short_beside_long() {
    let short = Class {
        route: "credit-check",
        interval: 20,
        service: 60,
        target: 150,
    };
    let long = Class {
        route: "contract-place",
        interval: 28,
        service: 360,
        target: 600,
    };
    let Outcome {
        started,
        late,
        longest,
    } = run(&[short, long]);
    assert!(
        (started[0] - started[1]).abs() < 0.25,
        "{started:?} {late:?}"
    );
    assert!(started[0] > 0.25, "{started:?}");
    // Long calls are overtaken by short ones, but none is held beyond its deadline.
    assert!(longest <= 3_000, "a call waited {longest} ms");
    assert!(
        late.iter().all(|ratio| *ratio < 0.1),
        "late: {late:?} {started:?}"
    );
}

/// Pattern: the load of short calls alone is more than the upstream can run.
///
/// Guards against a queue in which short calls overtake an accepted long one until it is late.
#[test]
fn offer_long_overtaken() {
    let short = Class {
        route: "recipe-lookup",
        interval: 4,
        service: 30,
        target: 120,
    };
    let long = Class {
        route: "blend-order",
        interval: 18,
        service: 160,
        target: 500,
    };
    let Outcome { started, late, .. } = run(&[short, long]);
    assert!(
        started.iter().all(|ratio| *ratio > 0.2),
        "{started:?} {late:?}"
    );
    assert!(
        late.iter().all(|ratio| *ratio < 0.1),
        "late: {late:?} {started:?}"
    );
}

/// Pattern: twice the calls that an upstream can run, all of one route.
///
/// Guards against a queue that makes every call late under lasting overload, and against slots that
/// are idle because the queue is too short.
#[test]
fn offer_lasting_overload() {
    let class = Class {
        route: "stock-check",
        interval: 10,
        service: 120,
        target: 400,
    };
    let Outcome {
        started, longest, ..
    } = run(&[class]);
    assert!(started[0] > 0.45, "{started:?}");
    assert!(longest <= 400, "a call waited {longest} ms");
}

/// Pattern: load below capacity in uneven arrivals.
///
/// Guards against refusals while every call would find room in time.
#[test]
fn offer_below_capacity() {
    let classes = [
        Class {
            route: "a",
            interval: 40,
            service: 100,
            target: 400,
        },
        Class {
            route: "b",
            interval: 50,
            service: 120,
            target: 400,
        },
    ];
    let Outcome { started, .. } = run(&classes);
    assert!(started.iter().all(|ratio| *ratio > 0.999), "{started:?}");
}

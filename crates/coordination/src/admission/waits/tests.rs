use sycamoreflow_state::ids::{Micros, Millis, RouteName, TenantName};

use crate::admission::{
    Admission, AdmissionConfig, CallId, Decision, Released, UpstreamResult, Urgency,
};

fn admission(slots: u32) -> Admission {
    Admission::new(AdmissionConfig {
        adaptive_limit: false,
        ..AdmissionConfig::new(slots)
    })
}

/// A call of `tenant` with a due time and an expected service time in milliseconds.
struct Offer {
    id: u64,
    tenant: &'static str,
    priority: u32,
    due: u64,
    expected: u64,
}

fn offer(admission: &mut Admission, now: u64, offer: &Offer) -> Decision {
    let urgency = Urgency {
        route: &RouteName::from("slots"),
        priority: offer.priority,
        due: Millis(offer.due),
        expected: Micros(offer.expected * 1_000),
        late_value: 0.3,
    };
    let tenant = TenantName::from(offer.tenant);
    let deadline = Millis(now + 4_000);
    admission.offer_urgent(Millis(now), CallId(offer.id), &tenant, deadline, urgency)
}

fn call(id: u64, priority: u32, due: u64) -> Offer {
    Offer {
        id,
        tenant: "a",
        priority,
        due,
        expected: 100,
    }
}

/// Guards against an upstream that has just started and gets more calls than it can start in time,
/// because the service time of their route is not known yet. Calls return after a power loss.
#[test]
fn offer_urgent_unknown_service_time() {
    let mut admission = admission(6);
    let mut queued = 0;
    for id in 0..60 {
        let call = Offer {
            expected: 0,
            ..call(id, 1, 1_600)
        };
        queued += u32::from(offer(&mut admission, 1_000, &call) == Decision::Queued);
    }
    // Six slots start 30 calls of the assumed 100 ms in the 500 ms that are left to start.
    assert!((6..=30).contains(&queued), "{queued}");
}

/// Guards against a call that waits behind a burst of more urgent ones until it is late, although
/// another endpoint might still answer it in time.
#[test]
fn offer_urgent_displaces() {
    let mut admission = admission(1);
    assert_eq!(offer(&mut admission, 0, &call(0, 0, 600)), Decision::Start);
    assert_eq!(offer(&mut admission, 0, &call(1, 2, 600)), Decision::Queued);
    assert_eq!(admission.take_displaced(), []);
    for id in 2..10 {
        offer(&mut admission, 0, &call(id, 0, 2_000));
    }
    let displaced = admission.take_displaced();
    assert!(
        matches!(displaced[..], [Released::Refused(CallId(1), _)]),
        "{displaced:?}"
    );
}

/// Guards against late calls that make those late that could still be in time.
#[test]
fn finish_late_call_last() {
    let mut admission = admission(1);
    offer(&mut admission, 0, &call(0, 1, 600));
    assert_eq!(offer(&mut admission, 0, &call(1, 1, 400)), Decision::Queued);
    assert_eq!(offer(&mut admission, 0, &call(2, 1, 900)), Decision::Queued);
    let answered = UpstreamResult::Answered(Micros(380_000));
    let released = admission.finish(Millis(380), CallId(0), answered);
    assert_eq!(released.first(), Some(&Released::Start(CallId(2))));
}

/// Guards against an account without service on a route that an account with a higher priority
/// overloads: it gets a quarter of the service of all.
#[test]
fn offer_urgent_starved_account() {
    let mut admission = admission(6);
    let mut running: Vec<(u64, CallId)> = Vec::new();
    let (mut offered, mut started) = ([0.0; 2], [0.0; 2]);
    let mut start = |now: u64, id: CallId, running: &mut Vec<(u64, CallId)>| {
        started[id.0 as usize % 2] += 1.0;
        running.push((now + 100, id));
    };
    for now in 1..30_000 {
        let ended = running.extract_if(.., |(end, _)| *end <= now);
        for (_, id) in ended.collect::<Vec<_>>() {
            let answered = UpstreamResult::Answered(Micros(100_000));
            for released in admission.finish(Millis(now), id, answered) {
                if let Released::Start(id) = released {
                    start(now, id, &mut running);
                }
            }
        }
        // The urgent account offers twice the capacity, the other one a fifth.
        for (index, interval) in [8, 80].into_iter().enumerate() {
            if now % interval != 0 {
                continue;
            }
            offered[index] += 1.0;
            let call = Offer {
                id: now * 2 + index as u64,
                tenant: ["a", "b"][index],
                ..call(0, index as u32 * 2, now + 500)
            };
            if offer(&mut admission, now, &call) == Decision::Start {
                start(now, CallId(call.id), &mut running);
            }
            admission.take_displaced();
        }
    }
    let served = [0, 1].map(|index| started[index] / offered[index]);
    let all = (started[0] + started[1]) / (offered[0] + offered[1]);
    assert!(served[1] >= 0.25 * all, "{served:?}");
    assert!(served[0] > served[1], "{served:?}");
}

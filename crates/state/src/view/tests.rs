use std::collections::BTreeMap;

use proptest::prelude::*;
use rstest::rstest;

use super::*;
use crate::config::{FinishTime, LowTraffic, RolloutRule, Share};
use crate::ids::{ConfigVersion, EndpointVersion, Millis};

fn version(config: u64, seq: u64) -> ViewVersion {
    ViewVersion {
        config: ConfigVersion(config),
        endpoints: EndpointVersion { term: 1, seq },
    }
}

fn service(version: &str) -> Resource {
    Resource::Service(ServiceConfig {
        version: version.into(),
        callers: Vec::new(),
        rollout: RolloutRule {
            steps: vec![Share::ALL],
            finish: FinishTime::Within(Millis(60_000)),
            watch: Millis(1000),
            max_extra_failures: Share::percent(1),
            max_slowdown_percent: 150,
            false_alarm: Share::percent(1),
            low_traffic: LowTraffic::Finish,
            max_exposure: None,
            exposure_slack: 0,
        },
        min_endpoints: Share::percent(50),
        retry_budget: Share::percent(10),
        cold_start: None,
    })
}

fn traffic(version: &str) -> Resource {
    Resource::Traffic(TrafficSplit {
        stable: version.into(),
        candidate: None,
        blocked: Vec::new(),
    })
}

fn endpoint(daemon: &str, service: &str, slots: u32) -> (ResourceKey, Resource) {
    let resource = Resource::Endpoint(Endpoint {
        daemon: daemon.into(),
        service: service.into(),
        version: "v1".into(),
        data_centre: "sfax-a".into(),
        address: ([127, 0, 0, 1], 7000).into(),
        slots,
        draining: false,
        drained_by_operator: false,
    });
    (
        ResourceKey::Endpoint(daemon.into(), service.into()),
        resource,
    )
}

fn route(service: &str, tenants: &[&str]) -> Resource {
    Resource::Route(RouteConfig {
        service: service.into(),
        prefix: format!("/{service}"),
        methods: Vec::new(),
        idempotent: false,
        tenants: tenants.iter().map(|&name| name.into()).collect(),
        timeout: Millis(1000),
        delivery: Default::default(),
    })
}

/// Returns a valid view with one tenant, the given services with a route each, and the endpoints.
fn view(at: ViewVersion, services: &[&str], endpoints: &BTreeMap<u8, (u8, u32)>) -> View {
    let mut view = View::new(Interest::All);
    view.set_version(at);
    let tenant = Resource::Tenant(TenantConfig::with_weight(1));
    view.insert(ResourceKey::Tenant("grocers".into()), tenant.into());
    for &name in services {
        view.insert(ResourceKey::Service(name.into()), service("v1").into());
        view.insert(ResourceKey::Traffic(name.into()), traffic("v1").into());
        view.insert(
            ResourceKey::Route(name.into()),
            route(name, &["grocers"]).into(),
        );
    }
    for (daemon, (service, slots)) in endpoints {
        let service = SERVICES[usize::from(*service) % SERVICES.len()];
        let (key, resource) = endpoint(&format!("d{daemon}"), service, *slots);
        view.insert(key, resource.into());
    }
    view
}

const SERVICES: [&str; 3] = ["catalogue", "orders", "traceability"];

fn any_view(at: ViewVersion) -> impl Strategy<Value = View> {
    let services = proptest::sample::subsequence(SERVICES.to_vec(), 0..=3);
    let endpoints = proptest::collection::btree_map(0..12u8, (0..3u8, 1..4u32), 0..10);
    (services, endpoints).prop_map(move |(services, endpoints)| view(at, &services, &endpoints))
}

fn any_interest() -> impl Strategy<Value = Interest> {
    let services = proptest::sample::subsequence(SERVICES.to_vec(), 0..=3);
    prop_oneof![
        Just(Interest::All),
        services.prop_map(|names| {
            Interest::Services(names.into_iter().map(ServiceName::from).collect())
        }),
    ]
}

fn recompute_digest(view: &View) -> Digest {
    view.iter()
        .map(|(key, resource)| Digest::of(key, resource))
        .fold(Digest::default(), Digest::plus)
}

proptest! {
    // Guards against deltas that miss a change, and against an incrementally updated digest that
    // differs from one computed from scratch.
    #[test]
    fn apply_reaches_newer_view(
        old in any_view(version(3, 3)),
        new in any_view(version(4, 7)),
        interest in any_interest(),
    ) {
        let (old, new) = (old.restrict(&interest), new.restrict(&interest));
        let applied = old.apply(&old.delta_to(&new)).unwrap();
        prop_assert_eq!(&applied, &new);
        prop_assert_eq!(applied.digest(), recompute_digest(&new));
        prop_assert_eq!(&old.apply(&Delta::full(&new)).unwrap(), &new);
        prop_assert!(new.verify(&interest).is_ok());
    }

    // Guards against a restricted delta that does not match the view of its subscriber, which would
    // reject it for its digest.
    #[test]
    fn restrict_delta_equals_delta_of_restricted(
        old in any_view(version(3, 3)),
        new in any_view(version(4, 7)),
        interest in any_interest(),
    ) {
        let current = old.restrict(&interest);
        let delta = old.restrict_delta(&new, &old.delta_to(&new), &interest, current.digest());
        prop_assert_eq!(delta, current.delta_to(&new.restrict(&interest)));
    }

    // Guards against a proxy that goes back to an older configuration or endpoint table (P1).
    #[test]
    fn apply_stale_delta(config in 0..6u64, seq in 0..6u64, full: bool) {
        let current = view(version(3, 3), &SERVICES, &BTreeMap::new());
        let other = view(version(config, seq), &SERVICES[..1], &BTreeMap::new());
        let delta = if full { Delta::full(&other) } else { current.delta_to(&other) };
        let newer = (config, seq) != (3, 3) && config >= 3 && seq >= 3;
        prop_assert_eq!(current.apply(&delta).is_ok(), newer);
    }

    // Guards against a corrupted delta that is applied in whole or in part (P3).
    #[test]
    fn apply_corrupted_delta(
        old in any_view(version(3, 3)),
        new in any_view(version(4, 4)),
        at: proptest::sample::Index,
        drop_removal: bool,
    ) {
        let mut delta = old.delta_to(&new);
        if drop_removal && !delta.removals.is_empty() {
            delta.removals.remove(at.index(delta.removals.len()));
        } else if !delta.upserts.is_empty() {
            delta.upserts.remove(at.index(delta.upserts.len()));
        } else {
            delta.digest = delta.digest.plus(Digest::from((0, 1)));
        }
        let before = old.clone();
        prop_assert!(old.apply(&delta).is_err());
        prop_assert_eq!(old, before);
    }

    // Guards against types that CBOR or JSON cannot represent without loss.
    #[test]
    fn encode_round_trip(view in any_view(version(4, 4)), interest in any_interest()) {
        let view = view.restrict(&interest);
        let delta = Delta::full(&view);
        let mut buf = Vec::new();
        ciborium::into_writer(&(&view, &delta), &mut buf).unwrap();
        let (view2, delta2): (View, Delta) = ciborium::from_reader(buf.as_slice()).unwrap();
        prop_assert_eq!((&view2, &delta2), (&view, &delta));
        let text = serde_json::to_string(&(&view, &delta)).unwrap();
        let (view3, delta3): (View, Delta) = serde_json::from_str(&text).unwrap();
        prop_assert_eq!((&view3, &delta3), (&view, &delta));
    }
}

// Guards against a delta that is delivered twice and then reported as a fault of the sender.
#[test]
fn apply_duplicate_delta() {
    let old = view(version(3, 3), &SERVICES[..1], &BTreeMap::new());
    let new = view(version(4, 3), &SERVICES, &BTreeMap::new());
    let delta = old.delta_to(&new);
    let applied = old.apply(&delta).unwrap();
    assert!(applied.apply(&delta).unwrap_err().is_duplicate());
    let other = old.delta_to(&view(version(4, 3), &SERVICES[1..], &BTreeMap::new()));
    let rejection = applied.apply(&other).unwrap_err();
    assert!(
        matches!(rejection, Rejection::DigestMismatch { .. }),
        "{rejection}"
    );
}

// Guards against a delta that is applied to another version than the one it was computed from.
#[test]
fn apply_other_base() {
    let base = view(version(2, 3), &SERVICES, &BTreeMap::new());
    let new = view(version(4, 3), &SERVICES, &BTreeMap::new());
    let current = view(version(3, 3), &SERVICES, &BTreeMap::new());
    let rejection = current.apply(&base.delta_to(&new)).unwrap_err();
    assert!(
        matches!(rejection, Rejection::OtherBase { .. }),
        "{rejection}"
    );
}

// Guards against references to resources that the proxy lacks (P2), and against keys that do not
// match their resources.
#[rstest]
#[case::service(ResourceKey::Service("orders".into()), None)]
#[case::traffic(ResourceKey::Traffic("orders".into()), None)]
#[case::tenant(ResourceKey::Tenant("grocers".into()), None)]
#[case::kind(ResourceKey::Traffic("orders".into()), Some(service("v1")))]
#[case::endpoint(
    ResourceKey::Endpoint("d1".into(), "orders".into()),
    Some(endpoint("d2", "orders", 1).1)
)]
fn apply_invalid_result(#[case] key: ResourceKey, #[case] replacement: Option<Resource>) {
    let old = view(version(3, 3), &SERVICES, &BTreeMap::new());
    let mut new = old.clone();
    new.set_version(version(4, 4));
    match replacement {
        Some(resource) => new.insert(key, resource.into()),
        None => assert!(new.remove(&key)),
    }
    let rejection = old.apply(&old.delta_to(&new)).unwrap_err();
    assert!(matches!(rejection, Rejection::Invalid(_)), "{rejection}");
    assert!(old.apply(&Delta::full(&new)).is_err());
    assert!(new.verify(&Interest::All).is_err());
}

// Guards against an incremental delta that is applied for a wider interest, although it lacks the
// newly included resources.
#[test]
fn apply_for_wider_interest() {
    let all = view(
        version(3, 3),
        &SERVICES,
        &BTreeMap::from([(1, (0, 2)), (2, (1, 2))]),
    );
    let orders_only = Interest::Services([ServiceName::from("orders")].into());
    let current = all.restrict(&orders_only);
    assert_eq!(current.endpoints().count(), 1);
    assert_eq!(current.routes().count(), 3);
    assert!(current.service(&"catalogue".into()).is_none());
    let change = current.delta_to(&all);
    assert_eq!(
        current.apply_for(&Interest::All, &change),
        Err(Rejection::InterestChanged)
    );
    assert_eq!(
        View::from_full(&Interest::All, &change),
        Err(Rejection::InterestChanged)
    );
    assert_eq!(
        current.apply_for(&Interest::All, &Delta::full(&all)),
        Ok(all)
    );
}

/// Guards against an evacuation that a daemon does not receive because it subscribes to a few
/// services, and against departures or endpoints that hide it.
#[test]
fn evacuations_restricted() {
    let endpoints = BTreeMap::from([(1, (0, 2)), (2, (1, 2))]);
    let mut view = view(version(1, 1), &SERVICES, &endpoints);
    let departures = Resource::Departures(Vec::new());
    view.insert(ResourceKey::Departures("d1".into()), departures.into());
    for name in ["sfax-b", "sfax-a"] {
        let evacuation = Evacuation {
            since: ConfigVersion(1),
        };
        let key = ResourceKey::Evacuation(name.into());
        view.insert(key, Resource::Evacuation(evacuation).into());
    }
    let interest = Interest::Services([ServiceName::from("orders")].into());
    let view = view.restrict(&interest);
    assert_eq!(view.verify(&interest), Ok(()));
    let names: Vec<_> = view.evacuations().map(|(name, _)| name.as_str()).collect();
    assert_eq!(names, ["sfax-a", "sfax-b"]);
    assert!(view.is_evacuated(&"sfax-a".into()) && !view.is_evacuated(&"sfax-c".into()));
    assert_eq!(view.departures().count(), 1);
}

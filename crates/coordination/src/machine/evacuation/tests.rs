#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use rstest::rstest;

use super::super::Command;
use super::super::tests::approve;
use super::*;

fn order(request: Option<&str>, data_centre: &str, evacuate: bool) -> Command {
    Command::Evacuate(EvacuationOrder {
        request: request.map(Into::into),
        data_centre: data_centre.into(),
        evacuate,
        at: Millis(5),
    })
}

fn done(version: u64, changed: bool) -> Outcome {
    let version = ConfigVersion(version);
    Outcome::Done { version, changed }
}

fn evacuated(state: &ControlState) -> Vec<&str> {
    let active = state.evacuations().active();
    active.map(|(name, _)| name.as_str()).collect()
}

fn endpoint(daemon: &str, service: &str, data_centre: &str) -> Endpoint {
    Endpoint {
        daemon: daemon.into(),
        service: service.into(),
        version: "v1".into(),
        data_centre: data_centre.into(),
        address: "127.0.0.1:1".parse().unwrap(),
        slots: 4,
        draining: false,
        drained_by_operator: false,
    }
}

/// Guards against an order that is refused because it came before the first configuration, and
/// against a configuration that ends an evacuation.
#[test]
fn apply_before_configuration() {
    let mut state = ControlState::default();
    assert_eq!(state.apply(1, &order(None, "a", true)), done(1, true));
    let approved = state.apply(2, &approve("r", 1, "v1", 1));
    assert!(matches!(approved, Outcome::Approved { .. }));
    assert_eq!(evacuated(&state), ["a"]);
    let key = ResourceKey::Evacuation("a".into());
    let keys: Vec<_> = state.resources().into_iter().map(|(key, _)| key).collect();
    assert!(keys.contains(&key));
}

/// Answers a leader that is lost between the commit and the acknowledgement: the client sends the
/// order to the next leader, which has a snapshot or the log. It must be acknowledged again.
#[rstest]
#[case::identified(Some("r1"))]
#[case::unidentified(None)]
fn apply_resend_after_lost_acknowledgement(#[case] request: Option<&str>) {
    let mut state = ControlState::default();
    state.apply(1, &order(request, "a", true));
    let mut state = ControlState::decode(&state.encode().unwrap()).unwrap();
    let outcome = state.apply(2, &order(request, "a", true));
    assert!(matches!(outcome, Outcome::Done { .. }), "{outcome:?}");
    assert_eq!(evacuated(&state), ["a"]);
    assert_eq!(state.version(), ConfigVersion(1));
}

/// Answers orders that cross: a resend of the evacuation arrives after the data centre was
/// restored. With an identifier it must not evacuate the data centre again.
#[test]
fn apply_resend_after_restore() {
    let mut state = ControlState::default();
    assert_eq!(state.apply(1, &order(Some("r1"), "a", true)), done(1, true));
    assert_eq!(
        state.apply(2, &order(Some("r2"), "a", false)),
        done(2, true)
    );
    assert_eq!(state.apply(3, &order(Some("r1"), "a", true)), done(1, true));
    assert!(evacuated(&state).is_empty());
    assert!(state.evacuations().contains(&"a".into()));
    let reused = state.apply(4, &order(Some("r1"), "b", true));
    assert_eq!(reused, Outcome::RequestIdReused);
    assert!(evacuated(&state).is_empty());
}

/// Answers an evacuation and a restoration of different data centres that two operators send at the
/// same time: neither may undo the other, whatever their order in the log.
#[rstest]
#[case::evacuation_first(true)]
#[case::restoration_first(false)]
fn apply_crossing_orders(#[case] evacuation_first: bool) {
    let mut state = ControlState::default();
    state.apply(1, &order(None, "a", true));
    let mut orders = [order(None, "b", true), order(None, "a", false)];
    if !evacuation_first {
        orders.reverse();
    }
    for (index, command) in orders.iter().enumerate() {
        state.apply(2 + index as u64, command);
    }
    assert_eq!(evacuated(&state), ["b"]);
    assert_eq!(state.version(), ConfigVersion(3));
}

/// Guards against a replica that can't read the snapshot of an earlier release, which has no
/// evacuations.
#[test]
fn decode_snapshot_without_evacuations() {
    let mut state = ControlState::default();
    state.apply(1, &approve("r", 0, "v1", 1));
    let mut value: ciborium::Value = ciborium::from_reader(&*state.encode().unwrap()).unwrap();
    let fields = value.as_map_mut().unwrap();
    let before = fields.len();
    fields.retain(|(key, _)| key.as_text() != Some("evacuations"));
    assert_eq!(fields.len(), before - 1);
    let mut buf = Vec::new();
    ciborium::into_writer(&value, &mut buf).unwrap();
    assert_eq!(ControlState::decode(&buf).unwrap(), state);
}

/// Answers the evacuation of the only data centre of a service: the operator must see that nothing
/// is left, and what the others will have to carry.
#[test]
fn remaining_capacity_service_without_endpoints() {
    let mut state = ControlState::default();
    let endpoints = [
        endpoint("d1", "orders", "a"),
        endpoint("d2", "orders", "b"),
        endpoint("d3", "orders", "b"),
        endpoint("d4", "stock", "a"),
    ];
    let remaining = state.evacuations().remaining_capacity(endpoints.iter());
    assert!(remaining.is_empty());
    state.apply(1, &order(None, "a", true));
    let remaining = state.evacuations().remaining_capacity(endpoints.iter());
    let loads: Vec<_> = remaining
        .iter()
        .map(|r| (r.service.as_str(), r.remaining, r.expected_load_percent()))
        .collect();
    assert_eq!(loads, [("orders", 8, Some(150)), ("stock", 0, None)]);
}

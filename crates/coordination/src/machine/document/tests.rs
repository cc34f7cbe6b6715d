use proptest::prelude::*;
use rstest::rstest;
use sycamoreflow_state::config::{Share, WeightedService};

use super::*;
use crate::machine::tests::config as approved_config;
use crate::machine::{Command, ControlState, Outcome};

fn route(service: &str, prefix: &str) -> RouteConfig {
    let mut route = approved_config("v1").routes["orders"].clone();
    route.service = service.into();
    route.prefix = prefix.to_owned();
    route
}

fn service_part(name: &str) -> (String, Part) {
    let service = ServiceConfig::with_defaults(Share::percent(10));
    let part = Part {
        source: format!("service {name}"),
        meaning: Meaning::Service(name.into(), Box::new(service)),
    };
    (name.to_owned(), part)
}

fn route_part(name: &str, service: &str) -> (String, Part) {
    let route = route(service, &format!("/{name}/"));
    let part = Part {
        source: format!("route {name} to {service}"),
        meaning: Meaning::Route(name.into(), Box::new(route)),
    };
    (name.to_owned(), part)
}

fn document(number: u64, base: u64, parts: &[(String, Part)]) -> Document {
    Document {
        number,
        base,
        parts: parts.iter().cloned().collect(),
    }
}

/// Applies a document as the leader does, with its differences computed against the current state.
fn replace(state: &mut ControlState, document: &Document) -> Outcome {
    let index = state.applied() + 1;
    let replacement = state.documents().replacement(document.clone(), Millis(1));
    state.apply(index, &Command::Replace(replacement))
}

fn accepted(number: u64, repeated: bool) -> Outcome {
    Outcome::Replaced { number, repeated }
}

/// Guards against a resent document that is refused after later changes, and against two documents
/// with the same base that are both accepted.
#[test]
fn apply_race_and_resend() {
    let mut state = ControlState::default();
    let base = [service_part("orders")];
    let first = document(4, 0, &base);
    let one = document(6, 4, &[service_part("orders"), route_part("a", "orders")]);
    let other = document(6, 4, &[service_part("orders"), route_part("b", "orders")]);
    assert_eq!(replace(&mut state, &first), accepted(4, false));
    assert_eq!(replace(&mut state, &one), accepted(6, false));
    let outdated = Outcome::BaseOutdated { current: 6 };
    assert_eq!(replace(&mut state, &other), outdated);
    assert_eq!(replace(&mut state, &one), accepted(6, true));
    let last = document(9, 6, &base);
    assert_eq!(replace(&mut state, &last), accepted(9, false));
    assert_eq!(replace(&mut state, &one), accepted(6, true));
    assert_eq!(state.documents().current(), Some(last));
}

/// Guards against a document that is accepted, or changes the state, although its number is not
/// above the current one or its content is invalid.
#[rstest]
#[case::same_number(4, Ok(()))]
#[case::lower_number(3, Ok(()))]
#[case::unknown_service(7, Err("elsewhere"))]
fn apply_invalid(#[case] number: u64, #[case] route_to: Result<(), &str>) {
    let mut state = ControlState::default();
    let parts = [service_part("orders")];
    replace(&mut state, &document(4, 0, &parts));
    let before = state.documents().current();
    let mut parts = parts.to_vec();
    parts.push(route_part("a", route_to.err().unwrap_or("orders")));
    let outcome = replace(&mut state, &document(number, 4, &parts));
    assert!(matches!(outcome, Outcome::Invalid { .. }), "{outcome:?}");
    assert_eq!(state.documents().current(), before);
}

/// Guards against the application of differences that were computed against a document that is no
/// longer in force.
#[test]
fn apply_computed_on_other() {
    let mut state = ControlState::default();
    let second = document(2, 1, &[service_part("b")]);
    let early = state.documents().replacement(second, Millis(1));
    replace(&mut state, &document(1, 0, &[service_part("a")]));
    let outcome = state.apply(2, &Command::Replace(early));
    assert_eq!(outcome, Outcome::ComputedOnOther);
}

/// Guards against the acceptance of documents that make proxies reject the entire view.
#[rstest]
#[case::no_weight(|route: &mut RouteConfig| route.delivery.split = vec![WeightedService { service: "orders".into(), weight: 0 }])]
#[case::no_attempt(|route: &mut RouteConfig| route.delivery.max_attempts = Some(0))]
#[case::split_unknown(|route: &mut RouteConfig| route.delivery.split = vec![WeightedService { service: "x".into(), weight: 1 }])]
fn problems_route(#[case] change: fn(&mut RouteConfig)) {
    let mut route = route("orders", "/a/");
    change(&mut route);
    let part = Part {
        source: String::new(),
        meaning: Meaning::Route("a".into(), Box::new(route)),
    };
    let parts = [service_part("orders"), ("a".to_owned(), part)];
    assert_eq!(document(1, 0, &parts).problems().len(), 1);
}

proptest! {
    /// Guards against a document that is read back with other parts or another order than
    /// submitted, and against a configuration that differs from the one that its parts define.
    #[test]
    fn apply_any_sequence(steps in proptest::collection::vec(
        proptest::collection::vec((0_u8..6, any::<bool>()), 0..6), 1..8))
    {
        let mut state = ControlState::default();
        for (at, routes) in steps.iter().enumerate() {
            let mut parts = vec![service_part("orders"), service_part("stock")];
            for (name, to_stock) in routes {
                let service = if *to_stock { "stock" } else { "orders" };
                parts.insert(0, route_part(&format!("r{name}"), service));
            }
            let document = document(at as u64 + 1, at as u64, &parts);
            prop_assert_eq!(replace(&mut state, &document), accepted(document.number, false));
            let current = state.documents().current().unwrap();
            prop_assert!(current.parts.iter().eq(document.parts.iter()));
            let mut expected = document.config();
            let mut actual = state.approved().config.clone();
            for config in [&mut expected, &mut actual] {
                config.routes.sort_keys();
                config.services.sort_keys();
            }
            prop_assert_eq!(actual, expected);
        }
    }
}

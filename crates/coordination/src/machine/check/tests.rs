#![allow(clippy::unwrap_used, reason = "a missing value fails the test")]

use proptest::prelude::*;

use super::*;
use crate::machine::document::Part;
use crate::machine::tests::config as approved_config;

/// Service, prefix, host and methods of a route, from small ranges so that routes often overlap.
type RouteParams = (u8, u8, u8, Vec<u8>);

fn service() -> ServiceConfig {
    ServiceConfig::with_defaults(Share::percent(10))
}

fn route((service, prefix, host, methods): &RouteParams) -> RouteConfig {
    let mut route = approved_config("v1").routes["orders"].clone();
    route.service = format!("s{service}").into();
    route.prefix = format!("/p{prefix}/");
    route.methods = methods.iter().map(|m| format!("M{m}")).collect();
    route.tenants.clear();
    route.delivery.host = (*host > 0).then(|| format!("h{host}"));
    route
}

fn part(meaning: Meaning) -> Part {
    Part {
        source: String::new(),
        meaning,
    }
}

fn route_params() -> impl Strategy<Value = RouteParams> {
    let methods = prop::collection::vec(0..3_u8, 0..3);
    (0..3_u8, 0..3_u8, 0..2_u8, methods)
}

proptest! {
    /// Guards against a change that passes the incremental check although the full check rejects
    /// the result, and against one that only the full check accepts.
    #[test]
    fn keeps_valid_agrees(
        before in prop::collection::vec((0..6_u8, route_params()), 0..6),
        upserts in prop::collection::vec((0..6_u8, route_params()), 0..4),
        removed in prop::collection::vec(0..6_u8, 0..2),
        added_service in prop::option::of(0..4_u8),
    ) {
        let mut config = MeshConfig::default();
        for index in 0..2 {
            config.services.insert(format!("s{index}").into(), service());
        }
        for (name, params) in &before {
            config.routes.insert(format!("r{name}").into(), route(params));
        }
        prop_assume!(check_config(&config).is_empty());
        let mut change = Replacement::default();
        for name in &removed {
            let name = RouteName::from(format!("r{name}"));
            let Some(route) = config.routes.get(&name) else { continue };
            let meaning = Meaning::Route(name.clone(), Box::new(route.clone()));
            change.removals.push((name.to_string(), meaning));
        }
        for (name, params) in &upserts {
            if removed.contains(name) {
                continue;
            }
            let name = RouteName::from(format!("r{name}"));
            let meaning = Meaning::Route(name.clone(), Box::new(route(params)));
            change.upserts.insert(name.to_string(), part(meaning));
        }
        if let Some(index) = added_service {
            let name = ServiceName::from(format!("s{index}"));
            let meaning = Meaning::Service(name.clone(), Box::new(service()));
            change.upserts.insert(name.to_string(), part(meaning));
        }
        let is_valid = keeps_valid(&config, &change);
        change.apply_to(&mut config);
        prop_assert_eq!(is_valid, check_config(&config).is_empty());
    }
}

use std::sync::Arc;

use rstest::rstest;
use sycamoreflow_state::config::RouteConfig;
use sycamoreflow_state::ids::Millis;
use sycamoreflow_state::view::{Interest, Resource, ResourceKey, View};

use super::RouteTable;

fn table(routes: &[(&str, &str, &[&str])]) -> RouteTable {
    let mut view = View::new(Interest::All);
    for (name, prefix, methods) in routes {
        let config = RouteConfig {
            service: "orders".into(),
            prefix: (*prefix).to_owned(),
            methods: methods.iter().map(|m| (*m).to_owned()).collect(),
            idempotent: false,
            tenants: Vec::new(),
            timeout: Millis(1_000),
            delivery: Default::default(),
        };
        let key = ResourceKey::Route((*name).into());
        view.insert(key, Arc::new(Resource::Route(config)));
    }
    RouteTable::new(&view)
}

/// Guards against a shorter prefix that takes precedence over a longer one, and against a prefix
/// that matches only part of a path segment.
#[rstest]
#[case::exact("GET", "/orders", Some("all"))]
#[case::below("GET", "/orders/7", Some("all"))]
#[case::longest("GET", "/orders/blend/7", Some("blend"))]
#[case::inside_segment("GET", "/ordersheet", None)]
#[case::trailing_slash("GET", "/orders/", Some("all"))]
#[case::method_falls_back("POST", "/orders/batch/1", Some("all"))]
#[case::unknown("GET", "/", None)]
fn find_prefix(#[case] method: &str, #[case] path: &str, #[case] expected: Option<&str>) {
    let table = table(&[
        ("all", "/orders", &[]),
        ("blend", "/orders/blend/", &[]),
        ("batch", "/orders/batch", &["GET"]),
    ]);
    let found = table.find(method, path).map(|route| route.name.as_str());
    assert_eq!(found, expected);
}

/// Guards against a route with the prefix `/` that matches no path, since its prefix is stored as
/// an empty string.
#[test]
fn find_root() {
    let table = table(&[("root", "/", &[])]);
    assert!(table.find("GET", "/any/path").is_some());
    assert!(table.find("GET", "/").is_some());
}

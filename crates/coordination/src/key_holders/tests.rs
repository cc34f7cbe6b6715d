use std::collections::BTreeSet;

use sycamoreflow_state::endpoint::Endpoint;
use sycamoreflow_state::ids::{Millis, ServiceName};
use sycamoreflow_state::view::KeyHolders;

use super::{EndpointIndex, HolderMonitor, REPLACE_AFTER, REPLACE_INTERVAL};

fn endpoint(daemon: &str, service: &str, data_centre: &str) -> Endpoint {
    Endpoint {
        daemon: daemon.into(),
        service: service.into(),
        version: "v1".into(),
        data_centre: data_centre.into(),
        address: "127.0.0.1:1".parse().expect("valid address"),
        slots: 6,
        draining: false,
        drained_by_operator: false,
    }
}

fn mesh() -> Vec<Endpoint> {
    vec![
        endpoint("a1", "orders", "a"),
        endpoint("a2", "orders", "a"),
        endpoint("b1", "orders", "b"),
        endpoint("c1", "orders", "c"),
        endpoint("c2", "catalogue", "c"),
    ]
}

fn names(group: &KeyHolders) -> BTreeSet<&str> {
    let names = group.daemons.iter().map(|holder| holder.daemon.as_str());
    names.collect()
}

fn orders() -> ServiceName {
    "orders".into()
}

/// Guards against a group whose holders all fail with a single data centre.
#[test]
fn next_group_first() {
    let mesh = mesh();
    let endpoints = EndpointIndex::new(&mesh);
    let group = HolderMonitor::default()
        .next_group(Millis(1), &orders(), None, &endpoints)
        .expect("enough endpoints");
    assert_eq!(names(&group), BTreeSet::from(["a1", "b1", "c1"]));
}

/// Guards against a group of fewer than three holders, in which one daemon could form a majority.
#[test]
fn next_group_two_daemons() {
    let mesh = mesh();
    let endpoints = EndpointIndex::new(mesh.iter().take(2));
    let group = HolderMonitor::default().next_group(Millis(1), &orders(), None, &endpoints);
    assert_eq!(group, None);
}

/// Guards against the replacement of two holders at once, which could lose the only copies of
/// records.
#[test]
fn next_group_two_lost() {
    let mesh = mesh();
    let endpoints = EndpointIndex::new(&mesh);
    let mut monitor = HolderMonitor::default();
    let first = monitor
        .next_group(Millis(1), &orders(), None, &endpoints)
        .expect("enough endpoints");
    let remaining = EndpointIndex::new(
        mesh.iter()
            .filter(|e| !["a1", "b1"].contains(&e.daemon.as_str())),
    );
    let mut next = |at: Millis, current: &KeyHolders| {
        monitor.next_group(at, &orders(), Some(current), &remaining)
    };
    assert_eq!(next(Millis(1_000), &first), None);
    let lost_at = Millis(1_000).after(REPLACE_AFTER);
    let second = next(lost_at, &first).expect("one replacement");
    assert_eq!(second.epoch, first.epoch + 1);
    assert_eq!(names(&second).intersection(&names(&first)).count(), 2);
    assert_eq!(next(lost_at.after(Millis(1)), &second), None);
    let third = next(lost_at.after(REPLACE_INTERVAL), &second).expect("the other replacement");
    assert_eq!(names(&third), BTreeSet::from(["a2", "c1", "c2"]));
}

/// Guards against the replacement of a holder that is only absent during a restart.
#[test]
fn next_group_short_absence() {
    let mesh = mesh();
    let endpoints = EndpointIndex::new(&mesh);
    let mut monitor = HolderMonitor::default();
    let first = monitor
        .next_group(Millis(1), &orders(), None, &endpoints)
        .expect("enough endpoints");
    let remaining = EndpointIndex::new(mesh.iter().filter(|e| e.daemon.as_str() != "a1"));
    let half = Millis(REPLACE_AFTER.0 / 2);
    assert_eq!(
        monitor.next_group(Millis(1), &orders(), Some(&first), &remaining),
        None
    );
    assert_eq!(
        monitor.next_group(half, &orders(), Some(&first), &endpoints),
        None
    );
    let late = REPLACE_AFTER.after(Millis(2));
    assert_eq!(
        monitor.next_group(late, &orders(), Some(&first), &remaining),
        None
    );
}

use rstest::rstest;
use sycamoreflow_state::config::Share;
use sycamoreflow_state::endpoint::{Departure, Endpoint};
use sycamoreflow_state::ids::{DaemonId, EndpointVersion, Millis, ServiceName};

use super::{LEASE_DURATION, Leases};
use crate::machine::drains::DrainOrders;
use crate::machine::{Command, ControlState};

fn endpoint(daemon: &str) -> Endpoint {
    Endpoint {
        daemon: daemon.into(),
        service: "orders".into(),
        version: "v1".into(),
        data_centre: "sfax-a".into(),
        address: "127.0.0.1:1".parse().expect("valid address"),
        slots: 9,
        draining: false,
        drained_by_operator: false,
    }
}

/// Returns the orders to drain these daemons.
fn drain_orders<'a>(daemons: impl IntoIterator<Item = &'a DaemonId>) -> DrainOrders {
    let mut state = ControlState::default();
    for (index, daemon) in daemons.into_iter().enumerate() {
        let order = Command::Drain {
            daemon: daemon.clone(),
            draining: true,
        };
        state.apply(index as u64 + 1, &order);
    }
    state.drains().clone()
}

fn renew(leases: &mut Leases, now: u64, daemon: &str) -> bool {
    leases.renew(Millis(now), &DaemonId::from(daemon), &[endpoint(daemon)])
}

fn half(_: &ServiceName) -> Share {
    Share::percent(50)
}

fn none(_: &ServiceName) -> Share {
    Share::NONE
}

/// Ticks every 500 ms, so that no gap is taken for a pause of the leader, and returns the number of
/// removed endpoints.
fn tick_until(
    leases: &mut Leases,
    from: u64,
    to: u64,
    minimum: fn(&ServiceName) -> Share,
) -> usize {
    let ticks = (from..=to).step_by(500);
    ticks
        .map(|at| leases.tick(Millis(at), minimum).removed.len())
        .sum()
}

/// Guards against a version that increases without a change, which would cost every proxy an
/// update.
#[test]
fn renew_unchanged() {
    let mut leases = Leases::default();
    assert!(renew(&mut leases, 0, "a"));
    let version = leases.version();
    assert!(!renew(&mut leases, 1_000, "a"));
    assert_eq!(leases.version(), version);
}

/// Guards against endpoints of failed daemons that stay in the table after their lease has expired.
#[test]
fn tick_expired_lease() {
    let mut leases = Leases::default();
    renew(&mut leases, 0, "a");
    assert_eq!(tick_until(&mut leases, 0, LEASE_DURATION.0 - 500, none), 0);
    assert_eq!(
        tick_until(&mut leases, LEASE_DURATION.0, LEASE_DURATION.0 + 500, none),
        1
    );
    assert_eq!(leases.endpoints().count(), 0);
}

/// Guards against a mass expiry that removes more endpoints of a service than its minimum allows.
#[rstest]
#[case::half_of_nine(9, half as fn(&ServiceName) -> Share, 5)]
#[case::half_of_two(2, half, 1)]
#[case::no_minimum(9, none, 0)]
fn tick_mass_expiry(
    #[case] count: usize,
    #[case] minimum: fn(&ServiceName) -> Share,
    #[case] kept: usize,
) {
    let mut leases = Leases::default();
    for i in 0..count {
        renew(&mut leases, 0, &format!("d{i}"));
    }
    tick_until(&mut leases, 0, 5 * LEASE_DURATION.0, minimum);
    assert_eq!(leases.endpoints().count(), kept);
}

/// Guards against expiries that are caused by a pause of the leader.
#[test]
fn tick_after_pause() {
    let mut leases = Leases::default();
    leases.tick(Millis(0), none);
    renew(&mut leases, 0, "a");
    let expiries = leases.tick(Millis(10 * LEASE_DURATION.0), none);
    assert!(expiries.removed.is_empty());
    assert_eq!(leases.endpoints().count(), 1);
}

/// Guards against a drain mark that is cleared by a renewal sent before the drain.
#[test]
fn drain_then_renew() {
    let mut leases = Leases::default();
    renew(&mut leases, 0, "a");
    assert!(leases.set_draining(&DaemonId::from("a"), true));
    renew(&mut leases, 100, "a");
    assert!(leases.endpoints().all(|endpoint| endpoint.draining));
    leases.renew(Millis(200), &DaemonId::from("a"), &[]);
    renew(&mut leases, 300, "a");
    assert!(leases.endpoints().all(|endpoint| !endpoint.draining));
}

/// Guards against a new leader whose versions are lower than those of the former leader.
#[test]
fn take_over_later_term() {
    let mut leases = Leases::default();
    leases.take_over(Millis(0), 3, [], &DrainOrders::default());
    for i in 0..50 {
        renew(&mut leases, i, &format!("d{i}"));
    }
    let old = leases.version();
    let copy: Vec<Endpoint> = leases.endpoints().cloned().collect();
    let mut next = Leases::default();
    next.take_over(Millis(0), 4, copy, &DrainOrders::default());
    assert!(next.version() > old);
    assert_eq!(next.version(), EndpointVersion { term: 4, seq: 1 });
    assert_eq!(next.endpoints().count(), 50);
}

/// Scenario: a leader is lost while an endpoint drains, and the daemon of the endpoint then announces
/// it as in use.
///
/// Guards against an endpoint that stays out of use because its daemon was being restarted when the
/// leader was lost, and against an order of an operator that is lost with the leader.
#[rstest]
#[case::daemon_restarted(false)]
#[case::ordered(true)]
fn take_over_draining(#[case] ordered: bool) {
    let daemon = DaemonId::from("a");
    let mut leases = Leases::default();
    let leaving = Endpoint {
        draining: !ordered,
        ..endpoint("a")
    };
    leases.renew(Millis(0), &daemon, &[leaving]);
    if ordered {
        leases.set_draining(&daemon, true);
    }
    let copy: Vec<Endpoint> = leases.endpoints().cloned().collect();
    let mut next = Leases::default();
    let drains = drain_orders(ordered.then_some(&daemon));
    next.take_over(Millis(0), 4, copy, &drains);
    assert!(next.endpoints().all(|endpoint| endpoint.draining));
    next.renew(Millis(10), &daemon, &[endpoint("a")]);
    assert!(
        next.endpoints()
            .all(|endpoint| endpoint.draining == ordered)
    );
}

/// Guards against an order that the copy of the endpoint table does not have yet, and against one
/// that it still has although it was withdrawn.
#[rstest]
#[case::ordered(true)]
#[case::withdrawn(false)]
fn take_over_outdated_copy(#[case] ordered: bool) {
    let daemon = DaemonId::from("a");
    let outdated = Endpoint {
        draining: !ordered,
        drained_by_operator: !ordered,
        ..endpoint("a")
    };
    let drains = drain_orders(ordered.then_some(&daemon));
    let mut leases = Leases::default();
    leases.take_over(Millis(0), 4, [outdated], &drains);
    assert_eq!(leases.is_drained(&daemon), ordered);
    let mut endpoints = leases.endpoints();
    assert!(endpoints.all(|e| e.draining == ordered && e.drained_by_operator == ordered));
}

/// Guards against one invalid entry that reaches all daemons, or that removes the entries beside
/// it, and against a daemon that is not believed again after it has reported one.
#[test]
fn renew_invalid_entry() {
    let mut leases = Leases::default();
    let daemon = DaemonId::from("a");
    let valid = endpoint("a");
    let mut odd = endpoint("a");
    odd.service = "catalogue".into();
    odd.address.set_port(0);
    assert!(leases.renew(Millis(0), &daemon, &[odd.clone(), valid.clone()]));
    assert!(leases.endpoints().eq([&valid]));
    odd.address.set_port(7);
    assert!(leases.renew(Millis(10), &daemon, &[odd.clone(), valid.clone()]));
    assert_eq!(leases.endpoints().count(), 2);
    odd.slots = 0;
    assert!(leases.renew(Millis(20), &daemon, &[odd, valid.clone()]));
    assert!(leases.endpoints().eq([&valid]));
}

/// Guards against a copy with an invalid entry from a replica that did not check it.
#[test]
fn take_over_invalid_entry() {
    let mut leases = Leases::default();
    let mut odd = endpoint("b");
    odd.version = "v".repeat(2_000_000).into();
    leases.take_over(Millis(0), 3, [endpoint("a"), odd], &DrainOrders::default());
    assert!(leases.endpoints().eq([&endpoint("a")]));
}

/// Guards against departures that are lost with a change of leader, that stay for ever, or whose
/// changes no proxy receives.
#[test]
fn depart_take_over() {
    let daemon = DaemonId::from("a");
    let departure = Departure {
        instance: "i-1".to_owned(),
        started_at: 1_000,
        is_final: true,
    };
    let mut leases = Leases::default();
    let version = leases.version();
    assert!(leases.depart(Millis(0), &daemon, &departure));
    assert!(leases.version() > version);
    assert!(!leases.depart(Millis(10), &daemon, &departure));

    let mut next = Leases::default();
    next.take_over(Millis(20_000), 4, [], &DrainOrders::default());
    assert!(!next.has_departure(&daemon, &departure));
    next.depart(Millis(20_000), &daemon, &departure);
    assert!(next.has_departure(&daemon, &departure));
    let known: Vec<_> = next.departures().collect();
    assert_eq!(known, [(&daemon, vec![departure])]);

    let version = next.version();
    tick_until(&mut next, 20_000, 80_000, none);
    assert_eq!(next.departures().count(), 0);
    assert!(next.version() > version);
}

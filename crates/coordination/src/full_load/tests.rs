use std::collections::BTreeSet;

use rstest::rstest;

use super::*;

/// Guards against endpoints that are never tested, or whose load differs from the one that they
/// will have later.
#[rstest]
#[case::one(1)]
#[case::two(2)]
#[case::three(3)]
#[case::five(5)]
#[case::seven(7)]
#[case::many(23)]
fn rotation_covers_endpoints(#[case] endpoints: usize) {
    let mut tested = BTreeSet::new();
    let mut elapsed = Millis(0);
    while elapsed < duration(endpoints) {
        let active = ActiveEndpoints::at(elapsed, endpoints);
        let ranks: Vec<usize> = (0..endpoints)
            .filter(|rank| active.contains(*rank))
            .collect();
        let per_endpoint =
            proportional_share(endpoints).ratio() * endpoints as f64 / ranks.len() as f64;
        let min_load = 1.0 - 1.0 / f64::from(CONTROL_DIVISOR);
        assert!(per_endpoint <= 1.0 && per_endpoint > min_load - 0.001);
        tested.extend(ranks);
        elapsed = elapsed.after(ROTATION_INTERVAL);
    }
    assert_eq!(tested.len(), endpoints);
}

/// Guards against missing faults under load because traffic is low during the test: the tested
/// endpoints must receive as much as their slots permit, but no more when traffic is high, and
/// never all traffic.
#[rstest]
#[case::busy(27.0, 333_333)]
#[case::usual(18.0, 450_000)]
#[case::quiet(10.0, 810_000)]
#[case::very_quiet(1.0, 875_000)]
#[case::idle(0.0, 875_000)]
fn loaded_share_by_traffic(#[case] in_progress: f64, #[case] expected: u32) {
    let share = loaded_share(3, 27, in_progress);
    // Shares are rounded down to parts per million.
    assert!(share.0.abs_diff(expected) <= 1, "{share:?}");
}

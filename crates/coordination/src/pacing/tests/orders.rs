//! Short rollouts that an operator orders, simulated with a [model] of the mesh.

use rstest::rstest;
use sycamoreflow_state::config::Share;
use sycamoreflow_state::ids::Millis;

use model::{Case, GOOD, Outcome, RolloutModel, SHORT_TIMEOUT};

mod model;

/// Simulated rollouts per case.
const SEEDS: u64 = 40;

/// Simulates a case with each seed. Asserts that no version, good or bad, exceeds its permitted
/// share of the calls before it has passed its test.
fn run_all(case: &Case) -> Vec<Outcome> {
    let run = |seed| RolloutModel::new(case, seed).run();
    let outcomes: Vec<Outcome> = (0..SEEDS).map(run).collect();
    let over = outcomes
        .iter()
        .filter(|o| o.is_over_limit_before_pass)
        .count();
    assert_eq!(over, 0, "rollouts that exceeded their share");
    outcomes
}

/// Guards against the incident EXPOSURE: a version that answers slowly advances because its answers
/// are successful, keeps its share when its time has expired, or is not detected because upstreams
/// of the stable version are slow too.
#[rstest]
#[case::slow(Case { bad: 0.5, factor: 8.0, ..GOOD })]
#[case::slow_among_slow(Case { bad: 0.5, factor: 8.0, slow_upstreams: 1, ..GOOD })]
#[case::slow_among_mostly_slow(Case { bad: 0.5, factor: 8.0, slow_upstreams: 2, ..GOOD })]
#[case::four_times(Case { bad: 0.5, factor: 4.0, ..GOOD })]
#[case::four_times_among_slow(Case { bad: 0.5, factor: 4.0, slow_upstreams: 1, ..GOOD })]
#[case::third_four_times(Case { bad: 0.33, factor: 4.0, ..GOOD })]
#[case::half_three_times(Case { bad: 0.5, factor: 3.0, ..GOOD })]
#[case::half_three_times_among_slow(Case { bad: 0.5, factor: 3.0, slow_upstreams: 1, ..GOOD })]
#[case::all_three_times(Case { bad: 1.0, factor: 3.0, ..GOOD })]
#[case::four_times_on_many_routes(Case { bad: 0.5, factor: 4.0, routes: 40, ..GOOD })]
#[case::slow_under_load(Case { bad: 0.5, factor: 8.0, bad_from: Share::percent(50), ..GOOD })]
#[case::fails_under_load(Case { bad: 0.3, factor: 0.0, bad_from: Share::percent(50), ..GOOD })]
#[case::fails(Case { bad: 0.3, factor: 0.0, ..GOOD })]
#[case::fails_among_slow(Case { bad: 0.3, factor: 0.0, slow_upstreams: 1, ..GOOD })]
#[case::few_fail_of_many_calls(Case { bad: 0.07, factor: 0.0, rate: 600.0, ..GOOD })]
#[case::half_three_times_timeouts(Case { bad: 0.5, factor: 3.0, ..SHORT_TIMEOUT })]
#[case::half_three_times_timeouts_among_slow(Case { bad: 0.5, factor: 3.0, slow_upstreams: 1, ..SHORT_TIMEOUT })]
#[case::half_four_times_timeouts_among_slow(Case { bad: 0.5, factor: 4.0, slow_upstreams: 1, ..SHORT_TIMEOUT })]
#[case::half_three_times_timeouts_disturbed(Case { bad: 0.5, factor: 3.0, slow_upstreams: 1, disturbed: true, ..SHORT_TIMEOUT })]
fn order_bad_version(#[case] case: Case) {
    let outcomes = run_all(&case);
    let exposed = outcomes.iter().filter(|o| o.is_exposed()).count();
    let not_rolled_back = outcomes
        .iter()
        .filter(|o| !Outcome::is_in_time(o.rolled_back_at))
        .count();
    println!("{exposed} exposed, {not_rolled_back} not taken back in time, of {SEEDS}");
    assert_eq!(
        (exposed, not_rolled_back),
        (0, 0),
        "exposed, not taken back in time"
    );
}

/// Guards against good versions that miss their finish time because a few calls of one route, or
/// slow upstreams, are taken as evidence against them.
#[rstest]
#[case::plain(GOOD)]
#[case::failing_route(Case { failing_route: true, ..GOOD })]
#[case::many_routes(Case { routes: 40, ..GOOD })]
#[case::slow_upstream(Case { slow_upstreams: 1, ..GOOD })]
#[case::slow_candidate(Case { slow_candidates: 1, ..GOOD })]
#[case::few_calls(Case { rate: 80.0, ..GOOD })]
#[case::few_calls_slow_upstream(Case { rate: 80.0, slow_upstreams: 1, ..GOOD })]
#[case::many_calls(Case { rate: 600.0, ..GOOD })]
#[case::many_calls_slow_candidate(Case { rate: 600.0, slow_candidates: 1, ..GOOD })]
#[case::timeouts(SHORT_TIMEOUT)]
#[case::timeouts_slow_upstream(Case { slow_upstreams: 1, ..SHORT_TIMEOUT })]
#[case::timeouts_disturbed(Case { slow_upstreams: 1, disturbed: true, ..SHORT_TIMEOUT })]
fn order_good_version(#[case] case: Case) {
    let outcomes = run_all(&case);
    let missed = outcomes
        .iter()
        .filter(|o| !Outcome::is_in_time(o.completed_at))
        .count();
    println!("{missed} of {SEEDS} missed their time");
    assert_eq!(missed, 0);
}

const UNDER_LOAD: Case = Case {
    bad: 0.45,
    factor: 0.0,
    bad_load: 6,
    ..GOOD
};

/// Guards against the second occurrence of the incident EXPOSURE: a version that is bad only under
/// the full load of its endpoints, with and without further disturbances, receives more calls than
/// a bad version may before it is detected, or is completed.
#[rstest]
#[case::plain(UNDER_LOAD)]
#[case::few_calls(Case { rate: 90.0, bad_load: 4, ..UNDER_LOAD })]
#[case::many_calls(Case { rate: 190.0, bad_load: 9, ..UNDER_LOAD })]
#[case::disturbed(Case { disturbed: true, ..UNDER_LOAD })]
#[case::disturbed_among_slow(Case { disturbed: true, slow_upstreams: 1, ..UNDER_LOAD })]
#[case::high_threshold(Case { bad_load: 9, ..UNDER_LOAD })]
#[case::disturbed_high_threshold(Case { disturbed: true, bad_load: 10, ..UNDER_LOAD })]
#[case::few_calls_high_threshold(Case { rate: 90.0, bad_load: 6, ..UNDER_LOAD })]
#[case::few_calls_high_threshold_disturbed(Case { rate: 90.0, bad_load: 6, disturbed: true, ..UNDER_LOAD })]
#[case::third_of_the_calls_high_threshold(Case { rate: 45.0, bad_load: 5, ..UNDER_LOAD })]
#[case::disturbed_slow(Case { factor: 8.0, disturbed: true, ..UNDER_LOAD })]
#[case::leader_lost(Case { new_leader: Some(Millis(13_600)), disturbed: true, ..UNDER_LOAD })]
fn order_bad_under_load(#[case] case: Case) {
    let outcomes = run_all(&case);
    let exposed = outcomes.iter().filter(|o| o.is_exposed()).count();
    let completed = outcomes.iter().filter(|o| o.completed_at.is_some()).count();
    println!("{exposed} exposed, {completed} completed, of {SEEDS}");
    assert_eq!((exposed, completed), (0, 0), "exposed, completed");
}

/// Guards against the cause of the second occurrence: without an account of the calls that a
/// version receives before it is completed, its limit holds only if a fault is detected in time.
/// The limit must hold at every moment, for good versions too.
#[rstest]
#[case::good(GOOD)]
#[case::good_disturbed(Case { disturbed: true, ..GOOD })]
#[case::good_few_calls(Case { rate: 40.0, ..GOOD })]
#[case::under_load(UNDER_LOAD)]
#[case::under_load_disturbed(Case { disturbed: true, ..UNDER_LOAD })]
#[case::leader_lost(Case { new_leader: Some(Millis(13_600)), disturbed: true, ..UNDER_LOAD })]
#[case::leader_lost_late(Case { new_leader: Some(Millis(15_600)), ..UNDER_LOAD })]
#[case::restart_in_test(Case { disturbed: true, restart: Millis(12_800), ..UNDER_LOAD })]
#[case::restart_late_in_test(Case { disturbed: true, restart: Millis(14_000), ..UNDER_LOAD })]
#[case::good_restart_in_test(Case { disturbed: true, restart: Millis(13_600), ..GOOD })]
fn order_account_holds(#[case] case: Case) {
    let outcomes = run_all(&case);
    let over = outcomes
        .iter()
        .filter(|o| o.over_limit_at.is_some())
        .count();
    println!("{over} of {SEEDS} exceeded their share");
    assert_eq!(over, 0);
}

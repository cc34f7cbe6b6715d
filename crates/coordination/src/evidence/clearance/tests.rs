use rstest::rstest;

use super::*;

fn batch(candidate: [u64; 2], stable: [u64; 2]) -> Batch {
    Batch {
        candidate_calls: candidate[0],
        candidate_bad: candidate[1],
        stable_calls: stable[0],
        stable_bad: stable[1],
    }
}

/// Guards against odds that hold a good version back, or let a faulty one on, also when both
/// versions fail alike.
#[rstest]
#[case::good([80, 2], [1_500, 30], false)]
#[case::fifth_fails([80, 16], [1_500, 30], true)]
#[case::both_fail([80, 24], [1_500, 450], false)]
#[case::faulty_among_failures([80, 40], [1_500, 450], true)]
fn log_odds_failures(
    #[case] candidate: [u64; 2],
    #[case] stable: [u64; 2],
    #[case] is_positive: bool,
) {
    let mut clearance = Clearance::default();
    clearance.add(&batch(candidate, stable), &Batch::default());
    assert_eq!(clearance.log_odds() > 0.0, is_positive);
}

/// Guards against a fault that shows only at a larger share and is outweighed by the good calls
/// before it.
#[test]
fn log_odds_of_step() {
    let mut clearance = Clearance::default();
    clearance.add(&batch([400, 8], [1_500, 30]), &Batch::default());
    assert!(clearance.log_odds() <= 0.0);
    clearance.enter_step();
    clearance.add(&batch([40, 12], [40, 1]), &Batch::default());
    assert!(clearance.log_odds() > 0.0);
}

/// Guards against a verdict without calls.
#[test]
fn log_odds_no_calls() {
    assert_eq!(Clearance::default().log_odds(), 0.0);
}

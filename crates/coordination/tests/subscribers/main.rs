//! Control replicas, witnesses and subscribers on a virtual clock, checked against one ordered
//! history of accepted versions. The replicated log is a committed list that every replica applies
//! with its own delay, since the log is tested in `crates/coordination/src/raft/tests`.

mod content;
mod events;
mod oracle;
mod replica;
mod subscriber;
mod witnesses;
mod world;

use proptest::prelude::*;
use rstest::rstest;

use oracle::Counts;
use world::{Fault, World};

/// Steps with faults in one case. Each step takes 50 ms of virtual time (20 s).
const STEPS: usize = 400;

/// Proves that the oracle notices each deliberate fault.
#[rstest]
#[case::unconfirmed_join(Fault::UnconfirmedJoin, " after ")]
#[case::stale_update_accepted(Fault::StaleUpdateAccepted, " after ")]
#[case::witness_answers_zero(Fault::WitnessAnswersZero, " after ")]
#[case::unstaged_activation(Fault::UnstagedActivation, " after ")]
#[case::term_not_raised(Fault::TermNotRaised, "two contents")]
#[case::missing_resource(Fault::MissingResource, "without a resource")]
fn oracle_detects_fault(#[case] fault: Fault, #[case] expected: &str) {
    let found = (0..600).find(|seed| {
        let violation = World::new(*seed, fault).run_with_faults(STEPS).violation;
        violation.is_some_and(|violation| violation.contains(expected))
    });
    assert!(found.is_some(), "the oracle does not notice {fault:?}");
}

/// Guards against a world in which the faults do not happen, so that the checks check nothing.
#[test]
fn world_covers_cases() {
    let mut total = Counts::default();
    for seed in 0..60 {
        let end = World::new(seed, Fault::None).run(STEPS);
        assert_eq!(end.violation, None, "seed {seed}");
        total.add(&end.counts);
    }
    assert!(total.enforced > 2_000, "{total:?}");
    assert!(total.leaders > 200, "{total:?}");
    assert!(total.restarts > 300, "{total:?}");
    assert!(total.witness_starts > 40, "{total:?}");
    assert!(total.unconfirmed_refused > 2_000, "{total:?}");
    assert!(total.stale_rejected > 8, "{total:?}");
    assert!(total.below_floor > 60, "{total:?}");
    assert!(total.unwitnessed > 8, "{total:?}");
    assert!(total.drains > 50, "{total:?}");
    assert!(total.expiries > 10, "{total:?}");
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(200))]

    /// Guards against lower or unknown configurations in force, views that differ from the
    /// accepted state, and subscribers that do not converge after the faults.
    #[test]
    fn subscribers_follow_history(seed: u64) {
        prop_assert_eq!(World::new(seed, Fault::None).run(STEPS).violation, None);
    }
}

//! Simulates control replicas, witnesses and subscribers on a virtual clock, with fault injection,
//! and checks them against the ordered history of accepted versions. A list of committed commands,
//! which each replica applies with its own delay, replaces the replicated log; the log itself is
//! tested in `crates/coordination/src/raft/tests`.

mod content;
mod events;
mod oracle;
mod replica;
mod simulation;
mod subscriber;
mod witnesses;

use proptest::prelude::*;
use rstest::rstest;

use oracle::Counts;
use simulation::{Fault, Simulation};

/// Steps with faults in a test case. Each step takes 50 ms of virtual time, 20 s in total.
const STEPS: usize = 400;

/// Guards against an oracle that does not detect one of the injected faults.
#[rstest]
#[case::unconfirmed_join(Fault::UnconfirmedJoin, " after ")]
#[case::stale_update_accepted(Fault::StaleUpdateAccepted, " after ")]
#[case::witness_answers_zero(Fault::WitnessAnswersZero, " after ")]
#[case::unstaged_activation(Fault::UnstagedActivation, " after ")]
#[case::term_not_raised(Fault::TermNotRaised, "two contents")]
#[case::missing_resource(Fault::MissingResource, "without a resource")]
fn oracle_detects_fault(#[case] fault: Fault, #[case] expected: &str) {
    let found = (0..600).find(|seed| {
        let violation = Simulation::new(*seed, fault)
            .run_with_faults(STEPS)
            .violation;
        violation.is_some_and(|violation| violation.contains(expected))
    });
    assert!(found.is_some(), "the oracle does not detect {fault:?}");
}

/// Guards against a simulation in which the faults do not occur, so that the other tests pass
/// without exercising them.
#[test]
fn simulation_covers_cases() {
    let mut total = Counts::default();
    for seed in 0..60 {
        let end = Simulation::new(seed, Fault::None).run(STEPS);
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

    /// Guards against subscribers that enforce a lower or unknown configuration version or a view
    /// that differs from the accepted state, or that do not converge after the faults stop.
    #[test]
    fn subscribers_follow_history(seed: u64) {
        prop_assert_eq!(Simulation::new(seed, Fault::None).run(STEPS).violation, None);
    }
}

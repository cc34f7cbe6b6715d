//! Requests through simulated daemons and upstreams, with crashes, lost answers, resends through
//! other daemons, restarts of daemons and drains, checked against an oracle.

mod entry;
mod oracle;
mod owner;
mod simulation;

use proptest::prelude::*;
use rstest::rstest;

use simulation::{Fault, Simulation};

const STEPS: usize = 600;

/// Checks that the oracle detects each injected fault.
#[rstest]
#[case::retry_after_may_have_run(Fault::RetryAfterMayHaveRun)]
#[case::claim_at_one_holder(Fault::ClaimAtOneHolder)]
#[case::restarted_holder_grants(Fault::RestartedHolderGrants)]
#[case::latest_verdict_only(Fault::LatestVerdictOnly)]
#[case::swapped_answers(Fault::SwappedAnswers)]
fn oracle_detects_fault(#[case] fault: Fault) {
    let found = (0..20_000).find_map(|seed| Simulation::new(seed, fault).run(STEPS).violation);
    assert!(found.is_some(), "the oracle does not detect {fault:?}");
}

/// Guards against a simulation that rarely or never reaches the cases that the oracle checks.
#[test]
fn simulation_covers_cases() {
    let mut total = oracle::Counts::default();
    for seed in 0..300 {
        let end = Simulation::new(seed, Fault::None).run(STEPS);
        assert_eq!(end.violation, None, "seed {seed}");
        total.add(&end.counts);
    }
    assert!(total.answered > 1_000, "{total:?}");
    assert!(total.not_run > 60, "{total:?}");
    assert!(total.may_have_run > 300, "{total:?}");
    assert!(total.earlier_answers > 50, "{total:?}");
    assert!(total.crashing_refused > 8, "{total:?}");
    assert!(total.retries > 300, "{total:?}");
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(1_500))]

    /// Guards against false verdicts, repeated runs of non-idempotent requests, and answers that
    /// belong to another request.
    #[test]
    fn verdicts_hold(seed: u64) {
        prop_assert_eq!(Simulation::new(seed, Fault::None).run(STEPS).violation, None);
    }
}

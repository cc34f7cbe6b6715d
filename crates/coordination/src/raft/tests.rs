#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

mod clients;
mod damage;
mod disk;
mod events;
mod faults;
mod full_disks;
mod oracle;
mod scenarios;
mod sim;
mod steps;

use proptest::prelude::*;

use events::{events, run_events};
use sim::Sim;

proptest! {
    /// Random faults in a group of three. Guards against lost or reordered entries, two leaders in
    /// a term, two approvals on the same base, changed outcomes, stale reads and a group that does
    /// not recover.
    #[test]
    fn step_any_faults_three(seed in any::<u64>(), list in events(60)) {
        let mut sim = Sim::bootstrapped(3, seed, None);
        prop_assert_eq!(run_events(&mut sim, &list), Ok(()));
    }

    /// As above, in a group of five, which tolerates the failure of two hosts.
    #[test]
    fn step_any_faults_five(seed in any::<u64>(), list in events(60)) {
        let mut sim = Sim::bootstrapped(5, seed, None);
        prop_assert_eq!(run_events(&mut sim, &list), Ok(()));
    }

    /// As above, in a group of five whose members are removed and re-admitted while other faults
    /// occur.
    #[test]
    fn step_any_faults_and_removals(seed in any::<u64>(), list in events(60)) {
        let mut sim = Sim::bootstrapped(5, seed, None);
        sim.remove_members = true;
        prop_assert_eq!(run_events(&mut sim, &list), Ok(()));
    }
}

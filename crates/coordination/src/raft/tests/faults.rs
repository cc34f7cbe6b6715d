//! Verifies that the checks detect violations: each scenario passes with the correct algorithm and
//! fails with one injected fault.

use proptest::prelude::*;
use proptest::strategy::ValueTree;
use proptest::test_runner::{RngSeed, TestRunner};
use rstest::rstest;

use super::events::{check_recovery, events, run_events};
use super::sim::Sim;
use crate::raft::faults::Fault;

type CheckResult = Result<(), String>;

fn others(sim: &Sim, of: usize) -> Vec<usize> {
    (0..sim.nodes.len()).filter(|index| *index != of).collect()
}

/// Two hosts lose power right after an approval, before their slow disks have synced it.
fn power_loss(fault: Option<Fault>) -> CheckResult {
    let mut sim = Sim::bootstrapped(3, 1, fault);
    let leader = sim.leader().unwrap();
    let rest = others(&sim, leader);
    sim.isolate(rest[1]);
    sim.max_sync_ms = 1000;
    sim.approve(leader);
    sim.run(30);
    sim.crash(leader, 0);
    sim.crash(rest[0], 0);
    check_recovery(&mut sim)
}

/// A disk with acknowledged entries is replaced while the only other copy is unreachable.
fn replaced_disk(fault: Option<Fault>) -> CheckResult {
    let mut sim = Sim::bootstrapped(3, 2, fault);
    let leader = sim.leader().unwrap();
    let rest = others(&sim, leader);
    sim.isolate(rest[1]);
    let request = sim.approve(leader);
    sim.run_until(1000, |sim| sim.requests[request].done);
    sim.blocked_links.clear();
    sim.clear_network();
    sim.isolate(leader);
    assert!(sim.replace_disk(rest[0]));
    sim.run(5000);
    check_recovery(&mut sim)
}

/// An entry of an older term is replicated to a majority by a later leader and then overwritten.
fn overwritten_entry(fault: Option<Fault>) -> CheckResult {
    let mut sim = Sim::bootstrapped(5, 3, fault);
    sim.run(1000);
    sim.resend = false;
    let first = sim.leader().unwrap();
    let rest = others(&sim, first);
    let second = rest[0];
    for index in &rest[1..] {
        sim.isolate(*index);
    }
    let entry = sim.nodes[first].machine.applied() + 1;
    sim.approve(first);
    sim.run(200);
    sim.crash(first, 99);
    sim.crash(second, 99);
    sim.blocked_links.clear();
    sim.run_until(9000, |sim| sim.leader().is_some());
    let competing_leader = sim.leader().unwrap();
    sim.clear_network();
    sim.isolate(competing_leader);
    sim.run(100);
    sim.crash(competing_leader, 0);
    sim.last_sent = Some(entry);
    sim.blocked_links.clear();
    sim.isolate(competing_leader);
    sim.start(first);
    sim.start(second);
    sim.run_until(9000, |sim| sim.leader().is_some());
    sim.run(500);
    sim.crash(first, 99);
    sim.crash(second, 99);
    sim.clear_network();
    sim.last_sent = None;
    sim.blocked_links.clear();
    sim.start(competing_leader);
    sim.run_until(9000, |sim| sim.leader().is_some());
    sim.run(1000);
    sim.resend = true;
    check_recovery(&mut sim)
}

/// A read reaches a leader that was paused while another leader was elected.
fn paused_leader(fault: Option<Fault>) -> CheckResult {
    let mut sim = Sim::bootstrapped(3, 4, fault);
    let old = sim.leader().unwrap();
    sim.pause(old, 60_000);
    sim.run_until(9000, |sim| sim.leader().is_some_and(|leader| leader != old));
    let request = sim.approve(sim.leader().unwrap());
    sim.run_until(3000, |sim| sim.requests[request].done);
    sim.pause(old, 0);
    sim.read(old);
    check_recovery(&mut sim)
}

/// Number of runs with random events. Many are needed, because split votes are rare: one of two
/// competing candidates yields.
const RANDOM_RUNS: usize = 400;

/// Random events, as in the property tests.
fn random_events(fault: Option<Fault>) -> CheckResult {
    let config = ProptestConfig {
        rng_seed: RngSeed::Fixed(1),
        ..ProptestConfig::default()
    };
    let mut runner = TestRunner::new(config);
    let strategy = (any::<u64>(), events(60));
    for _ in 0..RANDOM_RUNS {
        let (seed, list) = strategy.new_tree(&mut runner).unwrap().current();
        run_events(&mut Sim::bootstrapped(5, seed, fault), &list)?;
    }
    Ok(())
}

/// Guards against checks that cannot fail, and against the faults that the scenarios provoke.
#[rstest]
#[case::acknowledge_before_sync(Fault::AcknowledgeBeforeSync, power_loss)]
#[case::replaced_disk_votes(Fault::ReplacedDiskVotes, replaced_disk)]
#[case::commit_older_term(Fault::CommitOlderTerm, overwritten_entry)]
#[case::unconfirmed_reads(Fault::UnconfirmedReads, paused_leader)]
#[case::vote_twice(Fault::VoteTwice, random_events)]
fn check_detects_fault(#[case] fault: Fault, #[case] scenario: fn(Option<Fault>) -> CheckResult) {
    assert_eq!(scenario(None), Ok(()));
    let result = scenario(Some(fault));
    assert!(result.is_err(), "{fault:?} was not detected");
}

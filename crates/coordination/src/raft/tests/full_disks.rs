//! Full disks of the voters, one after another, in a group that adjusts its members.

use rand::RngExt;
use rstest::rstest;
use sycamoreflow_state::ids::Millis;

use super::sim::Sim;
use crate::open_group;
use crate::raft::Input;

/// Interval at which the leader adjusts the members.
const ADJUST_MS: u64 = 250;
/// Interval between two changes of an operator while disks are full.
const CHANGE_MS: u64 = 500;
/// Time within which a change must be acknowledged while no disk is full.
const MAX_ACK_MS: u64 = 4_000;
/// Time without full disks after which changes must be acknowledged.
const SETTLE_MS: u64 = 4_000;

/// Runs the simulation while the leader adjusts the members.
pub(super) fn run_and_adjust(sim: &mut Sim, wanted_voters: usize, ms: u64) {
    for _ in 0..ms / ADJUST_MS {
        sim.run(ADJUST_MS);
        let Some(leader) = sim.leader() else {
            continue;
        };
        let Some(raft) = &sim.nodes[leader].raft else {
            continue;
        };
        let (replicas, applicants) = (raft.replicas(), raft.recent_non_members());
        if let Some(change) = open_group::next_change(&replicas, &applicants, wanted_voters) {
            let token = sim.next_token();
            sim.input(leader, Input::ChangeMembers { token, change });
        }
    }
}

/// Returns the next voter whose disk is filled: the leader, or any other one.
fn next_voter(sim: &mut Sim, filled: &[usize], prefers_leader: bool) -> usize {
    let leader = sim.leader().filter(|leader| !filled.contains(leader));
    if let Some(leader) = leader.filter(|_| prefers_leader) {
        return leader;
    }
    let is_unfilled = |index: &usize| !filled.contains(index) && sim.is_voter(&sim.nodes[*index]);
    let voters: Vec<usize> = (0..sim.nodes.len()).filter(is_unfilled).collect();
    voters[sim.rng.random_range(0..voters.len())]
}

/// Guards against a group that refuses changes or leaves them unanswered after the disks of its
/// voters were full in turn, though all of them have room again: a replica whose storage stays
/// closed, a voter that is replaced and not admitted again, or a membership change that never ends.
#[rstest]
#[case::three_voters(3, 0, 3, false)]
#[case::three_voters_leaders_first(3, 0, 3, true)]
#[case::three_voters_and_learners(3, 3, 3, false)]
#[case::five_voters_leaders_first(5, 0, 4, true)]
#[case::five_voters_and_learners(5, 3, 5, false)]
#[case::five_voters_and_learners_leaders_first(5, 3, 5, true)]
fn step_disks_full_in_turn(
    #[case] voters: usize,
    #[case] learners: usize,
    #[case] fills: usize,
    #[case] leader_first: bool,
) {
    for seed in 0..40 {
        let mut sim = Sim::bootstrapped(voters, seed, None);
        for _ in 0..learners {
            sim.add_unadmitted();
        }
        run_and_adjust(&mut sim, voters, 3_000);
        let mut filled = Vec::new();
        for _ in 0..fills {
            let index = next_voter(&mut sim, &filled, leader_first);
            filled.push(index);
            let full_ms = sim.rng.random_range(2_000..=4_000);
            sim.fill_disk(index, full_ms);
            for _ in 0..full_ms.div_ceil(CHANGE_MS) {
                sim.approve(sim.leader().unwrap_or(0));
                run_and_adjust(&mut sim, voters, CHANGE_MS);
            }
        }
        run_and_adjust(&mut sim, voters, SETTLE_MS);
        for _ in 0..10 {
            let Some(leader) = sim.leader() else {
                panic!("seed {seed}: no leader after the disks had room");
            };
            let sent = sim.now;
            let request = sim.approve(leader);
            while !sim.requests[request].done {
                run_and_adjust(&mut sim, voters, ADJUST_MS);
                let waited = sim.now.since(sent);
                assert!(
                    waited <= Millis(MAX_ACK_MS),
                    "seed {seed}: a change was not acknowledged"
                );
            }
        }
        run_and_adjust(&mut sim, voters, SETTLE_MS);
        let open = sim.requests.iter().filter(|request| !request.done).count();
        assert_eq!(open, 0, "seed {seed}: changes without an answer");
        assert_eq!(sim.oracle.violation, None, "seed {seed}");
        let nodes = sim.nodes.iter();
        let voting = nodes.filter(|node| sim.is_voter(node)).count();
        assert!(voting >= voters, "seed {seed}: {voting} voters");
        assert!(
            sim.nodes.iter().all(|node| node.raft.is_some()),
            "seed {seed}: a replica has not reopened its storage"
        );
    }
}

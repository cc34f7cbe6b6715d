//! Random events for the simulation, and the checks after all faults have ended.

use proptest::prelude::*;

use super::oracle::without_repeated_flag;
use super::sim::{LinkFaults, Sim};
use crate::raft::{Input, MemberChange};

#[derive(Clone, Debug)]
pub(super) enum Event {
    Wait(u64),
    /// Two operators send an approval on the same base version to two replicas.
    ConcurrentApprovals(usize, usize),
    /// A request is sent again, even if it was answered.
    Resend(usize, usize),
    Read(usize),
    Crash(usize, usize),
    Start(usize),
    ReplaceDisk(usize),
    Isolate(usize),
    BlockLink(usize, usize),
    UnblockLinks,
    LinkFaults(u32, u32, u64),
    Pause(usize, u64),
    SlowDisks(u64),
    Transfer,
    CrashLeader(usize),
    IsolateLeader,
}

pub(super) fn events(length: usize) -> impl Strategy<Value = Vec<Event>> {
    let node = 0..5usize;
    let event = prop_oneof![
        8 => (10..1500u64).prop_map(Event::Wait),
        3 => (1500..4000u64).prop_map(Event::Wait),
        8 => (node.clone(), node.clone()).prop_map(|(a, b)| Event::ConcurrentApprovals(a, b)),
        2 => (0..100usize, node.clone()).prop_map(|(r, n)| Event::Resend(r, n)),
        6 => node.clone().prop_map(Event::Read),
        2 => (node.clone(), 0..8usize).prop_map(|(n, parts)| Event::Crash(n, parts)),
        6 => node.clone().prop_map(Event::Start),
        2 => node.clone().prop_map(Event::ReplaceDisk),
        2 => node.clone().prop_map(Event::Isolate),
        2 => (node.clone(), node.clone()).prop_map(|(a, b)| Event::BlockLink(a, b)),
        6 => Just(Event::UnblockLinks),
        2 => (0..30u32, 0..30u32, 1..300u64).prop_map(|(d, r, m)| Event::LinkFaults(d, r, m)),
        2 => (node, 100..5000u64).prop_map(|(n, ms)| Event::Pause(n, ms)),
        1 => (1..800u64).prop_map(Event::SlowDisks),
        1 => Just(Event::Transfer),
        2 => (0..8usize).prop_map(Event::CrashLeader),
        1 => Just(Event::IsolateLeader),
    ];
    prop::collection::vec(event, 1..length)
}

pub(super) fn execute(sim: &mut Sim, event: &Event) {
    let size = sim.nodes.len();
    match *event {
        Event::Wait(ms) => sim.run(ms),
        Event::ConcurrentApprovals(a, b) => {
            let base = sim.nodes[a % size].machine.version();
            sim.approve_on(base, a % size);
            sim.approve_on(base, b % size);
        }
        Event::Resend(number, node) if number < sim.requests.len() => {
            sim.submit(number, node % size);
        }
        Event::Resend(..) => {}
        Event::Read(node) => sim.read(node % size),
        Event::Crash(node, parts) => sim.crash(node % size, parts),
        Event::Start(node) => sim.start(node % size),
        Event::ReplaceDisk(node) if sim.remove_members => {
            let id = sim.nodes[node % size].id.clone();
            change_members(sim, MemberChange::Remove { id });
        }
        Event::ReplaceDisk(node) => {
            sim.replace_disk(node % size);
        }
        Event::SlowDisks(ms) => sim.max_sync_ms = ms,
        Event::Isolate(node) => sim.isolate(node % size),
        Event::BlockLink(a, b) => {
            sim.blocked_links.insert((a % size, b % size));
        }
        Event::UnblockLinks => sim.blocked_links.clear(),
        Event::LinkFaults(drop_percent, repeat_percent, max_delay_ms) => {
            sim.link_faults = LinkFaults {
                drop_percent,
                repeat_percent,
                max_delay_ms,
            };
        }
        Event::Pause(node, ms) => sim.pause(node % size, ms),
        Event::Transfer => {
            if let Some(leader) = sim.leader() {
                sim.input(leader, Input::TransferLeadership);
            }
        }
        Event::CrashLeader(parts) => {
            if let Some(leader) = sim.leader() {
                sim.crash(leader, parts);
            }
        }
        Event::IsolateLeader => {
            if let Some(leader) = sim.leader() {
                sim.isolate(leader);
            }
        }
    }
}

fn change_members(sim: &mut Sim, change: MemberChange) {
    let token = sim.next_token();
    if let Some(leader) = sim.leader() {
        sim.input(leader, Input::ChangeMembers { token, change });
    }
}

/// Re-admits removed replicas.
fn add_removed(sim: &mut Sim) {
    for index in 0..sim.nodes.len() {
        let id = sim.nodes[index].id.clone();
        if !sim.oracle.members.members.contains_key(&id) {
            let promote = true;
            change_members(sim, MemberChange::AddLearner { id, promote });
        }
    }
}

/// Ends all faults and checks that the group recovers, that the replicas converge to equal states
/// and that no acknowledged outcome is lost.
pub(super) fn check_recovery(sim: &mut Sim) -> Result<(), String> {
    sim.blocked_links.clear();
    sim.link_faults = LinkFaults::default();
    sim.max_sync_ms = sim.max_sync_ms.min(200);
    for index in 0..sim.nodes.len() {
        sim.start(index);
        sim.pause(index, 0);
    }
    let is_settled = |sim: &Sim| {
        let all_vote = sim.nodes.iter().all(|node| sim.is_voter(node));
        sim.leader().is_some() && all_vote && sim.requests.iter().all(|request| request.done)
    };
    let mut settled = false;
    for _ in 0..30 {
        add_removed(sim);
        if !sim.run_until(1000, is_settled) {
            continue;
        }
        // A pending removal may still be committed.
        sim.run(2000);
        settled = is_settled(sim);
        if settled {
            break;
        }
    }
    if let Some(violation) = &sim.oracle.violation {
        return Err(violation.clone());
    }
    if !settled {
        let states: Vec<_> = sim.nodes.iter().map(|node| node.replica_state()).collect();
        return Err(format!("the group did not recover: {states:?}"));
    }
    check_equal(sim)
}

fn check_equal(sim: &Sim) -> Result<(), String> {
    let state = &sim.nodes[0].machine;
    for node in &sim.nodes {
        if node.machine != *state {
            return Err(format!("{} differs from {}", node.id, sim.nodes[0].id));
        }
    }
    for request in &sim.requests {
        let outcome = state.outcome(&request.id, request.base, &request.answers);
        let acknowledged = sim.oracle.acknowledged().find(|(id, _)| **id == request.id);
        let expected = acknowledged.map(|(_, outcome)| outcome.clone());
        if outcome.map(without_repeated_flag) != expected {
            return Err(format!("{} lost its outcome {expected:?}", request.id));
        }
    }
    Ok(())
}

pub(super) fn run_events(sim: &mut Sim, list: &[Event]) -> Result<(), String> {
    for event in list {
        execute(sim, event);
    }
    check_recovery(sim)
}

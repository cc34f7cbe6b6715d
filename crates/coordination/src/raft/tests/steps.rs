//! Reactions of a single replica to individual messages.

use std::sync::Arc;

use sycamoreflow_state::ids::Millis;

use super::sim::{Sim, node_id};
use crate::raft::message::{AppendResult, Body, LogPosition, Message};
use crate::raft::{
    Entry, GroupId, HardState, Incarnation, Input, LogState, Member, Membership, Output, Payload,
    Raft, ReplicaState, Role,
};

/// Requests the vote of a replica and returns whether it is granted. Asserts that the answer is not
/// sent before the vote is synced.
fn ask_vote(sim: &mut Sim, incarnation: u64, last: LogPosition) -> bool {
    let group = sim.oracle.members.group;
    let raft = sim.nodes[0].raft.as_mut().unwrap();
    let message = Message {
        group,
        incarnation: Incarnation(incarnation),
        to: None,
        term: 100,
        body: Body::Vote { last },
    };
    let from = node_id(1);
    let mut outputs = raft.step(sim.now, Input::Message { from, message });
    let early = outputs
        .iter()
        .any(|output| matches!(output, Output::Send { .. }));
    if let Some(Output::Write(write)) = outputs.first() {
        assert!(!early, "the answer must wait for the sync");
        let seq = write.seq;
        outputs.extend(raft.step(sim.now, Input::Synced { seq }));
    }
    outputs.iter().any(|output| match output {
        Output::Send { message, .. } => message.body == Body::VoteAnswer { granted: true },
        _ => false,
    })
}

/// Guards against the election of a leader that lacks committed entries, and against a second vote
/// in the same term for a candidate that restarted on another disk.
#[test]
fn step_vote_requests() {
    let mut sim = Sim::bootstrapped(3, 14, None);
    sim.run(1000);
    let long = LogPosition {
        term: 50,
        index: 50,
    };
    assert!(!ask_vote(&mut sim, 500, LogPosition::START));
    assert!(!ask_vote(&mut sim, 500, LogPosition { term: 1, index: 99 }));
    assert!(ask_vote(&mut sim, 500, long));
    assert!(ask_vote(&mut sim, 500, long));
    assert!(!ask_vote(&mut sim, 501, long));
}

/// Guards against counting a vote that was sent from a disk that is not a voter.
#[test]
fn step_vote_of_other_disk() {
    let mut sim = Sim::bootstrapped(3, 15, None);
    sim.run(1000);
    let candidate = (sim.leader().unwrap() + 1) % 3;
    let voter = (0..3).find(|index| ![candidate, sim.leader().unwrap()].contains(index));
    let voter = voter.unwrap();
    let group = sim.oracle.members.group;
    let now = sim.now;
    let admitted = sim.nodes[voter].disk.hard_state.incarnation;
    let raft = sim.nodes[candidate].raft.as_mut().unwrap();
    let message = |incarnation, term, body| Message {
        group,
        incarnation,
        to: None,
        term,
        body,
    };
    let from = node_id(voter);
    let message_now = message(admitted, raft.term(), Body::TimeoutNow);
    let from_leader = from.clone();
    raft.step(
        now,
        Input::Message {
            from: from_leader,
            message: message_now,
        },
    );
    assert_eq!(raft.replica_state(), ReplicaState::Candidate);
    raft.step(now, Input::Synced { seq: u64::MAX });
    for (incarnation, expected_state) in [
        (Incarnation(77), ReplicaState::Candidate),
        (admitted, ReplicaState::Leader),
    ] {
        let message = message(incarnation, raft.term(), Body::VoteAnswer { granted: true });
        let from = from.clone();
        raft.step(now, Input::Message { from, message });
        assert_eq!(raft.replica_state(), expected_state);
    }
}

/// Guards against acknowledging entries on disk that an unsynced snapshot has replaced in memory.
/// After a crash the old entries would be back, and the leader would never send their replacements.
#[test]
fn step_heartbeat_before_snapshot_synced() {
    let incarnation = Incarnation(1);
    let group = GroupId(1);
    let role = Role::Voter;
    let mut members = Membership {
        group,
        ..Membership::default()
    };
    for index in 0..3 {
        members
            .members
            .insert(node_id(index), Member { incarnation, role });
    }
    let entry = |index| {
        let payload = Payload::Members(members.clone());
        let term = 1;
        Arc::new(Entry {
            index,
            term,
            payload,
        })
    };
    let log = LogState {
        snapshot: None,
        entries: (1..=5).map(entry).collect(),
    };
    let hard_state = HardState {
        incarnation,
        ..HardState::default()
    };
    let now = Millis(1);
    let mut raft = Raft::new(
        node_id(0),
        (0..3).map(node_id).collect(),
        hard_state,
        log,
        1,
        now,
    );
    let mut send = |body| {
        let message = Message {
            group,
            incarnation,
            to: None,
            term: 3,
            body,
        };
        let from = node_id(1);
        raft.step(now, Input::Message { from, message })
    };
    let last = LogPosition { term: 3, index: 10 };
    send(Body::SnapshotChunk {
        last,
        members: members.clone(),
        total: 0,
        offset: 0,
        data: Vec::new(),
        round: 1,
    });
    let outputs = send(Body::Append {
        prev: last,
        entries: Vec::new(),
        commit: 10,
        round: 2,
    });
    let answers = outputs.iter().filter_map(|output| match output {
        Output::Send { message, .. } => Some(message.body.clone()),
        _ => None,
    });
    let expected = Body::AppendAnswer {
        prev: 10,
        result: AppendResult::Matched(0),
        round: 2,
    };
    assert_eq!(answers.collect::<Vec<_>>(), [expected]);
}

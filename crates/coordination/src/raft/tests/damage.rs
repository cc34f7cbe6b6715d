//! Malformed and corrupted messages.

use proptest::prelude::*;
use rstest::rstest;
use sycamoreflow_state::ids::Millis;

use super::sim::Sim;
use crate::raft::message::{AppendResult, Body, LogPosition, Message};
use crate::raft::{Entry, GroupId, Incarnation, Input, Membership, Payload, SharedEntry, Token};

fn number() -> impl Strategy<Value = u64> {
    prop_oneof![6 => 0..6u64, 1 => any::<u64>(), 1 => Just(u64::MAX)]
}

fn end() -> impl Strategy<Value = LogPosition> {
    (number(), number()).prop_map(|(term, index)| LogPosition { term, index })
}

fn entry() -> impl Strategy<Value = SharedEntry> {
    let payload = prop_oneof![
        Just(Payload::Noop),
        Just(Payload::Members(Membership::default())),
    ];
    (number(), number(), payload).prop_map(|(index, term, payload)| {
        SharedEntry::new(Entry {
            index,
            term,
            payload,
        })
    })
}

fn body() -> impl Strategy<Value = Body> {
    let result = prop_oneof![
        number().prop_map(AppendResult::Matched),
        (prop::option::of(number()), number())
            .prop_map(|(term, index)| AppendResult::Conflict { term, index }),
    ];
    let bytes = prop::collection::vec(any::<u8>(), 0..4);
    prop_oneof![
        any::<bool>().prop_map(|fresh| Body::Probe { fresh }),
        end().prop_map(|last| Body::PreVote { last }),
        (number(), any::<bool>()).prop_map(|(term, granted)| Body::PreVoteAnswer { term, granted }),
        end().prop_map(|last| Body::Vote { last }),
        any::<bool>().prop_map(|granted| Body::VoteAnswer { granted }),
        (
            end(),
            prop::collection::vec(entry(), 0..3),
            number(),
            number()
        )
            .prop_map(|(prev, entries, commit, round)| Body::Append {
                prev,
                entries,
                commit,
                round
            }),
        (number(), result, number()).prop_map(|(prev, result, round)| Body::AppendAnswer {
            prev,
            result,
            round
        }),
        (end(), number(), number(), bytes).prop_map(|(last, total, offset, data)| {
            Body::SnapshotChunk {
                last,
                members: Membership::default(),
                total,
                offset,
                data,
                round: 0,
            }
        }),
        (number(), number(), number()).prop_map(|(index, received, round)| Body::SnapshotAnswer {
            index,
            received,
            round
        }),
        (number(), prop::option::of(number())).prop_map(|(token, index)| Body::ReadIndexAnswer {
            token: Token(token),
            index
        }),
        number().prop_map(|token| Body::ReadIndex {
            token: Token(token)
        }),
        Just(Body::TimeoutNow),
    ]
}

fn empty_chunk() -> Body {
    Body::SnapshotChunk {
        last: LogPosition::START,
        members: Membership::default(),
        total: 0,
        offset: 0,
        data: Vec::new(),
        round: 0,
    }
}

fn empty_append() -> Body {
    Body::Append {
        prev: LogPosition::START,
        entries: Vec::new(),
        commit: 0,
        round: 0,
    }
}

/// Guards against allocating memory for a declared length that exceeds the data. `empty` is the
/// CBOR header of an empty value in the message, and `claiming` the header of a value whose length
/// is given in 8 bytes.
#[rstest]
#[case::bytes(empty_chunk(), 0x40, 0x5b)]
#[case::entries(empty_append(), 0x80, 0x9b)]
fn decode_claimed_length(
    #[case] body: Body,
    #[case] empty: u8,
    #[case] claiming: u8,
    #[values(1 << 40, u64::MAX)] length: u64,
) {
    let message = Message {
        group: GroupId(1),
        incarnation: Incarnation(1),
        to: None,
        term: 1,
        body,
    };
    let mut bytes = Vec::new();
    ciborium::into_writer(&message, &mut bytes).unwrap();
    let at = bytes.iter().position(|byte| *byte == empty).unwrap();
    let mut claimed = bytes[..at].to_vec();
    claimed.push(claiming);
    claimed.extend_from_slice(&length.to_be_bytes());
    claimed.extend_from_slice(&bytes[at + 1..]);
    assert!(ciborium::from_reader::<Message, _>(claimed.as_slice()).is_err());
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(100))]

    /// Guards against overflows and failed lookups when a replica in any state handles malformed
    /// messages.
    #[test]
    fn step_damaged_messages(
        list in prop::collection::vec((0..3usize, 0..3usize, number(), body()), 1..40),
    ) {
        let mut sim = Sim::bootstrapped(3, 1, None);
        let group = GroupId(sim.nodes[0].disk.hard_state.incarnation.0);
        for (from, to, term, body) in list {
            let incarnation = Incarnation(sim.nodes[from].disk.hard_state.incarnation.0);
            let message = Message { group, incarnation, to: None, term, body };
            let from = sim.nodes[from].id.clone();
            let now = sim.now;
            if let Some(raft) = &mut sim.nodes[to].raft {
                raft.step(now, Input::Message { from, message });
                raft.step(now.after(Millis(100)), Input::Tick);
            }
        }
    }

    /// Guards against a decoder that panics or allocates as much memory as a length field declares.
    #[test]
    fn decode_any_bytes(bytes in prop::collection::vec(any::<u8>(), 0..300)) {
        let _ = ciborium::from_reader::<Message, _>(bytes.as_slice());
    }

    /// As above, for messages with one changed byte.
    #[test]
    fn decode_changed_message(body in body(), at in any::<prop::sample::Index>(), value: u8) {
        let message = Message {
            group: GroupId(1),
            incarnation: Incarnation(1),
            to: None,
            term: 1,
            body,
        };
        let mut bytes = Vec::new();
        ciborium::into_writer(&message, &mut bytes).unwrap();
        prop_assert_eq!(&ciborium::from_reader::<Message, _>(bytes.as_slice()).unwrap(), &message);
        let position = at.index(bytes.len());
        bytes[position] = value;
        let _ = ciborium::from_reader::<Message, _>(bytes.as_slice());
    }
}

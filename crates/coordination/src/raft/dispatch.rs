//! Filters received messages and passes them to their handlers.

use sycamoreflow_state::ids::DaemonId;

use super::Raft;
use super::faults::Fault;
use super::follower::ChunkHeader;
use super::message::{AppendResult, Body, Message};
use super::types::{GroupId, Peer};

/// Highest accepted term or index. The limit prevents overflows caused by corrupted messages.
const MAX_TERM_OR_INDEX: u64 = 1 << 62;

impl Raft {
    pub(super) fn on_message(&mut self, from: DaemonId, message: Message) {
        let is_out_of_range = message.term > MAX_TERM_OR_INDEX
            || max_term_or_index(&message.body) > MAX_TERM_OR_INDEX;
        let addressed_to_other_disk = message.to.is_some_and(|to| to != self.local.incarnation)
            && !self.ignores_incarnation();
        if is_out_of_range
            || from == self.local.id
            || addressed_to_other_disk
            || !self.accepts_group(&message)
        {
            return;
        }
        let peer = Peer {
            id: from,
            incarnation: message.incarnation,
        };
        match message.body {
            Body::Probe { fresh } => self.on_probe(peer, fresh),
            Body::ProbeAnswer {
                fresh,
                initial,
                may_bootstrap,
                members,
            } => {
                self.record_probe_answer(&peer, fresh, initial, may_bootstrap);
                self.on_probe_answer(members);
            }
            Body::Found { members } => self.on_found(members),
            Body::PreVote { last } => self.on_pre_vote(peer, message.term, last),
            Body::ReadIndex { token } => self.on_forwarded_read(peer, token),
            Body::ReadIndexAnswer { token, index } => self.on_read_answer(token, index),
            body => self.on_term_message(peer, message.term, body),
        }
    }

    /// Returns whether a message is acceptable given its group. A replica without a group accepts
    /// messages of a group only if they are addressed to its disk.
    fn accepts_group(&self, message: &Message) -> bool {
        let own = self.members.group;
        if self.has_fault(Fault::ReplacedDiskVotes) {
            return true;
        }
        match &message.body {
            Body::Probe { .. } | Body::ProbeAnswer { .. } => true,
            Body::AppendAnswer { .. } | Body::SnapshotAnswer { .. } => {
                message.group == own || message.group == GroupId::NONE
            }
            Body::Found { .. } | Body::Append { .. } | Body::SnapshotChunk { .. } => {
                message.group == own || (own == GroupId::NONE && message.to.is_some())
            }
            _ => message.group == own && own != GroupId::NONE,
        }
    }

    /// Handles messages that are subject to the term rules of Raft.
    fn on_term_message(&mut self, peer: Peer, term: u64, body: Body) {
        let from_member = self.members.member(&peer).is_some() || self.ignores_incarnation();
        let is_answer = matches!(
            body,
            Body::VoteAnswer { .. }
                | Body::PreVoteAnswer { .. }
                | Body::AppendAnswer { .. }
                | Body::SnapshotAnswer { .. }
        );
        if is_answer && !from_member {
            return;
        }
        if term > self.hard_state.term {
            self.become_follower(term, None);
        }
        if let Body::PreVoteAnswer { term, granted } = body {
            // The term of the answering replica may be lower than that of the requesting one.
            self.on_pre_vote_answer(peer, term, granted);
            return;
        }
        if term < self.hard_state.term {
            self.reject_stale_term(peer, body);
            return;
        }
        match body {
            Body::Vote { last } => self.on_vote(peer, last),
            Body::VoteAnswer { granted } => self.on_vote_answer(peer, granted),
            Body::Append {
                prev,
                entries,
                commit,
                round,
            } => self.on_append(peer, prev, entries, commit, round),
            Body::AppendAnswer {
                prev,
                result,
                round,
            } => self.on_append_answer(peer, prev, result, round),
            Body::SnapshotChunk {
                last,
                members,
                total,
                offset,
                data,
                round,
            } => {
                let header = ChunkHeader {
                    last,
                    members,
                    total,
                    offset,
                };
                self.on_chunk(peer, header, &data, round);
            }
            Body::SnapshotAnswer {
                index,
                received,
                round,
            } => self.on_chunk_answer(peer, index, received, round),
            Body::TimeoutNow => self.on_timeout_now(),
            _ => {}
        }
    }

    /// Rejects a request of an older term. The answer carries the current term.
    fn reject_stale_term(&mut self, peer: Peer, body: Body) {
        let answer = match body {
            Body::Vote { .. } => Body::VoteAnswer { granted: false },
            Body::Append { prev, round, .. } => Body::AppendAnswer {
                prev: prev.index,
                result: AppendResult::Conflict {
                    term: None,
                    index: prev.index,
                },
                round,
            },
            Body::SnapshotChunk { last, round, .. } => Body::SnapshotAnswer {
                index: last.index,
                received: 0,
                round,
            },
            _ => return,
        };
        self.send_to_peer(peer, answer);
    }
}

/// Returns the highest term or index in the body that this replica would adopt.
fn max_term_or_index(body: &Body) -> u64 {
    match body {
        Body::Append { prev, .. } => prev.index,
        Body::SnapshotChunk { last, .. } => last.index.max(last.term),
        _ => 0,
    }
}

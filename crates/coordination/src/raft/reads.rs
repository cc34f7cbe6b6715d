//! Linearizable reads (read index): the leader confirms its leadership by a heartbeat round.

use std::collections::{BTreeSet, VecDeque};

use rand::RngExt;
use sycamoreflow_state::ids::Millis;

use super::faults::Fault;
use super::leader::Leader;
use super::message::Body;
use super::types::{Output, Peer, Refusal, Token};
use super::{QUORUM_TIMEOUT, Raft, State};

/// Maximum number of reads that wait at a leader, and of forwarded reads that wait at any replica.
const MAX_READS: usize = 4096;

/// Origin of a read request.
#[derive(Clone, Debug)]
enum ReadOrigin {
    Local(Token),
    Remote(Peer, Token),
}

/// A read that waits for confirmation at the leader.
#[derive(Debug)]
pub(super) struct LeaderRead {
    origin: ReadOrigin,
    /// Index that the read must observe.
    index: u64,
    /// Heartbeat round that a quorum must answer. It starts after the read arrived.
    pub(super) round: u64,
    at: Millis,
}

/// Reads that this replica has forwarded to the leader.
#[derive(Debug, Default)]
pub(super) struct ForwardedReads {
    waiting: VecDeque<ForwardedRead>,
}

#[derive(Debug)]
struct ForwardedRead {
    token: Token,
    /// Random token used in the message. Tokens must not repeat after a restart, so that an answer
    /// to an earlier read cannot confirm a later one.
    wire_token: Token,
    at: Millis,
    index: Option<u64>,
}

impl Raft {
    pub(super) fn on_read(&mut self, token: Token) {
        if matches!(self.state, State::Leader(_)) {
            self.add_leader_read(ReadOrigin::Local(token));
            return;
        }
        let Some(leader) = self.leader.clone() else {
            self.refuse_read(token, Refusal::NotLeader);
            return;
        };
        if self.reads.waiting.len() >= MAX_READS {
            self.refuse_read(token, Refusal::Overloaded);
            return;
        }
        let wire_token = Token(self.rng.random());
        self.reads.waiting.push_back(ForwardedRead {
            token,
            wire_token,
            at: self.now,
            index: None,
        });
        self.send(leader, Body::ReadIndex { token: wire_token });
    }

    pub(super) fn on_forwarded_read(&mut self, peer: Peer, token: Token) {
        if self.members.member(&peer).is_none() {
            return;
        }
        if !matches!(self.state, State::Leader(_)) {
            self.send_to_peer(peer, Body::ReadIndexAnswer { token, index: None });
            return;
        }
        self.add_leader_read(ReadOrigin::Remote(peer, token));
    }

    /// Adds a read, which must observe everything that is committed now. A leader that has not
    /// committed an entry of its own term does not know the latest committed entry, but it precedes
    /// the first entry of the term. The read then waits for that entry.
    fn add_leader_read(&mut self, origin: ReadOrigin) {
        let at = self.now;
        let commit = self.commit;
        if self.has_fault(Fault::UnconfirmedReads) {
            self.complete_read(origin, commit);
            return;
        }
        let State::Leader(state) = &mut self.state else {
            return;
        };
        if state.reads.len() >= MAX_READS {
            self.refuse_origin(origin, Refusal::Overloaded);
            return;
        }
        let round = state.round + 1;
        state.reads.push_back(LeaderRead {
            origin,
            index: commit.max(state.term_start),
            round,
            at,
        });
        // Reads that arrive during a round share the next one.
        if state.confirmed_round == state.round {
            self.heartbeat();
        }
    }

    /// Completes the reads whose round was answered by a quorum and whose index is committed.
    pub(super) fn confirm_reads(&mut self) {
        let State::Leader(state) = &mut self.state else {
            return;
        };
        let mut rounds: Vec<u64> = Vec::new();
        for id in self.members.voters() {
            let answered = state
                .progress
                .get(id)
                .map_or(0, |progress| progress.answered_round);
            rounds.push(if *id == self.local.id {
                state.round
            } else {
                answered
            });
        }
        rounds.sort_unstable_by(|a, b| b.cmp(a));
        let confirmed = rounds.get(self.members.quorum() - 1).copied().unwrap_or(0);
        state.confirmed_round = state.confirmed_round.max(confirmed);
        let mut ready = Vec::new();
        while let Some(read) = state.reads.pop_front() {
            if read.round > state.confirmed_round || read.index > self.commit {
                state.reads.push_front(read);
                break;
            }
            ready.push(read);
        }
        let next_round = state.confirmed_round == state.round
            && state
                .reads
                .back()
                .is_some_and(|read| read.round > state.round);
        for read in ready {
            self.complete_read(read.origin, read.index);
        }
        if next_round {
            self.heartbeat();
        }
    }

    fn complete_read(&mut self, origin: ReadOrigin, index: u64) {
        match origin {
            ReadOrigin::Local(token) => self.outputs.push(Output::ReadReady { token, index }),
            ReadOrigin::Remote(peer, token) => {
                let index = Some(index);
                self.send_to_peer(peer, Body::ReadIndexAnswer { token, index });
            }
        }
    }

    fn refuse_origin(&mut self, origin: ReadOrigin, refusal: Refusal) {
        match origin {
            ReadOrigin::Local(token) => self.refuse_read(token, refusal),
            ReadOrigin::Remote(peer, token) => {
                self.send_to_peer(peer, Body::ReadIndexAnswer { token, index: None });
            }
        }
    }

    fn refuse_read(&mut self, token: Token, refusal: Refusal) {
        let leader = self.leader.clone();
        self.outputs.push(Output::ReadRefused {
            token,
            refusal,
            leader,
        });
    }

    /// Refuses the reads that this replica had not confirmed when it stopped being the leader.
    pub(super) fn refuse_leader_reads(&mut self, state: Leader) {
        for read in state.reads {
            self.refuse_origin(read.origin, Refusal::NotLeader);
        }
    }

    pub(super) fn on_read_answer(&mut self, wire_token: Token, index: Option<u64>) {
        let mut reads = self.reads.waiting.iter_mut();
        let Some(read) = reads.find(|read| read.wire_token == wire_token) else {
            return;
        };
        if index.is_some() {
            read.index = read.index.or(index);
            self.answer_waiting_reads();
            return;
        }
        let token = read.token;
        self.reads
            .waiting
            .retain(|read| read.wire_token != wire_token);
        self.refuse_read(token, Refusal::NotLeader);
    }

    /// Completes forwarded reads that are confirmed and whose index is committed locally.
    pub(super) fn answer_waiting_reads(&mut self) {
        let commit = self.commit;
        let outputs = &mut self.outputs;
        self.reads.waiting.retain(|read| {
            let Some(index) = read.index.filter(|index| *index <= commit) else {
                return true;
            };
            let token = read.token;
            outputs.push(Output::ReadReady { token, index });
            false
        });
    }

    /// Refuses reads that have waited longer than [`QUORUM_TIMEOUT`].
    pub(super) fn expire_reads(&mut self) {
        let now = self.now;
        let is_late = |at: Millis| now.since(at) >= QUORUM_TIMEOUT;
        let mut late = BTreeSet::new();
        self.reads.waiting.retain(|read| {
            if is_late(read.at) {
                late.insert(read.token);
            }
            !is_late(read.at)
        });
        let mut late_at_leader = Vec::new();
        if let State::Leader(state) = &mut self.state {
            while state.reads.front().is_some_and(|read| is_late(read.at)) {
                late_at_leader.extend(state.reads.pop_front());
            }
        }
        for token in late {
            self.refuse_read(token, Refusal::TimedOut);
        }
        for read in late_at_leader {
            self.refuse_origin(read.origin, Refusal::TimedOut);
        }
    }
}

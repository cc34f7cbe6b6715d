//! Pre-votes, votes, and the receiving side of a leadership transfer.

use std::collections::BTreeSet;

use rand::RngExt;
use sycamoreflow_state::ids::{DaemonId, Millis};

use super::faults::Fault;
use super::message::{Body, LogPosition};
use super::types::{GroupId, Peer};
use super::{ELECTION_ROUND_MS, ELECTION_TIMEOUT_MIN, MAX_ROUND_DOUBLINGS, Raft, State};

impl Raft {
    pub(super) fn start_pre_vote(&mut self) {
        if matches!(self.state, State::Candidate { .. }) {
            self.failed_elections += 1;
        }
        self.state = State::PreCandidate {
            votes: BTreeSet::from([self.local.id.clone()]),
        };
        self.set_round_deadline(0);
        self.request_pre_votes();
        self.count_pre_votes();
    }

    /// Asks the other voters whether an election would succeed.
    fn request_pre_votes(&mut self) {
        let last = self.log.last();
        for id in self.other_voters() {
            self.send(id, Body::PreVote { last });
        }
    }

    /// Tells all members that this replica is no longer the leader, by a request for pre-votes.
    /// Learners follow it too, and would keep their subscribers until they notice its silence.
    pub(super) fn announce_step_down(&mut self) {
        let last = self.log.last();
        let others: Vec<DaemonId> = self.members.members.keys().cloned().collect();
        for id in others {
            if id != self.local.id {
                self.send(id, Body::PreVote { last });
            }
        }
    }

    /// Starts an election in a new term. Vote requests are sent after this replica's own vote is
    /// synced.
    pub(super) fn start_election(&mut self) {
        self.hard_state.term += 1;
        self.hard_state.vote = Some(self.local.clone());
        self.persist_hard_state();
        self.leader = None;
        self.state = State::Candidate {
            votes: BTreeSet::new(),
            own_vote_seq: self.durability.next_write_seq(),
        };
        self.set_round_deadline(self.failed_elections.min(MAX_ROUND_DOUBLINGS));
        let last = self.log.last();
        for id in self.other_voters() {
            let Some(member) = self.members.members.get(&id) else {
                continue;
            };
            let incarnation = member.incarnation;
            self.send_after_sync(Peer { id, incarnation }, Body::Vote { last });
        }
    }

    fn set_round_deadline(&mut self, doublings: u32) {
        let wait = self.rng.random_range(ELECTION_ROUND_MS) << doublings;
        self.election_deadline = self.now.after(Millis(wait));
    }

    fn other_voters(&self) -> Vec<DaemonId> {
        let voters = self.members.voters();
        voters.filter(|id| **id != self.local.id).cloned().collect()
    }

    pub(super) fn on_pre_vote(&mut self, peer: Peer, term: u64, last: LogPosition) {
        // A leader that requests pre-votes has stepped down and never leads this term again.
        if term == self.hard_state.term && self.leader.as_ref() == Some(&peer.id) {
            self.leader = None;
        }
        let has_live_leader = self.leader.is_some()
            && self.now.since(self.last_leader_contact) < ELECTION_TIMEOUT_MIN;
        let is_leader = matches!(self.state, State::Leader(_));
        let granted = !has_live_leader
            && !is_leader
            && term >= self.hard_state.term
            && last >= self.log.last();
        // If two replicas campaign at the same time, the one with the lower id yields. Otherwise
        // they would split the votes and need another round.
        let both_campaign = matches!(self.state, State::PreCandidate { .. });
        if granted && both_campaign && peer.id > self.local.id {
            self.state = State::Follower;
            self.set_round_deadline(0);
        }
        let body = Body::PreVoteAnswer { term, granted };
        self.send_to_peer(peer, body);
    }

    pub(super) fn on_pre_vote_answer(&mut self, peer: Peer, term: u64, granted: bool) {
        if !granted || term != self.hard_state.term {
            return;
        }
        if let State::PreCandidate { votes } = &mut self.state {
            votes.insert(peer.id);
        }
        self.count_pre_votes();
    }

    fn count_pre_votes(&mut self) {
        let State::PreCandidate { votes } = &self.state else {
            return;
        };
        if self.is_quorum(votes) {
            self.start_election();
        }
    }

    /// Answers a vote request. A replica that is not a voter in its own log votes too, because its
    /// log may lack the entry that promoted it. The candidate counts only the voters in its own
    /// membership.
    pub(super) fn on_vote(&mut self, peer: Peer, last: LogPosition) {
        let vote_available = match &self.hard_state.vote {
            None => true,
            Some(vote) => *vote == peer || self.has_fault(Fault::VoteTwice),
        };
        let initialized = self.members.group != GroupId::NONE || self.ignores_incarnation();
        let granted = vote_available && initialized && last >= self.log.last();
        if granted {
            self.hard_state.vote = Some(peer.clone());
            self.persist_hard_state();
            self.reset_election_deadline();
        }
        self.send_after_sync(peer, Body::VoteAnswer { granted });
    }

    pub(super) fn on_vote_answer(&mut self, peer: Peer, granted: bool) {
        let State::Candidate { votes, .. } = &mut self.state else {
            return;
        };
        if granted {
            votes.insert(peer.id);
        }
        self.count_votes();
    }

    /// Counts the vote of this candidate for itself once it is synced.
    pub(super) fn count_own_vote(&mut self) {
        let State::Candidate {
            votes,
            own_vote_seq,
        } = &mut self.state
        else {
            return;
        };
        if self.durability.is_synced(*own_vote_seq) {
            votes.insert(self.local.id.clone());
        }
        self.count_votes();
    }

    fn count_votes(&mut self) {
        let State::Candidate { votes, .. } = &self.state else {
            return;
        };
        if self.is_quorum(votes) {
            self.become_leader();
        }
    }

    pub(super) fn is_quorum(&self, ids: &BTreeSet<DaemonId>) -> bool {
        let votes = self.members.voters().filter(|id| ids.contains(*id)).count();
        votes >= self.members.quorum()
    }

    pub(super) fn on_timeout_now(&mut self) {
        let is_leader = matches!(self.state, State::Leader(_));
        if !is_leader && self.members.is_voter(&self.local) {
            self.start_election();
        }
    }
}

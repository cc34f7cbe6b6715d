//! Pre-votes, votes and leadership transfer on the receiving side.

use std::collections::BTreeSet;

use rand::RngExt;
use sycamoreflow_state::ids::{DaemonId, Millis};

use super::faults::Fault;
use super::message::{Body, LogEnd};
use super::types::{GroupId, Peer};
use super::{ELECTION_MIN, MAX_ROUND_DOUBLINGS, ROUND_MS, Raft, State};

impl Raft {
    pub(super) fn start_pre_vote(&mut self) {
        if matches!(self.state, State::Candidate { .. }) {
            self.failed_votes += 1;
        }
        self.state = State::PreCandidate {
            votes: BTreeSet::from([self.me.id.clone()]),
        };
        self.start_round(0);
        self.ask_pre_votes();
        self.count_pre_votes();
    }

    /// Asks the other voters whether an election would succeed. Those that follow this replica learn
    /// that it no longer leads.
    pub(super) fn ask_pre_votes(&mut self) {
        let last = self.log.last();
        for id in self.other_voters() {
            self.send(id, Body::PreVote { last });
        }
    }

    /// Starts an election in a new term. The requests wait until the own vote is synced.
    pub(super) fn start_election(&mut self) {
        self.hard.term += 1;
        self.hard.vote = Some(self.me.clone());
        self.persist_hard_state();
        self.leader = None;
        self.state = State::Candidate {
            votes: BTreeSet::new(),
            own_vote: self.durability.upcoming(),
        };
        self.start_round(self.failed_votes.min(MAX_ROUND_DOUBLINGS));
        let last = self.log.last();
        for id in self.other_voters() {
            let Some(member) = self.members.members.get(&id) else {
                continue;
            };
            let incarnation = member.incarnation;
            self.send_after_sync(Peer { id, incarnation }, Body::Vote { last });
        }
    }

    fn start_round(&mut self, doublings: u32) {
        let wait = self.rng.random_range(ROUND_MS) << doublings;
        self.deadline = self.now.after(Millis(wait));
    }

    fn other_voters(&self) -> Vec<DaemonId> {
        let voters = self.members.voters();
        voters.filter(|id| **id != self.me.id).cloned().collect()
    }

    pub(super) fn on_pre_vote(&mut self, peer: Peer, term: u64, last: LogEnd) {
        // A leader that stands for election has stepped down: it never leads its term again.
        if term == self.hard.term && self.leader.as_ref() == Some(&peer.id) {
            self.leader = None;
        }
        let follows = self.leader.is_some() && self.now.since(self.leader_heard) < ELECTION_MIN;
        let leads = matches!(self.state, State::Leader(_));
        let granted = !follows && !leads && term >= self.hard.term && last >= self.log.last();
        // Two replicas that stand at the same time would split the votes and wait for another round.
        let both_stand = matches!(self.state, State::PreCandidate { .. });
        if granted && both_stand && peer.id > self.me.id {
            self.state = State::Follower;
            self.start_round(0);
        }
        let body = Body::PreVoteAnswer { term, granted };
        self.send_to_peer(peer, body);
    }

    pub(super) fn on_pre_vote_answer(&mut self, peer: Peer, term: u64, granted: bool) {
        if !granted || term != self.hard.term {
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

    /// A replica that is not a voter in its own log votes too: its log may lack the entry that
    /// made it one, and the candidate counts only voters of its own membership.
    pub(super) fn on_vote(&mut self, peer: Peer, last: LogEnd) {
        let free = match &self.hard.vote {
            None => true,
            Some(vote) => *vote == peer || self.has_fault(Fault::VoteTwice),
        };
        let formed = self.members.group != GroupId::NONE || self.replaced_disk_counts();
        let granted = free && formed && last >= self.log.last();
        if granted {
            self.hard.vote = Some(peer.clone());
            self.persist_hard_state();
            self.reset_deadline();
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

    /// Counts the own vote once it is on disk.
    pub(super) fn count_own_vote(&mut self) {
        let State::Candidate { votes, own_vote } = &mut self.state else {
            return;
        };
        if self.durability.is_synced(*own_vote) {
            votes.insert(self.me.id.clone());
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
        let leads = matches!(self.state, State::Leader(_));
        if !leads && self.members.is_voter(&self.me) {
            self.start_election();
        }
    }
}

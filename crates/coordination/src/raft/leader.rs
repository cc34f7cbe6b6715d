//! Leader operations: proposals, commits, heartbeats and leadership transfer.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;

use sycamoreflow_state::ids::{DaemonId, Millis};

use super::faults::Fault;
use super::members::PROBE_TTL;
use super::message::Body;
use super::reads::LeaderRead;
use super::replication::Progress;
use super::types::{
    Entry, Incarnation, Membership, Output, Payload, Peer, Refusal, ReplicaProgress, Token,
};
use super::{HEARTBEAT_INTERVAL, MAX_ENTRY_BYTES, QUORUM_TIMEOUT, Raft, State};

/// Number of uncommitted entries from which on proposals are refused.
const MAX_UNCOMMITTED_ENTRIES: u64 = 1024;
/// Size of the uncommitted entries, in bytes, beyond which proposals are refused.
const MAX_UNCOMMITTED_BYTES: usize = 16 * 1024 * 1024;
/// Time after which a leadership transfer without a resulting election is abandoned.
const TRANSFER_TIMEOUT: Millis = Millis(1000);

/// State that only a leader keeps.
#[derive(Debug)]
pub(super) struct Leader {
    pub(super) progress: BTreeMap<DaemonId, Progress>,
    /// Index of the first entry of the leader's term. Earlier entries are committed only together
    /// with it.
    pub(super) term_start: u64,
    /// Number of the latest round of heartbeats.
    pub(super) round: u64,
    /// Latest heartbeat round that a quorum has answered.
    pub(super) confirmed_round: u64,
    pub(super) reads: VecDeque<LeaderRead>,
    next_heartbeat: Millis,
    transfer: Option<Transfer>,
    /// Replicas that are not members on their current disk, with that disk and the time of the
    /// latest probe.
    pub(super) unadmitted: BTreeMap<DaemonId, (Incarnation, Millis)>,
}

#[derive(Debug)]
struct Transfer {
    to: DaemonId,
    until: Millis,
    sent: bool,
}

impl Raft {
    /// Returns the replication progress of all members. Empty if this replica is not the leader.
    pub fn replicas(&self) -> Vec<ReplicaProgress> {
        let State::Leader(state) = &self.state else {
            return Vec::new();
        };
        let mut replicas = Vec::new();
        for (id, member) in &self.members.members {
            let progress = state.progress.get(id);
            let is_local = *id == self.local.id;
            let silent_for = match progress {
                Some(progress) if !is_local => self.now.since(progress.last_contact),
                _ => Millis(0),
            };
            let durable = self.durability.durable_index();
            replicas.push(ReplicaProgress {
                id: id.clone(),
                role: member.role,
                reachable: silent_for < QUORUM_TIMEOUT && (is_local || progress.is_some()),
                silent_for,
                matched: progress.map_or(durable, |progress| progress.matched),
            });
        }
        replicas
    }

    /// Returns the replicas that are not members and have recently probed this leader. Empty if
    /// this replica is not the leader.
    pub fn recent_non_members(&self) -> Vec<DaemonId> {
        let State::Leader(state) = &self.state else {
            return Vec::new();
        };
        let unadmitted = state.unadmitted.iter();
        let recent = unadmitted.filter(|(id, (_, at))| {
            self.now.since(*at) < PROBE_TTL && !self.members.members.contains_key(*id)
        });
        recent.map(|(id, _)| id.clone()).collect()
    }

    pub(super) fn become_leader(&mut self) {
        let term_start = self.log.last().index + 1;
        self.leader = Some(self.local.id.clone());
        self.failed_elections = 0;
        self.state = State::Leader(Box::new(Leader {
            progress: BTreeMap::new(),
            term_start,
            round: 0,
            confirmed_round: 0,
            reads: VecDeque::new(),
            next_heartbeat: self.now,
            transfer: None,
            unadmitted: BTreeMap::new(),
        }));
        self.append_as_leader(Payload::Noop);
        self.update_progress();
        self.heartbeat();
    }

    /// Appends an entry in the current term and returns its index.
    pub(super) fn append_as_leader(&mut self, payload: Payload) -> u64 {
        let index = self.log.last().index + 1;
        self.append_entry(Arc::new(Entry {
            index,
            term: self.hard_state.term,
            payload,
        }));
        index
    }

    /// Updates the progress table to match the membership.
    pub(super) fn update_progress(&mut self) {
        let next = self.log.last().index;
        let State::Leader(state) = &mut self.state else {
            return;
        };
        let members = &self.members.members;
        state.progress.retain(|id, progress| {
            let member = members.get(id);
            member.is_some_and(|member| member.incarnation == progress.incarnation)
        });
        for (id, member) in members {
            if *id == self.local.id || state.progress.contains_key(id) {
                continue;
            }
            let progress = Progress::new(member.incarnation, next, self.now);
            state.progress.insert(id.clone(), progress);
        }
    }

    pub(super) fn on_propose(&mut self, token: Token, data: Vec<u8>) {
        if let Some(refusal) = self.proposal_refusal(data.len()) {
            self.reject_proposal(token, refusal);
            return;
        }
        let index = self.append_as_leader(Payload::Data(data));
        self.accept_proposal(token, index);
    }

    fn proposal_refusal(&self, bytes: usize) -> Option<Refusal> {
        let State::Leader(state) = &self.state else {
            return Some(Refusal::NotLeader);
        };
        if state.transfer.is_some() {
            return Some(Refusal::NotReady);
        }
        if bytes > MAX_ENTRY_BYTES {
            return Some(Refusal::TooLarge);
        }
        let last = self.log.last().index;
        let uncommitted = (self.commit + 1..=last).filter_map(|index| self.log.get(index));
        let pending: usize = uncommitted.map(|entry| entry.payload.bytes()).sum();
        let full = last - self.commit >= MAX_UNCOMMITTED_ENTRIES
            || pending + bytes > MAX_UNCOMMITTED_BYTES;
        full.then_some(Refusal::Overloaded)
    }

    pub(super) fn reject_proposal(&mut self, token: Token, refusal: Refusal) {
        let leader = self.leader.clone();
        self.outputs.push(Output::ProposalRejected {
            token,
            refusal,
            leader,
        });
    }

    /// Reports that a proposal was appended, and replicates its entry to the members.
    pub(super) fn accept_proposal(&mut self, token: Token, index: u64) {
        let term = self.hard_state.term;
        self.outputs
            .push(Output::ProposalAccepted { token, index, term });
        self.replicate_to_all();
        self.advance_commit();
    }

    /// Commits the entries that a quorum has on disk, if the last of them is of the current term.
    ///
    /// A later leader can still overwrite an entry of an older term that a quorum has stored. Such
    /// entries are therefore committed only together with an entry of the current term.
    pub(super) fn advance_commit(&mut self) {
        let State::Leader(state) = &self.state else {
            return;
        };
        let own_durable = if self.has_fault(Fault::AcknowledgeBeforeSync) {
            self.log.last().index
        } else {
            self.durability.durable_index()
        };
        let mut matched: Vec<u64> = Vec::new();
        for id in self.members.voters() {
            let progress = state
                .progress
                .get(id)
                .map_or(0, |progress| progress.matched);
            matched.push(if *id == self.local.id {
                own_durable
            } else {
                progress
            });
        }
        matched.sort_unstable_by(|a, b| b.cmp(a));
        let Some(&index) = matched.get(self.members.quorum() - 1) else {
            return;
        };
        let own_term = self.log.term_at(index) == Some(self.hard_state.term);
        if index > self.commit && (own_term || self.has_fault(Fault::CommitOlderTerm)) {
            self.commit_to(index);
            self.confirm_reads();
            self.broadcast_commit();
        }
    }

    /// Sends the new commit index if no further entries will carry it, so that members do not have
    /// to wait for the next heartbeat to apply.
    fn broadcast_commit(&mut self) {
        if self.commit < self.log.last().index {
            return;
        }
        let State::Leader(state) = &self.state else {
            return;
        };
        let ids: Vec<DaemonId> = state.progress.keys().cloned().collect();
        for id in ids {
            self.replicate(&id, true);
        }
    }

    pub(super) fn tick_leader(&mut self) {
        if !self.is_quorum_reachable(&self.members) {
            self.become_follower(self.hard_state.term, None);
            self.announce_step_down();
            return;
        }
        let now = self.now;
        let State::Leader(state) = &mut self.state else {
            return;
        };
        let read_waits = state
            .reads
            .back()
            .is_some_and(|read| read.round > state.round);
        let due = now >= state.next_heartbeat || read_waits;
        if state
            .transfer
            .as_ref()
            .is_some_and(|transfer| now >= transfer.until)
        {
            state.transfer = None;
        }
        if due {
            self.heartbeat();
        }
        self.maintain_members();
    }

    /// Returns whether this leader has heard from a quorum of `members` within [`QUORUM_TIMEOUT`].
    pub(super) fn is_quorum_reachable(&self, members: &Membership) -> bool {
        let State::Leader(state) = &self.state else {
            return false;
        };
        let mut reachable = 0;
        for id in members.voters() {
            let recent = state
                .progress
                .get(id)
                .is_some_and(|progress| self.now.since(progress.last_contact) < QUORUM_TIMEOUT);
            if recent || *id == self.local.id {
                reachable += 1;
            }
        }
        reachable >= members.quorum()
    }

    /// Starts a new heartbeat round: sends at least one message to each member.
    pub(super) fn heartbeat(&mut self) {
        let next = self.now.after(HEARTBEAT_INTERVAL);
        let State::Leader(state) = &mut self.state else {
            return;
        };
        state.round += 1;
        state.next_heartbeat = next;
        for progress in state.progress.values_mut() {
            progress.paused = false;
        }
        let ids: Vec<DaemonId> = state.progress.keys().cloned().collect();
        for id in ids {
            self.replicate(&id, true);
        }
        self.confirm_reads();
    }

    pub(super) fn on_transfer(&mut self) {
        let now = self.now;
        let State::Leader(state) = &mut self.state else {
            return;
        };
        let mut best: Option<(&DaemonId, u64)> = None;
        for id in self.members.voters() {
            let Some(progress) = state.progress.get(id) else {
                continue;
            };
            let recent = now.since(progress.last_contact) < QUORUM_TIMEOUT;
            if recent && best.is_none_or(|(_, matched)| progress.matched > matched) {
                best = Some((id, progress.matched));
            }
        }
        state.transfer = best.map(|(id, _)| Transfer {
            to: id.clone(),
            until: now.after(TRANSFER_TIMEOUT),
            sent: false,
        });
        self.continue_transfer();
    }

    /// Tells the target of a leadership transfer to start an election, once it has the whole log.
    pub(super) fn continue_transfer(&mut self) {
        let last = self.log.last().index;
        let State::Leader(state) = &mut self.state else {
            return;
        };
        let Some(transfer) = &mut state.transfer else {
            return;
        };
        let matched = state.progress.get(&transfer.to).map_or(0, |p| p.matched);
        if transfer.sent || matched < last {
            return;
        }
        transfer.sent = true;
        let to = transfer.to.clone();
        self.send(to, Body::TimeoutNow);
    }

    /// Returns the progress of the peer, if it is a member on exactly this disk.
    pub(super) fn progress_mut(&mut self, peer: &Peer) -> Option<&mut Progress> {
        let ignores_incarnation = self.ignores_incarnation();
        let State::Leader(state) = &mut self.state else {
            return None;
        };
        let progress = state.progress.get_mut(&peer.id)?;
        (ignores_incarnation || progress.incarnation == peer.incarnation).then_some(progress)
    }
}

//! A deterministic implementation of the Raft consensus algorithm that performs no I/O.
//!
//! [`Raft::step`] takes an event and the current time, and returns the actions that the caller
//! must perform. The implementation includes pre-vote, quorum checks by the leader, read index,
//! learners, membership changes of one server at a time, chunked snapshots and leadership transfer.
//!
//! Invariants:
//! - A message that depends on durable state (a vote or an acknowledgement) is sent only after the
//!   write it depends on was reported as synced. The leader counts its own log towards a commit
//!   under the same condition.
//! - A voter is a replica together with the disk that was admitted ([`Peer`]). A replica whose disk
//!   was replaced is re-admitted as a learner in place of the old voter, and becomes a voter by a
//!   second change after it has caught up.
//! - A group is bootstrapped only when all replicas in the settings are reachable with empty logs.
//!   A replica with an empty disk therefore cannot create a second group beside an existing one.
//!
//! Requirements for the caller:
//! - Pass [`Input::Tick`] at least every [`TICK_MS`], and execute the outputs in order. Those for
//!   the state machine (entries, snapshots and completed reads) may be executed later, in order
//!   among themselves.
//! - Execute writes and save snapshots in the order in which they were output or made, and pass
//!   [`Input::Synced`] or [`Input::SnapshotSaved`] when one is durable. If one fails, stop the
//!   replica.
//! - When [`Raft::bytes_after_snapshot`] is large, encode the state machine, combine it by
//!   [`Raft::snapshot_at`] with the index that the state machine has applied, and save the result.
//! - Keep [`Output::ProposalAccepted`] until the entry with its index is applied. If that entry has
//!   another term, or the replica stopped before, the proposal may or may not be committed and must
//!   be sent again with the same request id.
//!
//! Limitation: if a majority of the disks is lost at once, the group cannot resume, because the
//! remaining replicas cannot know what was committed. The same holds if a voter's disk is lost
//! while a removal is being committed after which every majority includes this voter.

mod bootstrap;
mod dispatch;
mod durability;
mod election;
mod faults;
mod follower;
mod leader;
mod log;
mod members;
pub mod message;
mod reads;
mod replication;
mod types;

#[cfg(test)]
mod tests;

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use sycamoreflow_state::ids::{DaemonId, Millis};

use bootstrap::EmptyPeer;
use durability::Durability;
use faults::{Fault, Faults};
use leader::Leader;
use log::Log;
use message::{Body, Message};
use reads::ForwardedReads;

pub use types::*;

/// Longest allowed time between two [`Input::Tick`] events, in milliseconds.
pub const TICK_MS: u64 = 50;
/// Largest command that can be proposed, in bytes. A message that carries it stays below the limit
/// of 4 MiB for a link frame.
pub const MAX_ENTRY_BYTES: usize = 2 * 1024 * 1024;
/// Time between two heartbeat rounds of a leader.
const HEARTBEAT_INTERVAL: Millis = Millis(150);
/// Lower bound of the election timeout. Together with the upper bound and one retry it keeps the
/// time without a leader below 2 s.
const ELECTION_TIMEOUT_MIN: Millis = Millis(800);
/// Upper bound of the election timeout.
const ELECTION_TIMEOUT_MAX: Millis = Millis(1400);
/// Range of the election timeout right after a start. It can be short, because an existing leader
/// sends a heartbeat within [`HEARTBEAT_INTERVAL`], and replicas that follow a leader reject
/// pre-votes without changing state.
const STARTUP_TIMEOUT_MS: std::ops::Range<u64> = 150..450;
/// Range of the duration of one round of pre-votes or votes.
const ELECTION_ROUND_MS: std::ops::Range<u64> = 200..500;
/// Limit on how often the duration of a vote round is doubled after failed elections. Without the
/// doubling, disks that take 1 s to sync would prevent every election.
const MAX_ROUND_DOUBLINGS: u32 = 3;
/// Time without contact to a quorum after which a leader steps down.
pub(crate) const QUORUM_TIMEOUT: Millis = Millis(1500);

/// The Raft state of one control replica.
#[derive(Debug)]
pub struct Raft {
    local: Peer,
    initial: Vec<DaemonId>,
    /// Whether this replica may bootstrap a group. Otherwise it waits until an existing group
    /// admits it.
    may_bootstrap: bool,
    hard_state: HardState,
    log: Log,
    members: Membership,
    /// Index of the log entry that holds `members`, or 0 if they come from a snapshot or are unset.
    members_index: u64,
    /// Index of the last entry known to be committed. All entries up to it have been output.
    commit: u64,
    state: State,
    leader: Option<DaemonId>,
    last_leader_contact: Millis,
    /// When a replica that is not the leader starts an election or ends its current round, unless
    /// it hears from a leader before.
    election_deadline: Millis,
    /// Elections without a winner since the last known leader.
    failed_elections: u32,
    /// Replicas that answered a probe with an empty log, with the time of the answer.
    empty_peers: BTreeMap<DaemonId, EmptyPeer>,
    next_probe: Millis,
    /// Replicas to probe in addition to the members and `initial`.
    contacts: Vec<DaemonId>,
    /// Snapshot that is being received from the leader.
    incoming_snapshot: Option<follower::IncomingSnapshot>,
    durability: Durability,
    reads: ForwardedReads,
    outputs: Vec<Output>,
    reported_leadership: (ReplicaState, u64, Option<DaemonId>),
    reported_members: Membership,
    faults: Faults,
    rng: ChaCha8Rng,
    now: Millis,
}

/// State of a replica in its current term. Learners are in the state `Follower`.
#[derive(Debug)]
enum State {
    Follower,
    PreCandidate {
        votes: BTreeSet<DaemonId>,
    },
    Candidate {
        votes: BTreeSet<DaemonId>,
        own_vote_seq: u64,
    },
    Leader(Box<Leader>),
}

impl Raft {
    /// Creates a replica from its persisted state.
    ///
    /// `initial` contains the replicas in the settings, including this one. It is used until the
    /// replica belongs to a group; from then on the membership in the log is authoritative. The
    /// state machine must be at the state of the snapshot in `log`; later entries are applied
    /// through outputs. `seed` must differ between starts, because the tokens of forwarded reads
    /// are derived from it and must not repeat.
    pub fn new(
        id: DaemonId,
        initial: Vec<DaemonId>,
        hard_state: HardState,
        log: LogState,
        seed: u64,
        now: Millis,
    ) -> Self {
        let log = Log::new(log);
        let (members, members_index) = log.members_at(log.last().index);
        let local = Peer {
            id,
            incarnation: hard_state.incarnation,
        };
        let mut raft = Self {
            local,
            initial: sorted(initial),
            may_bootstrap: true,
            commit: log.snapshot().map_or(0, |snapshot| snapshot.index),
            durability: Durability::new(log.last().index),
            hard_state,
            log,
            members,
            members_index,
            state: State::Follower,
            leader: None,
            last_leader_contact: now,
            election_deadline: now,
            failed_elections: 0,
            empty_peers: BTreeMap::new(),
            next_probe: now,
            contacts: Vec::new(),
            incoming_snapshot: None,
            reads: ForwardedReads::default(),
            outputs: Vec::new(),
            reported_leadership: (ReplicaState::Unformed, 0, None),
            reported_members: Membership::default(),
            faults: Faults::default(),
            rng: ChaCha8Rng::seed_from_u64(seed),
            now,
        };
        let wait = raft.rng.random_range(STARTUP_TIMEOUT_MS);
        raft.election_deadline = now.after(Millis(wait));
        raft
    }

    /// Prevents this replica from bootstrapping a group. A replica that was a member and lost its
    /// disk then cannot create a second group.
    pub fn without_bootstrap(mut self) -> Self {
        self.may_bootstrap = false;
        self
    }

    /// Replaces the additional replicas that are probed while this replica has no leader. Has no
    /// effect on bootstrapping, which uses only the `initial` replicas passed to [`Raft::new`].
    pub fn set_contacts(&mut self, contacts: Vec<DaemonId>) {
        self.contacts = contacts;
    }

    /// Processes one event and returns the actions that the caller must perform, in order.
    ///
    /// `now` counts from an arbitrary origin and should not decrease; if it does, the previous
    /// value is used. A clock that pauses is harmless.
    pub fn step(&mut self, now: Millis, input: Input) -> Vec<Output> {
        self.now = self.now.max(now);
        match input {
            Input::Tick => self.on_tick(),
            Input::Message { from, message } => self.on_message(from, message),
            Input::Propose { token, data } => self.on_propose(token, data),
            Input::Synced { seq } => self.on_synced(seq),
            Input::ReadIndex { token } => self.on_read(token),
            Input::ChangeMembers { token, change } => self.on_change(token, change),
            Input::SnapshotSaved(snapshot) => self.on_snapshot_saved(snapshot),
            Input::TransferLeadership => self.on_transfer(),
        }
        self.finish()
    }

    /// Returns the current state of this replica.
    pub fn replica_state(&self) -> ReplicaState {
        match &self.state {
            _ if self.members.group == GroupId::NONE => ReplicaState::Unformed,
            State::Leader(_) => ReplicaState::Leader,
            State::PreCandidate { .. } => ReplicaState::PreCandidate,
            State::Candidate { .. } => ReplicaState::Candidate,
            State::Follower if self.members.is_voter(&self.local) => ReplicaState::Follower,
            State::Follower => ReplicaState::Learner,
        }
    }

    /// Returns the current term.
    pub fn term(&self) -> u64 {
        self.hard_state.term
    }

    /// Returns the leader of the current term, if known.
    pub fn leader(&self) -> Option<&DaemonId> {
        self.leader.as_ref()
    }

    /// Returns the index of the last committed entry.
    pub fn commit(&self) -> u64 {
        self.commit
    }

    /// Returns the latest membership in the log, which applies even if it is not committed yet.
    pub fn members(&self) -> &Membership {
        &self.members
    }

    /// Returns the replicas in the settings whose answer is missing before a group can be
    /// bootstrapped: those that have not reported an empty log and the same settings.
    pub fn waiting_for(&self) -> Vec<DaemonId> {
        let missing = |id: &&DaemonId| **id != self.local.id && !self.empty_peers.contains_key(*id);
        self.initial.iter().filter(missing).cloned().collect()
    }

    /// Returns the size in bytes of the entries after the latest snapshot. Callers use it to decide
    /// when to save the next one.
    pub fn bytes_after_snapshot(&self) -> usize {
        self.log.bytes_after_snapshot()
    }

    /// Combines the encoded state of the state machine after entry `index` with the term and the
    /// membership as of that entry. Returns `None` if the entry is not committed or the log no
    /// longer contains it.
    pub fn snapshot_at(&self, index: u64, data: Vec<u8>) -> Option<Snapshot> {
        if index > self.commit || index == 0 {
            return None;
        }
        let term = self.log.term_at(index)?;
        let (members, _) = self.log.members_at(index);
        Some(Snapshot {
            index,
            term,
            members,
            data,
        })
    }

    fn on_tick(&mut self) {
        self.expire_reads();
        self.probe();
        if matches!(self.state, State::Leader(_)) {
            self.tick_leader();
            return;
        }
        if self.now < self.election_deadline {
            return;
        }
        self.leader = None;
        if self.members.is_voter(&self.local) {
            self.start_pre_vote();
            return;
        }
        self.reset_election_deadline();
    }

    fn on_synced(&mut self, seq: u64) {
        self.durability.on_synced(seq, &mut self.outputs);
        self.commit_bootstrap();
        self.count_own_vote();
        self.advance_commit();
    }

    fn on_snapshot_saved(&mut self, snapshot: Arc<Snapshot>) {
        let known = self.log.snapshot().map_or(0, |known| known.index);
        if snapshot.index > self.commit || snapshot.index <= known {
            return;
        }
        self.log.compact(snapshot);
    }

    fn become_follower(&mut self, term: u64, leader: Option<DaemonId>) {
        if term > self.hard_state.term {
            self.hard_state.term = term;
            self.hard_state.vote = None;
            self.persist_hard_state();
        }
        if let State::Leader(state) = std::mem::replace(&mut self.state, State::Follower) {
            self.refuse_leader_reads(*state);
        }
        if leader.is_some() {
            self.failed_elections = 0;
        }
        self.leader = leader;
        self.reset_election_deadline();
    }

    fn persist_hard_state(&mut self) {
        self.durability.pending.hard_state = Some(self.hard_state.clone());
    }

    /// Appends an entry to the log and to the write of the current step.
    fn append_entry(&mut self, entry: SharedEntry) {
        if let Payload::Members(members) = &entry.payload {
            self.members = members.clone();
            self.members_index = entry.index;
        }
        self.durability.pending.entries.push(entry.clone());
        self.log.append(entry);
    }

    /// Advances the commit index to `index` and outputs the newly committed entries.
    fn commit_to(&mut self, index: u64) {
        let end = index.min(self.log.last().index);
        while self.commit < end {
            let next = self.commit + 1;
            let Some(entry) = self.log.get(next) else {
                break;
            };
            let entry = entry.clone();
            self.commit = next;
            self.outputs.push(Output::Apply { index: next, entry });
        }
        self.answer_waiting_reads();
    }

    fn reset_election_deadline(&mut self) {
        let wait = self
            .rng
            .random_range(ELECTION_TIMEOUT_MIN.0..ELECTION_TIMEOUT_MAX.0);
        self.election_deadline = self.now.after(Millis(wait));
    }

    fn message(&self, to: Option<Incarnation>, body: Body) -> Message {
        Message {
            group: self.members.group,
            incarnation: self.local.incarnation,
            to,
            term: self.hard_state.term,
            body,
        }
    }

    /// Sends a message that does not depend on unsynced writes.
    fn send(&mut self, to: DaemonId, body: Body) {
        let incarnation = self.members.members.get(&to).map(|m| m.incarnation);
        let message = self.message(incarnation, body);
        self.outputs.push(Output::Send { to, message });
    }

    /// Sends a message that does not depend on unsynced writes to a peer on its given disk.
    fn send_to_peer(&mut self, peer: Peer, body: Body) {
        let message = self.message(Some(peer.incarnation), body);
        let to = peer.id;
        self.outputs.push(Output::Send { to, message });
    }

    /// Sends a message once all writes issued up to the end of this step are synced.
    fn send_after_sync(&mut self, peer: Peer, body: Body) {
        if self.has_fault(Fault::AcknowledgeBeforeSync) {
            self.send_to_peer(peer, body);
            return;
        }
        let message = self.message(Some(peer.incarnation), body);
        self.durability.outgoing.push((peer.id, message));
    }

    fn finish(&mut self) -> Vec<Output> {
        let mut outputs = std::mem::take(&mut self.outputs);
        self.durability.finish(self.log.last().index, &mut outputs);
        let current = (
            self.replica_state(),
            self.hard_state.term,
            self.leader.clone(),
        );
        if self.reported_leadership != current {
            self.reported_leadership = current.clone();
            let (state, term, leader) = current;
            outputs.push(Output::LeadershipChanged {
                state,
                term,
                leader,
            });
        }
        if self.reported_members != self.members {
            self.reported_members = self.members.clone();
            outputs.push(Output::MembersChanged(self.members.clone()));
        }
        outputs
    }
}

fn sorted(mut ids: Vec<DaemonId>) -> Vec<DaemonId> {
    ids.sort();
    ids.dedup();
    ids
}

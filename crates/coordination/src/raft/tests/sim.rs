//! Simulation of a group of replicas on a virtual clock, with faults of links, disks and processes.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use sycamoreflow_state::ids::{ConfigVersion, DaemonId, Millis, RequestId};

use super::disk::{Disk, Operation};
use super::oracle::Oracle;
use crate::machine::{Command, ControlState};
use crate::raft::faults::Fault;
use crate::raft::message::{Body, Message};
use crate::raft::{
    Input, Output, Payload, Peer, Raft, Refusal, ReplicaState, SharedEntry, TICK_MS, Token, Write,
};

const STEP_MS: u64 = 5;
/// Delay after which a replica opens its storage again after it failed, as in the daemon.
const REOPEN_MS: u64 = 1_000;
/// Number of applied entries between two snapshots.
const SNAPSHOT_EVERY: u64 = 7;

/// A proposal that a replica has accepted. It is acknowledged when its entry is applied.
struct Accepted {
    term: u64,
    request: usize,
}

pub(super) struct Node {
    pub(super) id: DaemonId,
    pub(super) disk: Disk,
    pub(super) raft: Option<Raft>,
    pub(super) machine: ControlState,
    accepted: BTreeMap<u64, Accepted>,
    paused_until: Millis,
    next_tick: Millis,
    saved: u64,
    /// Until this time the disk is full: the first write stops the replica, which then opens its
    /// storage again every [`REOPEN_MS`].
    full_until: Millis,
    /// When a replica whose storage has failed opens it again.
    reopens_at: Option<Millis>,
}

/// An approval request of an operator.
pub(super) struct Request {
    pub(super) id: RequestId,
    pub(super) base: ConfigVersion,
    pub(super) answers: String,
    pub(super) done: bool,
    pub(super) sent: Millis,
}

/// Faults that the links apply to messages.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct LinkFaults {
    pub(super) drop_percent: u32,
    pub(super) repeat_percent: u32,
    pub(super) max_delay_ms: u64,
}

pub(super) struct Sim {
    pub(super) now: Millis,
    pub(super) nodes: Vec<Node>,
    pub(super) oracle: Oracle,
    pub(super) link_faults: LinkFaults,
    /// Links that drop all messages, as pairs of sender and receiver.
    pub(super) blocked_links: BTreeSet<(usize, usize)>,
    pub(super) requests: Vec<Request>,
    pub(super) resend: bool,
    pub(super) reads_done: usize,
    pub(super) last_refusal: Option<Refusal>,
    pub(super) installed: usize,
    pub(super) max_sync_ms: u64,
    /// Whether [`Event::ReplaceDisk`](super::events::Event::ReplaceDisk) removes a member instead
    /// of replacing its disk.
    pub(super) remove_members: bool,
    /// If set, entries after this index are removed from all messages.
    pub(super) last_sent: Option<u64>,
    network: BTreeMap<(Millis, u64), (usize, usize, Message)>,
    pub(super) sequence: u64,
    next_incarnation: u64,
    pub(super) proposals: BTreeMap<Token, usize>,
    pub(super) reads: BTreeMap<Token, u64>,
    fault: Option<Fault>,
    pub(super) rng: ChaCha8Rng,
}

impl Sim {
    pub(super) fn new(size: usize, seed: u64, fault: Option<Fault>) -> Self {
        let mut sim = Self {
            now: Millis(1_000_000),
            nodes: Vec::new(),
            oracle: Oracle::default(),
            link_faults: LinkFaults::default(),
            blocked_links: BTreeSet::new(),
            requests: Vec::new(),
            resend: true,
            reads_done: 0,
            last_refusal: None,
            installed: 0,
            max_sync_ms: 30,
            remove_members: false,
            last_sent: None,
            network: BTreeMap::new(),
            sequence: 0,
            next_incarnation: 1000,
            proposals: BTreeMap::new(),
            reads: BTreeMap::new(),
            fault,
            rng: ChaCha8Rng::seed_from_u64(seed),
        };
        for index in 0..size {
            sim.add_node(index);
        }
        for index in 0..size {
            sim.start(index);
        }
        sim
    }

    /// Starts a group and waits until it has a leader and all replicas belong to it.
    pub(super) fn bootstrapped(size: usize, seed: u64, fault: Option<Fault>) -> Self {
        let mut sim = Self::new(size, seed, fault);
        sim.run_until(20_000, |sim| {
            let formed = |node: &Node| node.replica_state() != ReplicaState::Unformed;
            sim.leader().is_some() && sim.nodes.iter().all(formed)
        });
        assert!(sim.leader().is_some(), "no group was bootstrapped");
        sim
    }

    fn add_node(&mut self, index: usize) {
        let disk = self.new_disk();
        self.nodes.push(Node {
            id: node_id(index),
            disk,
            raft: None,
            machine: ControlState::default(),
            accepted: BTreeMap::new(),
            paused_until: Millis(0),
            next_tick: Millis(0),
            saved: 0,
            full_until: Millis(0),
            reopens_at: None,
        });
    }

    /// Adds and starts a process with an empty disk that the settings of the others do not name.
    /// Returns its index.
    pub(super) fn add_unadmitted(&mut self) -> usize {
        let index = self.nodes.len();
        self.add_node(index);
        self.start(index);
        index
    }

    fn new_disk(&mut self) -> Disk {
        self.next_incarnation += 1;
        Disk::new(self.next_incarnation)
    }

    pub(super) fn start(&mut self, index: usize) {
        if self.nodes[index].raft.is_some() {
            return;
        }
        let initial = (0..self.nodes.len()).map(node_id).collect();
        let seed = self.rng.random();
        let node = &mut self.nodes[index];
        let state = node.disk.state();
        node.machine = ControlState::default();
        if let Some(snapshot) = &state.snapshot {
            node.machine = ControlState::decode(&snapshot.data).unwrap();
        }
        node.saved = node.machine.applied();
        let hard_state = node.disk.hard_state.clone();
        let mut raft = Raft::new(node.id.clone(), initial, hard_state, state, seed, self.now);
        raft.faults.on = self.fault;
        node.raft = Some(raft);
        node.next_tick = self.now;
    }

    /// Crashes a process. Of its unsynced operations, the first `parts` parts survive.
    pub(super) fn crash(&mut self, index: usize, parts: usize) {
        let node = &mut self.nodes[index];
        if node.raft.take().is_some() {
            node.disk.crash(parts);
        }
        node.accepted.clear();
        node.paused_until = Millis(0);
    }

    /// Replaces a disk by an empty one. Returns false and does nothing if more than a minority of
    /// the disks would then not be admitted as voters.
    pub(super) fn replace_disk(&mut self, index: usize) -> bool {
        let rebuilding = |other: &usize| {
            let other = &self.nodes[*other];
            *other.id.as_str() != *self.nodes[index].id.as_str() && !self.is_voter(other)
        };
        let lost = (0..self.nodes.len()).filter(rebuilding).count() + 1;
        if lost > (self.nodes.len() - 1) / 2 {
            return false;
        }
        self.swap_disk(index, None);
        true
    }

    /// Crashes a process and restarts it on another disk, by default an empty one. Returns the old
    /// disk.
    pub(super) fn swap_disk(&mut self, index: usize, disk: Option<Disk>) -> Disk {
        self.crash(index, 0);
        let disk = disk.unwrap_or_else(|| self.new_disk());
        let old = std::mem::replace(&mut self.nodes[index].disk, disk);
        self.start(index);
        old
    }

    /// Returns whether the replica on its current disk is a voter in the committed membership.
    pub(super) fn is_voter(&self, node: &Node) -> bool {
        self.oracle.members.is_voter(&Peer {
            id: node.id.clone(),
            incarnation: node.disk.hard_state.incarnation,
        })
    }

    pub(super) fn pause(&mut self, index: usize, ms: u64) {
        self.nodes[index].paused_until = self.now.after(Millis(ms));
    }

    pub(super) fn isolate(&mut self, index: usize) {
        for other in 0..self.nodes.len() {
            self.blocked_links.insert((index, other));
            self.blocked_links.insert((other, index));
        }
    }

    pub(super) fn leader(&self) -> Option<usize> {
        let leads = |node: &&Node| node.replica_state() == ReplicaState::Leader;
        let terms = self.nodes.iter().filter(leads);
        let latest = terms.max_by_key(|node| node.raft.as_ref().map(Raft::term))?;
        self.nodes.iter().position(|node| node.id == latest.id)
    }

    pub(super) fn run(&mut self, ms: u64) {
        self.run_until(ms, |_| false);
    }

    /// Advances the clock until `done` holds or `ms` have passed. Returns whether `done` holds.
    pub(super) fn run_until(&mut self, ms: u64, done: impl Fn(&Self) -> bool) -> bool {
        let end = self.now.after(Millis(ms));
        while self.now < end && self.oracle.violation.is_none() {
            if done(self) {
                return true;
            }
            self.now = self.now.after(Millis(STEP_MS));
            self.step();
        }
        done(self)
    }

    fn step(&mut self) {
        for index in 0..self.nodes.len() {
            if self.now < self.nodes[index].paused_until {
                continue;
            }
            if self.nodes[index]
                .reopens_at
                .is_some_and(|at| at <= self.now)
            {
                self.nodes[index].reopens_at = None;
                self.start(index);
            }
            self.finish_operations(index);
            if self.now >= self.nodes[index].next_tick {
                self.nodes[index].next_tick = self.now.after(Millis(TICK_MS));
                self.input(index, Input::Tick);
            }
        }
        let later = self.network.split_off(&(self.now.after(Millis(1)), 0));
        let due = std::mem::replace(&mut self.network, later);
        for (key, (from, to, message)) in due {
            if self.now < self.nodes[to].paused_until {
                let at = self.nodes[to].paused_until;
                self.network.insert((at, key.1), (from, to, message));
                continue;
            }
            let from = self.nodes[from].id.clone();
            self.input(to, Input::Message { from, message });
        }
        if self.resend {
            self.resend_requests();
        }
    }

    fn finish_operations(&mut self, index: usize) {
        while let Some(operation) = self.nodes[index].disk.next_done(self.now) {
            let input = match operation {
                Operation::Write(write) => Input::Synced { seq: write.seq },
                Operation::Save(snapshot) => Input::SnapshotSaved(snapshot),
            };
            self.input(index, input);
        }
    }

    pub(super) fn input(&mut self, index: usize, input: Input) {
        let Some(raft) = &mut self.nodes[index].raft else {
            return;
        };
        for output in raft.step(self.now, input) {
            // A failed write stops the replica, so it takes no further action.
            if self.nodes[index].raft.is_none() {
                return;
            }
            self.output(index, output);
        }
        self.save_snapshot(index);
    }

    fn output(&mut self, index: usize, output: Output) {
        match output {
            Output::Write(write) => self.write(index, write),
            Output::Send { to, message } => self.send(index, &to, message),
            Output::Apply { index: at, entry } => self.apply(index, at, &entry),
            Output::InstallSnapshot(snapshot) => {
                let node = &mut self.nodes[index];
                node.machine = ControlState::decode(&snapshot.data).unwrap();
                node.saved = snapshot.index;
                self.installed += 1;
            }
            Output::ReadReady { token, index: at } => self.check_read(index, token, at),
            Output::ProposalAccepted {
                token,
                index: at,
                term,
            } => {
                if let Some(request) = self.proposals.remove(&token) {
                    let accepted = Accepted { term, request };
                    self.nodes[index].accepted.insert(at, accepted);
                }
            }
            Output::ProposalRejected {
                token,
                refusal,
                leader,
            } => {
                self.last_refusal = Some(refusal);
                let request = self.proposals.remove(&token);
                let leader = leader.and_then(|id| self.position(&id));
                if let Some((request, leader)) = request.zip(leader).filter(|(_, at)| *at != index)
                {
                    self.submit(request, leader);
                }
            }
            Output::LeadershipChanged { state, term, .. } => {
                if state == ReplicaState::Leader {
                    let node = &self.nodes[index];
                    let peer = Peer {
                        id: node.id.clone(),
                        incarnation: node.disk.hard_state.incarnation,
                    };
                    self.oracle.on_leader(term, &peer);
                }
            }
            Output::ReadRefused { token, .. } => {
                self.reads.remove(&token);
            }
            Output::MembersChanged(_) => {}
        }
    }

    /// Fills a disk for `ms`.
    pub(super) fn fill_disk(&mut self, index: usize, ms: u64) {
        self.nodes[index].full_until = self.now.after(Millis(ms));
    }

    fn write(&mut self, index: usize, write: Write) {
        if self.now < self.nodes[index].full_until {
            self.nodes[index]
                .disk
                .submit(self.now, Operation::Write(write));
            let parts = self.rng.random_range(0..4);
            self.crash(index, parts);
            self.nodes[index].reopens_at = Some(self.now.after(Millis(REOPEN_MS)));
            return;
        }
        let wait = self.rng.random_range(1..=self.max_sync_ms);
        let due = self.now.after(Millis(wait));
        self.nodes[index].disk.submit(due, Operation::Write(write));
    }

    /// Drops all messages in transit.
    pub(super) fn clear_network(&mut self) {
        self.network.clear();
    }

    fn send(&mut self, from: usize, to: &DaemonId, mut message: Message) {
        if let (Some(last), Body::Append { entries, .. }) = (self.last_sent, &mut message.body) {
            entries.retain(|entry| entry.index <= last);
        }
        let Some(to) = self.position(to) else {
            return;
        };
        if self.blocked_links.contains(&(from, to)) || self.chance(self.link_faults.drop_percent) {
            return;
        }
        let copies = 1 + usize::from(self.chance(self.link_faults.repeat_percent));
        for _ in 0..copies {
            let delay = self
                .rng
                .random_range(1..=self.link_faults.max_delay_ms.max(2));
            self.sequence += 1;
            let key = (self.now.after(Millis(delay)), self.sequence);
            self.network.insert(key, (from, to, message.clone()));
        }
    }

    fn chance(&mut self, percent: u32) -> bool {
        self.rng.random_range(0..100) < percent
    }

    pub(super) fn position(&self, id: &DaemonId) -> Option<usize> {
        self.nodes.iter().position(|node| node.id == *id)
    }

    fn apply(&mut self, index: usize, at: u64, entry: &SharedEntry) {
        self.oracle.on_apply(entry);
        let node = &mut self.nodes[index];
        if node.machine.applied() + 1 != at {
            let text = format!("{} applied {at} after {}", node.id, node.machine.applied());
            self.oracle.report(text);
            return;
        }
        let accepted = node.accepted.remove(&at);
        let Payload::Data(data) = &entry.payload else {
            node.machine.advance_applied(at);
            return;
        };
        let outcome = node.machine.apply(at, &Command::decode(data).unwrap());
        let Some(accepted) = accepted.filter(|accepted| accepted.term == entry.term) else {
            return;
        };
        let request = &mut self.requests[accepted.request];
        request.done = true;
        self.oracle
            .on_acknowledged(&request.id, request.base, at, outcome);
    }

    fn save_snapshot(&mut self, index: usize) {
        let node = &mut self.nodes[index];
        let applied = node.machine.applied();
        if applied < node.saved + SNAPSHOT_EVERY {
            return;
        }
        let Some(raft) = &node.raft else {
            return;
        };
        let data = node.machine.encode().unwrap();
        node.saved = applied;
        if let Some(snapshot) = raft.snapshot_at(applied, data) {
            let due = self.now.after(Millis(20));
            node.disk.submit(due, Operation::Save(Arc::new(snapshot)));
        }
    }

    fn check_read(&mut self, index: usize, token: Token, at: u64) {
        let Some(floor) = self.reads.remove(&token) else {
            return;
        };
        self.reads_done += 1;
        let node = &self.nodes[index];
        let applied = node.machine.applied();
        if applied < floor || applied < at {
            let text = format!("a read at {} saw {applied}, not {floor}", node.id);
            self.oracle.report(text);
        }
    }
}

impl Node {
    pub(super) fn replica_state(&self) -> ReplicaState {
        self.raft
            .as_ref()
            .map_or(ReplicaState::Unformed, Raft::replica_state)
    }
}

pub(super) fn node_id(index: usize) -> DaemonId {
    format!("n{index}").into()
}

//! Bootstrapping a group, and discovery between members and replicas that are not members.
//!
//! A replica with an empty disk cannot know whether its group exists, so it probes all replicas in
//! its settings. Only if each of them answers that its log is empty too does the replica with the
//! lowest id bootstrap the group, among those that may do so: one that has restarted before the
//! group was formed may not. If a group exists, a member answers that its log is not empty, and the
//! leader re-admits the probing replica.

use std::sync::Arc;

use sycamoreflow_state::ids::{DaemonId, Millis};

use super::Raft;
use super::message::Body;
use super::types::{Entry, GroupId, Incarnation, Member, Membership, Output, Payload, Peer, Role};

/// Interval between two rounds of probes.
const PROBE_INTERVAL: Millis = Millis(500);
/// Time for which a probe answer counts towards bootstrapping a group.
const PROBE_ANSWER_TTL: Millis = Millis(2000);
/// Time without contact to a leader after which a member probes, to be admitted again.
const NO_LEADER_TIMEOUT: Millis = Millis(3000);

/// A replica in the settings that has answered that its log is empty.
#[derive(Clone, Copy, Debug)]
pub(super) struct EmptyPeer {
    incarnation: Incarnation,
    answered: Millis,
    may_bootstrap: bool,
}

impl Raft {
    /// Probes the other known replicas while this replica belongs to no group or has no leader.
    pub(super) fn probe(&mut self) {
        // A replica on a disk that was replaced in the membership still considers itself a member,
        // but no leader sends messages to this disk.
        let has_leader =
            self.leader.is_some() || self.time_since_leader_contact() < NO_LEADER_TIMEOUT;
        let initialized = self.members.group != GroupId::NONE;
        if (initialized && has_leader) || self.now < self.next_probe {
            return;
        }
        self.next_probe = self.now.after(PROBE_INTERVAL);
        self.try_bootstrap();
        let members = self.members.members.keys();
        let mut known: Vec<DaemonId> = members.chain(&self.initial).cloned().collect();
        known.extend(self.contacts.iter().cloned());
        known.sort();
        known.dedup();
        for id in known {
            if id == self.local.id {
                continue;
            }
            let fresh = self.is_uninitialized();
            let message = self.message(None, Body::Probe { fresh });
            self.outputs.push(Output::Send { to: id, message });
        }
    }

    fn is_uninitialized(&self) -> bool {
        self.log.is_empty() && self.members.group == GroupId::NONE
    }

    pub(super) fn on_probe(&mut self, peer: Peer, fresh: bool) {
        self.record_unadmitted(peer.clone());
        if let Some(members) = self.initial_members_for(&peer).filter(|_| fresh) {
            // Sent only after it is synced here. Otherwise a member could join a group whose
            // initial membership the bootstrapping replica loses in a crash.
            self.send_after_sync(peer, Body::Found { members });
            return;
        }
        let body = Body::ProbeAnswer {
            fresh: self.is_uninitialized(),
            initial: self.initial.clone(),
            may_bootstrap: self.may_bootstrap,
            members: self.members.members.keys().cloned().collect(),
        };
        self.send_to_peer(peer, body);
    }

    pub(super) fn on_probe_answer(&mut self, members: Vec<DaemonId>) {
        if self.members.member(&self.local).is_none() {
            self.contacts = members;
        }
        self.try_bootstrap();
    }

    /// Records whether a replica is ready to bootstrap. One with other settings is not, so that
    /// replicas whose settings differ never bootstrap a group together.
    pub(super) fn record_probe_answer(
        &mut self,
        peer: &Peer,
        fresh: bool,
        initial: Vec<DaemonId>,
        may_bootstrap: bool,
    ) {
        if fresh && initial == self.initial && initial.contains(&peer.id) {
            let answer = EmptyPeer {
                incarnation: peer.incarnation,
                answered: self.now,
                may_bootstrap,
            };
            self.empty_peers.insert(peer.id.clone(), answer);
            return;
        }
        self.empty_peers.remove(&peer.id);
    }

    fn try_bootstrap(&mut self) {
        if !self.may_bootstrap || !self.is_uninitialized() {
            return;
        }
        let mut members = Membership {
            group: GroupId(self.local.incarnation.0),
            ..Membership::default()
        };
        for id in &self.initial {
            let answer = self.empty_peers.get(id);
            let valid = answer.filter(|a| self.now.since(a.answered) < PROBE_ANSWER_TTL);
            let incarnation = match valid {
                _ if *id == self.local.id => self.local.incarnation,
                // That replica bootstraps the group.
                Some(answer) if answer.may_bootstrap && *id < self.local.id => return,
                Some(answer) => answer.incarnation,
                None => return,
            };
            let role = Role::Voter;
            members
                .members
                .insert(id.clone(), Member { incarnation, role });
        }
        self.bootstrap(members);
    }

    /// Returns the initial membership of the group, if it is still in the log and contains
    /// `peer`.
    fn initial_members_for(&self, peer: &Peer) -> Option<Membership> {
        match &self.log.get(1)?.payload {
            Payload::Members(members) => members.member(peer).map(|_| members.clone()),
            _ => None,
        }
    }

    pub(super) fn on_found(&mut self, members: Membership) {
        if self.is_uninitialized() && members.member(&self.local).is_some() {
            self.bootstrap(members);
        }
    }

    /// Starts the log with the initial membership. The entry is identical on every member and is
    /// therefore committed as soon as it is on this disk. If it is lost before, another replica may
    /// bootstrap the group with another entry.
    fn bootstrap(&mut self, members: Membership) {
        if self.hard_state.term == 0 {
            self.hard_state.term = 1;
            self.persist_hard_state();
        }
        self.append_entry(Arc::new(Entry {
            index: 1,
            term: 1,
            payload: Payload::Members(members),
        }));
        self.reset_election_deadline();
    }

    /// Commits the initial membership once it is on disk.
    pub(super) fn commit_bootstrap(&mut self) {
        if self.commit == 0 && self.durability.durable_index() >= 1 {
            self.commit_to(1);
        }
    }
}

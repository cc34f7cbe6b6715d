//! What a replica does as the leader, and for it: publications, grants, admissions, the messages of
//! subscribers, and their dismissal without a leader.

use std::sync::Arc;

use sycamoreflow_coordination::open_group;
use sycamoreflow_coordination::raft::{Input, MemberChange, ReplicaState};
use sycamoreflow_coordination::shares::Grant;
use sycamoreflow_coordination::suspect::SuspectReport;
use sycamoreflow_protocol::replica::{Forwarded, ReplicaMessage};
use sycamoreflow_state::ids::{DaemonId, Millis};
use sycamoreflow_state::view::View;

use super::event::Waiter;
use super::{Replica, StorageResult};
use crate::clock;
use crate::control::hub::SessionCommand;
use crate::control::leader::Leader;

/// How often the leader looks for replicas that it has to admit.
const ADMISSION_INTERVAL: Millis = Millis(1_000);

/// The same for a group found by seeds, where a lost voter has to be replaced soon.
const OPEN_ADMISSION_INTERVAL: Millis = Millis(250);

/// How long a replica may know no leader before its subscribers are sent away. Most elections after a
/// lost leader take less, and must not cause a herd of reconnects. In a cut, a leader without a quorum
/// steps down after 1.5 s, and 3 s after the cut all daemons are to be up to date.
const NO_LEADER_TIMEOUT: Millis = Millis(600);

/// Messages that wait for the next tick at most.
const MAX_OUTBOX: usize = 64;

impl Replica {
    /// Admits a replica of the settings that is no member yet: as a voter if the settings say so,
    /// else to serve subscribers. Only one change of members can be under way, and the log refuses
    /// replicas that have not contacted this leader.
    pub(super) fn admit_replica(&mut self, now: Millis) -> StorageResult {
        if now < self.next_admission {
            return Ok(());
        }
        if let Some(wanted_voters) = self.group.wanted_voters {
            self.next_admission = now.after(OPEN_ADMISSION_INTERVAL);
            return self.adjust_members(wanted_voters);
        }
        self.next_admission = now.after(ADMISSION_INTERVAL);
        let members = &self.raft.members().members;
        let mut replicas = self.group.replicas.iter();
        let Some(id) = replicas.find(|id| !members.contains_key(*id)).cloned() else {
            return Ok(());
        };
        // Another one is tried next time if this one has not been started.
        self.group.replicas.rotate_left(1);
        let change = MemberChange::AddLearner {
            promote: self.group.voters.contains(&id),
            id,
        };
        let token = self.register_waiter(Waiter::Nobody);
        self.step(Input::ChangeMembers { token, change })
    }

    /// Changes the members of a group found by seeds, if needed.
    fn adjust_members(&mut self, wanted_voters: usize) -> StorageResult {
        let replicas = self.raft.replicas();
        let applicants = self.raft.recent_non_members();
        let Some(change) = open_group::next_change(&replicas, &applicants, wanted_voters) else {
            return Ok(());
        };
        let token = self.register_waiter(Waiter::Nobody);
        self.step(Input::ChangeMembers { token, change })
    }

    /// Starts to lead once an entry of the own term is applied: then the state contains all that
    /// was accepted before.
    pub(super) fn lead_if_ready(&mut self, entry_term: u64) {
        let is_ready = self.raft_state == ReplicaState::Leader && entry_term == self.term;
        if !is_ready || self.leader.is_some() {
            return;
        }
        let followed_view = self.hub.view();
        let accepted = self.state.version();
        let hinted_endpoints = std::mem::take(&mut self.hinted_endpoints);
        let leader = Leader::new(
            clock::now(),
            self.term,
            &followed_view,
            accepted,
            &hinted_endpoints,
        );
        self.leader = Some(leader);
    }

    pub(super) fn publish(&mut self) {
        let Some(leader) = &mut self.leader else {
            return;
        };
        let view: Option<View> = leader.publication(clock::now(), &self.state);
        if let Some(view) = view {
            self.hub.publish(view);
        }
    }

    pub(super) fn handle_forwarded(&mut self, messages: Vec<Forwarded>) {
        if let Some(leader) = &mut self.leader {
            for message in messages {
                leader.handle_message(clock::now(), clock::unix_now(), message);
            }
            return;
        }
        self.outbox.extend(messages);
        if self.outbox.len() >= MAX_OUTBOX {
            self.forward_outbox();
        }
    }

    /// Sends the collected messages of subscribers to the leader. It gets one message for all that
    /// arrived between two ticks, since each costs it a wake-up, and after a restart hundreds of
    /// subscribers report at once.
    pub(super) fn forward_outbox(&mut self) {
        if self.outbox.is_empty() {
            return;
        }
        let messages = std::mem::take(&mut self.outbox);
        // Without a leader the messages are lost; renewals and reports are repeated.
        if let Some(id) = self.leader_id.as_ref().filter(|id| **id != self.id) {
            self.peers.send(id, &ReplicaMessage::Forward(messages));
        }
    }

    /// Sends subscribers to other replicas once no quorum has been in reach for some time.
    pub(super) fn disconnect_without_quorum(&mut self) {
        let now = clock::now();
        let is_due = now.since(self.last_disconnect) >= NO_LEADER_TIMEOUT;
        if !is_due || !self.hub.has_no_leader_for(NO_LEADER_TIMEOUT) {
            return;
        }
        self.last_disconnect = now;
        self.hub.broadcast(&SessionCommand::NoQuorum);
    }

    pub(super) fn send_grants(&mut self, grants: Vec<(DaemonId, Grant)>) {
        if grants.is_empty() {
            return;
        }
        let undelivered = self.hub.deliver_grants(grants);
        if undelivered.is_empty() {
            return;
        }
        let message = ReplicaMessage::Grants(undelivered);
        self.peers.send_to_all(&message);
    }

    /// Hands a report to all subscribers of the group. It needs no order and no leader, since
    /// merging it is idempotent.
    pub(super) fn broadcast_suspects(&self, report: SuspectReport, from_subscriber: bool) {
        if from_subscriber {
            self.peers
                .send_to_all(&ReplicaMessage::Suspects(report.clone()));
        }
        let command = SessionCommand::Suspects(Arc::new(report));
        self.hub.broadcast(&command);
    }
}

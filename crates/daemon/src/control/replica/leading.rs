//! The tasks of a replica that depend on leadership: as the leader, it publishes views, sends
//! grants and admits replicas; as a follower, it forwards messages from subscribers to the leader,
//! and it disconnects subscribers if there is no leader.

use sycamoreflow_coordination::open_group;
use sycamoreflow_coordination::raft::{Input, MemberChange, ReplicaState};
use sycamoreflow_coordination::shares::Grant;
use sycamoreflow_protocol::replica::{Forwarded, ReplicaMessage, ToLeader};
use sycamoreflow_state::ids::{DaemonId, Millis};
use sycamoreflow_state::view::View;

use super::event::Waiter;
use super::{Replica, StorageResult};
use crate::clock;
use crate::control::hub::SessionCommand;
use crate::control::leader::Leader;
use crate::control::quotas::LeaderQuotas;

/// Interval at which the leader checks for replicas to admit.
const ADMISSION_INTERVAL: Millis = Millis(1_000);

/// The same interval for a group that is discovered through seeds, where a lost voter has to be
/// replaced quickly.
const OPEN_ADMISSION_INTERVAL: Millis = Millis(250);

/// How long a replica may know no leader before it disconnects its subscribers. Most elections
/// after the loss of a leader are shorter and must not make all subscribers reconnect at once. In a
/// network partition, a leader without a quorum steps down after 1.5 s, and all daemons must be up
/// to date 3 s after the partition began.
const NO_LEADER_TIMEOUT: Millis = Millis(600);

/// Number of collected messages that are forwarded without waiting for the next tick.
const MAX_OUTBOX: usize = 64;

impl Replica {
    /// Adds one replica from the settings that is not a member yet: as a learner that becomes a
    /// voter if the settings say so, otherwise as a permanent learner that serves subscribers. Only
    /// one membership change can be in progress, and Raft refuses replicas that have not contacted
    /// this leader.
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
        // The next attempt tries another replica, in case this one is not running.
        self.group.replicas.rotate_left(1);
        let change = MemberChange::AddLearner {
            promote: self.group.voters.contains(&id),
            id,
        };
        let token = self.register_waiter(Waiter::Nobody);
        self.step(Input::ChangeMembers { token, change })
    }

    /// Proposes the next membership change that a group discovered through seeds needs, if any.
    fn adjust_members(&mut self, wanted_voters: usize) -> StorageResult {
        let replicas = self.raft.replicas();
        let applicants = self.raft.recent_non_members();
        let Some(change) = open_group::next_change(&replicas, &applicants, wanted_voters) else {
            return Ok(());
        };
        let token = self.register_waiter(Waiter::Nobody);
        self.step(Input::ChangeMembers { token, change })
    }

    /// Creates the leader state once an entry of the current term is applied. From then on the
    /// state machine contains everything that was accepted in earlier terms.
    pub(super) fn lead_if_ready(&mut self, entry_term: u64) {
        let is_ready = self.raft_state == ReplicaState::Leader && entry_term == self.term;
        if !is_ready || self.leader.is_some() {
            return;
        }
        let followed_view = self.hub.view();
        let leader = Leader::new(
            clock::now(),
            clock::unix_now(),
            self.term,
            &followed_view,
            &self.state,
            &self.hinted_endpoints,
        );
        let leases = leader.leases();
        tracing::info!(
            event = "leading",
            term = self.term,
            endpoints = leases.endpoints().count(),
            departures = leases
                .departures()
                .map(|(_, of_daemon)| of_daemon.len())
                .sum::<usize>()
        );
        self.leader = Some(leader);
        let tolerance = self.quota_tolerance;
        self.quotas = Some(LeaderQuotas::new(clock::now(), self.term, tolerance));
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

    pub(super) fn handle_forwarded(&mut self, via: Option<&DaemonId>, messages: Vec<Forwarded>) {
        if let Some(leader) = &mut self.leader {
            for message in messages {
                if let ToLeader::Quota(report) = &message.content {
                    if let Some(quotas) = &mut self.quotas {
                        quotas.report(clock::now(), via, &message.daemon, report);
                    }
                    continue;
                }
                leader.handle_message(clock::now(), clock::unix_now(), message);
            }
            return;
        }
        self.outbox.extend(messages);
        if self.outbox.len() >= MAX_OUTBOX {
            self.forward_outbox();
        }
    }

    /// Sends the collected messages from subscribers to the leader. They are batched per tick
    /// because each message to the leader wakes its thread, and after a restart hundreds of
    /// subscribers send messages at once.
    pub(super) fn forward_outbox(&mut self) {
        if self.outbox.is_empty() {
            return;
        }
        let messages = std::mem::take(&mut self.outbox);
        // Without a known leader the messages are dropped; subscribers repeat renewals and reports.
        if let Some(id) = self.leader_id.as_ref().filter(|id| **id != self.id) {
            self.peers.send(id, &ReplicaMessage::Forward(messages));
        }
    }

    /// Disconnects all subscribers if no leader has been known for [`NO_LEADER_TIMEOUT`], so that
    /// they connect to other replicas.
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

    /// Answers the reports on quotas since the last tick. This follows the tick of Raft, so that a
    /// leader that has lost its quorum grants nothing.
    pub(super) fn send_quota_grants(&mut self, now: Millis) {
        let Some(quotas) = &mut self.quotas else {
            return;
        };
        for (via, grants) in quotas.tick(now, &self.state) {
            match via {
                Some(replica) => self
                    .peers
                    .send(&replica, &ReplicaMessage::QuotaGrants(grants)),
                None => self.hub.deliver_quota_grants(grants),
            }
        }
    }
}

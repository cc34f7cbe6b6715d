//! The control replica: one thread that owns the replicated log, the state machine, the storage
//! and, while it leads, the soft state of the leader.
//!
//! It runs on a dedicated thread because it has to sync the disk before it confirms a write or a
//! vote, and a sync must not block the tasks that serve calls.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;
use std::time::{Duration, Instant};

use crossbeam_channel::RecvTimeoutError;
use sycamoreflow_coordination::machine::document::Document;
use sycamoreflow_coordination::machine::{CodecError, Command, ControlState, Outcome};
use sycamoreflow_coordination::quota::Tolerance;
use sycamoreflow_coordination::raft::{
    Input, Membership, Output, Raft, Refusal, ReplicaState, TICK_MS, Token,
};
use sycamoreflow_protocol::replica::{Forwarded, ReplicaMessage};
use sycamoreflow_state::endpoint::Endpoint;
use sycamoreflow_state::ids::{DaemonId, EndpointVersion, Millis, ViewVersion};
use sycamoreflow_transport::storage::{Storage, StorageError};

use crate::clock;
use crate::control::hints::EndpointHints;
use crate::control::hub::{Hub, SessionCommand};
use crate::control::leader::Leader;
use crate::control::peers::Peers;
use crate::control::quotas::LeaderQuotas;

mod apply;
mod backlog;
mod event;
mod leading;
mod queue;

pub use event::{Event, ReadState, Result, Unavailable};
pub use queue::{EventReceiver, EventSender, event_queue};

#[cfg(test)]
mod tests;

use apply::Unapplied;
use backlog::Backlog;
use event::Waiter;

/// Duration of an event from which it is logged. It is the interval of heartbeats, which are sent
/// by the same thread.
const SLOW_STEP: Duration = Duration::from_millis(150);

/// Result of an operation that may write to storage. After an error the replica must stop.
type StorageResult = std::result::Result<(), StorageError>;

/// A proposal that is in the log of this leader but not applied yet.
struct PendingProposal {
    term: u64,
    waiter: Waiter,
}

/// Why [`Replica::run`] returned.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Exit {
    /// The replica received [`Event::Stop`], or all senders of events were dropped.
    Stopped,
    /// The storage failed. The replica must not confirm anything until storage has been reopened.
    StorageFailed,
}

/// A control replica. It processes events in [`run`](Self::run).
pub struct Replica {
    id: DaemonId,
    group: GroupSettings,
    next_admission: Millis,
    raft: Raft,
    storage: Storage,
    state: ControlState,
    hub: Arc<Hub>,
    peers: Arc<Peers>,
    raft_state: ReplicaState,
    term: u64,
    leader_id: Option<DaemonId>,
    /// When subscribers were last disconnected because no leader was known.
    last_disconnect: Millis,
    /// Messages from subscribers to be forwarded to the leader.
    outbox: Vec<Forwarded>,
    leader: Option<Leader>,
    /// The quotas of client accounts, while this replica leads.
    quotas: Option<LeaderQuotas>,
    quota_tolerance: Tolerance,
    waiters: BTreeMap<Token, Waiter>,
    pending_proposals: BTreeMap<u64, PendingProposal>,
    next_token: u64,
    /// Outputs of Raft that the state machine has not processed yet.
    unapplied: VecDeque<Unapplied>,
    /// Documents that were proposed while `unapplied` was not empty.
    delayed: Vec<(Document, Waiter)>,
    backlog: Backlog,
    last_snapshot: u64,
    last_snapshot_bytes: usize,
    hints: EndpointHints,
    /// Endpoints from the copy on disk, for the terms as leader before the first published view.
    hinted_endpoints: Vec<Endpoint>,
}

/// The settings that determine the members of the control group.
#[derive(Clone, Debug)]
pub struct GroupSettings {
    /// All replicas or seeds in the settings, including this one if they name it.
    pub replicas: Vec<DaemonId>,
    /// The replicas that vote. With seeds, the replicas that may bootstrap the group.
    pub voters: Vec<DaemonId>,
    /// Number of voters to maintain in a group that is discovered through seeds. `None` if the
    /// settings name the voters.
    pub wanted_voters: Option<usize>,
    /// Whether this replica may take part in bootstrapping the group.
    pub may_bootstrap: bool,
}

/// The settings and the restored state from which a replica starts.
pub struct ReplicaInit {
    /// Id of this daemon, which is also its id in the Raft group.
    pub id: DaemonId,
    /// Settings of the control group.
    pub group: GroupSettings,
    /// The Raft state, restored from storage.
    pub raft: Raft,
    /// The open storage that persists the log and snapshots.
    pub storage: Storage,
    /// The state machine at the latest snapshot.
    pub state: ControlState,
    /// Log index of the latest snapshot, or 0 if there is none.
    pub snapshot_index: u64,
    /// Size in bytes of the latest snapshot, or 0 if there is none.
    pub snapshot_bytes: usize,
    /// The copy of the endpoint table on disk.
    pub hints: EndpointHints,
    /// How far accounts may exceed their quotas.
    pub quota_tolerance: Tolerance,
    /// The endpoints that this copy contained at the start.
    pub endpoints: Vec<Endpoint>,
}

impl Replica {
    /// Creates a replica that knows no leader yet. It does nothing until [`run`](Self::run) is
    /// called.
    pub fn new(init: ReplicaInit, hub: Arc<Hub>, peers: Arc<Peers>) -> Self {
        Self {
            id: init.id,
            group: init.group,
            next_admission: Millis::default(),
            raft: init.raft,
            storage: init.storage,
            state: init.state,
            hub,
            peers,
            raft_state: ReplicaState::Unformed,
            term: 0,
            leader_id: None,
            last_disconnect: Millis::default(),
            outbox: Vec::new(),
            leader: None,
            quotas: None,
            quota_tolerance: init.quota_tolerance,
            waiters: BTreeMap::new(),
            pending_proposals: BTreeMap::new(),
            next_token: 1,
            unapplied: VecDeque::new(),
            delayed: Vec::new(),
            backlog: Backlog::new(),
            last_snapshot: init.snapshot_index,
            last_snapshot_bytes: init.snapshot_bytes,
            hints: init.hints,
            hinted_endpoints: init.endpoints,
        }
    }

    /// Processes events until the replica is told to stop or its storage fails. Blocks the current
    /// thread.
    pub fn run(mut self, events: &EventReceiver) -> Exit {
        let tick = Duration::from_millis(TICK_MS);
        let mut next_tick = Instant::now();
        loop {
            let wait = match self.unapplied.is_empty() {
                true => next_tick.saturating_duration_since(Instant::now()),
                false => Duration::ZERO,
            };
            let Ok(batch) = events.next_batch(wait) else {
                return Exit::Stopped;
            };
            let started = Instant::now();
            let applied = self.state.applied();
            let is_tick_due = started >= next_tick;
            if is_tick_due {
                next_tick = started + tick;
            }
            self.backlog.record(&batch, events.has_backlog());
            let stops = batch.iter().any(|event| matches!(event, Event::Stop));
            let result = self.process(batch, is_tick_due);
            self.log_slow_step(started, applied);
            if stops {
                return Exit::Stopped;
            }
            if let Err(error) = result {
                metrics::counter!("sycamoreflow_storage_failures_total").increment(1);
                tracing::error!(event = "storage", usable = false, %error);
                self.hub.broadcast(&SessionCommand::NoQuorum);
                self.fail_proposals();
                for (_, waiter) in std::mem::take(&mut self.waiters) {
                    waiter.refuse(Unavailable::default());
                }
                return Exit::StorageFailed;
            }
        }
    }

    /// Logs an event that took so long that the other replicas may have missed a heartbeat.
    /// `applied` is the index of the last entry that was applied before it.
    fn log_slow_step(&self, started: Instant, applied: u64) {
        let elapsed = started.elapsed();
        if elapsed < SLOW_STEP {
            return;
        }
        metrics::counter!("sycamoreflow_replica_slow_steps_total").increment(1);
        let entries = self.state.applied().saturating_sub(applied);
        tracing::warn!(event = "slow_step", ms = elapsed.as_millis() as u64, entries,
            standing = ?self.raft_state);
    }

    /// Returns the replicated state as of the last applied entry.
    pub fn state(&self) -> &ControlState {
        &self.state
    }

    /// Returns the soft state of the leader, if this replica leads.
    pub fn leader(&self) -> Option<&Leader> {
        self.leader.as_ref()
    }

    /// Returns the id of the leader, if it is known. It may be this replica.
    pub fn leader_id(&self) -> Option<&DaemonId> {
        self.leader_id.as_ref()
    }

    /// Returns the Raft state.
    pub fn raft(&self) -> &Raft {
        &self.raft
    }

    /// Handles events, then a tick if one is due, and applies a slice of the committed entries.
    fn process(&mut self, batch: Vec<Event>, is_tick_due: bool) -> StorageResult {
        for event in batch {
            self.handle(event)?;
        }
        if is_tick_due {
            self.tick()?;
        }
        self.apply_slice()
    }

    fn handle(&mut self, event: Event) -> StorageResult {
        match event {
            Event::Raft { from, message } => {
                let message = *message;
                self.step(Input::Message { from, message })
            }
            Event::Forwarded { via, messages } => {
                self.handle_forwarded(via.as_ref(), messages);
                Ok(())
            }
            Event::QuotaGrants(grants) => {
                self.hub.deliver_quota_grants(grants);
                Ok(())
            }
            Event::Grants(grants) => {
                self.hub.deliver_grants(grants);
                Ok(())
            }
            Event::ConfirmVersion(tx) => self.read_index(Waiter::ConfirmedVersion(tx)),
            Event::Read(read) => self.read_index(Waiter::Read(read)),
            Event::Propose(command, tx) => self.propose(&command, Waiter::Outcome(tx)),
            Event::Replace(document, tx) => self.replace(*document, Waiter::Outcome(tx)),
            Event::SetContacts(contacts) => {
                self.raft.set_contacts(contacts);
                Ok(())
            }
            Event::ChangeMembers(change, tx) => {
                let token = self.register_waiter(Waiter::Members(tx));
                self.step(Input::ChangeMembers { token, change })
            }
            Event::TransferLeadership => self.step(Input::TransferLeadership),
            Event::Stop => Ok(()),
        }
    }

    fn tick(&mut self) -> StorageResult {
        self.step(Input::Tick)?;
        self.disconnect_without_quorum();
        self.forward_outbox();
        let now = clock::now();
        let view = self.hub.view();
        if !view.is_empty() {
            self.hints.save_if_due(now, &view);
        }
        let unix_now = clock::unix_now();
        let Some(leader) = &mut self.leader else {
            return Ok(());
        };
        leader.tick(now, &self.state);
        let mut commands = leader.next_commands(now, unix_now, &self.state);
        commands.extend(leader.departure_command(now, unix_now));
        let grants = leader.grants(unix_now);
        self.send_grants(grants);
        self.send_quota_grants(now);
        for command in commands {
            self.propose(&command, Waiter::Nobody)?;
        }
        self.publish();
        self.admit_replica(now)
    }

    fn step(&mut self, input: Input) -> StorageResult {
        let outputs = self.raft.step(clock::now(), input);
        self.execute(outputs)
    }

    fn execute(&mut self, outputs: Vec<Output>) -> StorageResult {
        let mut last_write = None;
        for output in outputs {
            match output {
                Output::Write(write) => {
                    self.storage.execute(std::slice::from_ref(&write))?;
                    last_write = Some(write.seq);
                }
                Output::Send { to, message } => {
                    self.peers
                        .send(&to, &ReplicaMessage::Raft(Box::new(message)));
                }
                Output::Apply { index, entry } => {
                    self.unapplied.push_back(Unapplied::Entry(index, entry));
                }
                Output::InstallSnapshot(snapshot) => {
                    self.unapplied.push_back(Unapplied::Snapshot(snapshot));
                }
                Output::ReadReady { token, .. } => {
                    self.unapplied.push_back(Unapplied::Read(token));
                }
                Output::ReadRefused {
                    token,
                    refusal,
                    leader,
                }
                | Output::ProposalRejected {
                    token,
                    refusal,
                    leader,
                } => self.refuse(token, refusal, leader),
                Output::ProposalAccepted { token, index, term } => {
                    if let Some(waiter) = self.waiters.remove(&token) {
                        self.pending_proposals
                            .insert(index, PendingProposal { term, waiter });
                    }
                }
                Output::LeadershipChanged {
                    state,
                    term,
                    leader,
                } => self.update_leadership(state, term, leader),
                Output::MembersChanged(members) => self.update_members(&members),
            }
        }
        match last_write {
            Some(seq) => self.step(Input::Synced { seq }),
            None => Ok(()),
        }
    }

    /// Completes the proposal at `index`. Proposals up to this index that were overwritten by
    /// entries of another term are refused.
    fn complete_proposals(&mut self, index: u64, term: u64, outcome: &Outcome) {
        let later = self.pending_proposals.split_off(&(index + 1));
        let decided = std::mem::replace(&mut self.pending_proposals, later);
        for (at, proposal) in decided {
            if at == index && proposal.term == term {
                proposal.waiter.complete(outcome);
                continue;
            }
            proposal.waiter.refuse(Unavailable {
                refusal: None,
                leader: self.leader_id.clone(),
            });
        }
    }

    fn update_leadership(&mut self, standing: ReplicaState, term: u64, leader: Option<DaemonId>) {
        let changed = standing != self.raft_state || leader != self.leader_id;
        self.raft_state = standing;
        self.term = term;
        self.leader_id = leader;
        if changed {
            metrics::counter!("sycamoreflow_leadership_changes_total").increment(1);
            let leader = self.leader_id.as_ref().map(DaemonId::as_str);
            tracing::info!(?standing, term, leader, "Raft state changed");
        }
        if standing != ReplicaState::Leader {
            self.leader = None;
            self.quotas = None;
            self.fail_proposals();
        }
        self.peers.set_leader(self.leader_id.clone());
        self.hub.set_leader_known(self.leader_id.is_some());
    }

    /// Refuses the proposals that this replica made as the leader. It does not know whether they
    /// will be committed.
    fn fail_proposals(&mut self) {
        let leader = self.leader_id.clone();
        let proposals = std::mem::take(&mut self.pending_proposals);
        for (_, proposal) in proposals {
            proposal.waiter.refuse(Unavailable {
                refusal: Some(Refusal::NotLeader),
                leader: leader.clone(),
            });
        }
    }

    fn propose(&mut self, command: &Command, waiter: Waiter) -> StorageResult {
        let data = command.encode().map_err(|error| codec_error(&error))?;
        let token = self.register_waiter(waiter);
        self.step(Input::Propose { token, data })
    }

    fn update_members(&mut self, members: &Membership) {
        metrics::counter!("sycamoreflow_member_changes_total").increment(1);
        let ids: Vec<DaemonId> = members.members.keys().cloned().collect();
        let voters: Vec<&str> = members.voters().map(DaemonId::as_str).collect();
        tracing::info!(event = "members", voters = ?voters, members = ids.len());
        let configured = &self.group.replicas;
        self.peers
            .retain(|id| ids.contains(id) || configured.contains(id));
        self.hub.set_members(ids);
    }

    fn read_index(&mut self, waiter: Waiter) -> StorageResult {
        let token = self.register_waiter(waiter);
        self.step(Input::ReadIndex { token })
    }

    fn register_waiter(&mut self, waiter: Waiter) -> Token {
        let token = Token(self.next_token);
        self.next_token += 1;
        self.waiters.insert(token, waiter);
        token
    }

    fn read_ready(&mut self, token: Token) {
        match self.waiters.remove(&token) {
            Some(Waiter::ConfirmedVersion(tx)) => drop(tx.send(Some(self.lowest_version()))),
            Some(Waiter::Read(read)) => read(Ok(self)),
            _ => {}
        }
    }

    /// Returns the lowest version of the views that the present leader publishes.
    fn lowest_version(&self) -> ViewVersion {
        ViewVersion {
            config: self.state.version(),
            endpoints: EndpointVersion::first(self.term),
        }
    }

    fn refuse(&mut self, token: Token, refusal: Refusal, leader: Option<DaemonId>) {
        let Some(waiter) = self.waiters.remove(&token) else {
            return;
        };
        waiter.refuse(Unavailable {
            refusal: Some(refusal),
            leader,
        });
    }
}

/// Refuses all requests for the given time. Returns `false` if the replica has to stop.
pub(super) fn refuse_events_for(events: &EventReceiver, time: Duration) -> bool {
    let end = Instant::now() + time;
    loop {
        let left = end.saturating_duration_since(Instant::now());
        match events.recv_timeout(left) {
            Ok(Event::Stop) | Err(RecvTimeoutError::Disconnected) => return false,
            Ok(event) => event.into_waiter().refuse(Unavailable::default()),
            Err(RecvTimeoutError::Timeout) => return true,
        }
    }
}

fn codec_error(error: &CodecError) -> StorageError {
    StorageError::Encode {
        reason: error.to_string(),
    }
}

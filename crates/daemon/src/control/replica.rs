//! The control replica: one thread that owns the replicated log, the state machine, the storage
//! and, while it leads, the soft state of the leader.
//!
//! It has a thread of its own because every promise waits for a sync of the disk, which must not
//! hold up calls.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::mpsc::{Receiver, RecvTimeoutError};
use std::time::{Duration, Instant};

use sycamoreflow_coordination::machine::document::Document;
use sycamoreflow_coordination::machine::{CodecError, Command, ControlState, Outcome};
use sycamoreflow_coordination::raft::{
    Input, Membership, Output, Payload, Raft, Refusal, ReplicaState, SharedEntry, Snapshot,
    TICK_MS, Token,
};
use sycamoreflow_protocol::replica::{Forwarded, ReplicaMessage};
use sycamoreflow_state::endpoint::Endpoint;
use sycamoreflow_state::ids::{DaemonId, Millis};
use sycamoreflow_transport::storage::{Storage, StorageError};

use crate::clock;
use crate::control::hints::EndpointHints;
use crate::control::hub::{Hub, SessionCommand};
use crate::control::leader::Leader;
use crate::control::peers::Peers;

mod event;
mod leading;

pub use event::{Event, ReadState, Result, Unavailable};

use event::Waiting;

/// Entries after which the state is saved as a snapshot and the log is shortened.
const SNAPSHOT_ENTRIES: u64 = 1_000;

/// Bytes of entries after which the same is done. An approval contains the whole configuration,
/// about 0.4 MB with 880 services.
const SNAPSHOT_BYTES: usize = 8 << 20;

/// Result of a step. After an error the replica takes no further part.
type Stored = std::result::Result<(), StorageError>;

/// A proposal in the log of this leader.
struct Proposed {
    term: u64,
    waiting: Waiting,
}

/// Why a replica has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    /// It was told to stop.
    Stopped,
    /// Its storage has failed, and nothing is promised any more.
    StorageFailed,
}

/// The state of a control replica.
pub struct Replica {
    id: DaemonId,
    group: GroupSettings,
    next_admission: Millis,
    raft: Raft,
    storage: Storage,
    state: ControlState,
    hub: Arc<Hub>,
    peers: Arc<Peers>,
    standing: ReplicaState,
    term: u64,
    leader_id: Option<DaemonId>,
    /// When subscribers were last sent away for lack of a leader.
    dismissed: Millis,
    /// Messages of subscribers for the leader.
    outbox: Vec<Forwarded>,
    leader: Option<Leader>,
    waiting: BTreeMap<Token, Waiting>,
    proposed: BTreeMap<u64, Proposed>,
    next_token: u64,
    last_snapshot: u64,
    hints: EndpointHints,
    /// Endpoints of the copy, until a table has been published or followed.
    hinted: Vec<Endpoint>,
}

/// The replicas in the settings.
#[derive(Clone, Debug)]
pub struct GroupSettings {
    /// All replicas.
    pub replicas: Vec<DaemonId>,
    /// Those that vote, or that found the group if it is found by seeds.
    pub voters: Vec<DaemonId>,
    /// Number of voters that a group found by seeds keeps. `None` if the settings name the voters.
    pub wanted_voters: Option<usize>,
    /// Whether this replica may take part in founding the group.
    pub may_found: bool,
}

/// What a replica starts from.
pub struct Start {
    /// This daemon.
    pub id: DaemonId,
    /// The replicas in the settings.
    pub group: GroupSettings,
    /// The log, restored from storage.
    pub raft: Raft,
    /// The storage.
    pub storage: Storage,
    /// The state of the latest snapshot.
    pub state: ControlState,
    /// Index of the latest snapshot.
    pub snapshot: u64,
    /// The copy of the endpoint table.
    pub hints: EndpointHints,
    /// The endpoints in it.
    pub endpoints: Vec<Endpoint>,
}

impl Replica {
    /// Makes a replica.
    pub fn new(start: Start, hub: Arc<Hub>, peers: Arc<Peers>) -> Self {
        Self {
            id: start.id,
            group: start.group,
            next_admission: Millis::default(),
            raft: start.raft,
            storage: start.storage,
            state: start.state,
            hub,
            peers,
            standing: ReplicaState::Unformed,
            term: 0,
            leader_id: None,
            dismissed: Millis::default(),
            outbox: Vec::new(),
            leader: None,
            waiting: BTreeMap::new(),
            proposed: BTreeMap::new(),
            next_token: 1,
            last_snapshot: start.snapshot,
            hints: start.hints,
            hinted: start.endpoints,
        }
    }

    /// Runs the replica until it is told to stop or its storage fails.
    pub fn run(mut self, events: &Receiver<Event>) -> End {
        let tick = Duration::from_millis(TICK_MS);
        let mut next_tick = Instant::now();
        loop {
            let wait = next_tick.saturating_duration_since(Instant::now());
            let result = match events.recv_timeout(wait) {
                Ok(Event::Stop) | Err(RecvTimeoutError::Disconnected) => return End::Stopped,
                Ok(event) => self.handle(event),
                Err(RecvTimeoutError::Timeout) => {
                    next_tick = Instant::now() + tick;
                    self.tick()
                }
            };
            if let Err(error) = result {
                metrics::counter!("sycamoreflow_storage_failures_total").increment(1);
                tracing::error!(event = "storage", usable = false, %error);
                self.hub.command_all(&SessionCommand::NoQuorum);
                self.fail_waiting();
                for (_, waiting) in std::mem::take(&mut self.waiting) {
                    waiting.refuse(Unavailable::default());
                }
                return End::StorageFailed;
            }
        }
    }

    /// Returns the replicated state.
    pub fn state(&self) -> &ControlState {
        &self.state
    }

    /// Returns the soft state of the leader, if this replica leads.
    pub fn leader(&self) -> Option<&Leader> {
        self.leader.as_ref()
    }

    /// Returns the leader, if known.
    pub fn leader_id(&self) -> Option<&DaemonId> {
        self.leader_id.as_ref()
    }

    /// Returns the log.
    pub fn raft(&self) -> &Raft {
        &self.raft
    }

    fn handle(&mut self, event: Event) -> Stored {
        match event {
            Event::Raft { from, message } => {
                let message = *message;
                self.step(Input::Message { from, message })
            }
            Event::Forwarded(messages) => {
                self.take_forwarded(messages);
                Ok(())
            }
            Event::Grants(grants) => {
                self.hub.grant(grants);
                Ok(())
            }
            Event::Suspects {
                report,
                from_subscriber,
            } => {
                self.spread_suspects(report, from_subscriber);
                Ok(())
            }
            Event::Confirm(tx) => self.read_index(Waiting::Confirm(tx)),
            Event::Read(read) => self.read_index(Waiting::Read(read)),
            Event::Propose(command, tx) => self.propose(&command, Waiting::Outcome(tx)),
            Event::Replace(document, tx) => self.replace(*document, Waiting::Outcome(tx)),
            Event::Contacts(contacts) => {
                self.raft.set_contacts(contacts);
                Ok(())
            }
            Event::ChangeMembers(change, tx) => {
                let token = self.wait(Waiting::Members(tx));
                self.step(Input::ChangeMembers { token, change })
            }
            Event::TransferLeadership => self.step(Input::TransferLeadership),
            Event::Stop => Ok(()),
        }
    }

    fn tick(&mut self) -> Stored {
        self.step(Input::Tick)?;
        self.dismiss_without_quorum();
        self.forward_outbox();
        let now = clock::now();
        let view = self.hub.view();
        if !view.is_empty() {
            self.hints.follow(now, &view);
        }
        let unix_now = clock::unix_now();
        let Some(leader) = &mut self.leader else {
            return Ok(());
        };
        leader.tick(now, &self.state);
        let commands = leader.decide(now, unix_now, &self.state);
        let grants = leader.grants(unix_now);
        self.send_grants(grants);
        for command in commands {
            self.propose(&command, Waiting::Nobody)?;
        }
        self.publish();
        self.admit_replica(now)
    }

    fn step(&mut self, input: Input) -> Stored {
        let outputs = self.raft.step(clock::now(), input);
        self.execute(outputs)
    }

    fn execute(&mut self, outputs: Vec<Output>) -> Stored {
        let mut written = None;
        for output in outputs {
            match output {
                Output::Write(write) => {
                    self.storage.execute(std::slice::from_ref(&write))?;
                    written = Some(write.seq);
                }
                Output::Send { to, message } => {
                    self.peers
                        .send(&to, &ReplicaMessage::Raft(Box::new(message)));
                }
                Output::Apply { index, entry } => self.apply(index, &entry),
                Output::InstallSnapshot(snapshot) => self.install(&snapshot)?,
                Output::ReadReady { token, .. } => self.read_ready(token),
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
                    if let Some(waiting) = self.waiting.remove(&token) {
                        self.proposed.insert(index, Proposed { term, waiting });
                    }
                }
                Output::LeadershipChanged {
                    state,
                    term,
                    leader,
                } => self.change_leadership(state, term, leader),
                Output::MembersChanged(members) => self.change_members(&members),
            }
        }
        self.save_snapshot_if_due()?;
        match written {
            Some(seq) => self.step(Input::Synced { seq }),
            None => Ok(()),
        }
    }

    fn apply(&mut self, index: u64, entry: &SharedEntry) {
        let outcome = match &entry.payload {
            Payload::Data(data) => match Command::decode(data) {
                Ok(command) => self.state.apply(index, &command),
                Err(error) => {
                    // Every replica refuses the same bytes, so the replicas stay equal.
                    self.state.advance_applied(index);
                    let reason = format!("the entry can't be decoded: {error}");
                    Outcome::Refused { reason }
                }
            },
            Payload::Noop | Payload::Members(_) => {
                self.state.advance_applied(index);
                Outcome::Done {
                    version: self.state.version(),
                    changed: false,
                }
            }
        };
        self.log_rollouts(entry);
        self.answer(index, entry.term, &outcome);
        self.lead_if_ready(entry.term);
        if let Some(leader) = &mut self.leader {
            leader.note_applied();
        }
    }

    /// Logs the changes of rollouts, once per mesh.
    fn log_rollouts(&self, entry: &SharedEntry) {
        let Payload::Data(data) = &entry.payload else {
            return;
        };
        if self.standing != ReplicaState::Leader {
            return;
        }
        let Ok(Command::Rollout(command)) = Command::decode(data) else {
            return;
        };
        let Some(rollout) = self.state.rollouts().get(command.rollout) else {
            return;
        };
        tracing::info!(event = "rollout", %rollout, action = ?command.action,
            version = %self.state.version());
    }

    /// Answers the proposal at `index`, and those that other entries have displaced.
    fn answer(&mut self, index: u64, term: u64, outcome: &Outcome) {
        let later = self.proposed.split_off(&(index + 1));
        let decided = std::mem::replace(&mut self.proposed, later);
        for (at, proposed) in decided {
            if at == index && proposed.term == term {
                proposed.waiting.settle(outcome);
                continue;
            }
            proposed.waiting.refuse(Unavailable {
                refusal: None,
                leader: self.leader_id.clone(),
            });
        }
    }

    fn install(&mut self, snapshot: &Snapshot) -> Stored {
        self.state = ControlState::decode(&snapshot.data).map_err(|error| undecodable(&error))?;
        self.state.advance_applied(snapshot.index);
        self.last_snapshot = snapshot.index;
        Ok(())
    }

    fn save_snapshot_if_due(&mut self) -> Stored {
        let applied = self.state.applied();
        let is_due = applied >= self.last_snapshot + SNAPSHOT_ENTRIES
            || self.raft.bytes_after_snapshot() >= SNAPSHOT_BYTES;
        if !is_due || applied == self.last_snapshot {
            return Ok(());
        }
        let data = self.state.encode().map_err(|error| undecodable(&error))?;
        let Some(snapshot) = self.raft.snapshot_at(applied, data) else {
            return Ok(());
        };
        let snapshot = Arc::new(snapshot);
        self.storage.save_snapshot(&snapshot)?;
        self.last_snapshot = applied;
        let outputs = self.raft.step(clock::now(), Input::SnapshotSaved(snapshot));
        self.execute(outputs)
    }

    fn change_leadership(&mut self, standing: ReplicaState, term: u64, leader: Option<DaemonId>) {
        let changed = standing != self.standing || leader != self.leader_id;
        self.standing = standing;
        self.term = term;
        self.leader_id = leader;
        if changed {
            metrics::counter!("sycamoreflow_leadership_changes_total").increment(1);
            let leader = self.leader_id.as_ref().map(DaemonId::as_str);
            tracing::info!(?standing, term, leader, "standing changed");
        }
        if standing != ReplicaState::Leader {
            self.leader = None;
            self.fail_waiting();
        }
        self.peers.set_leader(self.leader_id.clone());
        self.hub.set_leader_known(self.leader_id.is_some());
    }

    /// Refuses proposals that were made as the leader. Their fate is unknown to this replica.
    fn fail_waiting(&mut self) {
        let leader = self.leader_id.clone();
        let proposed = std::mem::take(&mut self.proposed);
        for (_, proposed) in proposed {
            proposed.waiting.refuse(Unavailable {
                refusal: Some(Refusal::NotLeader),
                leader: leader.clone(),
            });
        }
    }

    fn propose(&mut self, command: &Command, waiting: Waiting) -> Stored {
        let data = command.encode().map_err(|error| undecodable(&error))?;
        let token = self.wait(waiting);
        self.step(Input::Propose { token, data })
    }

    fn replace(&mut self, document: Document, waiting: Waiting) -> Stored {
        let now = clock::unix_now();
        let replacement = self.state.documents().replacement(document, now);
        self.propose(&Command::Replace(replacement), waiting)
    }

    fn change_members(&mut self, members: &Membership) {
        metrics::counter!("sycamoreflow_member_changes_total").increment(1);
        let ids: Vec<DaemonId> = members.members.keys().cloned().collect();
        let voters: Vec<&str> = members.voters().map(DaemonId::as_str).collect();
        tracing::info!(event = "members", voters = ?voters, members = ids.len());
        let named = &self.group.replicas;
        self.peers
            .retain(|id| ids.contains(id) || named.contains(id));
        self.hub.set_members(ids);
    }

    fn read_index(&mut self, waiting: Waiting) -> Stored {
        let token = self.wait(waiting);
        self.step(Input::ReadIndex { token })
    }

    fn wait(&mut self, waiting: Waiting) -> Token {
        let token = Token(self.next_token);
        self.next_token += 1;
        self.waiting.insert(token, waiting);
        token
    }

    fn read_ready(&mut self, token: Token) {
        match self.waiting.remove(&token) {
            Some(Waiting::Confirm(tx)) => drop(tx.send(Some(self.state.version()))),
            Some(Waiting::Read(read)) => read(Ok(self)),
            _ => {}
        }
    }

    fn refuse(&mut self, token: Token, refusal: Refusal, leader: Option<DaemonId>) {
        let Some(waiting) = self.waiting.remove(&token) else {
            return;
        };
        waiting.refuse(Unavailable {
            refusal: Some(refusal),
            leader,
        });
    }
}

/// Answers events for a time without promising anything. Returns whether the replica goes on.
pub(super) fn refuse_for(events: &Receiver<Event>, time: Duration) -> bool {
    let end = Instant::now() + time;
    loop {
        let left = end.saturating_duration_since(Instant::now());
        match events.recv_timeout(left) {
            Ok(Event::Stop) | Err(RecvTimeoutError::Disconnected) => return false,
            Ok(event) => event.into_waiting().refuse(Unavailable::default()),
            Err(RecvTimeoutError::Timeout) => return true,
        }
    }
}

fn undecodable(error: &CodecError) -> StorageError {
    StorageError::Encode {
        reason: error.to_string(),
    }
}

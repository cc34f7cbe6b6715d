//! The control replica: one thread that owns the replicated log, the state machine, the storage
//! and, while it leads, the soft state of the leader.
//!
//! It has a thread of its own because every promise waits for a sync of the disk, which must not
//! hold up calls.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::mpsc::{Receiver, RecvTimeoutError};
use std::time::{Duration, Instant};

use sycamoreflow_coordination::machine::{CodecError, Command, ControlState, Outcome};
use sycamoreflow_coordination::raft::{
    Input, MemberChange, Output, Payload, Raft, Refusal, SharedEntry, Snapshot, Standing, TICK_MS,
    Token,
};
use sycamoreflow_coordination::shares::Grant;
use sycamoreflow_coordination::suspect::SuspectReport;
use sycamoreflow_protocol::replica::{Forwarded, ReplicaMessage};
use sycamoreflow_state::ids::{DaemonId, Millis};
use sycamoreflow_state::view::View;
use sycamoreflow_transport::storage::{Storage, StorageError};

use crate::clock;
use crate::control::hub::{Hub, SessionCommand};
use crate::control::leader::Leader;
use crate::control::peers::Peers;

mod event;

pub use event::{Event, ReadState, Result, Unavailable};

use event::Waiting;

/// Entries after which the state is saved as a snapshot and the log is shortened.
const SNAPSHOT_ENTRIES: u64 = 1_000;

/// Bytes of entries after which the same is done. An approval contains the whole configuration,
/// about 0.4 MB with 880 services.
const SNAPSHOT_BYTES: usize = 8 << 20;

/// How often the leader looks for replicas that it has to admit.
const ADMISSION_INTERVAL: Millis = Millis(1_000);

/// How long a replica may know no leader before its subscribers are sent away. An election takes
/// less, and must not cause a herd of reconnects.
const NO_QUORUM_AFTER: Millis = Millis(1_500);

/// Result of a step. After an error the replica takes no further part.
type Stored = std::result::Result<(), StorageError>;

/// A proposal in the log of this leader.
struct Proposed {
    term: u64,
    waiting: Waiting,
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
    standing: Standing,
    term: u64,
    leader_id: Option<DaemonId>,
    leaderless_since: Option<Millis>,
    leader: Option<Leader>,
    waiting: BTreeMap<Token, Waiting>,
    proposed: BTreeMap<u64, Proposed>,
    next_token: u64,
    last_snapshot: u64,
}

/// The replicas in the settings.
#[derive(Clone, Debug)]
pub struct GroupSettings {
    /// All replicas.
    pub replicas: Vec<DaemonId>,
    /// Those that vote.
    pub voters: Vec<DaemonId>,
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
            standing: Standing::Unformed,
            term: 0,
            leader_id: None,
            leaderless_since: None,
            leader: None,
            waiting: BTreeMap::new(),
            proposed: BTreeMap::new(),
            next_token: 1,
            last_snapshot: start.snapshot,
        }
    }

    /// Runs the replica until it is told to stop or its storage fails.
    pub fn run(mut self, events: &Receiver<Event>) {
        let tick = Duration::from_millis(TICK_MS);
        let mut next_tick = Instant::now();
        loop {
            let wait = next_tick.saturating_duration_since(Instant::now());
            let result = match events.recv_timeout(wait) {
                Ok(Event::Stop) | Err(RecvTimeoutError::Disconnected) => return,
                Ok(event) => self.handle(event),
                Err(RecvTimeoutError::Timeout) => {
                    next_tick = Instant::now() + tick;
                    self.tick()
                }
            };
            if let Err(error) = result {
                metrics::counter!("sycamoreflow_storage_failures_total").increment(1);
                tracing::error!(%error, "storage failed: this replica takes no further part");
                self.hub.command_all(&SessionCommand::NoQuorum);
                self.refuse_forever(events);
                return;
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

    /// Answers all further events without promising anything.
    fn refuse_forever(&mut self, events: &Receiver<Event>) {
        while let Ok(event) = events.recv() {
            if matches!(event, Event::Stop) {
                return;
            }
            event.into_waiting().refuse(Unavailable::default());
        }
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
        let now = clock::now();
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

    /// Admits a replica of the settings that is no member yet: as a voter if the settings say so,
    /// else to serve subscribers. Only one change of members can be under way, and the log refuses
    /// replicas that have not contacted this leader.
    fn admit_replica(&mut self, now: Millis) -> Stored {
        if now < self.next_admission {
            return Ok(());
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
        let token = self.wait(Waiting::Nobody);
        self.step(Input::ChangeMembers { token, change })
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
                    standing,
                    term,
                    leader,
                } => self.change_leadership(standing, term, leader),
                Output::MembersChanged(_) => {
                    metrics::counter!("sycamoreflow_member_changes_total").increment(1);
                }
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
                    self.state.skip(index);
                    let reason = format!("the entry can't be decoded: {error}");
                    Outcome::Refused { reason }
                }
            },
            Payload::Noop | Payload::Members(_) => {
                self.state.skip(index);
                Outcome::Done {
                    version: self.state.version(),
                    changed: false,
                }
            }
        };
        self.answer(index, entry.term, &outcome);
        self.lead_if_ready(entry.term);
        if let Some(leader) = &mut self.leader {
            leader.note_applied();
        }
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
        self.state.skip(snapshot.index);
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

    fn change_leadership(&mut self, standing: Standing, term: u64, leader: Option<DaemonId>) {
        let changed = standing != self.standing || leader != self.leader_id;
        self.standing = standing;
        self.term = term;
        self.leader_id = leader;
        if changed {
            metrics::counter!("sycamoreflow_leadership_changes_total").increment(1);
            let leader = self.leader_id.as_ref().map(DaemonId::as_str);
            tracing::info!(?standing, term, leader, "standing changed");
        }
        if standing != Standing::Leader {
            self.leader = None;
            self.fail_waiting();
        }
        self.peers.set_leader(self.leader_id.clone());
        self.leaderless_since = match self.leader_id {
            Some(_) => None,
            None => self.leaderless_since.or(Some(clock::now())),
        };
    }

    /// Sends subscribers to other replicas once no quorum has been in reach for some time.
    fn dismiss_without_quorum(&mut self) {
        let Some(since) = self.leaderless_since else {
            return;
        };
        if clock::now().since(since) < NO_QUORUM_AFTER {
            return;
        }
        self.leaderless_since = Some(clock::now());
        self.hub.command_all(&SessionCommand::NoQuorum);
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

    /// Starts to lead once an entry of the own term is applied: then the state contains all that
    /// was accepted before.
    fn lead_if_ready(&mut self, entry_term: u64) {
        let is_ready = self.standing == Standing::Leader && entry_term == self.term;
        if !is_ready || self.leader.is_some() {
            return;
        }
        let followed = self.hub.view();
        let accepted = self.state.version();
        self.leader = Some(Leader::new(clock::now(), self.term, &followed, accepted));
    }

    fn publish(&mut self) {
        let Some(leader) = &mut self.leader else {
            return;
        };
        let view: Option<View> = leader.publication(clock::now(), &self.state);
        if let Some(view) = view {
            self.hub.publish(view);
        }
    }

    fn take_forwarded(&mut self, messages: Vec<Forwarded>) {
        if let Some(leader) = &mut self.leader {
            for message in messages {
                leader.take(clock::now(), clock::unix_now(), message);
            }
            return;
        }
        // Without a leader the messages are lost; renewals and reports are repeated.
        if let Some(id) = self.leader_id.as_ref().filter(|id| **id != self.id) {
            self.peers.send(id, &ReplicaMessage::Forward(messages));
        }
    }

    fn send_grants(&mut self, grants: Vec<(DaemonId, Grant)>) {
        if grants.is_empty() {
            return;
        }
        let elsewhere = self.hub.grant(grants);
        if elsewhere.is_empty() {
            return;
        }
        let message = ReplicaMessage::Grants(elsewhere);
        self.peers.send_to_all(&message);
    }

    /// Hands a report to all subscribers of the group. It needs no order and no leader, since
    /// merging it is idempotent.
    fn spread_suspects(&self, report: SuspectReport, from_subscriber: bool) {
        if from_subscriber {
            self.peers
                .send_to_all(&ReplicaMessage::Suspects(report.clone()));
        }
        let command = SessionCommand::Suspects(Arc::new(report));
        self.hub.command_all(&command);
    }

    fn propose(&mut self, command: &Command, waiting: Waiting) -> Stored {
        let data = command.encode().map_err(|error| undecodable(&error))?;
        let token = self.wait(waiting);
        self.step(Input::Propose { token, data })
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

fn undecodable(error: &CodecError) -> StorageError {
    StorageError::Encode {
        reason: error.to_string(),
    }
}

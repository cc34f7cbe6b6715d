//! Identifiers, log entries, membership, and the inputs and outputs of [`super::Raft`].

use std::collections::BTreeMap;
use std::sync::Arc;

use serde::{Deserialize, Serialize};
use sycamoreflow_state::ids::{DaemonId, Millis};

use super::message::Message;

/// Random number drawn when a data folder is created. It identifies one disk of one replica.
///
/// A replica that restarts with an empty disk has a new incarnation, so votes and acknowledgements
/// that it gave before it lost its state are never counted for the new disk.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Incarnation(pub u64);

/// Identifier of a control group, equal to the incarnation of the replica that bootstrapped it.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct GroupId(pub u64);

impl GroupId {
    /// Value of a replica that belongs to no group yet.
    pub const NONE: Self = Self(0);
}

/// A replica together with its disk.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct Peer {
    /// Id of the replica.
    pub id: DaemonId,
    /// Disk of the replica.
    pub incarnation: Incarnation,
}

/// Persistent Raft state besides the log. It is synced before any message that depends on it is
/// sent.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct HardState {
    /// Highest term seen.
    pub term: u64,
    /// Candidate that received this replica's vote in `term`. It includes the disk, because a
    /// candidate that restarts on an empty disk in the same term counts as another candidate.
    pub vote: Option<Peer>,
    /// Disk of this replica. Never zero.
    pub incarnation: Incarnation,
}

/// Content of a log entry.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub enum Payload {
    /// No command. Each new leader appends such an entry, because it can commit entries of earlier
    /// terms only together with one of its own term.
    Noop,
    /// New membership. It applies as soon as it is in the log.
    Members(Membership),
    /// Encoded command for the state machine.
    Data(#[serde(with = "serde_bytes")] Vec<u8>),
}

impl Payload {
    /// Returns the approximate size in memory and in messages, in bytes, without fixed overhead.
    pub fn bytes(&self) -> usize {
        match self {
            Self::Noop => 0,
            Self::Members(members) => members.members.len() * 64,
            Self::Data(data) => data.len(),
        }
    }
}

/// An entry of the log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct Entry {
    /// Position in the log. The first entry has index 1.
    pub index: u64,
    /// Term of the leader that appended it.
    pub term: u64,
    /// Content of the entry.
    pub payload: Payload,
}

/// An entry that the log, messages and outputs share without copying it.
pub type SharedEntry = Arc<Entry>;

/// Role of a member in the group.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub enum Role {
    /// Votes and counts towards the quorum.
    Voter,
    /// Receives the log, but neither votes nor counts towards the quorum.
    Learner {
        /// Whether the leader promotes it to a voter once it has caught up.
        promote: bool,
    },
}

/// A member of the group.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct Member {
    /// Disk on which the replica was admitted.
    pub incarnation: Incarnation,
    /// Role in the group.
    pub role: Role,
}

/// Members of a group. Two successive memberships differ by at most one voter.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct Membership {
    /// Group that the members form, or [`GroupId::NONE`] if the replica belongs to none yet.
    pub group: GroupId,
    /// Members by replica id.
    pub members: BTreeMap<DaemonId, Member>,
}

impl Membership {
    /// Returns whether the replica is a voter on exactly this disk.
    pub fn is_voter(&self, peer: &Peer) -> bool {
        self.member(peer)
            .is_some_and(|member| member.role == Role::Voter)
    }

    /// Returns the member if the replica was admitted on exactly this disk.
    pub fn member(&self, peer: &Peer) -> Option<&Member> {
        self.members
            .get(&peer.id)
            .filter(|member| member.incarnation == peer.incarnation)
    }

    /// Returns the ids of the voters in ascending order.
    pub fn voters(&self) -> impl Iterator<Item = &DaemonId> {
        self.members
            .iter()
            .filter(|(_, member)| member.role == Role::Voter)
            .map(|(id, _)| id)
    }

    /// Returns the number of voters that form a majority.
    pub fn quorum(&self) -> usize {
        self.voters().count() / 2 + 1
    }
}

/// State of the state machine after the entry `index`, with the term and the membership that the
/// log needs to continue from there.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct Snapshot {
    /// Index of the last entry that the snapshot covers.
    pub index: u64,
    /// Term of that entry.
    pub term: u64,
    /// Membership as of that entry.
    pub members: Membership,
    /// Encoded state of the state machine.
    #[serde(with = "serde_bytes")]
    pub data: Vec<u8>,
}

/// Log contents that storage loaded when it was opened.
#[derive(Clone, Debug, Default)]
pub struct LogState {
    /// Latest snapshot, if one was saved.
    pub snapshot: Option<Arc<Snapshot>>,
    /// Entries after the snapshot, without gaps.
    pub entries: Vec<SharedEntry>,
}

/// Number that the caller assigns to a request. It is returned with the outcome.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Token(pub u64);

/// A membership change. Only one can be in progress at a time.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum MemberChange {
    /// Adds a replica as a learner. It must have contacted this leader recently.
    AddLearner {
        /// Id of the replica.
        id: DaemonId,
        /// Whether to promote it to a voter as soon as it has caught up.
        promote: bool,
    },
    /// Promotes a learner to a voter. It must have caught up.
    Promote {
        /// Id of the learner.
        id: DaemonId,
    },
    /// Removes a member. The leader cannot remove itself.
    Remove {
        /// Id of the member.
        id: DaemonId,
    },
}

/// An event passed to [`super::Raft::step`].
#[derive(Clone, Debug)]
pub enum Input {
    /// Time has passed. Must be passed at least every [`super::TICK_MS`].
    Tick,
    /// A message from another replica arrived.
    Message {
        /// Replica at the other end of the authenticated link.
        from: DaemonId,
        /// The received message.
        message: Message,
    },
    /// Proposes a command. Only a leader accepts it.
    Propose {
        /// Returned with the outcome.
        token: Token,
        /// Encoded command, at most [`super::MAX_ENTRY_BYTES`].
        data: Vec<u8>,
    },
    /// The writes up to and including `seq` are durable.
    Synced {
        /// Sequence number of the last such write, from [`Write::seq`].
        seq: u64,
    },
    /// Requests the index that must be applied before a linearizable read. Any member can do so;
    /// followers and learners forward the request to the leader.
    ReadIndex {
        /// Returned with the outcome.
        token: Token,
    },
    /// Changes the membership. Only a leader accepts it.
    ChangeMembers {
        /// Returned with the outcome.
        token: Token,
        /// The requested change.
        change: MemberChange,
    },
    /// This snapshot of the local state machine is durable. Entries that it covers may be dropped.
    SnapshotSaved(Arc<Snapshot>),
    /// The process is about to stop. A leader transfers leadership to the reachable voter with the
    /// longest matching log.
    TransferLeadership,
}

/// A write to storage. The parts are executed in the order of the fields and then synced together.
/// Only then is [`Input::Synced`] passed.
#[derive(Clone, Debug, Default)]
pub struct Write {
    /// Sequence number of the write. It increases by one from write to write.
    pub seq: u64,
    /// New hard state, if it changed.
    pub hard_state: Option<HardState>,
    /// Index from which on all entries are removed.
    pub truncate_from: Option<u64>,
    /// Snapshot received from the leader. It replaces all entries up to its index.
    pub snapshot: Option<Arc<Snapshot>>,
    /// Entries to append directly after the last entry of the log or of the snapshot.
    pub entries: Vec<SharedEntry>,
}

/// Why a request was refused. Nothing was appended to the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// This replica is not the leader.
    NotLeader,
    /// The leader is transferring leadership or has not committed an entry of its term yet.
    NotReady,
    /// The limit of uncommitted entries or of waiting reads is reached.
    Overloaded,
    /// The command is larger than [`super::MAX_ENTRY_BYTES`].
    TooLarge,
    /// Another membership change is not committed yet.
    ChangePending,
    /// The replica to change is not a member, or the one to add has not contacted this leader.
    UnknownReplica,
    /// The learner has not caught up.
    NotCaughtUp,
    /// The leader reaches no quorum of the remaining voters, so the group could not commit again.
    QuorumAtRisk,
    /// The change would remove the leader, or has no effect.
    InvalidChange,
    /// The read was not confirmed within the time limit.
    TimedOut,
}

/// Externally visible state of a replica.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReplicaState {
    /// Belongs to no group yet. It neither votes nor serves reads.
    Unformed,
    /// Receives the log, but does not vote.
    Learner,
    /// Is a voter that follows a leader or waits for one.
    Follower,
    /// Collects pre-votes to find out whether an election would succeed.
    PreCandidate,
    /// Collects votes in a new term.
    Candidate,
    /// Leads the group: accepts proposals and replicates the log.
    Leader,
}

/// An action that the caller must perform. Outputs are executed in order, but [`Output::Write`] may
/// run in the background while later outputs are executed.
///
/// [`super::Raft`] holds back messages that depend on a write until [`Input::Synced`] reports it,
/// so the caller can execute every [`Output::Send`] immediately.
#[derive(Clone, Debug)]
pub enum Output {
    /// Write and sync the contents, then pass [`Input::Synced`]. A step returns at most one write,
    /// as its first output. If the write fails, the replica must stop.
    Write(Write),
    /// Send a message. It may be lost, duplicated or reordered.
    Send {
        /// Id of the receiver.
        to: DaemonId,
        /// The message to send.
        message: Message,
    },
    /// Apply a committed entry to the state machine. Indexes are consecutive; entries without a
    /// command are included.
    Apply {
        /// Index of the entry.
        index: u64,
        /// The committed entry.
        entry: SharedEntry,
    },
    /// Replace the state of the state machine by this snapshot.
    InstallSnapshot(Arc<Snapshot>),
    /// A read can be served: all entries that it must observe have been output before.
    ReadReady {
        /// Token of the request.
        token: Token,
        /// Index of the last entry that the read must observe.
        index: u64,
    },
    /// A read could not be confirmed.
    ReadRefused {
        /// Token of the request.
        token: Token,
        /// Reason for the refusal.
        refusal: Refusal,
        /// Leader to ask instead, if known.
        leader: Option<DaemonId>,
    },
    /// A proposal or membership change was appended to the log of this leader, but is not yet
    /// committed. It is committed if and only if an entry with this index and term is applied.
    ProposalAccepted {
        /// Token of the request.
        token: Token,
        /// Index of the entry.
        index: u64,
        /// Term of the entry.
        term: u64,
    },
    /// A proposal or membership change was not appended to the log.
    ProposalRejected {
        /// Token of the request.
        token: Token,
        /// Reason for the refusal.
        refusal: Refusal,
        /// Leader to ask instead, if known.
        leader: Option<DaemonId>,
    },
    /// The replica state, the term or the known leader changed.
    LeadershipChanged {
        /// New state of this replica.
        state: ReplicaState,
        /// Current term of this replica.
        term: u64,
        /// Leader, if known. `None` means that no quorum is known to be reachable.
        leader: Option<DaemonId>,
    },
    /// The latest membership in the log changed. It applies even if it is not committed yet.
    MembersChanged(Membership),
}

/// Replication progress of a member, as the leader knows it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReplicaProgress {
    /// Id of the replica.
    pub id: DaemonId,
    /// Role in the group.
    pub role: Role,
    /// Whether the leader has heard from it within the quorum timeout.
    pub reachable: bool,
    /// Time since the leader last heard from it. Zero for the leader itself.
    pub silent_for: Millis,
    /// Index of the last entry that is known to be on its disk.
    pub matched: u64,
}

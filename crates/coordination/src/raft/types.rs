//! Identities, entries, membership, and the inputs and outputs of [`super::Raft`].

use std::collections::BTreeMap;
use std::sync::Arc;

use serde::{Deserialize, Serialize};
use sycamoreflow_state::ids::{DaemonId, Millis};

use super::message::Message;

/// Number drawn at random when a data folder is created. It identifies one disk of one replica.
///
/// A replica that comes back with an empty disk has a new incarnation, so votes and
/// acknowledgements of its forgotten past are never mixed with new ones.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Incarnation(pub u64);

/// Number of a control group, equal to the incarnation of the replica that founded it.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct GroupId(pub u64);

impl GroupId {
    /// Group of a replica that belongs to none yet.
    pub const NONE: Self = Self(0);
}

/// A replica on a given disk.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct Peer {
    /// Replica.
    pub id: DaemonId,
    /// Its disk.
    pub incarnation: Incarnation,
}

/// What a replica must never forget. It is synced before any message that depends on it is sent.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct HardState {
    /// Highest term seen.
    pub term: u64,
    /// Candidate that received the vote of this term. The disk is part of it: a candidate that
    /// returns on an empty disk in the same term is another candidate.
    pub vote: Option<Peer>,
    /// Disk of this replica. It is not zero.
    pub incarnation: Incarnation,
}

/// Content of a log entry.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub enum Payload {
    /// Nothing. Each leader appends one entry of its own term, so that it can commit.
    Noop,
    /// New membership, in force from the moment it is in the log.
    Members(Membership),
    /// Encoded command of the state machine.
    Data(#[serde(with = "serde_bytes")] Vec<u8>),
}

impl Payload {
    /// Returns the approximate size in memory and in messages, in bytes.
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
    /// Position. The first entry has index 1.
    pub index: u64,
    /// Term of the leader that appended it.
    pub term: u64,
    /// Content.
    pub payload: Payload,
}

/// Entries are shared between the log, messages and outputs.
pub type SharedEntry = Arc<Entry>;

/// Role of a member in the group.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub enum Role {
    /// Votes and counts towards the quorum.
    Voter,
    /// Receives the log only.
    Learner {
        /// Whether the leader makes it a voter once it has caught up.
        promote: bool,
    },
}

/// A member of the group.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct Member {
    /// Disk that was admitted.
    pub incarnation: Incarnation,
    /// Role in the group.
    pub role: Role,
}

/// Members of a group. Two successive memberships differ by at most one voter.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct Membership {
    /// Group. [`GroupId::NONE`] if the replica belongs to none yet.
    pub group: GroupId,
    /// Members by id.
    pub members: BTreeMap<DaemonId, Member>,
}

impl Membership {
    /// Returns whether this very disk of the replica is a voter.
    pub fn is_voter(&self, peer: &Peer) -> bool {
        self.member(peer)
            .is_some_and(|member| member.role == Role::Voter)
    }

    /// Returns the member if this very disk of the replica was admitted.
    pub fn member(&self, peer: &Peer) -> Option<&Member> {
        self.members
            .get(&peer.id)
            .filter(|member| member.incarnation == peer.incarnation)
    }

    /// Yields the ids of the voters.
    pub fn voters(&self) -> impl Iterator<Item = &DaemonId> {
        self.members
            .iter()
            .filter(|(_, member)| member.role == Role::Voter)
            .map(|(id, _)| id)
    }

    /// Returns the number of voters that make a majority.
    pub fn quorum(&self) -> usize {
        self.voters().count() / 2 + 1
    }
}

/// State of the machine after the entry `index`, with what the log needs to go on from there.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct Snapshot {
    /// Last entry that is contained.
    pub index: u64,
    /// Term of that entry.
    pub term: u64,
    /// Membership as of that entry.
    pub members: Membership,
    /// Encoded state of the machine.
    #[serde(with = "serde_bytes")]
    pub data: Vec<u8>,
}

/// What storage found on open.
#[derive(Clone, Debug, Default)]
pub struct LogState {
    /// Latest snapshot.
    pub snapshot: Option<Arc<Snapshot>>,
    /// Entries after the snapshot, without gaps.
    pub entries: Vec<SharedEntry>,
}

/// Number that the caller gives to a request, returned with its outcome.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Token(pub u64);

/// A change of the membership. Only one can be under way at a time.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum MemberChange {
    /// Adds a replica that has contacted this leader as a learner.
    AddLearner {
        /// Replica.
        id: DaemonId,
        /// Whether to make it a voter as soon as it has caught up.
        promote: bool,
    },
    /// Makes a learner that has caught up a voter.
    Promote {
        /// Replica.
        id: DaemonId,
    },
    /// Removes a replica other than the leader.
    Remove {
        /// Replica.
        id: DaemonId,
    },
}

/// An event for [`super::Raft::step`].
#[derive(Clone, Debug)]
pub enum Input {
    /// Time has passed. To be given every [`super::TICK_MS`] or more often.
    Tick,
    /// A message arrived.
    Message {
        /// Replica at the other end of the authenticated link.
        from: DaemonId,
        /// The message.
        message: Message,
    },
    /// Appends a command, on the leader only.
    Propose {
        /// Returned in the outcome.
        token: Token,
        /// Encoded command.
        data: Vec<u8>,
    },
    /// The writes up to and including `seq` are on disk, synced.
    Synced {
        /// Number of the last such write.
        seq: u64,
    },
    /// Asks for an index up to which a read must have applied to be linearizable. It works on
    /// any member; followers and learners ask the leader.
    ReadIndex {
        /// Returned in the outcome.
        token: Token,
    },
    /// Changes the membership, on the leader only.
    ChangeMembers {
        /// Returned in the outcome.
        token: Token,
        /// The change.
        change: MemberChange,
    },
    /// Storage holds this snapshot of the machine, synced; earlier entries are not needed.
    SnapshotSaved(Arc<Snapshot>),
    /// The process is about to stop: a leader hands over to the most advanced voter.
    TransferLeadership,
}

/// A write to storage. The parts are executed in the order of the fields and then synced
/// together; only then is [`Input::Synced`] given.
#[derive(Clone, Debug, Default)]
pub struct Write {
    /// Number of the write, rising by one.
    pub seq: u64,
    /// New hard state.
    pub hard_state: Option<HardState>,
    /// Entries from this index on are removed.
    pub truncate_from: Option<u64>,
    /// Snapshot received from the leader; it replaces all entries up to its index.
    pub snapshot: Option<Arc<Snapshot>>,
    /// Entries to append. They continue the log, or the snapshot.
    pub entries: Vec<SharedEntry>,
}

/// Why a request was refused. Nothing was appended to the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// This replica is not the leader.
    NotLeader,
    /// The leader is handing over or has not committed an entry of its term yet.
    NotReady,
    /// Too much is uncommitted, or too many requests wait.
    Overloaded,
    /// The command is larger than [`super::MAX_ENTRY_BYTES`].
    TooLarge,
    /// Another membership change is under way.
    ChangePending,
    /// The replica is not a member, or has not contacted this leader.
    UnknownReplica,
    /// The learner has not caught up.
    NotCaughtUp,
    /// Too few of the remaining voters are in reach; the group could never commit again.
    QuorumAtRisk,
    /// The change would remove the leader or the last voter, or changes nothing.
    InvalidChange,
    /// No quorum confirmed the read in time.
    TimedOut,
}

/// What a replica does at present.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReplicaState {
    /// Belongs to no group yet, and neither votes nor serves.
    Unformed,
    /// Receives the log and does not vote.
    Learner,
    /// Follows a leader or waits for one.
    Follower,
    /// Asks whether an election would succeed.
    PreCandidate,
    /// Asks for votes.
    Candidate,
    /// Appends to the log.
    Leader,
}

/// What the caller must do. Outputs are executed in order; [`Output::Write`] may be executed in
/// the background while later outputs are executed.
///
/// Messages that promise something about the disk are held back by [`super::Raft`] until the
/// write they depend on is reported by [`Input::Synced`]. Hence [`Output::Send`] never waits.
#[derive(Clone, Debug)]
pub enum Output {
    /// Write, sync, then give [`Input::Synced`]. At most one per step, and always the first. If it
    /// fails, the replica must stop.
    Write(Write),
    /// Send now. Losing, repeating or reordering it is harmless.
    Send {
        /// Receiver.
        to: DaemonId,
        /// The message.
        message: Message,
    },
    /// The entry is committed: apply it. Indices rise by one. Entries without data are included.
    Apply {
        /// Position.
        index: u64,
        /// The entry.
        entry: SharedEntry,
    },
    /// Replace the machine by this state.
    InstallSnapshot(Arc<Snapshot>),
    /// The machine has applied everything that the read must see.
    ReadReady {
        /// Of the request.
        token: Token,
        /// Index of the last entry that the read must see. It has been applied.
        index: u64,
    },
    /// The read could not be confirmed.
    ReadRefused {
        /// Of the request.
        token: Token,
        /// Cause.
        refusal: Refusal,
        /// Leader to ask instead, if known.
        leader: Option<DaemonId>,
    },
    /// The proposal or membership change is in the log of this leader, not yet committed. It was
    /// committed if and only if an entry with this index and this term is applied.
    ProposalAccepted {
        /// Of the request.
        token: Token,
        /// Position in the log.
        index: u64,
        /// Term of the entry.
        term: u64,
    },
    /// The proposal or membership change was not appended.
    ProposalRejected {
        /// Of the request.
        token: Token,
        /// Cause.
        refusal: Refusal,
        /// Leader to ask instead, if known.
        leader: Option<DaemonId>,
    },
    /// Replica state, term or known leader changed.
    LeadershipChanged {
        /// What this replica does now.
        state: ReplicaState,
        /// Current term.
        term: u64,
        /// Leader, if known. `None` means that no quorum is known to be in reach.
        leader: Option<DaemonId>,
    },
    /// The membership in force changed.
    MembersChanged(Membership),
}

/// What the leader knows about a member.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReplicaProgress {
    /// Replica.
    pub id: DaemonId,
    /// Role in the group.
    pub role: Role,
    /// Whether it was heard from lately.
    pub reachable: bool,
    /// Time since it was last heard from.
    pub silent_for: Millis,
    /// Last entry that it is known to have on disk.
    pub matched: u64,
}

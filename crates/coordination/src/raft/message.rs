//! Raft messages between control replicas.

use serde::{Deserialize, Serialize};
use sycamoreflow_state::ids::DaemonId;

use super::types::{GroupId, Incarnation, Membership, SharedEntry, Token};

/// A message together with the group, the disk and the term of the sender.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct Message {
    /// Group of the sender. Members ignore messages of other groups, apart from probes and from
    /// answers of replicas that have no group yet.
    pub group: GroupId,
    /// Disk of the sender.
    pub incarnation: Incarnation,
    /// Disk of the intended receiver, if the sender knows it. A replica on another disk ignores the
    /// message.
    pub to: Option<Incarnation>,
    /// Term of the sender.
    pub term: u64,
    /// Content of the message.
    pub body: Body,
}

/// Term and index of a log entry. Positions are ordered by term first, as Raft compares logs.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct LogPosition {
    /// Term of the entry.
    pub term: u64,
    /// Index of the entry.
    pub index: u64,
}

impl LogPosition {
    /// Position before the first entry, which is the end of an empty log.
    pub const START: Self = Self { term: 0, index: 0 };
}

/// Result of an [`Body::Append`] message.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub enum AppendResult {
    /// The follower's log equals the leader's up to this index and is synced up to it.
    Matched(u64),
    /// The follower has no entry with the index and term of `prev`.
    Conflict {
        /// Term of the follower's entry at that index, if it has one.
        term: Option<u64>,
        /// First index of that term, or the index after the follower's last entry.
        index: u64,
    },
}

/// Content of a [`Message`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub enum Body {
    /// Sent by a replica that belongs to no group or has no leader, to find a group that admits it.
    Probe {
        /// Whether the sender's log is empty and it belongs to no group.
        fresh: bool,
    },
    /// Answer to a probe.
    ProbeAnswer {
        /// Whether the sender's log is empty and it belongs to no group.
        fresh: bool,
        /// Replicas in the sender's settings.
        initial: Vec<DaemonId>,
        /// Whether the sender may bootstrap a group. Replicas of earlier releases don't say it, and
        /// the one with the lowest id among them waits for no other.
        #[serde(default = "default_may_bootstrap")]
        may_bootstrap: bool,
        /// Members of the sender's group, in its latest membership.
        members: Vec<DaemonId>,
    },
    /// Initial membership of a group, sent to an initial member that has not received it.
    Found {
        /// The initial membership, which is the same for every member.
        members: Membership,
    },
    /// Asks whether the receiver would vote for the sender in the term after the sender's.
    PreVote {
        /// Last entry of the sender's log.
        last: LogPosition,
    },
    /// Answer to a pre-vote.
    PreVoteAnswer {
        /// Term of the pre-vote request.
        term: u64,
        /// Whether the vote would be granted.
        granted: bool,
    },
    /// Request for a vote.
    Vote {
        /// Last entry of the sender's log.
        last: LogPosition,
    },
    /// Answer to a request for a vote.
    VoteAnswer {
        /// Whether the vote is granted.
        granted: bool,
    },
    /// Entries to append, or a heartbeat if there are none.
    Append {
        /// Position of the entry directly before `entries`.
        prev: LogPosition,
        /// Entries in the order of their indexes, without gaps.
        entries: Vec<SharedEntry>,
        /// Index of the last committed entry.
        commit: u64,
        /// Heartbeat round of the leader. The answer repeats it, to confirm reads.
        round: u64,
    },
    /// Answer to an append.
    AppendAnswer {
        /// Index of `prev` in the append.
        prev: u64,
        /// Whether the entries match the follower's log.
        result: AppendResult,
        /// Round of the append.
        round: u64,
    },
    /// A chunk of a snapshot.
    SnapshotChunk {
        /// Last entry of the snapshot.
        last: LogPosition,
        /// Membership as of that entry.
        members: Membership,
        /// Length of the complete snapshot data in bytes.
        total: u64,
        /// Position of the chunk in the snapshot data, in bytes.
        offset: u64,
        /// Bytes of the chunk.
        #[serde(with = "serde_bytes")]
        data: Vec<u8>,
        /// Heartbeat round of the leader. The answer repeats it, to confirm reads.
        round: u64,
    },
    /// Answer to a chunk of a snapshot.
    SnapshotAnswer {
        /// Index of the last entry of the snapshot.
        index: u64,
        /// Number of bytes received so far without a gap, which is the offset of the next chunk.
        received: u64,
        /// Round of the chunk.
        round: u64,
    },
    /// Asks the leader to confirm a read.
    ReadIndex {
        /// Token that the requesting replica chose.
        token: Token,
    },
    /// Answer to a [`Body::ReadIndex`].
    ReadIndexAnswer {
        /// Token from the request.
        token: Token,
        /// Index that the read must observe, or `None` if it could not be confirmed.
        index: Option<u64>,
    },
    /// Tells a follower to start an election immediately, for a leadership transfer.
    TimeoutNow,
}

fn default_may_bootstrap() -> bool {
    true
}

//! Messages between control replicas.

use serde::{Deserialize, Serialize};
use sycamoreflow_state::ids::DaemonId;

use super::types::{GroupId, Incarnation, Membership, SharedEntry, Token};

/// A message with the identity of the sender's disk and group.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct Message {
    /// Group of the sender. Messages of another group are ignored.
    pub group: GroupId,
    /// Disk of the sender.
    pub incarnation: Incarnation,
    /// Disk that the message is meant for, if the sender knows it. A replica on another disk
    /// ignores the message.
    pub to: Option<Incarnation>,
    /// Term of the sender.
    pub term: u64,
    /// Content.
    pub body: Body,
}

/// Last entry of a candidate's log.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct LogPosition {
    /// Its term. Compared first.
    pub term: u64,
    /// Its index.
    pub index: u64,
}

impl LogPosition {
    /// End of an empty log.
    pub const START: Self = Self { term: 0, index: 0 };
}

/// Result of an append.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub enum AppendResult {
    /// The follower's log equals the leader's up to this index, and is synced.
    Matched(u64),
    /// The follower has no entry like the one before the sent ones.
    Conflict {
        /// Term of the follower's entry at that place, if it has one.
        term: Option<u64>,
        /// First index of that term, or the index after the follower's last entry.
        index: u64,
    },
}

/// Content of a [`Message`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub enum Body {
    /// Sent by a replica whose disk is not known to be a member's.
    Probe {
        /// Whether the sender's log is empty.
        fresh: bool,
    },
    /// Answer to a probe.
    ProbeAnswer {
        /// Whether the sender's log is empty.
        fresh: bool,
        /// Replicas in the sender's settings.
        initial: Vec<DaemonId>,
        /// Members that the sender knows.
        members: Vec<DaemonId>,
    },
    /// First membership of a group, for a founding member that has not received it.
    Found {
        /// The membership, the same at every member.
        members: Membership,
    },
    /// Would you vote for me in the term after mine?
    PreVote {
        /// End of the sender's log.
        last: LogPosition,
    },
    /// Answer to a pre-vote.
    PreVoteAnswer {
        /// Term that was asked about.
        term: u64,
        /// Whether the vote would be granted.
        granted: bool,
    },
    /// Request for a vote.
    Vote {
        /// End of the sender's log.
        last: LogPosition,
    },
    /// Answer to a request for a vote.
    VoteAnswer {
        /// Whether the vote is granted.
        granted: bool,
    },
    /// Entries to append; without entries a heartbeat.
    Append {
        /// Entry before the sent ones.
        prev: LogPosition,
        /// Entries in order.
        entries: Vec<SharedEntry>,
        /// Last committed entry.
        commit: u64,
        /// Round, echoed, to confirm reads.
        round: u64,
    },
    /// Answer to entries.
    AppendAnswer {
        /// Index before the sent entries.
        prev: u64,
        /// Result.
        result: AppendResult,
        /// Round of the append.
        round: u64,
    },
    /// A piece of a snapshot.
    SnapshotChunk {
        /// Last entry of the snapshot.
        last: LogPosition,
        /// Membership as of that entry.
        members: Membership,
        /// Length of the whole data in bytes.
        total: u64,
        /// Position of the piece.
        offset: u64,
        /// The piece.
        #[serde(with = "serde_bytes")]
        data: Vec<u8>,
        /// Round, echoed, to confirm reads.
        round: u64,
    },
    /// Answer to a piece of a snapshot.
    SnapshotAnswer {
        /// Last entry of the snapshot.
        index: u64,
        /// Number of bytes received without a gap.
        received: u64,
        /// Round of the piece.
        round: u64,
    },
    /// Asks the leader to confirm a read.
    ReadIndex {
        /// Number given by the asking replica.
        token: Token,
    },
    /// Answer of the leader.
    ReadIndexAnswer {
        /// Number given by the asking replica.
        token: Token,
        /// Index that the read must see, or `None` if the leader could not confirm it.
        index: Option<u64>,
    },
    /// The leader asks this follower to hold an election now.
    TimeoutNow,
}

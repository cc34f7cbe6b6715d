//! The events that a control replica processes, and the waiters for their outcomes.

use futures::channel::oneshot;
use sycamoreflow_coordination::machine::document::Document;
use sycamoreflow_coordination::machine::{Command, Outcome};
use sycamoreflow_coordination::quota::QuotaGrants;
use sycamoreflow_coordination::raft::message::Message;
use sycamoreflow_coordination::raft::{MemberChange, Refusal};
use sycamoreflow_coordination::shares::Grant;
use sycamoreflow_protocol::replica::Forwarded;
use sycamoreflow_state::ids::{DaemonId, ViewVersion};

use super::Replica;

/// Result of a request to a control replica.
pub type Result<T> = std::result::Result<T, Unavailable>;

/// The error of a request without an outcome. The request may have taken effect; it is safe to send
/// it again with the same request identifier.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Unavailable {
    /// The refusal by Raft, or `None` if the cause is another one, such as a timeout or a stop.
    pub refusal: Option<Refusal>,
    /// The leader, to which the request can be sent instead, if it is known.
    pub leader: Option<DaemonId>,
}

/// A function that reads the replica after a quorum has confirmed that its state is current, or
/// receives the error.
pub type ReadState = Box<dyn FnOnce(Result<&Replica>) + Send>;

/// An event in the queue of a replica.
pub enum Event {
    /// A Raft message from another replica.
    Raft {
        /// Id of the sender, which the link has authenticated.
        from: DaemonId,
        /// The message as decoded from the link.
        message: Box<Message>,
    },
    /// Messages from subscribers to be processed by the leader or forwarded to it.
    Forwarded {
        /// Replica that has forwarded them, or `None` for subscribers of this one.
        via: Option<DaemonId>,
        /// The messages.
        messages: Vec<Forwarded>,
    },
    /// Parts of quotas from the leader to be delivered to subscribers of this replica.
    QuotaGrants(Vec<(DaemonId, QuotaGrants)>),
    /// Grants from the leader to be delivered to subscribers of this replica.
    Grants(Vec<(DaemonId, Grant)>),
    /// Requests the lowest version of the views that the present leader publishes, confirmed by a
    /// quorum. The reply is `None` if no quorum confirms it.
    ConfirmVersion(oneshot::Sender<Option<ViewVersion>>),
    /// Proposes a command. The reply is its outcome.
    Propose(Box<Command>, oneshot::Sender<Result<Outcome>>),
    /// Proposes a document as the configuration. The reply is its outcome.
    Replace(Box<Document>, oneshot::Sender<Result<Outcome>>),
    /// Replaces the additional replicas that are contacted while this one has no leader.
    SetContacts(Vec<DaemonId>),
    /// Changes the members of the group. The reply arrives when the change is applied.
    ChangeMembers(MemberChange, oneshot::Sender<Result<()>>),
    /// Reads the state after a quorum has confirmed that it is current.
    Read(ReadState),
    /// Transfers leadership to another replica, because the process is about to stop.
    TransferLeadership,
    /// Stops the replica.
    Stop,
}

/// The party that waits for the reply to an event.
pub(super) enum Waiter {
    ConfirmedVersion(oneshot::Sender<Option<ViewVersion>>),
    Read(ReadState),
    Outcome(oneshot::Sender<Result<Outcome>>),
    Members(oneshot::Sender<Result<()>>),
    /// Nobody waits: the leader proposed the command itself, and a later tick repeats it if it is
    /// lost.
    Nobody,
}

impl Waiter {
    /// Replies that there is no outcome.
    pub(super) fn refuse(self, unavailable: Unavailable) {
        match self {
            Self::ConfirmedVersion(tx) => drop(tx.send(None)),
            Self::Read(read) => read(Err(unavailable)),
            Self::Outcome(tx) => drop(tx.send(Err(unavailable))),
            Self::Members(tx) => drop(tx.send(Err(unavailable))),
            Self::Nobody => {}
        }
    }

    /// Replies with the outcome of a proposal.
    pub(super) fn complete(self, outcome: &Outcome) {
        match self {
            Self::Outcome(tx) => drop(tx.send(Ok(outcome.clone()))),
            Self::Members(tx) => drop(tx.send(Ok(()))),
            Self::ConfirmedVersion(_) | Self::Read(_) | Self::Nobody => {}
        }
    }
}

impl Event {
    /// Returns the waiter for the reply to this event.
    pub(super) fn into_waiter(self) -> Waiter {
        match self {
            Self::ConfirmVersion(tx) => Waiter::ConfirmedVersion(tx),
            Self::Propose(_, tx) | Self::Replace(_, tx) => Waiter::Outcome(tx),
            Self::ChangeMembers(_, tx) => Waiter::Members(tx),
            Self::Read(read) => Waiter::Read(read),
            Self::Raft { .. }
            | Self::Forwarded { .. }
            | Self::QuotaGrants(_)
            | Self::Grants(_)
            | Self::SetContacts(_)
            | Self::TransferLeadership
            | Self::Stop => Waiter::Nobody,
        }
    }
}

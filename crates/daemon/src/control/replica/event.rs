//! What happens to a control replica, and who waits for the outcome.

use futures::channel::oneshot;
use sycamoreflow_coordination::machine::document::Document;
use sycamoreflow_coordination::machine::{Command, Outcome};
use sycamoreflow_coordination::raft::message::Message;
use sycamoreflow_coordination::raft::{MemberChange, Refusal};
use sycamoreflow_coordination::shares::Grant;
use sycamoreflow_coordination::suspect::SuspectReport;
use sycamoreflow_protocol::replica::Forwarded;
use sycamoreflow_state::ids::{ConfigVersion, DaemonId};

use super::Replica;

/// Result of an operator's command.
pub type Result<T> = std::result::Result<T, Unavailable>;

/// Why an operator's command has no outcome. It may be resent with the same request identifier.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Unavailable {
    /// What is missing.
    pub refusal: Option<Refusal>,
    /// Leader to ask instead, if known.
    pub leader: Option<DaemonId>,
}

/// A function that reads the state once a quorum has confirmed that it is current.
pub type ReadState = Box<dyn FnOnce(Result<&Replica>) + Send>;

/// Something that happens to a replica.
pub enum Event {
    /// A message of another replica.
    Raft {
        /// The other replica.
        from: DaemonId,
        /// Its message.
        message: Box<Message>,
    },
    /// Messages of subscribers, for the leader.
    Forwarded(Vec<Forwarded>),
    /// Grants of the leader, for subscribers of this replica.
    Grants(Vec<(DaemonId, Grant)>),
    /// Requests that have crashed upstreams. Those from a subscriber go to the other replicas too.
    Suspects {
        /// What is reported.
        report: SuspectReport,
        /// Whether a subscriber of this replica reports it.
        from_subscriber: bool,
    },
    /// Asks for the newest accepted version, confirmed by a quorum.
    ConfirmVersion(oneshot::Sender<Option<ConfigVersion>>),
    /// Proposes a command and returns its outcome.
    Propose(Box<Command>, oneshot::Sender<Result<Outcome>>),
    /// Proposes a document as the configuration and returns its outcome.
    Replace(Box<Document>, oneshot::Sender<Result<Outcome>>),
    /// Names replicas to contact while this one knows no group.
    SetContacts(Vec<DaemonId>),
    /// Changes the members of the group.
    ChangeMembers(MemberChange, oneshot::Sender<Result<()>>),
    /// Reads the state, confirmed by a quorum.
    Read(ReadState),
    /// Hands over the lead, because the process is about to stop.
    TransferLeadership,
    /// Ends the replica.
    Stop,
}

/// What a client of the replica waits for.
pub(super) enum Waiter {
    ConfirmedVersion(oneshot::Sender<Option<ConfigVersion>>),
    Read(ReadState),
    Outcome(oneshot::Sender<Result<Outcome>>),
    Members(oneshot::Sender<Result<()>>),
    /// A command of the leader itself, whose loss is noticed at a later tick.
    Nobody,
}

impl Waiter {
    /// Tells whoever waits that there is no outcome.
    pub(super) fn refuse(self, unavailable: Unavailable) {
        match self {
            Self::ConfirmedVersion(tx) => drop(tx.send(None)),
            Self::Read(read) => read(Err(unavailable)),
            Self::Outcome(tx) => drop(tx.send(Err(unavailable))),
            Self::Members(tx) => drop(tx.send(Err(unavailable))),
            Self::Nobody => {}
        }
    }

    /// Tells whoever waits for a proposal what came of it.
    pub(super) fn complete(self, outcome: &Outcome) {
        match self {
            Self::Outcome(tx) => drop(tx.send(Ok(outcome.clone()))),
            Self::Members(tx) => drop(tx.send(Ok(()))),
            Self::ConfirmedVersion(_) | Self::Read(_) | Self::Nobody => {}
        }
    }
}

impl Event {
    /// Returns who waits for the event, if anybody does.
    pub(super) fn into_waiter(self) -> Waiter {
        match self {
            Self::ConfirmVersion(tx) => Waiter::ConfirmedVersion(tx),
            Self::Propose(_, tx) | Self::Replace(_, tx) => Waiter::Outcome(tx),
            Self::ChangeMembers(_, tx) => Waiter::Members(tx),
            Self::Read(read) => Waiter::Read(read),
            Self::Raft { .. }
            | Self::Forwarded(_)
            | Self::Grants(_)
            | Self::Suspects { .. }
            | Self::SetContacts(_)
            | Self::TransferLeadership
            | Self::Stop => Waiter::Nobody,
        }
    }
}

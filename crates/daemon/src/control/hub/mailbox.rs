//! Commands that wait for a session.

use std::collections::VecDeque;
use std::future::poll_fn;
use std::task::Poll;

use futures::task::AtomicWaker;
use parking_lot::Mutex;
use sycamoreflow_coordination::quota::QuotaGrants;
use sycamoreflow_coordination::shares::Grant;
use sycamoreflow_state::ids::ConfigVersion;

#[cfg(test)]
mod tests;

/// Maximum number of grants that wait for a session. Grants that do not fit are dropped, which is
/// harmless because the leader repeats them.
const MAX_GRANTS: usize = 64;

/// A command from the replica to a subscriber session.
#[derive(Clone, Debug, PartialEq)]
pub enum SessionCommand {
    /// The replica has lost the quorum: the session ends and the subscriber has to connect to
    /// another replica.
    NoQuorum,
    /// The published view has changed: send the subscriber an update.
    ViewChanged,
    /// The members of the group have changed: send them to the subscriber.
    MembersChanged,
    /// A quorum has confirmed the newest configuration after a question of the subscriber.
    Confirmed {
        /// Number of the question.
        number: u64,
        /// Version of the newest configuration.
        config: ConfigVersion,
    },
    /// The leader grants the subscriber calls to the candidate of a rollout.
    Grant(Grant),
    /// The leader grants the subscriber parts of the quotas of client accounts.
    QuotaGrants(QuotaGrants),
}

/// The commands that wait for a session, in a bounded space.
///
/// A notice takes one place however often it is given, as only the newest state counts, and comes
/// before grants. It is therefore never dropped, whatever else waits
/// (`docs/design/control-queues.md`).
#[derive(Debug, Default)]
pub(super) struct Mailbox {
    pending: Mutex<Pending>,
    session: AtomicWaker,
}

#[derive(Debug, Default)]
struct Pending {
    no_quorum: bool,
    view_changed: bool,
    members_changed: bool,
    confirmed: Option<(u64, ConfigVersion)>,
    grants: VecDeque<SessionCommand>,
}

impl Mailbox {
    /// Adds a command and wakes the session. A grant that does not fit is dropped and counted.
    pub(super) fn put(&self, command: SessionCommand) {
        if !self.pending.lock().put(command) {
            metrics::counter!("sycamoreflow_grants_dropped_total").increment(1);
        }
        self.session.wake();
    }

    /// Waits for the next command. Only one task may wait.
    pub(super) async fn take(&self) -> SessionCommand {
        poll_fn(|cx| {
            self.session.register(cx.waker());
            match self.pending.lock().take() {
                Some(command) => Poll::Ready(command),
                None => Poll::Pending,
            }
        })
        .await
    }
}

impl Pending {
    /// Returns `false` if the command was dropped.
    fn put(&mut self, command: SessionCommand) -> bool {
        match command {
            SessionCommand::NoQuorum => self.no_quorum = true,
            SessionCommand::ViewChanged => self.view_changed = true,
            SessionCommand::MembersChanged => self.members_changed = true,
            SessionCommand::Confirmed { number, config } => self.confirmed = Some((number, config)),
            SessionCommand::Grant(_) | SessionCommand::QuotaGrants(_) => {
                if self.grants.len() >= MAX_GRANTS {
                    return false;
                }
                self.grants.push_back(command);
            }
        }
        true
    }

    fn take(&mut self) -> Option<SessionCommand> {
        if std::mem::take(&mut self.no_quorum) {
            return Some(SessionCommand::NoQuorum);
        }
        if std::mem::take(&mut self.view_changed) {
            return Some(SessionCommand::ViewChanged);
        }
        if std::mem::take(&mut self.members_changed) {
            return Some(SessionCommand::MembersChanged);
        }
        if let Some((number, config)) = self.confirmed.take() {
            return Some(SessionCommand::Confirmed { number, config });
        }
        self.grants.pop_front()
    }
}

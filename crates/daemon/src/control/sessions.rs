//! The session of a control replica with one subscriber: admission, updates of the view, and
//! forwarding of the subscriber's messages.

use std::sync::Arc;
use std::time::{Duration, Instant};

use async_std::future::timeout;
use async_std::task;
use futures::FutureExt;
use sycamoreflow_coordination::suspect::relay::Source;
use sycamoreflow_protocol::distribution::{FromReplica, FromSubscriber};
use sycamoreflow_protocol::replica::ToLeader;
use sycamoreflow_state::ids::{DaemonId, Millis, ViewVersion};
use sycamoreflow_state::view::Interest;
use sycamoreflow_transport::link::{Receiver, SendError, Sender};

use crate::control::hub::{Hub, Registration, SessionCommand};

#[cfg(test)]
mod tests;

/// Time limit for the first message of a subscriber.
const SUBSCRIBE_TIMEOUT: Duration = Duration::from_secs(2);

/// Time limit for the published view to reach the version that the quorum confirmed.
const CATCH_UP_TIMEOUT: Duration = Duration::from_secs(1);

/// How long a replica may have known no leader before new subscribers are refused. Until then they
/// wait for the election, which takes 0.4 to 0.6 s after a restart of all replicas.
const ELECTION_WAIT: Millis = Millis(900);

/// Time limit for the confirmation by a quorum. It is below the 3 s after which a subscriber tries
/// another replica.
const CONFIRM_TIMEOUT: Duration = Duration::from_secs(2);

/// Delay before a failed confirmation is retried while a leader is known.
const CONFIRM_RETRY_INTERVAL: Duration = Duration::from_millis(50);

/// Result of an operation of a session. Any error ends the session.
type Result<T> = std::result::Result<T, SendError>;

/// The state of a session. `have` is the version that the subscriber reported or was last sent.
struct Session {
    hub: Arc<Hub>,
    daemon: DaemonId,
    tx: Sender,
    interest: Interest,
    have: Option<ViewVersion>,
}

/// Serves a subscriber, or a replica that follows this one, until the link closes or the replica
/// loses its quorum.
pub async fn serve(hub: Arc<Hub>, tx: Sender, mut rx: Receiver) {
    let daemon = tx.peer().daemon.clone();
    let first = timeout(SUBSCRIBE_TIMEOUT, rx.receive::<FromSubscriber>()).await;
    let (interest, have, endpoints, departures) = match first {
        Ok(Ok(FromSubscriber::Subscribe {
            interest,
            have,
            endpoints,
            departures,
        })) => (interest, have, endpoints, departures),
        Ok(Ok(FromSubscriber::Follow { have })) => return serve_follower(hub, tx, rx, have).await,
        _ => return,
    };
    let refusal = match hub.admit() {
        Ok(()) => wait_for_admission(&hub, have).await.err(),
        Err(wait) => {
            metrics::counter!("sycamoreflow_joins_deferred_total").increment(1);
            Some(FromReplica::RetryAfter(wait))
        }
    };
    if let Some(refusal) = refusal {
        let _ = tx.send_waiting(&refusal).await;
        return;
    }
    // A daemon without a view does not know its departures yet, so it announces its endpoints after
    // the first update.
    if have.is_some() {
        let renewal = ToLeader::Renew {
            endpoints,
            departures,
            in_force: have,
        };
        hub.forward(&daemon, renewal);
    }
    let mut session = Session {
        hub,
        daemon,
        tx,
        interest,
        have,
    };
    // An error means that the link is unusable; the subscriber notices when it closes.
    let _ = session.run(rx).await;
}

/// Sends the published view to another replica until the link closes or this replica loses its
/// quorum.
async fn serve_follower(hub: Arc<Hub>, tx: Sender, rx: Receiver, have: Option<ViewVersion>) {
    let daemon = tx.peer().daemon.clone();
    let mut session = Session {
        hub,
        daemon,
        tx,
        interest: Interest::All,
        have,
    };
    let registration = session.hub.register(&session.daemon);
    let _ = session.serve_updates(&registration, rx).await;
}

/// Waits until the published view has reached the configuration version that a quorum confirms. The
/// error is the refusal to send to the subscriber, which reported the version `have`.
///
/// A subscriber without a view has restarted, and learns from its first view which endpoints have
/// left. It is admitted only with a view of the present leader, since that of an earlier one may lack
/// departures that this subscriber acknowledged before its restart (`docs/design/departures.md`).
///
/// Subscribers wait while an election may be in progress. If they connected to one replica after
/// another instead, the load on all replicas would exceed the cost of the election.
async fn wait_for_admission(
    hub: &Hub,
    have: Option<ViewVersion>,
) -> std::result::Result<(), FromReplica> {
    let deadline = Instant::now() + CONFIRM_TIMEOUT;
    let floor = loop {
        if let Some(floor) = hub.confirm_version().await {
            break floor;
        }
        if Instant::now() > deadline || !hub.wait_for_leader(ELECTION_WAIT).await {
            return Err(FromReplica::NoQuorum);
        }
        // A leader that can't confirm its leadership steps down after its own timeout.
        task::sleep(CONFIRM_RETRY_INTERVAL).await;
    };
    let deadline = Instant::now() + CATCH_UP_TIMEOUT;
    loop {
        let version = hub.view().version();
        let is_current = match have {
            Some(_) => version.config >= floor.config,
            None => version.is_at_least(&floor),
        };
        if is_current {
            return Ok(());
        }
        if Instant::now() > deadline {
            return Err(FromReplica::NoQuorum);
        }
        task::sleep(Duration::from_millis(5)).await;
    }
}

impl Session {
    async fn run(&mut self, rx: Receiver) -> Result<()> {
        let registration = self.hub.register(&self.daemon);
        let floor = self.hub.view().version().config;
        self.tx.send(&FromReplica::Admitted { floor })?;
        self.send_members()?;
        let suspects = self.hub.suspects().clone();
        let tx = self.tx.clone();
        let suspects = suspects.serve_subscriber(&tx).fuse();
        let updates = self.serve_updates(&registration, rx).fuse();
        futures::pin_mut!(suspects, updates);
        futures::select! {
            result = suspects => result,
            result = updates => result,
        }
    }

    async fn serve_updates(&mut self, registration: &Registration, mut rx: Receiver) -> Result<()> {
        self.send_update()?;
        loop {
            let command = registration.next_command().fuse();
            let message = rx.receive::<FromSubscriber>().fuse();
            futures::pin_mut!(command, message);
            futures::select! {
                command = command => {
                    if !self.execute(command)? {
                        return Ok(());
                    }
                }
                message = message => {
                    let Ok(message) = message else { return Ok(()) };
                    self.handle_message(registration, message)?;
                }
            }
        }
    }

    /// Executes a command from the replica. Returns whether the session continues.
    fn execute(&mut self, command: SessionCommand) -> Result<bool> {
        match command {
            SessionCommand::ViewChanged => self.send_update()?,
            SessionCommand::MembersChanged => self.send_members()?,
            SessionCommand::Grant(grant) => self.tx.send(&FromReplica::Grants(vec![grant]))?,
            SessionCommand::Confirmed { number, config } => {
                self.tx.send(&FromReplica::Confirmed { number, config })?;
            }
            SessionCommand::QuotaGrants(grants) => {
                self.tx.send(&FromReplica::QuotaGrants(grants))?;
            }
            SessionCommand::NoQuorum => {
                self.tx.send(&FromReplica::NoQuorum)?;
                return Ok(false);
            }
        }
        Ok(true)
    }

    fn handle_message(
        &mut self,
        registration: &Registration,
        message: FromSubscriber,
    ) -> Result<()> {
        let content = match message {
            FromSubscriber::Renew {
                endpoints,
                departures,
                in_force,
            } => ToLeader::Renew {
                endpoints,
                departures,
                in_force,
            },
            FromSubscriber::InForce(version) => ToLeader::InForce(version),
            FromSubscriber::Rejected { version, reason } => ToLeader::Rejected { version, reason },
            FromSubscriber::Report(report) => ToLeader::Report(report),
            FromSubscriber::Quota(report) => ToLeader::Quota(report),
            FromSubscriber::Suspects(report) => {
                self.hub.suspects().merge(&report, Source::Subscriber);
                return Ok(());
            }
            FromSubscriber::Confirm { number } => {
                self.hub.confirm(registration, number);
                return Ok(());
            }
            // These start a session and are ignored after the first message.
            FromSubscriber::Follow { .. } | FromSubscriber::Subscribe { .. } => return Ok(()),
        };
        self.hub.forward(&self.daemon, content);
        Ok(())
    }

    fn send_members(&self) -> Result<()> {
        let members = self.hub.members().as_ref().clone();
        self.tx.send(&FromReplica::Members(members))
    }

    fn send_update(&mut self) -> Result<()> {
        let Some((frame, to)) = self.hub.update_for(&self.interest, self.have) else {
            return Ok(());
        };
        self.tx.send_encoded(frame)?;
        self.have = Some(to);
        Ok(())
    }
}

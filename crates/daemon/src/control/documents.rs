//! Operations on whole configuration documents and rollouts, independent of the operator interface
//! that invokes them.
//!
//! Every function may be called on any replica. Only the leader makes changes; other replicas
//! return [`Unavailable`], which names the leader if it is known. Reads are linearizable: a quorum
//! confirms them.

use std::time::Duration;

use async_std::future::timeout;
use sycamoreflow_coordination::machine::document::Document;
use sycamoreflow_coordination::machine::{Command, Outcome};
use sycamoreflow_coordination::rollout::OrderStatus;
use sycamoreflow_state::ids::{Millis, ServiceName, VersionName};

use crate::clock;
use crate::control::hub::Hub;
use crate::control::replica::{Event, Result, Unavailable};

/// Time limit for a change or a read. It is below the one second after which the clients of
/// operators try another replica.
const OUTCOME_TIMEOUT: Duration = Duration::from_millis(900);

/// Maximum number of proposals of a document. A proposal has to be repeated if another document is
/// accepted before it.
const MAX_PROPOSALS: usize = 4;

/// Outcome of [`replace`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Replaced {
    /// The document is in force, or was until a later one replaced it.
    Accepted {
        /// Whether the document had already been accepted by an earlier request.
        repeated: bool,
    },
    /// The document in force is not the base of the proposed document.
    BaseOutdated {
        /// Number of the document in force.
        current: u64,
    },
    /// The document is invalid. Contains all problems found.
    Invalid(Vec<String>),
}

/// Outcome of [`order_rollout`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Ordered {
    /// The rollout has started, is queued behind another one, or had already been ordered.
    Accepted,
    /// The rollout can't be started now, for the given reason.
    Refused(String),
}

/// Proposes a document as the configuration.
///
/// # Errors
///
/// If this replica does not lead, or the outcome is not known in time. The document may be in force
/// nevertheless; it is safe to send it again.
pub async fn replace(hub: &Hub, document: Document) -> Result<Replaced> {
    let problems = document.problems();
    if !problems.is_empty() {
        return Ok(Replaced::Invalid(problems));
    }
    for _ in 0..MAX_PROPOSALS {
        let proposed = Box::new(document.clone());
        match with_timeout(hub.ask(|tx| Event::Replace(proposed, tx))).await? {
            Outcome::Replaced { repeated, .. } => return Ok(Replaced::Accepted { repeated }),
            Outcome::BaseOutdated { current } => return Ok(Replaced::BaseOutdated { current }),
            Outcome::Invalid { problems } => return Ok(Replaced::Invalid(problems)),
            Outcome::ComputedOnOther => {}
            _ => return Err(Unavailable::default()),
        }
    }
    Err(Unavailable::default())
}

/// Returns the document in force, or `None` if there is none yet.
///
/// # Errors
///
/// If no quorum confirms the read in time.
pub async fn current(hub: &Hub) -> Result<Option<Document>> {
    let read = hub.read(|replica| replica.state().documents().current());
    with_timeout(read).await
}

/// Orders a rollout that moves the traffic of a service to the version `to` within the time
/// `within`.
///
/// # Errors
///
/// Same as for [`replace`].
pub async fn order_rollout(
    hub: &Hub,
    service: ServiceName,
    to: VersionName,
    within: Millis,
) -> Result<Ordered> {
    let command = Command::StartRollout {
        service,
        to,
        within,
        at: clock::unix_now(),
    };
    match with_timeout(hub.ask(|tx| Event::Propose(Box::new(command), tx))).await? {
        Outcome::Done { .. } => Ok(Ordered::Accepted),
        Outcome::Refused { reason } => Ok(Ordered::Refused(reason)),
        _ => Err(Unavailable::default()),
    }
}

/// Returns the status of the latest rollout order for a service, or `None` if there was none.
///
/// # Errors
///
/// Same as for [`current`].
pub async fn order_status(hub: &Hub, service: ServiceName) -> Result<Option<OrderStatus>> {
    let read = hub.read(move |replica| replica.state().rollouts().order_status(&service));
    with_timeout(read).await
}

pub(super) async fn with_timeout<T>(work: impl Future<Output = Result<T>>) -> Result<T> {
    match timeout(OUTCOME_TIMEOUT, work).await {
        Ok(result) => result,
        Err(_) => Err(Unavailable::default()),
    }
}

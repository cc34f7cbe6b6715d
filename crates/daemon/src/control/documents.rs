//! What an operator does with whole configurations and rollouts, apart from the interface by which
//! the operator asks.
//!
//! Every function may be called at any replica. Changes are made by the leader; another replica
//! returns [`Unavailable`] with the leader to ask. Reads are confirmed by a quorum.

use std::time::Duration;

use async_std::future::timeout;
use sycamoreflow_coordination::machine::document::Document;
use sycamoreflow_coordination::machine::{Command, Outcome};
use sycamoreflow_coordination::rollout::OrderStatus;
use sycamoreflow_state::ids::{Millis, ServiceName, VersionName};

use crate::clock;
use crate::control::hub::Hub;
use crate::control::replica::{Event, Result, Unavailable};

/// Longest wait for the outcome of a change or read. Operators' clients go to another replica after
/// a second.
const OUTCOME_TIMEOUT: Duration = Duration::from_millis(900);

/// Times that a document is proposed when others are accepted meanwhile.
const MAX_PROPOSALS: usize = 4;

/// What became of a document.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ReplaceOutcome {
    /// It is in force, or was before a later one.
    Accepted {
        /// Whether it had been accepted earlier.
        repeated: bool,
    },
    /// Another document than its base is in force.
    BaseOutdated {
        /// Number of the document in force.
        current: u64,
    },
    /// Its content is unusable.
    Invalid(Vec<String>),
}

/// What became of an order for a rollout.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OrderOutcome {
    /// The rollout has started, waits for another one, or had been ordered earlier.
    Accepted,
    /// It can't be started now.
    Refused(String),
}

/// Proposes a document as the configuration.
///
/// # Errors
///
/// If this replica does not lead, or there was no outcome in time. The document may be in force all
/// the same, and may be sent again.
pub async fn replace(hub: &Hub, document: Document) -> Result<ReplaceOutcome> {
    let problems = document.problems();
    if !problems.is_empty() {
        return Ok(ReplaceOutcome::Invalid(problems));
    }
    for _ in 0..MAX_PROPOSALS {
        let proposed = Box::new(document.clone());
        match with_timeout(hub.ask(|tx| Event::Replace(proposed, tx))).await? {
            Outcome::Replaced { repeated, .. } => return Ok(ReplaceOutcome::Accepted { repeated }),
            Outcome::BaseOutdated { current } => {
                return Ok(ReplaceOutcome::BaseOutdated { current });
            }
            Outcome::Invalid { problems } => return Ok(ReplaceOutcome::Invalid(problems)),
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
/// If no quorum confirms in time which document is in force.
pub async fn current(hub: &Hub) -> Result<Option<Document>> {
    let read = hub.read(|replica| replica.state().documents().current());
    with_timeout(read).await
}

/// Orders that the traffic of a service moves to another version within a time.
///
/// # Errors
///
/// As for [`replace`].
pub async fn order_rollout(
    hub: &Hub,
    service: ServiceName,
    to: VersionName,
    within: Millis,
) -> Result<OrderOutcome> {
    let command = Command::StartRollout {
        service,
        to,
        within,
        at: clock::unix_now(),
    };
    match with_timeout(hub.ask(|tx| Event::Propose(Box::new(command), tx))).await? {
        Outcome::Done { .. } => Ok(OrderOutcome::Accepted),
        Outcome::Refused { reason } => Ok(OrderOutcome::Refused(reason)),
        _ => Err(Unavailable::default()),
    }
}

/// Returns what became of the latest order for a service.
///
/// # Errors
///
/// As for [`current`].
pub async fn order_status(hub: &Hub, service: ServiceName) -> Result<Option<OrderStatus>> {
    let read = hub.read(move |replica| replica.state().rollouts().order_status(&service));
    with_timeout(read).await
}

async fn with_timeout<T>(work: impl Future<Output = Result<T>>) -> Result<T> {
    match timeout(OUTCOME_TIMEOUT, work).await {
        Ok(result) => result,
        Err(_) => Err(Unavailable::default()),
    }
}

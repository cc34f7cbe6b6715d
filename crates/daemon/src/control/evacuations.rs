//! Orders to evacuate a data centre or to restore it, independent of the operator interface that
//! they come from.
//!
//! An order may be sent to any replica. Only the leader accepts it; the others return
//! [`Unavailable`], which names the leader if it is known. It is
//! acknowledged once a quorum has stored it, so it is safe to send it again after an error.

use sycamoreflow_coordination::machine::evacuation::EvacuationOrder;
use sycamoreflow_coordination::machine::{Command, Outcome};
use sycamoreflow_state::ids::{ConfigVersion, DataCentre, RequestId};

use crate::clock;
use crate::control::documents::with_timeout;
use crate::control::hub::Hub;
use crate::control::replica::{Event, Replica, Result, Unavailable};

/// Outcome of [`order`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Ordered {
    /// The order is in force, was already, or was overtaken by a later one.
    Accepted {
        /// Version of the configuration after the order.
        version: ConfigVersion,
        /// Whether the order changed anything when it was first applied.
        changed: bool,
    },
    /// The mesh has no data centre with this name.
    UnknownDataCentre,
    /// The request identifier belongs to another order.
    RequestIdReused,
}

/// Evacuates a data centre, or restores it if `evacuate` is false. `listed` are the data centres in
/// the settings of this replica.
///
/// # Errors
///
/// If this replica does not lead, the outcome is not known in time, or this replica can't tell yet
/// whether the data centre exists.
pub async fn order(
    hub: &Hub,
    listed: &[DataCentre],
    request: Option<RequestId>,
    data_centre: DataCentre,
    evacuate: bool,
) -> Result<Ordered> {
    if !listed.contains(&data_centre) && !is_known(hub, &data_centre).await? {
        return Ok(Ordered::UnknownDataCentre);
    }
    let order = EvacuationOrder {
        request,
        data_centre,
        evacuate,
        at: clock::unix_now(),
    };
    let command = Command::Evacuate(order.clone());
    let outcome = with_timeout(hub.ask(|tx| Event::Propose(Box::new(command), tx))).await;
    tracing::info!(event = "evacuation_order", data_centre = %order.data_centre, evacuate,
        outcome = ?outcome);
    match outcome? {
        Outcome::Done { version, changed } => {
            metrics::counter!("sycamoreflow_evacuation_orders_total").increment(1);
            Ok(Ordered::Accepted { version, changed })
        }
        Outcome::RequestIdReused => Ok(Ordered::RequestIdReused),
        _ => Err(Unavailable::default()),
    }
}

/// Returns whether an endpoint is in the data centre, or an earlier order named it.
async fn is_known(hub: &Hub, data_centre: &DataCentre) -> Result<bool> {
    let view = hub.view();
    if view.endpoints().any(|e| e.data_centre == *data_centre) {
        return Ok(true);
    }
    let name = data_centre.clone();
    let read = hub.read(move |replica: &Replica| replica.state().evacuations().contains(&name));
    let was_ordered = with_timeout(read).await?;
    // Without any endpoint, this replica has not received the endpoint table yet.
    if !was_ordered && view.endpoints().next().is_none() {
        return Err(Unavailable::default());
    }
    Ok(was_ordered)
}

//! Client and server side of the version floor protocol between a daemon and its witnesses.
//!
//! The decisions are made in [`sycamoreflow_coordination::floor`].

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use async_std::task;
use futures::future::join_all;
use parking_lot::Mutex;
use sycamoreflow_coordination::floor::{
    Activation, FLOOR_RESEND_INTERVAL, FloorRecovery, Staging, Witness,
};
use sycamoreflow_protocol::floor::{FloorReply, FloorRequest};
use sycamoreflow_protocol::handshake::{Identity, Purpose};
use sycamoreflow_state::ids::{ConfigVersion, DaemonId};
use sycamoreflow_state::view::{Delta, Interest, View};
use sycamoreflow_transport::link;

use crate::clock;
use crate::rpc::RpcClient;
use crate::settings::ReplicaAddress;
use crate::traffic::Traffic;

/// Timeout of one request to a witness.
const REPLY_TIMEOUT: Duration = Duration::from_millis(500);

/// RPC client for one witness.
type WitnessClient = RpcClient<FloorRequest, FloorReply>;

/// Client for the witnesses of this daemon.
#[derive(Debug)]
pub struct FloorClient {
    witnesses: BTreeMap<DaemonId, Arc<WitnessClient>>,
    staging: Mutex<Staging>,
    /// Highest floor confirmed or version put in force so far. `None` until one is known.
    floor: Mutex<Option<ConfigVersion>>,
}

impl FloorClient {
    /// Creates the clients for a fixed set of witnesses.
    pub fn new(
        witnesses: &[ReplicaAddress],
        identity: &Identity,
        limits: &link::Limits,
        traffic: &Arc<Traffic>,
    ) -> Self {
        let clients = witnesses.iter().map(|witness| {
            let client = WitnessClient::new(
                witness.link,
                identity.clone(),
                Purpose::Floor,
                limits.clone(),
                traffic.clone(),
            );
            (witness.daemon.clone(), Arc::new(client))
        });
        let staging = Staging::new(witnesses.iter().map(|witness| witness.daemon.clone()));
        Self {
            witnesses: clients.collect(),
            staging: Mutex::new(staging),
            floor: Mutex::default(),
        }
    }

    /// Returns the lowest version that may be served, or `None` while it is unknown.
    pub fn current(&self) -> Option<ConfigVersion> {
        *self.floor.lock()
    }

    /// Raises the floor to a version that is put in force, or that a quorum of the control group or
    /// of the witnesses has confirmed. A lower version has no effect.
    pub fn raise(&self, version: ConfigVersion) {
        let mut floor = self.floor.lock();
        *floor = (*floor).max(Some(version));
    }

    /// Stages `version` at the witnesses and returns when it may be activated.
    ///
    /// That is once a majority has confirmed it, or after a timeout without a majority.
    /// [`FloorClient::resend`] keeps sending to the witnesses that have not replied by then.
    pub async fn stage(self: &Arc<Self>, version: ConfigVersion) {
        self.staging.lock().start(clock::now(), version);
        loop {
            self.send_stage_requests();
            let decision = self.staging.lock().poll(clock::now());
            match decision {
                Activation::None => return,
                Activation::Activate { witnessed, .. } => {
                    if !witnessed {
                        metrics::counter!("sycamoreflow_unwitnessed_activations_total")
                            .increment(1);
                        tracing::warn!(
                            %version,
                            "version activated before a majority of the witnesses confirmed it"
                        );
                    }
                    return;
                }
                // Replies arrive within a round trip, so the poll interval is much shorter than
                // the interval between resends.
                Activation::Wait => task::sleep(Duration::from_millis(2)).await,
            }
        }
    }

    /// Periodically sends the stage requests that have no reply yet, including those of a version
    /// activated without a majority. Never returns.
    pub async fn resend(self: &Arc<Self>) {
        loop {
            task::sleep(clock::duration(FLOOR_RESEND_INTERVAL)).await;
            self.send_stage_requests();
            self.staging.lock().clear_witnessed();
        }
    }

    /// Asks all witnesses once for the floor of this daemon. Returns `None` unless a majority has
    /// replied.
    pub async fn recover(&self) -> Option<ConfigVersion> {
        let ids = self.witnesses.keys().cloned();
        let mut recovery = FloorRecovery::new(ids);
        let requests = self.witnesses.iter().map(|(id, client)| async move {
            let reply = client.request(&FloorRequest::AskFloor, REPLY_TIMEOUT).await;
            (id, reply)
        });
        for (id, reply) in join_all(requests).await {
            if let Some(FloorReply::Floor(floor)) = reply {
                recovery.record_answer(id, floor);
            }
        }
        recovery.floor()
    }

    /// Asks all witnesses for a view at or above `floor` and returns the newest one.
    pub async fn fetch_view(&self, interest: &Interest, floor: ConfigVersion) -> Option<View> {
        let request = FloorRequest::FetchView {
            interest: interest.clone(),
            floor,
        };
        let request = &request;
        let requests = self.witnesses.values().map(|client| async move {
            let reply = client.request(request, REPLY_TIMEOUT).await?;
            match reply {
                FloorReply::View(Some(delta)) => View::from_full(interest, &delta).ok(),
                _ => None,
            }
        });
        let views = join_all(requests).await.into_iter().flatten();
        let usable = views.filter(|view| view.version().config >= floor);
        usable.max_by_key(|view| (view.version().config, view.version().endpoints))
    }

    fn send_stage_requests(self: &Arc<Self>) {
        let requests = self.staging.lock().due_requests(clock::now());
        for (id, version) in requests {
            let Some(client) = self.witnesses.get(&id).cloned() else {
                continue;
            };
            let this = self.clone();
            task::spawn(async move {
                let request = FloorRequest::Stage(version);
                let reply = client.request(&request, REPLY_TIMEOUT).await;
                if let Some(FloorReply::Staged(version)) = reply {
                    this.staging.lock().record_staged(&id, version);
                }
            });
        }
    }
}

/// Handles a request from `daemon`, for which this daemon is a witness. `own_view` is the view in
/// force here.
pub fn handle_request(
    witness: &Mutex<Witness>,
    own_view: Option<&View>,
    daemon: &DaemonId,
    request: FloorRequest,
) -> FloorReply {
    match request {
        FloorRequest::Stage(version) => FloorReply::Staged(witness.lock().stage(daemon, version)),
        FloorRequest::AskFloor => FloorReply::Floor(witness.lock().floor(daemon)),
        FloorRequest::FetchView { interest, floor } => {
            FloorReply::View(view_for(own_view, &interest, floor))
        }
    }
}

/// Returns the own view restricted to `interest`, as a full delta, if it is at or above `floor` and
/// contains everything in `interest`.
fn view_for(
    own_view: Option<&View>,
    interest: &Interest,
    floor: ConfigVersion,
) -> Option<Box<Delta>> {
    let view = own_view.filter(|view| view.version().config >= floor)?;
    let covered = match (view.interest(), interest) {
        (Interest::All, _) => true,
        (Interest::Services(_), Interest::All) => false,
        (Interest::Services(have), Interest::Services(want)) => want.is_subset(have),
    };
    covered.then(|| Box::new(Delta::full(&view.restrict(interest))))
}

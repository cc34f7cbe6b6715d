//! Call links to the daemons on the hosts of the upstreams. They are opened on demand and shared by
//! all calls.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Instant;

use async_std::sync::Mutex as AsyncMutex;
use parking_lot::Mutex;
use sycamoreflow_coordination::routing::Load;
use sycamoreflow_protocol::call::{Answer, Call};
use sycamoreflow_protocol::handshake::{Identity, Purpose};
use sycamoreflow_state::ids::DaemonId;
use sycamoreflow_state::verdict::{Failure, Reason};
use sycamoreflow_transport::call_link::CallClient;
use sycamoreflow_transport::link;

/// Result of a call over a link: an answer, or a failure with its verdict.
pub type Result<T> = std::result::Result<T, Failure>;

/// Call links to other daemons, at most one per daemon.
#[derive(Debug)]
pub struct CallLinks {
    identity: Identity,
    limits: link::Limits,
    slots: Mutex<HashMap<DaemonId, Arc<LinkSlot>>>,
}

/// The link to one daemon. The lock `opening` ensures that only one task at a time opens it.
#[derive(Debug, Default)]
struct LinkSlot {
    current: Mutex<Option<(SocketAddr, Arc<CallClient>)>>,
    opening: AsyncMutex<()>,
}

impl CallLinks {
    /// Creates the registry without links.
    pub fn new(identity: Identity, limits: link::Limits) -> Self {
        Self {
            identity,
            limits,
            slots: Mutex::default(),
        }
    }

    /// Runs a call at `daemon`, whose link listener is at `address`. Opens a link if there is none.
    /// Returns the result and, if the daemon reported it, the load of its upstream.
    ///
    /// # Errors
    ///
    /// Fails as [`CallClient::call`] does. If no link can be opened, the verdict is `NotRun`.
    pub async fn call(
        &self,
        daemon: &DaemonId,
        address: SocketAddr,
        call: Call,
        deadline: Instant,
    ) -> (Result<Answer>, Option<Load>) {
        match self.client(daemon, address, deadline).await {
            Ok(client) => client.call_with_load(call, deadline).await,
            Err(failure) => (Err(failure), None),
        }
    }

    /// Returns whether a link to `daemon` is open or can be opened before `deadline`.
    pub async fn probe(&self, daemon: &DaemonId, address: SocketAddr, deadline: Instant) -> bool {
        self.client(daemon, address, deadline).await.is_ok()
    }

    /// Returns whether a link to `daemon` is open.
    pub fn is_open(&self, daemon: &DaemonId) -> bool {
        let slots = self.slots.lock();
        let current = slots.get(daemon).map(|slot| slot.current.lock());
        current.is_some_and(|current| {
            let client = current.as_ref().map(|(_, client)| client);
            client.is_some_and(|client| !client.is_closed())
        })
    }

    /// Drops the links to daemons for which `known` returns `false`.
    pub fn retain(&self, known: impl Fn(&DaemonId) -> bool) {
        self.slots.lock().retain(|daemon, _| known(daemon));
    }

    async fn client(
        &self,
        daemon: &DaemonId,
        address: SocketAddr,
        deadline: Instant,
    ) -> Result<Arc<CallClient>> {
        let slot = self.slot(daemon);
        if let Some(client) = slot.usable_client(address) {
            return Ok(client);
        }
        let remaining = deadline.saturating_duration_since(Instant::now());
        let open = self.open(&slot, daemon, address);
        match async_std::future::timeout(remaining, open).await {
            Ok(result) => result,
            Err(_) => Err(Failure::not_run(Reason::DeadlineExceeded)),
        }
    }

    async fn open(
        &self,
        slot: &LinkSlot,
        daemon: &DaemonId,
        address: SocketAddr,
    ) -> Result<Arc<CallClient>> {
        let _guard = slot.opening.lock().await;
        if let Some(client) = slot.usable_client(address) {
            return Ok(client);
        }
        let opened = link::connect(address, &self.identity, Purpose::Calls, &self.limits).await;
        let (tx, rx) = opened.map_err(|error| {
            metrics::counter!("sycamoreflow_call_link_failures_total").increment(1);
            tracing::debug!(%daemon, %error, "failed to open call link");
            Failure::not_run(Reason::ConnectionLost)
        })?;
        if tx.peer().daemon != *daemon {
            // Another daemon has taken over the address since the view was published.
            return Err(Failure::not_run(Reason::NoEndpoint));
        }
        let client = Arc::new(CallClient::start(tx, rx));
        *slot.current.lock() = Some((address, client.clone()));
        Ok(client)
    }

    fn slot(&self, daemon: &DaemonId) -> Arc<LinkSlot> {
        let mut slots = self.slots.lock();
        if let Some(slot) = slots.get(daemon) {
            return slot.clone();
        }
        let slot = Arc::new(LinkSlot::default());
        slots.insert(daemon.clone(), slot.clone());
        slot
    }
}

impl LinkSlot {
    fn usable_client(&self, address: SocketAddr) -> Option<Arc<CallClient>> {
        let current = self.current.lock();
        let (known, client) = current.as_ref()?;
        if *known != address || client.is_closed() {
            return None;
        }
        Some(client.clone())
    }
}

//! Request-response calls over a link that is opened on demand. Requests are numbered, so several
//! can be in flight on one link.

use std::collections::HashMap;
use std::marker::PhantomData;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use async_std::future::timeout;
use async_std::sync::Mutex as AsyncMutex;
use async_std::task;
use futures::channel::oneshot;
use parking_lot::Mutex;
use serde::Serialize;
use serde::de::DeserializeOwned;
use sycamoreflow_protocol::handshake::{Identity, Purpose};
use sycamoreflow_protocol::rpc::Numbered;
use sycamoreflow_transport::link::{self, Receiver, Sender};

use crate::traffic::{LinkMeter, Traffic};

/// A client that sends requests of type `Q` to one daemon and receives replies of type `R`.
#[derive(Debug)]
pub struct RpcClient<Q, R> {
    address: SocketAddr,
    identity: Identity,
    purpose: Purpose,
    limits: link::Limits,
    traffic: Arc<Traffic>,
    connection: AsyncMutex<Option<Connection<R>>>,
    next_number: AtomicU64,
    request: PhantomData<fn(Q)>,
}

#[derive(Debug)]
struct Connection<R> {
    tx: Sender,
    meter: Arc<LinkMeter>,
    pending: Pending<R>,
}

/// The reply channels of requests in flight, by request number.
type Pending<R> = Arc<Mutex<HashMap<u64, oneshot::Sender<R>>>>;

impl<R> Clone for Connection<R> {
    fn clone(&self) -> Self {
        Self {
            tx: self.tx.clone(),
            meter: self.meter.clone(),
            pending: self.pending.clone(),
        }
    }
}

impl<Q, R> RpcClient<Q, R>
where
    Q: Serialize,
    R: DeserializeOwned + Send + 'static,
{
    /// Creates a client. The first request opens the link.
    pub fn new(
        address: SocketAddr,
        identity: Identity,
        purpose: Purpose,
        limits: link::Limits,
        traffic: Arc<Traffic>,
    ) -> Self {
        Self {
            address,
            identity,
            purpose,
            limits,
            traffic,
            connection: AsyncMutex::new(None),
            next_number: AtomicU64::new(1),
            request: PhantomData,
        }
    }

    /// Sends a request and waits for its reply. Returns `None` if the link can't be opened or
    /// fails, or if there is no reply within `limit`. The daemon may have handled the request
    /// nevertheless.
    pub async fn request(&self, body: &Q, limit: Duration) -> Option<R> {
        timeout(limit, self.exchange(body)).await.ok().flatten()
    }

    async fn exchange(&self, body: &Q) -> Option<R> {
        let connection = self.connection().await?;
        let number = self.next_number.fetch_add(1, Ordering::Relaxed);
        let (tx, rx) = oneshot::channel();
        connection.pending.lock().insert(number, tx);
        let _guard = PendingGuard {
            pending: &connection.pending,
            number,
        };
        connection.tx.send(&Numbered { number, body }).ok()?;
        let reply = rx.await.ok();
        connection.meter.update(connection.tx.bytes());
        reply
    }

    async fn connection(&self) -> Option<Connection<R>> {
        let mut current = self.connection.lock().await;
        if let Some(connection) = current.as_ref().filter(|c| !c.tx.is_closed()) {
            return Some(connection.clone());
        }
        let opened = link::connect(self.address, &self.identity, self.purpose, &self.limits).await;
        let (tx, rx) = opened.ok()?;
        let connection = Connection {
            tx,
            meter: Arc::new(LinkMeter::new(self.traffic.clone())),
            pending: Pending::default(),
        };
        task::spawn(dispatch(connection.clone(), rx));
        *current = Some(connection.clone());
        Some(connection)
    }
}

/// Removes a request from the pending ones when it is dropped, including after a timeout.
struct PendingGuard<'a, R> {
    pending: &'a Pending<R>,
    number: u64,
}

impl<R> Drop for PendingGuard<'_, R> {
    fn drop(&mut self) {
        self.pending.lock().remove(&self.number);
    }
}

async fn dispatch<R: DeserializeOwned>(connection: Connection<R>, mut rx: Receiver) {
    while let Ok(reply) = rx.receive::<Numbered<R>>().await {
        let Some(reply_tx) = connection.pending.lock().remove(&reply.number) else {
            continue;
        };
        // Fails if the request has just timed out.
        let _ = reply_tx.send(reply.body);
    }
    connection.tx.close();
    connection.pending.lock().clear();
}

/// Handles and replies to the requests on a link, one after the other in the order of arrival,
/// until the link closes.
pub async fn serve<Q, R>(tx: Sender, mut rx: Receiver, mut handler: impl FnMut(Q) -> R)
where
    Q: DeserializeOwned,
    R: Serialize,
{
    while let Ok(request) = rx.receive::<Numbered<Q>>().await {
        let reply = Numbered {
            number: request.number,
            body: handler(request.body),
        };
        if tx.send_waiting(&reply).await.is_err() {
            return;
        }
    }
}

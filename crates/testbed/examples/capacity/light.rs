//! A lightweight subscriber, which uses the distribution protocol over a real link but keeps no
//! view.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use async_std::task::{self, JoinHandle};
use sycamoreflow_coordination::leases::RENEW_INTERVAL;
use sycamoreflow_protocol::distribution::{FromReplica, FromSubscriber};
use sycamoreflow_protocol::handshake::Purpose;
use sycamoreflow_state::endpoint::Endpoint;
use sycamoreflow_state::ids::ViewVersion;
use sycamoreflow_state::view::Interest;
use sycamoreflow_transport::link::{self, Receiver, Sender};

use crate::replica::identity;
use crate::world;

/// Number of attempts to subscribe before a subscriber gives up.
const MAX_ATTEMPTS: usize = 60;
/// Delay after a failed connection. Connections fail when many subscribers connect at once, since
/// the listener's queue is short.
const RETRY_PAUSE: Duration = Duration::from_millis(100);

/// Counters shared by all subscribers of a measurement.
#[derive(Debug, Default)]
pub(crate) struct Counts {
    /// Number of updates received.
    pub(crate) updates: AtomicU64,
    /// Bytes sent and received on links whose subscription was not admitted.
    pub(crate) refused_bytes: AtomicU64,
}

/// A subscriber that a replica has admitted.
pub(crate) struct LightSubscriber {
    tx: Sender,
    config: Arc<AtomicU64>,
    tasks: Vec<JoinHandle<()>>,
}

impl LightSubscriber {
    /// Subscribes as daemon `index`. Tries again until a replica admits it, after the delay that
    /// the replica asks for.
    pub(crate) async fn open(
        address: SocketAddr,
        index: usize,
        services: usize,
        have: Option<ViewVersion>,
        counts: Arc<Counts>,
    ) -> eyre::Result<Self> {
        let endpoints = vec![world::endpoint(index, services)];
        let identity = identity(&world::daemon(index))?;
        let limits = link::Limits::default();
        for _ in 0..MAX_ATTEMPTS {
            let opened = link::connect(address, &identity, Purpose::Distribution, &limits).await;
            let Ok((tx, mut rx)) = opened else {
                task::sleep(RETRY_PAUSE).await;
                continue;
            };
            let subscribe = FromSubscriber::Subscribe {
                departures: Vec::new(),
                interest: Interest::All,
                have,
                endpoints: endpoints.clone(),
            };
            tx.send(&subscribe)?;
            match rx.receive::<FromReplica>().await {
                Ok(FromReplica::Admitted { .. }) => {
                    return Ok(Self::start(tx, rx, endpoints, counts));
                }
                refusal => {
                    let bytes = tx.bytes();
                    let bytes = bytes.sent + bytes.received;
                    counts.refused_bytes.fetch_add(bytes, Ordering::Relaxed);
                    let wait = match refusal {
                        Ok(FromReplica::RetryAfter(wait)) => Duration::from_millis(wait.0),
                        _ => RETRY_PAUSE,
                    };
                    task::sleep(wait).await;
                }
            }
        }
        Err(eyre::eyre!("daemon {index} was not admitted"))
    }

    fn start(tx: Sender, rx: Receiver, endpoints: Vec<Endpoint>, counts: Arc<Counts>) -> Self {
        let config = Arc::new(AtomicU64::new(0));
        let confirming = task::spawn(confirm(tx.clone(), rx, config.clone(), counts));
        let renewing = task::spawn(renew(tx.clone(), endpoints));
        Self {
            tx,
            config,
            tasks: vec![confirming, renewing],
        }
    }

    /// Returns the configuration version that was confirmed last, or zero if there was none.
    pub(crate) fn config(&self) -> u64 {
        self.config.load(Ordering::Acquire)
    }

    /// Returns the bytes sent and received on the link.
    pub(crate) fn bytes(&self) -> u64 {
        let bytes = self.tx.bytes();
        bytes.sent + bytes.received
    }

    /// Stops renewals and confirmations and closes the link.
    pub(crate) async fn close(self) {
        for task in self.tasks {
            task.cancel().await;
        }
        self.tx.close();
    }
}

async fn confirm(tx: Sender, mut rx: Receiver, config: Arc<AtomicU64>, counts: Arc<Counts>) {
    while let Ok(frame) = rx.receive_encoded().await {
        let Ok(FromReplica::Update(delta)) = FromReplica::from_frame(&frame) else {
            continue;
        };
        counts.updates.fetch_add(1, Ordering::Relaxed);
        if tx.send(&FromSubscriber::InForce(delta.to)).is_err() {
            return;
        }
        config.store(delta.to.config.0, Ordering::Release);
    }
}

async fn renew(tx: Sender, endpoints: Vec<Endpoint>) {
    let message = FromSubscriber::Renew {
        departures: Vec::new(),
        endpoints,
        in_force: None,
    };
    loop {
        task::sleep(Duration::from_millis(RENEW_INTERVAL.0)).await;
        if tx.send(&message).is_err() {
            return;
        }
    }
}

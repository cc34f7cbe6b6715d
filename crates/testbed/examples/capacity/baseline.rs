//! The baseline for the distribution of views, which sends the full state at each change.
//!
//! It uses the same links and subscribers as the replica and encodes each full state once for all
//! subscribers. It has neither a log nor leases, so its measured costs are lower bounds.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use async_std::net::TcpListener;
use async_std::task::{self, JoinHandle};
use bytes::Bytes;
use parking_lot::Mutex;
use sycamoreflow_protocol::codec;
use sycamoreflow_protocol::distribution::{FromReplica, FromSubscriber};
use sycamoreflow_state::ids::ConfigVersion;
use sycamoreflow_state::view::{Delta, View};
use sycamoreflow_transport::link::{self, Sender};

use crate::replica::identity;
use crate::world;

/// A server that sends full states to its subscribers.
pub(crate) struct Baseline {
    address: SocketAddr,
    links: Arc<Mutex<Vec<Sender>>>,
    view: View,
    config: u64,
    accepting: JoinHandle<()>,
}

impl Baseline {
    /// Starts to accept subscribers on a loopback address. The state has the given numbers of
    /// services and endpoints.
    pub(crate) async fn start(services: usize, endpoints: usize) -> eyre::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let links = Arc::new(Mutex::new(Vec::new()));
        let accepting = task::spawn(accept(listener, links.clone()));
        Ok(Self {
            address,
            links,
            view: world::view(services, endpoints),
            config: 1,
            accepting,
        })
    }

    /// Returns the address at which subscribers connect.
    pub(crate) fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sends the full state with a new version to all subscribers and returns the configuration
    /// version.
    pub(crate) fn send_change(&mut self) -> eyre::Result<u64> {
        self.config += 1;
        let mut version = self.view.version();
        version.config = ConfigVersion(self.config);
        self.view.set_version(version);
        let update = FromReplica::Update(Box::new(Delta::full(&self.view)));
        let frame = Bytes::from(codec::encode(&update)?);
        for link in self.links.lock().iter() {
            link.send_encoded(frame.clone())?;
        }
        Ok(self.config)
    }

    /// Stops accepting and closes the links.
    pub(crate) async fn stop(self) {
        self.accepting.cancel().await;
        self.links.lock().clear();
    }
}

async fn accept(listener: TcpListener, links: Arc<Mutex<Vec<Sender>>>) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            task::sleep(Duration::from_millis(10)).await;
            continue;
        };
        task::spawn(serve(stream, links.clone()));
    }
}

async fn serve(stream: async_std::net::TcpStream, links: Arc<Mutex<Vec<Sender>>>) {
    let Ok(identity) = identity("replica") else {
        return;
    };
    let opened = link::accept(stream, &identity, &link::Limits::default()).await;
    let Ok((_, _, tx, mut rx)) = opened else {
        return;
    };
    let admitted = FromReplica::Admitted {
        floor: ConfigVersion(1),
    };
    if rx.receive::<FromSubscriber>().await.is_err() {
        return;
    }
    // The link is registered before the subscriber is admitted, so that no admitted subscriber
    // misses a change.
    links.lock().push(tx.clone());
    let _ = tx.send(&admitted);
    while rx.receive::<FromSubscriber>().await.is_ok() {}
}

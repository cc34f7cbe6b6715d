//! Links between control replicas, and the replication of the leader's view to followers.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use async_std::channel;
use async_std::task;
use futures::FutureExt;
use parking_lot::Mutex;
use sycamoreflow_coordination::suspect::relay::Source;
use sycamoreflow_protocol::distribution::{FromReplica, FromSubscriber};
use sycamoreflow_protocol::handshake::{Identity, Purpose};
use sycamoreflow_protocol::replica::ReplicaMessage;
use sycamoreflow_state::ids::DaemonId;
use sycamoreflow_transport::link::{self, Receiver, Sender};

use crate::control::hub::Hub;
use crate::control::replica::Event;
use crate::control::suspects::SuspectExchange;
use crate::replicas;
use crate::settings::ReplicaAddress;

/// Delay before a failed link is opened again. Raft resends messages that were lost meanwhile.
const RECONNECT_INTERVAL: Duration = Duration::from_millis(100);

/// Maximum number of replicas to which links are maintained. A group has far fewer members and
/// applicants.
const MAX_PEERS: usize = 64;

/// The links to the other control replicas, and the address of the leader whose view to follow.
#[derive(Debug)]
pub struct Peers {
    identity: Identity,
    limits: link::Limits,
    addresses: Mutex<BTreeMap<DaemonId, ReplicaAddress>>,
    links: Mutex<BTreeMap<DaemonId, Sender>>,
    leader: Mutex<Option<DaemonId>>,
    leader_changed: (channel::Sender<()>, channel::Receiver<()>),
    suspects: Arc<SuspectExchange>,
}

impl Peers {
    /// Creates the set of peers from `replicas` without opening links. The entry of this daemon is
    /// ignored. `suspects` are the crash records of this replica, which it sends to the others.
    pub fn new(
        replicas: &[ReplicaAddress],
        identity: &Identity,
        limits: &link::Limits,
        suspects: Arc<SuspectExchange>,
    ) -> Self {
        let others = replicas.iter().filter(|r| r.daemon != identity.daemon);
        Self {
            identity: identity.clone(),
            limits: limits.clone(),
            addresses: Mutex::new(others.map(|r| (r.daemon.clone(), r.clone())).collect()),
            links: Mutex::default(),
            leader: Mutex::default(),
            leader_changed: channel::bounded(1),
            suspects,
        }
    }

    /// Sends a message to a replica. The message is dropped if there is no open link. If the id of
    /// the replica is its address, the first message to it makes this replica open a link.
    pub fn send(self: &Arc<Self>, to: &DaemonId, message: &ReplicaMessage) {
        let link = self.links.lock().get(to).cloned();
        let Some(link) = link else {
            if let Some(address) = replicas::address_of(to) {
                self.connect_to(address);
            }
            return;
        };
        if link.send(message).is_err() {
            metrics::counter!("sycamoreflow_replica_messages_lost_total").increment(1);
        }
    }

    /// Sends a message to all other known replicas. It may be lost, as with [`send`](Self::send).
    pub fn send_to_all(self: &Arc<Self>, message: &ReplicaMessage) {
        let all: Vec<DaemonId> = self.addresses.lock().keys().cloned().collect();
        for to in all {
            self.send(&to, message);
        }
    }

    /// Closes the links to replicas whose id is their address and for which `wanted` returns
    /// `false`.
    pub fn retain(&self, wanted: impl Fn(&DaemonId) -> bool) {
        let mut addresses = self.addresses.lock();
        addresses.retain(|id, _| replicas::address_of(id).is_none() || wanted(id));
        let known: Vec<DaemonId> = addresses.keys().cloned().collect();
        drop(addresses);
        self.links.lock().retain(|id, link| {
            let is_known = known.contains(id);
            if !is_known {
                link.close();
            }
            is_known
        });
    }

    fn connect_to(self: &Arc<Self>, address: ReplicaAddress) {
        let mut addresses = self.addresses.lock();
        let is_known = addresses.contains_key(&address.daemon);
        if is_known || addresses.len() >= MAX_PEERS || address.daemon == self.identity.daemon {
            return;
        }
        addresses.insert(address.daemon.clone(), address.clone());
        drop(addresses);
        task::spawn(self.clone().maintain_link(address));
    }

    /// Sets the leader whose view this replica follows, or `None` if it knows no leader.
    pub fn set_leader(&self, leader: Option<DaemonId>) {
        *self.leader.lock() = leader;
        let _ = self.leader_changed.0.try_send(());
    }

    /// Returns the address of a replica, if it is known or the id is an address.
    pub fn address(&self, daemon: &DaemonId) -> Option<ReplicaAddress> {
        let known = self.addresses.lock().get(daemon).cloned();
        known.or_else(|| replicas::address_of(daemon))
    }

    /// Spawns tasks that keep a link to every other replica open.
    pub fn start(self: &Arc<Self>) {
        let all: Vec<ReplicaAddress> = self.addresses.lock().values().cloned().collect();
        for address in all {
            task::spawn(self.clone().maintain_link(address));
        }
    }

    async fn maintain_link(self: Arc<Self>, address: ReplicaAddress) {
        let mut failure_logged = false;
        while self.addresses.lock().contains_key(&address.daemon) {
            let opened =
                link::connect(address.link, &self.identity, Purpose::Raft, &self.limits).await;
            if let Ok((tx, mut rx)) = opened
                && tx.peer().daemon == address.daemon
            {
                tracing::info!(event = "replica_link", replica = %address.daemon, up = true);
                failure_logged = false;
                self.links.lock().insert(address.daemon.clone(), tx.clone());
                // The other replica sends over its own link. Receiving here only detects that this
                // link has closed.
                let closed = async { while rx.receive_encoded().await.is_ok() {} }.fuse();
                let suspects = self.suspects.serve_replica(&tx).fuse();
                futures::pin_mut!(closed, suspects);
                futures::select! {
                    () = closed => {}
                    _ = suspects => {}
                }
                self.links.lock().remove(&address.daemon);
            }
            if !failure_logged {
                tracing::warn!(event = "replica_link", replica = %address.daemon, up = false);
                failure_logged = true;
            }
            task::sleep(RECONNECT_INTERVAL).await;
        }
    }

    /// Receives the view from the current leader and publishes it in `hub`, also after a change of
    /// leader. Does not return.
    pub async fn follow_leader(self: Arc<Self>, hub: Arc<Hub>) {
        loop {
            let leader = self.leader.lock().clone();
            let own = &self.identity.daemon;
            let address = leader
                .filter(|leader| leader != own)
                .and_then(|leader| self.address(&leader));
            let changed = self.leader_changed.1.recv().fuse();
            let following = self.follow_replica(&hub, address).fuse();
            futures::pin_mut!(changed, following);
            futures::select! {
                _ = changed => {}
                () = following => task::sleep(RECONNECT_INTERVAL).await,
            }
        }
    }

    async fn follow_replica(&self, hub: &Hub, address: Option<ReplicaAddress>) {
        let Some(address) = address else {
            // There is nothing to follow if this replica leads or knows no leader.
            return futures::future::pending().await;
        };
        let opened = link::connect(
            address.link,
            &self.identity,
            Purpose::Distribution,
            &self.limits,
        );
        let Ok((tx, mut rx)) = opened.await else {
            return;
        };
        let view = hub.view();
        let have = (!view.is_empty()).then(|| view.version());
        if tx.send(&FromSubscriber::Follow { have }).is_err() {
            return;
        }
        while let Ok(frame) = rx.receive_encoded().await {
            let message = match FromReplica::from_frame(&frame) {
                Ok(message) => message,
                Err(error) => {
                    tracing::warn!(event = "replica_update", %error);
                    return;
                }
            };
            let delta = match message {
                FromReplica::Update(delta) => delta,
                // These reach this replica as `ReplicaMessage`s or through the log.
                FromReplica::QuotaGrants(_)
                | FromReplica::Suspects(_)
                | FromReplica::Grants(_)
                | FromReplica::Members(_) => {
                    continue;
                }
                _ => return,
            };
            if let Err(reason) = hub.publish_delta(&delta) {
                tracing::warn!(%reason, "rejected a view update from the leader");
                return;
            }
        }
    }
}

/// Passes the messages of another replica to this one until the link closes or this replica stops.
pub async fn serve(hub: Arc<Hub>, tx: Sender, mut rx: Receiver) {
    let from = tx.peer().daemon.clone();
    while let Ok(message) = rx.receive::<ReplicaMessage>().await {
        let event = match message {
            ReplicaMessage::Raft(message) => Event::Raft {
                from: from.clone(),
                message,
            },
            ReplicaMessage::Forward(messages) => Event::Forwarded {
                via: Some(from.clone()),
                messages,
            },
            ReplicaMessage::QuotaGrants(grants) => Event::QuotaGrants(grants),
            ReplicaMessage::Grants(grants) => Event::Grants(grants),
            ReplicaMessage::Suspects(report) => {
                hub.suspects().merge(&report, Source::Replica);
                continue;
            }
        };
        if !hub.send(event) {
            return;
        }
    }
}

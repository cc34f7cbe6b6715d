//! The control replicas that a daemon may contact.
//!
//! The settings of a mesh either name all replicas or contain seeds. Seeds are the addresses of
//! some replicas that existed when the settings were written; the members of the group are then
//! discovered from the group itself. In that case the id of a replica is the address of its link
//! listener, so that no directory is needed to connect to a replica by its id.

use std::net::SocketAddr;

use parking_lot::Mutex;
use sycamoreflow_state::ids::DaemonId;

use crate::settings::ReplicaAddress;

/// The addresses of the control replicas that this daemon knows.
#[derive(Debug, Default)]
pub struct Replicas {
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    /// Replicas or seeds in the settings.
    configured: Vec<ReplicaAddress>,
    /// Members of the group, as last reported by a replica.
    members: Vec<ReplicaAddress>,
}

impl Replicas {
    /// Creates the list with the replicas or seeds in the settings.
    pub fn new(configured: Vec<ReplicaAddress>) -> Self {
        let replicas = Self::default();
        replicas.set_configured(configured);
        replicas
    }

    /// Replaces the replicas or seeds that came from the settings. Reported members are kept.
    pub fn set_configured(&self, configured: Vec<ReplicaAddress>) {
        self.state.lock().configured = configured;
    }

    /// Replaces the reported members of the group. Ids that are not addresses are ignored: they
    /// belong to a mesh whose settings name all replicas.
    pub fn set_members(&self, members: &[DaemonId]) {
        let members = members.iter().filter_map(address_of).collect();
        self.state.lock().members = members;
    }

    /// Returns all known replicas without duplicates, reported members first.
    pub fn all(&self) -> Vec<ReplicaAddress> {
        let state = self.state.lock();
        let mut all = state.members.clone();
        for replica in &state.configured {
            if !all.contains(replica) {
                all.push(replica.clone());
            }
        }
        all
    }
}

/// Returns the id of a discovered replica, which is the address of its link listener.
pub fn id_of(link: SocketAddr) -> DaemonId {
    DaemonId::from(link.to_string())
}

/// Returns the address of a replica whose id is an address, and `None` for any other id.
pub fn address_of(id: &DaemonId) -> Option<ReplicaAddress> {
    let link = id.as_str().parse().ok()?;
    Some(ReplicaAddress {
        daemon: id.clone(),
        link,
    })
}

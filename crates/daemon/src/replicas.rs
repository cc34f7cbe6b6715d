//! The control replicas that a daemon may contact.
//!
//! A mesh either names its replicas in the settings, or finds them: the settings then hold seeds,
//! some replicas that were there when the settings were written, and the group tells who its
//! members are. The id of a replica that is found is the address of its link listener, so that an
//! id leads to its replica without a directory.

use std::net::SocketAddr;

use parking_lot::Mutex;
use sycamoreflow_state::ids::DaemonId;

use crate::settings::ReplicaAddress;

/// Where control replicas are, as far as this daemon knows.
#[derive(Debug, Default)]
pub struct Replicas {
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    /// Replicas or seeds from the settings.
    configured: Vec<ReplicaAddress>,
    /// Members of the group, as a replica has reported them.
    members: Vec<ReplicaAddress>,
}

impl Replicas {
    /// Starts with the replicas or seeds of the settings.
    pub fn new(configured: Vec<ReplicaAddress>) -> Self {
        let replicas = Self::default();
        replicas.set_configured(configured);
        replicas
    }

    /// Replaces the replicas or seeds of the settings.
    pub fn set_configured(&self, configured: Vec<ReplicaAddress>) {
        self.state.lock().configured = configured;
    }

    /// Takes over the members that a replica has named. Ids that are no addresses belong to a mesh
    /// whose settings name all replicas.
    pub fn set_members(&self, members: &[DaemonId]) {
        let members = members.iter().filter_map(address_of).collect();
        self.state.lock().members = members;
    }

    /// Returns all replicas that are known.
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

/// Returns the id of a replica that is found at the address of its link listener.
pub fn id_of(link: SocketAddr) -> DaemonId {
    DaemonId::from(link.to_string())
}

/// Returns the address of a replica whose id is one.
pub fn address_of(id: &DaemonId) -> Option<ReplicaAddress> {
    let link = id.as_str().parse().ok()?;
    Some(ReplicaAddress {
        daemon: id.clone(),
        link,
    })
}

//! A control replica with its applied state, its published view and, while it leads, the endpoint
//! table. It behaves like `crates/daemon/src/control`.

use std::sync::Arc;

use sycamoreflow_coordination::distribution::Distribution;
use sycamoreflow_coordination::leases::Leases;
use sycamoreflow_coordination::machine::drains::DrainOrders;
use sycamoreflow_coordination::machine::{Command, ControlState};
use sycamoreflow_coordination::publication::Publication;
use sycamoreflow_state::config::Share;
use sycamoreflow_state::ids::{Millis, ServiceName};
use sycamoreflow_state::view::{Interest, View};

use crate::oracle::Oracle;

#[derive(Debug)]
pub(crate) struct Leader {
    pub(crate) leases: Leases,
    publication: Publication,
    pub(crate) dirty: bool,
}

#[derive(Debug, Default)]
pub(crate) struct Replica {
    pub(crate) state: ControlState,
    pub(crate) distribution: Distribution,
    pub(crate) leader: Option<Leader>,
    /// Time since which the replica can't reach any other replica. Subscribers can still reach it.
    pub(crate) isolated: Option<Millis>,
}

impl Replica {
    /// Applies the next committed command and returns whether there was one.
    pub(crate) fn apply_next(&mut self, log: &[Command]) -> bool {
        let next = self.state.applied() as usize;
        let Some(command) = log.get(next) else {
            return false;
        };
        self.state.apply(next as u64 + 1, command);
        if let Some(leader) = &mut self.leader {
            leader.dirty = true;
        }
        true
    }

    /// Becomes the leader. The replica must have applied all committed commands.
    pub(crate) fn become_leader(&mut self, now: Millis, term: u64) {
        let followed = self.distribution.view().as_ref().clone();
        let mut leases = Leases::default();
        let endpoints = followed.endpoints().cloned();
        leases.take_over(now, term, endpoints, &DrainOrders::default());
        // This model keeps the orders of operators with the endpoints instead of in the log.
        let drained = followed.endpoints().filter(|e| e.drained_by_operator);
        for endpoint in drained {
            leases.set_draining(&endpoint.daemon, true);
        }
        self.leader = Some(Leader {
            leases,
            publication: Publication::new(followed),
            dirty: true,
        });
    }

    /// Ends expired leases and publishes a new view if anything has changed.
    pub(crate) fn tick(&mut self, now: Millis, oracle: &mut Oracle) {
        let Some(leader) = &mut self.leader else {
            return;
        };
        let services = &self.state.approved().config.services;
        let minimum = |service: &ServiceName| {
            let service = services.get(service);
            service.map_or(Share::NONE, |service| service.min_endpoints)
        };
        let expiries = leader.leases.tick(now, minimum);
        oracle.counts.expiries += expiries.removed.len() as u64;
        leader.dirty |= !expiries.removed.is_empty();
        if !std::mem::take(&mut leader.dirty) {
            return;
        }
        let view = leader.publication.update(&self.state, &leader.leases);
        oracle.published(&leader.leases, &view);
        self.distribution.publish(Arc::new(view));
    }

    /// Brings the view up to date with the leader. Returns `false` if the update was rejected.
    pub(crate) fn copy_view(&mut self, leader: &Distribution) -> bool {
        let own = self.distribution.view();
        let have = (!own.is_empty()).then(|| own.version());
        let Some(delta) = leader.update_for(&Interest::All, have) else {
            return true;
        };
        match own.apply(&delta) {
            Ok(view) => {
                self.distribution.publish(Arc::new(view));
                true
            }
            Err(rejection) => rejection.is_duplicate(),
        }
    }

    pub(crate) fn view(&self) -> &View {
        self.distribution.view()
    }
}

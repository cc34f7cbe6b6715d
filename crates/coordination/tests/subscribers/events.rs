//! Faults and changes that occur at random during a test case.

use rand::RngExt;
use sycamoreflow_state::ids::Millis;

use crate::content;
use crate::replica::Replica;
use crate::simulation::{REPLICAS, SUBSCRIBERS, Simulation};

impl Simulation {
    pub(crate) fn inject_event(&mut self) {
        let subscriber = self.rng.random_range(0..SUBSCRIBERS);
        let replica = self.rng.random_range(0..REPLICAS);
        match self.rng.random_range(0..100) {
            0..5 => self.approve(),
            5..15 => self.announce(subscriber),
            15..17 => self.drain(subscriber),
            17..20 => self.restart_subscriber(subscriber),
            20..22 => self.leader = None,
            22..24 => self.isolate(replica),
            24..29 => self.reconnect(replica),
            29 => self.restart_replica(replica),
            30..33 => {
                let pause = Millis(200);
                self.subscribers[subscriber].end_session(self.now, pause);
            }
            33..35 => self.silent_until[subscriber] = self.now.after(self.outage_duration()),
            35 if self.one_in(3) => self.group_down_until = self.now.after(self.outage_duration()),
            // The subscriber is silent for longer than its lease.
            36..38 => {
                let pause = Millis(8_000);
                self.subscribers[subscriber].end_session(self.now, pause);
            }
            38 if self.one_in(4) => self.fail_together(subscriber),
            39 => self.fail_with_witness(subscriber),
            _ => {}
        }
    }

    pub(crate) fn outage_duration(&mut self) -> Millis {
        let duration = self.delay(5_000);
        duration.after(Millis(500))
    }

    pub(crate) fn stop_faults(&mut self) {
        self.faults_stopped = true;
        self.group_down_until = self.now;
        self.silent_until.fill(self.now);
        for replica in 0..REPLICAS {
            self.reconnect(replica);
        }
        for number in 0..SUBSCRIBERS {
            // Updates may have been lost, and a link that has lost one is closed.
            self.subscribers[number].end_session(self.now, Millis(100));
        }
    }

    pub(crate) fn approve(&mut self) {
        if self.acting_leader().is_none() {
            return;
        }
        let number = self.log.len() as u64 + 1;
        let command = content::approval(&mut self.rng, number, self.accepted.version());
        self.accepted.apply(number, &command);
        self.oracle.accepted(&self.accepted);
        self.log.push(command);
    }

    pub(crate) fn announce(&mut self, number: usize) {
        let service = content::SERVICES[self.rng.random_range(0..content::SERVICES.len())];
        let endpoint = content::endpoint(number, service, self.rng.random_range(1..4));
        let endpoints = &mut self.subscribers[number].endpoints;
        let known = endpoints.len();
        endpoints.retain(|endpoint| endpoint.service.as_str() != service);
        if known == endpoints.len() || self.rng.random_bool(0.5) {
            endpoints.push(endpoint);
        }
        self.subscribers[number].next_renewal = self.now;
    }

    pub(crate) fn drain(&mut self, number: usize) {
        let draining = self.rng.random_bool(0.7);
        let Some(leader) = self.acting_leader() else {
            return;
        };
        let daemon = content::name(number).as_str().into();
        if let Some(leader) = &mut self.replicas[leader].leader
            && leader.leases.set_draining(&daemon, draining)
        {
            leader.dirty = true;
            self.oracle.counts.drains += 1;
        }
    }

    pub(crate) fn restart_subscriber(&mut self, number: usize) {
        self.subscribers[number].restart(self.now);
        self.oracle.counts.restarts += 1;
    }

    pub(crate) fn isolate(&mut self, replica: usize) {
        let others = self
            .replicas
            .iter()
            .filter(|r| r.isolated.is_some())
            .count();
        if others == 0 {
            self.replicas[replica].isolated = Some(self.now);
            // The other replicas elect a new leader, of which the isolated one does not know yet.
            if self.leader == Some(replica) {
                self.leader = None;
            }
        }
    }

    pub(crate) fn reconnect(&mut self, replica: usize) {
        if self.replicas[replica].isolated.take().is_some() {
            self.replicas[replica].leader = None;
        }
    }

    /// Restarts a subscriber and two of its three witnesses while no replica is reachable.
    pub(crate) fn fail_together(&mut self, number: usize) {
        self.group_down_until = self.now.after(self.outage_duration());
        for n in 0..3 {
            self.restart_subscriber((number + n) % SUBSCRIBERS);
        }
    }

    /// Restarts a subscriber and one of its three witnesses while no replica is reachable and
    /// another witness does not answer.
    pub(crate) fn fail_with_witness(&mut self, number: usize) {
        self.group_down_until = self.now.after(self.outage_duration());
        let lost = self.rng.random_range(0..3);
        let silent = (lost + self.rng.random_range(1..3)) % 3;
        let witnesses = &self.subscribers[number].witnesses;
        let (lost, silent) = (witnesses[lost], witnesses[silent]);
        self.silent_until[silent] = self.group_down_until;
        self.restart_subscriber(lost);
        self.restart_subscriber(number);
    }

    /// Restarts a replica with the state from its disk and without a view.
    pub(crate) fn restart_replica(&mut self, replica: usize) {
        let state = std::mem::take(&mut self.replicas[replica].state);
        let isolated = self.replicas[replica].isolated;
        self.replicas[replica] = Replica {
            state,
            isolated,
            ..Replica::default()
        };
        if self.leader == Some(replica) {
            self.leader = None;
        }
        for subscriber in &mut self.subscribers {
            if subscriber.session.is_some_and(|s| s.replica == replica) {
                subscriber.end_session(self.now, Millis(100));
            }
        }
    }
}

//! The simulation: virtual clock, network and injected faults.

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use sycamoreflow_coordination::leases::RENEW_INTERVAL;
use sycamoreflow_coordination::machine::{Command, ControlState};
use sycamoreflow_state::endpoint::Endpoint;
use sycamoreflow_state::ids::{ConfigVersion, Millis};
use sycamoreflow_state::view::Delta;

use crate::content;
use crate::oracle::{Counts, Oracle};
use crate::replica::Replica;
use crate::subscriber::{ActivationContext, Session, Subscriber};
use crate::witnesses::StageRequest;

pub(crate) const REPLICAS: usize = 3;
pub(crate) const SUBSCRIBERS: usize = 6;
const STEP: Millis = Millis(50);

/// Time for which a replica without a quorum keeps its sessions, and an isolated leader its role.
const NO_QUORUM_AFTER: Millis = Millis(1_500);

/// Steps without faults, 15 s in total, after which all subscribers must have converged.
const FAULT_FREE_STEPS: usize = 300;

/// A fault that is injected to check that the oracle detects it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Fault {
    None,
    /// A replica admits subscriptions without confirmation by a quorum.
    UnconfirmedJoin,
    /// A subscriber accepts full states without a version check.
    StaleUpdateAccepted,
    /// A restarted witness answers with the floor zero instead of no floor.
    WitnessAnswersZero,
    /// A subscriber activates every second version without staging it.
    UnstagedActivation,
    /// A new leader starts its endpoint versions at the first term again.
    TermNotRaised,
    /// A subscriber activates views from which a resource is missing.
    MissingResource,
}

pub(crate) struct CaseResult {
    pub(crate) violation: Option<String>,
    pub(crate) counts: Counts,
}

pub(crate) struct Simulation {
    pub(crate) rng: ChaCha8Rng,
    pub(crate) fault: Fault,
    pub(crate) now: Millis,
    pub(crate) faults_stopped: bool,
    pub(crate) log: Vec<Command>,
    pub(crate) accepted: ControlState,
    pub(crate) replicas: Vec<Replica>,
    pub(crate) term: u64,
    pub(crate) leader: Option<usize>,
    /// Time until which subscribers can't reach any replica.
    pub(crate) group_down_until: Millis,
    /// Time until which each subscriber does not answer as a witness.
    pub(crate) silent_until: Vec<Millis>,
    pub(crate) subscribers: Vec<Subscriber>,
    pub(crate) stage_requests: Vec<StageRequest>,
    pub(crate) oracle: Oracle,
}

impl Simulation {
    pub(crate) fn new(seed: u64, fault: Fault) -> Self {
        Self {
            rng: ChaCha8Rng::seed_from_u64(seed),
            fault,
            now: Millis(1_000),
            faults_stopped: false,
            log: Vec::new(),
            accepted: ControlState::default(),
            replicas: (0..REPLICAS).map(|_| Replica::default()).collect(),
            term: 0,
            leader: None,
            group_down_until: Millis(0),
            silent_until: vec![Millis(0); SUBSCRIBERS],
            subscribers: (0..SUBSCRIBERS)
                .map(|n| Subscriber::new(n, SUBSCRIBERS))
                .collect(),
            stage_requests: Vec::new(),
            oracle: Oracle::new(SUBSCRIBERS),
        }
    }

    /// Runs `steps` steps with faults.
    pub(crate) fn run_with_faults(mut self, steps: usize) -> CaseResult {
        self.step_with_faults(steps);
        self.end()
    }

    /// Runs `steps` steps with faults and [`FAULT_FREE_STEPS`] without, then checks that all
    /// subscribers have converged.
    pub(crate) fn run(mut self, steps: usize) -> CaseResult {
        self.step_with_faults(steps);
        if self.oracle.violation.is_some() {
            return self.end();
        }
        self.stop_faults();
        for _ in 0..FAULT_FREE_STEPS {
            self.step();
        }
        self.check_convergence();
        self.end()
    }

    pub(crate) fn step_with_faults(&mut self, steps: usize) {
        for _ in 0..steps {
            self.inject_event();
            self.step();
            if self.oracle.violation.is_some() {
                return;
            }
        }
    }

    pub(crate) fn end(self) -> CaseResult {
        CaseResult {
            violation: self.oracle.violation,
            counts: self.oracle.counts,
        }
    }

    pub(crate) fn step(&mut self) {
        self.now = self.now.after(STEP);
        self.step_group();
        for replica in &mut self.replicas {
            replica.tick(self.now, &mut self.oracle);
        }
        self.replicate_views();
        for number in 0..SUBSCRIBERS {
            self.join(number);
            self.renew(number);
            self.send_update(number);
            self.deliver_updates(number);
        }
        self.step_witnesses();
    }

    /// Returns `true` with a probability of `1 / n`.
    pub(crate) fn one_in(&mut self, n: u32) -> bool {
        self.rng.random_range(0..n) == 0
    }

    pub(crate) fn delay(&mut self, max: u64) -> Millis {
        Millis(self.rng.random_range(0..=max))
    }

    /// Returns the elected leader if it has taken the role.
    pub(crate) fn acting_leader(&self) -> Option<usize> {
        self.leader
            .filter(|leader| self.replicas[*leader].leader.is_some())
    }

    pub(crate) fn step_group(&mut self) {
        for replica in 0..REPLICAS {
            let Some(since) = self.replicas[replica].isolated else {
                if self.faults_stopped || self.one_in(2) {
                    self.replicas[replica].apply_next(&self.log);
                }
                continue;
            };
            if self.now.since(since) < NO_QUORUM_AFTER {
                continue;
            }
            self.replicas[replica].leader = None;
            self.end_sessions(replica);
        }
        if self.leader.is_none() && self.one_in(10) {
            self.elect();
        }
    }

    /// Ends the sessions of a replica that has lost its quorum.
    pub(crate) fn end_sessions(&mut self, replica: usize) {
        if self.fault == Fault::UnconfirmedJoin {
            return;
        }
        for subscriber in &mut self.subscribers {
            if subscriber.session.is_some_and(|s| s.replica == replica) {
                subscriber.end_session(self.now, Millis(200));
            }
        }
    }

    pub(crate) fn elect(&mut self) {
        let candidate = self.rng.random_range(0..REPLICAS);
        if self.replicas[candidate].isolated.is_some() {
            return;
        }
        self.term += 1;
        for replica in &mut self.replicas {
            if replica.isolated.is_none() {
                replica.leader = None;
            }
        }
        let replica = &mut self.replicas[candidate];
        while replica.apply_next(&self.log) {}
        let term = match self.fault {
            Fault::TermNotRaised => 1,
            _ => self.term,
        };
        replica.become_leader(self.now, term);
        self.leader = Some(candidate);
        self.oracle.counts.leaders += 1;
    }

    pub(crate) fn replicate_views(&mut self) {
        let Some(leader) = self.acting_leader() else {
            return;
        };
        for replica in 0..REPLICAS {
            let is_excluded = replica == leader || self.replicas[replica].isolated.is_some();
            if is_excluded || !(self.faults_stopped || self.one_in(3)) {
                continue;
            }
            let Ok([leader, follower]) = self.replicas.get_disjoint_mut([leader, replica]) else {
                continue;
            };
            follower.copy_view(&leader.distribution);
        }
    }

    /// Returns the newest accepted version if `replica` can confirm it with a quorum.
    pub(crate) fn confirmed_version(&self, replica: usize) -> Option<ConfigVersion> {
        let is_reachable = self.replicas[replica].isolated.is_none();
        let confirmed = self.acting_leader().map(|_| self.accepted.version());
        confirmed.filter(|_| is_reachable)
    }

    pub(crate) fn join(&mut self, number: usize) {
        let subscriber = &self.subscribers[number];
        let is_busy = subscriber.session.is_some() || subscriber.is_staging();
        if is_busy || self.now < subscriber.next_join {
            return;
        }
        let replica = self.rng.random_range(0..REPLICAS);
        let view = self.replicas[replica].view().version().config;
        let unchecked = (self.fault == Fault::UnconfirmedJoin).then_some(view);
        let confirmed = unchecked.or_else(|| self.confirmed_version(replica));
        let is_admitted = confirmed.is_some_and(|floor| view >= floor);
        if self.now < self.group_down_until || !is_admitted {
            self.oracle.counts.unconfirmed_refused += 1;
            let wait = self.delay(1_000);
            self.subscribers[number].end_session(self.now, wait);
            if self.subscribers[number].view.is_none() {
                self.start_from_witnesses(number);
            }
            return;
        }
        let subscriber = &mut self.subscribers[number];
        subscriber.raise_floor(view);
        subscriber.next_renewal = self.now;
        subscriber.session = Some(Session {
            replica,
            sent: subscriber.view.as_ref().map(|view| view.version()),
        });
    }

    pub(crate) fn renew(&mut self, number: usize) {
        let Some(session) = self.session(number) else {
            return;
        };
        if self.now < self.subscribers[number].next_renewal {
            return;
        }
        self.subscribers[number].next_renewal = self.now.after(RENEW_INTERVAL);
        let is_isolated = self.replicas[session.replica].isolated.is_some();
        let to = match is_isolated {
            true => Some(session.replica),
            false => self.acting_leader(),
        };
        let Some(leader) = to.and_then(|to| self.replicas[to].leader.as_mut()) else {
            return;
        };
        let daemon = content::name(number).as_str().into();
        let endpoints = &self.subscribers[number].endpoints;
        leader.dirty |= leader.leases.renew(self.now, &daemon, endpoints);
    }

    /// Returns the session of a subscriber. If the group is unreachable, ends it and returns
    /// `None`.
    pub(crate) fn session(&mut self, number: usize) -> Option<Session> {
        let session = self.subscribers[number].session?;
        if self.now < self.group_down_until {
            self.subscribers[number].end_session(self.now, Millis(300));
            return None;
        }
        Some(session)
    }

    pub(crate) fn send_update(&mut self, number: usize) {
        let Some(mut session) = self.session(number) else {
            return;
        };
        let interest = &self.subscribers[number].interest;
        let distribution = &self.replicas[session.replica].distribution;
        let Some(delta) = distribution.update_for(interest, session.sent) else {
            return;
        };
        session.sent = Some(delta.to);
        self.subscribers[number].session = Some(session);
        let copies = match self.rng.random_range(0..20) {
            _ if self.faults_stopped => 1,
            0 => 0,
            1 => 2,
            _ => 1,
        };
        for _ in 0..copies {
            // Random delays reorder updates.
            let max = if self.faults_stopped { 0 } else { 120 };
            let at = self.now.after(self.delay(max));
            self.subscribers[number].inbox.push((at, delta.clone()));
        }
    }

    pub(crate) fn deliver_updates(&mut self, number: usize) {
        while let Some(delta) = self.next_update(number) {
            let processes = self.processes(number);
            let context = ActivationContext {
                fault: self.fault,
                unprotected: false,
                processes: &processes,
            };
            let subscriber = &mut self.subscribers[number];
            if !subscriber.apply_update(self.now, &delta, &context, &mut self.oracle) {
                let wait = self.delay(300);
                self.subscribers[number].end_session(self.now, wait);
            }
        }
    }

    /// Removes and returns the next update that is due. Returns `None` while the subscriber stages
    /// a view or has no session.
    pub(crate) fn next_update(&mut self, number: usize) -> Option<Delta> {
        let now = self.now;
        let subscriber = &mut self.subscribers[number];
        if subscriber.is_staging() || subscriber.session.is_none() {
            return None;
        }
        let inbox = &mut subscriber.inbox;
        let due = inbox.iter().enumerate().filter(|(_, (at, _))| *at <= now);
        let next = due.min_by_key(|(_, (at, _))| *at).map(|(index, _)| index)?;
        Some(inbox.remove(next).1)
    }

    pub(crate) fn check_convergence(&mut self) {
        let Some(leader) = self.acting_leader() else {
            self.oracle
                .fail("no leader is elected once the faults stop".to_owned());
            return;
        };
        let newest = self.replicas[leader].view().clone();
        if newest.version().config != self.accepted.version() {
            self.oracle
                .fail("the leader does not publish the newest accepted version".to_owned());
        }
        let mut announced: Vec<_> = self.subscribers.iter().flat_map(|s| &s.endpoints).collect();
        let mut table: Vec<_> = newest.endpoints().collect();
        let order = |e: &&Endpoint| (e.daemon.clone(), e.service.clone(), e.slots);
        announced.sort_by_key(order);
        table.sort_by_key(order);
        if !announced.iter().map(order).eq(table.iter().map(order)) {
            self.oracle
                .fail("the endpoint table differs from the announced endpoints".to_owned());
        }
        for number in 0..SUBSCRIBERS {
            let subscriber = &self.subscribers[number];
            let expected = newest.restrict(&subscriber.interest);
            let own = subscriber.view.as_ref();
            let is_current = own.is_some_and(|own| {
                own.version().config == expected.version().config
                    && own.digest() == expected.digest()
            });
            if !is_current {
                let own = own.map(|own| own.version().to_string());
                let to = expected.version();
                self.oracle.fail(format!(
                    "d{number} has not converged: {own:?} instead of {to}"
                ));
            }
        }
    }
}

//! What an entry daemon knows of one service: estimates, ejections, budgets, shares, evidence.
//!
//! It outlives the views, so that a change of configuration loses no observation.

use std::collections::HashMap;
use std::net::SocketAddr;

use parking_lot::Mutex;
use sycamoreflow_coordination::ejection::{Change, Ejector};
use sycamoreflow_coordination::evidence::{
    CallOutcome, EvidenceRecorder, FinishedCall, RolloutEvidence,
};
use sycamoreflow_coordination::retry::{Attempts, BudgetConfig, Next, RetryBudget};
use sycamoreflow_coordination::routing::{CallResult, Outcome, Router, RouterConfig};
use sycamoreflow_coordination::shares::{Attempt, Grant, ShareCounter};
use sycamoreflow_state::config::{ServiceConfig, TrafficSplit};
use sycamoreflow_state::endpoint::Endpoint;
use sycamoreflow_state::ids::{DaemonId, Micros, RouteName, VersionName};
use sycamoreflow_state::verdict::{Failure, Reason, Verdict};

use crate::clock;

/// A service as one entry daemon sees it.
#[derive(Debug)]
pub struct Service {
    state: Mutex<State>,
}

#[derive(Debug)]
struct State {
    config: ServiceConfig,
    split: TrafficSplit,
    endpoints: Vec<Endpoint>,
    addresses: HashMap<DaemonId, SocketAddr>,
    router: Router,
    ejector: Ejector,
    budget: RetryBudget,
    shares: ShareCounter,
    evidence: EvidenceRecorder,
}

/// Where one attempt of a call goes.
#[derive(Clone, Debug)]
pub struct Target {
    /// Daemon beside the upstream.
    pub daemon: DaemonId,
    /// Address of its link listener.
    pub address: SocketAddr,
    /// Version of the upstream.
    pub version: VersionName,
}

/// How one attempt ended.
#[derive(Clone, Copy, Debug)]
pub struct AttemptEnd {
    /// HTTP status, or why there is none.
    pub result: Result<u16, Failure>,
    /// Time from the send to the end.
    pub latency: Micros,
    /// Whether this was the first send of the call.
    pub first: bool,
}

impl Service {
    /// Starts without observations. `incarnation` differs between two starts of the daemon.
    pub fn new(
        router: RouterConfig,
        config: &ServiceConfig,
        split: &TrafficSplit,
        incarnation: u64,
    ) -> Self {
        let state = State {
            config: config.clone(),
            split: split.clone(),
            endpoints: Vec::new(),
            addresses: HashMap::new(),
            router: Router::new(router),
            ejector: Ejector::new(config.min_endpoints),
            budget: RetryBudget::new(budget_config(config)),
            shares: ShareCounter::new(incarnation),
            evidence: EvidenceRecorder::new(),
        };
        Self {
            state: Mutex::new(state),
        }
    }

    /// Takes over the configuration and the endpoints of a new view.
    pub fn update(&self, config: &ServiceConfig, split: &TrafficSplit, endpoints: &[Endpoint]) {
        let now = clock::now();
        let mut state = self.state.lock();
        let state = &mut *state;
        if state.config.min_endpoints != config.min_endpoints {
            state.ejector = Ejector::new(config.min_endpoints);
        }
        if state.config.retry_budget != config.retry_budget {
            state.budget = RetryBudget::new(budget_config(config));
        }
        state.config = config.clone();
        state.split = split.clone();
        if state.endpoints == endpoints {
            return;
        }
        state.endpoints = endpoints.to_vec();
        let addresses = endpoints.iter().map(|e| (e.daemon.clone(), e.address));
        state.addresses = addresses.collect();
        state.router.set_endpoints(now, endpoints);
        let ids: Vec<DaemonId> = endpoints.iter().map(|e| e.daemon.clone()).collect();
        let changes = state.ejector.set_endpoints(now, &ids);
        state.apply(changes);
    }

    /// Chooses the version and the endpoint of the next attempt, and counts it as started.
    pub fn pick(&self, attempts: &mut Attempts, first: bool) -> Option<Target> {
        let now = clock::now();
        let mut state = self.state.lock();
        let state = &mut *state;
        if first {
            state.budget.first_send();
        }
        let attempt = if first {
            Attempt::First
        } else {
            Attempt::Retry
        };
        let mut version = state.shares.pick(now, &state.split, attempt);
        let mut daemon = attempts.pick(|exclude| state.router.choose(now, &version, exclude));
        let candidate = state.split.candidate.as_ref();
        if let (None, Some(candidate)) = (&daemon, candidate)
            && candidate.version == version
        {
            state.shares.unsent(candidate.rollout);
            version = state.split.stable.clone();
            daemon = attempts.pick(|exclude| state.router.choose(now, &version, exclude));
        }
        let daemon = daemon?;
        state.router.started(now, &daemon);
        let address = *state.addresses.get(&daemon)?;
        Some(Target {
            daemon,
            address,
            version,
        })
    }

    /// Takes in the end of an attempt.
    pub fn finished(&self, route: &RouteName, target: &Target, end: AttemptEnd) {
        let now = clock::now();
        let mut state = self.state.lock();
        let state = &mut *state;
        let outcome = Outcome {
            latency: end.latency,
            result: call_result(end.result),
        };
        state.router.finished(now, &target.daemon, outcome);
        let changes = state.ejector.observe(now, &target.daemon, outcome);
        state.apply(changes);
        if !end.first {
            return;
        }
        let finished = FinishedCall {
            route,
            version: &target.version,
            endpoint: state.rank_of(target),
            outcome: call_outcome(end.result),
            latency_us: end.latency.0,
        };
        let rule = &state.config.rollout;
        let cut_off = state.evidence.record(now, &state.split, rule, &finished);
        if let Some(rollout) = cut_off {
            state.shares.stop(rollout);
            metrics::counter!("sycamoreflow_local_cutoffs_total").increment(1);
            tracing::warn!(rollout, version = %target.version, "candidate cut off at this daemon");
        }
    }

    /// Takes in that the caller has gone before the attempt ended.
    pub fn cancelled(&self, target: &Target) {
        let outcome = Outcome {
            latency: Micros(0),
            result: CallResult::Cancelled,
        };
        let mut state = self.state.lock();
        state.router.finished(clock::now(), &target.daemon, outcome);
    }

    /// Takes in that the link to a daemon has broken.
    pub fn link_down(&self, daemon: &DaemonId) {
        let mut state = self.state.lock();
        let changes = state.ejector.link_down(clock::now(), daemon);
        state.apply(changes);
    }

    /// Decides what follows a failed attempt.
    pub fn failed(&self, attempts: &mut Attempts, failure: Failure) -> Next {
        let mut state = self.state.lock();
        attempts.failed(clock::now(), failure, &mut state.budget)
    }

    /// Returns the evidence of a running rollout.
    pub fn report(&self) -> Option<RolloutEvidence> {
        let mut state = self.state.lock();
        state.split.candidate.as_ref()?;
        let shares = state.shares.report(clock::now());
        state.evidence.report(shares)
    }

    /// Takes in credits from the leader. Returns whether they were meant for this service.
    pub fn grant(&self, grant: &Grant) -> bool {
        self.state.lock().shares.grant(clock::now(), grant)
    }

    /// Returns an ejected endpoint that is to be probed now.
    pub fn next_probe(&self) -> Option<Target> {
        let mut state = self.state.lock();
        let daemon = state.ejector.next_probe(clock::now())?;
        let endpoint = state.endpoints.iter().find(|e| e.daemon == daemon)?;
        Some(Target {
            address: endpoint.address,
            version: endpoint.version.clone(),
            daemon,
        })
    }

    /// Takes in the result of a probe.
    pub fn probed(&self, daemon: &DaemonId, success: bool) {
        let mut state = self.state.lock();
        let changes = state.ejector.probed(clock::now(), daemon, success);
        state.apply(changes);
    }

    /// Returns the time limit for the whole call if the caller sets none.
    pub fn config(&self) -> ServiceConfig {
        self.state.lock().config.clone()
    }
}

impl State {
    fn apply(&mut self, changes: Vec<Change>) {
        for change in changes {
            let (id, available) = match &change {
                Change::Ejected(id) => (id, false),
                Change::Returned(id) => (id, true),
            };
            tracing::info!(endpoint = %id, available, "endpoint availability changed");
            metrics::counter!("sycamoreflow_ejection_changes_total").increment(1);
            self.router.set_available(id, available);
        }
    }

    /// Returns the rank of the endpoint among those of its version, ordered by daemon.
    fn rank_of(&self, target: &Target) -> usize {
        let same_version = self
            .endpoints
            .iter()
            .filter(|e| e.version == target.version);
        same_version.filter(|e| e.daemon < target.daemon).count()
    }
}

fn budget_config(config: &ServiceConfig) -> BudgetConfig {
    BudgetConfig {
        per_first_send: config.retry_budget,
        ..BudgetConfig::default()
    }
}

fn call_result(result: Result<u16, Failure>) -> CallResult {
    match result {
        Ok(status) if status >= 500 => CallResult::Failure,
        Ok(_) => CallResult::Success,
        Err(failure) if failure.verdict == Verdict::NotRun => match failure.reason {
            Reason::Draining => CallResult::Draining,
            _ => CallResult::Refused,
        },
        Err(_) => CallResult::Failure,
    }
}

fn call_outcome(result: Result<u16, Failure>) -> CallOutcome {
    match call_result(result) {
        CallResult::Success => CallOutcome::Succeeded,
        CallResult::Refused | CallResult::Draining => CallOutcome::Refused,
        CallResult::Failure | CallResult::Cancelled => CallOutcome::Failed,
    }
}

//! What an entry daemon knows of one service: estimates, ejections, budgets, shares, evidence.
//!
//! It outlives the views, so that a change of configuration loses no observation.

use std::collections::HashMap;
use std::net::SocketAddr;

use parking_lot::Mutex;
use sycamoreflow_coordination::ejection::{EjectionChange, Ejector};
use sycamoreflow_coordination::evidence::{
    CallOutcome, EvidenceRecorder, FinishedCall, RolloutEvidence, StartedCall, report_interval,
};
use sycamoreflow_coordination::retry::{Attempts, BudgetConfig, RetryBudget, RetryDecision};
use sycamoreflow_coordination::routing::{
    CallResult, LatencyObjective, Load, Outcome, Router, RouterConfig,
};
use sycamoreflow_coordination::shares::{Attempt, Grant, ShareCounter};
use sycamoreflow_state::config::{ServiceConfig, TrafficSplit};
use sycamoreflow_state::endpoint::Endpoint;
use sycamoreflow_state::ids::{DaemonId, Micros, Millis, RouteName, VersionName};
use sycamoreflow_state::verdict::{Failure, Reason, Verdict};

use crate::clock;

/// A service as one entry daemon sees it.
#[derive(Debug)]
pub struct Service {
    state: Mutex<State>,
}

#[derive(Debug)]
struct State {
    seed: u64,
    config: ServiceConfig,
    split: TrafficSplit,
    endpoints: Vec<Endpoint>,
    /// Daemons beside the endpoints of the candidate that take new calls, in order.
    candidates: Vec<DaemonId>,
    addresses: HashMap<DaemonId, SocketAddr>,
    router: Router,
    ejector: Ejector,
    budget: RetryBudget,
    /// Retries that can be saved up. `None` leaves it to the default, which does not depend on the
    /// number of daemons that share a budget.
    retry_burst: Option<u64>,
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
    /// Part of it for which the call waited for a slot at the other end. It depends on the load of the
    /// endpoint and says nothing about its version.
    pub waited: Micros,
    /// Whether no earlier send of the call has reached an upstream.
    pub first: bool,
    /// Number of the attempt in the evidence, from [`Service::started`].
    pub evidence_number: Option<u64>,
    /// Whether a daemon refused the send for lack of room, which says nothing about the version.
    pub refused_for_overload: bool,
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
            seed: incarnation,
            config: config.clone(),
            split: split.clone(),
            endpoints: Vec::new(),
            candidates: Vec::new(),
            addresses: HashMap::new(),
            router: Router::new(router),
            ejector: Ejector::new(config.min_endpoints).with_seed(incarnation),
            budget: RetryBudget::new(budget_config(config, None)),
            retry_burst: None,
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
            state.ejector = Ejector::new(config.min_endpoints).with_seed(state.seed);
            state.endpoints.clear();
        }
        if state.config.retry_budget != config.retry_budget {
            state.budget = RetryBudget::new(budget_config(config, state.retry_burst));
        }
        state.config = config.clone();
        state.split = split.clone();
        state.set_candidates(endpoints);
        if state.endpoints == endpoints {
            return;
        }
        state.endpoints = endpoints.to_vec();
        let addresses = endpoints.iter().map(|e| (e.daemon.clone(), e.address));
        state.addresses = addresses.collect();
        state.router.set_endpoints(now, endpoints);
        let ids: Vec<DaemonId> = endpoints.iter().map(|e| e.daemon.clone()).collect();
        let changes = state.ejector.set_endpoints(now, &ids);
        state.apply_ejection_changes(changes);
    }

    /// Chooses the version and the endpoint of the next attempt, and counts it as started. With a
    /// goal, the chance of an answer in time decides; without one, the expected latency.
    pub fn pick(
        &self,
        attempts: &mut Attempts,
        first: bool,
        objective: Option<&LatencyObjective>,
    ) -> Option<Target> {
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
        state.shares.compare(state.evidence.wants_comparison());
        let mut version = state.shares.pick(now, &state.split, attempt);
        let mut daemon = state.choose_endpoint(now, attempts, &version, objective);
        if daemon.is_none() {
            version = state.fallback_version(now, &version)?;
            daemon = state.choose_endpoint(now, attempts, &version, objective);
        }
        let Some(daemon) = daemon else {
            state.return_share(&version);
            return None;
        };
        state.router.started(now, &daemon);
        let address = *state.addresses.get(&daemon)?;
        Some(Target {
            daemon,
            address,
            version,
        })
    }

    /// Notes the send of an attempt. Returns its number in the evidence if it is watched until its end.
    pub fn started(&self, route: &RouteName, target: &Target) -> Option<u64> {
        let now = clock::now();
        let mut state = self.state.lock();
        let state = &mut *state;
        // The rank costs a pass over the endpoints.
        if state.split.candidate.as_ref()?.version != target.version {
            return None;
        }
        let call = StartedCall {
            route,
            version: &target.version,
            endpoint: state.rank_of(target),
        };
        let rule = &state.config.rollout;
        state.evidence.started(now, &state.split, rule, &call)
    }

    /// Takes in the end of an attempt. Returns whether the evidence has to be reported at once.
    pub fn finished(&self, route: &RouteName, target: &Target, end: AttemptEnd) -> bool {
        let now = clock::now();
        let mut state = self.state.lock();
        let state = &mut *state;
        let outcome = Outcome {
            latency: end.latency,
            result: call_result(end.result),
        };
        state.router.finished(now, &target.daemon, outcome);
        let changes = state.ejector.observe(now, &target.daemon, outcome);
        state.apply_ejection_changes(changes);
        let outcome = call_outcome(end.result);
        match (end.evidence_number, outcome) {
            (Some(number), CallOutcome::TimedOut) => state.evidence.abandoned(now, number),
            (Some(number), _) => state.evidence.ended(number),
            (None, _) => {}
        }
        if end.refused_for_overload {
            state.return_share(&target.version);
            return false;
        }
        if !end.first {
            return false;
        }
        let finished = FinishedCall {
            route,
            version: &target.version,
            endpoint: state.rank_of(target),
            outcome,
            latency_us: end.latency.0.saturating_sub(end.waited.0),
        };
        if end.result.is_ok() {
            state.shares.answered();
        }
        let rule = &state.config.rollout;
        let cut_off = state.evidence.record(now, &state.split, rule, &finished);
        let Some(rollout) = cut_off else {
            return false;
        };
        state.shares.stop(rollout);
        metrics::counter!("sycamoreflow_local_cutoffs_total").increment(1);
        tracing::warn!(rollout, version = %target.version, "candidate cut off at this daemon");
        true
    }

    /// Takes in the load of an endpoint that came with a reply on a route.
    pub fn observe_load(&self, target: &Target, route: &RouteName, load: Load) {
        let mut state = self.state.lock();
        let router = &mut state.router;
        router.observe_load(clock::now(), &target.daemon, load, route);
    }

    /// Sets the number of retries that can be saved up at this daemon.
    pub fn set_retry_burst(&self, burst: Option<u64>) {
        let mut state = self.state.lock();
        if state.retry_burst == burst {
            return;
        }
        state.retry_burst = burst;
        state.budget = RetryBudget::new(budget_config(&state.config, burst));
    }

    /// Takes in that the caller has gone before the attempt ended. `watched` is its number in the
    /// evidence.
    pub fn cancelled(&self, target: &Target, evidence_number: Option<u64>) {
        let outcome = Outcome {
            latency: Micros(0),
            result: CallResult::Cancelled,
        };
        let now = clock::now();
        let mut state = self.state.lock();
        state.router.finished(now, &target.daemon, outcome);
        if let Some(number) = evidence_number {
            state.evidence.abandoned(now, number);
        }
    }

    /// Takes in that the link to a daemon has broken.
    pub fn link_down(&self, daemon: &DaemonId) {
        let mut state = self.state.lock();
        let changes = state.ejector.link_down(clock::now(), daemon);
        state.apply_ejection_changes(changes);
    }

    /// Decides what follows a failed attempt.
    pub fn failed(&self, attempts: &mut Attempts, failure: Failure) -> RetryDecision {
        let mut state = self.state.lock();
        attempts.failed(clock::now(), failure, &mut state.budget)
    }

    /// Decides whether a call that an endpoint has failed is sent again: the endpoint fails more than
    /// others do, and the call may be repeated.
    pub fn retries_outlier_failure(&self, attempts: &mut Attempts, target: &Target) -> bool {
        let now = clock::now();
        let mut state = self.state.lock();
        let state = &mut *state;
        if !state.router.is_outlier(now, &target.daemon) {
            return false;
        }
        let failure = Failure::may_have_run(Reason::BadAnswer);
        attempts.failed(now, failure, &mut state.budget) == RetryDecision::Retry
    }

    /// Returns when a refused caller is likely to find room.
    pub fn retry_after(&self) -> Millis {
        self.state.lock().router.retry_after(clock::now())
    }

    /// Returns whether the service is under rollout.
    pub fn has_rollout(&self) -> bool {
        self.state.lock().split.candidate.is_some()
    }

    /// Returns the interval between reports of its evidence.
    pub fn report_interval(&self) -> Millis {
        report_interval(&self.state.lock().split)
    }

    /// Returns the evidence of a running rollout.
    pub fn report(&self) -> Option<RolloutEvidence> {
        let mut state = self.state.lock();
        state.split.candidate.as_ref()?;
        let now = clock::now();
        let shares = state.shares.report(now);
        state.evidence.report(now, shares)
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
        state.apply_ejection_changes(changes);
    }
}

impl State {
    fn choose_endpoint(
        &mut self,
        now: Millis,
        attempts: &mut Attempts,
        version: &VersionName,
        objective: Option<&LatencyObjective>,
    ) -> Option<DaemonId> {
        let out_of_turn = self.endpoints_out_of_turn(now, version);
        let router = &mut self.router;
        let mut choose = |exclude: &[DaemonId]| match objective {
            Some(objective) => router.choose_for(now, version, exclude, objective),
            None => router.choose(now, version, exclude),
        };
        let choose = |exclude: &[DaemonId]| match out_of_turn.is_empty() {
            true => choose(exclude),
            false => choose(&[exclude, &out_of_turn].concat()),
        };
        match objective {
            Some(_) => attempts.pick_untried_after_refusal(choose),
            None => attempts.pick(choose),
        }
    }

    /// Returns the endpoints of a version that get nothing now, as others have their turn in a test.
    fn endpoints_out_of_turn(&self, now: Millis, version: &VersionName) -> Vec<DaemonId> {
        let candidate = self.split.candidate.as_ref();
        let is_candidate = candidate.is_some_and(|candidate| candidate.version == *version);
        let Some(turn) = self.shares.turn(now).filter(|_| is_candidate) else {
            return Vec::new();
        };
        let ranked = self.candidates.iter().enumerate();
        ranked
            .filter(|(rank, _)| !turn.contains(*rank))
            .map(|(_, daemon)| daemon.clone())
            .collect()
    }

    fn set_candidates(&mut self, endpoints: &[Endpoint]) {
        self.candidates.clear();
        let Some(candidate) = &self.split.candidate else {
            return;
        };
        let usable = endpoints
            .iter()
            .filter(|e| e.version == candidate.version && !e.draining);
        self.candidates.extend(usable.map(|e| e.daemon.clone()));
        self.candidates.sort();
        self.shares.set_endpoints(self.candidates.len());
    }

    fn apply_ejection_changes(&mut self, changes: Vec<EjectionChange>) {
        for change in changes {
            let (id, available) = match &change {
                EjectionChange::Ejected(id) => (id, false),
                EjectionChange::Reinstated(id) => (id, true),
            };
            tracing::info!(endpoint = %id, available, "endpoint availability changed");
            metrics::counter!("sycamoreflow_ejection_changes_total").increment(1);
            self.router.set_available(id, available);
        }
    }

    /// Returns the version to use when `chosen` has no endpoint.
    ///
    /// The stable version stands in for the candidate at every share.
    fn fallback_version(&mut self, now: Millis, chosen: &VersionName) -> Option<VersionName> {
        let candidate = self.split.candidate.as_ref()?;
        if candidate.version == *chosen {
            self.shares.unsent(candidate.rollout);
            return Some(self.split.stable.clone());
        }
        let may_substitute = self.shares.stand_in(now, &self.split);
        may_substitute.then(|| candidate.version.clone())
    }

    /// Gives back the allowance of a send that did not reach the candidate.
    fn return_share(&mut self, version: &VersionName) {
        let candidate = self.split.candidate.as_ref();
        if let Some(candidate) = candidate.filter(|c| c.version == *version) {
            self.shares.unsent(candidate.rollout);
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

fn budget_config(config: &ServiceConfig, burst: Option<u64>) -> BudgetConfig {
    let default = BudgetConfig {
        per_first_send: config.retry_budget,
        ..BudgetConfig::default()
    };
    match burst {
        Some(burst) => BudgetConfig {
            per_second: 0,
            burst,
            ..default
        },
        None => default,
    }
}

fn call_result(result: Result<u16, Failure>) -> CallResult {
    match result {
        Ok(status) if status >= 500 => CallResult::Failure,
        Ok(_) => CallResult::Success,
        Err(failure) if failure == Failure::not_run(Reason::Draining) => CallResult::Draining,
        Err(failure) if failure.verdict == Verdict::NotRun => CallResult::Refused,
        Err(_) => CallResult::Failure,
    }
}

fn call_outcome(result: Result<u16, Failure>) -> CallOutcome {
    if result == Err(Failure::may_have_run(Reason::DeadlineExceeded)) {
        return CallOutcome::TimedOut;
    }
    match call_result(result) {
        CallResult::Success => CallOutcome::Succeeded,
        CallResult::Refused | CallResult::Draining => CallOutcome::Refused,
        CallResult::Failure | CallResult::Cancelled => CallOutcome::Failed,
    }
}

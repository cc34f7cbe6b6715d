//! State of one service at an entry daemon: router estimates, ejections, retry budget, rollout
//! shares and rollout evidence.
//!
//! It is kept when the view changes, so that a configuration change loses no observations.

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

/// State of a service at an entry daemon, shared by all requests to the service.
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
    /// Daemons of the candidate's endpoints that accept new calls, sorted by identifier.
    candidates: Vec<DaemonId>,
    addresses: HashMap<DaemonId, SocketAddr>,
    router: Router,
    ejector: Ejector,
    budget: RetryBudget,
    /// Maximum number of retries that can accumulate. With `None`, the default budget applies,
    /// which does not depend on the number of daemons.
    retry_burst: Option<u64>,
    shares: ShareCounter,
    evidence: EvidenceRecorder,
}

/// Destination of one attempt.
#[derive(Clone, Debug)]
pub struct Target {
    /// Daemon on the host of the upstream.
    pub daemon: DaemonId,
    /// Address of the link listener of that daemon.
    pub address: SocketAddr,
    /// Version of the upstream.
    pub version: VersionName,
}

/// How one attempt ended.
#[derive(Clone, Copy, Debug)]
pub struct AttemptEnd {
    /// HTTP status of the answer, or the failure if there is no answer.
    pub result: Result<u16, Failure>,
    /// Time from the start to the end of the attempt, including `waited`.
    pub latency: Micros,
    /// Part of `latency` for which the call waited for a slot at the endpoint. It is excluded from
    /// the evidence, since it depends on the load of the endpoint and not on its version.
    pub waited: Micros,
    /// Whether no earlier attempt of the request has reached an upstream.
    pub first: bool,
    /// Number of the attempt in the rollout evidence, from [`Service::started`].
    pub evidence_number: Option<u64>,
    /// Whether a daemon refused the attempt for lack of capacity. Such an attempt is excluded from
    /// the evidence, since the refusal does not depend on the version.
    pub refused_for_overload: bool,
}

impl Service {
    /// Creates the state without observations. `incarnation` differs between starts of the daemon
    /// and serves as a random seed.
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

    /// Applies the configuration and the endpoints of a new view.
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

    /// Chooses the version and the endpoint of the next attempt, and counts it as started.
    ///
    /// With an objective, the router chooses the highest expected utility of the answer; without
    /// one, it prefers low expected latency. Returns `None` if no endpoint can take the request.
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
        state
            .shares
            .set_comparing(state.evidence.wants_comparison());
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

    /// Records the start of an attempt. Returns its number in the rollout evidence if the evidence
    /// tracks the attempt until it ends.
    pub fn started(&self, route: &RouteName, target: &Target) -> Option<u64> {
        let now = clock::now();
        let mut state = self.state.lock();
        let state = &mut *state;
        // Avoids `rank_of` for other versions, since it iterates over all endpoints.
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

    /// Records the end of an attempt. Returns whether the evidence must be reported immediately,
    /// because this daemon has stopped sending requests to the candidate.
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
        tracing::warn!(rollout, version = %target.version, "daemon stopped sending requests to the candidate");
        true
    }

    /// Records the load of an endpoint, which arrived with the reply to a call of `route`.
    pub fn observe_load(&self, target: &Target, route: &RouteName, load: Load) {
        let mut state = self.state.lock();
        let router = &mut state.router;
        router.observe_load(clock::now(), &target.daemon, load, route);
    }

    /// Sets the maximum number of retries that can accumulate at this daemon. With `None`, the
    /// default budget applies. A change resets the retry budget.
    pub fn set_retry_burst(&self, burst: Option<u64>) {
        let mut state = self.state.lock();
        if state.retry_burst == burst {
            return;
        }
        state.retry_burst = burst;
        state.budget = RetryBudget::new(budget_config(&state.config, burst));
    }

    /// Records that the caller cancelled the request before the attempt ended. `evidence_number` is
    /// the number from [`Service::started`].
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

    /// Records that the link to a daemon was lost, which may eject its endpoint.
    pub fn link_down(&self, daemon: &DaemonId) {
        let mut state = self.state.lock();
        let changes = state.ejector.link_down(clock::now(), daemon);
        state.apply_ejection_changes(changes);
    }

    /// Decides whether to retry after a failed attempt.
    pub fn failed(&self, attempts: &mut Attempts, failure: Failure) -> RetryDecision {
        let mut state = self.state.lock();
        attempts.failed(clock::now(), failure, &mut state.budget)
    }

    /// Decides whether to retry a request that an endpoint answered with a server error. It is
    /// retried if another endpoint is likely to answer it and the request may be repeated.
    pub fn retries_server_error(&self, attempts: &mut Attempts, target: &Target) -> bool {
        let now = clock::now();
        let mut state = self.state.lock();
        let state = &mut *state;
        let router = &state.router;
        let succeeds_elsewhere = router.is_outlier(now, &target.daemon)
            || router.is_isolated_failure(now, &target.daemon);
        if !succeeds_elsewhere {
            return false;
        }
        let failure = Failure::may_have_run(Reason::BadAnswer);
        attempts.failed(now, failure, &mut state.budget) == RetryDecision::Retry
    }

    /// Returns the delay after which a retry by a caller that gets a failure with this reason is
    /// likely to be accepted.
    pub fn retry_after(&self, reason: Reason) -> Millis {
        let overloaded = matches!(reason, Reason::Overloaded | Reason::Shed);
        let mut state = self.state.lock();
        state.router.retry_after(clock::now(), overloaded)
    }

    /// Returns whether the service has a running rollout.
    pub fn has_rollout(&self) -> bool {
        self.state.lock().split.candidate.is_some()
    }

    /// Returns the interval between reports of the rollout evidence.
    pub fn report_interval(&self) -> Millis {
        report_interval(&self.state.lock().split)
    }

    /// Returns the evidence of the running rollout, if there is one.
    pub fn report(&self) -> Option<RolloutEvidence> {
        let mut state = self.state.lock();
        state.split.candidate.as_ref()?;
        let now = clock::now();
        let shares = state.shares.report(now);
        state.evidence.report(now, shares)
    }

    /// Applies credits granted by the leader. Returns whether they belong to the rollout of this
    /// service.
    pub fn grant(&self, grant: &Grant) -> bool {
        self.state.lock().shares.grant(clock::now(), grant)
    }

    /// Returns an ejected endpoint that is due for a probe, if there is one.
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

    /// Records the result of a probe, which may reinstate the endpoint.
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
        let inactive = self.inactive_candidates(now, version);
        let router = &mut self.router;
        let mut choose = |exclude: &[DaemonId]| match objective {
            Some(objective) => router.choose_for(now, version, exclude, objective),
            None => router.choose(now, version, exclude),
        };
        let choose = |exclude: &[DaemonId]| match inactive.is_empty() {
            true => choose(exclude),
            false => choose(&[exclude, &inactive].concat()),
        };
        match objective {
            Some(_) => attempts.pick_untried_after_refusal(choose),
            None => attempts.pick(choose),
        }
    }

    /// Returns the endpoints of the candidate that get no requests now, because a full-load test
    /// currently uses others. Returns none for other versions and outside of a test.
    fn inactive_candidates(&self, now: Millis, version: &VersionName) -> Vec<DaemonId> {
        let candidate = self.split.candidate.as_ref();
        let is_candidate = candidate.is_some_and(|candidate| candidate.version == *version);
        let Some(active) = self.shares.active_endpoints(now).filter(|_| is_candidate) else {
            return Vec::new();
        };
        let ranked = self.candidates.iter().enumerate();
        ranked
            .filter(|(rank, _)| !active.contains(*rank))
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

    /// Returns the version to use if `chosen` has no endpoint.
    ///
    /// The stable version replaces the candidate at any share. The candidate replaces the stable
    /// version only if [`ShareCounter::take_fallback_call`] allows it.
    fn fallback_version(&mut self, now: Millis, chosen: &VersionName) -> Option<VersionName> {
        let candidate = self.split.candidate.as_ref()?;
        if candidate.version == *chosen {
            self.shares.refund_unsent(candidate.rollout);
            return Some(self.split.stable.clone());
        }
        let may_substitute = self.shares.take_fallback_call(now, &self.split);
        may_substitute.then(|| candidate.version.clone())
    }

    /// Returns the allowance of an attempt that was not sent to the candidate, or that the
    /// candidate's endpoint refused for lack of capacity. Has no effect for other versions.
    fn return_share(&mut self, version: &VersionName) {
        let candidate = self.split.candidate.as_ref();
        if let Some(candidate) = candidate.filter(|c| c.version == *version) {
            self.shares.refund_unsent(candidate.rollout);
        }
    }

    /// Returns the index of the endpoint among those of its version, sorted by daemon identifier.
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
        Err(failure) if failure.reason == Reason::Draining => CallResult::Draining,
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

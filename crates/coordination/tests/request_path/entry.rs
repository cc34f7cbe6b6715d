//! The entry role of a simulated daemon: handles each send of a request through all its attempts.

use sycamoreflow_coordination::admission::CallId;
use sycamoreflow_coordination::dedup::{Action, KeyClaim, KeyRequest};
use sycamoreflow_coordination::ejection::{EjectionChange, Ejector};
use sycamoreflow_coordination::fingerprint::Fingerprint;
use sycamoreflow_coordination::retry::{Attempts, BudgetConfig, RetryBudget, RetryDecision};
use sycamoreflow_coordination::routing::{CallResult, Outcome, Router, RouterConfig};
use sycamoreflow_coordination::suspect::{CrashStatus, Suspects};
use sycamoreflow_state::config::Share;
use sycamoreflow_state::endpoint::Endpoint;
use sycamoreflow_state::ids::{DaemonId, Micros, Millis};
use sycamoreflow_state::verdict::{Failure, Reason, Verdict};

use crate::oracle::Response;
use crate::owner::Call;
use crate::simulation::Fault;

/// A send without a response yet, or whose claim is not complete.
pub(crate) struct Send {
    pub(crate) number: usize,
    fingerprint: Fingerprint,
    deadline: Millis,
    attempts: Attempts,
    pub(crate) claim: Option<KeyClaim>,
    /// Call of the attempt in flight, its endpoint and its start time.
    current: Option<(CallId, DaemonId, Millis)>,
    responded: bool,
}

/// An effect that the simulation must carry out for the entry daemon.
pub(crate) enum Effect {
    Call(DaemonId, Call),
    Cancel(DaemonId, CallId),
    Key(usize, DaemonId, KeyRequest),
    Respond(usize, Response),
    Retried,
}

pub(crate) struct Entry {
    index: usize,
    fault: Fault,
    router: Router,
    ejector: Ejector,
    budget: RetryBudget,
    pub(crate) sends: Vec<Send>,
}

impl Entry {
    pub(crate) fn new(index: usize, seed: u64, fault: Fault, endpoints: &[Endpoint]) -> Self {
        let mut router = Router::new(RouterConfig {
            daemon: format!("d{index}").into(),
            data_centre: "a".into(),
            remote_latency: Micros(500),
            seed,
        });
        router.set_endpoints(Millis(0), endpoints);
        let mut ejector = Ejector::new(Share::percent(50));
        let ids: Vec<DaemonId> = endpoints.iter().map(|e| e.daemon.clone()).collect();
        ejector.set_endpoints(Millis(0), &ids);
        Self {
            index,
            fault,
            router,
            ejector,
            budget: RetryBudget::new(BudgetConfig::default()),
            sends: Vec::new(),
        }
    }

    /// Starts a send for a caller. `claim` is present if the request has an idempotency key.
    pub(crate) fn begin(
        &mut self,
        now: Millis,
        number: usize,
        fingerprint: Fingerprint,
        (idempotent, deadline): (bool, Millis),
        claim: Option<KeyClaim>,
        suspects: &Suspects,
    ) -> Vec<Effect> {
        self.budget.first_send();
        self.sends.push(Send {
            number,
            fingerprint,
            deadline,
            attempts: Attempts::new(idempotent, deadline, 3),
            claim,
            current: None,
            responded: false,
        });
        let index = self.sends.len() - 1;
        if self.sends[index].claim.is_none() {
            return self.attempt(now, index, suspects);
        }
        self.step_claim(now, index, suspects, |claim| claim.start(now))
    }

    /// Applies `step` to the claim of a send, if it has one, and carries out the resulting actions.
    pub(crate) fn step_claim(
        &mut self,
        now: Millis,
        index: usize,
        suspects: &Suspects,
        step: impl FnOnce(&mut KeyClaim) -> Vec<Action>,
    ) -> Vec<Effect> {
        let Some(claim) = &mut self.sends[index].claim else {
            return Vec::new();
        };
        let mut effects = Vec::new();
        for action in step(claim) {
            match action {
                Action::Send(to, request) => {
                    effects.push(Effect::Key(self.sends[index].number, to, request));
                }
                Action::Run => effects.extend(self.attempt(now, index, suspects)),
                Action::Return(answer) => {
                    let request = usize::from(answer[0]);
                    effects.extend(self.respond(index, Response::Answer(request)));
                }
                Action::Fail(failure) => {
                    effects.extend(self.respond(index, Response::Failure(failure)));
                }
            }
        }
        effects
    }

    pub(crate) fn tick(&mut self, now: Millis, suspects: &Suspects) -> Vec<Effect> {
        let mut effects = Vec::new();
        while let Some(id) = self.ejector.next_probe(now) {
            let changes = self.ejector.probed(now, &id, true);
            self.apply_ejection_changes(changes);
        }
        for index in 0..self.sends.len() {
            let expired = now >= self.sends[index].deadline;
            if expired && let Some((id, endpoint, _)) = self.sends[index].current.clone() {
                effects.push(Effect::Cancel(endpoint, id));
                let failure = Failure::may_have_run(Reason::DeadlineExceeded);
                effects.extend(self.ended(now, id, Err(failure), suspects));
            }
            effects.extend(self.step_claim(now, index, suspects, |claim| claim.tick(now)));
        }
        let unfinished = |s: &Send| !s.responded || s.claim.as_ref().is_some_and(|c| !c.is_done());
        self.sends.retain(unfinished);
        effects
    }

    /// Records that the link to `endpoint` broke. Calls in flight on it may or may not run.
    pub(crate) fn link_lost(
        &mut self,
        now: Millis,
        endpoint: &DaemonId,
        suspects: &Suspects,
    ) -> Vec<Effect> {
        let changes = self.ejector.link_down(now, endpoint);
        self.apply_ejection_changes(changes);
        let on_link = self.sends.iter().filter_map(|s| s.current.clone());
        let calls: Vec<CallId> = on_link.filter(|c| c.1 == *endpoint).map(|c| c.0).collect();
        let failure = Failure::may_have_run(Reason::ConnectionLost);
        let mut effects = Vec::new();
        for id in calls {
            effects.extend(self.ended(now, id, Err(failure), suspects));
        }
        effects
    }

    /// Records the end of a call. `Ok` carries the number of the request that the answer belongs
    /// to. Answers to abandoned attempts are ignored.
    pub(crate) fn ended(
        &mut self,
        now: Millis,
        id: CallId,
        result: Result<usize, Failure>,
        suspects: &Suspects,
    ) -> Vec<Effect> {
        let in_flight = |s: &Send| s.current.as_ref().is_some_and(|c| c.0 == id);
        let Some(index) = self.sends.iter().position(in_flight) else {
            return Vec::new();
        };
        let Some((_, endpoint, started)) = self.sends[index].current.take() else {
            return Vec::new();
        };
        self.record_outcome(now, &endpoint, started, result);
        match result {
            Ok(request) if self.sends[index].claim.is_some() => {
                let answer = vec![request as u8];
                self.step_claim(now, index, suspects, |claim| claim.answered(now, answer))
            }
            Ok(request) => self.respond(index, Response::Answer(request)),
            Err(failure) => self.failed(now, index, failure, suspects),
        }
    }

    fn failed(
        &mut self,
        now: Millis,
        index: usize,
        failure: Failure,
        suspects: &Suspects,
    ) -> Vec<Effect> {
        let next = self.sends[index]
            .attempts
            .failed(now, failure, &mut self.budget);
        let retries_anyway = self.fault == Fault::RetryAfterMayHaveRun
            && failure.verdict == Verdict::MayHaveRun
            && now < self.sends[index].deadline;
        match next {
            RetryDecision::Fail(_) if retries_anyway => self.attempt(now, index, suspects),
            RetryDecision::Fail(_) if self.fault == Fault::LatestVerdictOnly => {
                self.fail_send(now, index, failure, suspects)
            }
            RetryDecision::Fail(failure) => self.fail_send(now, index, failure, suspects),
            RetryDecision::Retry => {
                let mut effects = vec![Effect::Retried];
                effects.extend(self.attempt(now, index, suspects));
                effects
            }
        }
    }

    fn attempt(&mut self, now: Millis, index: usize, suspects: &Suspects) -> Vec<Effect> {
        let send = &mut self.sends[index];
        if suspects.status(now, &send.fingerprint) == CrashStatus::Refused {
            let failure = send.attempts.failure(Reason::CrashesUpstreams);
            return self.fail_send(now, index, failure, suspects);
        }
        let router = &mut self.router;
        let choose = |avoid: &[DaemonId]| router.choose(now, &"v1".into(), avoid);
        let Some(endpoint) = send.attempts.pick(choose) else {
            let failure = send.attempts.failure(Reason::NoEndpoint);
            return self.fail_send(now, index, failure, suspects);
        };
        self.router.started(now, &endpoint);
        let count = send.attempts.tried().len() as u64;
        let id = CallId(send.number as u64 * 16 + count);
        send.current = Some((id, endpoint.clone(), now));
        let call = Call {
            id,
            send: send.number,
            entry: self.index,
            fingerprint: send.fingerprint,
            deadline: send.deadline,
        };
        vec![Effect::Call(endpoint, call)]
    }

    fn fail_send(
        &mut self,
        now: Millis,
        index: usize,
        failure: Failure,
        suspects: &Suspects,
    ) -> Vec<Effect> {
        if self.sends[index].claim.is_some() {
            return self.step_claim(now, index, suspects, |claim| claim.failed(now, failure));
        }
        self.respond(index, Response::Failure(failure))
    }

    fn respond(&mut self, index: usize, response: Response) -> Vec<Effect> {
        self.sends[index].responded = true;
        vec![Effect::Respond(self.sends[index].number, response)]
    }

    fn record_outcome(
        &mut self,
        now: Millis,
        endpoint: &DaemonId,
        started: Millis,
        result: Result<usize, Failure>,
    ) {
        let result = match result {
            Ok(_) => CallResult::Success,
            Err(failure) if failure.verdict == Verdict::NotRun => CallResult::Refused,
            Err(_) => CallResult::Failure,
        };
        let outcome = Outcome {
            latency: now.since(started).into(),
            result,
        };
        self.router.finished(now, endpoint, outcome);
        let changes = self.ejector.observe(now, endpoint, outcome);
        self.apply_ejection_changes(changes);
    }

    fn apply_ejection_changes(&mut self, changes: Vec<EjectionChange>) {
        for change in changes {
            match change {
                EjectionChange::Ejected(id) => self.router.set_available(&id, false),
                EjectionChange::Reinstated(id) => self.router.set_available(&id, true),
            }
        }
    }
}

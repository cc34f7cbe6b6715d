//! Request processing: attempts, admission at the owner daemon, and completion of calls.

use std::collections::BTreeMap;

use rand::RngExt;
use sycamoreflow_coordination::admission::{CallId, Decision, Released, UpstreamResult};
use sycamoreflow_coordination::fingerprint::Fingerprint;
use sycamoreflow_coordination::retry::{Attempts, RetryDecision};
use sycamoreflow_coordination::routing::{CallResult, Outcome};
use sycamoreflow_coordination::suspect::CrashStatus;
use sycamoreflow_state::ids::{Micros, Millis};
use sycamoreflow_state::verdict::{Failure, Reason, Verdict};

use super::{
    CRASH_REPORT_DELAY, CRASH_RESTART_TIME, Call, CallEnd, DEADLINE, DRAIN_MARK_DELAY, Event,
    OWNER_TICK, Request, Sim,
};
use crate::policy::PolicyKind;

impl Sim<'_> {
    pub(super) fn send_request(&mut self, tenant: usize, crashing: bool) {
        let number = self.requests.len();
        let entry = self.rng.random_range(0..self.entries.len());
        let fingerprint = self.scenario.crashing.then(|| {
            let body = if crashing { 0 } else { number + 1 };
            Fingerprint::of(
                &self.tenants[tenant],
                "POST",
                "/orders",
                &body.to_le_bytes(),
            )
        });
        let idempotent = crashing || self.rng.random_bool(0.8);
        let deadline = Millis((self.now + DEADLINE) / 1_000);
        self.requests.push(Request {
            entry,
            tenant,
            crashing,
            fingerprint,
            arrived: self.now,
            attempts: Attempts::new(idempotent, deadline, 3),
            current: None,
            done: false,
        });
        self.stats.requests += u64::from(!crashing);
        self.entries[entry].budget.first_send();
        self.schedule_after(DEADLINE, Event::Deadline { request: number });
        self.attempt(number);
    }

    fn attempt(&mut self, number: usize) {
        let now = self.millis();
        let request = &mut self.requests[number];
        let entry = &mut self.entries[request.entry];
        if let Some(fingerprint) = &request.fingerprint
            && self.kind != PolicyKind::WithoutSuspects
            && entry.suspects.status(now, fingerprint) == CrashStatus::Refused
        {
            let failure = request.attempts.failure(Reason::CrashesUpstreams);
            return self.fail_request(number, failure);
        }
        let policy = &mut entry.policy;
        let choice = request.attempts.pick(|avoid| policy.choose(now, avoid));
        let Some(endpoint) = choice else {
            let failure = request.attempts.failure(Reason::NoEndpoint);
            return self.fail_request(number, failure);
        };
        policy.started(now, &endpoint);
        let owner = self.owner_index[&endpoint];
        let call = self.calls.len();
        request.current = Some(call);
        self.stats.attempts += u64::from(!request.crashing);
        let entry = request.entry;
        self.calls.push(Call {
            request: number,
            owner,
            sent: self.now,
            run_for: 0,
        });
        self.schedule_after(self.latency(entry, owner), Event::AtOwner { call });
    }

    pub(super) fn offer(&mut self, call: usize) {
        let now = self.millis();
        let Call { request, owner, .. } = self.calls[call];
        let upstream = &mut self.owners[owner];
        if upstream.unresponsive {
            return;
        }
        if upstream.down {
            return self.reply(
                call,
                CallEnd::Failed {
                    not_run: true,
                    crash: false,
                },
            );
        }
        let tenant = &self.tenants[self.requests[request].tenant];
        let deadline = Millis((self.requests[request].arrived + DEADLINE) / 1_000);
        match upstream
            .admission
            .offer(now, CallId(call as u64), tenant, deadline)
        {
            Decision::Start => self.start_call(call),
            Decision::Queued if upstream.admission.queued() == 1 => {
                self.schedule_after(OWNER_TICK, Event::OwnerTick { owner });
            }
            Decision::Queued => {}
            Decision::Refused(failure) if failure.reason == Reason::Draining => {
                self.reply(call, CallEnd::Draining);
            }
            Decision::Refused(_) => self.reply(
                call,
                CallEnd::Failed {
                    not_run: true,
                    crash: false,
                },
            ),
        }
    }

    fn start_call(&mut self, call: usize) {
        let now = self.millis();
        let Call { request, owner, .. } = self.calls[call];
        let fingerprint = self.requests[request].fingerprint;
        let upstream = &mut self.owners[owner];
        if upstream.down {
            self.reply(
                call,
                CallEnd::Failed {
                    not_run: true,
                    crash: false,
                },
            );
            return self.finish(call, UpstreamResult::Abandoned);
        }
        if let Some(fingerprint) = fingerprint
            && self.kind != PolicyKind::WithoutSuspects
            && upstream.suspects.start(now, fingerprint).is_err()
        {
            self.reply(
                call,
                CallEnd::Failed {
                    not_run: true,
                    crash: false,
                },
            );
            return self.finish(call, UpstreamResult::Abandoned);
        }
        let shed_threshold = f64::from(self.mesh.slots) * self.scenario.shed_threshold;
        if upstream.running.len() >= shed_threshold as usize {
            self.reply(
                call,
                CallEnd::Failed {
                    not_run: true,
                    crash: false,
                },
            );
            return self.finish(call, UpstreamResult::Shed);
        }
        upstream.running.push(call);
        let run_for = upstream.service_time(Micros(self.now), &mut self.rng);
        let crash_count = upstream.crash_count;
        self.calls[call].run_for = run_for;
        self.schedule_after(run_for, Event::Done { call, crash_count });
    }

    pub(super) fn done(&mut self, call: usize, crash_count: u64) {
        let now = self.millis();
        let Call {
            request,
            owner,
            run_for,
            ..
        } = self.calls[call];
        let upstream = &mut self.owners[owner];
        if upstream.crash_count != crash_count || upstream.unresponsive {
            return;
        }
        if self.requests[request].crashing {
            return self.crash(owner);
        }
        upstream.running.retain(|c| *c != call);
        if let Some(fingerprint) = self.requests[request].fingerprint {
            upstream.suspects.finish(now, fingerprint, true);
        }
        self.reply(call, CallEnd::Answered);
        self.finish(call, UpstreamResult::Answered(Micros(run_for)));
    }

    /// Frees the slot of a call and starts or refuses queued calls.
    pub(super) fn finish(&mut self, call: usize, result: UpstreamResult) {
        let owner = self.calls[call].owner;
        let now = self.millis();
        let released = self.owners[owner]
            .admission
            .finish(now, CallId(call as u64), result);
        self.release(released);
    }

    pub(super) fn release(&mut self, released: Vec<Released>) {
        for release in released {
            match release {
                Released::Start(id) => self.start_call(id.0 as usize),
                Released::Refused(id, _) => {
                    let ended = CallEnd::Failed {
                        not_run: true,
                        crash: false,
                    };
                    self.reply(id.0 as usize, ended);
                }
            }
        }
    }

    pub(super) fn crash(&mut self, owner: usize) {
        let now = self.millis();
        self.stats.crashes += 1;
        let upstream = &mut self.owners[owner];
        upstream.crash_count += 1;
        upstream.down = true;
        let failures: BTreeMap<Fingerprint, Failure> =
            upstream.suspects.crashed(now).into_iter().collect();
        let lost = std::mem::take(&mut upstream.running);
        for call in lost {
            let fingerprint = self.requests[self.calls[call].request].fingerprint;
            let failure = fingerprint.and_then(|f| failures.get(&f));
            let crash = failure.is_some_and(|f| f.reason == Reason::CrashesUpstreams);
            self.reply(
                call,
                CallEnd::Failed {
                    not_run: false,
                    crash,
                },
            );
            self.finish(call, UpstreamResult::Failed);
        }
        self.schedule_after(CRASH_REPORT_DELAY, Event::SuspectReports);
        self.schedule_after(CRASH_RESTART_TIME, Event::Start { owner });
    }

    pub(super) fn start(&mut self, owner: usize) {
        let upstream = &mut self.owners[owner];
        upstream.down = false;
        upstream.started = Some(Micros(self.now));
        upstream.admission.resume();
        self.view[owner].draining = false;
        self.schedule_after(DRAIN_MARK_DELAY, Event::View);
    }

    fn reply(&mut self, call: usize, result: CallEnd) {
        let Call { request, owner, .. } = self.calls[call];
        let latency = self.latency(self.requests[request].entry, owner);
        self.schedule_after(latency, Event::AtEntry { call, result });
    }

    pub(super) fn ended(&mut self, call: usize, result: CallEnd) {
        let Call {
            request: number,
            owner,
            sent,
            ..
        } = self.calls[call];
        if self.requests[number].current != Some(call) {
            return;
        }
        self.requests[number].current = None;
        let call_result = match result {
            CallEnd::Answered => CallResult::Success,
            CallEnd::Draining => CallResult::Draining,
            CallEnd::Failed { not_run: true, .. } => CallResult::Refused,
            CallEnd::Failed { .. } => CallResult::Failure,
        };
        self.record_outcome(number, owner, sent, call_result);
        let failure = match result {
            CallEnd::Answered => return self.succeed(number),
            CallEnd::Draining => Failure::not_run(Reason::Draining),
            CallEnd::Failed { not_run: true, .. } => Failure::not_run(Reason::Overloaded),
            CallEnd::Failed { crash: true, .. } => Failure::may_have_run(Reason::CrashesUpstreams),
            CallEnd::Failed { .. } => Failure::may_have_run(Reason::ConnectionLost),
        };
        let now = self.millis();
        let request = &mut self.requests[number];
        let budget = &mut self.entries[request.entry].budget;
        match request.attempts.failed(now, failure, budget) {
            RetryDecision::Retry => self.attempt(number),
            RetryDecision::Fail(failure) => self.fail_request(number, failure),
        }
    }

    fn record_outcome(&mut self, number: usize, owner: usize, sent: u64, result: CallResult) {
        let now = self.millis();
        let entry = &mut self.entries[self.requests[number].entry];
        let outcome = Outcome {
            latency: Micros(self.now - sent),
            result,
        };
        let id = &self.view[owner].daemon;
        entry.policy.finished(now, id, outcome);
        let changes = entry.ejector.observe(now, id, outcome);
        entry.apply_ejections(changes);
    }

    fn succeed(&mut self, number: usize) {
        let request = &mut self.requests[number];
        request.done = true;
        self.stats.succeeded[request.tenant] += 1;
        self.stats.latencies.push(self.now - request.arrived);
    }

    fn fail_request(&mut self, number: usize, failure: Failure) {
        let request = &mut self.requests[number];
        request.done = true;
        if request.crashing {
            return;
        }
        if failure.verdict == Verdict::NotRun {
            self.stats.not_run += 1;
        } else {
            self.stats.may_have_run += 1;
        }
    }

    pub(super) fn deadline(&mut self, number: usize) {
        if self.requests[number].done {
            return;
        }
        if let Some(call) = self.requests[number].current.take() {
            let Call { owner, sent, .. } = self.calls[call];
            self.owners[owner].admission.cancel(CallId(call as u64));
            self.record_outcome(number, owner, sent, CallResult::Failure);
        }
        self.fail_request(number, Failure::may_have_run(Reason::DeadlineExceeded));
    }
}

//! The attempts of a request: where each is sent, and whether another one follows.

use std::sync::Arc;
use std::time::Instant;

use bytes::Bytes;
use sycamoreflow_coordination::fingerprint::Fingerprint;
use sycamoreflow_coordination::retry::{Attempts, RetryDecision};
use sycamoreflow_coordination::routing::{CallSizes, LatencyObjective};
use sycamoreflow_protocol::call::{Answer, Call, CallUrgency, RequestHead};
use sycamoreflow_state::ids::{Micros, Millis, RouteName, ServiceName, TenantName};
use sycamoreflow_state::verdict::{Failure, Reason, Verdict};

use super::trace::Trace;
use super::{Proxy, Result, headers};
use crate::clock;
use crate::proxy::service::{AttemptEnd, Service, Target};
use crate::telemetry::REFUSALS;

/// Daemons that may refuse a request for lack of room before its caller is refused.
const MAX_FREE_REFUSALS: usize = 4;

/// Value of an answer after the target of its route, relative to one in time. Operators do not state
/// it; most callers have about this much use of a late answer.
const LATE_ANSWER_VALUE: f64 = 0.3;

/// Bytes of a call and its answer beyond their bodies: heads and the envelopes of links.
const ENVELOPE_BYTES: usize = 600;

/// First status by which an upstream says that it has failed a call.
const FIRST_SERVER_ERROR: u16 = 500;

/// A request that has passed all checks of the entry role.
#[derive(Debug)]
pub(super) struct AdmittedRequest {
    pub(super) route: RouteName,
    pub(super) service_name: ServiceName,
    pub(super) service: Arc<Service>,
    pub(super) tenant: TenantName,
    pub(super) deadline: Millis,
    pub(super) idempotent: bool,
    pub(super) key: Option<String>,
    pub(super) request_id: Option<String>,
    pub(super) priority: u32,
    /// When the answer loses part of its value, if the route says so.
    pub(super) target: Option<Millis>,
    pub(super) max_attempts: usize,
}

impl Proxy {
    /// Sends a request until it is answered or the rules for retries end it.
    pub(super) async fn attempt(
        &self,
        admitted: &AdmittedRequest,
        fingerprint: Fingerprint,
        head: RequestHead,
        body: Bytes,
        trace: &mut Trace,
    ) -> Result<Answer> {
        let deadline = admitted.deadline;
        let service = &admitted.service;
        let mut attempts = Attempts::new(admitted.idempotent, deadline, admitted.max_attempts)
            .with_free_refusals(match admitted.target {
                Some(_) => MAX_FREE_REFUSALS,
                None => 0,
            });
        let mut sends = 0;
        let mut upstream_reached = false;
        // What an endpoint has answered is better than no answer, if another one does not succeed.
        let mut error_answer: Option<Answer> = None;
        let mut last_reason = Reason::NoEndpoint;
        loop {
            if let Err(refused) = self.crashes.check(&fingerprint) {
                return Err(attempts.failure(refused.reason));
            }
            let objective = admitted.latency_objective(clock::now(), &self.call_sizes.lock());
            let Some(target) = service.pick(&mut attempts, sends == 0, objective.as_ref()) else {
                trace.retry_after = Some(service.retry_after());
                return error_answer.ok_or(attempts.failure(last_reason));
            };
            trace.attempts += 1;
            trace.version = Some(target.version.clone());
            trace.endpoint = Some(target.daemon.clone());
            let call = Call {
                id: 0,
                remaining_ms: 0,
                service: admitted.service_name.clone(),
                version: target.version.clone(),
                route: admitted.route.clone(),
                tenant: admitted.tenant.clone(),
                attempt: sends,
                key: admitted.key.clone(),
                fingerprint: Some(fingerprint),
                urgency: admitted.urgency(clock::now()),
                caller: self.own_service.clone(),
                head: head.clone(),
                body: body.to_vec(),
            };
            let result = self.send(admitted, &target, call, !upstream_reached).await;
            sends += 1;
            upstream_reached |= match &result {
                Ok(_) => true,
                Err(failure) => {
                    failure.verdict != Verdict::NotRun || failure.reason == Reason::Shed
                }
            };
            let failure = match result {
                Ok(answer)
                    if answer.status >= FIRST_SERVER_ERROR
                        && admitted.target.is_some()
                        && service.retries_outlier_failure(&mut attempts, &target) =>
                {
                    admitted.log_retry(&target, Failure::may_have_run(Reason::BadAnswer), sends);
                    error_answer = Some(answer);
                    continue;
                }
                Ok(answer) => {
                    self.crashes.completed(fingerprint);
                    let bytes = body.len() + answer.body.len() + ENVELOPE_BYTES;
                    self.call_sizes.lock().record(&admitted.route, bytes);
                    return Ok(answer);
                }
                Err(failure) => failure,
            };
            last_reason = failure.reason;
            match service.failed(&mut attempts, failure) {
                RetryDecision::Retry => admitted.log_retry(&target, failure, sends),
                RetryDecision::GiveUp(failure) => {
                    trace.retry_after = Some(service.retry_after());
                    return error_answer.ok_or(failure);
                }
            }
        }
    }

    async fn send(
        &self,
        admitted: &AdmittedRequest,
        target: &Target,
        call: Call,
        first: bool,
    ) -> Result<Answer> {
        let started = Instant::now();
        let evidence_number = match first {
            true => admitted.service.started(&admitted.route, target),
            false => None,
        };
        let mut pending = PendingAttempt {
            service: &admitted.service,
            target,
            evidence_number,
            ended: false,
        };
        let deadline = admitted.deadline;
        let (result, load) = if target.daemon == self.daemon {
            let mut call = call;
            call.remaining_ms = deadline.since(clock::now()).0 as u32;
            self.owner.deliver_with_load(&call, deadline).await
        } else {
            let limit = clock::instant(deadline);
            self.links
                .call(&target.daemon, target.address, call, limit)
                .await
        };
        pending.ended = true;
        if let Some(load) = load {
            admitted.service.observe_load(target, &admitted.route, load);
        }
        let waited = load.map_or(Micros(0), |load| load.waited);
        let end = AttemptEnd {
            result: result.as_ref().map(|answer| answer.status).map_err(|f| *f),
            latency: Micros(started.elapsed().as_micros() as u64),
            waited,
            first,
            evidence_number,
            refused_for_overload: admitted.target.is_some()
                && matches!(&result, Err(f) if *f == Failure::not_run(Reason::Overloaded)),
        };
        if admitted.service.finished(&admitted.route, target, end) {
            // A wake-up that is waiting already is enough.
            let _ = self.urgent_report.try_send(());
        }
        let lost = matches!(&result, Err(f) if f.reason == Reason::ConnectionLost);
        if lost && target.daemon != self.daemon && !self.links.is_open(&target.daemon) {
            admitted.service.link_down(&target.daemon);
        }
        result
    }
}

impl AdmittedRequest {
    fn log_retry(&self, target: &Target, failure: Failure, attempt: u32) {
        metrics::counter!("sycamoreflow_retries_total").increment(1);
        tracing::info!(target: REFUSALS, event = "retry", request = self.request_id.as_deref(),
            endpoint = %target.daemon, reason = headers::reason_text(failure.reason),
            verdict = failure.verdict.as_str(), attempt);
    }

    /// Returns what the next attempt is to achieve, if the route has a target.
    fn latency_objective(&self, now: Millis, sizes: &CallSizes) -> Option<LatencyObjective> {
        let target = self.target?.min(self.deadline);
        Some(LatencyObjective {
            route: self.route.clone(),
            target: Micros::from(target.since(now)),
            late_value: LATE_ANSWER_VALUE,
            remote_cost: sizes.remote_cost(&self.route),
        })
    }

    fn urgency(&self, now: Millis) -> CallUrgency {
        let target = self.target.map(|target| target.min(self.deadline));
        CallUrgency {
            priority: self.priority,
            target_ms: target.map(|target| target.since(now).0 as u32),
            idempotent: self.idempotent,
        }
    }
}

/// Records the attempt as cancelled if its future is dropped before it ends.
struct PendingAttempt<'a> {
    service: &'a Service,
    target: &'a Target,
    /// Number of the attempt in the evidence.
    evidence_number: Option<u64>,
    ended: bool,
}

impl Drop for PendingAttempt<'_> {
    fn drop(&mut self) {
        if !self.ended {
            self.service.cancelled(self.target, self.evidence_number);
        }
    }
}

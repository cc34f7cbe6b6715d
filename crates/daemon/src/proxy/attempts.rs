//! Sending of a request: choice of an endpoint for each attempt, and retries.

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

/// Maximum number of refusals by daemons that count neither as attempts nor against the retry
/// budget, for requests with a target latency.
const MAX_FREE_REFUSALS: usize = 4;

/// Utility of an answer after the target latency of its route, relative to one in time. It is not
/// configurable; a late answer is worth about this much to most callers.
pub(super) const LATE_ANSWER_VALUE: f64 = 0.3;

/// Estimated bytes of a call and its answer in addition to their bodies: heads and link framing.
const ENVELOPE_BYTES: usize = 600;

/// Lowest HTTP status with which an upstream reports that it failed to process a request.
const FIRST_SERVER_ERROR: u16 = 500;

/// A request that has passed all checks of the entry role. Times are those of [`clock::now`].
#[derive(Debug)]
pub(super) struct AdmittedRequest {
    pub(super) route: RouteName,
    pub(super) service_name: ServiceName,
    pub(super) service: Arc<Service>,
    pub(super) tenant: TenantName,
    /// Whether `tenant` is a client account whose key the request has presented.
    pub(super) has_account: bool,
    pub(super) deadline: Millis,
    pub(super) idempotent: bool,
    pub(super) key: Option<String>,
    pub(super) request_id: Option<String>,
    pub(super) priority: u32,
    /// Time after which an answer counts as late, if the route has a target latency.
    pub(super) target: Option<Millis>,
    pub(super) max_attempts: usize,
}

impl Proxy {
    /// Sends a request until it is answered or no further attempt is allowed.
    ///
    /// `fingerprint` identifies the request in crash records. If an attempt is retried because its
    /// endpoint answered with a server error, and no later attempt succeeds, that answer is
    /// returned.
    ///
    /// # Errors
    ///
    /// Returns the failure of the last attempt, with the verdict over all attempts.
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
        // Server error of an earlier attempt. It is returned if no later attempt succeeds, since it
        // gives the caller more information than a failure without an answer.
        let mut error_answer: Option<Answer> = None;
        let mut last_reason = Reason::NoEndpoint;
        loop {
            if let Err(refused) = self.crashes.check(&fingerprint) {
                return Err(attempts.failure(refused.reason));
            }
            let objective = admitted.latency_objective(clock::now(), &self.call_sizes.lock());
            let Some(target) = service.pick(&mut attempts, sends == 0, objective.as_ref()) else {
                trace.retry_after = Some(service.retry_after(last_reason));
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
                        && service.retries_server_error(&mut attempts, &target) =>
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
                // The stop of this daemon ends the request now.
                RetryDecision::Retry if self.owner.stop().is_due() => {
                    return error_answer.ok_or(attempts.failure(Reason::Draining));
                }
                RetryDecision::Retry => admitted.log_retry(&target, failure, sends),
                RetryDecision::Fail(failure) => {
                    trace.retry_after = Some(service.retry_after(failure.reason));
                    return error_answer.ok_or(failure);
                }
            }
        }
    }

    /// Makes one attempt at `target` and records how it ended. `first` is whether no earlier
    /// attempt has reached an upstream.
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
        // A stop of this daemon may have begun since the request was admitted. The owner must know
        // of it, since it would keep the call in its queue for longer.
        let stop = self.owner.stop().get();
        let deadline = stop.map_or(admitted.deadline, |stop| stop.bounded(admitted.deadline));
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
        let result = result.map_err(|failure| match failure.reason {
            Reason::DeadlineExceeded if deadline < admitted.deadline => Failure {
                reason: Reason::Draining,
                ..failure
            },
            _ => failure,
        });
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
            // If the channel is full, the subscription has a pending wake-up already.
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
    /// Returns how long the request can wait for its account's quota: half of the time until its
    /// target latency, or a quarter of the time until its deadline.
    pub(super) fn max_quota_wait(&self, now: Millis) -> Millis {
        match self.target {
            Some(target) => Millis(target.min(self.deadline).since(now).0 / 2),
            None => Millis(self.deadline.since(now).0 / 4),
        }
    }

    fn log_retry(&self, target: &Target, failure: Failure, attempt: u32) {
        metrics::counter!("sycamoreflow_retries_total").increment(1);
        tracing::info!(target: REFUSALS, event = "retry", request = self.request_id.as_deref(),
            endpoint = %target.daemon, reason = headers::reason_text(failure.reason),
            verdict = failure.verdict.as_str(), attempt);
    }

    /// Returns the latency objective of the next attempt, if the route has a target latency.
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

/// An attempt in progress. Dropping it before it has ended records it as cancelled.
struct PendingAttempt<'a> {
    service: &'a Service,
    target: &'a Target,
    /// Number of the attempt in the rollout evidence, from [`Service::started`].
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

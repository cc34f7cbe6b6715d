//! Estimates of latency and failure ratio that an entry daemon keeps for one endpoint.

use sycamoreflow_state::ids::{Micros, Millis};

use super::{CallResult, Outcome, Tuning};

/// A sample counts for at most this multiple of the estimate. A single outlier changes the estimate
/// little, while sustained slowness still increases it exponentially.
const OUTLIER_FACTOR: f64 = 3.0;
/// If no call in flight is answered for this multiple of the estimate, the time without an answer
/// replaces the estimate.
const UNANSWERED_FACTOR: f64 = 3.0;
/// Factor on the expected latency of an endpoint without recent samples. Without it, the estimate
/// of an endpoint that has recovered stays just above the others and the endpoint is never tried
/// again.
const UNOBSERVED_DISCOUNT: f64 = 0.8;
/// Lower bound of the success probability, so that the expected completion time stays finite.
const MIN_SUCCESS: f64 = 0.05;

/// Latency and failure ratio of one endpoint, and the number of calls in flight to it.
#[derive(Clone, Debug, Default)]
pub(super) struct Estimate {
    /// Moving average of the latency in microseconds, valid only if `samples` is positive.
    latency: f64,
    /// Moving average of the ratio of calls that failed or were refused, between 0 and 1.
    failure_ratio: f64,
    samples: u32,
    updated: Millis,
    in_flight: u32,
    /// When a call last ended, or when the first call in flight was sent if that was later.
    unanswered_since: Millis,
}

impl Estimate {
    pub(super) fn in_flight(&self) -> u32 {
        self.in_flight
    }

    pub(super) fn started(&mut self, now: Millis) {
        if self.in_flight == 0 {
            self.unanswered_since = now;
        }
        self.in_flight += 1;
    }

    /// Records the end of a call without updating the estimate.
    pub(super) fn ended(&mut self, now: Millis) {
        self.in_flight = self.in_flight.saturating_sub(1);
        self.unanswered_since = now;
    }

    /// Discards the estimate but keeps the number of calls in flight.
    pub(super) fn reset(&mut self) {
        *self = Self {
            in_flight: self.in_flight,
            unanswered_since: self.unanswered_since,
            ..Self::default()
        };
    }

    pub(super) fn finished(&mut self, now: Millis, outcome: Outcome, prior: f64, tuning: &Tuning) {
        self.ended(now);
        let failed = match outcome.result {
            CallResult::Cancelled | CallResult::Draining => return,
            CallResult::Success => 0.0,
            CallResult::Failure | CallResult::Refused => 1.0,
        };
        // The weight of earlier samples decays with their age, so that the first sample after a
        // pause has a large weight.
        let past_weight = (1.0 - tuning.sample_weight) * self.confidence(now, tuning);
        self.failure_ratio = failed + (self.failure_ratio - failed) * past_weight;
        if outcome.result != CallResult::Refused {
            self.add_latency(outcome.latency, past_weight, prior);
        }
        self.updated = now;
    }

    /// Returns the expected time in microseconds until a call sent now is answered.
    pub(super) fn expected(&self, now: Millis, prior: f64, slots: u32, tuning: &Tuning) -> f64 {
        let latency = self.latency_at(now, prior, tuning);
        let waited = Micros::from(self.time_since_answer(now)).0 as f64;
        let base = if waited > latency * UNANSWERED_FACTOR {
            waited
        } else {
            latency
        };
        let queue = f64::from(self.in_flight) * tuning.queue_weight(slots);
        let success = 1.0 - self.failure_ratio * self.confidence(now, tuning);
        base * (1.0 + queue) / success.max(MIN_SUCCESS)
    }

    /// Returns the time in microseconds without an answer to the calls in flight if it is much
    /// longer than `expected`, or zero otherwise.
    pub(super) fn unanswered_time(&self, now: Millis, expected: f64) -> f64 {
        let waited = Micros::from(self.time_since_answer(now)).0 as f64;
        if waited > expected * UNANSWERED_FACTOR {
            return waited;
        }
        0.0
    }

    /// Returns the estimated probability that a call succeeds.
    pub(super) fn success(&self, now: Millis, tuning: &Tuning) -> f64 {
        let success = 1.0 - self.failure_ratio * self.confidence(now, tuning);
        success.max(MIN_SUCCESS)
    }

    /// Returns the latency estimate, which decays with its age towards slightly less than `prior`.
    fn latency_at(&self, now: Millis, prior: f64, tuning: &Tuning) -> f64 {
        let unobserved = prior * UNOBSERVED_DISCOUNT;
        if self.samples == 0 {
            return unobserved;
        }
        unobserved + (self.latency - unobserved) * self.confidence(now, tuning)
    }

    fn add_latency(&mut self, latency: Micros, past_weight: f64, prior: f64) {
        let known = if self.samples == 0 {
            prior
        } else {
            self.latency
        };
        let sample = (latency.0 as f64).min(known * OUTLIER_FACTOR);
        self.latency = sample + (known - sample) * past_weight;
        self.samples = self.samples.saturating_add(1);
    }

    fn time_since_answer(&self, now: Millis) -> Millis {
        if self.in_flight == 0 {
            return Millis(0);
        }
        now.since(self.unanswered_since)
    }

    fn confidence(&self, now: Millis, tuning: &Tuning) -> f64 {
        let age = now.since(self.updated).0 as f64;
        (-age / tuning.decay_time.0 as f64).exp()
    }
}

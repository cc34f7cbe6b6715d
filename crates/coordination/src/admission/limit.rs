//! The adaptive limit on the number of calls that run concurrently at the upstream.

use sycamoreflow_state::ids::{Micros, Millis};

/// Increase of the limit per answer once the next higher limit is the one at which the upstream
/// last shed a call. At 0.16, about the regular increase, shed calls caused 8% more attempts; at
/// 0.01 they caused 1% (`examples/load.rs --scenario shedding`).
const PROBE_STEP: f64 = 0.01;
/// Factor by which the limit is reduced when answers are slow.
const SLOW_FACTOR: f64 = 0.9;
/// Answers are slow if the recent latency exceeds the baseline latency by more than this factor.
const SLOW_RATIO: f64 = 3.0;
/// Slow answers alone do not reduce the limit below this share of the slots, since they have other
/// causes than too many concurrent calls, which a low limit does not remove.
const SLOW_FLOOR: f64 = 0.5;
/// Weight of one answer in the moving average of the recent latency.
const RECENT_WEIGHT: f64 = 0.1;
/// Weight of one answer in the moving average of the baseline latency. The baseline reaches a
/// sustained higher latency after some hundred answers, and the limit rises again.
const BASELINE_WEIGHT: f64 = 0.005;
/// Minimum time between two reductions because of slow answers. The latency of calls that were sent
/// under the old limit does not show the effect of the new one.
const REDUCTION_INTERVAL: Millis = Millis(50);

/// A concurrency limit between one and the announced slots.
///
/// When the upstream sheds a call, the limit falls to the number of calls that the upstream
/// accepted. When answers are slow, it is multiplied by a factor. It rises in small steps with each
/// answer that arrives at full use of the limit.
#[derive(Clone, Debug)]
pub(super) struct Limit {
    slots: u32,
    limit: f64,
    /// Number of concurrent calls at which the upstream last shed one.
    shed_at: Option<usize>,
    recent: f64,
    baseline: f64,
    adaptive: bool,
    last_reduction: Option<Millis>,
}

impl Limit {
    pub(super) fn new(slots: u32) -> Self {
        let slots = slots.max(1);
        Self {
            slots,
            limit: f64::from(slots),
            shed_at: None,
            recent: 0.0,
            baseline: 0.0,
            adaptive: true,
            last_reduction: None,
        }
    }

    /// Sets whether the limit may fall below the slots.
    pub(super) fn with_adaptive(mut self, adaptive: bool) -> Self {
        self.adaptive = adaptive;
        self
    }

    /// Returns the number of calls that may run concurrently.
    pub(super) fn get(&self) -> usize {
        self.limit as usize
    }

    /// Returns the mean latency of recent answers.
    pub(super) fn recent_latency(&self) -> Micros {
        Micros(self.recent as u64)
    }

    pub(super) fn set_slots(&mut self, slots: u32) {
        let slots = slots.max(1);
        let scale = f64::from(slots) / f64::from(self.slots);
        self.limit = (self.limit * scale).clamp(1.0, f64::from(slots));
        self.slots = slots;
    }

    /// Records that the upstream shed one of `running` concurrent calls.
    pub(super) fn shed(&mut self, running: usize) {
        if !self.adaptive {
            return;
        }
        self.shed_at = Some(running);
        let accepted = running.saturating_sub(1).max(1);
        self.limit = self.limit.min(accepted as f64);
    }

    /// Records an answer that arrived while `running` calls ran, including the answered one.
    pub(super) fn answered(&mut self, now: Millis, latency: Micros, running: usize) {
        let latency = latency.0 as f64;
        if self.baseline == 0.0 {
            (self.recent, self.baseline) = (latency, latency);
        }
        let sample = latency.min(self.recent * 10.0 + 1_000.0);
        self.recent += (sample - self.recent) * RECENT_WEIGHT;
        self.baseline += (sample - self.baseline) * BASELINE_WEIGHT;
        if self.adaptive && self.recent > self.baseline * SLOW_RATIO {
            self.reduce(now, SLOW_FACTOR, f64::from(self.slots) * SLOW_FLOOR);
        } else if running >= self.get() {
            self.increase(running);
        }
    }

    fn increase(&mut self, running: usize) {
        if self.shed_at.is_some_and(|shed_at| running >= shed_at) {
            self.shed_at = None;
        }
        let probing = self.shed_at.is_some_and(|shed_at| running + 1 >= shed_at);
        let step = if probing {
            PROBE_STEP
        } else {
            1.0 / self.limit
        };
        self.limit = (self.limit + step).min(f64::from(self.slots));
    }

    fn reduce(&mut self, now: Millis, factor: f64, floor: f64) {
        let too_soon = |at| now.since(at) < REDUCTION_INTERVAL;
        if self.limit <= floor || self.last_reduction.is_some_and(too_soon) {
            return;
        }
        self.limit = (self.limit * factor).max(floor).max(1.0);
        self.last_reduction = Some(now);
    }
}

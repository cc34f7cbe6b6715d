//! Log odds (logarithmic Bayes factors) of a clear fault of the candidate.
//!
//! The sequential test rejects a version only if chance is ruled out under any conditions. A step
//! to a larger share needs a different answer: are the calls so far likelier under a version as
//! good as the stable one, or under a clearly faulty one? The Bayes factor of these hypotheses
//! answers it, as a logarithm: negative if the calls support the version, zero without calls, and
//! positive if they indicate a fault. By chance, a good version reaches `x` with a probability of
//! about `exp(-x)`, and a faulty one `-x`.
//!
//! Both hypotheses average over the unknown parameters:
//!
//! - A fault affects all endpoints of the candidate equally, and an unknown fraction of their
//!   calls.
//! - Without a fault, each endpoint may still be on a bad host, with the probability
//!   [`BAD_HOST_PROBABILITY`]. One bad host can therefore neither cause a rejection nor block a
//!   rollout while the others perform well.
//! - Failures are compared with a failure ratio that both versions have in common, estimated from
//!   the calls of the stable version. Latencies, including those of calls that time out, are
//!   evaluated in [`latency`].

use super::sequential::log_sum_exp;
use super::{Counts, VersionEvidence};

pub mod latency;
#[cfg(test)]
mod tests;

/// Probability that an endpoint of a good version is on a bad host. Its inverse bounds the
/// contribution of a single endpoint to the Bayes factor.
pub const BAD_HOST_PROBABILITY: f64 = 0.08;
/// Fractions of the calls that a clear fault makes fail, all equally likely a priori. Really bad
/// versions fail at least a tenth of their calls.
const FAULT_RATIOS: [f64; 3] = [0.12, 0.3, 0.6];
/// Fault ratios from [`MANY_CALLS`] calls on. With fewer calls, the smallest one can't be
/// distinguished from a good version.
const MANY_CALLS_FAULT_RATIOS: [f64; 4] = [0.06, 0.12, 0.3, 0.6];
/// Number of the candidate's calls from which on the smallest fault ratio is tested; 18 of them
/// would fail.
const MANY_CALLS: u64 = 300;
/// Maximum weight of the stable version's calls. Hosts differ, so more calls of its hosts add no
/// information about those of the candidate.
const MAX_STABLE_CALLS: f64 = 400.0;
/// Number of failure ratios that a good version may have, evenly spaced by their log odds.
const BASELINE_COUNT: usize = 24;
/// Lowest and highest log odds of the failure ratio of a good version.
const BASELINE_LOG_ODDS: (f64, f64) = (-7.0, 4.0);

/// Logarithms of the likelihood of a clear fault relative to that of no fault, by kind of fault.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Odds {
    /// Log odds of a fault that makes calls fail.
    pub failures: f64,
    /// Log odds of a fault that makes calls slow.
    pub slow: f64,
}

impl Odds {
    /// Adds the log odds of other calls.
    pub fn add(&mut self, other: Self) {
        self.failures += other.failures;
        self.slow += other.slow;
    }

    /// Returns the log odds of the likelier kind of fault.
    pub fn highest(self) -> f64 {
        self.failures.max(self.slow)
    }

    /// Returns whether the log odds of each kind are at most those of `limits`.
    pub fn within(self, limits: Self) -> bool {
        self.failures <= limits.failures && self.slow <= limits.slow
    }

    /// Returns the higher log odds of each kind.
    pub fn max(self, other: Self) -> Self {
        Self {
            failures: self.failures.max(other.failures),
            slow: self.slow.max(other.slow),
        }
    }
}

/// Returns the log odds of a fault by the calls that failed or, with `refusals`, were refused.
/// `permitted` is the fraction of calls that may fail in addition to those of the stable version.
pub fn failure_odds(
    stable: &VersionEvidence,
    candidate: &VersionEvidence,
    refusals: bool,
    permitted: f64,
) -> f64 {
    let fault_ratios: &[f64] = match candidate.calls() >= MANY_CALLS {
        true => &MANY_CALLS_FAULT_RATIOS,
        false => &FAULT_RATIOS,
    };
    let fault_ratios: Vec<f64> = fault_ratios
        .iter()
        .copied()
        .filter(|ratio| *ratio > permitted)
        .collect();
    if candidate.calls() == 0 || stable.calls() == 0 || fault_ratios.is_empty() {
        return 0.0;
    }
    let split = |counts: &Counts| {
        let refused = if refusals { counts.refusals } else { 0 };
        let answered = counts.calls.saturating_sub(counts.timeouts) as f64;
        let bad = (counts.errors() + refused) as f64;
        (bad, answered - bad)
    };
    let (stable_bad, stable_good) = split(&stable.totals());
    let weight = (MAX_STABLE_CALLS / (stable_bad + stable_good)).min(1.0);
    let groups: Vec<(f64, f64)> = candidate
        .groups()
        .iter()
        .map(|group| split(&group.counts))
        .collect();
    let likelihood =
        |(bad, good): (f64, f64), share: f64| bad * share.ln() + good * (-share).ln_1p();
    let mut faulty = Vec::with_capacity(BASELINE_COUNT * fault_ratios.len());
    let mut faultless = Vec::with_capacity(BASELINE_COUNT);
    for baseline in baseline_ratios() {
        let stable_likelihood = weight * likelihood((stable_bad, stable_good), baseline);
        let faulty_ratios: Vec<f64> = fault_ratios
            .iter()
            .map(|ratio| baseline + (1.0 - baseline) * ratio)
            .collect();
        let mut sums = vec![stable_likelihood; fault_ratios.len()];
        let mut without_fault = stable_likelihood;
        for group in &groups {
            let bad: Vec<f64> = faulty_ratios
                .iter()
                .map(|share| likelihood(*group, *share))
                .collect();
            without_fault += host_likelihood(likelihood(*group, baseline), &bad);
            for (sum, bad) in sums.iter_mut().zip(bad) {
                *sum += bad;
            }
        }
        faulty.extend(sums);
        faultless.push(without_fault);
    }
    log_mean_exp(&faulty) - log_mean_exp(&faultless)
}

/// Returns the log likelihood of an endpoint's calls under a good version. The endpoint is either
/// on a good host or on a bad one, which behaves like a faulty version.
pub(super) fn host_likelihood(good: f64, bad: &[f64]) -> f64 {
    let bad = BAD_HOST_PROBABILITY.ln() + log_mean_exp(bad);
    let good = (1.0 - BAD_HOST_PROBABILITY).ln() + good;
    log_sum_exp([good, bad].into_iter())
}

/// Returns the logarithm of the mean of numbers that are given as logarithms.
pub(super) fn log_mean_exp(logs: &[f64]) -> f64 {
    log_sum_exp(logs.iter().copied()) - (logs.len() as f64).ln()
}

fn baseline_ratios() -> impl Iterator<Item = f64> {
    let (low, high) = BASELINE_LOG_ODDS;
    let step = (high - low) / (BASELINE_COUNT - 1) as f64;
    (0..BASELINE_COUNT).map(move |index| 1.0 / (1.0 + (-(low + step * index as f64)).exp()))
}

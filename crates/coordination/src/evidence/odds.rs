//! The odds that a candidate has a clear fault.
//!
//! The sequential test condemns a version only when chance is ruled out, whatever the circumstances.
//! A step to a larger share asks more: are the calls so far likelier under a version as good as the
//! stable one than under a clearly faulty one? The answer is a Bayes factor, as a logarithm: it is
//! negative if the calls speak for the version, zero without calls, and positive if they speak
//! against it. By chance a good version reaches `x` with a probability of about `exp(-x)`, and a
//! faulty one `-x`.
//!
//! Both hypotheses are averages over what is not known:
//!
//! - A fault hits all endpoints of the candidate alike, with an unknown part of their calls.
//! - Without a fault, each endpoint may still be on a bad host, with the probability [`BAD_HOST_PROBABILITY`]. One
//!   bad host can therefore neither condemn a version nor hold it back while others do well.
//! - Failures are compared with a share of failures that both versions have in common, which is known
//!   from the stable version as well as its calls allow. Latencies, with those of calls that time out:
//!   see [`latency`].

use super::sequential::log_sum_exp;
use super::{Counts, VersionEvidence};

pub mod latency;
#[cfg(test)]
mod tests;

/// Probability that an endpoint of a good version is on a bad host. Its inverse bounds what a single
/// endpoint can contribute.
pub const BAD_HOST_PROBABILITY: f64 = 0.08;
/// Parts of the calls that a clear fault makes fail, each as likely as the others. Versions that are
/// really bad fail a tenth of their calls or more.
const FAULT_RATIOS: [f64; 3] = [0.12, 0.3, 0.6];
/// The same for as many calls as [`MANY_CALLS`]. Fewer cannot tell the smallest part from a good version.
const MANY_CALLS_FAULT_RATIOS: [f64; 4] = [0.06, 0.12, 0.3, 0.6];
/// Calls of the candidate of which the smallest part makes 18.
const MANY_CALLS: u64 = 300;
/// Calls of the stable version that count at most. Its hosts differ, so that more calls don't tell
/// more about those of the candidate.
const MAX_STABLE_CALLS: f64 = 400.0;
/// Shares of failures that a good version may have, evenly spaced by their log odds.
const BASELINE_COUNT: usize = 24;
const BASELINE_LOG_ODDS: (f64, f64) = (-7.0, 4.0);

/// Logarithms of the likelihood of a clear fault relative to that of none, by kind of fault.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Odds {
    /// For failed calls.
    pub failures: f64,
    /// For slow calls.
    pub slow: f64,
}

impl Odds {
    /// Adds the odds of other calls.
    pub fn add(&mut self, other: Self) {
        self.failures += other.failures;
        self.slow += other.slow;
    }

    /// Returns the odds of the kind of fault that is likelier.
    pub fn highest(self) -> f64 {
        self.failures.max(self.slow)
    }

    /// Returns whether the odds of each kind are at most those of `limits`.
    pub fn within(self, limits: Self) -> bool {
        self.failures <= limits.failures && self.slow <= limits.slow
    }

    /// Returns the higher odds of each kind.
    pub fn max(self, other: Self) -> Self {
        Self {
            failures: self.failures.max(other.failures),
            slow: self.slow.max(other.slow),
        }
    }
}

/// Returns the log odds of a fault by the calls that failed or, with `refusals`, were refused. `permitted`
/// is the part of the calls that may fail beyond those of the stable version.
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

/// Returns the log likelihood of the calls of an endpoint of a good version: on a good host, or on a
/// bad one, which does as a faulty version would.
pub(super) fn host_likelihood(good: f64, bad: &[f64]) -> f64 {
    let bad = BAD_HOST_PROBABILITY.ln() + log_mean_exp(bad);
    let good = (1.0 - BAD_HOST_PROBABILITY).ln() + good;
    log_sum_exp([good, bad].into_iter())
}

/// Returns the logarithm of the mean of numbers that are given by their logarithms.
pub(super) fn log_mean_exp(logs: &[f64]) -> f64 {
    log_sum_exp(logs.iter().copied()) - (logs.len() as f64).ln()
}

fn baseline_ratios() -> impl Iterator<Item = f64> {
    let (low, high) = BASELINE_LOG_ODDS;
    let step = (high - low) / (BASELINE_COUNT - 1) as f64;
    (0..BASELINE_COUNT).map(move |index| 1.0 / (1.0 + (-(low + step * index as f64)).exp()))
}

//! A sequential test of the candidate against the stable version.
//!
//! The null hypothesis is that in every batch the candidate's probability of a bad call is at most
//! that of the stable version plus a margin. The stable version's probability may have any value
//! and may change from batch to batch. For a batch with `n1` calls of the candidate (`f1` bad) and
//! `n0` of the stable version (`f0` bad), and any λ ≥ 0 with `a = exp(λ) - 1 < n0 / n1` and `μ =
//! -ln(1 - a n1 / n0)`,
//!
//! ```text
//! exp(λ f1 - μ f0 - a margin n1)
//! ```
//!
//! has an expectation of at most 1 under the null hypothesis, because `E exp(λ X) ≤ exp(p (exp(λ) -
//! 1))` for a Bernoulli variable X with probability p, and the terms of the common probability
//! cancel. The product over batches is a test supermartingale. By Ville's inequality it ever
//! reaches 1/α with a probability of at most α, so it may be evaluated after every batch. Failures
//! that affect both versions equally raise `f0` with `f1` and cancel.
//!
//! An average over several λ has the same property and requires no assumption about the size of the
//! effect. So does an average over the batch at which the product starts, with weights that sum to
//! at most 1. It is needed because the product decreases while the candidate is good, and later
//! failures could not compensate for that decrease in time.

/// The values of λ: the small ones detect small effects in many calls, the large ones detect a
/// total failure within three or four calls.
pub const LAMBDAS: [f64; 8] = [0.05, 0.1, 0.2, 0.4, 0.7, 1.2, 2.0, 3.0];
/// Fraction of the admissible range of `a` that is used, so that μ stays finite.
const MAX_RANGE_FRACTION: f64 = 0.9;

/// Counts of both versions over the same time on the same route.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Batch {
    /// Calls of the candidate.
    pub candidate_calls: u64,
    /// Bad calls of the candidate.
    pub candidate_bad: u64,
    /// Calls of the stable version.
    pub stable_calls: u64,
    /// Bad calls of the stable version.
    pub stable_bad: u64,
}

/// Logarithms of a batch's factors, one for each λ.
pub type LogFactors = [f64; LAMBDAS.len()];

impl Batch {
    /// Adds the counts of another batch.
    pub fn add(&mut self, other: &Self) {
        self.candidate_calls += other.candidate_calls;
        self.candidate_bad += other.candidate_bad;
        self.stable_calls += other.stable_calls;
        self.stable_bad += other.stable_bad;
    }

    /// Returns the logarithms of the factors, with a permitted excess of `margin` in the
    /// probability of a bad call. They are zero unless the batch has calls of both versions.
    pub fn log_factors(&self, margin: f64) -> LogFactors {
        if self.candidate_calls == 0 || self.stable_calls == 0 {
            return LogFactors::default();
        }
        let n1 = self.candidate_calls as f64;
        let ratio = self.stable_calls as f64 / n1;
        LAMBDAS.map(|lambda| {
            let lambda = lambda.min((MAX_RANGE_FRACTION * ratio).ln_1p());
            let a = lambda.exp_m1();
            let mu = -(-a / ratio).ln_1p();
            lambda * self.candidate_bad as f64 - mu * self.stable_bad as f64 - a * margin * n1
        })
    }
}

/// The running product of factors, averaged over λ and over the start of the product.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EProcess {
    log_products: LogFactors,
    progress: f64,
}

/// Weight of the product that starts with the first batch. It is large because many bad versions
/// are bad from the start.
const FIRST_START_WEIGHT: f64 = 0.5;

impl Default for EProcess {
    fn default() -> Self {
        Self {
            log_products: [FIRST_START_WEIGHT.ln(); LAMBDAS.len()],
            progress: 0.0,
        }
    }
}

impl EProcess {
    /// Multiplies the product by the factors of a batch. `progress` rises over time from 0 to at
    /// most 1 and must not depend on outcomes; its increase is the weight of the products that
    /// start at this batch.
    pub fn multiply(&mut self, factors: &LogFactors, progress: f64) {
        let start = (1.0 - FIRST_START_WEIGHT) * (progress - self.progress).max(0.0);
        self.progress = self.progress.max(progress);
        for (product, factor) in self.log_products.iter_mut().zip(factors) {
            *product = log_sum_exp([*product, start.ln()].into_iter()) + factor;
        }
    }

    /// Returns the logarithm of the average over λ and starts.
    pub fn log_value(&self) -> f64 {
        let weight = -(LAMBDAS.len() as f64).ln();
        log_sum_exp(self.log_products.iter().map(|product| product + weight))
    }
}

/// Returns the logarithm of the sum of numbers that are given as logarithms.
pub fn log_sum_exp(logs: impl Iterator<Item = f64> + Clone) -> f64 {
    let max = logs.clone().fold(f64::NEG_INFINITY, f64::max);
    if max == f64::NEG_INFINITY {
        return max;
    }
    max + logs.map(|log| (log - max).exp()).sum::<f64>().ln()
}

//! Whether the calls of a candidate speak for it.
//!
//! The sequential test condemns a version only when chance is ruled out, so a version whose calls
//! are few or of mixed result is not condemned. That is no reason to send all calls to it. A step to
//! a large share therefore asks the opposite question: are the calls so far more likely under a
//! version as good as the stable one than under a clearly faulty one?

use super::sequential::Batch;

#[cfg(test)]
mod tests;

/// Additional share of failed calls of a clearly faulty version. Below it, a fault costs callers less
/// than the rollout gains; versions that are really bad fail several times as many.
const CLEAR_FAILURES: f64 = 0.1;
/// Additional share of slow calls of a clearly faulty version. Endpoints of a good one may be on
/// slower hosts: at twice the time per call about one in eight more is slow.
const CLEAR_SLOW: f64 = 0.25;
/// Calls of the stable version that are assumed to have been seen beforehand, and how many of them
/// were bad. They keep one bad call from deciding while few are known.
const PRIOR_CALLS: f64 = 50.0;
const PRIOR_BAD: f64 = 1.0;
/// Bounds of the share of bad calls that is taken for usual.
const USUAL_BOUNDS: (f64, f64) = (0.01, 0.7);
/// Highest share of bad calls of a faulty version.
const MAX_FAULTY: f64 = 0.99;

/// Counts of both versions, over the rollout and over its current step.
#[derive(Clone, Debug, Default)]
pub struct Clearance {
    all: Counts,
    step: Counts,
}

/// Logarithms of the likelihood of a clear fault relative to that of none, by kind of fault.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Odds {
    /// For failed calls.
    pub failures: f64,
    /// For slow calls.
    pub slow: f64,
}

#[derive(Clone, Debug, Default)]
struct Counts {
    failures: Batch,
    slow: Batch,
}

impl Clearance {
    /// Adds the counts of failed and of slow calls of a batch.
    pub fn add(&mut self, failures: &Batch, slow: &Batch) {
        for counts in [&mut self.all, &mut self.step] {
            counts.failures.add(failures);
            counts.slow.add(slow);
        }
    }

    /// Starts the counts of a new step.
    pub fn enter_step(&mut self) {
        self.step = Counts::default();
    }

    /// Returns the log odds of a fault by failures and by slow calls, the higher one of the whole
    /// rollout and of the current step.
    pub fn odds(&self) -> Odds {
        let of = |batch: fn(&Counts) -> &Batch, fault| {
            let [all, step] = [&self.all, &self.step].map(|counts| log_odds(batch(counts), fault));
            all.max(step)
        };
        Odds {
            failures: of(|counts| &counts.failures, CLEAR_FAILURES),
            slow: of(|counts| &counts.slow, CLEAR_SLOW),
        }
    }

    /// Returns the logarithm of the likelihood of a clear fault relative to that of none. It is
    /// positive if the calls are more likely under a fault, of the whole rollout or of the current
    /// step.
    pub fn log_odds(&self) -> f64 {
        let odds = self.odds();
        odds.failures.max(odds.slow)
    }
}

fn log_odds(batch: &Batch, fault: f64) -> f64 {
    if batch.candidate_calls == 0 {
        return 0.0;
    }
    let (low, high) = USUAL_BOUNDS;
    let usual = (batch.stable_bad as f64 + PRIOR_BAD) / (batch.stable_calls as f64 + PRIOR_CALLS);
    let usual = usual.clamp(low, high);
    let faulty = (usual + fault).min(MAX_FAULTY);
    let bad = batch.candidate_bad as f64;
    let good = batch.candidate_calls as f64 - bad;
    bad * (faulty / usual).ln() + good * ((1.0 - faulty) / (1.0 - usual)).ln()
}

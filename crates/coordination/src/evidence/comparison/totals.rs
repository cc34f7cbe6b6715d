//! Bad calls of a candidate by group of endpoints, to distinguish a bad host from a bad version.

use crate::evidence::sequential::Batch;
use crate::evidence::{Counts, GROUPS, RouteEvidence};

/// Maximum fraction of the bad calls that may come from one group of endpoints.
const MAX_GROUP_FRACTION: f64 = 0.8;
/// Minimum number of bad calls expected in the other groups for their absence to be significant. By
/// chance, none of five occurs in less than 1% of all cases.
const MIN_EXPECTED_BAD: f64 = 5.0;
/// Minimum number of calls for a group of endpoints to be compared with the others.
const MIN_GROUP_CALLS: u64 = 5;

#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Totals {
    pub(super) calls: [u64; GROUPS],
    pub(super) bad: [u64; GROUPS],
    pub(super) stable_calls: u64,
    pub(super) stable_bad: u64,
}

impl Totals {
    pub(super) fn of(calls: &RouteEvidence, refusals_are_bad: bool) -> Self {
        let bad = |counts: &Counts| {
            let refused = if refusals_are_bad { counts.refusals } else { 0 };
            counts.failures + refused
        };
        let stable = calls.stable.totals();
        let mut totals = Self {
            stable_calls: stable.calls,
            stable_bad: bad(&stable),
            ..Self::default()
        };
        for (index, group) in calls.candidate.groups().iter().enumerate() {
            totals.calls[index] = group.counts.calls;
            totals.bad[index] = bad(&group.counts);
        }
        totals
    }

    pub(super) fn add(&mut self, other: &Self) {
        for group in 0..GROUPS {
            self.calls[group] += other.calls[group];
            self.bad[group] += other.bad[group];
        }
        self.stable_calls += other.stable_calls;
        self.stable_bad += other.stable_bad;
    }

    pub(super) fn batch(&self) -> Batch {
        Batch {
            candidate_calls: self.calls.iter().sum(),
            candidate_bad: self.bad.iter().sum(),
            stable_calls: self.stable_calls,
            stable_bad: self.stable_bad,
        }
    }

    /// Returns whether one of several groups of endpoints has nearly all bad calls, although the
    /// others have had enough calls to reveal a fault of the version.
    pub(super) fn is_concentrated(&self) -> bool {
        let used = self.calls.iter().filter(|calls| **calls >= MIN_GROUP_CALLS);
        let worst = (0..GROUPS)
            .max_by_key(|group| self.bad[*group])
            .unwrap_or(0);
        let most = self.bad[worst];
        let all: u64 = self.bad.iter().sum();
        let calls: u64 = self.calls.iter().sum();
        let other_calls = calls - self.calls[worst];
        // Bad calls that the others would have had at the rate of the worst group.
        let expected = other_calls as f64 * most as f64 / self.calls[worst].max(1) as f64;
        used.count() > 1
            && most as f64 > MAX_GROUP_FRACTION * all as f64
            && expected >= MIN_EXPECTED_BAD
    }
}

//! The evidence that the leader has collected for one rollout.

use std::collections::{BTreeMap, VecDeque};

use indexmap::IndexMap;
use sycamoreflow_state::config::Share;
use sycamoreflow_state::ids::{DaemonId, Millis, RouteName};
use sycamoreflow_state::rollout::{Rollout, RolloutPhase};

use super::{Forecast, SUSPECT_LOG_ODDS};
use crate::evidence::comparison::Comparison;
use crate::evidence::histogram::Histogram;
use crate::evidence::{RolloutEvidence, RouteEvidence, SHORT_ROLLOUT_WINDOW, VersionEvidence};
use crate::shares::exposure::Exposed;
use crate::shares::{CreditPool, MAX_REPORT_AGE, ShareReport};

/// Time for which a new leader enters no step, so that all daemons can report first.
const WARM_UP: Millis = Millis(5_000);
/// The same for a short rollout, in which daemons report more often.
const SHORT_ROLLOUT_WARM_UP: Millis = Millis(2_000);
/// A daemon that has reported within this time is expected to keep reporting.
const EXPECTED_REPORTER_AGE: Millis = Millis(60_000);
/// Time over which the call rate is averaged.
const RATE_WINDOW: Millis = Millis(10_000);

#[derive(Clone, Debug)]
pub(super) struct Tracker {
    pub(super) pool: CreditPool,
    pub(super) comparison: Comparison,
    /// Calls of the candidate that were reported at the current step.
    pub(super) step_calls: u64,
    /// When the log odds of a fault rose above [`SUSPECT_LOG_ODDS`], if they still are.
    suspect_since: Option<Millis>,
    /// The last proposed command, as its step, phase and whether it is a roll back, and when it was
    /// proposed.
    pub(super) proposed: Option<((u32, RolloutPhase, bool), Millis)>,
    pub(super) forecast: Option<Forecast>,
    term: u64,
    created: Millis,
    warm_up: Millis,
    /// Whether the first counts from a daemon may include calls to endpoints that had just started.
    may_be_cold: bool,
    daemons: BTreeMap<DaemonId, DaemonState>,
    evidence: BTreeMap<(DaemonId, u64), DaemonEvidence>,
    stable_latency: Histogram,
    new_calls: u64,
    rates: VecDeque<(Millis, u64)>,
}

#[derive(Clone, Copy, Debug)]
struct DaemonState {
    reported: Millis,
    cut_off: bool,
}

#[derive(Clone, Debug, Default)]
struct DaemonEvidence {
    share: Share,
    routes: IndexMap<RouteName, RouteEvidence>,
    /// Calls that were still in progress at the latest report.
    unfinished: IndexMap<RouteName, VersionEvidence>,
    reported: Millis,
    shares: Option<ShareReport>,
    exposure: Exposed,
}

impl Tracker {
    pub(super) fn new(now: Millis, term: u64, rollout: &Rollout) -> Self {
        Self {
            pool: CreditPool::new(term, rollout.number, rollout.share()),
            comparison: Comparison::new(&rollout.rule, rollout.window()),
            step_calls: 0,
            suspect_since: None,
            proposed: None,
            forecast: None,
            term,
            created: now,
            warm_up: match rollout.window() <= SHORT_ROLLOUT_WINDOW {
                true => SHORT_ROLLOUT_WARM_UP,
                false => WARM_UP,
            },
            may_be_cold: rollout.step == 1,
            daemons: BTreeMap::new(),
            evidence: BTreeMap::new(),
            stable_latency: Histogram::default(),
            new_calls: 0,
            rates: VecDeque::new(),
        }
    }

    pub(super) fn report(
        &mut self,
        now: Millis,
        daemon: &DaemonId,
        incarnation: u64,
        evidence: &RolloutEvidence,
    ) {
        let state = DaemonState {
            reported: now,
            cut_off: evidence.cut_off,
        };
        self.daemons.insert(daemon.clone(), state);
        self.pool.report(now, daemon, incarnation, &evidence.shares);
        let key = (daemon.clone(), incarnation);
        let stored = self.evidence.entry(key).or_default();
        self.new_calls += stored.new_calls(&evidence.shares);
        stored.exposure = evidence.shares.exposure;
        if evidence.share < stored.share {
            return;
        }
        if evidence.share > stored.share {
            stored.share = evidence.share;
            stored.routes.clear();
            stored.unfinished.clear();
        }
        stored.reported = now;
        for (route, counts) in &evidence.routes {
            match evidence.waiting.get(route) {
                Some(unfinished) => stored.unfinished.insert(route.clone(), unfinished.clone()),
                None => stored.unfinished.swap_remove(route),
            };
            let new = stored.update_counts(route, counts, self.may_be_cold);
            if evidence.share == self.pool.share() {
                self.step_calls += new.candidate.calls();
            }
            self.stable_latency.merge(&new.stable.latency());
            self.comparison.add(now, route, &new);
        }
    }

    /// Closes the batches of evidence and resets the state of the step if the rollout has advanced.
    pub(super) fn tick(&mut self, now: Millis, rollout: &Rollout, endpoints: u32) {
        if self.pool.share() != rollout.share() {
            self.pool = CreditPool::new(self.term, rollout.number, rollout.share());
            self.step_calls = 0;
            self.may_be_cold = false;
            self.comparison.enter_step();
        }
        self.comparison.set_waiting(self.unfinished_calls(now));
        self.comparison.close_batches(now, endpoints);
        let is_suspect = self.comparison.worst_odds().highest() > SUSPECT_LOG_ODDS;
        let since = self.suspect_since.unwrap_or(now);
        self.suspect_since = is_suspect.then_some(since);
        let calls = std::mem::take(&mut self.new_calls);
        self.rates.push_back((now, calls));
        while let Some((time, _)) = self.rates.front()
            && now.since(*time) > RATE_WINDOW
        {
            self.rates.pop_front();
        }
    }

    /// Returns whether the log odds have been above [`SUSPECT_LOG_ODDS`] for at least
    /// `millis` milliseconds.
    pub(super) fn is_suspect_for(&self, millis: u64, now: Millis) -> bool {
        self.suspect_since
            .is_some_and(|since| now.since(since).0 >= millis)
    }

    /// Returns the calls of the current step that are still in progress, merged over all daemons
    /// that still report.
    fn unfinished_calls(&self, now: Millis) -> IndexMap<RouteName, VersionEvidence> {
        let mut routes: IndexMap<RouteName, VersionEvidence> = IndexMap::new();
        for stored in self.evidence.values() {
            if stored.share != self.pool.share() || now.since(stored.reported) >= MAX_REPORT_AGE {
                continue;
            }
            for (route, unfinished) in &stored.unfinished {
                routes.entry(route.clone()).or_default().merge(unfinished);
            }
        }
        routes
    }

    /// Returns the calls per second in the whole mesh, or `None` until reports
    /// cover [`MAX_REPORT_AGE`].
    pub(super) fn calls_per_second(&self) -> Option<f64> {
        let (first, _) = self.rates.front()?;
        let (last, _) = self.rates.back()?;
        let duration = last.since(*first);
        if duration < MAX_REPORT_AGE {
            return None;
        }
        let calls: u64 = self.rates.iter().skip(1).map(|(_, calls)| calls).sum();
        Some(calls as f64 * 1000.0 / duration.0 as f64)
    }

    pub(super) fn mean_latency_ms(&self) -> Option<f64> {
        self.stable_latency.mean_us().map(|us| us / 1000.0)
    }

    /// Returns whether the leader has warmed up and at least half of the daemons that are expected
    /// to report do so.
    pub(super) fn has_enough_reports(&self, now: Millis) -> bool {
        let within = |limit: Millis| {
            let states = self.daemons.values();
            states
                .filter(|state| now.since(state.reported) < limit)
                .count()
        };
        let is_warmed_up = now.since(self.created) >= self.warm_up;
        is_warmed_up && 2 * within(MAX_REPORT_AGE) >= within(EXPECTED_REPORTER_AGE)
    }

    /// Returns the calls of the service and of the candidate so far, as reported by daemons.
    pub(super) fn exposed(&self) -> Exposed {
        let mut all = Exposed::default();
        for stored in self.evidence.values() {
            all.answered += stored.exposure.answered;
            all.sent += stored.exposure.sent;
        }
        all
    }

    /// Returns the number of calls that the candidate may still receive from the daemons that
    /// report, if the exposure is limited to the share `limit` of the answered calls.
    pub(super) fn remaining_exposure(&self, now: Millis, limit: Share) -> u64 {
        let stored = self.evidence.values();
        let stored = stored.filter(|stored| now.since(stored.reported) < MAX_REPORT_AGE);
        stored.map(|stored| stored.exposure.remaining(limit)).sum()
    }

    /// Returns the number of daemons that have reported on the rollout.
    pub(super) fn daemons(&self) -> usize {
        self.daemons.len()
    }

    pub(super) fn cut_off(&self) -> usize {
        self.daemons.values().filter(|state| state.cut_off).count()
    }
}

impl DaemonEvidence {
    /// Stores the cumulative counts of a route and returns the increase since the previous ones.
    ///
    /// If `may_be_cold` is set, the latencies of the first counts are left out: a leader that took
    /// over during the first step cannot tell whether they are of endpoints that had just started.
    fn update_counts(
        &mut self,
        route: &RouteName,
        counts: &RouteEvidence,
        may_be_cold: bool,
    ) -> RouteEvidence {
        let Some(stored) = self.routes.get_mut(route) else {
            self.routes.insert(route.clone(), counts.clone());
            return match may_be_cold {
                true => counts.clone().without_latency(),
                false => counts.clone(),
            };
        };
        let new = counts.since(stored);
        stored.merge(&new);
        new
    }

    /// Returns the number of calls since the previous share report. Calls of the first report are
    /// not counted, because they may have taken any length of time.
    fn new_calls(&mut self, report: &ShareReport) -> u64 {
        let Some(stored) = &self.shares else {
            self.shares = Some(*report);
            return 0;
        };
        if report.share < stored.share {
            return 0;
        }
        let before = if report.share == stored.share {
            stored.calls
        } else {
            0
        };
        if report.calls >= before {
            self.shares = Some(*report);
        }
        report.calls.saturating_sub(before)
    }
}

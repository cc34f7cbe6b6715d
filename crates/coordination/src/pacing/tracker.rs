//! What the leader knows of one rollout.

use std::collections::{BTreeMap, VecDeque};

use indexmap::IndexMap;
use sycamoreflow_state::config::Share;
use sycamoreflow_state::ids::{DaemonId, Millis, RouteName};
use sycamoreflow_state::rollout::{Rollout, RolloutPhase};

use super::{Outlook, SUSPECT_LOG_ODDS};
use crate::evidence::comparison::Comparison;
use crate::evidence::histogram::Histogram;
use crate::evidence::{RolloutEvidence, RouteEvidence, SHORT_ROLLOUT_WINDOW, VersionEvidence};
use crate::shares::exposure::Exposed;
use crate::shares::{CreditPool, MAX_REPORT_AGE, ShareReport};

/// A new leader takes no step before this time has passed, so that all daemons have reported.
const REFILL: Millis = Millis(5_000);
/// The same in a brisk rollout, in which daemons report more often.
const BRISK_REFILL: Millis = Millis(2_000);
/// A daemon that has reported within this time is expected to go on.
const EXPECTED: Millis = Millis(60_000);
/// Time over which the rate of calls is averaged.
const RATE_WINDOW: Millis = Millis(10_000);

#[derive(Clone, Debug)]
pub(super) struct Tracker {
    pub(super) pool: CreditPool,
    pub(super) comparison: Comparison,
    /// Calls of the candidate reported at the current step.
    pub(super) step_calls: u64,
    /// Since when the log odds of a fault are above [`SUSPECT_LOG_ODDS`].
    suspect_since: Option<Millis>,
    /// The last command, by step, phase and kind, and when it was proposed.
    pub(super) proposed: Option<((u32, RolloutPhase, bool), Millis)>,
    pub(super) outlook: Option<Outlook>,
    term: u64,
    created: Millis,
    refill: Millis,
    /// Whether counts that arrive first may be of calls to cold endpoints.
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
    /// Calls that had not ended at the latest report.
    waiting: IndexMap<RouteName, VersionEvidence>,
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
            outlook: None,
            term,
            created: now,
            refill: match rollout.window() <= SHORT_ROLLOUT_WINDOW {
                true => BRISK_REFILL,
                false => REFILL,
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
        let known = self.evidence.entry(key).or_default();
        self.new_calls += known.new_calls(&evidence.shares);
        known.exposure = evidence.shares.exposure;
        if evidence.share < known.share {
            return;
        }
        if evidence.share > known.share {
            known.share = evidence.share;
            known.routes.clear();
            known.waiting.clear();
        }
        known.reported = now;
        for (route, counts) in &evidence.routes {
            match evidence.waiting.get(route) {
                Some(waiting) => known.waiting.insert(route.clone(), waiting.clone()),
                None => known.waiting.swap_remove(route),
            };
            let new = known.increase(route, counts, self.may_be_cold);
            if evidence.share == self.pool.share() {
                self.step_calls += new.candidate.calls();
            }
            self.stable_latency.merge(&new.stable.latency());
            self.comparison.add(now, route, &new);
        }
    }

    /// Closes the batches of evidence and follows a step of the rollout.
    pub(super) fn tick(&mut self, now: Millis, rollout: &Rollout, endpoints: u32) {
        if self.pool.share() != rollout.share() {
            self.pool = CreditPool::new(self.term, rollout.number, rollout.share());
            self.step_calls = 0;
            self.may_be_cold = false;
            self.comparison.enter_step();
        }
        self.comparison.set_waiting(self.waiting(now));
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

    /// Returns whether the version has been under strong suspicion for this many milliseconds.
    pub(super) fn is_suspect_for(&self, millis: u64, now: Millis) -> bool {
        self.suspect_since
            .is_some_and(|since| now.since(since).0 >= millis)
    }

    /// Returns the calls of the current step that have not ended, over all daemons that still report.
    fn waiting(&self, now: Millis) -> IndexMap<RouteName, VersionEvidence> {
        let mut routes: IndexMap<RouteName, VersionEvidence> = IndexMap::new();
        for known in self.evidence.values() {
            if known.share != self.pool.share() || now.since(known.reported) >= MAX_REPORT_AGE {
                continue;
            }
            for (route, waiting) in &known.waiting {
                routes.entry(route.clone()).or_default().merge(waiting);
            }
        }
        routes
    }

    /// Returns the calls per second over the mesh, once a few seconds of reports are known.
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

    /// Returns whether at least half of the daemons that are expected to report do so.
    pub(super) fn has_reports(&self, now: Millis) -> bool {
        let within = |limit: Millis| {
            let states = self.daemons.values();
            states
                .filter(|state| now.since(state.reported) < limit)
                .count()
        };
        let refilled = now.since(self.created) >= self.refill;
        refilled && 2 * within(MAX_REPORT_AGE) >= within(EXPECTED)
    }

    /// Returns what the rollout has cost so far, as far as daemons have reported it.
    pub(super) fn exposed(&self) -> Exposed {
        let mut all = Exposed::default();
        for known in self.evidence.values() {
            all.answered += known.exposure.answered;
            all.sent += known.exposure.sent;
        }
        all
    }

    /// Returns the calls that the candidate may still get at the daemons that report, if `limit` of the
    /// answered calls may be exposed.
    pub(super) fn room(&self, now: Millis, limit: Share) -> u64 {
        let known = self.evidence.values();
        let known = known.filter(|known| now.since(known.reported) < MAX_REPORT_AGE);
        known.map(|known| known.exposure.remaining(limit)).sum()
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
    /// Takes in cumulative counts of a route and returns what is new in them. A leader that took over
    /// during the first step leaves out the latencies of the first counts: they may be of endpoints
    /// that were cold at an earlier time.
    fn increase(
        &mut self,
        route: &RouteName,
        counts: &RouteEvidence,
        may_be_cold: bool,
    ) -> RouteEvidence {
        let Some(known) = self.routes.get_mut(route) else {
            self.routes.insert(route.clone(), counts.clone());
            return match may_be_cold {
                true => counts.clone().without_latency(),
                false => counts.clone(),
            };
        };
        let new = counts.since(known);
        known.merge(&new);
        new
    }

    /// Returns the calls that a share account has more than the last one, without those of the
    /// first account, which may have taken any time.
    fn new_calls(&mut self, report: &ShareReport) -> u64 {
        let Some(known) = &self.shares else {
            self.shares = Some(*report);
            return 0;
        };
        if report.share < known.share {
            return 0;
        }
        let before = if report.share == known.share {
            known.calls
        } else {
            0
        };
        if report.calls >= before {
            self.shares = Some(*report);
        }
        report.calls.saturating_sub(before)
    }
}

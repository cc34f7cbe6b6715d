//! Endpoint selection at the entry daemon.
//!
//! A [`Router`] samples a few endpoints at random and chooses the one with the lowest expected
//! completion time. The expectation is computed from observed latencies and from the calls that
//! this daemon has in flight. Estimates are kept for a bounded subset of each version's endpoints.
//! A small share of the calls goes to endpoints outside this subset, so that every endpoint
//! receives load even if there are few entry daemons.
//!
//! [`Router::choose`] ignores the load that upstreams report. Weighted by its correlation with
//! observed latency, it made no difference to entry daemons with much traffic, and with little
//! traffic it raised the mean 99th percentile from 29.9 to 31.9 ms
//! (`examples/load.rs --scale 10 --entries 10`), because all daemons followed the same reports.
//!
//! The local data centre is preferred by cost alone: observed latencies of endpoints in other data
//! centres include the network round trip, and the initial estimate of unobserved endpoints there
//! has it added.
//!
//! For a request with a target latency, [`Router::choose_for`] compares the expected utility of the
//! answers. It uses the load that the daemon beside each endpoint reports: that daemon counts the
//! calls exactly and sends the counts with every reply.

mod estimate;
mod load;
mod subset;
#[cfg(test)]
mod tests;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use sycamoreflow_state::endpoint::Endpoint;
use sycamoreflow_state::ids::{DaemonId, DataCentre, Micros, Millis, RouteName, VersionName};

use crate::shedding::OverloadTimer;
use estimate::Estimate;
use load::KnownLoad;

pub(crate) use load::DEFAULT_SERVICE_TIME;
pub use load::{CallSizes, LatencyObjective, Load};

/// Latency expected of a service before the first observation.
const INITIAL_LATENCY: Micros = Micros(1_000);
/// Weight of one sample in the moving average of the latency expected of an unobserved endpoint.
const PRIOR_WEIGHT: f64 = 0.05;
/// A sample counts for at most this multiple of the latency expected of unobserved endpoints.
const PRIOR_OUTLIER_FACTOR: f64 = 3.0;
/// Time for which an endpoint that refused a call as draining is not chosen. The view marks the
/// endpoint as draining within 2 s (`docs/design.md`, P8).
const DRAINING_PERIOD: Millis = Millis(5_000);

/// Margin by which the success probability of another endpoint must exceed that of an endpoint for
/// the failed calls of the latter to be retried.
const OUTLIER_MARGIN: f64 = 0.1;

/// Mean success probability of the other endpoints from which on a failed call counts as an
/// isolated failure. Below it, retries would add load to a service that fails as a whole.
const ISOLATED_FAILURE_SUCCESS: f64 = 0.95;

/// Settings of a [`Router`].
#[derive(Clone, Debug)]
pub struct RouterConfig {
    /// Identifier of the entry daemon. It determines which endpoints are in the daemon's subset.
    pub daemon: DaemonId,
    /// Data centre of the entry daemon.
    pub data_centre: DataCentre,
    /// One-way network latency to other data centres. Twice this value is added to the estimate of
    /// unobserved endpoints there.
    pub remote_latency: Micros,
    /// Seed of the random number generator.
    pub seed: u64,
}

/// Parameters of the policy. The defaults were chosen with `examples/load.rs`.
#[derive(Clone, Debug)]
pub struct Tuning {
    /// Number of endpoints per version for which estimates are kept.
    pub subset: usize,
    /// Number of endpoints in the subset that are in other data centres, if there are that many.
    /// They take calls when the local endpoints have no free capacity.
    pub remote_subset: usize,
    /// Number of random candidates per choice, drawn separately from the local data centre and from
    /// the other ones.
    pub choices: usize,
    /// Weight of one sample in the moving averages of an estimate, between 0 and 1.
    pub sample_weight: f64,
    /// Time constant of the exponential decay of an estimate's weight.
    pub decay_time: Millis,
    /// Time over which the selection probability of an endpoint that was added to a running router
    /// rises to its full value.
    pub slow_start: Millis,
    /// Mean number of choices per choice of an endpoint outside the subset.
    pub exploration_interval: u32,
    /// Cost of each call that this daemon has in flight to an endpoint, relative to the latency
    /// estimate of the endpoint.
    pub queue_cost: f64,
    /// Whether the cost of a call in flight is divided by the endpoint's slots.
    pub queue_by_slots: bool,
}

impl Default for Tuning {
    fn default() -> Self {
        Self {
            subset: 16,
            remote_subset: 4,
            choices: 2,
            sample_weight: 0.2,
            decay_time: Millis(10_000),
            slow_start: Millis(5_000),
            exploration_interval: 32,
            queue_cost: 0.5,
            queue_by_slots: false,
        }
    }
}

impl Tuning {
    fn queue_weight(&self, slots: u32) -> f64 {
        if self.queue_by_slots {
            return self.queue_cost / f64::from(slots.max(1));
        }
        self.queue_cost
    }
}

/// How a call ended, as recorded for endpoint selection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallResult {
    /// A complete answer arrived and its status is not a server error.
    Success,
    /// The call failed, timed out, or was answered with a server error.
    Failure,
    /// The owner daemon or its upstream refused the call as not run.
    Refused,
    /// The owner daemon refused the call because it or its upstream is draining.
    Draining,
    /// The caller cancelled the call, so the estimate of the endpoint does not change.
    Cancelled,
}

/// Latency and result of one call, as observed by the entry daemon.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Outcome {
    /// Time from sending the call until its end.
    pub latency: Micros,
    /// How the call ended.
    pub result: CallResult,
}

/// Chooses the endpoints of one service for one entry daemon.
#[derive(Debug)]
pub struct Router {
    cfg: RouterConfig,
    tuning: Tuning,
    rng: ChaCha8Rng,
    /// All endpoints, sorted by identifier.
    members: Vec<Member>,
    groups: Vec<Group>,
    /// Latency in microseconds expected of an unobserved endpoint in the local data centre.
    prior: f64,
    overload: OverloadTimer,
}

#[derive(Clone, Debug)]
struct Member {
    id: DaemonId,
    version: VersionName,
    slots: u32,
    draining: bool,
    local: bool,
    available: bool,
    /// Whether the endpoint is in the subset for which estimates are kept.
    tracked: bool,
    /// When the endpoint last refused a call as draining.
    refused_draining: Option<Millis>,
    /// When the slow start of the endpoint began, or `None` if it has none.
    added: Option<Millis>,
    estimate: Estimate,
    load: KnownLoad,
}

/// The endpoints of one version that are not draining, as indices into the members.
#[derive(Debug)]
struct Group {
    version: VersionName,
    local: Vec<usize>,
    remote: Vec<usize>,
    outside: Vec<usize>,
    /// Position of the latest choice from `outside`, which is iterated round-robin.
    next_outside: usize,
}

impl Router {
    /// Creates a router without endpoints, with the default parameters.
    pub fn new(cfg: RouterConfig) -> Self {
        Self::with_tuning(cfg, Tuning::default())
    }

    /// Creates a router without endpoints, with the given parameters.
    pub fn with_tuning(cfg: RouterConfig, tuning: Tuning) -> Self {
        Self {
            rng: ChaCha8Rng::seed_from_u64(cfg.seed),
            cfg,
            tuning,
            members: Vec::new(),
            groups: Vec::new(),
            prior: INITIAL_LATENCY.0 as f64,
            overload: OverloadTimer::default(),
        }
    }

    /// Replaces the endpoints. Estimates and in-flight counts of those that remain are kept.
    ///
    /// An endpoint starts slowly if it was added to a non-empty set, if its version changed, or if
    /// it is no longer draining. In the last two cases its estimate is reset.
    pub fn set_endpoints(&mut self, now: Millis, endpoints: &[Endpoint]) {
        let is_initial = self.members.is_empty();
        let mut members: Vec<Member> = endpoints
            .iter()
            .map(|endpoint| self.updated_member(now, endpoint, is_initial))
            .collect();
        members.sort_by(|a, b| a.id.cmp(&b.id));
        members.dedup_by(|a, b| a.id == b.id);
        self.members = members;
        self.rebuild_groups();
    }

    /// Marks an endpoint as ejected (`false`) or available (`true`).
    ///
    /// Ejected endpoints are chosen only if no other endpoint remains. Unknown identifiers are
    /// ignored.
    pub fn set_available(&mut self, id: &DaemonId, available: bool) {
        if let Some(index) = self.index_of(id) {
            self.members[index].available = available;
        }
    }

    /// Chooses an endpoint of `version` that is neither draining nor in `exclude`, or returns
    /// `None` if there is none.
    pub fn choose(
        &mut self,
        now: Millis,
        version: &VersionName,
        exclude: &[DaemonId],
    ) -> Option<DaemonId> {
        let group = self.groups.iter().position(|g| g.version == *version)?;
        let index = self
            .choose_outside_subset(now, group, exclude)
            .or_else(|| self.choose_in_subset(now, group, exclude))
            .or_else(|| self.choose_any(now, group, exclude))?;
        Some(self.members[index].id.clone())
    }

    /// Chooses the endpoint of `version` with the highest expected utility for a request with a
    /// target latency, among candidates that are neither draining nor in `exclude`.
    pub fn choose_for(
        &mut self,
        now: Millis,
        version: &VersionName,
        exclude: &[DaemonId],
        objective: &LatencyObjective,
    ) -> Option<DaemonId> {
        let group = self.groups.iter().position(|g| g.version == *version)?;
        let mut best: Option<(f64, usize)> = None;
        for local in [true, false] {
            for index in self.candidates(now, group, local, exclude) {
                let noise = self.rng.random_range(0.0..load::TIE_BREAK);
                let utility = self.expected_utility(now, index, objective) + noise;
                if best.is_none_or(|(highest, _)| utility > highest) {
                    best = Some((utility, index));
                }
            }
        }
        let chosen = best.map(|(_, index)| index);
        let index = chosen.or_else(|| self.choose_any(now, group, exclude))?;
        Some(self.members[index].id.clone())
    }

    /// Records the load that the daemon beside an endpoint has reported for a call of `route`.
    pub fn observe_load(&mut self, now: Millis, id: &DaemonId, load: Load, route: &RouteName) {
        if let Some(index) = self.index_of(id) {
            self.members[index].load.observe(now, load, route);
        }
    }

    /// Returns whether another endpoint of the same version has a much higher success probability,
    /// so that a call that failed on this endpoint is likely to succeed elsewhere.
    pub fn is_outlier(&self, now: Millis, id: &DaemonId) -> bool {
        let Some(index) = self.index_of(id) else {
            return false;
        };
        let member = &self.members[index];
        let best = self.success_of_others(now, member).fold(0.0, f64::max);
        best >= member.estimate.success(now, &self.tuning) + OUTLIER_MARGIN
    }

    /// Returns whether the other endpoints of the same version rarely fail, so that a call that
    /// failed on this endpoint is likely to succeed on one of them.
    pub fn is_isolated_failure(&self, now: Millis, id: &DaemonId) -> bool {
        let Some(index) = self.index_of(id) else {
            return false;
        };
        let others = self.success_of_others(now, &self.members[index]);
        let (count, total) = others.fold((0_u32, 0.0), |(n, sum), success| (n + 1, sum + success));
        count > 0 && total >= ISOLATED_FAILURE_SUCCESS * f64::from(count)
    }

    /// Returns the success probabilities of the other usable endpoints of the same version.
    fn success_of_others<'a>(
        &'a self,
        now: Millis,
        member: &'a Member,
    ) -> impl Iterator<Item = f64> + 'a {
        let others = self.members.iter().filter(|m| {
            m.version == member.version && m.id != member.id && m.available && !m.draining
        });
        others.map(move |m| m.estimate.success(now, &self.tuning))
    }

    /// Returns the delay after which a request that fails now is likely to be accepted, with random
    /// jitter so that refused callers do not retry at the same time. `overloaded` is whether it
    /// fails for lack of room.
    pub fn retry_after(&mut self, now: Millis, overloaded: bool) -> Millis {
        let usable = self.members.iter().filter(|m| m.available && !m.draining);
        let waits = usable.map(|m| m.load.wait(now, m.slots).max(m.load.closed_time(now)));
        let shortest = waits.fold(f64::INFINITY, f64::min);
        let lasted = match overloaded {
            true => self.overload.refused(now),
            false => Millis(0),
        };
        let millis = (shortest / 1_000.0)
            .max(lasted.0 as f64)
            .clamp(load::MIN_RETRY_AFTER_MS, load::MAX_RETRY_AFTER_MS);
        Millis((millis * self.rng.random_range(0.8..1.6)) as u64)
    }

    /// Returns the expected utility of sending a request to a member now: the utility of an answer
    /// after the expected latency times the success probability, minus the cost of crossing data
    /// centres.
    fn expected_utility(&self, now: Millis, index: usize, objective: &LatencyObjective) -> f64 {
        let member = &self.members[index];
        let unknown = self.service_time(&objective.route);
        let expected = member
            .load
            .expected(now, member.slots, &objective.route, unknown);
        let unanswered = member.estimate.unanswered_time(now, expected);
        let utility = objective.utility(expected.max(unanswered) + self.remote_round_trip(member));
        let remote_cost = if member.local {
            0.0
        } else {
            objective.remote_cost
        };
        utility * member.estimate.success(now, &self.tuning) - remote_cost
    }

    /// Returns the mean service time of a route in microseconds over all endpoints that have
    /// reported it, or a default if none has.
    fn service_time(&self, route: &RouteName) -> f64 {
        let known = self
            .members
            .iter()
            .filter_map(|m| m.load.service_time(route));
        let (sum, count) = known.fold((0.0, 0), |(sum, count), time| (sum + time, count + 1));
        match count {
            0 => load::DEFAULT_SERVICE_TIME,
            _ => sum / f64::from(count),
        }
    }

    /// Records that a call was sent to `id`. Unknown identifiers are ignored.
    pub fn started(&mut self, now: Millis, id: &DaemonId) {
        if let Some(index) = self.index_of(id) {
            let member = &mut self.members[index];
            member.estimate.started(now);
            member.load.sent();
        }
    }

    /// Records that a call sent to `id` ended. The caller must call this exactly once after each
    /// call of [`Router::started`].
    pub fn finished(&mut self, now: Millis, id: &DaemonId, outcome: Outcome) {
        let Some(index) = self.index_of(id) else {
            return;
        };
        let member = &mut self.members[index];
        if outcome.result == CallResult::Draining {
            member.refused_draining = Some(now);
        }
        // A refusal by a cold endpoint says nothing about how it will serve calls once it is warm.
        let refused_cold = outcome.result == CallResult::Refused && member.load.is_closed(now);
        if !member.tracked || refused_cold {
            member.estimate.ended(now);
            return;
        }
        let prior = self.prior_of(&self.members[index]);
        if outcome.result == CallResult::Success {
            self.update_prior(index, outcome.latency);
        }
        let member = &mut self.members[index];
        member.estimate.finished(now, outcome, prior, &self.tuning);
    }

    /// Returns the expected time until a call sent to `id` now is answered, or `None` if the
    /// endpoint is unknown.
    pub fn expected(&self, now: Millis, id: &DaemonId) -> Option<Micros> {
        let index = self.index_of(id)?;
        Some(Micros(self.cost(now, index) as u64))
    }

    /// Returns the number of calls that this daemon has in flight to `id`.
    pub fn in_flight(&self, id: &DaemonId) -> u32 {
        self.index_of(id)
            .map_or(0, |index| self.members[index].estimate.in_flight())
    }

    fn updated_member(&self, now: Millis, endpoint: &Endpoint, is_initial: bool) -> Member {
        let local = endpoint.data_centre == self.cfg.data_centre;
        let known = self.index_of(&endpoint.daemon).map(|i| &self.members[i]);
        let mut estimate = Estimate::default();
        if let Some(old) = known {
            let resumed = old.draining && !endpoint.draining;
            if old.version == endpoint.version && !resumed {
                return Member {
                    slots: endpoint.slots,
                    draining: endpoint.draining,
                    local,
                    ..old.clone()
                };
            }
            estimate = old.estimate.clone();
            estimate.reset();
        }
        Member {
            id: endpoint.daemon.clone(),
            version: endpoint.version.clone(),
            slots: endpoint.slots,
            draining: endpoint.draining,
            local,
            available: true,
            tracked: true,
            refused_draining: None,
            added: (!is_initial).then_some(now),
            estimate,
            load: KnownLoad::default(),
        }
    }

    fn rebuild_groups(&mut self) {
        let mut versions: Vec<VersionName> =
            self.members.iter().map(|m| m.version.clone()).collect();
        versions.sort();
        versions.dedup();
        self.groups = versions.into_iter().map(|v| self.group(v)).collect();
        for member in &mut self.members {
            member.tracked = true;
        }
        for index in self.groups.iter().flat_map(|g| &g.outside) {
            let member = &mut self.members[*index];
            member.tracked = false;
            member.estimate.reset();
        }
    }

    fn group(&self, version: VersionName) -> Group {
        let usable = |local: bool| -> Vec<usize> {
            let of_group = |m: &Member| m.version == version && !m.draining && m.local == local;
            (0..self.members.len())
                .filter(|i| of_group(&self.members[*i]))
                .collect()
        };
        let rank = |index: usize| subset::rank(&self.cfg.daemon, &self.members[index].id);
        let (mut local, mut remote) = (usable(true), usable(false));
        let remote_reserve = remote.len().min(self.tuning.remote_subset);
        let mut outside = subset::split(&mut local, self.tuning.subset - remote_reserve, rank);
        let missing = (self.tuning.subset / 2).saturating_sub(local.len());
        let remote_size = self.tuning.remote_subset.max(missing);
        outside.extend(subset::split(&mut remote, remote_size, rank));
        Group {
            version,
            local,
            remote,
            next_outside: self.cfg.seed as usize % outside.len().max(1),
            outside,
        }
    }

    fn choose_outside_subset(
        &mut self,
        now: Millis,
        group: usize,
        exclude: &[DaemonId],
    ) -> Option<usize> {
        let group = &mut self.groups[group];
        if group.outside.is_empty() || !self.rng.random_ratio(1, self.tuning.exploration_interval) {
            return None;
        }
        group.next_outside = (group.next_outside + 1) % group.outside.len();
        let index = group.outside[group.next_outside];
        self.usable(now, index, exclude).then_some(index)
    }

    fn choose_in_subset(
        &mut self,
        now: Millis,
        group: usize,
        exclude: &[DaemonId],
    ) -> Option<usize> {
        let mut best: Option<(f64, usize)> = None;
        for local in [true, false] {
            for index in self.candidates(now, group, local, exclude) {
                let cost = self.cost(now, index);
                if best.is_none_or(|(lowest, _)| cost < lowest) {
                    best = Some((cost, index));
                }
            }
        }
        best.map(|(_, index)| index)
    }

    /// Draws random usable members without replacement. A member in slow start is skipped with a
    /// probability that falls to zero at the end of its slow start. The result may be empty.
    fn candidates(
        &mut self,
        now: Millis,
        group: usize,
        local: bool,
        exclude: &[DaemonId],
    ) -> Vec<usize> {
        let group = &self.groups[group];
        let part = if local { &group.local } else { &group.remote };
        let mut pool: Vec<usize> = part
            .iter()
            .copied()
            .filter(|index| self.usable(now, *index, exclude))
            .collect();
        let mut drawn = Vec::with_capacity(self.tuning.choices);
        while drawn.len() < self.tuning.choices && !pool.is_empty() {
            let index = pool.swap_remove(self.rng.random_range(0..pool.len()));
            let slow_start_weight = self.slow_start_weight(now, index);
            if slow_start_weight < 1.0 && !self.rng.random_bool(slow_start_weight) {
                continue;
            }
            drawn.push(index);
        }
        drawn
    }

    /// Chooses uniformly at random, ignoring estimates and slow start. Ejected members and those
    /// that refused a call as draining are included only if there is no other. Cold members that
    /// take no call now are never included.
    fn choose_any(&mut self, now: Millis, group: usize, exclude: &[DaemonId]) -> Option<usize> {
        let group = &self.groups[group];
        let all = || {
            let parts = [&group.local, &group.remote, &group.outside];
            parts.into_iter().flatten().copied()
        };
        let mut pool: Vec<usize> = all().filter(|i| self.usable(now, *i, exclude)).collect();
        if pool.is_empty() {
            pool = all()
                .filter(|i| !exclude.contains(&self.members[*i].id))
                .filter(|i| !self.members[*i].load.is_closed(now))
                .collect();
        }
        if pool.is_empty() {
            return None;
        }
        Some(pool[self.rng.random_range(0..pool.len())])
    }

    fn usable(&self, now: Millis, index: usize, exclude: &[DaemonId]) -> bool {
        let member = &self.members[index];
        let recently = |refused| now.since(refused) < DRAINING_PERIOD;
        member.available
            && !member.refused_draining.is_some_and(recently)
            && !member.load.is_closed(now)
            && !exclude.contains(&member.id)
    }

    /// Returns the probability that a drawn member is kept as a candidate, below 1 during its slow
    /// start.
    fn slow_start_weight(&self, now: Millis, index: usize) -> f64 {
        let Some(added) = self.members[index].added else {
            return 1.0;
        };
        let warm = now.since(added).0 as f64 / self.tuning.slow_start.0.max(1) as f64;
        warm.clamp(0.05, 1.0)
    }

    fn cost(&self, now: Millis, index: usize) -> f64 {
        let member = &self.members[index];
        let prior = self.prior_of(member);
        member
            .estimate
            .expected(now, prior, member.slots, &self.tuning)
    }

    /// Updates the latency expected of unobserved endpoints with a sample from a member.
    fn update_prior(&mut self, index: usize, latency: Micros) {
        let round_trip = self.remote_round_trip(&self.members[index]);
        let sample = latency.0 as f64 - round_trip;
        let sample = sample.clamp(1.0, self.prior * PRIOR_OUTLIER_FACTOR);
        self.prior += (sample - self.prior) * PRIOR_WEIGHT;
    }

    fn prior_of(&self, member: &Member) -> f64 {
        self.prior + self.remote_round_trip(member)
    }

    /// Returns the network round trip in microseconds to the data centre of the member, which is
    /// taken as zero within the local data centre.
    fn remote_round_trip(&self, member: &Member) -> f64 {
        if member.local {
            return 0.0;
        }
        2.0 * self.cfg.remote_latency.0 as f64
    }

    fn index_of(&self, id: &DaemonId) -> Option<usize> {
        self.members.binary_search_by(|m| m.id.cmp(id)).ok()
    }
}

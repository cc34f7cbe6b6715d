//! Endpoint selection at the entry daemon.
//!
//! A [`Router`] chooses the endpoint with the lowest expected completion time among a few random
//! candidates. The expectation rests on observed latencies and the daemon's own calls in flight.
//! Estimates are kept for a bounded subset of each version's endpoints. One choice in a while goes
//! to an endpoint outside of the subset, so every endpoint receives load even from few entry
//! daemons.
//!
//! Load that upstreams report is not used by [`Router::choose`]. Weighted by its correlation with
//! observed latency it made no difference to entry daemons with much traffic, and with little
//! traffic it raised the mean 99th percentile from 29.9 to 31.9 ms
//! (`examples/load.rs --scale 10 --entries 10`): all daemons followed the same reports.
//!
//! The same data centre is preferred by cost alone: observed latencies of other data centres
//! contain the hop, and unobserved endpoints there start with the hop added.
//!
//! For a request with a target latency, [`Router::choose_for`] compares the chances of an answer in
//! time. It knows the load of an endpoint from the daemon beside it, which counts the work exactly
//! and sends it with every reply.

mod estimate;
mod load;
mod subset;
#[cfg(test)]
mod tests;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use sycamoreflow_state::endpoint::Endpoint;
use sycamoreflow_state::ids::{DaemonId, DataCentre, Micros, Millis, RouteName, VersionName};

use estimate::Estimate;
use load::KnownLoad;

pub use load::{CallSizes, LatencyObjective, Load};

/// Latency expected of a service before the first observation.
const INITIAL_LATENCY: Micros = Micros(1_000);
/// Weight of one sample in the latency expected of an unobserved endpoint.
const PRIOR_WEIGHT: f64 = 0.05;
/// A sample counts for at most this multiple of the latency expected of unobserved endpoints.
const PRIOR_OUTLIER_FACTOR: f64 = 3.0;
/// Time for which an endpoint that refused a call as draining is not chosen. The drain mark of the
/// view follows within 2 s (`docs/design.md`, P8).
const DRAINING_PERIOD: Millis = Millis(5_000);

/// Margin by which the success of another endpoint must exceed that of one whose failed calls are
/// sent again.
const OUTLIER_MARGIN: f64 = 0.1;

/// Settings of a [`Router`].
#[derive(Clone, Debug)]
pub struct RouterConfig {
    /// Identifier of the entry daemon. It decides which endpoints the daemon keeps estimates for.
    pub daemon: DaemonId,
    /// Data centre of the entry daemon.
    pub data_centre: DataCentre,
    /// One-way latency to other data centres, added to the estimate of unobserved endpoints.
    pub remote_latency: Micros,
    /// Seed of the random choices.
    pub seed: u64,
}

/// Parameters of the policy. The defaults were chosen with `examples/load.rs`.
#[derive(Clone, Debug)]
pub struct Tuning {
    /// Endpoints per version that estimates are kept for.
    pub subset: usize,
    /// How many of them are of other data centres, if there are as many. They are used when those
    /// nearby have no room.
    pub remote_subset: usize,
    /// Random candidates per choice from each of the own and the other data centres.
    pub choices: usize,
    /// Weight of one sample in an estimate.
    pub sample_weight: f64,
    /// Time in which an estimate loses most of its weight.
    pub decay_time: Millis,
    /// Time in which the share of an endpoint that was added later rises to its full value.
    pub slow_start: Millis,
    /// One choice in this number goes to an endpoint outside of the subset.
    pub exploration_interval: u32,
    /// Cost of each own call in flight, relative to the latency estimate.
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

/// How a call ended, as far as the choice of endpoints is concerned.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallResult {
    /// A whole answer arrived and its status is not a server error.
    Success,
    /// The call failed, timed out, or was answered with a server error.
    Failure,
    /// The owner daemon or its upstream refused the call as not run.
    Refused,
    /// The owner daemon refused the call because it or its upstream is leaving.
    Draining,
    /// The caller cancelled the call, which says nothing about the endpoint.
    Cancelled,
}

/// What the entry daemon observed about one call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Outcome {
    /// Time from sending the call to its end.
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
    /// Sorted by identifier.
    members: Vec<Member>,
    groups: Vec<Group>,
    /// Latency in microseconds expected of an unobserved endpoint in the own data centre.
    prior: f64,
}

#[derive(Clone, Debug)]
struct Member {
    id: DaemonId,
    version: VersionName,
    slots: u32,
    draining: bool,
    local: bool,
    available: bool,
    /// Whether the endpoint is in the subset that estimates are kept for.
    tracked: bool,
    /// When the endpoint last refused a call as draining.
    refused_draining: Option<Millis>,
    /// When a cold endpoint was added; `None` for one that counts as warm.
    added: Option<Millis>,
    estimate: Estimate,
    load: KnownLoad,
}

/// The endpoints of one version as indices into the members.
#[derive(Debug)]
struct Group {
    version: VersionName,
    local: Vec<usize>,
    remote: Vec<usize>,
    outside: Vec<usize>,
    /// Position of the latest choice from `outside`, which is used in turn.
    next_outside: usize,
}

impl Router {
    /// Makes a router without endpoints.
    pub fn new(cfg: RouterConfig) -> Self {
        Self::with_tuning(cfg, Tuning::default())
    }

    /// Makes a router without endpoints that uses other parameters than the default ones.
    pub fn with_tuning(cfg: RouterConfig, tuning: Tuning) -> Self {
        Self {
            rng: ChaCha8Rng::seed_from_u64(cfg.seed),
            cfg,
            tuning,
            members: Vec::new(),
            groups: Vec::new(),
            prior: INITIAL_LATENCY.0 as f64,
        }
    }

    /// Replaces the endpoints. Estimates and in-flight counts of those that remain are kept.
    ///
    /// An endpoint that was added to a non-empty set, whose version changed, or that returns from
    /// draining counts as cold.
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

    /// Marks an endpoint as ejected (`false`) or returned (`true`).
    ///
    /// Ejected endpoints are chosen only if there is no other.
    pub fn set_available(&mut self, id: &DaemonId, available: bool) {
        if let Some(index) = self.index_of(id) {
            self.members[index].available = available;
        }
    }

    /// Chooses an endpoint of `version` that is neither draining nor in `exclude`.
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

    /// Chooses the endpoint of `version` where a request is the most likely to be answered within
    /// its target, among those that are neither draining nor in `exclude`.
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

    /// Takes in the load that the daemon beside an endpoint has reported.
    pub fn observe_load(&mut self, now: Millis, id: &DaemonId, load: Load, route: &RouteName) {
        if let Some(index) = self.index_of(id) {
            self.members[index].load.observe(now, load, route);
        }
    }

    /// Returns whether an endpoint fails much more often than the others of its version, so that a
    /// call that it has failed is likely to succeed elsewhere.
    pub fn is_outlier(&self, now: Millis, id: &DaemonId) -> bool {
        let Some(index) = self.index_of(id) else {
            return false;
        };
        let member = &self.members[index];
        let success = |m: &Member| m.estimate.success(now, &self.tuning);
        let others = self.members.iter().filter(|m| {
            m.version == member.version && m.id != member.id && m.available && !m.draining
        });
        let best = others.map(success).fold(0.0, f64::max);
        best >= success(member) + OUTLIER_MARGIN
    }

    /// Returns when a request that was refused everywhere is likely to find room, spread so that
    /// refused callers do not return together.
    pub fn retry_after(&mut self, now: Millis) -> Millis {
        let usable = self.members.iter().filter(|m| m.available && !m.draining);
        let waits = usable.map(|m| m.load.wait(now, m.slots));
        let shortest = waits.fold(f64::INFINITY, f64::min);
        let millis = (shortest / 1_000.0).clamp(load::MIN_RETRY_AFTER_MS, load::MAX_RETRY_AFTER_MS);
        Millis((millis * self.rng.random_range(0.8..1.6)) as u64)
    }

    /// Returns what a request sent to a member now is expected to be worth, as the chance of an
    /// answer within the target less the price of the way there.
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

    /// Returns the mean service time of a route in microseconds over the endpoints that have
    /// reported it.
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

    /// Records that a call was sent to `id`.
    pub fn started(&mut self, now: Millis, id: &DaemonId) {
        if let Some(index) = self.index_of(id) {
            let member = &mut self.members[index];
            member.estimate.started(now);
            member.load.sent();
        }
    }

    /// Records that a call sent to `id` ended. Each call of [`Router::started`] is followed by
    /// exactly one call of this function.
    pub fn finished(&mut self, now: Millis, id: &DaemonId, outcome: Outcome) {
        let Some(index) = self.index_of(id) else {
            return;
        };
        let member = &mut self.members[index];
        if outcome.result == CallResult::Draining {
            member.refused_draining = Some(now);
        }
        if !member.tracked {
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

    /// Returns the time in which a call sent to `id` now is expected to be answered.
    pub fn expected(&self, now: Millis, id: &DaemonId) -> Option<Micros> {
        let index = self.index_of(id)?;
        Some(Micros(self.cost(now, index) as u64))
    }

    /// Returns the number of own calls in flight to `id`.
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

    /// Draws random usable members without replacement. Cold ones are passed over with a
    /// probability that falls while they warm up, unless there is no other.
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

    /// Chooses at random without regard to estimates, warmth and, in the end, ejection.
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
            && !exclude.contains(&member.id)
    }

    /// Returns the probability with which a member takes part in a choice.
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

    /// Updates the latency that is expected of unobserved endpoints.
    fn update_prior(&mut self, index: usize, latency: Micros) {
        let round_trip = self.remote_round_trip(&self.members[index]);
        let sample = latency.0 as f64 - round_trip;
        let sample = sample.clamp(1.0, self.prior * PRIOR_OUTLIER_FACTOR);
        self.prior += (sample - self.prior) * PRIOR_WEIGHT;
    }

    fn prior_of(&self, member: &Member) -> f64 {
        self.prior + self.remote_round_trip(member)
    }

    /// Returns the round trip in microseconds that the place of the member adds to each call.
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

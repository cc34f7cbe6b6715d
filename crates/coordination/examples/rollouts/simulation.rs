//! A simulated mesh on a virtual clock, with the real counters, recorders, pacer and
//! replicated state.

use std::collections::BTreeMap;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use sycamoreflow_coordination::evidence::comparison::Comparison;
use sycamoreflow_coordination::evidence::{
    CallOutcome, EvidenceRecorder, EvidenceReport, FinishedCall, RouteEvidence,
};
use sycamoreflow_coordination::pacing::{Capacity, Pacer};
use sycamoreflow_coordination::rollout::{RolloutCommand, Rollouts};
use sycamoreflow_coordination::shares::{Attempt, Grant, ShareCounter};
use sycamoreflow_state::config::{MeshConfig, Share, TrafficSplit};
use sycamoreflow_state::ids::{DaemonId, Millis, RouteName, ServiceName, VersionName};
use sycamoreflow_state::rollout::{Rollout, RolloutPhase};

use crate::baseline::Baseline;
use crate::scenario::{CallContext, ROUTES, Scenario};
use crate::settings;

/// Number of entry daemons, as in Sfax.
const DAEMONS: usize = 9;
/// Number of endpoints of each version, slots per endpoint and relative latency of each host.
const ENDPOINTS: usize = 3;
const SLOTS: u32 = 9;
const HOST_LATENCY: [f64; ENDPOINTS] = [0.8, 1.0, 1.5];
/// Range of the latency of a call on a host with relative latency 1, without the tail,
/// in microseconds.
const LATENCY_US: (f64, f64) = (6_000.0, 14_000.0);
/// Probability that a call takes three times as long.
const TAIL_PROBABILITY: f64 = 0.05;
/// Number of first calls on a new endpoint that take five times as long.
const COLD_CALLS: u64 = 20;
/// Probability that a failed call is retried.
const RETRY_PROBABILITY: f64 = 0.8;
/// Probability that a report is lost, and that it arrives twice.
const REPORT_LOSS: f64 = 0.01;
/// Delays in milliseconds: messages between daemon and leader, commit of a command, and
/// distribution of a new view.
const MESSAGE_DELAY: (u64, u64) = (10, 40);
const COMMIT_DELAY: u64 = 20;
const VIEW_DELAY: (u64, u64) = (20, 150);
/// Time in milliseconds without a leader after one is lost.
const ELECTION: u64 = 1_500;
/// Interval between ticks of the leader, in milliseconds.
const LEADER_TICK: u64 = 250;
const MASS_RESTART_INTERVAL: u64 = 40_000;
/// Resolution of the virtual clock in milliseconds.
const TICK: u64 = 10;

enum Event {
    Finished(Box<Finished>),
    Report(usize, Box<EvidenceReport>, (u64, u64)),
    Grant(usize, Grant),
    Commit(Box<RolloutCommand>),
    View(usize, Box<TrafficSplit>),
    LoseLeader,
    NewLeader,
}

struct Finished {
    daemon: usize,
    incarnation: u64,
    new: bool,
    route: usize,
    endpoint: usize,
    outcome: CallOutcome,
    latency_us: u64,
}

struct Entry {
    incarnation: u64,
    split: TrafficSplit,
    counter: ShareCounter,
    recorder: EvidenceRecorder,
    /// Calls and failures of the candidate, for the baseline.
    baseline_counts: (u64, u64),
}

/// Result of a run, as written to JSON.
#[derive(Clone, Debug, Default, serde::Serialize)]
pub(crate) struct Outcome {
    pub(crate) finished_in_time: bool,
    pub(crate) done: bool,
    #[serde(rename = "taken_back")]
    pub(crate) rolled_back: bool,
    pub(crate) reason: Option<String>,
    /// Seconds from approval to the end of the rollout.
    pub(crate) seconds: f64,
    /// Calls that the candidate received.
    pub(crate) candidate_calls: u64,
    /// Calls that it received after the evidence of the whole mesh was sufficient to roll back.
    pub(crate) calls_after_shown: u64,
    /// Seconds from that moment to the last call that the candidate received.
    pub(crate) seconds_after_shown: f64,
    /// Largest excess of the candidate's calls over share × calls.
    pub(crate) excess_calls: f64,
    pub(crate) cut_off_daemons: usize,
    pub(crate) report_bytes_mean: f64,
    pub(crate) report_bytes_max: usize,
    pub(crate) grants: u64,
}

pub(crate) struct Simulation {
    scenario: Scenario,
    baseline: bool,
    calls_per_second: f64,
    rng: ChaCha8Rng,
    now: u64,
    queue: BTreeMap<(u64, u64), Event>,
    sequence: u64,
    rollouts: Rollouts,
    leader: Option<Pacer>,
    baseline_leader: Baseline,
    term: u64,
    entries: Vec<Entry>,
    incarnations: u64,
    first_call: Option<u64>,
    endpoint_calls: [u64; ENDPOINTS],
    load: (u64, u64),
    oracle: Comparison,
    shown_at: Option<u64>,
    last_call: u64,
    expected_candidate_calls: f64,
    outcome: Outcome,
    reports: (u64, u64),
}

impl Simulation {
    pub(crate) fn new(scenario: Scenario, baseline: bool, rate: f64, seed: u64) -> Self {
        let mut rollouts = Rollouts::default();
        let mut config = MeshConfig::default();
        for version in ["v1", "v2"] {
            let service = settings::service(version);
            config.services.insert("orders".into(), service);
            rollouts.approve(&config, Millis(0));
        }
        let split = rollouts.traffic(&"orders".into()).unwrap_or_else(no_split);
        let rule = settings::service("v2").rollout;
        let entries = (1..=DAEMONS as u64).map(|n| Entry::new(n, split.clone()));
        Self {
            scenario,
            baseline,
            calls_per_second: rate,
            rng: ChaCha8Rng::seed_from_u64(seed),
            now: 0,
            queue: BTreeMap::new(),
            sequence: 0,
            rollouts,
            leader: Some(Pacer::new(1)),
            baseline_leader: Baseline::default(),
            term: 1,
            entries: entries.collect(),
            incarnations: DAEMONS as u64,
            first_call: None,
            endpoint_calls: [0; ENDPOINTS],
            load: (0, 0),
            oracle: Comparison::new(&rule, settings::FINISH),
            shown_at: None,
            last_call: 0,
            expected_candidate_calls: 0.0,
            outcome: Outcome::default(),
            reports: (0, 0),
        }
    }

    /// Runs until the rollout has ended, or a minute after it should have.
    pub(crate) fn run(mut self) -> Outcome {
        let end = settings::FINISH.0 + settings::WATCH.0 + 60_000;
        while self.now < end && !self.ended() {
            self.now += TICK;
            self.generate_calls();
            self.handle_due();
            if self.now.is_multiple_of(LEADER_TICK) {
                self.tick_leader();
            }
            if self.now.is_multiple_of(1_000) {
                self.load = (self.load.1, 0);
            }
            if self.now.is_multiple_of(100) {
                self.update_oracle();
            }
            self.send_reports();
            if self.scenario.mass_restart && self.now.is_multiple_of(MASS_RESTART_INTERVAL) {
                self.restart_all();
            }
        }
        self.into_outcome()
    }

    fn rollout(&self) -> Option<&Rollout> {
        self.rollouts.get(1)
    }

    /// Returns whether the run is complete: two seconds after the end of the rollout, so that late
    /// calls to a bad version are counted.
    fn ended(&self) -> bool {
        let ended = self.rollout().and_then(|rollout| rollout.ended);
        ended.is_some_and(|at| self.now > at.0 + 2_000)
    }

    fn schedule(&mut self, delay: u64, event: Event) {
        self.sequence += 1;
        self.queue.insert((self.now + delay, self.sequence), event);
    }

    fn message_delay(&mut self) -> u64 {
        self.rng.random_range(MESSAGE_DELAY.0..MESSAGE_DELAY.1)
    }

    /// Starts the calls of a tick, at the same rate at all daemons.
    fn generate_calls(&mut self) {
        let mean = self.calls_per_second / DAEMONS as f64 * TICK as f64 / 1_000.0;
        for daemon in 0..DAEMONS {
            // Two draws with half the mean allow for more than one call per tick.
            for _ in 0..2 {
                if self.rng.random_bool((mean / 2.0).min(1.0)) {
                    let route = self.rng.random_range(0..ROUTES);
                    self.send(daemon, route, Attempt::First);
                }
            }
        }
    }

    fn send(&mut self, daemon: usize, route: usize, attempt: Attempt) {
        let new = self.pick(daemon, attempt);
        let endpoint = self.rng.random_range(0..ENDPOINTS);
        let mut latency = self.rng.random_range(LATENCY_US.0..LATENCY_US.1);
        latency *= HOST_LATENCY[endpoint];
        if self.rng.random_bool(TAIL_PROBABILITY) {
            latency *= 3.0;
        }
        if new {
            self.count_candidate();
            latency *= (self.scenario.slowdown)(self.now - self.first_call.unwrap_or(self.now));
            self.endpoint_calls[endpoint] += 1;
            if self.endpoint_calls[endpoint] <= COLD_CALLS {
                latency *= 5.0;
            }
        }
        let context = CallContext {
            new,
            route,
            age: self.now - self.first_call.unwrap_or(self.now),
            load: self.load.0,
        };
        let failed = self.rng.random_bool((self.scenario.failure)(&context));
        if failed && attempt == Attempt::First && self.rng.random_bool(RETRY_PROBABILITY) {
            self.send(daemon, route, Attempt::Retry);
        }
        if attempt == Attempt::Retry {
            return;
        }
        let finished = Finished {
            daemon,
            incarnation: self.entries[daemon].incarnation,
            new,
            route,
            endpoint,
            outcome: if failed {
                CallOutcome::Failed
            } else {
                CallOutcome::Succeeded
            },
            latency_us: latency as u64,
        };
        self.schedule(latency as u64 / 1_000, Event::Finished(Box::new(finished)));
    }

    fn pick(&mut self, daemon: usize, attempt: Attempt) -> bool {
        let now = Millis(self.now);
        let entry = &mut self.entries[daemon];
        let Some(candidate) = &entry.split.candidate else {
            return false;
        };
        if attempt == Attempt::First {
            self.expected_candidate_calls += candidate.share.ratio();
        }
        if self.baseline {
            return self.rng.random_bool(candidate.share.ratio());
        }
        entry
            .counter
            .set_comparing(entry.recorder.wants_comparison());
        entry.counter.pick(now, &entry.split, attempt) == candidate.version
    }

    fn count_candidate(&mut self) {
        self.first_call.get_or_insert(self.now);
        self.load.1 += 1;
        self.last_call = self.now;
        self.outcome.candidate_calls += 1;
        self.outcome.calls_after_shown += u64::from(self.shown_at.is_some());
        let excess = self.outcome.candidate_calls as f64 - self.expected_candidate_calls;
        // At full share, retries also go to the candidate but add nothing to the expected calls.
        if self.entries.iter().all(|entry| entry.share() < Share::ALL) {
            self.outcome.excess_calls = self.outcome.excess_calls.max(excess);
        }
    }

    fn handle_due(&mut self) {
        while let Some(entry) = self.queue.first_entry()
            && entry.key().0 <= self.now
        {
            let event = entry.remove();
            self.handle(event);
        }
    }

    fn handle(&mut self, event: Event) {
        let now = Millis(self.now);
        match event {
            Event::Finished(call) => self.finish_call(&call),
            Event::Report(daemon, report, baseline_counts) => {
                self.baseline_leader
                    .report(daemon, report.incarnation, baseline_counts);
                if let Some(leader) = &mut self.leader {
                    leader.report(now, &name(daemon), &report);
                }
            }
            Event::Grant(daemon, grant) => {
                self.entries[daemon].counter.grant(now, &grant);
            }
            Event::Commit(command) => self.commit(&command),
            Event::View(daemon, split) => self.entries[daemon].split = *split,
            Event::LoseLeader => {
                self.leader = None;
                self.schedule(ELECTION, Event::NewLeader);
            }
            Event::NewLeader => {
                self.term += 1;
                self.leader = Some(Pacer::new(self.term));
                self.baseline_leader = Baseline::default();
            }
        }
    }

    fn finish_call(&mut self, call: &Finished) {
        let route = RouteName::from(["check-stock", "place-order", "batch-record"][call.route]);
        let version = VersionName::from(if call.new { "v2" } else { "v1" });
        let finished = FinishedCall {
            route: &route,
            version: &version,
            endpoint: call.endpoint,
            outcome: call.outcome,
            latency_us: call.latency_us,
        };
        let mut observed = RouteEvidence::default();
        observed.record(&finished, call.new);
        self.oracle.add(Millis(self.now), &route, &observed);
        let entry = &mut self.entries[call.daemon];
        if entry.incarnation != call.incarnation {
            return;
        }
        if call.new {
            entry.baseline_counts.0 += 1;
            entry.baseline_counts.1 += u64::from(call.outcome == CallOutcome::Failed);
        }
        let rule = settings::service("v2").rollout;
        let cut = entry
            .recorder
            .record(Millis(self.now), &entry.split, &rule, &finished);
        if let Some(rollout) = cut
            && !self.baseline
        {
            entry.counter.stop(rollout);
            self.outcome.cut_off_daemons += 1;
        }
    }

    /// Evaluates all calls in the mesh without delay, to find when the evidence of a fault
    /// is sufficient.
    fn update_oracle(&mut self) {
        self.oracle
            .close_batches(Millis(self.now), ENDPOINTS as u32);
        if self.scenario.bad && self.shown_at.is_none() && self.oracle.roll_back_reason().is_some()
        {
            self.shown_at = Some(self.now);
        }
    }

    fn send_reports(&mut self) {
        for daemon in 0..DAEMONS {
            let phase = daemon as u64 * 110;
            if self.now % 1_000 != phase {
                continue;
            }
            let entry = &mut self.entries[daemon];
            let shares = entry.counter.report(Millis(self.now));
            let report = EvidenceReport {
                incarnation: entry.incarnation,
                rollouts: entry
                    .recorder
                    .report(Millis(self.now), shares)
                    .into_iter()
                    .collect(),
            };
            let baseline_counts = entry.baseline_counts;
            self.count_bytes(&report);
            let copies = match self.rng.random::<f64>() {
                draw if draw < REPORT_LOSS => 0,
                draw if draw < 2.0 * REPORT_LOSS => 2,
                _ => 1,
            };
            for _ in 0..copies {
                let delay = self.message_delay();
                let event = Event::Report(daemon, Box::new(report.clone()), baseline_counts);
                self.schedule(delay, event);
            }
        }
    }

    fn count_bytes(&mut self, report: &EvidenceReport) {
        let mut bytes = Vec::new();
        if ciborium::into_writer(report, &mut bytes).is_ok() {
            self.reports = (self.reports.0 + 1, self.reports.1 + bytes.len() as u64);
            self.outcome.report_bytes_max = self.outcome.report_bytes_max.max(bytes.len());
        }
    }

    fn tick_leader(&mut self) {
        if self.scenario.no_leader.contains(&self.now) {
            self.leader = None;
            if self.now + LEADER_TICK >= self.scenario.no_leader.end {
                self.schedule(LEADER_TICK, Event::NewLeader);
            }
        }
        let Some(leader) = &mut self.leader else {
            return;
        };
        let now = Millis(self.now);
        let capacity = |_: &ServiceName, _: &VersionName| Capacity {
            endpoints: ENDPOINTS as u32,
            slots: ENDPOINTS as u32 * SLOTS,
        };
        let commands = if self.baseline {
            self.baseline_leader.tick(now, &self.rollouts)
        } else {
            leader.tick(now, &self.rollouts, capacity)
        };
        let grants = leader.grants(now);
        for command in commands {
            self.schedule(COMMIT_DELAY, Event::Commit(Box::new(command)));
        }
        for (daemon, grant) in grants {
            self.outcome.grants += 1;
            let delay = self.message_delay();
            if let Some(index) = (0..DAEMONS).find(|index| name(*index) == daemon) {
                self.schedule(delay, Event::Grant(index, grant));
            }
        }
    }

    fn commit(&mut self, command: &RolloutCommand) {
        if self.rollouts.apply(command) != Ok(true) {
            return;
        }
        let Some(split) = self.rollouts.traffic(&"orders".into()) else {
            return;
        };
        for daemon in 0..DAEMONS {
            let delay = self.rng.random_range(VIEW_DELAY.0..VIEW_DELAY.1);
            self.schedule(delay, Event::View(daemon, Box::new(split.clone())));
        }
        if self.scenario.leader_lost {
            self.schedule(2_000, Event::LoseLeader);
        }
    }

    fn restart_all(&mut self) {
        for entry in &mut self.entries {
            self.incarnations += 1;
            *entry = Entry::new(self.incarnations, entry.split.clone());
        }
    }

    fn into_outcome(self) -> Outcome {
        let mut outcome = self.outcome.clone();
        if let Some(rollout) = self.rollout() {
            let full = rollout.step as usize == rollout.rule.steps.len();
            let in_time = rollout.step_entered() <= rollout.finish_by;
            outcome.rolled_back = rollout.phase == RolloutPhase::TakenBack;
            outcome.done = rollout.phase == RolloutPhase::Done;
            outcome.finished_in_time = full && in_time && !outcome.rolled_back;
            outcome.reason = rollout.reason.as_ref().map(ToString::to_string);
            outcome.seconds = rollout.ended.map_or(self.now, |at| at.0) as f64 / 1_000.0;
        }
        if let Some(shown) = self.shown_at {
            outcome.seconds_after_shown = self.last_call.saturating_sub(shown) as f64 / 1_000.0;
        }
        outcome.report_bytes_mean = self.reports.1 as f64 / self.reports.0.max(1) as f64;
        outcome
    }
}

impl Entry {
    fn new(incarnation: u64, split: TrafficSplit) -> Self {
        Self {
            incarnation,
            split,
            counter: ShareCounter::new(incarnation),
            recorder: EvidenceRecorder::new(),
            baseline_counts: (0, 0),
        }
    }

    fn share(&self) -> Share {
        let candidate = self.split.candidate.as_ref();
        candidate.map_or(Share::NONE, |candidate| candidate.share)
    }
}

fn name(daemon: usize) -> DaemonId {
    format!("sfax-{daemon}").into()
}

fn no_split() -> TrafficSplit {
    TrafficSplit {
        stable: "v1".into(),
        candidate: None,
        blocked: Vec::new(),
    }
}

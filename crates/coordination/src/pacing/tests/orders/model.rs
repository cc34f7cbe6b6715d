//! A model of a short rollout that an operator orders, simulated call by call. Entry daemons
//! use the real recorder and share counter, endpoints differ in speed, and decisions take time
//! to be enforced.

use std::ops::Range;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use sycamoreflow_state::config::{ServiceConfig, Share, TrafficSplit};
use sycamoreflow_state::ids::{Millis, RouteName, ServiceName, VersionName};
use sycamoreflow_state::rollout::RolloutPhase;

use crate::evidence::{
    CallOutcome, EvidenceRecorder, EvidenceReport, FinishedCall, StartedCall, report_interval,
};
use crate::pacing::tests::AMPLE_CAPACITY;
use crate::pacing::{Capacity, Pacer, TICK_INTERVAL};
use crate::rollout::Rollouts;
use crate::shares::{Attempt, ShareCounter};

const ORDERED_AT: Millis = Millis(2_000);
const WITHIN: Millis = Millis(16_000);
const END: Millis = Millis(26_000);
/// A bad version may receive one in this many calls until its time has expired, and this many calls
/// in addition.
const EXPOSURE_ALLOWANCE: (u64, u64) = (10, 50);
/// A bad version may receive no more calls this long after this many bad answers.
const BAD_ANSWER_LIMIT: (usize, Millis) = (50, Millis(5_000));

const ENTRIES: usize = 9;
const ENDPOINTS: usize = 3;
const STEP: Millis = Millis(10);
const CALLS_PER_SECOND: f64 = 130.0;
/// Mean service time at an endpoint of average speed, in milliseconds.
const SERVICE_MS: f64 = 167.3;
/// Mean of each of the random variables whose product is the service time.
const MEAN_FACTOR: f64 = 1.15;
/// Time in milliseconds during which some endpoints are slow.
const SLOW_PERIOD: Range<u64> = 4_000..16_000;
/// Time in milliseconds of the burst of calls in a disturbed case, and its factor on the call rate.
const BURST: (Range<u64>, f64) = (12_500..15_900, 1.7);
/// Time in milliseconds during which the reports of a third of the entry daemons are lost in a
/// disturbed case.
const LOST_REPORTS_PERIOD: Range<u64> = 12_000..15_000;
/// Time from the order until the endpoints of the candidate are known.
const STARTUP_DELAY: Millis = Millis(1_500);
/// Time from a decision of the leader until all daemons enforce it.
const ENFORCEMENT_DELAY: Millis = Millis(150);

/// Parameters of a simulated rollout.
#[derive(Clone, Copy)]
pub(super) struct Case {
    /// Probability that an answer of the candidate is bad.
    pub(super) bad: f64,
    /// Factor on the latency of bad answers, or 0 if they are failures.
    pub(super) factor: f64,
    /// Share of the traffic at or above which answers are bad: a fault that depends on total load.
    pub(super) bad_from: Share,
    /// Calls in progress at one endpoint of the candidate at or above which answers are bad: a
    /// fault that depends on the load of an endpoint.
    pub(super) bad_load: usize,
    /// Calls per second in the mesh.
    pub(super) rate: f64,
    /// Whether entry daemons restart, reports are lost and there is a burst of calls.
    pub(super) disturbed: bool,
    /// When half of the entry daemons restart and lose their state, if `disturbed` is set.
    pub(super) restart: Millis,
    /// When another replica becomes the leader, without the evidence of the previous one.
    pub(super) new_leader: Option<Millis>,
    /// Number of endpoints of the stable version that are five times slower for 12 s.
    pub(super) slow_upstreams: usize,
    /// Number of endpoints of the candidate that are five times slower for 12 s.
    pub(super) slow_candidates: usize,
    /// Whether 2% of the calls use a route that fails for both versions.
    pub(super) failing_route: bool,
    /// Number of routes over which the other calls are spread.
    pub(super) routes: usize,
    /// Time after which a call times out at its caller.
    pub(super) wait: Millis,
    /// Number of random variables whose product is the service time. More of them spread it wider.
    pub(super) variables: u32,
}

pub(super) const GOOD: Case = Case {
    bad: 0.0,
    factor: 1.0,
    bad_from: Share::NONE,
    bad_load: 0,
    rate: CALLS_PER_SECOND,
    disturbed: false,
    restart: Millis(3_400),
    new_leader: None,
    slow_upstreams: 0,
    slow_candidates: 0,
    failing_route: false,
    routes: 1,
    wait: Millis(1_500),
    variables: 3,
};

/// Service times vary widely, and callers time out on part of the slow calls.
pub(super) const SHORT_TIMEOUT: Case = Case {
    wait: Millis(800),
    variables: 6,
    ..GOOD
};

/// Result of a simulated rollout, as seen by callers.
pub(super) struct Outcome {
    calls: u64,
    exposed: u64,
    bad_answers: Vec<Millis>,
    last_exposed: Millis,
    /// When the candidate first exceeded its permitted share of the calls since the order, before
    /// it was completed.
    pub(super) over_limit_at: Option<Millis>,
    /// Whether that happened before it had passed its test.
    pub(super) is_over_limit_before_pass: bool,
    pub(super) completed_at: Option<Millis>,
    pub(super) rolled_back_at: Option<Millis>,
}

impl Outcome {
    /// Returns whether the candidate received more calls than a bad version may.
    pub(super) fn is_exposed(&self) -> bool {
        let (divisor, extra) = EXPOSURE_ALLOWANCE;
        let (answers, time) = BAD_ANSWER_LIMIT;
        let limit_reached_at = self.bad_answers.get(answers - 1);
        self.exposed > self.calls / divisor + extra
            || limit_reached_at.is_some_and(|at| self.last_exposed > at.after(time))
    }

    pub(super) fn is_in_time(at: Option<Millis>) -> bool {
        at.is_some_and(|at| at <= ORDERED_AT.after(WITHIN))
    }
}

struct Entry {
    recorder: EvidenceRecorder,
    shares: ShareCounter,
}

struct InFlight {
    ends: Millis,
    started: Millis,
    entry: usize,
    endpoint: usize,
    to_candidate: bool,
    route: usize,
    failed: bool,
    timed_out: bool,
    bad: bool,
    /// Number under which the recorder tracks the call, if it does.
    evidence_number: Option<u64>,
}

pub(super) struct RolloutModel {
    case: Case,
    rng: ChaCha8Rng,
    service: ServiceName,
    versions: [VersionName; 2],
    /// The first one is the failing route.
    routes: Vec<RouteName>,
    config: ServiceConfig,
    /// Factor on the latency, by version and endpoint.
    speeds: [[f64; ENDPOINTS]; 2],
    rollouts: Rollouts,
    pacer: Pacer,
    entries: Vec<Entry>,
    split: TrafficSplit,
    next_split: Option<(Millis, TrafficSplit)>,
    in_flight: Vec<InFlight>,
    outcome: Outcome,
}

impl RolloutModel {
    pub(super) fn new(case: &Case, seed: u64) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let service = ServiceName::from("catalogue");
        let versions = ["v1", "v2"].map(VersionName::from);
        let mut config = ServiceConfig::with_defaults(Share::NONE);
        config.rollout.exposure_slack = EXPOSURE_ALLOWANCE.1 as u32;
        let mut rollouts = Rollouts::default();
        rollouts.introduce_version(&service, &config, &versions[0]);
        let entries = (1..=ENTRIES as u64).map(|incarnation| Entry {
            recorder: EvidenceRecorder::new(),
            shares: ShareCounter::new(incarnation),
        });
        Self {
            case: *case,
            speeds: std::array::from_fn(|_| std::array::from_fn(|_| rng.random_range(0.7..1.5))),
            rng,
            versions,
            routes: (0..=case.routes).map(|n| format!("r{n}").into()).collect(),
            config,
            pacer: Pacer::new(1),
            entries: entries.collect(),
            split: rollouts.traffic(&service).unwrap(),
            rollouts,
            service,
            next_split: None,
            in_flight: Vec::new(),
            outcome: Outcome {
                calls: 0,
                exposed: 0,
                bad_answers: Vec::new(),
                last_exposed: Millis(0),
                over_limit_at: None,
                is_over_limit_before_pass: false,
                completed_at: None,
                rolled_back_at: None,
            },
        }
    }

    pub(super) fn run(mut self) -> Outcome {
        for step in 0..END.0 / STEP.0 {
            let now = Millis(step * STEP.0);
            if now == ORDERED_AT {
                let to = &self.versions[1];
                self.rollouts
                    .order(&self.service, &self.config, to, WITHIN, now);
            }
            self.apply_disturbances(now);
            if let Some((_, split)) = self.next_split.take_if(|(at, _)| *at <= now) {
                self.split = split;
            }
            self.start_calls(now);
            self.finish_calls(now);
            self.report(now);
            if now.0.is_multiple_of(TICK_INTERVAL.0) {
                self.tick(now);
            }
        }
        self.outcome
    }

    fn start_calls(&mut self, now: Millis) {
        let (burst, factor) = BURST;
        let mut arrivals = self.case.rate * STEP.0 as f64 / 1_000.0;
        if self.case.disturbed && burst.contains(&now.0) {
            arrivals *= factor;
        }
        while self.rng.random_bool(arrivals.clamp(0.0, 1.0)) {
            arrivals -= 1.0;
            self.start_call(now);
        }
        let outcome = &mut self.outcome;
        let (divisor, extra) = EXPOSURE_ALLOWANCE;
        let is_over_limit = outcome.exposed > outcome.calls / divisor + extra;
        if is_over_limit && outcome.completed_at.is_none() {
            outcome.over_limit_at.get_or_insert(now);
        }
        let rollout = self.rollouts.get(1);
        let has_passed = rollout.is_some_and(|rollout| rollout.passed.is_some());
        outcome.is_over_limit_before_pass |= is_over_limit && !has_passed;
    }

    fn apply_disturbances(&mut self, now: Millis) {
        if self.case.new_leader == Some(now) {
            self.pacer = Pacer::new(2);
        }
        if !self.case.disturbed || now != self.case.restart {
            return;
        }
        for index in (0..ENTRIES).step_by(2) {
            self.entries[index] = Entry {
                recorder: EvidenceRecorder::new(),
                shares: ShareCounter::new(self.incarnation(index, now)),
            };
            // The callers of a restarted daemon lose their calls.
            self.in_flight.retain(|call| call.entry != index);
        }
    }

    /// Returns the incarnation of a daemon, which changes when it restarts.
    fn incarnation(&self, entry: usize, now: Millis) -> u64 {
        let restarted = self.case.disturbed && now >= self.case.restart && entry.is_multiple_of(2);
        (entry + 1 + if restarted { ENTRIES } else { 0 }) as u64
    }

    fn start_call(&mut self, now: Millis) {
        let case = self.case;
        let entry = self.rng.random_range(0..ENTRIES);
        let shares = &mut self.entries[entry].shares;
        shares.set_endpoints(ENDPOINTS);
        let to_candidate = shares.pick(now, &self.split, Attempt::First) == self.versions[1];
        let active = shares.active_endpoints(now).filter(|_| to_candidate);
        let mut endpoint = self.rng.random_range(0..ENDPOINTS);
        while active.is_some_and(|active| !active.contains(endpoint)) {
            endpoint = self.rng.random_range(0..ENDPOINTS);
        }
        let share = self.split.candidate.as_ref().map(|c| c.share);
        let at_endpoint = |call: &&InFlight| call.to_candidate && call.endpoint == endpoint;
        let running = self.in_flight.iter().filter(at_endpoint).count();
        let is_loaded =
            share.is_none_or(|share| share >= case.bad_from) && running >= case.bad_load;
        let bad = to_candidate && is_loaded && self.rng.random_bool(case.bad);
        let route = match case.failing_route && self.rng.random_bool(0.02) {
            true => 0,
            false => self.rng.random_range(1..=case.routes),
        };
        // The product of uniform variables has a tail similar to that of service times.
        let factors = (0..case.variables).map(|_| self.rng.random_range(0.6..1.7));
        let spread = factors.product::<f64>() / MEAN_FACTOR.powi(case.variables as i32);
        let mut latency = SERVICE_MS * spread * self.speeds[usize::from(to_candidate)][endpoint];
        let slow = match to_candidate {
            true => case.slow_candidates,
            false => case.slow_upstreams,
        };
        if endpoint < slow && SLOW_PERIOD.contains(&now.0) {
            latency *= 5.0;
        }
        if bad && case.factor > 0.0 {
            latency *= case.factor;
        }
        let latency = Millis(latency as u64).min(case.wait);
        let fails = (bad && case.factor == 0.0) || route == 0 || self.rng.random_bool(0.005);
        let started = StartedCall {
            route: &self.routes[route],
            version: &self.versions[usize::from(to_candidate)],
            endpoint,
        };
        let rule = &self.config.rollout;
        let recorder = &mut self.entries[entry].recorder;
        let evidence_number = recorder.started(now, &self.split, rule, &started);
        let outcome = &mut self.outcome;
        if now >= ORDERED_AT && now < ORDERED_AT.after(WITHIN) {
            outcome.calls += 1;
            outcome.exposed += u64::from(to_candidate);
        }
        if to_candidate {
            outcome.last_exposed = now;
        }
        self.in_flight.push(InFlight {
            ends: now.after(latency),
            started: now,
            entry,
            endpoint,
            to_candidate,
            route,
            failed: fails,
            timed_out: latency == case.wait,
            bad,
            evidence_number,
        });
    }

    fn finish_calls(&mut self, now: Millis) {
        for call in self.in_flight.extract_if(.., |call| call.ends <= now) {
            if call.bad {
                self.outcome.bad_answers.push(now);
            }
            let finished = FinishedCall {
                route: &self.routes[call.route],
                version: &self.versions[usize::from(call.to_candidate)],
                endpoint: call.endpoint,
                outcome: match (call.failed, call.timed_out) {
                    (_, true) => CallOutcome::TimedOut,
                    (true, false) => CallOutcome::Failed,
                    (false, false) => CallOutcome::Succeeded,
                },
                latency_us: now.since(call.started).0 * 1_000,
            };
            let entry = &mut self.entries[call.entry];
            match (call.evidence_number, call.timed_out) {
                (Some(number), true) => entry.recorder.abandoned(now, number),
                (Some(number), false) => entry.recorder.ended(number),
                (None, _) => {}
            }
            entry.shares.answered();
            let rule = &self.config.rollout;
            if let Some(rollout) = entry.recorder.record(now, &self.split, rule, &finished) {
                entry.shares.stop(rollout);
            }
        }
    }

    /// Delivers the reports of the daemons one after the other, spread over the report interval.
    fn report(&mut self, now: Millis) {
        let interval = report_interval(&self.split).0;
        let between = interval / ENTRIES as u64 / STEP.0 * STEP.0;
        for index in 0..ENTRIES {
            if now.0 % interval != index as u64 * between {
                continue;
            }
            let entry = &mut self.entries[index];
            let shares = entry.shares.report(now);
            let rollouts = entry.recorder.report(now, shares);
            if self.case.disturbed
                && LOST_REPORTS_PERIOD.contains(&now.0)
                && index.is_multiple_of(3)
            {
                continue;
            }
            let report = EvidenceReport {
                incarnation: self.incarnation(index, now),
                rollouts: rollouts.into_iter().collect(),
            };
            let daemon = format!("d{index}").into();
            self.pacer.report(now, &daemon, &report);
        }
        for (daemon, grant) in self.pacer.grants(now) {
            let index: usize = daemon.as_str()[1..].parse().unwrap();
            self.entries[index].shares.grant(now, &grant);
        }
    }

    fn tick(&mut self, now: Millis) {
        // The endpoints of the candidate are started by the order.
        let stable = &self.versions[0];
        let capacity = |_: &ServiceName, version: &VersionName| match version == stable
            || now >= ORDERED_AT.after(STARTUP_DELAY)
        {
            true => AMPLE_CAPACITY,
            false => Capacity::default(),
        };
        for command in self.pacer.tick(now, &self.rollouts, capacity) {
            self.rollouts.apply(&command).unwrap();
            let split = self.rollouts.traffic(&self.service).unwrap();
            self.next_split = Some((now.after(ENFORCEMENT_DELAY), split));
        }
        let Some(rollout) = self.rollouts.get(1) else {
            return;
        };
        match rollout.phase {
            RolloutPhase::Done => self.outcome.completed_at = rollout.ended,
            RolloutPhase::TakenBack => self.outcome.rolled_back_at = rollout.ended,
            RolloutPhase::Planned
            | RolloutPhase::Moving
            | RolloutPhase::Testing
            | RolloutPhase::Watching => {}
        }
    }
}

//! A reduced mesh: real routers and admission, with hosts, callers and time reduced to what the
//! load patterns need.

use std::collections::BTreeMap;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use sycamoreflow_coordination::admission::{
    Admission, AdmissionConfig, CallId, Decision, Released, UpstreamResult, Urgency,
};
use sycamoreflow_coordination::pace::Pace;
use sycamoreflow_coordination::routing::{LatencyObjective, Load, Router, RouterConfig};
use sycamoreflow_state::endpoint::Endpoint;
use sycamoreflow_state::ids::{DaemonId, Micros, Millis, RouteName};

pub(crate) const HOSTS: usize = 12;
pub(crate) const SLOTS: usize = 6;
const ENTRIES: usize = 6;
/// Further sends of a request by its daemon after refusals.
const REFUSALS: usize = 4;
/// Further sends of a request by its caller.
const REPEATS: u32 = 2;
pub(crate) const DEADLINE: u64 = 4_000;

/// A route with times in milliseconds and its share of the load.
#[derive(Clone, Copy)]
pub(crate) struct Kind {
    pub(crate) route: &'static str,
    pub(crate) tenant: &'static str,
    pub(crate) priority: u32,
    pub(crate) service: u64,
    pub(crate) target: u64,
    pub(crate) share: f64,
}

pub(crate) const URGENT: Kind = Kind {
    route: "book-bay",
    tenant: "yards",
    priority: 0,
    service: 130,
    target: 500,
    share: 0.3,
};
pub(crate) const USUAL: Kind = Kind {
    route: "query-slots",
    tenant: "hauliers",
    priority: 2,
    service: 190,
    target: 600,
    share: 0.7,
};

struct Request {
    kind: usize,
    entry: usize,
    arrived: u64,
    sent: u64,
    repeats: u32,
    tried: Vec<DaemonId>,
}

struct Host {
    admission: Admission,
    /// End, identifier and whether the upstream refuses to run it, by running call.
    running: Vec<(u64, CallId, bool)>,
    appears: u64,
}

/// What a pattern sets, all as functions of the time in milliseconds.
pub(crate) struct Pattern {
    pub(crate) kinds: Vec<Kind>,
    /// Load by kind, relative to the capacity of all hosts.
    pub(crate) load: fn(u64, &Kind) -> f64,
    /// Pace in percent by host.
    pub(crate) pace: fn(u64, usize) -> u32,
    pub(crate) reports_pace: bool,
    /// Share of calls that the upstreams refuse to run.
    pub(crate) sheds: f64,
    /// When each host appears.
    pub(crate) appears: fn(usize) -> u64,
    /// Whether callers return at once instead of when they are told.
    pub(crate) hasty: bool,
    pub(crate) seconds: u64,
}

impl Default for Pattern {
    fn default() -> Self {
        Self {
            kinds: vec![URGENT, USUAL],
            load: |_, kind| 0.7 * kind.share,
            pace: |_, _| 100,
            reports_pace: true,
            sheds: 0.0,
            appears: |_| 0,
            hasty: false,
            seconds: 20,
        }
    }
}

/// Requests by kind and second of their arrival.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Count {
    pub(crate) asked: f64,
    pub(crate) in_time: f64,
    pub(crate) served: f64,
}

pub(crate) struct Mesh {
    pattern: Pattern,
    rng: ChaCha8Rng,
    hosts: Vec<Host>,
    entries: Vec<Router>,
    requests: Vec<Request>,
    returning: BTreeMap<(u64, usize), ()>,
    counts: BTreeMap<(usize, u64), Count>,
    /// Milliseconds of work answered before the deadline, by second of the answer.
    pub(crate) answered: BTreeMap<u64, f64>,
}

pub(crate) fn run(pattern: Pattern) -> Mesh {
    let name = |index: usize| DaemonId::from(format!("h{index:02}"));
    let endpoints: Vec<Endpoint> = (0..HOSTS)
        .map(|index| Endpoint {
            daemon: name(index),
            service: "yard".into(),
            version: "v1".into(),
            data_centre: "a".into(),
            address: "127.0.0.1:1".parse().unwrap(),
            slots: SLOTS as u32,
            draining: false,
            drained_by_operator: false,
        })
        .collect();
    let hosts = (0..HOSTS).map(|index| Host {
        admission: Admission::new(AdmissionConfig {
            adaptive_limit: false,
            ..AdmissionConfig::new(SLOTS as u32)
        }),
        running: Vec::new(),
        appears: (pattern.appears)(index),
    });
    let entries = (0..ENTRIES).map(|index| {
        Router::new(RouterConfig {
            daemon: format!("e{index}").into(),
            data_centre: "a".into(),
            remote_latency: Micros(1_000),
            seed: index as u64,
        })
    });
    let mut mesh = Mesh {
        rng: ChaCha8Rng::seed_from_u64(11),
        hosts: hosts.collect(),
        entries: entries.collect(),
        requests: Vec::new(),
        returning: BTreeMap::new(),
        counts: BTreeMap::new(),
        answered: BTreeMap::new(),
        pattern,
    };
    for now in 1..(mesh.pattern.seconds + DEADLINE / 1_000) * 1_000 {
        let known = endpoints.iter().zip(&mesh.hosts);
        let known: Vec<_> = known
            .filter(|(_, h)| h.appears <= now)
            .map(|(e, _)| e.clone())
            .collect();
        if mesh.hosts.iter().any(|h| h.appears == now) || now == 1 {
            for router in &mut mesh.entries {
                router.set_endpoints(Millis(now), &known);
            }
        }
        mesh.step(now);
    }
    mesh
}

impl Mesh {
    fn step(&mut self, now: u64) {
        for host in 0..HOSTS {
            let ended = self.hosts[host]
                .running
                .extract_if(.., |(end, ..)| *end <= now);
            for (_, id, shed) in ended.collect::<Vec<_>>() {
                self.end(now, host, id, shed);
            }
            if now.is_multiple_of(25) {
                let released = self.hosts[host].admission.tick(Millis(now));
                self.release(now, host, released);
            }
        }
        while let Some((&(at, number), ())) = self.returning.first_key_value()
            && at <= now
        {
            self.returning.pop_first();
            self.send(now, number);
        }
        for kind in 0..self.pattern.kinds.len() {
            let spec = self.pattern.kinds[kind];
            let load = (self.pattern.load)(now, &spec);
            let rate = load * (HOSTS * SLOTS) as f64 / spec.service as f64;
            if now > self.pattern.seconds * 1_000 || !self.rng.random_bool(rate.min(1.0)) {
                continue;
            }
            self.counts.entry((kind, now / 1_000)).or_default().asked += 1.0;
            self.requests.push(Request {
                kind,
                entry: self.rng.random_range(0..ENTRIES),
                arrived: now,
                sent: now,
                repeats: 0,
                tried: Vec::new(),
            });
            self.send(now, self.requests.len() - 1);
        }
    }

    /// Offers a request to one endpoint after the other until it starts or waits.
    fn send(&mut self, now: u64, number: usize) {
        if self.requests[number].tried.is_empty() {
            self.requests[number].sent = now;
        }
        let request = &self.requests[number];
        let kind = self.pattern.kinds[request.kind];
        let due = request.sent + kind.target;
        let deadline = request.arrived + DEADLINE;
        let objective = LatencyObjective {
            route: kind.route.into(),
            target: Micros::from(Millis(due.saturating_sub(now))),
            late_value: 0.3,
            remote_cost: 0.0,
        };
        let router = &mut self.entries[request.entry];
        let tried = &request.tried;
        let chosen = router.choose_for(Millis(now), &"v1".into(), tried, &objective);
        let Some(chosen) = chosen.filter(|_| tried.len() <= REFUSALS && now < deadline) else {
            return self.refuse(now, number);
        };
        let host: usize = chosen.as_str()[1..].parse().unwrap();
        self.requests[number].tried.push(chosen);
        let urgency = Urgency {
            route: &kind.route.into(),
            priority: kind.priority,
            due: Millis(due),
            expected: Micros(kind.service * 1_000),
            late_value: 0.3,
        };
        let id = CallId(number as u64);
        let admission = &mut self.hosts[host].admission;
        let decision = admission.offer_urgent(
            Millis(now),
            id,
            &kind.tenant.into(),
            Millis(deadline),
            urgency,
        );
        let displaced = admission.take_displaced();
        match decision {
            Decision::Start => self.start(now, host, id),
            Decision::Queued => {}
            Decision::Refused(_) => self.refused(now, host, number),
        }
        self.release(now, host, displaced);
    }

    fn refused(&mut self, now: u64, host: usize, number: usize) {
        self.observe(now, host, number);
        self.send(now, number);
    }

    /// Tells the caller that its request has not run. It returns if it has time.
    fn refuse(&mut self, now: u64, number: usize) {
        let request = &mut self.requests[number];
        let wait = self.entries[request.entry].retry_after(Millis(now), true).0;
        let left = (request.arrived + DEADLINE).saturating_sub(now);
        let wait = if self.pattern.hasty {
            5
        } else {
            wait.min(left / 3)
        };
        request.tried.clear();
        request.repeats += 1;
        if request.repeats <= REPEATS && left > 0 {
            self.returning.insert((now + wait.max(1), number), ());
        }
    }

    fn start(&mut self, now: u64, host: usize, id: CallId) {
        let request = &self.requests[id.0 as usize];
        let usual = self.pattern.kinds[request.kind].service as f64;
        let variation = self.rng.random_range(0.6..1.4);
        let pace = f64::from((self.pattern.pace)(now, host)) / 100.0;
        let duration = (usual * variation * pace) as u64;
        let shed = self.rng.random_bool(self.pattern.sheds);
        let end = if shed { now + 1 } else { now + duration };
        self.hosts[host].running.push((end, id, shed));
    }

    fn end(&mut self, now: u64, host: usize, id: CallId, shed: bool) {
        let number = id.0 as usize;
        let pace = Pace::from_percent((self.pattern.pace)(now, host));
        let admission = &mut self.hosts[host].admission;
        if self.pattern.reports_pace {
            admission.observe_pace(Millis(now), pace);
        }
        let result = match shed {
            true => UpstreamResult::Shed,
            false => UpstreamResult::Answered(Micros::from(Millis(100))),
        };
        let released = admission.finish(Millis(now), id, result);
        self.release(now, host, released);
        if shed {
            return self.refused(now, host, number);
        }
        self.observe(now, host, number);
        let request = &self.requests[number];
        let kind = self.pattern.kinds[request.kind];
        if now <= request.arrived + DEADLINE {
            *self.answered.entry(now / 1_000).or_default() += kind.service as f64;
        }
        let target = kind.target;
        let count = self
            .counts
            .entry((request.kind, request.arrived / 1_000))
            .or_default();
        count.served += f64::from(u8::from(now <= request.arrived + DEADLINE));
        count.in_time += f64::from(u8::from(now <= request.arrived + target));
    }

    fn release(&mut self, now: u64, host: usize, released: Vec<Released>) {
        for release in released {
            match release {
                Released::Start(id) => self.start(now, host, id),
                Released::Refused(id, _) => self.refused(now, host, id.0 as usize),
            }
        }
    }

    /// Tells the entry daemon of a request the load of a host.
    fn observe(&mut self, now: u64, host: usize, number: usize) {
        let request = &self.requests[number];
        let kind = self.pattern.kinds[request.kind];
        let admission = &self.hosts[host].admission;
        let load = Load {
            running: admission.running() as u32,
            queued: admission.queued() as u32,
            limit: admission.limit() as u32,
            mean: admission.recent_latency(),
            route: Micros(kind.service * 1_000),
            waited: Micros(0),
            pace: admission.pace().latest(Millis(now)),
            closed_for: Millis(0),
        };
        let id = request.tried.last().unwrap();
        let route = RouteName::from(kind.route);
        self.entries[request.entry].observe_load(Millis(now), id, load, &route);
    }

    /// Returns the counts of a kind over some seconds.
    pub(crate) fn sum(&self, kind: usize, seconds: std::ops::Range<u64>) -> Count {
        let mut sum = Count::default();
        for second in seconds {
            let count = self
                .counts
                .get(&(kind, second))
                .copied()
                .unwrap_or_default();
            sum.asked += count.asked;
            sum.in_time += count.in_time;
            sum.served += count.served;
        }
        sum
    }

    /// Returns the ratio of the served requests of each kind.
    pub(crate) fn served(&self, seconds: std::ops::Range<u64>) -> Vec<f64> {
        let kinds = 0..self.pattern.kinds.len();
        let counts = kinds.map(|kind| self.sum(kind, seconds.clone()));
        counts
            .map(|count| count.served / count.asked.max(1.0))
            .collect()
    }

    /// Returns the ratio of all requests that are answered within their targets, by second.
    pub(crate) fn in_time(&self, second: u64) -> f64 {
        let kinds = 0..self.pattern.kinds.len();
        let counts: Vec<_> = kinds
            .map(|kind| self.sum(kind, second..second + 1))
            .collect();
        let asked: f64 = counts.iter().map(|count| count.asked).sum();
        counts.iter().map(|count| count.in_time).sum::<f64>() / asked.max(1.0)
    }
}

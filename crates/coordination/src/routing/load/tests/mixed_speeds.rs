//! Simulates many entry daemons and endpoints of which a few are twice as fast as the others.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use sycamoreflow_state::ids::{Micros, Millis, RouteName};

use super::{endpoint, objective};
use crate::routing::{CallResult, Load, Outcome, Router, RouterConfig};

const ENTRIES: usize = 22;
/// Factor on the mean service time, by endpoint.
const SERVICE_TIME_FACTORS: [f64; 8] = [0.55, 1.2, 1.2, 1.2, 0.55, 1.2, 1.2, 1.2];
/// Number of endpoints in another data centre, which serve their own callers.
const REMOTE: usize = 8;
const SLOTS: usize = 9;
const MEAN_MS: f64 = 150.0;
/// Calls per second. The capacity of all local endpoints together is about 530.
const RATE: f64 = 300.0;
const SECONDS: u64 = 30;
const TARGET: Millis = Millis(400);

/// A call that is running or queued at an endpoint.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Call {
    arrived: Millis,
    entry: usize,
}

struct Server {
    name: String,
    service_time_factor: f64,
    running: usize,
    queue: VecDeque<Call>,
    mean_us: f64,
    calls: u64,
}

struct Mesh {
    rng: ChaCha8Rng,
    entries: Vec<Router>,
    servers: Vec<Server>,
    /// Completion times of running calls, with the index of the server and the call.
    completions: BinaryHeap<Reverse<(Millis, usize, Call)>>,
    late: u64,
    /// Number of calls that were sent to the other data centre.
    remote: u64,
}

impl Mesh {
    fn new(seed: u64) -> Self {
        let servers: Vec<Server> = SERVICE_TIME_FACTORS
            .iter()
            .enumerate()
            .map(|(index, service_time_factor)| Server {
                name: format!("s{index}"),
                service_time_factor: *service_time_factor,
                running: 0,
                queue: VecDeque::new(),
                mean_us: MEAN_MS * 1_000.0,
                calls: 0,
            })
            .collect();
        let local = servers.iter().map(|s| endpoint(&s.name, "a"));
        let remote = (0..REMOTE).map(|index| endpoint(&format!("r{index}"), "b"));
        let endpoints: Vec<_> = local.chain(remote).collect();
        let entries = (0..ENTRIES).map(|index| {
            let mut router = Router::new(RouterConfig {
                daemon: format!("entry{index}").into(),
                data_centre: "a".into(),
                remote_latency: Micros(1_000),
                seed: seed * 100 + index as u64,
            });
            router.set_endpoints(Millis(0), &endpoints);
            router
        });
        Self {
            rng: ChaCha8Rng::seed_from_u64(seed),
            entries: entries.collect(),
            servers,
            completions: BinaryHeap::new(),
            late: 0,
            remote: 0,
        }
    }

    fn send(&mut self, now: Millis) {
        let entry = self.rng.random_range(0..ENTRIES);
        let router = &mut self.entries[entry];
        let chosen = router
            .choose_for(now, &"v1".into(), &[], &objective(0.06))
            .unwrap();
        router.started(now, &chosen);
        let index = self
            .servers
            .iter()
            .position(|s| *s.name == *chosen.as_str());
        let Some(index) = index else {
            self.remote += 1;
            return;
        };
        let call = Call {
            arrived: now,
            entry,
        };
        self.servers[index].calls += 1;
        if self.servers[index].running < SLOTS {
            self.start_call(now, index, call);
        } else {
            self.servers[index].queue.push_back(call);
        }
    }

    fn start_call(&mut self, now: Millis, index: usize, call: Call) {
        let server = &mut self.servers[index];
        server.running += 1;
        // The sum of uniform variables is approximately normal, so that the service time is
        // log-normal and varies by a factor of about two.
        let log_factor: f64 = (0..6).map(|_| self.rng.random_range(-0.5..0.5_f64)).sum();
        let duration = MEAN_MS * server.service_time_factor * (0.8 * log_factor).exp() * 0.8;
        let end = now.after(Millis(duration.max(1.0) as u64));
        self.completions.push(Reverse((end, index, call)));
    }

    fn finish(&mut self, now: Millis, index: usize, call: Call) {
        let duration = now.since(call.arrived);
        let server = &mut self.servers[index];
        server.running -= 1;
        server.mean_us += (Micros::from(duration).0 as f64 - server.mean_us) * 0.1;
        self.late += u64::from(duration > TARGET);
        let name = server.name.as_str().into();
        let load = Load {
            running: server.running as u32,
            queued: server.queue.len() as u32,
            limit: SLOTS as u32,
            mean: Micros(server.mean_us as u64),
            route: Micros(server.mean_us as u64),
            waited: Micros(0),
            pace: None,
            closed_for: Millis(0),
        };
        let route = RouteName::from("stock-check");
        let router = &mut self.entries[call.entry];
        router.observe_load(now, &name, load, &route);
        let outcome = Outcome {
            latency: Micros::from(duration),
            result: CallResult::Success,
        };
        router.finished(now, &name, outcome);
        if let Some(next) = self.servers[index].queue.pop_front() {
            self.start_call(now, index, next);
        }
    }

    fn simulate(&mut self) {
        for now in (0..SECONDS * 1_000).map(Millis) {
            while let Some(Reverse((end, index, call))) = self.completions.peek().copied()
                && end <= now
            {
                self.completions.pop();
                self.finish(now, index, call);
            }
            if self.rng.random_bool(RATE / 1_000.0) {
                self.send(now);
            }
        }
    }
}

/// Guards against fast endpoints that stay idle because few entry daemons compare them with others.
/// Two of the eight local endpoints are fast and have 42% of the capacity.
#[test]
fn choose_for_prefers_fast_endpoints() {
    for seed in 0..5 {
        let mut mesh = Mesh::new(seed);
        mesh.simulate();
        let local: u64 = mesh.servers.iter().map(|server| server.calls).sum();
        let all = local + mesh.remote;
        let fast = mesh
            .servers
            .iter()
            .filter(|server| server.service_time_factor < 1.0);
        let fast: u64 = fast.map(|server| server.calls).sum();
        let share = fast as f64 / all as f64;
        let (late, remote) = (mesh.late, mesh.remote);
        println!("seed {seed}: {share:.2} of {all} calls, {late} late, {remote} remote");
        assert!(share >= 0.4, "{share:.2}");
    }
}

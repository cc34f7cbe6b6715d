//! The event loop on the virtual clock.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};

use rand::{Rng, RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use sycamoreflow_coordination::admission::{CallId, Decision, Released, UpstreamResult};
use sycamoreflow_coordination::ejection::{Change, Ejector};
use sycamoreflow_coordination::fingerprint::Fingerprint;
use sycamoreflow_coordination::retry::{Attempts, BudgetConfig, Next, RetryBudget};
use sycamoreflow_coordination::routing::{CallResult, Outcome, Tuning};
use sycamoreflow_coordination::suspect::{Standing, SuspectReport, Suspects};
use sycamoreflow_state::config::Share;
use sycamoreflow_state::endpoint::Endpoint;
use sycamoreflow_state::ids::{DaemonId, Micros, Millis, TenantName};
use sycamoreflow_state::verdict::{Failure, Reason, Verdict};

use crate::policy::{Kind, Policy};
use crate::scenario::{DURATION, Mesh, SERVICE_TIME, Scenario};
use crate::stats::{Row, Stats};
use crate::upstream::Upstream;

const DEADLINE: u64 = 250_000;
/// One-way latency inside a data centre.
const LOCAL: u64 = 50;
const REPORT_INTERVAL: u64 = 1_000_000;
/// Time from the sampling of a load report to its arrival.
const REPORT_LAG: u64 = 200_000;
const ENTRY_TICK: u64 = 100_000;
const OWNER_TICK: u64 = 5_000;
/// Time until a silent link is noticed.
const LINK_TIMEOUT: u64 = 2_000_000;
/// Time from a drain to its mark at all entry daemons.
const DRAIN_MARK: u64 = 500_000;
const RESTART_TIME: u64 = 1_000_000;
const CRASH_RESTART_TIME: u64 = 3_000_000;
/// Time until all daemons know of a crash, which is reported at once.
const CRASH_REPORT: u64 = 50_000;
const CRASH_RESEND: u64 = 200_000;
const EVENTS_AT: u64 = DURATION.0 / 3;

#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrival { tenant: usize },
    Crasher,
    AtOwner { call: usize },
    Done { call: usize, boot: u64 },
    AtEntry { call: usize, result: Ended },
    Deadline { request: usize },
    OwnerTick { owner: usize },
    EntryTick,
    SuspectReports,
    Reports,
    ReportsArrive { reports: Vec<u32> },
    Incident,
    LinkDown { owner: usize },
    Drain { owner: usize },
    Stop { owner: usize },
    Start { owner: usize },
    View,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Ended {
    Answered,
    Draining,
    Failed { not_run: bool, crash: bool },
}

struct Request {
    entry: usize,
    tenant: usize,
    crashing: bool,
    fingerprint: Option<Fingerprint>,
    arrived: u64,
    attempts: Attempts,
    /// The call in flight.
    current: Option<usize>,
    done: bool,
}

#[derive(Clone, Copy)]
struct Call {
    request: usize,
    owner: usize,
    sent: u64,
    run_for: u64,
}

struct Entry {
    policy: Policy,
    ejector: Ejector,
    budget: RetryBudget,
    suspects: Suspects,
}

pub(crate) struct Sim<'a> {
    scenario: &'a Scenario,
    mesh: &'a Mesh,
    kind: Kind,
    rng: ChaCha8Rng,
    now: u64,
    order: u64,
    events: BinaryHeap<Reverse<(u64, u64, Event)>>,
    entries: Vec<Entry>,
    owners: Vec<Upstream>,
    view: Vec<Endpoint>,
    owner_index: BTreeMap<DaemonId, usize>,
    requests: Vec<Request>,
    calls: Vec<Call>,
    tenants: [TenantName; 2],
    stats: Stats,
}

impl<'a> Sim<'a> {
    pub(crate) fn new(
        scenario: &'a Scenario,
        mesh: &'a Mesh,
        kind: Kind,
        tuning: &Tuning,
        seed: u64,
    ) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let entries = (0..mesh.entries).map(|index| {
            let id: DaemonId = format!("d{index:04}").into();
            let centre = data_centre(index).into();
            Entry {
                policy: Policy::new(kind, tuning, id.clone(), centre, mesh.hop, rng.next_u64()),
                ejector: Ejector::new(Share::percent(50)).with_seed(rng.next_u64()),
                budget: RetryBudget::new(BudgetConfig::default()),
                suspects: Suspects::new(id, 1),
            }
        });
        let mut sim = Self {
            scenario,
            mesh,
            kind,
            now: 0,
            order: 0,
            events: BinaryHeap::new(),
            entries: entries.collect(),
            rng,
            owners: Vec::new(),
            view: Vec::new(),
            owner_index: BTreeMap::new(),
            requests: Vec::new(),
            calls: Vec::new(),
            tenants: ["grocers".into(), "exporters".into()],
            stats: Stats::default(),
        };
        for _ in 0..mesh.endpoints {
            sim.add_owner();
        }
        sim.publish();
        sim
    }

    pub(crate) fn run(mut self) -> Row {
        self.schedule_start();
        while let Some(Reverse((time, _, event))) = self.events.pop() {
            self.now = time;
            if time > DURATION.0 + DEADLINE * 2 {
                break;
            }
            self.handle(event);
        }
        let seconds = DURATION.0 as f64 / 1e6;
        self.stats.row(
            self.scenario.name,
            &self.mesh.name,
            self.kind.name(),
            seconds,
        )
    }

    fn schedule_start(&mut self) {
        self.at(0, Event::Arrival { tenant: 0 });
        if self.scenario.burst > 0.0 {
            self.at(EVENTS_AT, Event::Arrival { tenant: 1 });
        }
        if self.scenario.crashing {
            self.at(EVENTS_AT, Event::Crasher);
        }
        self.at(0, Event::Reports);
        self.at(ENTRY_TICK, Event::EntryTick);
        self.at(EVENTS_AT, Event::Incident);
        if self.scenario.restarts {
            let batches = self.mesh.endpoints.min(6) as u64;
            for owner in 0..self.mesh.endpoints {
                let batch = owner as u64 % batches;
                self.at(1_000_000 + batch * 2_000_000, Event::Drain { owner });
            }
        }
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrival { tenant } => self.arrive(tenant),
            Event::Crasher => self.send_crasher(),
            Event::AtOwner { call } => self.offer(call),
            Event::Done { call, boot } => self.done(call, boot),
            Event::AtEntry { call, result } => self.ended(call, result),
            Event::Deadline { request } => self.deadline(request),
            Event::OwnerTick { owner } => self.owner_tick(owner),
            Event::EntryTick => self.entry_tick(),
            Event::SuspectReports => self.exchange_suspects(),
            Event::Reports => self.sample_reports(),
            Event::ReportsArrive { reports } => self.deliver_reports(&reports),
            Event::Incident => self.incident(),
            Event::LinkDown { owner } => self.link_down(owner),
            Event::Drain { owner } => {
                self.owners[owner].admission.drain();
                self.view[owner].draining = true;
                self.after(DRAIN_MARK, Event::View);
                self.after(DRAIN_MARK + 100_000, Event::Stop { owner });
            }
            Event::Stop { owner } => {
                self.owners[owner].down = true;
                self.after(RESTART_TIME, Event::Start { owner });
            }
            Event::Start { owner } => self.start(owner),
            Event::View => self.publish(),
        }
    }

    fn arrive(&mut self, tenant: usize) {
        if self.now >= DURATION.0 {
            return;
        }
        let capacity = self.mesh.endpoints as f64 * f64::from(self.mesh.slots);
        let share = [self.scenario.load, self.scenario.burst][tenant];
        let rate = capacity * share / SERVICE_TIME.0 as f64;
        let gap = -(1.0 - self.rng.random::<f64>()).ln() / rate;
        self.after(gap as u64, Event::Arrival { tenant });
        self.begin(tenant, false);
    }

    fn send_crasher(&mut self) {
        if self.now < DURATION.0 {
            self.after(CRASH_RESEND, Event::Crasher);
            self.begin(0, true);
        }
    }

    fn begin(&mut self, tenant: usize, crashing: bool) {
        let number = self.requests.len();
        let entry = self.rng.random_range(0..self.entries.len());
        let fingerprint = self.scenario.crashing.then(|| {
            let body = if crashing { 0 } else { number + 1 };
            Fingerprint::of(
                &self.tenants[tenant],
                "POST",
                "/orders",
                &body.to_le_bytes(),
            )
        });
        let idempotent = crashing || self.rng.random_bool(0.8);
        let deadline = Millis((self.now + DEADLINE) / 1_000);
        self.requests.push(Request {
            entry,
            tenant,
            crashing,
            fingerprint,
            arrived: self.now,
            attempts: Attempts::new(idempotent, deadline, 3),
            current: None,
            done: false,
        });
        self.stats.requests += u64::from(!crashing);
        self.entries[entry].budget.first_send();
        self.after(DEADLINE, Event::Deadline { request: number });
        self.attempt(number);
    }

    fn attempt(&mut self, number: usize) {
        let now = self.millis();
        let request = &mut self.requests[number];
        let entry = &mut self.entries[request.entry];
        if let Some(fingerprint) = &request.fingerprint
            && self.kind != Kind::WithoutSuspects
            && entry.suspects.standing(now, fingerprint) == Standing::Refused
        {
            let failure = request.attempts.failure(Reason::CrashesUpstreams);
            return self.give_up(number, failure);
        }
        let policy = &mut entry.policy;
        let choice = request.attempts.pick(|avoid| policy.choose(now, avoid));
        let Some(endpoint) = choice else {
            let failure = request.attempts.failure(Reason::NoEndpoint);
            return self.give_up(number, failure);
        };
        policy.started(now, &endpoint);
        let owner = self.owner_index[&endpoint];
        let call = self.calls.len();
        request.current = Some(call);
        self.stats.attempts += u64::from(!request.crashing);
        let entry = request.entry;
        self.calls.push(Call {
            request: number,
            owner,
            sent: self.now,
            run_for: 0,
        });
        self.after(self.latency(entry, owner), Event::AtOwner { call });
    }

    fn offer(&mut self, call: usize) {
        let now = self.millis();
        let Call { request, owner, .. } = self.calls[call];
        let upstream = &mut self.owners[owner];
        if upstream.silent {
            return;
        }
        if upstream.down {
            return self.reply(
                call,
                Ended::Failed {
                    not_run: true,
                    crash: false,
                },
            );
        }
        let tenant = &self.tenants[self.requests[request].tenant];
        let deadline = Millis((self.requests[request].arrived + DEADLINE) / 1_000);
        match upstream
            .admission
            .offer(now, CallId(call as u64), tenant, deadline)
        {
            Decision::Start => self.start_call(call),
            Decision::Queued if upstream.admission.queued() == 1 => {
                self.after(OWNER_TICK, Event::OwnerTick { owner });
            }
            Decision::Queued => {}
            Decision::Refused(failure) if failure.reason == Reason::Draining => {
                self.reply(call, Ended::Draining);
            }
            Decision::Refused(_) => self.reply(
                call,
                Ended::Failed {
                    not_run: true,
                    crash: false,
                },
            ),
        }
    }

    fn start_call(&mut self, call: usize) {
        let now = self.millis();
        let Call { request, owner, .. } = self.calls[call];
        let fingerprint = self.requests[request].fingerprint;
        let upstream = &mut self.owners[owner];
        if upstream.down {
            self.reply(
                call,
                Ended::Failed {
                    not_run: true,
                    crash: false,
                },
            );
            return self.finish(call, UpstreamResult::Abandoned);
        }
        if let Some(fingerprint) = fingerprint
            && self.kind != Kind::WithoutSuspects
            && upstream.suspects.start(now, fingerprint).is_err()
        {
            self.reply(
                call,
                Ended::Failed {
                    not_run: true,
                    crash: false,
                },
            );
            return self.finish(call, UpstreamResult::Abandoned);
        }
        upstream.running.push(call);
        let run_for = upstream.service_time(Micros(self.now), &mut self.rng);
        let boot = upstream.boot;
        self.calls[call].run_for = run_for;
        self.after(run_for, Event::Done { call, boot });
    }

    fn done(&mut self, call: usize, boot: u64) {
        let now = self.millis();
        let Call {
            request,
            owner,
            run_for,
            ..
        } = self.calls[call];
        let upstream = &mut self.owners[owner];
        if upstream.boot != boot || upstream.silent {
            return;
        }
        if self.requests[request].crashing {
            return self.crash(owner);
        }
        upstream.running.retain(|c| *c != call);
        if let Some(fingerprint) = self.requests[request].fingerprint {
            upstream.suspects.finish(now, fingerprint, true);
        }
        self.reply(call, Ended::Answered);
        self.finish(call, UpstreamResult::Answered(Micros(run_for)));
    }

    /// Frees the slot of a call and starts or refuses queued ones.
    fn finish(&mut self, call: usize, result: UpstreamResult) {
        let owner = self.calls[call].owner;
        let now = self.millis();
        let released = self.owners[owner]
            .admission
            .finish(now, CallId(call as u64), result);
        self.release(released);
    }

    fn release(&mut self, released: Vec<Released>) {
        for release in released {
            match release {
                Released::Start(id) => self.start_call(id.0 as usize),
                Released::Refused(id, _) => {
                    let ended = Ended::Failed {
                        not_run: true,
                        crash: false,
                    };
                    self.reply(id.0 as usize, ended);
                }
            }
        }
    }

    fn crash(&mut self, owner: usize) {
        let now = self.millis();
        self.stats.crashes += 1;
        let upstream = &mut self.owners[owner];
        upstream.boot += 1;
        upstream.down = true;
        let failures: BTreeMap<Fingerprint, Failure> =
            upstream.suspects.crashed(now).into_iter().collect();
        let lost = std::mem::take(&mut upstream.running);
        for call in lost {
            let fingerprint = self.requests[self.calls[call].request].fingerprint;
            let failure = fingerprint.and_then(|f| failures.get(&f));
            let crash = failure.is_some_and(|f| f.reason == Reason::CrashesUpstreams);
            self.reply(
                call,
                Ended::Failed {
                    not_run: false,
                    crash,
                },
            );
            self.finish(call, UpstreamResult::Failed);
        }
        self.after(CRASH_REPORT, Event::SuspectReports);
        self.after(CRASH_RESTART_TIME, Event::Start { owner });
    }

    fn start(&mut self, owner: usize) {
        let upstream = &mut self.owners[owner];
        upstream.down = false;
        upstream.started = Some(Micros(self.now));
        upstream.admission.resume();
        self.view[owner].draining = false;
        self.after(DRAIN_MARK, Event::View);
    }

    fn reply(&mut self, call: usize, result: Ended) {
        let Call { request, owner, .. } = self.calls[call];
        let latency = self.latency(self.requests[request].entry, owner);
        self.after(latency, Event::AtEntry { call, result });
    }

    fn ended(&mut self, call: usize, result: Ended) {
        let Call {
            request: number,
            owner,
            sent,
            ..
        } = self.calls[call];
        if self.requests[number].current != Some(call) {
            return;
        }
        self.requests[number].current = None;
        let seen = match result {
            Ended::Answered => CallResult::Success,
            Ended::Draining => CallResult::Draining,
            Ended::Failed { not_run: true, .. } => CallResult::Refused,
            Ended::Failed { .. } => CallResult::Failure,
        };
        self.learn(number, owner, sent, seen);
        let failure = match result {
            Ended::Answered => return self.succeed(number),
            Ended::Draining => Failure::not_run(Reason::Draining),
            Ended::Failed { not_run: true, .. } => Failure::not_run(Reason::Overloaded),
            Ended::Failed { crash: true, .. } => Failure::may_have_run(Reason::CrashesUpstreams),
            Ended::Failed { .. } => Failure::may_have_run(Reason::ConnectionLost),
        };
        let now = self.millis();
        let request = &mut self.requests[number];
        let budget = &mut self.entries[request.entry].budget;
        match request.attempts.failed(now, failure, budget) {
            Next::Retry => self.attempt(number),
            Next::GiveUp(failure) => self.give_up(number, failure),
        }
    }

    fn learn(&mut self, number: usize, owner: usize, sent: u64, result: CallResult) {
        let now = self.millis();
        let entry = &mut self.entries[self.requests[number].entry];
        let outcome = Outcome {
            latency: Micros(self.now - sent),
            result,
        };
        let id = &self.view[owner].daemon;
        entry.policy.finished(now, id, outcome);
        let changes = entry.ejector.observe(now, id, outcome);
        entry.follow(changes);
    }

    fn succeed(&mut self, number: usize) {
        let request = &mut self.requests[number];
        request.done = true;
        self.stats.succeeded[request.tenant] += 1;
        self.stats.latencies.push(self.now - request.arrived);
    }

    fn give_up(&mut self, number: usize, failure: Failure) {
        let request = &mut self.requests[number];
        request.done = true;
        if request.crashing {
            return;
        }
        if failure.verdict == Verdict::NotRun {
            self.stats.not_run += 1;
        } else {
            self.stats.may_have_run += 1;
        }
    }

    fn deadline(&mut self, number: usize) {
        if self.requests[number].done {
            return;
        }
        if let Some(call) = self.requests[number].current.take() {
            let Call { owner, sent, .. } = self.calls[call];
            self.owners[owner].admission.cancel(CallId(call as u64));
            self.learn(number, owner, sent, CallResult::Failure);
        }
        self.give_up(number, Failure::may_have_run(Reason::DeadlineExceeded));
    }

    fn owner_tick(&mut self, owner: usize) {
        let now = self.millis();
        let released = self.owners[owner].admission.tick(now);
        self.release(released);
        if self.owners[owner].admission.queued() > 0 {
            self.after(OWNER_TICK, Event::OwnerTick { owner });
        }
    }

    fn entry_tick(&mut self) {
        let now = self.millis();
        for entry in &mut self.entries {
            while let Some(id) = entry.ejector.next_probe(now) {
                let upstream = &self.owners[self.owner_index[&id]];
                let alive = !upstream.silent && !upstream.down;
                let changes = entry.ejector.probed(now, &id, alive);
                entry.follow(changes);
            }
        }
        self.after(ENTRY_TICK, Event::EntryTick);
    }

    fn sample_reports(&mut self) {
        let reports = self.owners.iter().map(Upstream::reported).collect();
        self.after(REPORT_LAG, Event::ReportsArrive { reports });
        self.after(REPORT_INTERVAL, Event::Reports);
        if self.scenario.crashing {
            self.exchange_suspects();
        }
    }

    fn deliver_reports(&mut self, reports: &[u32]) {
        for entry in &mut self.entries {
            for (endpoint, report) in self.view.iter().zip(reports) {
                entry.policy.reported(&endpoint.daemon, *report);
            }
        }
    }

    fn exchange_suspects(&mut self) {
        let now = self.millis();
        let reports = self.owners.iter_mut().map(|o| o.suspects.report(now, 256));
        let reports: Vec<SuspectReport> = reports.collect();
        let owners = self.owners.iter_mut().map(|o| &mut o.suspects);
        let entries = self.entries.iter_mut().map(|e| &mut e.suspects);
        for suspects in owners.chain(entries) {
            reports
                .iter()
                .for_each(|report| suspects.merge(now, report));
        }
    }

    /// The special event of the scenario.
    fn incident(&mut self) {
        self.owners[0].slowness *= self.scenario.first_slows;
        if self.scenario.first_dies {
            self.owners[0].silent = true;
            self.after(LINK_TIMEOUT, Event::LinkDown { owner: 0 });
        }
        if self.scenario.joins {
            for _ in 0..self.mesh.endpoints.div_ceil(3) {
                self.add_owner();
                if let Some(owner) = self.owners.last_mut() {
                    owner.started = Some(Micros(self.now));
                }
            }
            self.publish();
        }
    }

    fn link_down(&mut self, owner: usize) {
        let now = self.millis();
        let id = self.view[owner].daemon.clone();
        for entry in &mut self.entries {
            let changes = entry.ejector.link_down(now, &id);
            entry.follow(changes);
        }
    }

    fn add_owner(&mut self) {
        let index = self.owners.len();
        let daemon: DaemonId = format!("d{index:04}").into();
        let slowness = self.scenario.slowness[index % self.scenario.slowness.len()];
        let misleading = self.scenario.misleading && index.is_multiple_of(3);
        let upstream = Upstream::new(daemon.clone(), self.mesh.slots, slowness, misleading);
        self.owners.push(upstream);
        self.owner_index.insert(daemon.clone(), index);
        self.view.push(Endpoint {
            daemon,
            service: "orders".into(),
            version: "v1".into(),
            data_centre: data_centre(index).into(),
            address: ([127, 0, 0, 1], 9000).into(),
            slots: self.mesh.slots,
            draining: false,
        });
    }

    fn publish(&mut self) {
        let now = self.millis();
        let ids: Vec<DaemonId> = self.view.iter().map(|e| e.daemon.clone()).collect();
        for entry in &mut self.entries {
            entry.policy.set_endpoints(now, &self.view);
            let changes = entry.ejector.set_endpoints(now, &ids);
            entry.follow(changes);
        }
    }

    fn latency(&self, entry: usize, owner: usize) -> u64 {
        if data_centre(entry) == data_centre(owner) {
            return LOCAL;
        }
        self.mesh.hop.0
    }

    fn millis(&self) -> Millis {
        Millis(self.now / 1_000)
    }

    fn after(&mut self, delay: u64, event: Event) {
        self.at(self.now + delay, event);
    }

    fn at(&mut self, time: u64, event: Event) {
        self.order += 1;
        self.events.push(Reverse((time, self.order, event)));
    }
}

impl Entry {
    fn follow(&mut self, changes: Vec<Change>) {
        for change in changes {
            match change {
                Change::Ejected(id) => self.policy.set_available(&id, false),
                Change::Returned(id) => self.policy.set_available(&id, true),
            }
        }
    }
}

fn data_centre(index: usize) -> &'static str {
    ["a", "b", "c"][index % 3]
}

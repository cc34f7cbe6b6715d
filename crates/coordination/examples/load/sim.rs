//! The event loop of the simulation. All times are in microseconds on the virtual clock.

mod calls;

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};

use rand::{Rng, RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use sycamoreflow_coordination::ejection::{EjectionChange, Ejector};
use sycamoreflow_coordination::fingerprint::Fingerprint;
use sycamoreflow_coordination::retry::{Attempts, BudgetConfig, RetryBudget};
use sycamoreflow_coordination::routing::Tuning;
use sycamoreflow_coordination::suspect::{SuspectReport, Suspects};
use sycamoreflow_state::config::Share;
use sycamoreflow_state::endpoint::Endpoint;
use sycamoreflow_state::ids::{DaemonId, Micros, Millis, TenantName};

use crate::policy::{Policy, PolicyKind};
use crate::scenario::{DURATION, Mesh, SERVICE_TIME, Scenario};
use crate::stats::{Row, Stats};
use crate::upstream::Upstream;

const DEADLINE: u64 = 250_000;
/// One-way latency inside a data centre.
const LOCAL_LATENCY: u64 = 50;
const REPORT_INTERVAL: u64 = 1_000_000;
/// Time from the sampling of a load report to its arrival at the entry daemons.
const REPORT_DELAY: u64 = 200_000;
const ENTRY_TICK: u64 = 100_000;
const OWNER_TICK: u64 = 5_000;
/// Time until the entry daemons detect that a link is down.
const LINK_TIMEOUT: u64 = 2_000_000;
/// Time until a change of an endpoint's drain mark reaches all entry daemons.
const DRAIN_MARK_DELAY: u64 = 500_000;
const RESTART_TIME: u64 = 1_000_000;
const CRASH_RESTART_TIME: u64 = 3_000_000;
/// Time until all daemons have received the report of a crash, which is sent immediately.
const CRASH_REPORT_DELAY: u64 = 50_000;
const CRASHING_REQUEST_INTERVAL: u64 = 200_000;
const INCIDENT_TIME: u64 = DURATION.0 / 3;

#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrival { tenant: usize },
    CrashingRequest,
    AtOwner { call: usize },
    Done { call: usize, crash_count: u64 },
    AtEntry { call: usize, result: CallEnd },
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
enum CallEnd {
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
    /// Index of the call in flight.
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
    kind: PolicyKind,
    rng: ChaCha8Rng,
    now: u64,
    sequence: u64,
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
        kind: PolicyKind,
        tuning: &Tuning,
        seed: u64,
    ) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let entries = (0..mesh.entries).map(|index| {
            let id: DaemonId = format!("d{index:04}").into();
            let centre = data_centre(index).into();
            Entry {
                policy: Policy::new(
                    kind,
                    tuning,
                    id.clone(),
                    centre,
                    mesh.remote_latency,
                    rng.next_u64(),
                ),
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
            sequence: 0,
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
        sim.publish_view();
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
        self.schedule_at(0, Event::Arrival { tenant: 0 });
        if self.scenario.burst > 0.0 {
            self.schedule_at(INCIDENT_TIME, Event::Arrival { tenant: 1 });
        }
        if self.scenario.crashing {
            self.schedule_at(INCIDENT_TIME, Event::CrashingRequest);
        }
        self.schedule_at(0, Event::Reports);
        self.schedule_at(ENTRY_TICK, Event::EntryTick);
        self.schedule_at(INCIDENT_TIME, Event::Incident);
        if self.scenario.restarts {
            let batches = self.mesh.endpoints.min(6) as u64;
            for owner in 0..self.mesh.endpoints {
                let batch = owner as u64 % batches;
                self.schedule_at(1_000_000 + batch * 2_000_000, Event::Drain { owner });
            }
        }
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrival { tenant } => self.arrive(tenant),
            Event::CrashingRequest => self.send_crashing_request(),
            Event::AtOwner { call } => self.offer(call),
            Event::Done { call, crash_count } => self.done(call, crash_count),
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
                self.schedule_after(DRAIN_MARK_DELAY, Event::View);
                self.schedule_after(DRAIN_MARK_DELAY + 100_000, Event::Stop { owner });
            }
            Event::Stop { owner } => {
                self.owners[owner].down = true;
                self.schedule_after(RESTART_TIME, Event::Start { owner });
            }
            Event::Start { owner } => self.start(owner),
            Event::View => self.publish_view(),
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
        self.schedule_after(gap as u64, Event::Arrival { tenant });
        self.send_request(tenant, false);
    }

    fn send_crashing_request(&mut self) {
        if self.now < DURATION.0 {
            self.schedule_after(CRASHING_REQUEST_INTERVAL, Event::CrashingRequest);
            self.send_request(0, true);
        }
    }

    fn owner_tick(&mut self, owner: usize) {
        let now = self.millis();
        let released = self.owners[owner].admission.tick(now);
        self.release(released);
        if self.owners[owner].admission.queued() > 0 {
            self.schedule_after(OWNER_TICK, Event::OwnerTick { owner });
        }
    }

    fn entry_tick(&mut self) {
        let now = self.millis();
        for entry in &mut self.entries {
            while let Some(id) = entry.ejector.next_probe(now) {
                let upstream = &self.owners[self.owner_index[&id]];
                let alive = !upstream.unresponsive && !upstream.down;
                let changes = entry.ejector.probed(now, &id, alive);
                entry.apply_ejections(changes);
            }
        }
        self.schedule_after(ENTRY_TICK, Event::EntryTick);
    }

    fn sample_reports(&mut self) {
        let reports = self.owners.iter().map(Upstream::reported).collect();
        self.schedule_after(REPORT_DELAY, Event::ReportsArrive { reports });
        self.schedule_after(REPORT_INTERVAL, Event::Reports);
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

    /// Applies the changes of the scenario that happen after one third of the run.
    fn incident(&mut self) {
        self.owners[0].service_time_factor *= self.scenario.first_service_time_factor;
        if self.scenario.first_unresponsive {
            self.owners[0].unresponsive = true;
            self.schedule_after(LINK_TIMEOUT, Event::LinkDown { owner: 0 });
        }
        if self.scenario.joins {
            for _ in 0..self.mesh.endpoints.div_ceil(3) {
                self.add_owner();
                if let Some(owner) = self.owners.last_mut() {
                    owner.started = Some(Micros(self.now));
                }
            }
            self.publish_view();
        }
    }

    fn link_down(&mut self, owner: usize) {
        let now = self.millis();
        let id = self.view[owner].daemon.clone();
        for entry in &mut self.entries {
            let changes = entry.ejector.link_down(now, &id);
            entry.apply_ejections(changes);
        }
    }

    fn add_owner(&mut self) {
        let index = self.owners.len();
        let daemon: DaemonId = format!("d{index:04}").into();
        let service_time_factor =
            self.scenario.service_time_factors[index % self.scenario.service_time_factors.len()];
        let reports_no_load = self.scenario.reports_no_load && index.is_multiple_of(3);
        let upstream = Upstream::new(
            daemon.clone(),
            self.mesh.slots,
            service_time_factor,
            reports_no_load,
        );
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
            drained_by_operator: false,
        });
    }

    fn publish_view(&mut self) {
        let now = self.millis();
        let ids: Vec<DaemonId> = self.view.iter().map(|e| e.daemon.clone()).collect();
        for entry in &mut self.entries {
            entry.policy.set_endpoints(now, &self.view);
            let changes = entry.ejector.set_endpoints(now, &ids);
            entry.apply_ejections(changes);
        }
    }

    fn latency(&self, entry: usize, owner: usize) -> u64 {
        if data_centre(entry) == data_centre(owner) {
            return LOCAL_LATENCY;
        }
        self.mesh.remote_latency.0
    }

    fn millis(&self) -> Millis {
        Millis(self.now / 1_000)
    }

    fn schedule_after(&mut self, delay: u64, event: Event) {
        self.schedule_at(self.now + delay, event);
    }

    fn schedule_at(&mut self, time: u64, event: Event) {
        self.sequence += 1;
        self.events.push(Reverse((time, self.sequence, event)));
    }
}

impl Entry {
    fn apply_ejections(&mut self, changes: Vec<EjectionChange>) {
        for change in changes {
            match change {
                EjectionChange::Ejected(id) => self.policy.set_available(&id, false),
                EjectionChange::Reinstated(id) => self.policy.set_available(&id, true),
            }
        }
    }
}

fn data_centre(index: usize) -> &'static str {
    ["a", "b", "c"][index % 3]
}

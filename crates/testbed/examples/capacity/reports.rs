//! Costs of the reports of daemons on rollouts, at the leader.

use sycamoreflow_coordination::evidence::recorder::EvidenceRecorder;
use sycamoreflow_coordination::evidence::{CallOutcome, EvidenceReport, FinishedCall};
use sycamoreflow_coordination::pacing::{Capacity, Pacer};
use sycamoreflow_coordination::rollout::{RolloutAction, RolloutCommand, Rollouts};
use sycamoreflow_coordination::shares::ShareReport;
use sycamoreflow_protocol::codec;
use sycamoreflow_protocol::distribution::FromSubscriber;
use sycamoreflow_state::config::{MeshConfig, TrafficSplit};
use sycamoreflow_state::ids::{Millis, RouteName};

use crate::meter::Meter;
use crate::table::{Measure, Table, measure};
use crate::world;

const REPEATS: usize = 5;
const DAEMONS: [usize; 3] = [100, 1_000, 5_000];
const ROUTES: [usize; 3] = [1, 4, 16];
/// Number of calls per route in one report.
const CALLS: u64 = 100;

const REPORT: Measure = measure("processor time of a report", "daemons", "us");
const TICK: Measure = measure("processor time of a tick of the pacer", "daemons", "us");
const REPORT_ROUTES: Measure = measure("processor time of a report by routes", "routes", "us");
const BYTES: Measure = measure("bytes of a report", "routes", "B");

/// Measures reports as the number of daemons and the number of routes grow.
pub(crate) fn reports(table: &mut Table) -> eyre::Result<()> {
    for repeat in 0..REPEATS {
        for daemons in DAEMONS {
            measure_by_daemons(table, daemons)?;
        }
        for routes in ROUTES {
            measure_by_routes(table, routes, repeat)?;
        }
    }
    Ok(())
}

/// Returns rollouts of which one is in its first step, the traffic split of that one, and the
/// configuration.
fn started_rollout() -> eyre::Result<(Rollouts, TrafficSplit, MeshConfig)> {
    let mut config = world::config(1);
    let mut rollouts = Rollouts::default();
    rollouts.approve(&config, Millis(0));
    for service in config.services.values_mut() {
        service.version = "v2".into();
    }
    rollouts.approve(&config, Millis(1_000));
    let number = rollouts.running().next().map(|rollout| rollout.number);
    let Some(rollout) = number else {
        eyre::bail!("no rollout has started");
    };
    let command = RolloutCommand {
        rollout,
        step: 0,
        at: Millis(1_000),
        action: RolloutAction::Advance,
    };
    if rollouts.apply(&command) != Ok(true) {
        eyre::bail!("the rollout did not advance");
    }
    let split = rollouts.traffic(&world::service(0).as_str().into());
    let split = split.ok_or_else(|| eyre::eyre!("the service has no traffic split"))?;
    Ok((rollouts, split, config))
}

fn build_report(
    split: &TrafficSplit,
    config: &MeshConfig,
    routes: usize,
    seed: u64,
) -> eyre::Result<EvidenceReport> {
    let mut recorder = EvidenceRecorder::new();
    let Some((_, service)) = config.services.get_index(0) else {
        eyre::bail!("the configuration has no service");
    };
    for route in 0..routes {
        let route: RouteName = format!("route-{route:02}").into();
        for call in 0..CALLS {
            let to_candidate = call % 10 == 0;
            let candidate = split.candidate.as_ref().map(|c| &c.version);
            let version = candidate.filter(|_| to_candidate).unwrap_or(&split.stable);
            let finished = FinishedCall {
                route: &route,
                version,
                endpoint: call as usize % 16,
                outcome: CallOutcome::Succeeded,
                latency_us: 1_000 + (call * 37 + seed * 11) % 4_000,
            };
            recorder.record(Millis(1_500), split, &service.rollout, &finished);
        }
    }
    let shares = ShareReport {
        term: 1,
        share: split.candidate.as_ref().map_or(0, |c| c.share.0),
        calls: CALLS * routes as u64,
        candidate: CALLS * routes as u64 / 100,
        ..ShareReport::default()
    };
    let rollouts = recorder.report(Millis(2_000), shares).into_iter().collect();
    Ok(EvidenceReport {
        incarnation: seed + 1,
        rollouts,
    })
}

fn capacity() -> Capacity {
    Capacity {
        endpoints: 16,
        slots: 144,
    }
}

fn measure_by_daemons(table: &mut Table, daemons: usize) -> eyre::Result<()> {
    let (rollouts, split, config) = started_rollout()?;
    let mut pacer = Pacer::new(1);
    pacer.tick(Millis(1_250), &rollouts, |_, _| capacity());
    let mut reports = Vec::new();
    for index in 0..daemons {
        reports.push((
            world::daemon(index).into(),
            build_report(&split, &config, 4, index as u64)?,
        ));
    }
    let meter = Meter::thread();
    for (daemon, report) in &reports {
        pacer.report(Millis(2_000), daemon, report);
    }
    table.add(REPORT, daemons as f64, meter.cpu_us() / daemons as f64);
    let meter = Meter::thread();
    pacer.tick(Millis(2_250), &rollouts, |_, _| capacity());
    pacer.grants(Millis(2_250));
    table.add(TICK, daemons as f64, meter.cpu_us());
    Ok(())
}

fn measure_by_routes(table: &mut Table, routes: usize, repeat: usize) -> eyre::Result<()> {
    let (rollouts, split, config) = started_rollout()?;
    let mut pacer = Pacer::new(1);
    pacer.tick(Millis(1_250), &rollouts, |_, _| capacity());
    let report = build_report(&split, &config, routes, repeat as u64)?;
    let bytes = codec::encode(&FromSubscriber::Report(report.clone()))?.len();
    table.add(BYTES, routes as f64, bytes as f64);
    let mut names = Vec::new();
    for index in 0..500 {
        names.push(world::daemon(index).into());
    }
    let meter = Meter::thread();
    for daemon in &names {
        pacer.report(Millis(2_000), daemon, &report);
    }
    let each = meter.cpu_us() / names.len() as f64;
    table.add(REPORT_ROUTES, routes as f64, each);
    Ok(())
}

//! Runs a mesh of 15 daemons in one process through an approval, calls, the rollout of a good
//! version that receives all traffic in time, and the rollout of a bad version that is rolled back.
//!
//! Run it with `cargo run --release --example quickstart`. It exits with a failure if one of its
//! checks fails.

use std::net::SocketAddr;
use std::process::ExitCode;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use async_std::task;
use sycamoreflow_state::config::Share;
use sycamoreflow_state::ids::{ConfigVersion, Millis};
use sycamoreflow_state::operator::RolloutPhase;
use sycamoreflow_testbed::caller::{self, Call, Results};
use sycamoreflow_testbed::mesh::{Host, Mesh};
use sycamoreflow_testbed::operator::Operator;
use sycamoreflow_testbed::upstream::{Behaviour, Upstream};

mod report;

use report::{Report, Rollout};

/// Answers of the mesh `sfax`, with rollouts short enough for a demonstration.
const ANSWERS: &str = include_str!("answers.toml");

/// Slots of each upstream.
const SLOTS: u32 = 9;
/// Calls per second to all daemons together.
const RATE: f64 = 400.0;
/// Longest wait for the control group or for the end of a rollout.
const TIMEOUT: Duration = Duration::from_secs(20);
/// Largest share of all calls during its rollout that a bad version may receive.
const MAX_BAD_SHARE: f64 = 0.10;
/// Time within which a good version must receive all traffic. The answers state the same time.
const FINISH_WITHIN: Duration = Duration::from_secs(15);
/// Longest time until the first approval is in force at all daemons.
const MAX_CONVERGENCE: Millis = Millis(5_000);

const DATA_CENTRES: [&str; 3] = ["sfax-a", "sfax-b", "sfax-c"];
const SERVICES: [&str; 3] = ["catalogue", "orders", "traceability"];

const GOOD: Behaviour = Behaviour {
    service_time: Duration::from_millis(2),
    fails: false,
};
const BAD: Behaviour = Behaviour {
    service_time: Duration::from_millis(2),
    fails: true,
};

const CALLS: [Call; 4] = [
    Call {
        method: "GET",
        path: "/stock/harissa",
        tenant: "grocers",
        keyed: false,
    },
    Call {
        method: "POST",
        path: "/blend-orders",
        tenant: "restaurants",
        keyed: true,
    },
    Call {
        method: "GET",
        path: "/blend-orders/7",
        tenant: "grocers",
        keyed: false,
    },
    Call {
        method: "GET",
        path: "/batches/12",
        tenant: "exporters",
        keyed: false,
    },
];

fn main() -> ExitCode {
    let report = match task::block_on(run()) {
        Ok(report) => report,
        Err(error) => {
            eprintln!("quickstart: {error:#}");
            return ExitCode::FAILURE;
        }
    };
    report.print();
    let failed = report.failed_checks();
    for check in &failed {
        println!("broken: {check}");
    }
    if !failed.is_empty() {
        println!("quickstart: failed");
        return ExitCode::FAILURE;
    }
    println!("quickstart: ok");
    ExitCode::SUCCESS
}

async fn run() -> eyre::Result<Report> {
    let hosts = hosts();
    println!(
        "starting {} daemons, 3 of them control replicas",
        hosts.len()
    );
    let mesh = Mesh::start("sfax", &hosts).await?;
    let operator = mesh.operator();
    let mut upstreams = Vec::new();
    for (index, service) in SERVICES.iter().enumerate() {
        for copy in 0..3 {
            let daemon = mesh.announce_address(index * 3 + copy);
            let upstream = Upstream::start(service, "v1", SLOTS, GOOD, daemon).await?;
            upstreams.push(Arc::new(upstream));
        }
    }

    let approved = operator.approve("quickstart-1", ANSWERS, TIMEOUT).await?;
    let daemons = hosts.len() as u64;
    let convergence = operator
        .wait_for_convergence(approved.version, daemons, TIMEOUT)
        .await?;
    println!(
        "version {} is in force at {daemons} daemons",
        approved.version
    );
    wait_for_endpoints(&mesh, 9).await?;

    let results = Arc::new(Results::default());
    let started = Instant::now();
    let targets: Vec<SocketAddr> = (0..mesh.len())
        .map(|index| mesh.calls_address(index))
        .collect();
    let caller_task = task::spawn(call_forever(targets, results.clone()));
    task::sleep(Duration::from_secs(3)).await;

    println!("moving orders to v2, a good version");
    let good = start_version(&mesh, "v2", 9, GOOD).await?;
    let answers = answers_with("v2");
    let good = roll_out(&operator, "quickstart-2", &answers, &good, &results).await?;

    println!("moving orders to v3, which fails every call");
    let bad = start_version(&mesh, "v3", 12, BAD).await?;
    let answers = answers_with("v3");
    let bad = roll_out(&operator, "quickstart-3", &answers, &bad, &results).await?;
    caller_task.cancel().await;
    // Calls in flight finish before the counts are compared.
    task::sleep(Duration::from_millis(500)).await;

    let direct = report::direct_latency(&upstreams[0]).await?;
    let control_bytes = report::control_bytes_per_second(&mesh, started.elapsed());
    upstreams.extend(good.upstreams);
    upstreams.extend(bad.upstreams);
    Ok(Report {
        results,
        upstreams,
        convergence,
        direct,
        control_bytes,
        good: good.rollout,
        bad: bad.rollout,
    })
}

/// Returns nine hosts for the first version and three for each of the two new ones, spread over the
/// data centres.
fn hosts() -> Vec<Host> {
    let host = |index: usize| Host {
        daemon: format!("{}-{}", DATA_CENTRES[index % 3], index / 3 + 1),
        data_centre: DATA_CENTRES[index % 3].to_owned(),
    };
    (0..15).map(host).collect()
}

/// Returns the answers with another version of the service `orders`.
fn answers_with(version: &str) -> String {
    let orders = "name = \"orders\"\nversion = ";
    let old = format!("{orders}\"v1\"");
    ANSWERS.replace(&old, &format!("{orders}\"{version}\""))
}

async fn wait_for_endpoints(mesh: &Mesh, count: usize) -> eyre::Result<()> {
    let deadline = Instant::now() + TIMEOUT;
    loop {
        let views = (0..mesh.len()).filter_map(|index| mesh.daemon(index)?.proxy().view());
        let behind = views
            .filter(|view| view.endpoints().count() < count)
            .count();
        if behind == 0 {
            return Ok(());
        }
        if Instant::now() > deadline {
            eyre::bail!("{behind} daemons do not know all {count} endpoints");
        }
        task::sleep(Duration::from_millis(20)).await;
    }
}

async fn call_forever(targets: Vec<SocketAddr>, results: Arc<Results>) {
    let client = caller::client();
    loop {
        let period = Duration::from_secs(1);
        caller::run(&client, &targets, &CALLS, RATE, period, &results).await;
    }
}

/// Starts upstreams of a new version of `orders` on three hosts from index `first` on.
async fn start_version(
    mesh: &Mesh,
    version: &str,
    first: usize,
    behaviour: Behaviour,
) -> eyre::Result<Vec<Arc<Upstream>>> {
    let mut upstreams = Vec::new();
    for index in first..first + 3 {
        let daemon = mesh.announce_address(index);
        let upstream = Upstream::start("orders", version, SLOTS, behaviour, daemon).await?;
        upstreams.push(Arc::new(upstream));
    }
    Ok(upstreams)
}

/// A rollout that has ended and the upstreams of its version.
struct Finished {
    rollout: Rollout,
    upstreams: Vec<Arc<Upstream>>,
}

/// Approves answers with a new version and waits until its rollout is done or rolled back.
async fn roll_out(
    operator: &Operator,
    request: &str,
    answers: &str,
    upstreams: &[Arc<Upstream>],
    results: &Results,
) -> eyre::Result<Finished> {
    let calls_before = results.sent.load(Ordering::Relaxed);
    let started = Instant::now();
    let approved = operator.approve(request, answers, TIMEOUT).await?;
    let (phase, all_traffic_after) = wait_for_rollout(operator, approved.version).await?;
    let took = started.elapsed();
    // Calls in flight at the end of the rollout arrive within the longest timeout of a route.
    let ended = Instant::now();
    task::sleep(Duration::from_secs(1)).await;
    let calls = results.sent.load(Ordering::Relaxed) - calls_before;
    let received: u64 = upstreams.iter().map(|u| u.stats().calls()).sum();
    let late = upstreams.iter().filter_map(|u| u.stats().last_call());
    let late = late.max().map(|last| last.saturating_duration_since(ended));
    println!("  {phase} after {:.1} s", took.as_secs_f64());
    Ok(Finished {
        rollout: Rollout {
            phase,
            took,
            all_traffic_after,
            calls,
            received,
            last_call_after_end: late,
        },
        upstreams: upstreams.to_vec(),
    })
}

/// Returns the final phase of the rollout and the time after which its version had all traffic, or
/// `None` if it never had.
async fn wait_for_rollout(
    operator: &Operator,
    approved: ConfigVersion,
) -> eyre::Result<(RolloutPhase, Option<Duration>)> {
    let started = Instant::now();
    let mut all_traffic_after = None;
    loop {
        let status = operator.status(TIMEOUT).await?;
        let mut rollouts = status.rollouts.iter();
        let rollout = rollouts.find(|r| r.service.as_str() == "orders" && r.approved >= approved);
        if let Some(rollout) = rollout {
            if rollout.share == Share::ALL && all_traffic_after.is_none() {
                all_traffic_after = Some(started.elapsed());
            }
            if rollout.phase.is_final() {
                return Ok((rollout.phase, all_traffic_after));
            }
        }
        if started.elapsed() > TIMEOUT {
            eyre::bail!("the rollout has not ended in time: {rollout:?}");
        }
        task::sleep(Duration::from_millis(50)).await;
    }
}

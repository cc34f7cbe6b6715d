//! Simulates the rollout policy on a virtual clock and compares it with a simple baseline.
//!
//! Nine entry daemons send 270 calls/s to one service, a tenth of the capacity of three endpoints
//! with nine slots and 10 ms per call. Run it with
//! `cargo run --release -p sycamoreflow-coordination --example rollouts`.

use bpaf::{OptionParser, Parser, construct, long};

use scenario::{SCENARIOS, Scenario};
use simulation::{Outcome, Simulation};

#[path = "rollouts/baseline.rs"]
mod baseline;
#[path = "rollouts/scenario.rs"]
mod scenario;
#[path = "rollouts/settings.rs"]
mod settings;
#[path = "rollouts/simulation.rs"]
mod simulation;

struct Options {
    seed: u64,
    runs: u64,
    scenario: Option<String>,
    rate: f64,
    json: bool,
}

#[derive(serde::Serialize)]
struct Row {
    scenario: &'static str,
    policy: &'static str,
    seed: u64,
    bad: bool,
    outcome: Outcome,
}

fn options() -> OptionParser<Options> {
    let seed = long("seed").help("First seed").argument("SEED").fallback(1);
    let runs = long("runs")
        .help("Number of seeds")
        .argument("RUNS")
        .fallback(10);
    let scenario = long("scenario")
        .help("Only scenarios whose name contains this")
        .argument("NAME")
        .optional();
    let rate = long("rate")
        .help("Calls per second in the mesh")
        .argument("CALLS")
        .fallback(270.0);
    let json = long("json").help("One JSON object per run").switch();
    construct!(Options {
        seed,
        runs,
        scenario,
        rate,
        json
    })
    .to_options()
    .descr("Measures the rollout policy on a virtual clock")
}

fn main() {
    let options = options().run();
    let wanted = |scenario: &&Scenario| match &options.scenario {
        Some(part) => scenario.name.contains(part.as_str()),
        None => true,
    };
    if !options.json {
        print_header();
    }
    for scenario in SCENARIOS.iter().filter(wanted) {
        for (policy, baseline) in [("sequential", false), ("baseline", true)] {
            let rows = run_all(scenario, policy, baseline, &options);
            if options.json {
                print_json(&rows);
            } else {
                print_summary(&rows);
            }
        }
    }
}

/// Runs a scenario with all seeds, four at a time on a thread each. Every run is deterministic.
fn run_all(
    scenario: &Scenario,
    policy: &'static str,
    baseline: bool,
    options: &Options,
) -> Vec<Row> {
    let run = |seed: u64| Row {
        scenario: scenario.name,
        policy,
        seed,
        bad: scenario.bad,
        outcome: Simulation::new(scenario.clone(), baseline, options.rate, seed).run(),
    };
    let seeds: Vec<u64> = (options.seed..options.seed + options.runs).collect();
    let mut rows = Vec::new();
    for chunk in seeds.chunks(4) {
        std::thread::scope(|scope| {
            let threads: Vec<_> = chunk
                .iter()
                .map(|seed| scope.spawn(|| run(*seed)))
                .collect();
            rows.extend(threads.into_iter().filter_map(|thread| thread.join().ok()));
        });
    }
    rows
}

fn print_json(rows: &[Row]) {
    for row in rows {
        match serde_json::to_string(row) {
            Ok(line) => println!("{line}"),
            Err(error) => eprintln!("cannot encode a row: {error}"),
        }
    }
}

fn print_header() {
    println!(
        "{:20} {:10} {:>4} {:>7} {:>6} {:>6} {:>9} {:>13} {:>13} {:>11} {:>7} {:>4} {:>11}",
        "scenario",
        "policy",
        "runs",
        "in time",
        "back",
        "false",
        "seconds",
        "new calls",
        "after shown",
        "s after",
        "excess",
        "cut",
        "bytes/s"
    );
}

/// Prints the median of each column, and the worst run after a slash where it is shown.
fn print_summary(rows: &[Row]) {
    let Some(first) = rows.first() else {
        return;
    };
    let count =
        |test: &dyn Fn(&Outcome) -> bool| rows.iter().filter(|row| test(&row.outcome)).count();
    let spread = |value: &dyn Fn(&Outcome) -> f64| {
        let mut values: Vec<f64> = rows.iter().map(|row| value(&row.outcome)).collect();
        values.sort_by(f64::total_cmp);
        (values[values.len() / 2], values[values.len() - 1])
    };
    let rolled_back = count(&|outcome| outcome.rolled_back);
    let (seconds, _) = spread(&|outcome| outcome.seconds);
    let calls = spread(&|outcome| outcome.candidate_calls as f64);
    let after = spread(&|outcome| outcome.calls_after_shown as f64);
    let delay = spread(&|outcome| outcome.seconds_after_shown);
    let (_, excess) = spread(&|outcome| outcome.excess_calls);
    let (cut, _) = spread(&|outcome| outcome.cut_off_daemons as f64);
    let (bytes, _) = spread(&|outcome| outcome.report_bytes_mean);
    let (_, max_bytes) = spread(&|outcome| outcome.report_bytes_max as f64);
    println!(
        "{:20} {:10} {:>4} {:>7} {:>6} {:>6} {:>9.1} {:>13} {:>13} {:>11} {:>7.1} {:>4} {:>11}",
        first.scenario,
        first.policy,
        rows.len(),
        count(&|outcome| outcome.finished_in_time),
        rolled_back,
        if first.bad { 0 } else { rolled_back },
        seconds,
        format!("{:.0}/{:.0}", calls.0, calls.1),
        format!("{:.0}/{:.0}", after.0, after.1),
        format!("{:.1}/{:.1}", delay.0, delay.1),
        excess,
        cut,
        format!("{bytes:.0}/{max_bytes:.0}")
    );
}

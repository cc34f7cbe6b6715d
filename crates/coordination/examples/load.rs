//! Compares the endpoint selection policy with simpler ones on a virtual clock.
//!
//! Many entry daemons send calls through the production code for routing, admission, ejection,
//! retries and suspects to simulated upstreams. It is a benchmark of the policy and does not
//! simulate a whole cluster.

#[path = "load/policy.rs"]
mod policy;
#[path = "load/scenario.rs"]
mod scenario;
#[path = "load/sim.rs"]
mod sim;
#[path = "load/stats.rs"]
mod stats;
#[path = "load/upstream.rs"]
mod upstream;

use bpaf::{OptionParser, Parser, construct, long};

use policy::{PolicyKind, parse_tuning};
use scenario::{Mesh, SCENARIOS, Scenario};
use sim::Sim;
use stats::{Row, print_table};

#[derive(Clone, Debug)]
struct Options {
    seed: u64,
    scenario: Option<String>,
    json: bool,
    scale: Option<usize>,
    entries: usize,
    set: Vec<String>,
    policy: Option<String>,
}

fn options() -> OptionParser<Options> {
    let seed = long("seed")
        .help("Seed of the random number generator")
        .argument("SEED")
        .fallback(1);
    let scenario = long("scenario")
        .help("Scenario to run; all if absent")
        .argument("NAME")
        .optional();
    let json = long("json").help("Print only JSON").switch();
    let scale = long("scale")
        .help("Factor on the size of each deployment; 1 and 10 if absent")
        .argument("FACTOR")
        .optional();
    let entries = long("entries")
        .help("Factor on the number of entry daemons at the same total load")
        .argument("FACTOR")
        .fallback(1);
    let set = long("set")
        .help("Override of a parameter of the learned policy, such as choices=3")
        .argument("KEY=VALUE")
        .many();
    let policy = long("policy")
        .help("Policy to run; all if absent")
        .argument("NAME")
        .optional();
    construct!(Options {
        seed,
        scenario,
        json,
        scale,
        entries,
        set,
        policy
    })
    .to_options()
    .descr("Compares endpoint selection policies on a virtual clock.")
}

fn main() -> Result<(), String> {
    let options = options().run();
    let tuning = parse_tuning(&options.set)?;
    let scales = options.scale.map_or(vec![1, 10], |scale| vec![scale]);
    let wanted = |scenario: &&Scenario| match &options.scenario {
        Some(name) => scenario.name == *name,
        None => true,
    };
    let scenarios: Vec<&Scenario> = SCENARIOS.iter().filter(wanted).collect();
    if scenarios.is_empty() {
        let names: Vec<&str> = SCENARIOS.iter().map(|s| s.name).collect();
        return Err(format!(
            "unknown scenario; valid names: {}",
            names.join(", ")
        ));
    }
    let mut rows: Vec<Row> = Vec::new();
    for scenario in scenarios {
        for mesh in Mesh::all(&scales, options.entries) {
            for kind in scenario.policies() {
                if options
                    .policy
                    .as_ref()
                    .is_some_and(|name| name != kind.name())
                {
                    continue;
                }
                let sim = Sim::new(scenario, &mesh, kind, &tuning, options.seed);
                rows.push(sim.run());
            }
        }
    }
    if !options.json {
        print_table(&rows);
    }
    let json = serde_json::to_string(&rows).map_err(|error| error.to_string())?;
    println!("{json}");
    Ok(())
}

impl Scenario {
    /// Returns the policies to compare. `WithoutSuspects` is included only for scenarios with
    /// crashing requests.
    fn policies(&self) -> Vec<PolicyKind> {
        let mut kinds = vec![
            PolicyKind::Learned,
            PolicyKind::RoundRobin,
            PolicyKind::Random,
            PolicyKind::LeastReported,
        ];
        if self.crashing {
            kinds.push(PolicyKind::WithoutSuspects);
        }
        kinds
    }
}

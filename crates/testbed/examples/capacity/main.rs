//! Measures how the costs of the production code grow with its load. The estimates in
//! `docs/CAPACITY.md` are based on these slopes.
//!
//! Run it with `cargo run --release --example capacity`. `--only NAME` runs one group and
//! `--json FILE` writes the points and the slopes to a file. Each measure is taken at three or more
//! sizes and repeated; the table shows the median and the range of the repeats.

use std::path::PathBuf;
use std::process::ExitCode;

use bpaf::{OptionParser, Parser, construct, long};

mod baseline;
mod calls;
mod convergence;
mod crashes;
mod departures;
mod keys;
mod leader;
mod light;
mod meter;
mod proxies;
mod replica;
mod reports;
mod storage;
mod subscribers;
mod table;
mod world;

use table::Table;

/// Name of a group of measures and the function that takes them.
type Group = (&'static str, fn(&mut Table) -> eyre::Result<()>);

/// All groups, in the order in which they run. Groups that measure memory run first: memory that
/// earlier groups have freed is reused by the allocator without a growth of the resident memory.
const GROUPS: [Group; 12] = [
    ("convergence", convergence::convergence),
    ("view-memory", leader::view_memory),
    ("proxies", proxies::proxies),
    ("keys", keys::keys),
    ("distribution", subscribers::distribution),
    ("herd", subscribers::reconnect_storm),
    ("leader", leader::leader),
    ("reports", reports::reports),
    ("departures", departures::departures),
    ("crashes", crashes::crashes),
    ("storage", storage::storage),
    ("calls", calls::calls),
];

/// Command-line options.
#[derive(Clone, Debug)]
struct Options {
    json: Option<PathBuf>,
    only: Option<String>,
}

fn main() -> ExitCode {
    match run(&options().run()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("capacity: {error:#}");
            ExitCode::FAILURE
        }
    }
}

fn options() -> OptionParser<Options> {
    let json = long("json")
        .help("File for the points and slopes")
        .argument::<PathBuf>("FILE")
        .optional();
    let only = long("only")
        .help("Run this group only")
        .argument::<String>("NAME")
        .optional();
    construct!(Options { json, only })
        .to_options()
        .descr("Measures the slopes behind docs/CAPACITY.md")
}

fn run(options: &Options) -> eyre::Result<()> {
    let mut table = Table::default();
    println!("{}", meter::machine());
    let wanted = |name: &str| options.only.as_deref().is_none_or(|only| only == name);
    let groups: Vec<&Group> = GROUPS.iter().filter(|(name, _)| wanted(name)).collect();
    if groups.is_empty() {
        let names: Vec<&str> = GROUPS.iter().map(|(name, _)| *name).collect();
        eyre::bail!("unknown group; the groups are {}", names.join(", "));
    }
    for (name, measure) in groups {
        table.start_group(name);
        measure(&mut table)?;
        table.print_group();
    }
    println!("{}", meter::machine());
    if let Some(path) = &options.json {
        std::fs::write(path, table.to_json()?)?;
    }
    Ok(())
}

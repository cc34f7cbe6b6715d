//! `status`: shows the configuration version, the control replicas and the rollouts of the mesh.

use std::io::Write;

use bpaf::{Parser, construct};
use sycamoreflow_state::answers::units;
use sycamoreflow_state::operator::{
    EvacuationStatus, RemainingCapacity, ReplicaStatus, RolloutStatus, STATUS_PATH, StatusResponse,
};

use crate::client::{self, Client};
use crate::exit::Result;
use crate::{Io, output};

/// Arguments of the command.
#[derive(Clone, Debug)]
pub struct Options {
    client: client::Options,
    json: bool,
}

/// Returns the parser of the command's arguments.
pub fn options() -> impl Parser<Options> {
    let client = client::options();
    let json = super::json();
    construct!(Options { client, json })
}

/// Prints the state of the mesh.
pub async fn run(options: &Options, io: &mut Io<'_>) -> Result {
    let client = Client::new(&options.client)?;
    let status: StatusResponse = client.get(STATUS_PATH).await?;
    if options.json {
        return output::json(io.out, &status);
    }
    print(io.out, &status)
}

fn print(out: &mut dyn Write, status: &StatusResponse) -> Result {
    writeln!(out, "mesh {}, answered by {}", status.mesh, status.daemon)?;
    writeln!(out, "{}", convergence(status))?;
    for rejection in &status.convergence.rejected {
        writeln!(
            out,
            "rejected by {}: {}",
            rejection.daemon, rejection.reason
        )?;
    }
    writeln!(out, "endpoints version {}", status.endpoints)?;
    match &status.leader {
        Some(leader) => writeln!(out, "leader {leader}")?,
        None => writeln!(out, "no leader")?,
    }
    if !status.replicas.is_empty() {
        writeln!(out, "\nreplicas")?;
        let rows: Vec<_> = status.replicas.iter().map(replica).collect();
        output::table(out, &rows)?;
        let fault_tolerance = match status.tolerates_one_voter_failure() {
            true => "the group survives one more loss",
            false => "one more loss stops changes; see docs/control-group.md",
        };
        writeln!(out, "  {fault_tolerance}")?;
    }
    if !status.evacuations.is_empty() {
        writeln!(out, "\nevacuated data centres")?;
        let rows: Vec<_> = status.evacuations.iter().map(evacuation).collect();
        output::table(out, &rows)?;
        print_remaining(out, &status.remaining)?;
    }
    if !status.rollouts.is_empty() {
        writeln!(out, "\nrollouts")?;
        let rows: Vec<_> = status.rollouts.iter().map(rollout).collect();
        output::table(out, &rows)?;
    }
    Ok(())
}

/// Returns a line that says at how many daemons the accepted version is in force.
pub fn convergence(status: &StatusResponse) -> String {
    let progress = &status.convergence;
    let mut line = format!(
        "version {}, in force at {} of {} daemons",
        status.config, progress.in_force, progress.daemons
    );
    if let Some(duration) = progress.duration {
        line += &format!(" after {}", units::format_duration(duration));
    }
    line
}

fn replica(replica: &ReplicaStatus) -> [String; 4] {
    let role = if replica.voter { "voter" } else { "non-voting" };
    let state = if replica.reachable {
        "reachable"
    } else {
        "unreachable"
    };
    [
        format!("  {}", replica.daemon),
        role.to_owned(),
        state.to_owned(),
        format!("log {}", replica.log_index),
    ]
}

fn evacuation(evacuation: &EvacuationStatus) -> [String; 3] {
    [
        format!("  {}", evacuation.data_centre),
        format!("since version {}", evacuation.since),
        units::format_time(evacuation.at),
    ]
}

/// Prints the load that is expected of each service outside the evacuated data centres.
pub fn print_remaining(out: &mut dyn Write, remaining: &[RemainingCapacity]) -> Result {
    if remaining.is_empty() {
        return Ok(());
    }
    writeln!(out, "\nexpected load outside the evacuated data centres")?;
    let rows: Vec<_> = remaining.iter().map(remaining_row).collect();
    output::table(out, &rows)
}

fn remaining_row(capacity: &RemainingCapacity) -> [String; 3] {
    let load = match capacity.expected_load_percent() {
        Some(percent) => format!("{percent}% of the usual load of a slot"),
        None => "no endpoint is left; its calls are refused".to_owned(),
    };
    [
        format!("  {}", capacity.service),
        format!("{} of {} slots", capacity.remaining, capacity.slots),
        load,
    ]
}

/// Returns the table columns of a rollout.
pub fn rollout(rollout: &RolloutStatus) -> [String; 6] {
    [
        format!("  {}", rollout.service),
        format!("{} -> {}", rollout.from, rollout.to),
        rollout.phase.as_str().to_owned(),
        units::format_percent(rollout.share),
        format!("by {}", units::format_time(rollout.finish)),
        rollout.reason.clone().unwrap_or_default(),
    ]
}

//! `watch`: waits until a version is in force at all daemons, or until a rollout has ended.

use std::time::{Duration, Instant};

use async_std::task::sleep;
use bpaf::{Parser, construct, long};
use sycamoreflow_state::ids::ConfigVersion;
use sycamoreflow_state::operator::{RolloutPhase, RolloutStatus, STATUS_PATH, StatusResponse};

use super::status;
use crate::client::{self, Client};
use crate::exit::{Exit, Failure, Result};
use crate::{Io, output};

/// Pause between two requests for the state of the mesh.
const POLL_INTERVAL: Duration = Duration::from_millis(500);
/// How long an outage is tolerated after the state has been read once. It covers the election of a
/// leader and the restart of a daemon, both of which may occur during a rollout.
const MAX_OUTAGE: Duration = Duration::from_secs(60);

/// Arguments of the command.
#[derive(Clone, Debug)]
pub struct Options {
    client: client::Options,
    service: Option<String>,
    version: Option<u64>,
    timeout: Option<u64>,
    json: bool,
}

/// Returns the parser of the command's arguments.
pub fn options() -> impl Parser<Options> {
    let client = client::options();
    let service = super::service("Wait for the rollout of this service");
    let version = long("version")
        .help("Wait for this version, as `approve` prints it (default: the accepted one)")
        .argument::<u64>("VERSION")
        .optional();
    let timeout = long("timeout")
        .help("Give up after this time")
        .argument::<u64>("SECONDS")
        .optional();
    let json = super::json();
    construct!(Options {
        client,
        service,
        version,
        timeout,
        json
    })
}

/// Prints the progress whenever it changes, until the version is in force or the rollout has ended.
/// Fails if the version is rejected, the rollout is rolled back or the timeout expires.
pub async fn run(options: &Options, io: &mut Io<'_>) -> Result {
    let client = Client::new(&options.client)?;
    let start = Instant::now();
    let mut watch = Watch {
        target: options.version.map(ConfigVersion),
        min_approved: options.version.map(ConfigVersion).unwrap_or_default(),
        service: options.service.clone(),
        newest_seen: ConfigVersion::default(),
    };
    let mut last_line = String::new();
    let mut last_response: Option<Instant> = None;
    loop {
        let status = match client.get::<StatusResponse>(STATUS_PATH).await {
            Ok(status) => Some(status),
            Err(failure) if failure.exit != Exit::Unreachable => return Err(failure),
            Err(_) if last_response.is_some_and(|at| at.elapsed() < MAX_OUTAGE) => None,
            Err(failure) => return Err(failure),
        };
        if let Some(status) = status {
            last_response = Some(Instant::now());
            if let Some(observation) = watch.observe(&status) {
                if observation.line != last_line {
                    print(options, io, &status, &observation.line)?;
                    last_line = observation.line;
                }
                if let Some(outcome) = observation.outcome {
                    return outcome;
                }
            }
        }
        let limit = options.timeout.map(Duration::from_secs);
        if limit.is_some_and(|limit| start.elapsed() >= limit) {
            return Err(Failure::new(
                Exit::Failure,
                "timed out; the version or the rollout may still complete",
            ));
        }
        sleep(POLL_INTERVAL).await;
    }
}

fn print(options: &Options, io: &mut Io<'_>, status: &StatusResponse, line: &str) -> Result {
    if options.json {
        output::json(io.out, status)?;
    } else {
        writeln!(io.out, "{line}")?;
    }
    io.out.flush()?;
    Ok(())
}

/// State of a watch.
struct Watch {
    /// Version to wait for. If none is given, the first accepted version that is observed.
    target: Option<ConfigVersion>,
    /// Rollouts that were approved by an earlier version are ignored.
    min_approved: ConfigVersion,
    /// Service whose rollout is waited for. Without one, the version itself is waited for.
    service: Option<String>,
    /// Newest accepted version observed so far.
    newest_seen: ConfigVersion,
}

struct Observation {
    /// Progress to print.
    line: String,
    /// Result of the command, once the version or the rollout is complete.
    outcome: Option<Result>,
}

impl Watch {
    /// Evaluates a status. Returns `None` if it is older than an earlier one, which happens when
    /// another daemon responds.
    fn observe(&mut self, status: &StatusResponse) -> Option<Observation> {
        if status.config < self.newest_seen {
            return None;
        }
        self.newest_seen = status.config;
        let target = *self.target.get_or_insert(status.config);
        match &self.service {
            Some(service) => Some(observe_rollout(service, target, self.min_approved, status)),
            None => Some(observe_version(target, status)),
        }
    }
}

fn observe_version(target: ConfigVersion, status: &StatusResponse) -> Observation {
    let progress = &status.convergence;
    let converged = progress.daemons > 0 && progress.in_force >= progress.daemons;
    let outcome = if status.config < target {
        None
    } else if let Some(rejection) = progress.rejected.first() {
        let message = format!("rejected by {}: {}", rejection.daemon, rejection.reason);
        Some(Err(Failure::new(Exit::Failure, message)))
    } else {
        converged.then_some(Ok(()))
    };
    Observation {
        line: status::convergence(status),
        outcome,
    }
}

fn observe_rollout(
    service: &str,
    target: ConfigVersion,
    min_approved: ConfigVersion,
    status: &StatusResponse,
) -> Observation {
    let latest = status
        .rollouts
        .iter()
        .filter(|rollout| rollout.service.as_str() == service && rollout.approved >= min_approved)
        .max_by_key(|rollout| rollout.rollout);
    let Some(rollout) = latest else {
        let outcome = (status.config >= target).then(|| {
            let message = format!("there is no rollout of service {service}");
            Err(Failure::new(Exit::Failure, message))
        });
        let line = format!("no rollout of service {service} yet");
        return Observation { line, outcome };
    };
    let line = status::rollout(rollout).join("  ").trim().to_owned();
    let outcome = match rollout.phase {
        _ if status.config < target => None,
        RolloutPhase::Done => Some(Ok(())),
        RolloutPhase::TakenBack => Some(Err(rolled_back(rollout))),
        RolloutPhase::Planned
        | RolloutPhase::Moving
        | RolloutPhase::Testing
        | RolloutPhase::Watching => None,
    };
    Observation { line, outcome }
}

fn rolled_back(rollout: &RolloutStatus) -> Failure {
    let reason = rollout.reason.as_deref().unwrap_or("no reason is known");
    let message = format!(
        "{} of {} was taken back: {reason}",
        rollout.to, rollout.service
    );
    Failure::new(Exit::RolledBack, message)
}

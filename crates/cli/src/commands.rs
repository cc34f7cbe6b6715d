//! The commands and the parser of the command line.

use std::path::PathBuf;

use bpaf::{OptionParser, Parser, construct, long, positional};

use crate::exit;

pub mod approve;
pub mod check;
pub mod drain;
pub mod endpoints;
pub mod evacuate;
pub mod history;
pub mod init;
pub mod plan;
pub mod status;
pub mod watch;

/// Part of the help text that shows the order in which the commands are used. Lines that look empty
/// contain a space, since bpaf prints a footer only up to the first blank line.
const FIRST_STEPS: &str = "A first configuration:
  sycamoreflow init --template         writes answers.toml, to be edited
  sycamoreflow check answers.toml      lists its problems, offline
  sycamoreflow plan answers.toml       shows what would change
  sycamoreflow approve answers.toml    puts the plan in force
  sycamoreflow watch                   waits until all daemons have it
 
All commands but init and check need the operator address of a control replica (--address or \
SYCAMOREFLOW_ADDRESS) and the operator token (--token-file, SYCAMOREFLOW_TOKEN_FILE or \
SYCAMOREFLOW_TOKEN).";

/// A parsed command with its arguments.
#[derive(Clone, Debug)]
pub enum Command {
    /// Write a new answers file.
    Init(init::Options),
    /// Check an answers file.
    Check(check::Options),
    /// Show what the approval of an answers file would change.
    Plan(plan::Options),
    /// Approve an answers file.
    Approve(approve::Options),
    /// Show the state of the mesh.
    Status(status::Options),
    /// Wait until a version is in force or a rollout has ended.
    Watch(watch::Options),
    /// Show the history of configuration changes and rollouts.
    History(history::Options),
    /// Show the endpoints of the services.
    Endpoints(endpoints::Options),
    /// Drain the endpoints of a daemon.
    Drain(drain::Options),
    /// Send nothing more to the endpoints in a data centre.
    Evacuate(evacuate::Options),
    /// End the evacuation of a data centre.
    Restore(evacuate::Options),
}

/// Returns the parser of the whole command line.
pub fn parser() -> OptionParser<Command> {
    let init = command(
        "init",
        "Write a new answers file",
        init::options().map(Command::Init),
    );
    let check = command(
        "check",
        "List all problems of an answers file",
        check::options().map(Command::Check),
    );
    let plan = command(
        "plan",
        "Show what the approval of an answers file would change",
        plan::options().map(Command::Plan),
    );
    let approve = command(
        "approve",
        "Put an answers file in force",
        approve::options().map(Command::Approve),
    );
    let status = command(
        "status",
        "Show the state of the mesh",
        status::options().map(Command::Status),
    );
    let watch = command(
        "watch",
        "Wait until the accepted version is in force everywhere, or until a rollout has ended",
        watch::options().map(Command::Watch),
    );
    let history = command(
        "history",
        "Show what happened, in all services or in one",
        history::options().map(Command::History),
    );
    let endpoints = command(
        "endpoints",
        "Show the endpoints",
        endpoints::options().map(Command::Endpoints),
    );
    let drain = command(
        "drain",
        "Give the endpoints at a daemon no new work",
        drain::options().map(Command::Drain),
    );
    let evacuate = command(
        "evacuate",
        "Send nothing more to the endpoints in a data centre",
        evacuate::options().map(Command::Evacuate),
    );
    let restore = command(
        "restore",
        "End the evacuation of a data centre",
        evacuate::options().map(Command::Restore),
    );
    let exit_codes = exit::HELP;
    let footer = format!("{FIRST_STEPS}\n \n{exit_codes}\n \nDocumentation: docs/commands.md");
    construct!([
        init, check, plan, approve, status, watch, history, endpoints, drain, evacuate, restore
    ])
    .to_options()
    .descr("Configures a service mesh from the answers to a questionnaire.")
    .footer(footer.as_str())
    .version(env!("CARGO_PKG_VERSION"))
}

fn command(
    name: &'static str,
    descr: &'static str,
    options: impl Parser<Command> + 'static,
) -> impl Parser<Command> {
    options
        .to_options()
        .descr(descr)
        .footer(exit::HELP)
        .command(name)
        .help(descr)
}

/// Returns the parser of the option `--json`.
fn json() -> impl Parser<bool> {
    long("json").help("Print JSON").switch()
}

/// Returns the parser of the path of the answers file.
fn file() -> impl Parser<PathBuf> {
    positional::<PathBuf>("FILE").help("Answers file")
}

/// Returns the parser of the option `--service`.
fn service(help: &'static str) -> impl Parser<Option<String>> {
    long("service")
        .help(help)
        .argument::<String>("SERVICE")
        .optional()
}

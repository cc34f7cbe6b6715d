//! Command-line client of sycamoreflow. Each command has a module in [`commands`].
//!
//! `init` and `check` work offline. The other commands use the operator interface of a daemon
//! ([`sycamoreflow_state::operator`]).

#![cfg_attr(test, allow(clippy::unwrap_used))]

use std::ffi::OsString;
use std::io::{BufRead, Write};

pub mod answers_file;
pub mod client;
pub mod commands;
pub mod exit;
pub mod http;
pub mod output;

use commands::Command;
use exit::Exit;

/// Standard streams of a command. Tests replace them with buffers.
pub struct Io<'a> {
    /// Whether `input` is a terminal, so that a command may prompt.
    pub terminal: bool,
    /// Standard input.
    pub input: &'a mut dyn BufRead,
    /// Standard output, for data.
    pub out: &'a mut dyn Write,
    /// Standard error, for messages.
    pub err: &'a mut dyn Write,
}

/// Runs the command given by `args`, which exclude the program name, and returns the exit code.
pub fn run(args: &[OsString], io: &mut Io<'_>) -> u8 {
    let args = bpaf::Args::from(args).set_name("sycamoreflow");
    let command = match commands::parser().run_inner(args) {
        Ok(command) => command,
        Err(bpaf::ParseFailure::Stderr(doc)) => {
            let message = doc.monochrome(true);
            // A failure to write to standard error can't be reported anywhere.
            let _ = writeln!(io.err, "error: {message}");
            return Exit::Usage.code();
        }
        Err(bpaf::ParseFailure::Stdout(doc, full)) => {
            let _ = writeln!(io.out, "{}", doc.monochrome(full));
            return 0;
        }
        Err(bpaf::ParseFailure::Completion(text)) => {
            let _ = write!(io.out, "{text}");
            return 0;
        }
    };
    match async_std::task::block_on(execute(command, io)) {
        Ok(()) => 0,
        Err(failure) => {
            let _ = writeln!(io.err, "error: {failure}");
            failure.exit.code()
        }
    }
}

async fn execute(command: Command, io: &mut Io<'_>) -> exit::Result {
    match command {
        Command::Init(options) => commands::init::run(&options, io),
        Command::Check(options) => commands::check::run(&options, io),
        Command::Plan(options) => commands::plan::run(&options, io).await,
        Command::Approve(options) => commands::approve::run(&options, io).await,
        Command::Status(options) => commands::status::run(&options, io).await,
        Command::Watch(options) => commands::watch::run(&options, io).await,
        Command::History(options) => commands::history::run(&options, io).await,
        Command::Endpoints(options) => commands::endpoints::run(&options, io).await,
        Command::Drain(options) => commands::drain::run(&options, io).await,
        Command::Evacuate(options) => commands::evacuate::run(&options, true, io).await,
        Command::Restore(options) => commands::evacuate::run(&options, false, io).await,
    }
}

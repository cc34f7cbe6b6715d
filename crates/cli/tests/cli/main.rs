//! Runs the commands within the test process against a stand-in for the operator interface.

#![allow(clippy::unwrap_used)]

mod offline;
mod online;
mod stand_in;
mod watch;

use std::ffi::OsString;

use sycamoreflow_cli::{Io, run};

/// Exit code and output of a command.
#[derive(Debug)]
struct CommandOutput {
    code: u8,
    stdout: String,
    stderr: String,
}

/// Runs a command with `input` typed at a terminal. If it is empty, standard input is an empty
/// stream that is not a terminal.
fn run_with_input(args: &[&str], input: &str) -> CommandOutput {
    let args: Vec<_> = args.iter().map(OsString::from).collect();
    let (mut out, mut err) = (Vec::new(), Vec::new());
    let code = run(
        &args,
        &mut Io {
            terminal: !input.is_empty(),
            input: &mut input.as_bytes(),
            out: &mut out,
            err: &mut err,
        },
    );
    CommandOutput {
        code,
        stdout: String::from_utf8(out).unwrap(),
        stderr: String::from_utf8(err).unwrap(),
    }
}

/// Runs a command whose standard input is empty and not a terminal.
fn run_without_terminal(args: &[&str]) -> CommandOutput {
    run_with_input(args, "")
}

//! Entry point of the command-line client `sycamoreflow`.

use std::io::{self, IsTerminal};
use std::process::ExitCode;

use sycamoreflow_cli::{Io, run};

fn main() -> ExitCode {
    let args: Vec<_> = std::env::args_os().skip(1).collect();
    let mut io = Io {
        terminal: io::stdin().is_terminal(),
        input: &mut io::stdin().lock(),
        out: &mut io::stdout().lock(),
        err: &mut io::stderr().lock(),
    };
    ExitCode::from(run(&args, &mut io))
}

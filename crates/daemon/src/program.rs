//! Command-line option and exit codes shared by the binaries that run a daemon.

use std::path::Path;
use std::process::ExitCode;

use bpaf::{Parser, long};

/// Exit code of a stop that aborted calls at the drain timeout.
const EXIT_CALLS_ABORTED: u8 = 3;

/// Returns the parser of `--check`, which validates the settings without starting the daemon.
pub fn check_switch() -> impl Parser<bool> {
    long("check")
        .help("Check the settings and exit without binding any address")
        .switch()
}

/// Prints to standard output that the settings in a file are valid.
pub fn report_valid(settings: &Path) {
    println!("{}: the settings are valid", settings.display());
}

/// Converts the result of a run into an exit code: 0 if no call was aborted, 3 if some were, and 1
/// if the daemon failed to start. An error is printed to standard error, prefixed with `program`.
pub fn exit_code(program: &str, aborted_calls: eyre::Result<usize>) -> ExitCode {
    match aborted_calls {
        Ok(0) => ExitCode::SUCCESS,
        Ok(_) => ExitCode::from(EXIT_CALLS_ABORTED),
        Err(error) => {
            eprintln!("{program}: {error:#}");
            ExitCode::FAILURE
        }
    }
}

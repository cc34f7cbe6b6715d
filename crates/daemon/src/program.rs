//! What the programs around the daemon share: an option and the end of the process.

use std::path::Path;
use std::process::ExitCode;

use bpaf::{Parser, long};

/// Exit code after a stop that has cut calls.
const EXIT_CALLS_CUT: u8 = 3;

/// Returns the parser of the option that only checks the settings.
pub fn check_switch() -> impl Parser<bool> {
    long("check")
        .help("Check the settings and exit without binding any address")
        .switch()
}

/// Tells that the settings of a file can be used.
pub fn report_valid(settings: &Path) {
    println!("{}: the settings are valid", settings.display());
}

/// Ends `program` after a run that returned the number of calls that were cut, or why it could not
/// start.
pub fn exit_code(program: &str, cut_calls: eyre::Result<usize>) -> ExitCode {
    match cut_calls {
        Ok(0) => ExitCode::SUCCESS,
        Ok(_) => ExitCode::from(EXIT_CALLS_CUT),
        Err(error) => {
            eprintln!("{program}: {error:#}");
            ExitCode::FAILURE
        }
    }
}

//! Exit codes, and the failure of a command that carries one.

use std::fmt;

use eyre::Report;

/// Result of a command.
pub type Result<T = ()> = std::result::Result<T, Failure>;

/// Description of the exit codes in the help text.
pub const HELP: &str = "Exit codes:
  0  success
  1  failure
  2  wrong usage
  3  conflict with a newer version of the configuration
  4  invalid answers
  5  no daemon reachable
  6  the watched rollout was taken back";

/// Exit code of a command that failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Exit {
    /// A failure that has no more specific code.
    Failure = 1,
    /// The arguments are invalid, or a required earlier step is missing.
    Usage = 2,
    /// A newer version was approved than the one that the request is based on.
    Conflict = 3,
    /// The answers have problems.
    Invalid = 4,
    /// No daemon responded.
    Unreachable = 5,
    /// The watched rollout was rolled back.
    RolledBack = 6,
}

impl Exit {
    /// Returns the numeric exit code.
    pub fn code(self) -> u8 {
        self as u8
    }
}

/// Failure of a command, with the exit code of the process.
#[derive(Debug)]
pub struct Failure {
    /// Exit code of the process.
    pub exit: Exit,
    /// Error message and its causes.
    pub report: Report,
}

impl Failure {
    /// Creates a failure without a cause.
    pub fn new(exit: Exit, message: impl Into<String>) -> Self {
        Self {
            exit,
            report: Report::msg(message.into()),
        }
    }
}

impl From<Report> for Failure {
    fn from(report: Report) -> Self {
        Self {
            exit: Exit::Failure,
            report,
        }
    }
}

impl From<std::io::Error> for Failure {
    fn from(error: std::io::Error) -> Self {
        Report::new(error).into()
    }
}

impl fmt::Display for Failure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        // The alternate format appends the causes to the message.
        write!(f, "{:#}", self.report)
    }
}

//! Exit codes and the failure of a command.

use std::fmt;

use eyre::Report;

/// Result of a command.
pub type Result<T = ()> = std::result::Result<T, Failure>;

/// Explanation of the exit codes for the help text.
pub const HELP: &str = "Exit codes:
  0  success
  1  failure
  2  wrong usage
  3  conflict with a newer version of the configuration
  4  invalid answers
  5  no daemon reachable
  6  the watched rollout was taken back";

/// Exit code of a command that did not succeed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Exit {
    /// Any failure without a code of its own.
    Failure = 1,
    /// The arguments are wrong, or a step that must come first is missing.
    Usage = 2,
    /// Another version is in force than the one that the request was based on.
    Conflict = 3,
    /// The answers have problems.
    Invalid = 4,
    /// No daemon gave an answer.
    Unreachable = 5,
    /// The watched rollout was taken back.
    RolledBack = 6,
}

impl Exit {
    /// Returns the exit code of the process.
    pub fn code(self) -> u8 {
        self as u8
    }
}

/// Why a command did not succeed.
#[derive(Debug)]
pub struct Failure {
    /// Exit code.
    pub exit: Exit,
    /// The reason and its causes.
    pub report: Report,
}

impl Failure {
    /// Makes a failure with a message.
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
        // The alternate form prints the causes after the message.
        write!(f, "{:#}", self.report)
    }
}

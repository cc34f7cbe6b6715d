//! Problems in answers or in a configuration, as they are reported to operators.

use std::fmt;

use serde::{Deserialize, Serialize};

/// A problem in answers or in a configuration, with advice on how to solve it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Problem {
    /// Name of the answers file. Empty if the configuration was not read from a file.
    pub file: String,
    /// Line in the file, starting at 1. `None` if the configuration was not read from a file.
    pub line: Option<usize>,
    /// Path of the field, for example `services.orders.version`. Empty for a syntax error.
    pub field: String,
    /// Description of the problem, to be read after the field.
    pub message: String,
    /// How to solve the problem.
    pub help: String,
}

impl fmt::Display for Problem {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if !self.file.is_empty() {
            write!(f, "{}:", self.file)?;
        }
        if let Some(line) = self.line {
            write!(f, "{line}:")?;
        }
        if !self.file.is_empty() || self.line.is_some() {
            f.write_str(" ")?;
        }
        if !self.field.is_empty() {
            write!(f, "{}: ", self.field)?;
        }
        f.write_str(&self.message)?;
        if !self.help.is_empty() {
            write!(f, " ({})", self.help)?;
        }
        Ok(())
    }
}

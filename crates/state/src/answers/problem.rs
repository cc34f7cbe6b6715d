//! Problems found in answers or in a configuration.

use std::fmt;

use serde::{Deserialize, Serialize};

/// A problem and what to do about it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Problem {
    /// Name of the file. Empty for a configuration that was not read from a file.
    pub file: String,
    /// Line in the file, counted from 1. `None` for a configuration that was not read from a file.
    pub line: Option<usize>,
    /// Path of the field, for example `services.orders.version`.
    pub field: String,
    /// What is wrong.
    pub message: String,
    /// What to do about it.
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

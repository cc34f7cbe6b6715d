//! Printing of results as JSON or as text tables.

use std::io::Write;

use eyre::WrapErr;
use serde::Serialize;

use crate::exit::Result;

/// Writes a value as one line of JSON.
pub fn json(out: &mut dyn Write, value: &impl Serialize) -> Result {
    let text = serde_json::to_string(value).wrap_err("cannot encode the output")?;
    writeln!(out, "{text}")?;
    Ok(())
}

/// Writes rows as left-aligned columns that are separated by two spaces.
pub fn table<const N: usize>(out: &mut dyn Write, rows: &[[String; N]]) -> Result {
    let width = |column: usize| rows.iter().map(|row| row[column].chars().count()).max();
    let widths: Vec<_> = (0..N).map(|column| width(column).unwrap_or(0)).collect();
    for row in rows {
        let mut line = String::new();
        for (cell, width) in row.iter().zip(&widths) {
            line += &format!("{cell:<width$}  ");
        }
        writeln!(out, "{}", line.trim_end())?;
    }
    Ok(())
}

//! Printing of results as JSON or as text tables.

use std::io::Write;

use eyre::WrapErr;
use serde::Serialize;

use crate::exit::Result;

#[cfg(test)]
mod tests;

/// Writes a value as one line of JSON.
pub fn json(out: &mut dyn Write, value: &impl Serialize) -> Result {
    let text = serde_json::to_string(value).wrap_err("cannot encode the output")?;
    writeln!(out, "{text}")?;
    Ok(())
}

/// Maximum number of characters of a cell. A longer text is cut, so that one odd name does not
/// widen its column for all rows.
const MAX_CELL_CHARS: usize = 64;

/// Writes rows as left-aligned columns that are separated by two spaces. Long cells are cut, and
/// control characters are replaced, since a terminal would execute them.
pub fn table<const N: usize>(out: &mut dyn Write, rows: &[[String; N]]) -> Result {
    let rows: Vec<[String; N]> = rows
        .iter()
        .map(|row| row.each_ref().map(|cell| printable(cell)))
        .collect();
    let width = |column: usize| rows.iter().map(|row| row[column].chars().count()).max();
    let widths: Vec<_> = (0..N).map(|column| width(column).unwrap_or(0)).collect();
    for row in &rows {
        let mut line = String::new();
        for (cell, width) in row.iter().zip(&widths) {
            line += &format!("{cell:<width$}  ");
        }
        writeln!(out, "{}", line.trim_end())?;
    }
    Ok(())
}

fn printable(cell: &str) -> String {
    let is_long = cell.chars().nth(MAX_CELL_CHARS).is_some();
    let kept = match is_long {
        true => MAX_CELL_CHARS - 1,
        false => MAX_CELL_CHARS,
    };
    let visible = |c: char| match c.is_control() {
        true => char::REPLACEMENT_CHARACTER,
        false => c,
    };
    let mut text: String = cell.chars().take(kept).map(visible).collect();
    if is_long {
        text.push('…');
    }
    text
}

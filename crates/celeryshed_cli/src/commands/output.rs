//! Standard output of commands.

use std::io::Write;

use eyre::{Result, WrapErr};

/// Writes text to standard output; a closed pipe is reported as an error.
pub(crate) fn print(text: &str) -> Result<()> {
    let mut output = std::io::stdout().lock();
    output.write_all(text.as_bytes()).wrap_err("standard output can't be written")?;
    output.flush().wrap_err("standard output can't be written")
}

/// Aligns rows in columns; the first row is the header.
pub(crate) fn align(rows: &[Vec<String>]) -> String {
    let columns = rows.iter().map(Vec::len).max().unwrap_or(0);
    let width = |column: usize| {
        rows.iter().filter_map(|row| row.get(column)).map(|cell| cell.chars().count()).max()
    };
    let widths: Vec<usize> = (0..columns).map(|column| width(column).unwrap_or(0)).collect();
    let mut text = String::new();
    for row in rows {
        let cells: Vec<String> =
            row.iter().zip(&widths).map(|(cell, width)| format!("{cell:<width$}")).collect();
        text.push_str(cells.join("  ").trim_end());
        text.push('\n');
    }
    text
}

//! Answers as an operator reads them.

use std::io::{self, Write};

use eyre::Result;

use crate::Format;
use crate::client::{Problem, Reply};

/// Writes an answer to standard output.
pub(crate) fn show(reply: &Reply, format: Format) -> Result<()> {
    let mut out = io::stdout().lock();
    match (format, reply) {
        (Format::Json, reply) => writeln!(out, "{}", serde_json::to_string(reply)?)?,
        (Format::Table, Reply::Table(table)) => {
            let mut shown = comfy_table::Table::new();
            shown.load_preset(comfy_table::presets::NOTHING);
            shown.set_header(&table.columns);
            for row in &table.rows {
                shown.add_row(row);
            }
            writeln!(out, "{}", shown.trim_fmt())?;
            let rows = table.rows.len();
            writeln!(out, "{rows} row{}", if rows == 1 { "" } else { "s" })?;
        }
        (Format::Table, Reply::Accepted { revision }) => {
            writeln!(out, "accepted at revision {revision}")?;
        }
        (Format::Table, Reply::Valid { changes, revision }) => {
            writeln!(out, "valid on revision {revision}: {changes} to make, nothing changed")?;
        }
    }
    Ok(())
}

/// Writes a refusal to standard error.
pub(crate) fn show_problem(problem: &Problem, format: Format) -> Result<()> {
    let mut out = io::stderr().lock();
    if format == Format::Json {
        writeln!(out, "{}", serde_json::to_string(problem)?)?;
        return Ok(());
    }
    writeln!(out, "error {}: {}: {}", problem.code, problem.title, problem.detail)?;
    if let Some(ms) = problem.retry_after_ms {
        writeln!(out, "try again in {} s", ms.div_ceil(1_000))?;
    }
    Ok(())
}

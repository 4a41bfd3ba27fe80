//! Output of replies and errors.

use std::io::{self, Write};

use eyre::Result;

use crate::Format;
use crate::client::{Problem, Reply};

/// Writes a reply to standard output.
pub(crate) fn print_reply(reply: &Reply, format: Format) -> Result<()> {
    let mut out = io::stdout().lock();
    match (format, reply) {
        (Format::Json, reply) => writeln!(out, "{}", serde_json::to_string(reply)?)?,
        (Format::Table, Reply::Table(table)) => {
            let mut text_table = comfy_table::Table::new();
            text_table.load_preset(comfy_table::presets::NOTHING);
            text_table.set_header(&table.columns);
            for row in &table.rows {
                text_table.add_row(row);
            }
            writeln!(out, "{}", text_table.trim_fmt())?;
            let rows = table.rows.len();
            writeln!(out, "{rows} row{}", if rows == 1 { "" } else { "s" })?;
        }
        (Format::Table, Reply::Accepted { revision }) => {
            writeln!(out, "accepted at revision {revision}")?;
        }
        (Format::Table, Reply::Valid { changes, revision }) => {
            writeln!(out, "valid on revision {revision}: {changes} to apply, nothing was changed")?;
        }
    }
    Ok(())
}

/// Writes an error response to standard error.
pub(crate) fn print_problem(problem: &Problem, format: Format) -> Result<()> {
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

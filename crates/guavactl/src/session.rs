//! Sequential execution of statements.

use std::io::Read;
use std::path::Path;
use std::process::ExitCode;

use eyre::{Context, Result};
use rustyline::DefaultEditor;
use rustyline::error::ReadlineError;

use crate::Format;
use crate::client::Client;
use crate::output::{print_problem, print_reply};

const PROMPT: &str = "guavactl> ";

/// Runs statements on one gateway and records whether one failed.
pub(crate) struct Session {
    client: Client,
    format: Format,
    failed: bool,
}

impl Session {
    pub(crate) fn new(client: Client, format: Format) -> Self {
        Session { client, format, failed: false }
    }

    /// Runs statements and stops at the first failure.
    pub(crate) async fn run_all(&mut self, statements: &[String]) -> Result<ExitCode> {
        for statement in statements {
            self.run(statement).await?;
            if self.failed {
                return Ok(ExitCode::FAILURE);
            }
        }
        Ok(ExitCode::SUCCESS)
    }

    pub(crate) async fn run_file(&mut self, path: &Path) -> Result<ExitCode> {
        let text = std::fs::read_to_string(path).wrap_err_with(|| path.display().to_string())?;
        self.run_all(&statements(&text)).await
    }

    pub(crate) async fn run_stdin(&mut self) -> Result<ExitCode> {
        let mut text = String::new();
        std::io::stdin().read_to_string(&mut text)?;
        self.run_all(&statements(&text)).await
    }

    /// Runs the statements typed at a prompt; continues after a failure.
    pub(crate) async fn run_prompt(&mut self) -> Result<ExitCode> {
        let mut editor = DefaultEditor::new()?;
        loop {
            match editor.readline(PROMPT) {
                Ok(line) if line.trim().is_empty() => {}
                Ok(line) => {
                    editor.add_history_entry(&line)?;
                    self.run(&line).await?;
                }
                Err(ReadlineError::Eof | ReadlineError::Interrupted) => {
                    return Ok(ExitCode::SUCCESS);
                }
                Err(e) => return Err(e.into()),
            }
        }
    }

    async fn run(&mut self, statement: &str) -> Result<()> {
        match self.client.execute(statement).await? {
            Ok(reply) => print_reply(&reply, self.format),
            Err(problem) => {
                self.failed = true;
                print_problem(&problem, self.format)
            }
        }
    }
}

/// Splits a text into statements: one per line, without blank lines and `#` comment lines.
fn statements(text: &str) -> Vec<String> {
    let lines = text.lines().map(str::trim);
    lines.filter(|line| !line.is_empty() && !line.starts_with('#')).map(str::to_owned).collect()
}

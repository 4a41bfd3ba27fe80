//! Command that runs scenario files against the real binaries.

use std::path::PathBuf;
use std::process::ExitCode;

use clap::Parser;
use eyre::{Context, Result};
use guavaspread_scenario::{Script, run};

/// Runs scenario files against the real binaries, on loopback.
#[derive(Parser)]
#[command(name = "guavaspread-scenario", version)]
struct Args {
    /// Scenario files, run one after the other.
    #[arg(required = true)]
    files: Vec<PathBuf>,
}

fn main() -> Result<ExitCode> {
    let mut failed = false;
    for file in Args::parse().files {
        let text = std::fs::read_to_string(&file).wrap_err_with(|| file.display().to_string())?;
        match Script::parse(&text).map_err(eyre::Report::from).and_then(|script| run(&script)) {
            Ok(()) => eprintln!("{}: passed", file.display()),
            Err(e) => {
                failed = true;
                eprintln!("{}: FAILED: {e:#}", file.display());
            }
        }
    }
    Ok(if failed { ExitCode::FAILURE } else { ExitCode::SUCCESS })
}

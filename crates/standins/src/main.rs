//! Runs the stand-ins that a TOML file describes, until it is stopped.

use std::path::PathBuf;

use clap::Parser;
use eyre::{Context, Result};
use guavaspread_standins::StandInSettings;

/// Stands in for the platform, engines and services.
#[derive(Parser)]
#[command(version)]
struct Args {
    /// The file that describes the stand-ins.
    settings: PathBuf,
}

fn main() -> Result<()> {
    let args = Args::parse();
    let text = std::fs::read_to_string(&args.settings)
        .wrap_err_with(|| args.settings.display().to_string())?;
    let cfg: StandInSettings =
        toml::from_str(&text).wrap_err_with(|| args.settings.display().to_string())?;
    cfg.spawn()?;
    loop {
        std::thread::park();
    }
}

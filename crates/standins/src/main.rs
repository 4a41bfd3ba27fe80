//! Runs the stand-ins described by a TOML file until the process is stopped.

use std::path::PathBuf;

use clap::Parser;
use eyre::{Context, Result};
use guavaspread_standins::StandInSettings;

/// Runs stand-ins for the platform, engines and services.
#[derive(Parser)]
#[command(version)]
struct Args {
    /// TOML file with the settings of the stand-ins.
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

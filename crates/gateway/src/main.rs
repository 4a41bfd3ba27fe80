//! The gateway's command line.

use std::path::PathBuf;
use std::process::ExitCode;

use clap::Parser;
use eyre::Result;
use guavaspread_control::stop_on_signals;
use guavaspread_settings::GatewaySettings;
use guavaspread_telemetry::{start_logs, start_traces};

const EXIT_BAD_SETTINGS: u8 = 2;

/// Answers callers and operators over HTTP.
#[derive(Parser)]
#[command(name = "guavaspread-gateway", version)]
struct Args {
    /// The settings file.
    #[arg(long)]
    settings: PathBuf,
    /// Check the settings and exit.
    #[arg(long)]
    check: bool,
}

fn main() -> Result<ExitCode> {
    let args = Args::parse();
    let checked = GatewaySettings::read(&args.settings)
        .and_then(|cfg| cfg.tls.identity().map(|identity| (cfg, identity)));
    let (cfg, identity) = match checked {
        Ok(checked) => checked,
        Err(e) => {
            eprintln!("{e}");
            return Ok(ExitCode::from(EXIT_BAD_SETTINGS));
        }
    };
    if args.check {
        return Ok(ExitCode::SUCCESS);
    }
    let _logs = start_logs(&cfg.log.level)?;
    let _traces = start_traces("guavaspread-gateway", cfg.trace.otlp)?;
    let system = ntex::rt::System::new("gateway", ntex::rt::DefaultRuntime);
    system.block_on(async move {
        let stop = stop_on_signals()?;
        guavaspread_gateway::run(cfg, identity, stop).await
    })?;
    Ok(ExitCode::SUCCESS)
}

//! Command line of the gateway.

use std::path::PathBuf;
use std::process::ExitCode;

use clap::Parser;
use eyre::Result;
use guavaspread_control::shutdown_on_signals;
use guavaspread_settings::GatewaySettings;
use guavaspread_telemetry::{start_logs, start_traces};

const EXIT_INVALID_SETTINGS: u8 = 2;

/// Serves callers and operators over HTTP.
#[derive(Parser)]
#[command(name = "guavaspread-gateway", version)]
struct Args {
    /// Path of the settings file.
    #[arg(long)]
    settings: PathBuf,
    /// Checks the settings and exits.
    #[arg(long)]
    check: bool,
}

fn main() -> Result<ExitCode> {
    let args = Args::parse();
    let loaded = GatewaySettings::read(&args.settings)
        .and_then(|cfg| cfg.tls.identity().map(|identity| (cfg, identity)));
    let (cfg, identity) = match loaded {
        Ok(loaded) => loaded,
        Err(e) => {
            eprintln!("{e}");
            return Ok(ExitCode::from(EXIT_INVALID_SETTINGS));
        }
    };
    if args.check {
        return Ok(ExitCode::SUCCESS);
    }
    let _logs = start_logs(&cfg.log.level)?;
    let _traces = start_traces("guavaspread-gateway", cfg.trace.otlp)?;
    let system = ntex::rt::System::new("gateway", ntex::rt::DefaultRuntime);
    system.block_on(async move {
        let shutdown = shutdown_on_signals()?;
        guavaspread_gateway::run(cfg, identity, shutdown).await
    })?;
    Ok(ExitCode::SUCCESS)
}

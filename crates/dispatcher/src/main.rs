//! Command line of the dispatcher.

use std::path::PathBuf;
use std::process::ExitCode;

use clap::Parser;
use eyre::Result;
use guavaspread_control::shutdown_on_signals;
use guavaspread_settings::DispatcherSettings;
use guavaspread_telemetry::{start_logs, start_traces};

const EXIT_INVALID_SETTINGS: u8 = 2;

/// Owns engines: queues their requests, loads their adapters and relays their responses.
#[derive(Parser)]
#[command(name = "guavaspread-dispatcher", version)]
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
    let loaded = DispatcherSettings::read(&args.settings)
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
    let _traces = start_traces("guavaspread-dispatcher", cfg.trace.otlp)?;
    let system = ntex::rt::System::new("dispatcher", ntex::rt::DefaultRuntime);
    system.block_on(async move {
        let shutdown = shutdown_on_signals()?;
        guavaspread_dispatcher::run(cfg, identity, shutdown).await
    })?;
    Ok(ExitCode::SUCCESS)
}

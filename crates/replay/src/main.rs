//! Command that generates traces and compares policies on them.

use std::fs::File;
use std::io::{BufReader, BufWriter, Write};
use std::path::PathBuf;

use clap::{Parser, Subcommand, ValueEnum};
use eyre::{Context, Result};
use guavaspread_replay::{
    Deployment, Outcome, PolicyName, Trace, TraceSpec, decision_costs, replay,
};

/// Simulates the placement code on request traces in virtual time.
#[derive(Parser)]
#[command(name = "guavaspread-replay", version)]
struct Args {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Generate a trace and write it to a file.
    Generate {
        /// Sample deployment whose sizes and request mix the trace has.
        #[arg(long, value_enum, default_value_t = Sample::KitaShigoto)]
        deployment: Sample,
        /// Seed of the random number generator.
        #[arg(long, default_value_t = 1)]
        seed: u64,
        /// Inject an engine restart, a slow weight store and unreachable engines.
        #[arg(long)]
        failures: bool,
        /// Output file.
        out: PathBuf,
    },
    /// Replay a trace under every policy.
    Compare {
        /// Print JSON, one line for each policy.
        #[arg(long)]
        json: bool,
        /// Trace file.
        trace: PathBuf,
    },
    /// Measure single decisions at several sizes.
    Decisions,
    /// Generate a trace in memory for each seed, and replay it under every policy.
    Sample {
        /// Sample deployment whose sizes and request mix the trace has.
        #[arg(long, value_enum, default_value_t = Sample::KitaShigoto)]
        deployment: Sample,
        /// Seeds of the random number generator.
        #[arg(long, value_delimiter = ',', default_value = "1,2,3")]
        seeds: Vec<u64>,
        /// Inject an engine restart, a slow weight store and unreachable engines.
        #[arg(long)]
        failures: bool,
        /// Average number of requests a second.
        #[arg(long)]
        rate: Option<f64>,
        /// Print JSON, one line for each policy.
        #[arg(long)]
        json: bool,
    },
}

#[derive(Clone, Copy, Debug, ValueEnum)]
enum Sample {
    KitaShigoto,
    DopravniSmeny,
}

impl From<Sample> for Deployment {
    fn from(sample: Sample) -> Self {
        match sample {
            Sample::KitaShigoto => Deployment::KitaShigoto,
            Sample::DopravniSmeny => Deployment::DopravniSmeny,
        }
    }
}

fn main() -> Result<()> {
    match Args::parse().command {
        Command::Generate { deployment, seed, failures, out } => {
            let spec = TraceSpec { failures, ..TraceSpec::for_deployment(deployment.into(), seed) };
            let file = File::create(&out).wrap_err_with(|| out.display().to_string())?;
            Trace::generate(spec)?.write(BufWriter::new(file))?;
            Ok(())
        }
        Command::Compare { json, trace } => {
            let file = File::open(&trace).wrap_err_with(|| trace.display().to_string())?;
            compare(&Trace::read(BufReader::new(file))?, json)
        }
        Command::Decisions => {
            let mut out = std::io::stdout().lock();
            for cost in decision_costs()? {
                writeln!(out, "{} {}: {:?}", cost.decision, cost.size, cost.time)?;
            }
            Ok(())
        }
        Command::Sample { deployment, seeds, failures, rate, json } => {
            for seed in seeds {
                let mut spec =
                    TraceSpec { failures, ..TraceSpec::for_deployment(deployment.into(), seed) };
                spec.rate = rate.unwrap_or(spec.rate);
                writeln!(std::io::stdout(), "seed {seed}")?;
                compare(&Trace::generate(spec)?, json)?;
            }
            Ok(())
        }
    }
}

fn compare(trace: &Trace, json: bool) -> Result<()> {
    let outcomes: Vec<Outcome> =
        PolicyName::ALL.iter().map(|policy| replay(trace, *policy)).collect();
    let mut out = std::io::stdout().lock();
    if json {
        for outcome in &outcomes {
            writeln!(out, "{}", serde_json::to_string(outcome)?)?;
        }
        return Ok(());
    }
    let mut table = comfy_table::Table::new();
    table.load_preset(comfy_table::presets::NOTHING);
    table.set_header([
        "policy",
        "stalls",
        "wait p95 ms",
        "batch",
        "refused",
        "late",
        "worth",
        "loads",
    ]);
    for o in &outcomes {
        table.add_row([
            o.policy.clone(),
            format!("{:.4}", o.stall_share),
            o.wait_p95_ms.to_string(),
            format!("{:.4}", o.batch_efficiency),
            o.refused.to_string(),
            o.late.to_string(),
            format!("{:.4}", o.worth_share),
            o.loads.to_string(),
        ]);
    }
    writeln!(out, "{}", table.trim_fmt())?;
    Ok(())
}

//! Generates traces, and replays them under several policies side by side.

use std::fs::File;
use std::io::{BufReader, BufWriter, Write};
use std::path::PathBuf;

use clap::{Parser, Subcommand, ValueEnum};
use eyre::{Context, Result};
use guavaspread_replay::{
    Deployment, Outcome, PolicyName, Trace, TraceSpec, decision_costs, replay,
};

/// Replays traces through the decision code in virtual time.
#[derive(Parser)]
#[command(name = "guavaspread-replay", version)]
struct Args {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Write a trace.
    Generate {
        /// Whose sizes and mix it has.
        #[arg(long, value_enum, default_value_t = Sample::KitaShigoto)]
        deployment: Sample,
        /// The seed.
        #[arg(long, default_value_t = 1)]
        seed: u64,
        /// Have an engine restart, the store slow down and engines go away.
        #[arg(long)]
        failures: bool,
        /// The file to write.
        out: PathBuf,
    },
    /// Replay a trace under every policy.
    Compare {
        /// Write JSON, a line for each policy.
        #[arg(long)]
        json: bool,
        /// The trace.
        trace: PathBuf,
    },
    /// Time single decisions at several sizes.
    Decisions,
    /// Generate a trace in memory for each seed, and replay it under every policy.
    Sample {
        /// Whose sizes and mix it has.
        #[arg(long, value_enum, default_value_t = Sample::KitaShigoto)]
        deployment: Sample,
        /// The seeds.
        #[arg(long, value_delimiter = ',', default_value = "1,2,3")]
        seeds: Vec<u64>,
        /// Have an engine restart, the store slow down and engines go away.
        #[arg(long)]
        failures: bool,
        /// Requests a second.
        #[arg(long)]
        rate: Option<f64>,
        /// Write JSON, a line for each policy.
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
            let spec = TraceSpec { failures, ..TraceSpec::today(deployment.into(), seed) };
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
                let mut spec = TraceSpec { failures, ..TraceSpec::today(deployment.into(), seed) };
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

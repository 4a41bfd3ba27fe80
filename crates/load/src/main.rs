//! An open-loop load generator: streams through a gateway, and the same work
//! straight to an engine for comparison.

mod report;
mod stream;

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use clap::Parser;
use eyre::{Result, ensure};
use futures::future::join_all;
use ntex::client::{Client, Connector};
use ntex::time::{Millis, sleep};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use rand_distr::{Distribution, Exp, Zipf};

use crate::report::Report;
use crate::stream::{Target, run_stream};

/// Sends streams at a steady rate, whether or not earlier ones have ended.
#[derive(Parser)]
#[command(name = "guavaspread-load", version)]
struct Args {
    /// A gateway's address; may be given several times.
    #[arg(long, required = true)]
    gateway: Vec<SocketAddr>,
    /// An engine's address, for the same work without the system.
    #[arg(long)]
    engine: Option<SocketAddr>,
    /// The bearer key.
    #[arg(long, env = "GUAVASPREAD_KEY", hide_env_values = true)]
    key: String,
    /// The adapters, with `{}` for a number, as in `organisation/office-{}@1`.
    #[arg(long)]
    model: String,
    /// How many adapters there are; the number has four digits.
    #[arg(long, default_value_t = 1)]
    adapters: u32,
    /// The exponent of their popularity.
    #[arg(long, default_value_t = 1.0)]
    zipf: f64,
    /// Requests a second.
    #[arg(long, default_value_t = 20.0)]
    rate: f64,
    /// Requests in all.
    #[arg(long, default_value_t = 500)]
    count: u32,
    /// Tokens of each answer.
    #[arg(long, default_value_t = 32)]
    tokens: u32,
    /// The seed of arrivals and adapters.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Write JSON.
    #[arg(long)]
    json: bool,
}

fn main() -> Result<()> {
    let args = Args::parse();
    ensure!(args.rate > 0.0 && args.count > 0, "`--rate` and `--count` must be above 0");
    let system = ntex::rt::System::new("load", ntex::rt::DefaultRuntime);
    system.block_on(run(args))
}

async fn run(args: Args) -> Result<()> {
    let through = run_load(&args, &args.gateway, false).await?;
    through.show("through the gateway", args.json)?;
    if let Some(engine) = args.engine {
        let direct = run_load(&args, &[engine], true).await?;
        direct.show("straight to the engine", args.json)?;
    }
    Ok(())
}

async fn run_load(args: &Args, addresses: &[SocketAddr], direct: bool) -> Result<Report> {
    // Not 0: see `HttpBackend::new`.
    let connector = Connector::default().limit(usize::MAX);
    let client = Client::builder()
        .connector::<()>(connector)
        .disable_timeout()
        .response_payload_timeout(Millis::ZERO)
        .build(ntex::SharedCfg::default())
        .await?;
    let mut rng = ChaCha8Rng::seed_from_u64(args.seed);
    let pauses = Exp::new(args.rate)?;
    let popularity = Zipf::new(f64::from(args.adapters), args.zipf)?;
    let report = Rc::new(RefCell::new(Report::default()));
    let mut running = Vec::new();
    let (mut due, started) = (Duration::ZERO, Instant::now());
    for index in 0..args.count {
        due += Duration::from_secs_f64(pauses.sample(&mut rng));
        sleep(due.saturating_sub(started.elapsed())).await;
        let number = popularity.sample(&mut rng) as u32 - 1;
        let target = Target {
            url: format!(
                "http://{}/v1/chat/completions",
                addresses[index as usize % addresses.len()]
            ),
            key: (!direct).then(|| args.key.clone()),
            model: args.model.replace("{}", &format!("{number:04}")),
            tokens: args.tokens,
        };
        let (client, report) = (client.clone(), report.clone());
        running.push(ntex::rt::spawn(async move {
            let outcome = run_stream(&client, &target).await;
            report.borrow_mut().add(&outcome);
        }));
    }
    join_all(running).await;
    Ok(report.take())
}

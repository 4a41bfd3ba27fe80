//! Open-loop load generator: sends streamed requests through gateways, and optionally the same load
//! directly to an engine for comparison.

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

/// Sends streamed requests at a fixed average rate, without waiting for earlier requests to end.
#[derive(Parser)]
#[command(name = "guavaspread-load", version)]
struct Args {
    /// Address of a gateway; can be given several times.
    #[arg(long, required = true)]
    gateway: Vec<SocketAddr>,
    /// Address of an engine to which the same load is sent directly for comparison.
    #[arg(long)]
    engine: Option<SocketAddr>,
    /// Bearer key.
    #[arg(long, env = "GUAVASPREAD_KEY", hide_env_values = true)]
    key: String,
    /// Pattern of the adapter versions, with `{}` for a number: `organisation/office-{}@1`.
    #[arg(long)]
    model: String,
    /// Number of adapters; the number in an adapter's name has four digits.
    #[arg(long, default_value_t = 1)]
    adapters: u32,
    /// Exponent of the Zipf distribution of adapter popularity.
    #[arg(long, default_value_t = 1.0)]
    zipf: f64,
    /// Average number of requests a second.
    #[arg(long, default_value_t = 20.0)]
    rate: f64,
    /// Total number of requests.
    #[arg(long, default_value_t = 500)]
    count: u32,
    /// Number of tokens of each response.
    #[arg(long, default_value_t = 32)]
    tokens: u32,
    /// Seed of the arrival times and the choice of adapters.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Print JSON.
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
    let via_gateway = run_load(&args, &args.gateway, false).await?;
    via_gateway.print("through the gateway", args.json)?;
    if let Some(engine) = args.engine {
        let direct = run_load(&args, &[engine], true).await?;
        direct.print("straight to the engine", args.json)?;
    }
    Ok(())
}

async fn run_load(args: &Args, addresses: &[SocketAddr], direct: bool) -> Result<Report> {
    // Not 0 ("no limit"): with 0 the pool never wakes a call that waits while another call opens a
    // connection. See `HttpBackendClient::new`.
    let connector = Connector::default().limit(usize::MAX);
    let client = Client::builder()
        .connector::<()>(connector)
        .disable_timeout()
        .response_payload_timeout(Millis::ZERO)
        .build(ntex::SharedCfg::default())
        .await?;
    let mut rng = ChaCha8Rng::seed_from_u64(args.seed);
    let intervals = Exp::new(args.rate)?;
    let popularity = Zipf::new(f64::from(args.adapters), args.zipf)?;
    let report = Rc::new(RefCell::new(Report::default()));
    let mut tasks = Vec::new();
    let (mut send_at, started_at) = (Duration::ZERO, Instant::now());
    for index in 0..args.count {
        send_at += Duration::from_secs_f64(intervals.sample(&mut rng));
        sleep(send_at.saturating_sub(started_at.elapsed())).await;
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
        tasks.push(ntex::rt::spawn(async move {
            let outcome = run_stream(&client, &target).await;
            report.borrow_mut().add(&outcome);
        }));
    }
    join_all(tasks).await;
    Ok(report.take())
}

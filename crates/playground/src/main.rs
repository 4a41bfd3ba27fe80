//! Runs a whole deployment in one process on loopback, with stand-ins for the platform, the engines
//! and the services.

mod deployment;
mod hosts;

use std::io::Write;
use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

use clap::Parser;
use eyre::{Result, ensure, eyre};
use guavaspread_control::{shutdown_channel, shutdown_on_signals};
use guavaspread_keys::bearer_key;
use ntex::client::Client;
use ntex::http::StatusCode;
use ntex::time::{Millis, sleep};

use crate::deployment::Deployment;
use crate::hosts::{Playground, start};

const READY_POLL_INTERVAL: Duration = Duration::from_millis(100);
const READY_ATTEMPTS_MAX: u32 = 200;
const CHANGE_TIMEOUT: Millis = Millis(30_000);
/// Time that the daemons get to shut down before the process exits.
const SHUTDOWN_DURATION: Duration = Duration::from_millis(500);

/// Runs a whole deployment in one process on loopback.
#[derive(Parser)]
#[command(name = "guavaspread-playground", version)]
struct Args {
    /// Sample deployment.
    #[arg(long, value_enum, default_value_t = Deployment::KitaShigoto)]
    deployment: Deployment,
    /// Port of the first gateway; 0 chooses a free port.
    #[arg(long, default_value_t = 8080)]
    port: u16,
    /// Number of declared adapters.
    #[arg(long, default_value_t = 3_000)]
    adapters: u32,
    /// Time between tokens, in milliseconds.
    #[arg(long, default_value_t = 5)]
    token_ms: u32,
    /// Log level.
    #[arg(long, default_value = "warn")]
    log: String,
}

fn main() -> Result<()> {
    let args = Args::parse();
    let _logs = guavaspread_telemetry::start_logs(&args.log)?;
    let system = ntex::rt::System::new("playground", ntex::rt::DefaultRuntime);
    system.block_on(run(args))
}

async fn run(args: Args) -> Result<()> {
    let mut signals = shutdown_on_signals()?;
    let (shutdown_sender, shutdown) = shutdown_channel();
    let operator_key = bearer_key("operator");
    let playground = start(args.deployment, args.port, args.token_ms, &operator_key, &shutdown)?;
    let caller_key = bearer_key(args.deployment.organisation());
    declare_sample(&playground, &operator_key, &args, &caller_key).await?;
    print_usage(&playground, &operator_key, &args, &caller_key)?;
    signals.requested().await;
    // Sending fails if every daemon has already exited; then there is nothing to stop.
    let _ = shutdown_sender.send(true);
    sleep(SHUTDOWN_DURATION).await;
    Ok(())
}

/// Declares the sample configuration over the operator API once the first gateway is ready.
async fn declare_sample(
    playground: &Playground,
    operator_key: &str,
    args: &Args,
    caller_key: &str,
) -> Result<()> {
    let client = Client::new().await;
    let ready = format!("http://{}/readyz", playground.gateway);
    for _ in 0..READY_ATTEMPTS_MAX {
        if client.get(&ready).send().await.is_ok_and(|res| res.status().is_success()) {
            break;
        }
        sleep(READY_POLL_INTERVAL).await;
    }
    let changes = args.deployment.changes(caller_key, args.adapters)?;
    let url = format!("http://{}/operator/changes", playground.gateway);
    let req = client.post(url).bearer_auth(operator_key).timeout(CHANGE_TIMEOUT);
    let res = req
        .send_json(&changes)
        .await
        .map_err(|e| eyre!("request to the first gateway failed: {e}"))?;
    let body =
        res.body().await.map_err(|e| eyre!("response of the first gateway is incomplete: {e}"))?;
    ensure!(
        res.status() == StatusCode::OK,
        "the gateway rejected the sample configuration: {}",
        String::from_utf8_lossy(&body)
    );
    Ok(())
}

/// Prints the addresses, the keys and example commands.
fn print_usage(
    playground: &Playground,
    operator_key: &str,
    args: &Args,
    caller_key: &str,
) -> Result<()> {
    let gateway = playground.gateway;
    let organisation = args.deployment.organisation();
    let service = args.deployment.service();
    let mut out = std::io::stdout().lock();
    writeln!(
        out,
        r#"guavaspread playground: {organisation}, {} entry hosts, {} engines, {} adapters
gateway  http://{gateway}
key      {caller_key}
operator {operator_key}

curl -N http://{gateway}/v1/chat/completions -H 'Authorization: Bearer {caller_key}' -H 'Content-Type: application/json' -d '{{"model":"{organisation}/office-0000@1","messages":[{{"role":"user","content":"hello"}}],"stream":true}}'

curl http://{gateway}/services/{service}/confirm -H 'Authorization: Bearer {caller_key}' -H 'Content-Type: application/json' -H 'Idempotency-Key: first' -d '{{"booking":"first"}}'

cargo run -q -p guavactl -- query --gateway {gateway} --key {operator_key} -e 'show loaded'

Stop with Ctrl-C."#,
        playground.entry_hosts, playground.engines, args.adapters,
    )?;
    out.flush()?;
    Ok(())
}

/// Returns the loopback address with `port`.
pub(crate) fn loopback(port: u16) -> SocketAddr {
    SocketAddr::from((Ipv4Addr::LOCALHOST, port))
}

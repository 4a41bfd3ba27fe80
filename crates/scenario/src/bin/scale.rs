//! Measures the resource use of idle daemons by deployment size and configuration size.

use std::fs;
use std::io::Write;
use std::thread::sleep;
use std::time::Duration;

use clap::Parser;
use eyre::{Result, ensure, eyre};
use guavaspread_model::Name;
use guavaspread_scenario::{Fleet, FleetSpec, RunningProcess, ZoneSpec, declare_sample};
use serde_json::{Value, json};

const SETTLE_DURATION: Duration = Duration::from_secs(15);
/// Clock ticks in a second; `/proc/PID/stat` gives processor times in ticks.
const TICKS_PER_SECOND: f64 = 100.0;

/// Measures the processor time, memory, loopback traffic and table calls of idle daemons.
#[derive(Parser)]
#[command(name = "scale", version)]
struct Args {
    /// Numbers of entry hosts in the zone, one run for each number.
    #[arg(long, value_delimiter = ',', default_value = "2,4,8")]
    hosts: Vec<usize>,
    /// Numbers of declared adapters, one run for each number.
    #[arg(long, value_delimiter = ',', default_value = "0")]
    adapters: Vec<u32>,
    /// Duration of each measurement, in seconds.
    #[arg(long, default_value_t = 20)]
    seconds: u64,
}

/// The relays of the deployment send every byte over loopback a second time.
const RELAY_BYTE_FACTOR: f64 = 2.0;

#[derive(Default)]
struct Usage {
    ticks: f64,
    memory_kib: f64,
}

fn main() -> Result<()> {
    let args = Args::parse();
    let mut out = std::io::stdout().lock();
    writeln!(
        out,
        "hosts adapters | gateway: % core, MiB | dispatcher: % core, MiB | entry host: B/s | reads/s commits/s"
    )?;
    for hosts in &args.hosts {
        for adapters in &args.adapters {
            writeln!(out, "{}", measure(*hosts, *adapters, args.seconds)?)?;
        }
    }
    Ok(())
}

fn measure(hosts: usize, adapters: u32, seconds: u64) -> Result<String> {
    let zones = vec![ZoneSpec { name: "sapporo", entry_hosts: hosts, engines: hosts }];
    let fleet = Fleet::start(&FleetSpec { zones, ..FleetSpec::default() })?;
    declare_sample(&fleet)?;
    declare_adapters(&fleet, adapters)?;
    sleep(SETTLE_DURATION);
    let processes = fleet.processes();
    let before = (usage(&processes, "gateway")?, usage(&processes, "dispatcher")?);
    let (bytes, stats) = (loopback_bytes()?, fleet.platform.stats());
    sleep(Duration::from_secs(seconds));
    let after = (usage(&processes, "gateway")?, usage(&processes, "dispatcher")?);
    let (bytes, after_stats) = (loopback_bytes()? - bytes, fleet.platform.stats());
    let (n, s) = (hosts as f64, seconds as f64);
    let core = |a: &Usage, b: &Usage| (b.ticks - a.ticks) / TICKS_PER_SECOND / s / n * 100.0;
    Ok(format!(
        "{hosts:5} {adapters:8} | {:.2} {:.1} | {:.2} {:.1} | {:.0} | {:.1} {:.1}",
        core(&before.0, &after.0),
        after.0.memory_kib / n / 1024.0,
        core(&before.1, &after.1),
        after.1.memory_kib / n / 1024.0,
        bytes / s / n / RELAY_BYTE_FACTOR,
        (after_stats.reads - stats.reads) as f64 / s,
        (after_stats.commits - stats.commits) as f64 / s,
    ))
}

/// Registers adapters in one request.
fn declare_adapters(fleet: &Fleet, adapters: u32) -> Result<()> {
    if adapters == 0 {
        return Ok(());
    }
    let mut changes = Vec::new();
    for index in 0..adapters {
        let adapter = format!("scale-{index:06}");
        changes.push(json!({"register-adapter": {
            "organisation": "kita-shigoto", "adapter": adapter, "base": "base", "class": null,
        }}));
        let adapter = format!("kita-shigoto/{adapter}@1");
        changes.push(json!({"register-version": {"adapter": adapter}}));
    }
    let host: Name = fleet.entry_host_name(0)?;
    let reply = fleet.operator(&host)?.submit_changes(&Value::Array(changes))?;
    ensure!(reply.status == 200, "the gateway rejected the adapters: {reply:?}");
    fleet.wait_for_revision(reply.body["revision"].as_u64().unwrap_or(0))
}

/// Returns the total processor time and resident memory of the processes called `name`.
fn usage(processes: &[RunningProcess], name: &str) -> Result<Usage> {
    let mut sum = Usage::default();
    for process in processes.iter().filter(|process| process.name == name) {
        let stat = fs::read_to_string(format!("/proc/{}/stat", process.pid))?;
        // The command name, in parentheses, may contain spaces.
        let fields: Vec<&str> = stat.rsplit(')').next().unwrap_or("").split_whitespace().collect();
        let field = |index: usize| fields.get(index).and_then(|text| text.parse::<f64>().ok());
        sum.ticks += field(11).unwrap_or(0.0) + field(12).unwrap_or(0.0);
        let status = fs::read_to_string(format!("/proc/{}/status", process.pid))?;
        let resident = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
        let resident = resident.and_then(|text| text.split_whitespace().next());
        sum.memory_kib += resident.and_then(|text| text.parse::<f64>().ok()).unwrap_or(0.0);
    }
    Ok(sum)
}

/// Returns the number of bytes received on loopback.
fn loopback_bytes() -> Result<f64> {
    let table = fs::read_to_string("/proc/net/dev")?;
    let line = table.lines().find_map(|line| line.trim().strip_prefix("lo:"));
    let bytes = line.and_then(|line| line.split_whitespace().next());
    bytes
        .and_then(|text| text.parse().ok())
        .ok_or_else(|| eyre!("/proc/net/dev has no counters of the interface `lo`"))
}

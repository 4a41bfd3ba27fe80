//! Measures what idle daemons cost as their number and the configuration grow.

use std::fs;
use std::io::Write;
use std::thread::sleep;
use std::time::Duration;

use clap::Parser;
use eyre::{Result, ensure, eyre};
use guavaspread_model::Name;
use guavaspread_scenario::{Fleet, FleetSpec, RunningProcess, ZoneSpec, declare};
use serde_json::{Value, json};

const SETTLE_TIME: Duration = Duration::from_secs(15);
/// The unit of processor times in the process table.
const TICKS_PER_SECOND: f64 = 100.0;

/// Measures idle daemons: processor time, memory, bytes on loopback, table calls.
#[derive(Parser)]
#[command(name = "scale", version)]
struct Args {
    /// Entry hosts of one zone, a run for each.
    #[arg(long, value_delimiter = ',', default_value = "2,4,8")]
    hosts: Vec<usize>,
    /// Adapters declared, a run for each.
    #[arg(long, value_delimiter = ',', default_value = "0")]
    adapters: Vec<u32>,
    /// How long each run is measured, in seconds.
    #[arg(long, default_value_t = 20)]
    seconds: u64,
}

/// The runner's relays carry every byte a second time.
const RELAY_COPIES: f64 = 2.0;

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
        "hosts adapters | gateway: % core, MiB | dispatcher: % core, MiB | node: B/s | reads/s commits/s"
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
    declare(&fleet)?;
    declare_adapters(&fleet, adapters)?;
    sleep(SETTLE_TIME);
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
        bytes / s / n / RELAY_COPIES,
        (after_stats.reads - stats.reads) as f64 / s,
        (after_stats.commits - stats.commits) as f64 / s,
    ))
}

/// Registers adapters, in one change.
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
    let host: Name = fleet.entry_host(0)?;
    let reply = fleet.operator(&host)?.change(&Value::Array(changes))?;
    ensure!(reply.status == 200, "{reply:?}");
    fleet.wait_revision(reply.body["revision"].as_u64().unwrap_or(0))
}

/// Adds up the processor time and resident memory of the processes of one name.
fn usage(processes: &[RunningProcess], name: &str) -> Result<Usage> {
    let mut sum = Usage::default();
    for process in processes.iter().filter(|process| process.name == name) {
        let stat = fs::read_to_string(format!("/proc/{}/stat", process.pid))?;
        // The command's name, in parentheses, may hold spaces.
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

fn loopback_bytes() -> Result<f64> {
    let table = fs::read_to_string("/proc/net/dev")?;
    let line = table.lines().find_map(|line| line.trim().strip_prefix("lo:"));
    let bytes = line.and_then(|line| line.split_whitespace().next());
    bytes.and_then(|text| text.parse().ok()).ok_or_else(|| eyre!("no loopback counters"))
}

//! A deployment of real processes and stand-ins.

use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddr};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use eyre::{Context, Result, eyre};
use guavaspread_keys::Authority;
use guavaspread_model::{Host, HostKind, HostState, KeyHash, Name};
use guavaspread_standins::{
    BookingStandIn, EngineSpec, EngineStandIn, PlatformSpec, PlatformStandIn, built_binary,
    ephemeral_address, free_address,
};
use serde_json::Value;
use tempfile::TempDir;

use crate::caller::Caller;
use crate::relay::{Cuts, relay_tcp, relay_udp};

const OPERATOR_KEY: &str = "operator-key-of-a-test";
const START_TIMEOUT: Duration = Duration::from_secs(20);
/// In force everywhere within this time, for two years' size as for today's.
const IN_FORCE_TIMEOUT: Duration = Duration::from_secs(11);
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Describes one availability zone.
#[derive(Clone, Debug)]
pub struct ZoneSpec {
    /// The zone's name.
    pub name: &'static str,
    /// How many entry hosts it has.
    pub entry_hosts: usize,
    /// How many engines it has.
    pub engines: usize,
}

/// Describes a deployment.
#[derive(Clone, Debug)]
pub struct FleetSpec {
    /// The zones.
    pub zones: Vec<ZoneSpec>,
    /// The size of each engine.
    pub engine: EngineSpec,
    /// The size of the weight store.
    pub platform: PlatformSpec,
    /// How many booking applications there are, in the first zone.
    pub bookings: usize,
    /// The log level of the daemons.
    pub log: &'static str,
}

impl Default for FleetSpec {
    fn default() -> Self {
        FleetSpec {
            zones: vec![ZoneSpec { name: "sapporo", entry_hosts: 1, engines: 1 }],
            engine: EngineSpec::default(),
            platform: PlatformSpec::default(),
            bookings: 0,
            log: "warn",
        }
    }
}

/// Names a running process.
#[derive(Clone, Copy, Debug)]
pub struct RunningProcess {
    /// Which daemon it is.
    pub name: &'static str,
    /// Its process id.
    pub pid: u32,
}

/// Knows one entry host: its settings files and its processes.
pub struct EntryHost {
    /// Its availability zone.
    pub zone: Name,
    /// Where callers reach its gateway.
    pub gateway: SocketAddr,
    /// Where its dispatcher serves metrics.
    pub dispatcher_http: SocketAddr,
    gateway_settings: PathBuf,
    dispatcher_settings: PathBuf,
    processes: BTreeMap<&'static str, Child>,
}

/// Holds a running deployment; dropping it ends every process.
pub struct Fleet {
    /// The platform.
    pub platform: PlatformStandIn,
    /// The engines by name.
    pub engines: BTreeMap<Name, EngineStandIn>,
    /// The booking application; all its servers share one log.
    pub booking: BookingStandIn,
    /// What the platform lists.
    pub hosts: Vec<Host>,
    /// The entry hosts by name.
    pub entry_hosts: BTreeMap<Name, EntryHost>,
    /// What is cut off from what.
    pub cuts: Cuts,
    _dir: TempDir,
}

impl Fleet {
    /// Starts the stand-ins, writes settings and starts every daemon.
    ///
    /// # Errors
    ///
    /// Fails when something does not start in time.
    pub fn start(spec: &FleetSpec) -> Result<Self> {
        let mut fleet = Fleet::prepare(spec)?;
        let names: Vec<Name> = fleet.entry_hosts.keys().cloned().collect();
        for name in &names {
            fleet.start_process(name, "dispatcher")?;
            fleet.start_process(name, "gateway")?;
        }
        fleet.wait_ready()?;
        Ok(fleet)
    }

    /// Starts the stand-ins and writes settings, without starting a daemon.
    ///
    /// # Errors
    ///
    /// Fails when an address or a file can't be had.
    pub fn prepare(spec: &FleetSpec) -> Result<Self> {
        let dir = tempfile::tempdir()?;
        let platform = PlatformStandIn::new(spec.platform, Vec::new());
        let platform_address = platform.spawn(ephemeral_address())?;
        let authority = Authority::generate()?;
        std::fs::write(dir.path().join("authority.pem"), authority.pem().certificate)?;
        let mut fleet = Fleet {
            platform,
            engines: BTreeMap::new(),
            booking: BookingStandIn::default(),
            hosts: Vec::new(),
            entry_hosts: BTreeMap::new(),
            cuts: Cuts::default(),
            _dir: dir,
        };
        for zone in &spec.zones {
            fleet.add_zone(zone, spec, platform_address, &authority)?;
        }
        if let Some(zone) = spec.zones.first() {
            for index in 0..spec.bookings {
                let address = fleet.booking.spawn(ephemeral_address())?;
                let kind = HostKind::Service(Name::new("booking")?);
                let name = format!("{}-booking-{index}", zone.name);
                fleet.list(&name, Name::new(zone.name)?, kind, address)?;
            }
        }
        fleet.platform.set_hosts(fleet.hosts.clone());
        Ok(fleet)
    }

    /// Starts a process of an entry host.
    ///
    /// # Errors
    ///
    /// Fails when the binary can't be started.
    pub fn start_process(&mut self, host: &Name, process: &'static str) -> Result<()> {
        let entry_host = self.entry_host_mut(host)?;
        let settings = match process {
            "gateway" => &entry_host.gateway_settings,
            _ => &entry_host.dispatcher_settings,
        };
        let binary = built_binary(&format!("guavaspread-{process}"))?;
        let child = Command::new(binary)
            .arg("--settings")
            .arg(settings)
            .stdin(Stdio::null())
            .spawn()
            .wrap_err_with(|| format!("starting {process}"))?;
        entry_host.processes.insert(process, child);
        Ok(())
    }

    /// Kills a process at once.
    ///
    /// # Errors
    ///
    /// Fails when there is no such process.
    pub fn kill(&mut self, host: &Name, process: &'static str) -> Result<()> {
        let mut child = self.take_process(host, process)?;
        child.kill()?;
        child.wait()?;
        Ok(())
    }

    /// Sends a signal to a process, by the name that `kill` gives it.
    ///
    /// # Errors
    ///
    /// Fails when there is no such process.
    pub fn signal(&mut self, host: &Name, process: &'static str, signal: &str) -> Result<()> {
        let entry_host = self.entry_host_mut(host)?;
        let child = entry_host.processes.get(process);
        let child = child.ok_or_else(|| eyre!("{host} runs no {process}"))?;
        let pid = child.id().to_string();
        let status = Command::new("kill").arg(format!("-{signal}")).arg(pid).status()?;
        status.success().then_some(()).ok_or_else(|| eyre!("no signal to {process} on {host}"))
    }

    /// Waits until a process has ended by itself, and tells whether it succeeded.
    ///
    /// # Errors
    ///
    /// Fails when it has not ended in time.
    pub fn wait_end(
        &mut self,
        host: &Name,
        process: &'static str,
        limit: Duration,
    ) -> Result<bool> {
        let mut child = self.take_process(host, process)?;
        let until = Instant::now() + limit;
        while Instant::now() < until {
            if let Some(status) = child.try_wait()? {
                return Ok(status.success());
            }
            std::thread::sleep(POLL_INTERVAL);
        }
        child.kill()?;
        Err(eyre!("{process} on {host} did not end in time"))
    }

    /// Waits until every gateway and dispatcher is ready and every engine is owned.
    ///
    /// # Errors
    ///
    /// Fails when that takes too long.
    pub fn wait_ready(&self) -> Result<()> {
        let until = Instant::now() + START_TIMEOUT;
        let addresses =
            self.entry_hosts.values().flat_map(|host| [host.gateway, host.dispatcher_http]);
        for address in addresses {
            wait_until(until, || {
                let url = format!("http://{address}/readyz");
                reqwest::blocking::get(url).is_ok_and(|res| res.status().is_success())
            })
            .wrap_err_with(|| format!("{address} is not ready"))?;
        }
        wait_until(until, || {
            let owned = self
                .engines
                .keys()
                .filter(|e| self.platform.value(&format!("owner/{e}")).is_some());
            owned.count() == self.engines.len()
        })
        .wrap_err("not every engine is owned")
    }

    /// Waits until every gateway and dispatcher has a revision in force.
    ///
    /// # Errors
    ///
    /// Fails when that takes longer than the users' few seconds.
    pub fn wait_revision(&self, revision: u64) -> Result<()> {
        let until = Instant::now() + IN_FORCE_TIMEOUT;
        for host in self.entry_hosts.keys() {
            let operator = self.operator(host)?;
            let in_force = || -> Result<bool> {
                let status: Value = operator.get("/operator/status").send()?.json()?;
                let dispatchers = status["dispatchers"].as_array().cloned().unwrap_or_default();
                let all = dispatchers.iter().chain([&status["gateway"]]);
                let mut revisions = all.map(|process| process["revision"].as_u64().unwrap_or(0));
                Ok(revisions.all(|applied| applied >= revision))
            };
            wait_until(until, || in_force().unwrap_or(false))
                .wrap_err_with(|| format!("revision {revision} is not in force at {host}"))?;
        }
        Ok(())
    }

    /// Returns a caller of one gateway who shows `key`.
    ///
    /// # Errors
    ///
    /// Fails when there is no such host.
    pub fn caller(&self, host: &Name, key: &str) -> Result<Caller> {
        let entry_host = self.entry_hosts.get(host).ok_or_else(|| eyre!("no host {host}"))?;
        Caller::new(entry_host.gateway, key)
    }

    /// Returns an operator at one gateway.
    ///
    /// # Errors
    ///
    /// Fails when there is no such host.
    pub fn operator(&self, host: &Name) -> Result<Caller> {
        self.caller(host, OPERATOR_KEY)
    }

    /// Lists the processes that run, by name and process id.
    pub fn processes(&self) -> Vec<RunningProcess> {
        let hosts = self.entry_hosts.values().flat_map(|host| &host.processes);
        hosts.map(|(name, child)| RunningProcess { name, pid: child.id() }).collect()
    }

    /// Returns the entry host number `index` in name order.
    ///
    /// # Errors
    ///
    /// Fails when there are fewer.
    pub fn entry_host(&self, index: usize) -> Result<Name> {
        let name = self.entry_hosts.keys().nth(index);
        name.cloned().ok_or_else(|| eyre!("there is no entry host {index}"))
    }

    /// Takes a host off the platform's list.
    pub fn unlist(&mut self, host: &Name) {
        self.hosts.retain(|listed| listed.name != *host);
        self.platform.set_hosts(self.hosts.clone());
    }

    /// Finds the entry host that owns an engine, as the table has it.
    ///
    /// # Errors
    ///
    /// Fails when nobody owns it.
    pub fn owner(&self, engine: &Name) -> Result<Name> {
        let row = self.platform.value(&format!("owner/{engine}"));
        let row: Value = serde_json::from_str(&row.ok_or_else(|| eyre!("no owner"))?)?;
        Ok(Name::new(row["holder"]["host"].as_str().unwrap_or(""))?)
    }

    /// Changes a host's state in the platform's list.
    pub fn set_host_state(&mut self, host: &Name, state: HostState) {
        for listed in self.hosts.iter_mut().filter(|listed| listed.name == *host) {
            listed.state = state;
        }
        self.platform.set_hosts(self.hosts.clone());
    }

    fn add_zone(
        &mut self,
        zone: &ZoneSpec,
        spec: &FleetSpec,
        platform: SocketAddr,
        authority: &Authority,
    ) -> Result<()> {
        let zone_name = Name::new(zone.name)?;
        for index in 0..zone.engines {
            let engine = EngineSpec { weights: Some(platform), ..spec.engine };
            let engine = EngineStandIn::new(engine);
            let address = engine.spawn(ephemeral_address())?;
            let name = format!("{}-engine-{index}", zone.name);
            self.list(&name, zone_name.clone(), HostKind::Engine, address)?;
            self.engines.insert(Name::new(&name)?, engine);
        }
        for index in 0..zone.entry_hosts {
            let name = format!("{}-{index}", zone.name);
            self.add_entry_host(&name, &zone_name, spec, platform, authority)?;
        }
        Ok(())
    }

    fn add_entry_host(
        &mut self,
        name: &str,
        zone: &Name,
        spec: &FleetSpec,
        platform: SocketAddr,
        authority: &Authority,
    ) -> Result<()> {
        let dir = self._dir.path().to_owned();
        let pem = authority.issue(name)?;
        std::fs::write(dir.join(format!("{name}.pem")), pem.certificate)?;
        std::fs::write(dir.join(format!("{name}.key")), pem.key)?;
        let (gateway, dispatcher, http) = (free_address()?, free_address()?, free_address()?);
        let source = self.cuts.zone_source(zone);
        let platform = relay_tcp(platform, zone.clone(), self.cuts.clone())?;
        let common = common_settings(&dir, name, zone, spec, platform, source);
        let gateway_settings = dir.join(format!("{name}-gateway.toml"));
        let operator = KeyHash::of(OPERATOR_KEY);
        let text = format!("listen = \"{gateway}\"\noperator-keys = [\"{operator}\"]\n{common}");
        std::fs::write(&gateway_settings, text)?;
        let dispatcher_settings = dir.join(format!("{name}-dispatcher.toml"));
        let text = format!("listen = \"{dispatcher}\"\nmetrics = \"{http}\"\n{common}");
        std::fs::write(&dispatcher_settings, text)?;
        let relayed = relay_udp(dispatcher, zone.clone(), self.cuts.clone())?;
        self.list(name, zone.clone(), HostKind::EntryHost, relayed)?;
        let entry_host = EntryHost {
            zone: zone.clone(),
            gateway,
            dispatcher_http: http,
            gateway_settings,
            dispatcher_settings,
            processes: BTreeMap::new(),
        };
        self.entry_hosts.insert(Name::new(name)?, entry_host);
        Ok(())
    }

    fn list(&mut self, name: &str, zone: Name, kind: HostKind, address: SocketAddr) -> Result<()> {
        let name = Name::new(name)?;
        self.hosts.push(Host { name, zone, kind, address, state: HostState::Live });
        Ok(())
    }

    fn entry_host_mut(&mut self, host: &Name) -> Result<&mut EntryHost> {
        self.entry_hosts.get_mut(host).ok_or_else(|| eyre!("no host {host}"))
    }

    fn take_process(&mut self, host: &Name, process: &'static str) -> Result<Child> {
        let child = self.entry_host_mut(host)?.processes.remove(process);
        child.ok_or_else(|| eyre!("{host} runs no {process}"))
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        for child in self.entry_hosts.values_mut().flat_map(|host| host.processes.values_mut()) {
            // A process that has ended already can't be killed.
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

fn common_settings(
    dir: &Path,
    name: &str,
    zone: &Name,
    spec: &FleetSpec,
    platform: SocketAddr,
    source: Ipv4Addr,
) -> String {
    let dir = dir.display();
    let slots = spec.engine.slots;
    let loads = slots.min(2);
    let check_fences = spec.engine.check_fences;
    let log = spec.log;
    format!(
        r#"
[process]
host = "{name}"
zone = "{zone}"
platform = "{platform}"
source = "{source}"

[tls]
authority = "{dir}/authority.pem"
certificate = "{dir}/{name}.pem"
key = "{dir}/{name}.key"

[engine]
slots = {slots}
loads = {loads}
check-fences = {check_fences}

[log]
level = "{log}"
"#
    )
}

fn wait_until(until: Instant, mut done: impl FnMut() -> bool) -> Result<()> {
    while !done() {
        if Instant::now() >= until {
            return Err(eyre!("it took too long"));
        }
        std::thread::sleep(POLL_INTERVAL);
    }
    Ok(())
}

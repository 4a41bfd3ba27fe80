//! Deployments of daemon processes and stand-ins on loopback.

use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddr};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use eyre::{Context, Result, eyre};
use guavaspread_keys::CertificateAuthority;
use guavaspread_model::{Host, HostKind, HostState, KeyHash, Name};
use guavaspread_standins::{
    BookingStandIn, EngineSpec, EngineStandIn, PlatformSpec, PlatformStandIn, ephemeral_address,
    free_address, workspace_binary,
};
use serde_json::Value;
use tempfile::TempDir;

use crate::caller::Caller;
use crate::relay::{Partitions, relay_tcp, relay_udp};

const OPERATOR_KEY: &str = "operator-key-of-a-test";
const START_TIMEOUT: Duration = Duration::from_secs(20);
/// Every process must apply a new revision within this time, also at the configuration size
/// expected in two years.
const REVISION_TIMEOUT: Duration = Duration::from_secs(11);
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Size of one availability zone.
#[derive(Clone, Debug)]
pub struct ZoneSpec {
    /// Name of the zone.
    pub name: &'static str,
    /// Number of entry hosts.
    pub entry_hosts: usize,
    /// Number of engines.
    pub engines: usize,
}

/// Size and settings of a deployment.
#[derive(Clone, Debug)]
pub struct FleetSpec {
    /// Availability zones.
    pub zones: Vec<ZoneSpec>,
    /// Settings of each engine.
    pub engine: EngineSpec,
    /// Capacity of the weight store.
    pub platform: PlatformSpec,
    /// Number of booking servers, all in the first zone.
    pub bookings: usize,
    /// Log level of the daemons.
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

/// Running daemon process.
#[derive(Clone, Copy, Debug)]
pub struct RunningProcess {
    /// Name of the daemon.
    pub name: &'static str,
    /// Process id.
    pub pid: u32,
}

/// Settings files and processes of one entry host.
pub struct EntryHost {
    /// Availability zone.
    pub zone: Name,
    /// Address at which the gateway serves callers.
    pub gateway: SocketAddr,
    /// Address at which the dispatcher serves metrics and readiness.
    pub dispatcher_http: SocketAddr,
    gateway_settings: PathBuf,
    dispatcher_settings: PathBuf,
    processes: BTreeMap<&'static str, Child>,
}

/// Running deployment; dropping it kills every process.
pub struct Fleet {
    /// Platform stand-in.
    pub platform: PlatformStandIn,
    /// Engine stand-ins by name.
    pub engines: BTreeMap<Name, EngineStandIn>,
    /// Booking service; its servers share one log.
    pub booking: BookingStandIn,
    /// Hosts that the platform lists.
    pub hosts: Vec<Host>,
    /// Entry hosts by name.
    pub entry_hosts: BTreeMap<Name, EntryHost>,
    /// Injected network partitions.
    pub partitions: Partitions,
    _dir: TempDir,
}

impl Fleet {
    /// Starts the stand-ins, writes the settings files and starts every daemon.
    ///
    /// # Errors
    ///
    /// Returns an error if a daemon can't be started or is not ready in time.
    pub fn start(spec: &FleetSpec) -> Result<Self> {
        let mut fleet = Fleet::prepare(spec)?;
        let names: Vec<Name> = fleet.entry_hosts.keys().cloned().collect();
        for name in &names {
            fleet.start_process(name, "dispatcher")?;
            fleet.start_process(name, "gateway")?;
        }
        fleet.wait_until_ready()?;
        Ok(fleet)
    }

    /// Starts the stand-ins and writes the settings files, but starts no daemon.
    ///
    /// # Errors
    ///
    /// Returns an error if an address can't be bound or a file can't be written.
    pub fn prepare(spec: &FleetSpec) -> Result<Self> {
        let dir = tempfile::tempdir()?;
        let platform = PlatformStandIn::new(spec.platform, Vec::new());
        let platform_address = platform.spawn(ephemeral_address())?;
        let authority = CertificateAuthority::generate()?;
        std::fs::write(dir.path().join("authority.pem"), authority.pem().certificate)?;
        let mut fleet = Fleet {
            platform,
            engines: BTreeMap::new(),
            booking: BookingStandIn::default(),
            hosts: Vec::new(),
            entry_hosts: BTreeMap::new(),
            partitions: Partitions::default(),
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
                fleet.add_host(&name, Name::new(zone.name)?, kind, address)?;
            }
        }
        fleet.platform.set_hosts(fleet.hosts.clone());
        Ok(fleet)
    }

    /// Starts a daemon of an entry host.
    ///
    /// # Errors
    ///
    /// Returns an error if the binary can't be started.
    pub fn start_process(&mut self, host: &Name, process: &'static str) -> Result<()> {
        let entry_host = self.entry_host_mut(host)?;
        let settings = match process {
            "gateway" => &entry_host.gateway_settings,
            _ => &entry_host.dispatcher_settings,
        };
        let binary = workspace_binary(&format!("guavaspread-{process}"))?;
        let child = Command::new(binary)
            .arg("--settings")
            .arg(settings)
            .stdin(Stdio::null())
            .spawn()
            .wrap_err_with(|| format!("failed to start {process} on {host}"))?;
        entry_host.processes.insert(process, child);
        Ok(())
    }

    /// Kills a process with `SIGKILL`.
    ///
    /// # Errors
    ///
    /// Returns an error if the process does not exist.
    pub fn kill(&mut self, host: &Name, process: &'static str) -> Result<()> {
        let mut child = self.take_process(host, process)?;
        child.kill()?;
        child.wait()?;
        Ok(())
    }

    /// Sends a signal to a process; `signal` is a name that the `kill` command accepts.
    ///
    /// # Errors
    ///
    /// Returns an error if the process does not exist or the signal can't be sent.
    pub fn signal(&mut self, host: &Name, process: &'static str, signal: &str) -> Result<()> {
        let entry_host = self.entry_host_mut(host)?;
        let child = entry_host.processes.get(process);
        let child = child.ok_or_else(|| eyre!("{process} is not running on {host}"))?;
        let pid = child.id().to_string();
        let status = Command::new("kill").arg(format!("-{signal}")).arg(pid).status()?;
        status
            .success()
            .then_some(())
            .ok_or_else(|| eyre!("failed to send SIG{signal} to {process} on {host}"))
    }

    /// Waits for a process to exit and returns whether its exit status is 0.
    ///
    /// # Errors
    ///
    /// Kills the process and returns an error if it does not exit within `limit`.
    pub fn wait_for_exit(
        &mut self,
        host: &Name,
        process: &'static str,
        limit: Duration,
    ) -> Result<bool> {
        let mut child = self.take_process(host, process)?;
        let deadline = Instant::now() + limit;
        while Instant::now() < deadline {
            if let Some(status) = child.try_wait()? {
                return Ok(status.success());
            }
            std::thread::sleep(POLL_INTERVAL);
        }
        child.kill()?;
        Err(eyre!("{process} on {host} did not exit within {limit:?}; killed it"))
    }

    /// Waits until every gateway and dispatcher is ready and every engine has an owner.
    ///
    /// # Errors
    ///
    /// Returns an error if a process is not ready or an engine has no owner in time.
    pub fn wait_until_ready(&self) -> Result<()> {
        let deadline = Instant::now() + START_TIMEOUT;
        let addresses =
            self.entry_hosts.values().flat_map(|host| [host.gateway, host.dispatcher_http]);
        for address in addresses {
            poll_until(deadline, || {
                let url = format!("http://{address}/readyz");
                reqwest::blocking::get(url).is_ok_and(|res| res.status().is_success())
            })
            .wrap_err_with(|| format!("{address} is not ready"))?;
        }
        poll_until(deadline, || {
            let owned = self
                .engines
                .keys()
                .filter(|e| self.platform.value(&format!("owner/{e}")).is_some());
            owned.count() == self.engines.len()
        })
        .wrap_err("an engine has no owner")
    }

    /// Waits until every gateway and dispatcher applies a configuration revision.
    ///
    /// # Errors
    ///
    /// Returns an error if a process does not apply the revision in time.
    pub fn wait_for_revision(&self, revision: u64) -> Result<()> {
        let deadline = Instant::now() + REVISION_TIMEOUT;
        for host in self.entry_hosts.keys() {
            let operator = self.operator(host)?;
            let is_applied = || -> Result<bool> {
                let status: Value = operator.get("/operator/status").send()?.json()?;
                let dispatchers = status["dispatchers"].as_array().cloned().unwrap_or_default();
                let all = dispatchers.iter().chain([&status["gateway"]]);
                let mut revisions = all.map(|process| process["revision"].as_u64().unwrap_or(0));
                Ok(revisions.all(|applied| applied >= revision))
            };
            poll_until(deadline, || is_applied().unwrap_or(false)).wrap_err_with(|| {
                format!("revision {revision} is not applied, as reported by {host}")
            })?;
        }
        Ok(())
    }

    /// Returns a client of one gateway that authenticates with `key`.
    ///
    /// # Errors
    ///
    /// Returns an error if the host does not exist.
    pub fn caller(&self, host: &Name, key: &str) -> Result<Caller> {
        let entry_host =
            self.entry_hosts.get(host).ok_or_else(|| eyre!("there is no entry host {host}"))?;
        Caller::new(entry_host.gateway, key)
    }

    /// Returns a client of one gateway that authenticates as an operator.
    ///
    /// # Errors
    ///
    /// Returns an error if the host does not exist.
    pub fn operator(&self, host: &Name) -> Result<Caller> {
        self.caller(host, OPERATOR_KEY)
    }

    /// Returns the running processes.
    pub fn processes(&self) -> Vec<RunningProcess> {
        let hosts = self.entry_hosts.values().flat_map(|host| &host.processes);
        hosts.map(|(name, child)| RunningProcess { name, pid: child.id() }).collect()
    }

    /// Returns the name of the entry host at `index` in name order.
    ///
    /// # Errors
    ///
    /// Returns an error if there are fewer entry hosts.
    pub fn entry_host_name(&self, index: usize) -> Result<Name> {
        let name = self.entry_hosts.keys().nth(index);
        name.cloned().ok_or_else(|| eyre!("there is no entry host {index}"))
    }

    /// Removes a host from the platform's list.
    pub fn remove_host(&mut self, host: &Name) {
        self.hosts.retain(|listed| listed.name != *host);
        self.platform.set_hosts(self.hosts.clone());
    }

    /// Returns the entry host that owns an engine according to the table.
    ///
    /// # Errors
    ///
    /// Returns an error if the engine has no owner.
    pub fn owner(&self, engine: &Name) -> Result<Name> {
        let row = self.platform.value(&format!("owner/{engine}"));
        let row: Value = serde_json::from_str(&row.ok_or_else(|| eyre!("{engine} has no owner"))?)?;
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
        authority: &CertificateAuthority,
    ) -> Result<()> {
        let zone_name = Name::new(zone.name)?;
        for index in 0..zone.engines {
            let engine = EngineSpec { weights: Some(platform), ..spec.engine };
            let engine = EngineStandIn::new(engine);
            let address = engine.spawn(ephemeral_address())?;
            let name = format!("{}-engine-{index}", zone.name);
            self.add_host(&name, zone_name.clone(), HostKind::Engine, address)?;
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
        authority: &CertificateAuthority,
    ) -> Result<()> {
        let dir = self._dir.path().to_owned();
        let pem = authority.issue(name)?;
        std::fs::write(dir.join(format!("{name}.pem")), pem.certificate)?;
        std::fs::write(dir.join(format!("{name}.key")), pem.key)?;
        let (gateway, dispatcher, http) = (free_address()?, free_address()?, free_address()?);
        let source = self.partitions.zone_source(zone);
        let platform = relay_tcp(platform, zone.clone(), self.partitions.clone())?;
        let common = common_settings(&dir, name, zone, spec, platform, source);
        let gateway_settings = dir.join(format!("{name}-gateway.toml"));
        let operator = KeyHash::of(OPERATOR_KEY);
        let text = format!("listen = \"{gateway}\"\noperator-keys = [\"{operator}\"]\n{common}");
        std::fs::write(&gateway_settings, text)?;
        let dispatcher_settings = dir.join(format!("{name}-dispatcher.toml"));
        let text = format!("listen = \"{dispatcher}\"\nmetrics = \"{http}\"\n{common}");
        std::fs::write(&dispatcher_settings, text)?;
        let relayed = relay_udp(dispatcher, zone.clone(), self.partitions.clone())?;
        self.add_host(name, zone.clone(), HostKind::EntryHost, relayed)?;
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

    fn add_host(
        &mut self,
        name: &str,
        zone: Name,
        kind: HostKind,
        address: SocketAddr,
    ) -> Result<()> {
        let name = Name::new(name)?;
        self.hosts.push(Host { name, zone, kind, address, state: HostState::Live });
        Ok(())
    }

    fn entry_host_mut(&mut self, host: &Name) -> Result<&mut EntryHost> {
        self.entry_hosts.get_mut(host).ok_or_else(|| eyre!("there is no entry host {host}"))
    }

    fn take_process(&mut self, host: &Name, process: &'static str) -> Result<Child> {
        let child = self.entry_host_mut(host)?.processes.remove(process);
        child.ok_or_else(|| eyre!("{process} is not running on {host}"))
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        for child in self.entry_hosts.values_mut().flat_map(|host| host.processes.values_mut()) {
            // Killing a process that has already exited fails.
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

fn poll_until(deadline: Instant, mut done: impl FnMut() -> bool) -> Result<()> {
    while !done() {
        if Instant::now() >= deadline {
            return Err(eyre!("the wait timed out"));
        }
        std::thread::sleep(POLL_INTERVAL);
    }
    Ok(())
}

//! Stand-ins and daemons, each on a thread of this process.

use std::net::SocketAddr;
use std::path::Path;
use std::thread;

use eyre::{Result, eyre};
use guavaspread_control::ShutdownSignal;
use guavaspread_keys::CertificateAuthority;
use guavaspread_model::{Host, HostKind, HostState, KeyHash, Name};
use guavaspread_settings::{DispatcherSettings, GatewaySettings};
use guavaspread_standins::{
    BookingStandIn, EngineSpec, EngineStandIn, PlatformStandIn, free_address,
};
use guavaspread_wire::Identity;

use crate::deployment::{Deployment, Zone};
use crate::loopback;

/// Running playground.
pub(crate) struct Playground {
    /// Address of the first gateway.
    pub(crate) gateway: SocketAddr,
    /// Number of entry hosts.
    pub(crate) entry_hosts: usize,
    /// Number of engines.
    pub(crate) engines: usize,
}

/// Settings and TLS identity of the daemons of one entry host.
struct Daemons {
    gateway: GatewaySettings,
    dispatcher: DispatcherSettings,
    identity: Identity,
}

/// Playground that is being set up.
struct Builder {
    deployment: Deployment,
    platform: SocketAddr,
    authority: CertificateAuthority,
    operator_key: KeyHash,
    hosts: Vec<Host>,
    daemons: Vec<Daemons>,
    token_ms: u32,
}

/// Starts the stand-ins and the daemons of every entry host.
///
/// The first gateway listens on `port`, unless `port` is 0.
pub(crate) fn start(
    deployment: Deployment,
    port: u16,
    token_ms: u32,
    operator_key: &str,
    shutdown: &ShutdownSignal,
) -> Result<Playground> {
    let platform = PlatformStandIn::new(deployment.platform_spec(), Vec::new());
    let mut builder = Builder {
        deployment,
        platform: platform.spawn(loopback(0))?,
        authority: CertificateAuthority::generate()?,
        operator_key: KeyHash::of(operator_key),
        hosts: Vec::new(),
        daemons: Vec::new(),
        token_ms,
    };
    let booking = BookingStandIn::default();
    for zone in deployment.zones() {
        builder.add_zone(zone, port, &booking)?;
    }
    platform.set_hosts(builder.hosts);
    let gateway = builder.daemons.first().map(|daemons| daemons.gateway.listen);
    let entry_hosts = builder.daemons.len();
    for daemons in builder.daemons {
        spawn_daemons(daemons, shutdown)?;
    }
    Ok(Playground {
        gateway: gateway.ok_or_else(|| eyre!("the deployment has no entry host"))?,
        entry_hosts,
        engines: deployment.zones().iter().map(|zone| zone.engines).sum(),
    })
}

impl Builder {
    fn add_zone(&mut self, zone: &Zone, port: u16, booking: &BookingStandIn) -> Result<()> {
        let service = HostKind::Service(Name::new(self.deployment.service())?);
        for index in 0..zone.engines {
            let (weights, token_ms) = (Some(self.platform), self.token_ms);
            let spec = EngineSpec { weights, token_ms, ..EngineSpec::default() };
            let address = EngineStandIn::new(spec).spawn(loopback(0))?;
            self.add_host(zone, "engine", index, HostKind::Engine, address)?;
        }
        for index in 0..zone.service_servers {
            let address = booking.spawn(loopback(0))?;
            self.add_host(zone, "server", index, service.clone(), address)?;
        }
        for index in 0..zone.entry_hosts {
            self.add_entry_host(zone, index, port)?;
        }
        Ok(())
    }

    fn add_entry_host(&mut self, zone: &Zone, index: usize, port: u16) -> Result<()> {
        let name = format!("{}-entry-{index}", zone.name);
        let pem = self.authority.issue(&name)?;
        let authority = self.authority.pem().certificate;
        let identity = Identity::from_pem(
            authority.as_bytes(),
            pem.certificate.as_bytes(),
            pem.key.as_bytes(),
        )?;
        let has_fixed_port = self.daemons.is_empty() && port != 0;
        let listen = if has_fixed_port { loopback(port) } else { free_address()? };
        let (quic, metrics) = (free_address()?, free_address()?);
        let common = format!(
            "preset = \"{}\"\n[process]\nhost = \"{name}\"\nzone = \"{}\"\nplatform = \"{}\"\n\
             [tls]\nauthority = \"\"\ncertificate = \"\"\nkey = \"\"\n",
            self.deployment.preset(),
            zone.name,
            self.platform
        );
        let origin = Path::new("the generated settings of the playground");
        let operator_key = self.operator_key;
        let text = format!("listen = \"{listen}\"\noperator-keys = [\"{operator_key}\"]\n{common}");
        let gateway = GatewaySettings::parse(&text, origin)?;
        let text = format!("listen = \"{quic}\"\nmetrics = \"{metrics}\"\n{common}");
        let dispatcher = DispatcherSettings::parse(&text, origin)?;
        self.add_host(zone, "entry", index, HostKind::EntryHost, quic)?;
        self.daemons.push(Daemons { gateway, dispatcher, identity });
        Ok(())
    }

    fn add_host(
        &mut self,
        zone: &Zone,
        kind_name: &str,
        index: usize,
        kind: HostKind,
        address: SocketAddr,
    ) -> Result<()> {
        let name = Name::new(&format!("{}-{kind_name}-{index}", zone.name))?;
        let zone = Name::new(zone.name)?;
        self.hosts.push(Host { name, zone, kind, address, state: HostState::Live });
        Ok(())
    }
}

fn spawn_daemons(daemons: Daemons, shutdown: &ShutdownSignal) -> Result<()> {
    let Daemons { gateway, dispatcher, identity } = daemons;
    let (gateway_identity, gateway_shutdown) = (identity.clone(), shutdown.clone());
    run_thread("gateway", move || async move {
        guavaspread_gateway::run(gateway, gateway_identity, gateway_shutdown).await
    })?;
    let shutdown = shutdown.clone();
    run_thread("dispatcher", move || async move {
        guavaspread_dispatcher::run(dispatcher, identity, shutdown).await
    })
}

/// Runs a daemon on its own thread; an error of the daemon ends the process.
fn run_thread<F, R>(name: &'static str, run: F) -> Result<()>
where
    F: FnOnce() -> R + Send + 'static,
    R: Future<Output = Result<()>> + 'static,
{
    thread::Builder::new().name(name.to_owned()).spawn(move || {
        let system = ntex::rt::System::new(name, ntex::rt::DefaultRuntime);
        if let Err(e) = system.block_on(async move { run().await }) {
            eprintln!("the {name} failed, the playground exits: {e:?}");
            std::process::exit(1);
        }
    })?;
    Ok(())
}

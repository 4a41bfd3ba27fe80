//! Several stand-ins from one TOML file.

use std::io;
use std::net::SocketAddr;

use guavaspread_model::Host;
use serde::Deserialize;

use crate::{BookingStandIn, EngineSpec, EngineStandIn, PlatformSpec, PlatformStandIn};

/// Describes the stand-ins of one process.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(rename_all = "kebab-case", default, deny_unknown_fields)]
pub struct StandInSettings {
    /// Where the platform is served.
    pub platform: Option<SocketAddr>,
    /// The size of the platform's weight store.
    pub weights: PlatformSpec,
    /// What the platform lists.
    pub hosts: Vec<Host>,
    /// Where engines are served.
    pub engines: Vec<SocketAddr>,
    /// The size of each engine.
    pub engine: EngineSpec,
    /// Where booking applications are served; all share one log.
    pub bookings: Vec<SocketAddr>,
}

impl StandInSettings {
    /// Serves everything described.
    ///
    /// # Errors
    ///
    /// Fails when an address is taken.
    pub fn spawn(&self) -> io::Result<()> {
        if let Some(address) = self.platform {
            PlatformStandIn::new(self.weights, self.hosts.clone()).spawn(address)?;
        }
        for address in &self.engines {
            EngineStandIn::new(self.engine).spawn(*address)?;
        }
        let booking = BookingStandIn::default();
        for address in &self.bookings {
            booking.spawn(*address)?;
        }
        Ok(())
    }
}

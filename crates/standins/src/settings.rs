//! Settings that describe several stand-ins in one TOML file.

use std::io;
use std::net::SocketAddr;

use guavaspread_model::Host;
use serde::Deserialize;

use crate::{BookingStandIn, EngineSpec, EngineStandIn, PlatformSpec, PlatformStandIn};

/// Settings of the stand-ins of one process.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(rename_all = "kebab-case", default, deny_unknown_fields)]
pub struct StandInSettings {
    /// Address of the platform; if missing, no platform is started.
    pub platform: Option<SocketAddr>,
    /// Capacity of the platform's weight store.
    pub weights: PlatformSpec,
    /// Hosts that the platform lists.
    pub hosts: Vec<Host>,
    /// Addresses of the engines.
    pub engines: Vec<SocketAddr>,
    /// Settings of each engine.
    pub engine: EngineSpec,
    /// Addresses of the booking services, which share one log.
    pub bookings: Vec<SocketAddr>,
}

impl StandInSettings {
    /// Starts every stand-in that the settings describe.
    ///
    /// # Errors
    ///
    /// Returns an error if an address can't be bound.
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

//! # guavaspread stand-ins
//!
//! Test doubles of the services that guavaspread depends on: the platform's table, host list and
//! weight store, a model engine, and a booking service. Each one serves the HTTP interface of the
//! real service and supports fault injection. Each one also records the requests that it executed,
//! so that tests need not rely on the reports of guavaspread.
//!
//! | task | item |
//! |---|---|
//! | replace the platform | [`PlatformStandIn`] |
//! | replace an engine | [`EngineStandIn`], [`EngineSpec`] |
//! | replace a booking service | [`BookingStandIn`] |
//! | run several stand-ins from a settings file | [`StandInSettings`] |
//! | find a free loopback address | [`free_address`] |
//!
//! Each `spawn` starts a server on its own thread, which runs until the process ends.

mod binaries;
mod booking;
mod engine;
mod platform;
mod ports;
mod server;
mod settings;
mod tokens;

pub use binaries::workspace_binary;
pub use booking::BookingStandIn;
pub use engine::{EngineEvent, EngineEventKind, EngineSpec, EngineStandIn};
pub use platform::{Faults, PlatformSpec, PlatformStandIn, PlatformStats};
pub use ports::{ephemeral_address, free_address};
pub use settings::StandInSettings;

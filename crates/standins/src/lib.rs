//! # guavaspread stand-ins
//!
//! Small fakes of what the system meets: the platform's table, host list and
//! weight store, a model engine, and a booking service. Each serves the
//! interface that the system speaks, keeps an independent log of what it really
//! did, and can be told to fail.
//!
//! | to | reach for |
//! |---|---|
//! | stand in for the platform | [`PlatformStandIn`] |
//! | stand in for an engine | [`EngineStandIn`], [`EngineSpec`] |
//! | stand in for a booking service | [`BookingStandIn`] |
//! | run several from a file | [`StandInSettings`] |
//! | find a free address on loopback | [`free_address`] |
//!
//! Each `spawn` serves on a thread of its own until the process ends.

mod booking;
mod built;
mod engine;
mod platform;
mod ports;
mod server;
mod settings;
mod tokens;

pub use booking::BookingStandIn;
pub use built::built_binary;
pub use engine::{EngineEvent, EngineEventKind, EngineSpec, EngineStandIn};
pub use platform::{Faults, PlatformSpec, PlatformStandIn, PlatformStats};
pub use ports::{any_address, free_address};
pub use settings::StandInSettings;

//! # guavaspread scenario
//!
//! Starts the real binaries on loopback beside the stand-ins, for tests that
//! make them fail.
//!
//! | to | reach for |
//! |---|---|
//! | start a deployment | [`Fleet`], [`FleetSpec`] |
//! | call it as a caller or an operator | [`Caller`] |
//! | declare a sample of adapters and services | [`declare`] |

mod caller;
mod fleet;
mod ports;
mod sample;

pub use caller::{Caller, Reply, plain, read_stream};
pub use fleet::{EntryHost, Fleet, FleetSpec, ZoneSpec};
pub use sample::{DOPRAVNI_KEY, INTAKE, KITA_KEY, declare};

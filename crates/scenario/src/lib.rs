//! # guavaspread scenario
//!
//! Starts the real binaries on loopback beside the stand-ins, for tests that
//! make them fail.
//!
//! | to | reach for |
//! |---|---|
//! | start a deployment | [`Fleet`], [`FleetSpec`] |
//! | call it as a caller or an operator | [`Caller`] |

mod caller;
mod fleet;
mod ports;

pub use caller::{Caller, Reply};
pub use fleet::{EntryHost, Fleet, FleetSpec, ZoneSpec};

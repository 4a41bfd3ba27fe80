//! # guavaspread scenario
//!
//! Starts the real binaries on loopback beside the stand-ins, for tests that
//! make them fail.
//!
//! | to | reach for |
//! |---|---|
//! | start a deployment | [`Fleet`], [`FleetSpec`] |
//! | call it as a caller or an operator | [`Caller`] |
//! | cut zones off | [`Cuts`] |
//! | run a scenario file | [`run`], [`Script::parse`] |
//! | declare a sample of adapters and services | [`declare`] |

mod caller;
mod fleet;
mod relay;
mod runner;
mod sample;
mod script;

pub use caller::{Caller, Reply, plain, read_stream};
pub use fleet::{EntryHost, Fleet, FleetSpec, RunningProcess, ZoneSpec};
pub use relay::Cuts;
pub use runner::run;
pub use sample::{DOPRAVNI_KEY, INTAKE, KITA_KEY, declare};
pub use script::{Error, Expected, Process, Script, Step, Target};

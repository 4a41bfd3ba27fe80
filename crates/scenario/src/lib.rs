//! # guavaspread scenario
//!
//! Fault-injection tests: runs the real binaries and the stand-ins on loopback.
//!
//! | task | item |
//! |---|---|
//! | start a deployment | [`Fleet`], [`FleetSpec`] |
//! | send requests as a caller or an operator | [`Caller`] |
//! | partition the network between zones | [`Partitions`] |
//! | run a scenario file | [`run`], [`Script::parse`] |
//! | declare sample adapters and services | [`declare_sample`] |

mod caller;
mod fleet;
mod relay;
mod runner;
mod sample;
mod script;

pub use caller::{Caller, Reply, read_json, read_stream};
pub use fleet::{EntryHost, Fleet, FleetSpec, RunningProcess, ZoneSpec};
pub use relay::Partitions;
pub use runner::run;
pub use sample::{DOPRAVNI_KEY, INTAKE_ADAPTER, KITA_KEY, declare_sample};
pub use script::{Error, Expected, Process, Script, Step, Target};

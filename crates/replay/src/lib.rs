//! # guavaspread replay
//!
//! Replays recorded traces through the decision code of the daemons in virtual
//! time, and compares it with other policies side by side.
//!
//! | to | reach for |
//! |---|---|
//! | read or make a trace | [`Trace`], [`TraceSpec`] |
//! | replay it under a policy | [`replay`], [`PolicyName`] |
//! | read what came of it | [`Outcome`] |

mod baseline;
mod outcome;
mod sim;
mod store;
mod trace;

pub use outcome::Outcome;
pub use sim::{PolicyName, replay};
pub use trace::{Deployment, Error, Event, EventKind, Result, Trace, TraceSpec};

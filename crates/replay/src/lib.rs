//! # guavaspread replay
//!
//! Simulates the daemons' placement code on request traces in virtual time, and compares it with
//! baseline policies.
//!
//! | task | item |
//! |---|---|
//! | read or generate a trace | [`Trace`], [`TraceSpec`] |
//! | replay a trace under a policy | [`replay`], [`PolicyName`] |
//! | read the results of a replay | [`Outcome`] |
//! | measure single decisions | [`decision_costs`] |

mod baseline;
mod decisions;
mod outcome;
mod policy;
mod sim;
mod store;
mod trace;

pub use decisions::{DecisionCost, decision_costs};
pub use outcome::Outcome;
pub use policy::PolicyName;
pub use sim::replay;
pub use trace::{Deployment, Error, Event, EventKind, Result, Trace, TraceSpec};

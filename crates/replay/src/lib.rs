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
//! | time single decisions | [`decision_costs`] |

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

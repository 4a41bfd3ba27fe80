//! Re-exports of the types that most modules of the workspace use.

pub use std::sync::Arc;
pub use std::time::Duration;

pub use crate::{AdapterVersion, Code, Config, Host, HostKind, HostState, Name, Ran, Refusal};

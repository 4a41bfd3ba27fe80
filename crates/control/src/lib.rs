//! # guavaspread control
//!
//! The shared parts of the daemons' control threads: they follow the configuration
//! and the platform's host list, and publish immutable snapshots to the traffic
//! threads.
//!
//! | task | items |
//! |---|---|
//! | read the monotonic clock | [`Clock`] |
//! | follow the configuration and the host list | [`Follower`] |
//! | send requests to a dispatcher | [`DispatcherClient`] |
//! | propose a configuration change | [`propose`] |
//! | read the followed state | [`Snapshot`] |
//! | shut down gracefully | [`ShutdownSignal`], [`shutdown_on_signals`] |

mod clock;
mod dispatcher_client;
mod follower;
mod proposer;
mod shutdown;

pub use clock::Clock;
pub use dispatcher_client::{DispatcherClient, OpenError, open_clients};
pub use follower::{Follower, FollowerOptions, Snapshot, acknowledgement_transaction};
pub use proposer::propose;
pub use shutdown::{ShutdownSender, ShutdownSignal, shutdown_channel, shutdown_on_signals};

/// The key of the configuration's head row.
pub const HEAD_KEY: &str = "config/head";

/// Returns the key of the change record of `revision`.
pub fn record_key(revision: u64) -> String {
    format!("config/change/{revision:012}")
}

/// The key prefix of the members' rows.
pub const MEMBER_PREFIX: &str = "config/member/";

/// The key prefix of the engines' owner rows.
pub const OWNER_PREFIX: &str = "owner/";

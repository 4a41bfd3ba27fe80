//! # guavaspread control
//!
//! What the control thread of every daemon does: follow the configuration and
//! the platform's host list, and show traffic threads an immutable snapshot.
//!
//! | to | reach for |
//! |---|---|
//! | read the monotonic clock | [`Clock`] |
//! | follow the platform | [`Follower`] |
//! | reach a dispatcher | [`Links`] |
//! | propose a configuration change | [`propose`] |
//! | read what is followed | [`Snapshot`] |
//! | end in order | [`Stop`], [`stop_on_signals`] |

mod clock;
mod follower;
mod links;
mod proposer;
mod stop;

pub use clock::Clock;
pub use follower::{Follower, FollowerParts, Snapshot, member_transaction};
pub use links::{Links, OpenError, open_borders};
pub use proposer::propose;
pub use stop::{Stop, StopHandle, stop_channel, stop_on_signals};

/// The key of the configuration's head row.
pub const HEAD_KEY: &str = "config/head";

/// Returns the key of the record of one revision.
pub fn record_key(revision: u64) -> String {
    format!("config/change/{revision:012}")
}

/// The start of the keys of the members' rows.
pub const MEMBER_PREFIX: &str = "config/member/";

/// The start of the keys of the engines' owner rows.
pub const OWNER_PREFIX: &str = "owner/";

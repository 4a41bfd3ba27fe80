//! # guavaspread ownership
//!
//! Decides which entry host owns an engine: a pure state machine over one row of
//! the platform's table.
//!
//! | task | items |
//! |---|---|
//! | acquire, renew and release the ownership of one engine | [`Lease`], [`LeaseAction`] |
//! | find out what this process may do now | [`Role`], [`OwnerPermissions`] |
//! | read the row | [`OwnerRow`], [`FormerOwner`] |
//! | rank the entry hosts of an availability zone | [`candidates`] |
//!
//! # Why an adapter in use is never evicted
//!
//! The engine may ignore fencing numbers, and an owner may be paused at any step.
//! So an owner sends an unload command only if all of these hold:
//!
//! 1. The row records the adapter as `evicting`. The owner wrote that on the
//!    condition that the row had not changed since its previous write.
//! 2. The row lists no former owner.
//! 3. The lease is valid, and no request of the owner runs on the adapter.
//!
//! A process that takes over adds the previous owner to the former owners, with its
//! `evicting` adapter. While a former owner is listed, the new owner does not
//! load that adapter, runs no request on it and evicts nothing. An entry of the list
//! is removed
//!
//! - by the former owner itself, once everything that it sent to the engine has
//!   ended, however long it was paused;
//! - by a new process on the same host, because the old process must be dead for its
//!   address to be free;
//! - by the owner, a short time after the probe address of the process refused a
//!   connection. Such a process is dead: it listens there from before its first
//!   ownership until it ends, and the kernel accepts connections for a paused process;
//! - by the owner, if the platform no longer lists the host and every deadline that
//!   the host could have accepted has passed.

mod lease;
mod rank;
mod row;

pub use lease::{Lease, LeaseAction, LeaseTimes, OwnerPermissions, Role};
pub use rank::{CANDIDATES_MAX, candidate_rank, candidates};
pub use row::{FormerOwner, Holder, OwnerRow};

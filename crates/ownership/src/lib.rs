//! # guavaspread ownership
//!
//! Decides which entry host owns an engine, as a pure state machine over one row
//! of the platform's table.
//!
//! | to | reach for |
//! |---|---|
//! | contend for and keep one engine | [`Lease`], [`Next`] |
//! | know what the holder may do now | [`Role`], [`Right`] |
//! | read the row | [`OwnerRow`], [`Former`] |
//! | rank the entry hosts of a zone | [`candidates`] |
//!
//! # Why an adapter in use is never evicted
//!
//! The engine may ignore fencing numbers, and a holder may be paused at any step.
//! So an unload order is given only
//!
//! 1. after the adapter was written to the row as `evicting`, on the condition
//!    that the row is as the holder last wrote it, and
//! 2. while no former owner is listed in the row, and
//! 3. while the lease is valid and nothing of the holder's runs on the adapter.
//!
//! A host that takes over lists the former owner with its `evicting` adapter,
//! keeps that adapter off the engine, and unloads nothing. A former owner strikes
//! itself off once everything that it sent to the engine has ended, however long
//! it was paused; a new process on the same host strikes off the old one, which
//! must be dead because the address is free. A process whose probe address refuses
//! connections is dead, because it listens there from before it owns anything until
//! it ends; a paused process does not refuse, since its host's kernel accepts. A host that the platform no longer
//! lists is struck off once every deadline that it could have accepted has passed.

mod lease;
mod rank;
mod row;

pub use lease::{Lease, LeaseTimes, Next, Right, Role};
pub use rank::{CANDIDATES_MAX, candidates, rank};
pub use row::{Former, Holder, OwnerRow};

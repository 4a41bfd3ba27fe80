//! # guavaspread config
//!
//! Brings one sequence of configuration changes into force on every host, as
//! pure state machines over a few rows of the platform's table.
//!
//! | to | reach for |
//! |---|---|
//! | follow the configuration on a host | [`Replica`], [`Follow`] |
//! | know what is in force, and what is in doubt | [`View`] |
//! | propose a change | [`Proposal`], [`Step`] |
//! | read the rows | [`Head`], [`Staged`], [`ChangeRecord`], [`Acknowledgement`] |
//!
//! # The steps of a change
//!
//! 1. *Stage*: the proposer writes the change and names it in the head row, on
//!    the condition that the head is as it read it. Of two racing proposers one
//!    is told that the other came first.
//! 2. *Acknowledge*: every process reads the staged change and says so.
//! 3. *Commit* or *abort*: the proposer writes the head again. It commits only
//!    when every listed process has acknowledged.
//!
//! A process that was cut off before it acknowledged blocks the commit, so
//! nothing is accepted behind its back. One that is cut off after it has
//! acknowledged does not know the outcome, and says so in its [`View`]: requests
//! on which the two configurations differ are refused there, all others served.
//! No process ever applies a lower revision than it has.

mod proposal;
mod replica;
mod row;

pub use proposal::{Outcome, Proposal, ProposalTimes, Step};
pub use replica::{Follow, Replica, View};
pub use row::{Acknowledgement, ChangeRecord, Head, Member, Staged};

//! # guavaspread config
//!
//! Distributes one sequence of configuration changes to all hosts with a two-phase
//! commit: pure state machines over a few rows of the platform's table.
//!
//! | task | items |
//! |---|---|
//! | follow the configuration on a host | [`Replica`], [`ReplicaAction`] |
//! | read the committed configuration and the one in doubt | [`ConfigView`] |
//! | propose a change | [`Proposal`], [`ProposalAction`] |
//! | read the rows | [`ConfigHead`], [`StagedChange`], [`ChangeRecord`], [`Acknowledgement`] |
//!
//! # The phases of a change
//!
//! 1. *Stage*: the proposer writes the change record and names it in the head row, if
//!    the head has not changed since the proposer read it. If two proposers race, the
//!    write of one is rejected.
//! 2. *Acknowledge*: every process reads the staged change and writes an
//!    acknowledgement.
//! 3. *Commit* or *abort*: the proposer writes the head again. It commits only if
//!    every listed process has acknowledged the change.
//!
//! A process that is partitioned before it acknowledges blocks the commit, so no
//! change is committed without its knowledge. A process that is partitioned after it
//! acknowledged does not know the outcome and reports both configurations in its
//! [`ConfigView`]. It refuses the requests for which they differ and serves all
//! others. No process applies a revision lower than the one it has.

mod proposal;
mod replica;
mod row;

pub use proposal::{Outcome, Proposal, ProposalAction, ProposalTimeouts};
pub use replica::{ConfigView, Replica, ReplicaAction};
pub use row::{Acknowledgement, ChangeRecord, ConfigHead, Member, StagedChange};

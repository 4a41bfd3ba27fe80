//! # guavaspread claims
//!
//! Ensures that a request that is not repeatable runs at most once: a pure state
//! machine over one row of the platform's table.
//!
//! | task | items |
//! |---|---|
//! | decide whether a request may run here | [`Claim`], [`ClaimAction`] |
//! | read the row | [`ClaimRow`], [`ClaimState`] |
//! | store a response for repeated requests | [`StoredResponse`] |
//!
//! # Why a request runs at most once
//!
//! A process runs the request only once the table holds its own row with its own
//! random token. The process either inserted the row where none existed, or read the
//! row back after the response to the insert was lost. Only the process whose token
//! the row holds deletes the row, and only once that process knows that the request
//! did not run and has stopped trying to run it. No process takes over the row of a
//! dead or unresponsive process, however much time has passed, because that process
//! may have sent the request.

mod claim;
mod row;

pub use claim::{Claim, ClaimAction, RunOutcome};
pub use row::{ClaimRow, ClaimState, Claimer, StoredResponse};

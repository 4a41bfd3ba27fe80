//! # guavaspread claims
//!
//! Runs a request that may not be repeated at most once, as a pure state machine
//! over one row of the platform's table.
//!
//! | to | reach for |
//! |---|---|
//! | decide whether a request may run here | [`Claim`], [`Next`] |
//! | read the row | [`ClaimRow`], [`ClaimState`] |
//! | keep an answer for a repeat | [`StoredAnswer`] |
//!
//! # Why a request runs at most once
//!
//! A process runs the request only after its own row, with its own random token,
//! stands in the table: inserted where there was none, or seen there when the
//! answer to the insert was lost. The row is deleted only by the process whose
//! token it holds, and only once that process knows that the request did not run
//! and has given it up. A row is never taken over from a process that is dead or
//! silent, whatever time has passed, because that process may have sent the
//! request.

mod claim;
mod row;

pub use claim::{Claim, Ended, Next};
pub use row::{ClaimRow, ClaimState, Claimer, StoredAnswer};

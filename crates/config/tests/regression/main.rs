//! Regression tests for fixed faults, one file per fault.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

mod concurrent_proposals;
mod late_start;

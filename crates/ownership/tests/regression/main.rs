//! Regression tests for fixed faults, one file per fault.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

mod own_eviction_in_flight;

//! Faults that were found and fixed, a file each.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

mod own_intent;

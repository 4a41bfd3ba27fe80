//! # guavaspread store
//!
//! The client of the platform's services: a transactional table and a list of
//! hosts, which lags behind the real state.
//!
//! | task | API |
//! |---|---|
//! | call the platform | [`PlatformClient`] |
//! | call it over HTTP | [`HttpPlatformClient`] |
//! | write rows conditionally | [`Transaction`] |
//! | combine small transactions into fewer commits | [`GroupCommit`] |
//!
//! A commit whose response is lost may have taken effect. Its error has the
//! category [`Category::MaybeCommitted`]; the caller then reads the rows to find out.

mod error;
mod group;
mod http;
mod table;

pub use error::{Category, Error, Result};
pub use group::GroupCommit;
pub use http::HttpPlatformClient;
pub use table::{CommitReceipt, Condition, Conflict, PlatformClient, Row, Transaction, Write};

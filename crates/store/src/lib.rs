//! # guavaspread store
//!
//! The border to what the platform gives: a transactional table, an object
//! store and a lagging list of hosts.
//!
//! | to | reach for |
//! |---|---|
//! | use the platform | [`Platform`] |
//! | reach it over HTTP | [`HttpPlatform`] |
//! | write on a condition | [`Transaction`] |
//! | spend fewer writes on many small transactions | [`GroupCommit`] |
//!
//! A commit whose answer is lost may have taken effect. Such a failure has the
//! category [`Category::Unknown`], and the caller reads the rows back.

mod error;
mod group;
mod http;
mod table;

pub use error::{Category, Error, Result};
pub use group::GroupCommit;
pub use http::HttpPlatform;
pub use table::{Committed, Condition, Conflict, Platform, Row, Transaction, Write};

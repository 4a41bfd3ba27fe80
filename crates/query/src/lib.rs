//! # guavaspread query
//!
//! The language in which operators ask and command. docs/QUERY.md has its full
//! syntax.
//!
//! | to | reach for |
//! |---|---|
//! | parse a line | [`parse`], [`Statement`] |
//! | answer a query | [`Query::select`], [`Table`] |
//! | show what is wrong | [`Error::explain`] |
//!
//! ```
//! use guavaspread_query::{Statement, parse};
//!
//! let statement = parse("show loaded where demand > 0.5 order by demand desc limit 10")?;
//! assert!(matches!(statement, Statement::Show(_)));
//! let error = parse("show loded").unwrap_err();
//! assert_eq!(error.offset(), 5);
//! # Ok::<(), guavaspread_query::Error>(())
//! ```

mod error;
mod parser;
mod statement;
mod table;

pub use error::{Error, Result};
pub use parser::parse;
pub use statement::{Comparison, Condition, Order, Query, Source, Statement};
pub use table::{Cell, Table};

//! # guavaspread query
//!
//! The language of operators' queries and configuration changes. docs/QUERY.md
//! describes its syntax.
//!
//! | task | API |
//! |---|---|
//! | parse a statement | [`parse`], [`Statement`] |
//! | run a query | [`Query::select`], [`Table`] |
//! | show the position of an error | [`Error::with_context`] |
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

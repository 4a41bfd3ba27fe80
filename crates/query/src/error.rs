//! Errors of parsing a statement and running a query.

use std::fmt;

/// Alias for a `Result` with the query language's [`Error`].
pub type Result<T> = std::result::Result<T, Error>;

/// A statement that does not parse, or a query that names an unknown column.
pub struct Error {
    inner: Box<ErrorInner>,
}

struct ErrorInner {
    offset: usize,
    message: String,
}

impl Error {
    pub(crate) fn new(offset: usize, message: impl fmt::Display) -> Self {
        Error { inner: Box::new(ErrorInner { offset, message: message.to_string() }) }
    }

    /// Returns the position of the error, in bytes from the start of the statement.
    pub fn offset(&self) -> usize {
        self.inner.offset
    }

    /// Formats the error with the line of the statement and a mark under the invalid word.
    pub fn with_context(&self, statement: &str) -> String {
        let offset = self.inner.offset.min(statement.len());
        let start = statement[..offset].rfind('\n').map_or(0, |at| at + 1);
        let line = statement[start..].lines().next().unwrap_or("");
        let column = statement[start..offset].chars().count();
        let word = statement[offset..].split_whitespace().next().unwrap_or("");
        let mark = "^".repeat(word.chars().count().max(1));
        format!("{self}\n  {line}\n  {:column$}{mark}", "")
    }
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.inner.message)
    }
}

impl fmt::Debug for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "Error({}, {:?})", self.inner.offset, self.inner.message)
    }
}

impl std::error::Error for Error {}

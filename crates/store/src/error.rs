//! Errors of calls to the platform.

use std::fmt;

/// Alias for a `Result` with the platform's [`Error`].
pub type Result<T> = std::result::Result<T, Error>;

/// A failed call to the platform.
pub struct Error {
    inner: Box<ErrorInner>,
}

struct ErrorInner {
    code: ErrorCode,
    detail: String,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ErrorCode {
    Unreachable,
    ResponseLost,
    ConditionFailed,
    InvalidResponse,
}

/// Whether a failed call may have had an effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Category {
    /// The call had no effect.
    NotCommitted,
    /// The call may have had an effect.
    MaybeCommitted,
    /// A condition did not hold, because the row changed; the call had no effect.
    Conflict,
}

impl Error {
    pub(crate) fn new(code: ErrorCode, detail: impl fmt::Display) -> Self {
        Error { inner: Box::new(ErrorInner { code, detail: detail.to_string() }) }
    }

    /// Creates the error of a call that had no effect.
    pub fn unreachable(detail: impl fmt::Display) -> Self {
        Error::new(ErrorCode::Unreachable, detail)
    }

    /// Creates the error of a call whose response was lost.
    pub fn response_lost(detail: impl fmt::Display) -> Self {
        Error::new(ErrorCode::ResponseLost, detail)
    }

    /// Creates the error of a commit whose condition on the row `key` did not hold.
    pub fn conflict(key: impl fmt::Display) -> Self {
        Error::new(ErrorCode::ConditionFailed, key)
    }

    /// Returns whether the call may have had an effect.
    pub fn classify(&self) -> Category {
        match self.inner.code {
            ErrorCode::Unreachable => Category::NotCommitted,
            ErrorCode::ResponseLost | ErrorCode::InvalidResponse => Category::MaybeCommitted,
            ErrorCode::ConditionFailed => Category::Conflict,
        }
    }
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let description = match self.inner.code {
            ErrorCode::Unreachable => "the platform is unreachable",
            ErrorCode::ResponseLost => "the platform's response was lost",
            ErrorCode::ConditionFailed => "another write changed the row first",
            ErrorCode::InvalidResponse => "the platform's response does not parse",
        };
        write!(f, "{description}: {}", self.inner.detail)
    }
}

impl fmt::Debug for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "Error({:?}, {:?})", self.inner.code, self.inner.detail)
    }
}

impl std::error::Error for Error {}

//! When the platform does not do what it was asked.

use std::fmt;

/// Alias for a `Result` with the platform's error.
pub type Result<T> = std::result::Result<T, Error>;

/// Represents a failed call to the platform.
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
    AnswerLost,
    ConditionFailed,
    BadAnswer,
}

/// Groups the ways in which a call fails.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Category {
    /// The call had no effect.
    NotDone,
    /// The call may have had its effect.
    Unknown,
    /// Another write came first; the call had no effect.
    Conflict,
}

impl Error {
    pub(crate) fn new(code: ErrorCode, detail: impl fmt::Display) -> Self {
        Error { inner: Box::new(ErrorInner { code, detail: detail.to_string() }) }
    }

    /// Makes the error of a call that had no effect; for stand-ins and tests.
    pub fn unreachable(detail: impl fmt::Display) -> Self {
        Error::new(ErrorCode::Unreachable, detail)
    }

    /// Makes the error of a call whose answer was lost; for stand-ins and tests.
    pub fn answer_lost(detail: impl fmt::Display) -> Self {
        Error::new(ErrorCode::AnswerLost, detail)
    }

    /// Makes the error of a commit whose condition did not hold.
    pub fn conflict(key: impl fmt::Display) -> Self {
        Error::new(ErrorCode::ConditionFailed, key)
    }

    /// Tells whether the call may have had its effect.
    pub fn classify(&self) -> Category {
        match self.inner.code {
            ErrorCode::Unreachable => Category::NotDone,
            ErrorCode::AnswerLost | ErrorCode::BadAnswer => Category::Unknown,
            ErrorCode::ConditionFailed => Category::Conflict,
        }
    }
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let what = match self.inner.code {
            ErrorCode::Unreachable => "the platform can't be reached",
            ErrorCode::AnswerLost => "the platform's answer was lost",
            ErrorCode::ConditionFailed => "another write came first",
            ErrorCode::BadAnswer => "the platform's answer can't be read",
        };
        write!(f, "{what}: {}", self.inner.detail)
    }
}

impl fmt::Debug for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "Error({:?}, {:?})", self.inner.code, self.inner.detail)
    }
}

impl std::error::Error for Error {}

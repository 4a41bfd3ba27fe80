//! Errors of calls to a backend server.

use std::fmt;

/// Alias for a `Result` with the backend's [`Error`].
pub type Result<T> = std::result::Result<T, Error>;

/// A failed call to a backend server.
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
    NotLoaded,
    StaleFence,
    LoadFailed,
    NoSlot,
    Interrupted,
    TimedOut,
}

/// Whether a failed call may have had an effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Category {
    /// No byte of the request reached the server; the request did not run.
    NotSent,
    /// The server rejected the request before running it.
    Refused,
    /// The server may have run the request, partially or completely.
    MaybeExecuted,
}

impl Error {
    pub(crate) fn new(code: ErrorCode, detail: impl fmt::Display) -> Self {
        Error { inner: Box::new(ErrorInner { code, detail: detail.to_string() }) }
    }

    /// Returns whether the request may have run.
    pub fn classify(&self) -> Category {
        match self.inner.code {
            ErrorCode::Unreachable => Category::NotSent,
            ErrorCode::NotLoaded
            | ErrorCode::StaleFence
            | ErrorCode::LoadFailed
            | ErrorCode::NoSlot => Category::Refused,
            ErrorCode::Interrupted | ErrorCode::TimedOut => Category::MaybeExecuted,
        }
    }

    /// Returns whether the call failed because the adapter is not loaded.
    pub fn is_not_loaded(&self) -> bool {
        self.inner.code == ErrorCode::NotLoaded
    }

    /// Returns whether the call failed because the engine has no free adapter slot.
    pub fn has_no_free_slot(&self) -> bool {
        self.inner.code == ErrorCode::NoSlot
    }

    /// Returns whether the engine rejected the fencing number as outdated.
    pub fn is_stale_fence(&self) -> bool {
        self.inner.code == ErrorCode::StaleFence
    }
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let description = match self.inner.code {
            ErrorCode::Unreachable => "failed to connect to the backend server",
            ErrorCode::NotLoaded => "the engine has not loaded the adapter",
            ErrorCode::StaleFence => "the engine has seen a higher fencing number",
            ErrorCode::LoadFailed => "the engine failed to load or unload the adapter",
            ErrorCode::NoSlot => "the engine has no free adapter slot",
            ErrorCode::Interrupted => "the response was interrupted",
            ErrorCode::TimedOut => "the backend server timed out",
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

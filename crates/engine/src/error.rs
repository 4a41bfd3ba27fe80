//! When a backend server does not do what it was asked.

use std::fmt;

/// Alias for a `Result` with the backend's error.
pub type Result<T> = std::result::Result<T, Error>;

/// Represents a failed call to a backend server.
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
    Broken,
    Silent,
}

/// Groups the ways in which a call fails.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Category {
    /// No byte of the request reached the server, so nothing ran.
    NotSent,
    /// The server refused before it ran anything.
    Refused,
    /// The server may have run the request, in part or whole.
    Unknown,
}

impl Error {
    pub(crate) fn new(code: ErrorCode, detail: impl fmt::Display) -> Self {
        Error { inner: Box::new(ErrorInner { code, detail: detail.to_string() }) }
    }

    /// Tells whether anything may have run.
    pub fn classify(&self) -> Category {
        match self.inner.code {
            ErrorCode::Unreachable => Category::NotSent,
            ErrorCode::NotLoaded
            | ErrorCode::StaleFence
            | ErrorCode::LoadFailed
            | ErrorCode::NoSlot => Category::Refused,
            ErrorCode::Broken | ErrorCode::Silent => Category::Unknown,
        }
    }

    /// Tells whether the engine does not hold the adapter.
    pub fn is_not_loaded(&self) -> bool {
        self.inner.code == ErrorCode::NotLoaded
    }

    /// Tells whether the engine had no slot free for the adapter.
    pub fn is_no_slot(&self) -> bool {
        self.inner.code == ErrorCode::NoSlot
    }

    /// Tells whether the engine has seen a higher fencing number.
    pub fn is_stale_fence(&self) -> bool {
        self.inner.code == ErrorCode::StaleFence
    }
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let what = match self.inner.code {
            ErrorCode::Unreachable => "the backend server can't be reached",
            ErrorCode::NotLoaded => "the engine does not hold the adapter",
            ErrorCode::StaleFence => "the engine has seen a higher fencing number",
            ErrorCode::LoadFailed => "the engine could not load or unload the adapter",
            ErrorCode::NoSlot => "the engine has no free slot",
            ErrorCode::Broken => "the answer broke off",
            ErrorCode::Silent => "the backend server went silent",
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

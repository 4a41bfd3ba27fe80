//! When a peer can't be reached or understood.

use std::fmt;

/// Alias for a `Result` with the wire's error.
pub type Result<T> = std::result::Result<T, Error>;

/// Represents a failure on the way to or from a peer.
pub struct Error {
    inner: Box<ErrorInner>,
}

struct ErrorInner {
    code: ErrorCode,
    detail: String,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ErrorCode {
    BadIdentity,
    Bind,
    Broken,
    BadFrame,
}

/// Groups the ways in which the wire fails.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Category {
    /// Keys, certificates or addresses are wrong.
    Setup,
    /// The connection or stream is gone.
    Io,
    /// The peer sent something that is not the protocol.
    Data,
}

impl Error {
    pub(crate) fn new(code: ErrorCode, detail: impl fmt::Display) -> Self {
        Error { inner: Box::new(ErrorInner { code, detail: detail.to_string() }) }
    }

    /// Tells which kind of failure this is.
    pub fn classify(&self) -> Category {
        match self.inner.code {
            ErrorCode::BadIdentity | ErrorCode::Bind => Category::Setup,
            ErrorCode::Broken => Category::Io,
            ErrorCode::BadFrame => Category::Data,
        }
    }
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let what = match self.inner.code {
            ErrorCode::BadIdentity => "keys or certificates are not usable",
            ErrorCode::Bind => "the endpoint can't be opened",
            ErrorCode::Broken => "the connection is broken",
            ErrorCode::BadFrame => "the peer sent a bad frame",
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

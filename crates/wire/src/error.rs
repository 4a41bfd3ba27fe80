//! Errors of the wire protocol.

use std::fmt;

/// Alias for a `Result` with the wire protocol's [`Error`].
pub type Result<T> = std::result::Result<T, Error>;

/// A failure to open an endpoint, or to send to or receive from a peer.
pub struct Error {
    inner: Box<ErrorInner>,
}

struct ErrorInner {
    code: ErrorCode,
    detail: String,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ErrorCode {
    InvalidIdentity,
    Bind,
    Interrupted,
    InvalidFrame,
}

/// The kind of an [`Error`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Category {
    /// The keys, the certificates or the address can't be used.
    Setup,
    /// The connection or the stream was lost.
    Io,
    /// A frame can't be encoded or decoded.
    Data,
}

impl Error {
    pub(crate) fn new(code: ErrorCode, detail: impl fmt::Display) -> Self {
        Error { inner: Box::new(ErrorInner { code, detail: detail.to_string() }) }
    }

    /// Returns the kind of this error.
    pub fn classify(&self) -> Category {
        match self.inner.code {
            ErrorCode::InvalidIdentity | ErrorCode::Bind => Category::Setup,
            ErrorCode::Interrupted => Category::Io,
            ErrorCode::InvalidFrame => Category::Data,
        }
    }
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let description = match self.inner.code {
            ErrorCode::InvalidIdentity => "invalid keys or certificates",
            ErrorCode::Bind => "failed to open the endpoint",
            ErrorCode::Interrupted => "the connection was interrupted",
            ErrorCode::InvalidFrame => "failed to encode or decode a frame",
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

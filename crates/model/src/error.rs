//! Errors of parsing values and applying configuration changes.

use std::fmt;

use crate::Code;

/// Alias for a `Result` with the model's [`Error`].
pub type Result<T> = std::result::Result<T, Error>;

/// A value that does not parse or a configuration change that can't be applied.
pub struct Error {
    inner: Box<ErrorInner>,
}

struct ErrorInner {
    code: ErrorCode,
    subject: String,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ErrorCode {
    InvalidName,
    InvalidAdapter,
    MissingVersion,
    InvalidKeyHash,
    UnknownOrganisation,
    UnknownAdapter,
    UnknownClass,
    AlreadyExists,
    OutOfRange,
}

/// The kind of an [`Error`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Category {
    /// The value has the wrong format or is out of range.
    Syntax,
    /// The value refers to an object that does not exist.
    NotFound,
    /// The object already exists.
    Conflict,
}

impl Error {
    pub(crate) fn new(code: ErrorCode, subject: impl fmt::Display) -> Self {
        Error { inner: Box::new(ErrorInner { code, subject: subject.to_string() }) }
    }

    /// Returns the kind of this error.
    pub fn classify(&self) -> Category {
        match self.inner.code {
            ErrorCode::InvalidName
            | ErrorCode::InvalidAdapter
            | ErrorCode::MissingVersion
            | ErrorCode::InvalidKeyHash
            | ErrorCode::OutOfRange => Category::Syntax,
            ErrorCode::UnknownOrganisation
            | ErrorCode::UnknownAdapter
            | ErrorCode::UnknownClass => Category::NotFound,
            ErrorCode::AlreadyExists => Category::Conflict,
        }
    }

    /// Returns the numbered code that is reported to callers and operators.
    pub fn code(&self) -> Code {
        match self.inner.code {
            ErrorCode::MissingVersion => Code::VersionMissing,
            ErrorCode::UnknownAdapter => Code::UnknownAdapter,
            ErrorCode::UnknownOrganisation => Code::UnknownOrganisation,
            ErrorCode::UnknownClass => Code::UnknownClass,
            ErrorCode::AlreadyExists => Code::AlreadyExists,
            ErrorCode::InvalidName
            | ErrorCode::InvalidAdapter
            | ErrorCode::InvalidKeyHash
            | ErrorCode::OutOfRange => Code::MalformedRequest,
        }
    }
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let subject = &self.inner.subject;
        match self.inner.code {
            ErrorCode::InvalidName => write!(
                f,
                "`{subject}` is not a name: use 1 to 63 of a-z 0-9 . _ -, starting with a letter or digit"
            ),
            ErrorCode::InvalidAdapter => {
                write!(f, "`{subject}` does not have the form organisation/adapter@version")
            }
            ErrorCode::MissingVersion => {
                write!(f, "`{subject}` has no version; expected organisation/adapter@version")
            }
            ErrorCode::InvalidKeyHash => write!(f, "`{subject}` is not 64 hexadecimal digits"),
            ErrorCode::UnknownOrganisation => write!(f, "there is no organisation `{subject}`"),
            ErrorCode::UnknownAdapter => write!(f, "there is no adapter `{subject}`"),
            ErrorCode::UnknownClass => write!(f, "there is no request class `{subject}`"),
            ErrorCode::AlreadyExists => write!(f, "`{subject}` already exists"),
            ErrorCode::OutOfRange => write!(f, "{subject} is out of range"),
        }
    }
}

impl fmt::Debug for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "Error({:?}, {:?})", self.inner.code, self.inner.subject)
    }
}

impl std::error::Error for Error {}

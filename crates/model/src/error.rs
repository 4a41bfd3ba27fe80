//! When a value of the model can't be made from its input.

use std::fmt;

use crate::Code;

/// Alias for a `Result` with the model's error.
pub type Result<T> = std::result::Result<T, Error>;

/// Represents a value that the model refuses.
pub struct Error {
    inner: Box<ErrorInner>,
}

struct ErrorInner {
    code: ErrorCode,
    subject: String,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ErrorCode {
    BadName,
    BadAdapter,
    MissingVersion,
    BadKeyHash,
    UnknownOrganisation,
    UnknownAdapter,
    UnknownClass,
    AlreadyExists,
    OutOfRange,
}

/// Groups the ways in which a value is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Category {
    /// The text does not have the form asked for.
    Syntax,
    /// The value refers to something that is not there.
    Missing,
    /// The value clashes with what is there already.
    Conflict,
}

impl Error {
    pub(crate) fn new(code: ErrorCode, subject: impl fmt::Display) -> Self {
        Error { inner: Box::new(ErrorInner { code, subject: subject.to_string() }) }
    }

    /// Tells which kind of fault this is.
    pub fn classify(&self) -> Category {
        match self.inner.code {
            ErrorCode::BadName
            | ErrorCode::BadAdapter
            | ErrorCode::MissingVersion
            | ErrorCode::BadKeyHash
            | ErrorCode::OutOfRange => Category::Syntax,
            ErrorCode::UnknownOrganisation
            | ErrorCode::UnknownAdapter
            | ErrorCode::UnknownClass => Category::Missing,
            ErrorCode::AlreadyExists => Category::Conflict,
        }
    }

    /// Returns the numbered code that callers and operators see.
    pub fn code(&self) -> Code {
        match self.inner.code {
            ErrorCode::MissingVersion => Code::VersionMissing,
            ErrorCode::UnknownAdapter => Code::UnknownAdapter,
            ErrorCode::UnknownOrganisation => Code::UnknownOrganisation,
            ErrorCode::UnknownClass => Code::UnknownClass,
            ErrorCode::AlreadyExists => Code::AlreadyExists,
            ErrorCode::BadName
            | ErrorCode::BadAdapter
            | ErrorCode::BadKeyHash
            | ErrorCode::OutOfRange => Code::MalformedRequest,
        }
    }
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let subject = &self.inner.subject;
        match self.inner.code {
            ErrorCode::BadName => write!(
                f,
                "`{subject}` is not a name: use 1 to 63 of a-z 0-9 . _ -, starting with a letter or digit"
            ),
            ErrorCode::BadAdapter => write!(f, "`{subject}` is not organisation/adapter@version"),
            ErrorCode::MissingVersion => {
                write!(f, "`{subject}` names no version; write organisation/adapter@version")
            }
            ErrorCode::BadKeyHash => write!(f, "`{subject}` is not 64 hexadecimal digits"),
            ErrorCode::UnknownOrganisation => write!(f, "there is no organisation `{subject}`"),
            ErrorCode::UnknownAdapter => write!(f, "there is no adapter `{subject}`"),
            ErrorCode::UnknownClass => write!(f, "there is no request class `{subject}`"),
            ErrorCode::AlreadyExists => write!(f, "`{subject}` exists already"),
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

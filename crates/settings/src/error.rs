//! Errors of reading and validating settings.

use std::fmt;
use std::path::Path;

use guavaspread_model::Code;

/// Alias for a `Result` with the settings' [`Error`].
pub type Result<T> = std::result::Result<T, Error>;

/// Settings that can't be read or are invalid.
pub struct Error {
    inner: Box<ErrorInner>,
}

struct ErrorInner {
    code: ErrorCode,
    file: String,
    detail: String,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ErrorCode {
    Unreadable,
    Syntax,
    Inconsistent,
}

/// The kind of an [`Error`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Category {
    /// A file can't be read.
    Io,
    /// A key is unknown, or a value has the wrong type or format.
    Syntax,
    /// A value is out of range, or values contradict each other.
    Inconsistent,
}

impl Error {
    pub(crate) fn new(code: ErrorCode, file: &Path, detail: impl fmt::Display) -> Self {
        let file = file.display().to_string();
        Error { inner: Box::new(ErrorInner { code, file, detail: detail.to_string() }) }
    }

    /// Returns the kind of this error.
    pub fn classify(&self) -> Category {
        match self.inner.code {
            ErrorCode::Unreadable => Category::Io,
            ErrorCode::Syntax => Category::Syntax,
            ErrorCode::Inconsistent => Category::Inconsistent,
        }
    }
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let detail = self.inner.detail.trim_end();
        write!(f, "error {}: {}: {detail}", Code::BadSettings, self.inner.file)
    }
}

impl fmt::Debug for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "Error({:?}, {:?}, {:?})", self.inner.code, self.inner.file, self.inner.detail)
    }
}

impl std::error::Error for Error {}

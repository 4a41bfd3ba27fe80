//! When settings can't be used.

use std::fmt;
use std::path::Path;

use guavaspread_model::Code;

/// Alias for a `Result` with the settings' error.
pub type Result<T> = std::result::Result<T, Error>;

/// Represents settings that can't be used.
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
    Contradiction,
}

/// Groups the ways in which settings are wrong.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Category {
    /// A file can't be read.
    Io,
    /// A key or value has the wrong form.
    Syntax,
    /// The values don't fit each other.
    Contradiction,
}

impl Error {
    pub(crate) fn new(code: ErrorCode, file: &Path, detail: impl fmt::Display) -> Self {
        let file = file.display().to_string();
        Error { inner: Box::new(ErrorInner { code, file, detail: detail.to_string() }) }
    }

    /// Tells which kind of fault this is.
    pub fn classify(&self) -> Category {
        match self.inner.code {
            ErrorCode::Unreadable => Category::Io,
            ErrorCode::Syntax => Category::Syntax,
            ErrorCode::Contradiction => Category::Contradiction,
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

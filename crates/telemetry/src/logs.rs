//! Logs as JSON lines on standard error.

use flexi_logger::{FlexiLoggerError, Logger, LoggerHandle, WriteMode, json_format};

/// A handle of the running logger; dropping it flushes buffered lines.
pub type LogHandle = LoggerHandle;

/// The error of a logger that can't be started.
pub type Error = FlexiLoggerError;

/// Alias for a `Result` with the logger's error.
pub type Result<T> = std::result::Result<T, Error>;

/// Starts logging at `level`, a level or a list of `module=level`.
///
/// # Errors
///
/// Fails when `level` does not parse or logging is already started.
pub fn start_logs(level: &str) -> Result<LogHandle> {
    Logger::try_with_str(level)?
        .format(json_format)
        .log_to_stderr()
        .write_mode(WriteMode::Direct)
        .start()
}

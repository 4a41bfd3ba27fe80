//! Logs as JSON lines on standard error.

use flexi_logger::{FlexiLoggerError, Logger, LoggerHandle, WriteMode, json_format};

/// Keeps logging alive; dropping it flushes what is buffered.
pub type LogHandle = LoggerHandle;

/// Represents logging that can't be started.
pub type Error = FlexiLoggerError;

/// Alias for a `Result` with the logger's error.
pub type Result<T> = std::result::Result<T, Error>;

/// Starts logging at `level`, a level or a list of `module=level`.
///
/// # Errors
///
/// Fails when `level` does not parse or logging has been started before.
pub fn start_logs(level: &str) -> Result<LogHandle> {
    Logger::try_with_str(level)?
        .format(json_format)
        .log_to_stderr()
        .write_mode(WriteMode::Direct)
        .start()
}

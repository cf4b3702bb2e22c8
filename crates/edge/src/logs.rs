//! The log: one JSON object a line on standard output.

use flexi_logger::{
    ErrorChannel,
    FlexiLoggerError,
    Logger,
    LoggerHandle,
    json_format, //
};

/// Starts the log; it ends when the handle is dropped.
///
/// # Errors
///
/// What the logger reported.
pub fn start() -> Result<LoggerHandle, FlexiLoggerError> {
    Logger::try_with_str("info")?
        .log_to_stdout()
        // Its own messages would go to standard error, and end the task if that is full.
        .error_channel(ErrorChannel::DevNull)
        .format(json_format)
        .start()
}

//! The log: one JSON object a line on standard error.

use flexi_logger::{
    ErrorChannel,
    FlexiLoggerError,
    LogSpecification,
    Logger,
    LoggerHandle,
    json_format, //
};
use log::LevelFilter;
use settings::{
    Level,
    Log, //
};

/// Starts the logger with the levels of the settings; dropping the handle shuts it down.
///
/// # Errors
///
/// The error of the logger.
pub fn start(settings: &Log) -> Result<LoggerHandle, FlexiLoggerError> {
    let mut specification = LogSpecification::builder();
    specification.default(level_filter(settings.level));
    for (target, level) in &settings.targets {
        specification.module(&**target, level_filter(*level));
    }
    Logger::with(specification.build())
        .log_to_stderr()
        // The logger's own errors would go to standard error too, and end the task if that is full.
        .error_channel(ErrorChannel::DevNull)
        .format(json_format)
        .start()
}

const fn level_filter(level: Level) -> LevelFilter {
    match level {
        Level::Debug => LevelFilter::Debug,
        Level::Error => LevelFilter::Error,
        Level::Info => LevelFilter::Info,
        Level::Off => LevelFilter::Off,
        Level::Trace => LevelFilter::Trace,
        Level::Warn => LevelFilter::Warn,
    }
}

//! Sets up logging.

use logforth::append::Stderr;
use logforth::append::Stdout;
use logforth::append::asynchronous::Async as AsyncAppend;
use logforth::append::asynchronous::AsyncBuilder;
use logforth::layout::JsonLayout;
use logforth::layout::TextLayout;
use logforth::record::Level;
use logforth::record::LevelFilter;

use crate::settings::LogFormat;
use crate::settings::LogLevel;
use crate::settings::LoggingSettings;

/// Maximum number of lines that wait to be written. Further lines are dropped.
const MAX_BUFFERED_LINES: usize = 8192;

/// Flushes the log when dropped. Keep it until the process ends.
#[derive(Debug)]
#[must_use = "the last lines of the log are written when the guard is dropped"]
pub struct LogGuard(());

impl Drop for LogGuard {
    fn drop(&mut self) {
        log::logger().flush();
    }
}

/// Logs to standard error, from a separate thread.
///
/// Does nothing if a logger is already set, so that the parts of several
/// processes can run in one.
pub fn init(settings: &LoggingSettings) -> LogGuard {
    let stderr = match settings.format {
        LogFormat::Text => Stderr::default().with_layout(TextLayout::default().no_color()),
        LogFormat::Json => Stderr::default().with_layout(JsonLayout::default()),
    };
    let writer = AsyncBuilder::new("log-writer")
        .buffered_lines_limit(Some(MAX_BUFFERED_LINES))
        .overflow_drop_incoming()
        .append(stderr)
        .build();
    install(settings.level, writer)
}

/// Logs to standard output, from a separate thread, with one JSON object per
/// line.
///
/// Does nothing if a logger is already set.
pub fn init_stdout() -> LogGuard {
    let writer = AsyncBuilder::new("log-writer")
        .buffered_lines_limit(Some(MAX_BUFFERED_LINES))
        .overflow_drop_incoming()
        .append(Stdout::default().with_layout(JsonLayout::default()))
        .build();
    install(LogLevel::Info, writer)
}

fn install(log_level: LogLevel, writer: AsyncAppend) -> LogGuard {
    let filter = LevelFilter::MoreSevereEqual(level(log_level));
    let logger = logforth::core::builder()
        .dispatch(|dispatch| dispatch.filter(filter).append(writer))
        .build();
    let bridge = logforth::bridge::log::LogBridge::new(logger);
    if log::set_boxed_logger(Box::new(bridge)).is_ok() {
        log::set_max_level(max_level(log_level));
    }
    LogGuard(())
}

fn level(level: LogLevel) -> Level {
    match level {
        LogLevel::Error => Level::Error,
        LogLevel::Warn => Level::Warn,
        LogLevel::Info => Level::Info,
        LogLevel::Debug => Level::Debug,
        LogLevel::Trace => Level::Trace,
    }
}

fn max_level(level: LogLevel) -> log::LevelFilter {
    match level {
        LogLevel::Error => log::LevelFilter::Error,
        LogLevel::Warn => log::LevelFilter::Warn,
        LogLevel::Info => log::LevelFilter::Info,
        LogLevel::Debug => log::LevelFilter::Debug,
        LogLevel::Trace => log::LevelFilter::Trace,
    }
}

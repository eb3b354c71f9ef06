use std::io;

use slog::Drain;
use slog::Level;
use slog::Logger;
use slog::o;
use slog_async::Async;
use slog_async::AsyncGuard;

use crate::schema::LogFormat;
use crate::schema::LogLevel;
use crate::schema::LogSettings;

/// lines that wait for the terminal or file; more are dropped and counted.
const QUEUED_LINES: usize = 4_096;

/// writes the lines that still wait when it is dropped; kept until the process ends.
pub struct LogGuard {
    _guard: AsyncGuard,
}

/// starts a logger that writes to the standard error stream from a thread of its own.
pub fn start_logger(settings: &LogSettings, instance: &str) -> (Logger, LogGuard) {
    let level = level(settings.level);
    let (drain, guard) = match settings.format {
        LogFormat::Json => queued(slog_json::Json::default(io::stdout()).fuse()),
        LogFormat::Terminal => {
            let decorator = slog_term::PlainDecorator::new(io::stderr());
            queued(slog_term::FullFormat::new(decorator).use_utc_timestamp().build().fuse())
        }
    };
    let logger = Logger::root(drain.filter_level(level).fuse(), o!("instance" => instance.to_owned()));
    (logger, LogGuard { _guard: guard })
}

fn queued<D>(drain: D) -> (slog::Fuse<Async>, AsyncGuard)
where
    D: Drain<Err = slog::Never, Ok = ()> + Send + 'static,
{
    let (queue, guard) =
        Async::new(drain).chan_size(QUEUED_LINES).thread_name("log".to_owned()).build_with_guard();
    (queue.fuse(), guard)
}

fn level(level: LogLevel) -> Level {
    match level {
        LogLevel::Error => Level::Error,
        LogLevel::Warn => Level::Warning,
        LogLevel::Info => Level::Info,
        LogLevel::Debug => Level::Debug,
    }
}

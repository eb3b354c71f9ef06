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

/// log records that may wait for the writer thread; further ones are dropped and counted.
const LOG_QUEUE_CAPACITY: usize = 4_096;

/// writes the queued log records when it is dropped; hold it until the process exits.
pub struct LogGuard {
    _guard: AsyncGuard,
}

/// starts a logger with its own writer thread: JSON goes to stdout, the terminal format to stderr.
pub fn start_logger(settings: &LogSettings, instance: &str) -> (Logger, LogGuard) {
    let level = slog_level(settings.level);
    let (drain, guard) = match settings.format {
        LogFormat::Json => start_writer(slog_json::Json::default(io::stdout()).fuse()),
        LogFormat::Terminal => {
            let decorator = slog_term::PlainDecorator::new(io::stderr());
            start_writer(slog_term::FullFormat::new(decorator).use_utc_timestamp().build().fuse())
        }
    };
    let logger = Logger::root(drain.filter_level(level).fuse(), o!("instance" => instance.to_owned()));
    (logger, LogGuard { _guard: guard })
}

fn start_writer<D>(drain: D) -> (slog::Fuse<Async>, AsyncGuard)
where
    D: Drain<Err = slog::Never, Ok = ()> + Send + 'static,
{
    let (queue, guard) =
        Async::new(drain).chan_size(LOG_QUEUE_CAPACITY).thread_name("log".to_owned()).build_with_guard();
    (queue.fuse(), guard)
}

fn slog_level(level: LogLevel) -> Level {
    match level {
        LogLevel::Error => Level::Error,
        LogLevel::Warn => Level::Warning,
        LogLevel::Info => Level::Info,
        LogLevel::Debug => Level::Debug,
    }
}

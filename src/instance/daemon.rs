use std::sync::Arc;

use anyhow::Context;
use async_signal::Signal;
use async_signal::Signals;
use flamingo_edge::Spawner;
use futures_lite::StreamExt;
use futures_lite::future;
use slog::Logger;
use slog::info;

use crate::instance::Instance;
use crate::platform::HttpPlatform;
use crate::platform::HttpPlatformOptions;
use crate::settings::Settings;
use crate::telemetry::Recorder;
use crate::telemetry::start_logger;

/// runs one instance until it is told to leave by a signal or by an operator.
pub fn run_daemon(settings: Settings) -> anyhow::Result<()> {
    let (log, _guard) = start_logger(&settings.log, &settings.instance.name);
    let metrics = Recorder::install().context("install the metrics recorder")?;
    let spawner = Spawner::start(settings.thread_count);
    async_io::block_on(run(settings, spawner, log, metrics))
}

async fn run(settings: Settings, spawner: Spawner, log: Logger, metrics: Recorder) -> anyhow::Result<()> {
    let mut signals = Signals::new([Signal::Term, Signal::Int]).context("watch for signals")?;
    let options = HttpPlatformOptions::try_from(&settings.platform)?;
    let platform = Arc::new(HttpPlatform::new(options));
    let instance = Instance::start(settings, spawner, platform, log.clone(), metrics)?;
    let shared = Arc::clone(&instance.shared);
    let told = async {
        signals.next().await;
        info!(log, "told to stop by a signal");
        shared.begin_leaving();
        future::pending::<()>().await;
    };
    future::or(instance.left(), told).await;
    Ok(())
}

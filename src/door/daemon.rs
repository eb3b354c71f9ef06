use std::net::SocketAddr;
use std::net::TcpListener;
use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use anyhow::Context;
use anyhow::bail;
use async_io::Async;
use async_io::Timer;
use async_signal::Signal;
use async_signal::Signals;
use flamingo_edge::Spawner;
use futures_lite::StreamExt;
use futures_lite::future;
use hyper::Request;
use hyper::body::Incoming;
use slog::Logger;
use slog::error;
use slog::info;

use crate::door::door::Door;
use crate::door::entry::answer_caller;
use crate::door::entry::answer_directory;
use crate::door::entry::answer_readiness;
use crate::door::follow::follow;
use crate::door::mesh_inbox::MeshInbox;
use crate::door::reporter::find_ledger;
use crate::door::reporter::report;
use crate::door::serve::Served;
use crate::door::serve::serve;
use crate::fleet::EssentialTasks;
use crate::fleet::start_mesh;
use crate::ids::Incarnation;
use crate::platform::HttpPlatform;
use crate::platform::HttpPlatformOptions;
use crate::platform::OPERATOR_CONFIG;
use crate::platform::REPLICAS;
use crate::settings::DoorAddresses;
use crate::settings::NodeSettings;
use crate::telemetry::serve_metrics;
use crate::telemetry::start_logger;

/// how often callers may use an answer of the directory beyond the time that it names.
const STALE_DIRECTORY_FACTOR: u64 = 3;
/// part of the grace time after which connections end with their request.
const CLOSE_SHARE: f64 = 0.5;
/// time before the end of the grace time at which the process ends in any case.
const EXIT_MARGIN: Duration = Duration::from_millis(700);
/// longest grace time that makes sense; a larger setting is a mistake.
const MAX_GRACE_S: f64 = 3_600.0;
/// how often a leaving door looks whether its connections have ended.
const LEAVE_PAUSE: Duration = Duration::from_millis(50);

/// runs a front door until it is told to stop by a signal and its requests have ended.
pub fn run_door(settings: &NodeSettings, addresses: DoorAddresses) -> anyhow::Result<()> {
    let (log, _guard) = start_logger(&settings.log, &settings.instance.name);
    let spawner = Spawner::local();
    spawner.run(run(settings.clone(), addresses, spawner.clone(), log))
}

async fn run(
    settings: NodeSettings,
    addresses: DoorAddresses,
    spawner: Spawner,
    log: Logger,
) -> anyhow::Result<()> {
    let mut signals = Signals::new([Signal::Term, Signal::Int, Signal::Hup]).context("watch for signals")?;
    if let Some(address) = settings.metrics {
        serve_metrics(&spawner, address)?;
    }
    let incarnation = Incarnation::start_now();
    let platform = Arc::new(HttpPlatform::new(HttpPlatformOptions::try_from(&settings.platform)?));
    let started = incarnation.to_string();
    let door = Arc::new(Door::new(settings, addresses, started, spawner.clone(), log.clone()));
    info!(log, "start"; "role" => "door", "incarnation" => incarnation.as_str());
    let inbox = Arc::new(MeshInbox::new(&door));
    door.ledger.set_mesh(start_mesh(&door.settings, &spawner, incarnation, inbox)?);
    let (close, closing) = async_channel::bounded::<()>(1);
    let open = Arc::new(AtomicUsize::new(0));
    let served = Served { spawner: spawner.clone(), open: Arc::clone(&open), closing };
    let essentials = EssentialTasks::new(spawner.clone());
    for prefix in [OPERATOR_CONFIG, REPLICAS] {
        essentials.spawn(prefix, follow(Arc::clone(&door), Arc::clone(&platform), prefix));
    }
    essentials.spawn("find the ledger", find_ledger(Arc::clone(&door), platform));
    essentials.spawn("report", report(Arc::clone(&door)));
    listen(&door, &served)?;
    let told_to_stop = async {
        loop {
            match signals.next().await {
                Some(Ok(Signal::Hup)) => {
                    info!(log, "told to read the settings again; they hold from the next start")
                }
                Some(Ok(_)) | None => return None,
                Some(Err(error)) => info!(log, "signals cannot be read"; "error" => error.to_string()),
            }
        }
    };
    if let Some(task) = future::or(told_to_stop, async { Some(essentials.ended().await) }).await {
        error!(log, "an essential task has ended"; "task" => task);
        bail!("the task {task:?} has ended");
    }
    leave(&door, &open, close).await;
    info!(log, "stop"; "open_connections" => open.load(Ordering::Relaxed));
    Ok(())
}

/// stays for callers that were sent here, then ends each connection after its request.
async fn leave(door: &Door, open: &AtomicUsize, close: async_channel::Sender<()>) {
    let bounds = &door.settings.bounds;
    let told = Instant::now();
    info!(door.log, "told to stop by a signal"; "open_connections" => open.load(Ordering::Relaxed));
    door.leave();
    let grace = Duration::from_secs_f64(bounds.grace_s.clamp(0.0, MAX_GRACE_S));
    let stale = Duration::from_millis(bounds.directory_ttl_ms * STALE_DIRECTORY_FACTOR);
    Timer::after(stale.min(grace.mul_f64(CLOSE_SHARE))).await;
    close.close();
    while open.load(Ordering::Relaxed) > 0 && told.elapsed() + EXIT_MARGIN < grace {
        Timer::after(LEAVE_PAUSE).await;
    }
}

fn listen(door: &Arc<Door>, served: &Served) -> anyhow::Result<()> {
    let DoorAddresses { callers, readiness, directory } = door.addresses;
    // The checks of the platform and the directory serve no requests that would have to end.
    let side = Served { open: Arc::default(), ..served.clone() };
    let own = Arc::clone(door);
    let handler = move |request: Request<Incoming>| answer_caller(Arc::clone(&own), request);
    door.spawner.detach(serve(bind(callers)?, served.clone(), handler));
    let own = Arc::clone(door);
    let handler = move |request: Request<Incoming>| {
        let own = Arc::clone(&own);
        async move { answer_readiness(&own, &request) }
    };
    door.spawner.detach(serve(bind(readiness)?, side.clone(), handler));
    let own = Arc::clone(door);
    let handler = move |request: Request<Incoming>| {
        let own = Arc::clone(&own);
        async move { answer_directory(&own, &request) }
    };
    door.spawner.detach(serve(bind(directory)?, side, handler));
    Ok(())
}

fn bind(address: SocketAddr) -> anyhow::Result<Async<TcpListener>> {
    Async::<TcpListener>::bind(address).with_context(|| format!("listen on {address}"))
}

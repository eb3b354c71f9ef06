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

use crate::door::StopPlan;
use crate::door::door::Door;
use crate::door::entry::Sender;
use crate::door::entry::answer_directory;
use crate::door::entry::answer_readiness;
use crate::door::entry::handle_request;
use crate::door::follow::follow_platform;
use crate::door::mesh_inbox::MeshInbox;
use crate::door::poison_sender::send_poison_records;
use crate::door::reach_monitor::watch_reach;
use crate::door::reporter::discover_ledger;
use crate::door::reporter::report_to_ledger;
use crate::door::serve::ListenerContext;
use crate::door::serve::serve;
use crate::fleet::EssentialTasks;
use crate::fleet::start_mesh;
use crate::ids::Incarnation;
use crate::platform::CONFIG_PREFIX;
use crate::platform::HttpPlatform;
use crate::platform::HttpPlatformOptions;
use crate::platform::REPLICA_PREFIX;
use crate::settings::DoorAddresses;
use crate::settings::NodeSettings;
use crate::telemetry::serve_metrics;
use crate::telemetry::start_logger;

/// upper limit of the grace period; a larger setting is taken as an error and clamped.
const MAX_GRACE_S: f64 = 3_600.0;
/// time in which the last answers are sent before the process exits.
const LAST_ANSWERS_TIME: Duration = Duration::from_millis(50);
/// how often a draining door checks whether its connections have closed.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// runs a front door until a signal stops it and its requests have finished or the grace period is over.
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
    let mut signals = Signals::new([Signal::Term, Signal::Int, Signal::Hup])
        .context("failed to register signal handlers")?;
    if let Some(address) = settings.metrics {
        serve_metrics(&spawner, address)?;
    }
    let incarnation = Incarnation::generate();
    let platform = Arc::new(HttpPlatform::new(HttpPlatformOptions::try_from(&settings.platform)?));
    let started = incarnation.to_string();
    let door = Arc::new(Door::new(settings, addresses, started, spawner.clone(), log.clone()));
    info!(log, "start"; "role" => "door", "incarnation" => incarnation.as_str());
    let inbox = Arc::new(MeshInbox::new(&door));
    door.ledger.set_mesh(start_mesh(&door.settings, &spawner, incarnation, inbox)?);
    let (close, closing) = async_channel::bounded::<()>(1);
    let open_connections = Arc::new(AtomicUsize::new(0));
    let context = ListenerContext {
        spawner: spawner.clone(),
        open_connections: Arc::clone(&open_connections),
        closing,
    };
    let essentials = EssentialTasks::new(spawner.clone());
    for prefix in [CONFIG_PREFIX, REPLICA_PREFIX] {
        essentials.spawn(prefix, follow_platform(Arc::clone(&door), Arc::clone(&platform), prefix));
    }
    essentials.spawn("find the ledger", discover_ledger(Arc::clone(&door), platform));
    essentials.spawn("report", report_to_ledger(Arc::clone(&door)));
    essentials.spawn("tell of contents that end replicas", send_poison_records(Arc::clone(&door)));
    essentials.spawn("watch the way to the replicas", watch_reach(Arc::clone(&door)));
    listen(&door, &context)?;
    let stop_signal = async {
        loop {
            match signals.next().await {
                Some(Ok(Signal::Hup)) => {
                    info!(log, "received SIGHUP; settings are read only at startup, restart to apply changes")
                }
                Some(Ok(_)) | None => return None,
                Some(Err(error)) => info!(log, "failed to read signals"; "error" => error.to_string()),
            }
        }
    };
    if let Some(task) = future::or(stop_signal, async { Some(essentials.ended().await) }).await {
        error!(log, "essential task ended unexpectedly; exiting"; "task" => task);
        bail!("essential task {task:?} ended unexpectedly");
    }
    drain(&door, &open_connections, close).await;
    info!(log, "stop"; "open_connections" => open_connections.load(Ordering::Relaxed));
    Ok(())
}

/// serves callers with a cached address for a while, then closes each connection after its current request, and at
/// the end of the grace period answers those that still wait.
async fn drain(door: &Door, open_connections: &AtomicUsize, close: async_channel::Sender<()>) {
    let bounds = &door.settings.bounds;
    let signalled_at = Instant::now();
    info!(door.log, "received a stop signal; draining";
        "open_connections" => open_connections.load(Ordering::Relaxed));
    let grace = Duration::from_secs_f64(bounds.grace_s.clamp(0.0, MAX_GRACE_S));
    let plan = StopPlan::new(grace, Duration::from_millis(bounds.directory_ttl_ms));
    door.start_draining(signalled_at, plan);
    Timer::after(plan.closes_after).await;
    close.close();
    while open_connections.load(Ordering::Relaxed) > 0 {
        if signalled_at.elapsed() + LAST_ANSWERS_TIME >= plan.exits_after {
            door.announce_exit();
            Timer::after(LAST_ANSWERS_TIME).await;
            return;
        }
        Timer::after(DRAIN_POLL_INTERVAL).await;
    }
}

fn listen(door: &Arc<Door>, context: &ListenerContext) -> anyhow::Result<()> {
    let DoorAddresses { callers, readiness, directory, peers } = door.addresses;
    // Connections for readiness checks and the directory do not delay the exit, so they are not counted.
    let uncounted = ListenerContext { open_connections: Arc::default(), ..context.clone() };
    for (address, sender) in [(callers, Sender::Caller), (peers, Sender::Door)] {
        let shared_door = Arc::clone(door);
        let handler =
            move |request: Request<Incoming>| handle_request(Arc::clone(&shared_door), request, sender);
        door.spawner.detach(serve(bind(address)?, context.clone(), handler));
    }
    let shared_door = Arc::clone(door);
    let handler = move |request: Request<Incoming>| {
        let shared_door = Arc::clone(&shared_door);
        async move { answer_readiness(&shared_door, &request) }
    };
    door.spawner.detach(serve(bind(readiness)?, uncounted.clone(), handler));
    let shared_door = Arc::clone(door);
    let handler = move |request: Request<Incoming>| {
        let shared_door = Arc::clone(&shared_door);
        async move { answer_directory(&shared_door, &request) }
    };
    door.spawner.detach(serve(bind(directory)?, uncounted, handler));
    Ok(())
}

fn bind(address: SocketAddr) -> anyhow::Result<Async<TcpListener>> {
    Async::<TcpListener>::bind(address).with_context(|| format!("failed to listen on {address}"))
}

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use anyhow::Context;
use async_channel::Receiver;
use async_channel::Sender;
use async_io::Timer;
use async_signal::Signal;
use async_signal::Signals;
use flamingo_edge::Spawner;
use futures_lite::StreamExt;
use slog::Logger;
use slog::info;

use crate::fleet::Followed;
use crate::fleet::Follower;
use crate::ids::Incarnation;
use crate::ledger::CoreInput;
use crate::ledger::LedgerNode;
use crate::ledger::NodeCore;
use crate::ledger::OwnIdentity;
use crate::ledger::empty_view;
use crate::ledger_log::LedgerLog;
use crate::ledger_log::LogEvent;
use crate::ledger_node::event::Event;
use crate::ledger_node::inbox::Inbox;
use crate::ledger_node::runner::Runner;
use crate::mesh::Mesh;
use crate::mesh::MeshLimits;
use crate::mesh::MeshSettings;
use crate::platform::HttpPlatform;
use crate::platform::HttpPlatformOptions;
use crate::platform::Platform;
use crate::platform::RETIREMENTS;
use crate::platform::retiring_instance;
use crate::schema::LedgerMember;
use crate::schema::LedgerRecord;
use crate::settings::LedgerDisk;
use crate::settings::NodeSettings;
use crate::telemetry::start_logger;
use crate::timeline::Timeline;

/// time between two looks at the other members.
const TICK: Duration = Duration::from_millis(250);

/// runs one ledger node until it is told to stop by a signal.
pub fn run_ledger_node(settings: &NodeSettings, disk: &LedgerDisk) -> anyhow::Result<()> {
    let (log, _guard) = start_logger(&settings.log, &settings.instance.name);
    let spawner = Spawner::local();
    spawner.run(run(settings, disk, spawner.clone(), log))
}

async fn run(
    settings: &NodeSettings,
    disk: &LedgerDisk,
    spawner: Spawner,
    log: Logger,
) -> anyhow::Result<()> {
    let signals = Signals::new([Signal::Term, Signal::Int, Signal::Hup]).context("watch for signals")?;
    let mut records: Vec<LedgerRecord> = Vec::new();
    let opened = LedgerLog::open(&disk.data_dir, |record| records.push(record)).context("open the log")?;
    info!(log, "start"; "role" => "ledger", "disk" => &opened.disk, "empty" => opened.is_empty,
        "records" => records.len(), "torn" => opened.torn_count);
    let own = LedgerMember {
        name: settings.instance.name.clone(),
        disk: opened.disk.clone(),
        mesh: settings.mesh.to_string(),
    };
    let identity = OwnIdentity { name: own.name.clone(), disk: opened.disk };
    let lost_disks = settings.tolerance.lost_disks;
    let mut node = LedgerNode::new(identity, empty_view(lost_disks));
    for record in records {
        node.replay(0, &record);
    }
    let (events, incoming) = async_channel::unbounded();
    let platform = Arc::new(HttpPlatform::new(HttpPlatformOptions::try_from(&settings.platform)?));
    let mesh = start_mesh(settings, &spawner, events.clone())?;
    spawner.detach(forward_log_events(opened.events, events.clone()));
    spawner.detach(watch_retirements(
        Arc::clone(&platform),
        settings.platform.watch_ms,
        events.clone(),
        log.clone(),
    ));
    spawner.detach(tick(events.clone()));
    spawner.detach(watch_signals(signals, events.clone(), log.clone()));
    let mut runner = Runner {
        name: own.name.clone(),
        core: NodeCore::new(node, own),
        lost_disks,
        log: log.clone(),
        disk: opened.log,
        mesh,
        platform,
        spawner: spawner.clone(),
        events,
        started: Instant::now(),
    };
    while let Ok(event) = incoming.recv().await {
        if !runner.take(event)? {
            break;
        }
    }
    info!(log, "stop");
    Ok(())
}

fn start_mesh(
    settings: &NodeSettings,
    spawner: &Spawner,
    events: Sender<Event>,
) -> anyhow::Result<Arc<Mesh>> {
    let mesh = MeshSettings {
        listen: settings.mesh,
        cluster: settings.cluster.clone(),
        key: settings.mesh_key.clone(),
        incarnation: Incarnation::start_now(),
        name: settings.instance.name.clone(),
        limits: MeshLimits::of_fleet(),
    };
    let timeline = Arc::new(Timeline::new(&settings.instance.name));
    Mesh::start(spawner.clone(), mesh, timeline, Arc::new(Inbox { events })).context("listen on the mesh")
}

async fn forward_log_events(log_events: Receiver<LogEvent>, events: Sender<Event>) {
    while let Ok(event) = log_events.recv().await {
        let _ = events.try_send(Event::Log(event));
    }
}

async fn tick(events: Sender<Event>) {
    loop {
        let _ = events.try_send(Event::Input(CoreInput::Tick));
        Timer::after(TICK).await;
    }
}

async fn watch_signals(mut signals: Signals, events: Sender<Event>, log: Logger) {
    while let Some(signal) = signals.next().await {
        match signal {
            // A node is stopped between two records; what was stored stays on its disk.
            Ok(Signal::Term | Signal::Int) => {
                info!(log, "told to stop by a signal");
                let _ = events.try_send(Event::Stop);
            }
            // Nothing in the settings of a node changes while it runs.
            Ok(_) => info!(log, "told to read the settings again; they hold from the next start"),
            Err(error) => info!(log, "signals cannot be read"; "error" => error.to_string()),
        }
    }
}

async fn watch_retirements(platform: Arc<HttpPlatform>, wait_ms: u64, events: Sender<Event>, log: Logger) {
    let started = Instant::now();
    let now_ms = || started.elapsed().as_millis() as u64;
    let mut follower = Follower::new(RETIREMENTS, wait_ms, u64::from(std::process::id()));
    let mut retiring: BTreeSet<String> = BTreeSet::new();
    loop {
        let pause_ms = follower.next_call_ms().saturating_sub(now_ms());
        if pause_ms > 0 {
            Timer::after(Duration::from_millis(pause_ms)).await;
        }
        let result = platform.call(follower.request()).await;
        match follower.take(now_ms(), result) {
            Followed::Snapshot(objects) => {
                retiring = objects.iter().filter_map(retiring_instance).map(str::to_owned).collect();
            }
            Followed::Changes(changes) => {
                for change in changes {
                    let Some(name) = change.key.strip_prefix(RETIREMENTS) else {
                        continue;
                    };
                    if change.value.is_some() {
                        retiring.insert(name.to_owned());
                    } else {
                        retiring.remove(name);
                    }
                }
            }
            Followed::Nothing => continue,
            Followed::Failed(error) => {
                slog::debug!(log, "retirements cannot be followed"; "error" => error.to_string());
                continue;
            }
        }
        info!(log, "nodes to be emptied"; "names" => format!("{retiring:?}"));
        let _ = events.try_send(Event::Input(CoreInput::Retiring(retiring.clone())));
    }
}

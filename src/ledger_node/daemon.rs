use std::collections::BTreeSet;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use anyhow::Context;
use anyhow::bail;
use async_channel::Receiver;
use async_channel::Sender;
use async_io::Timer;
use async_signal::Signal;
use async_signal::Signals;
use flamingo_edge::Spawner;
use futures_lite::StreamExt;
use futures_lite::future;
use slog::Logger;
use slog::error;
use slog::info;

use crate::allotment::AllotmentBounds;
use crate::fleet::EssentialTasks;
use crate::fleet::PrefixWatcher;
use crate::fleet::WatchStep;
use crate::fleet::WatchUpdate;
use crate::fleet::start_mesh;
use crate::ids::Incarnation;
use crate::ledger::AskCounts;
use crate::ledger::CoreInput;
use crate::ledger::NodeCore;
use crate::ledger::empty_view;
use crate::ledger_log::LedgerLog;
use crate::ledger_log::LogEvent;
use crate::ledger_node::event::Event;
use crate::ledger_node::inbox::Inbox;
use crate::ledger_node::runner::Runner;
use crate::platform::CONFIG_PREFIX;
use crate::platform::HttpPlatform;
use crate::platform::HttpPlatformOptions;
use crate::platform::Platform;
use crate::platform::REPLICA_PREFIX;
use crate::platform::RETIREMENT_PREFIX;
use crate::platform::retiring_instance;
use crate::schema::LedgerMember;
use crate::schema::LedgerRecord;
use crate::settings::LedgerDisk;
use crate::settings::NodeSettings;
use crate::telemetry::Lateness;
use crate::telemetry::serve_metrics;
use crate::telemetry::start_logger;

/// prefixes of the platform's store that doors read through the ledger nodes.
const MIRRORED_PREFIXES: [&str; 2] = [CONFIG_PREFIX, REPLICA_PREFIX];
/// how many times longer the watch on retirements may wait than the one on the configuration.
const RETIREMENT_WAIT_FACTOR: u64 = 3;
/// interval at which a node outside the view checks whether it has become a member.
const MEMBERSHIP_POLL: Duration = Duration::from_millis(250);
/// interval of the timer that drives the checks of the other members.
const TICK_INTERVAL: Duration = Duration::from_millis(250);

/// runs a ledger node until SIGTERM or SIGINT, or until the disk or an essential task fails.
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
    let signals = Signals::new([Signal::Term, Signal::Int, Signal::Hup])
        .context("failed to register signal handlers")?;
    if let Some(address) = settings.metrics {
        serve_metrics(&spawner, address)?;
    }
    let mut records: Vec<LedgerRecord> = Vec::new();
    let opened = LedgerLog::open(&disk.data_dir, |record| records.push(record))
        .context("cannot open the ledger log")?;
    info!(log, "start"; "role" => "ledger", "disk" => &opened.disk, "empty" => opened.is_empty,
        "records" => records.len(), "torn" => opened.torn_count);
    let own = LedgerMember {
        name: settings.instance.name.clone(),
        disk: opened.disk,
        mesh: settings.mesh.to_string(),
    };
    let lost_disks = settings.tolerance.lost_disks;
    let incarnation = Incarnation::generate();
    let name = own.name.clone();
    let mut core = NodeCore::new(own, empty_view(lost_disks), incarnation.as_str());
    if let Some(bounds) = &settings.bounds.allotments {
        core.set_allotment_bounds(AllotmentBounds::from(bounds));
    }
    for record in records {
        core.replay(0, &record);
    }
    info!(log, "replayed the ledger log"; "turns" => core.node().store().turn_count(),
        "strikes" => core.node().store().strike_count(),
        "unanswered_runs" => core.node().store().run_count());
    let (events, incoming) = async_channel::unbounded();
    let platform = Arc::new(HttpPlatform::new(HttpPlatformOptions::try_from(&settings.platform)?));
    let inbox = Arc::new(Inbox { events: events.clone() });
    let mesh = start_mesh(settings, &spawner, incarnation, inbox)?;
    let essentials = EssentialTasks::new(spawner.clone());
    essentials.spawn("log", forward_log_events(opened.events, events.clone()));
    let wait_ms = settings.platform.watch_ms;
    // Until it has read a view, a node counts as a member: doors may know it as one.
    let is_member = Arc::new(AtomicBool::new(true));
    for prefix in MIRRORED_PREFIXES {
        let source = WatchedPrefix {
            platform: Arc::clone(&platform),
            prefix,
            wait_ms,
            is_member: Some(Arc::clone(&is_member)),
        };
        essentials.spawn(prefix, watch_prefix(source, events.clone(), log.clone()));
    }
    let wait_ms = RETIREMENT_WAIT_FACTOR * wait_ms;
    let source = WatchedPrefix {
        platform: Arc::clone(&platform),
        prefix: RETIREMENT_PREFIX,
        wait_ms,
        is_member: None,
    };
    essentials.spawn(RETIREMENT_PREFIX, watch_prefix(source, events.clone(), log.clone()));
    essentials.spawn("tick", tick(events.clone()));
    essentials.spawn("signals", watch_signals(signals, events.clone(), log.clone()));
    let mut runner = Runner {
        name,
        core,
        lost_disks,
        log: log.clone(),
        disk: opened.log,
        mesh,
        platform,
        spawner: spawner.clone(),
        events,
        started: Instant::now(),
        is_member,
        lateness: Lateness::default(),
        asks: AskCounts::default(),
        asks_since: Instant::now(),
    };
    let work = async {
        while let Ok(event) = incoming.recv().await {
            if !runner.handle(event)? {
                break;
            }
        }
        Ok(())
    };
    let ended = async {
        let task = essentials.ended().await;
        error!(log, "essential task ended unexpectedly; exiting"; "task" => task);
        bail!("essential task {task:?} ended unexpectedly")
    };
    future::or(work, ended).await?;
    info!(log, "stop");
    Ok(())
}

async fn forward_log_events(log_events: Receiver<LogEvent>, events: Sender<Event>) {
    while let Ok(event) = log_events.recv().await {
        let _ = events.try_send(Event::Log(event));
    }
}

async fn tick(events: Sender<Event>) {
    let mut due = Instant::now();
    loop {
        let late_ms = due.elapsed().as_millis() as u64;
        let _ = events.try_send(Event::Tick { late_ms });
        due = Instant::now() + TICK_INTERVAL;
        Timer::at(due).await;
    }
}

async fn watch_signals(mut signals: Signals, events: Sender<Event>, log: Logger) {
    while let Some(signal) = signals.next().await {
        match signal {
            // The node stops between two records; stored records stay on its disk.
            Ok(Signal::Term | Signal::Int) => {
                info!(log, "received a stop signal");
                let _ = events.try_send(Event::Stop);
            }
            // No setting of a node can change while it runs.
            Ok(_) => {
                info!(log, "received SIGHUP; settings are read only at startup, restart to apply changes")
            }
            Err(error) => info!(log, "failed to read signals"; "error" => error.to_string()),
        }
    }
}

/// a prefix of the platform's store that the node watches.
struct WatchedPrefix {
    platform: Arc<HttpPlatform>,
    prefix: &'static str,
    /// how long a watch may wait for changes.
    wait_ms: u64,
    /// if set, the prefix is watched only while this holds: doors ask no other nodes for it, and platform
    /// calls are charged.
    is_member: Option<Arc<AtomicBool>>,
}

impl WatchedPrefix {
    fn is_enabled(&self) -> bool {
        self.is_member.as_ref().is_none_or(|is_member| is_member.load(Ordering::Relaxed))
    }
}

/// lists and watches a prefix until the process ends.
async fn watch_prefix(source: WatchedPrefix, events: Sender<Event>, log: Logger) {
    let WatchedPrefix { platform, prefix, wait_ms, .. } = &source;
    let (prefix, wait_ms) = (*prefix, *wait_ms);
    let started = Instant::now();
    let now_ms = || started.elapsed().as_millis() as u64;
    let mut following = PrefixWatcher::new(prefix, wait_ms);
    let mut retiring: BTreeSet<String> = BTreeSet::new();
    loop {
        if !source.is_enabled() {
            Timer::after(MEMBERSHIP_POLL).await;
            continue;
        }
        let pause_ms = following.pause_ms(now_ms());
        if pause_ms > 0 {
            Timer::after(Duration::from_millis(pause_ms)).await;
        }
        let result = platform.call(following.request()).await;
        let WatchStep { update, after_outage } = following.on_result(now_ms(), result, &log);
        let input = match prefix {
            RETIREMENT_PREFIX if apply_retirements(&mut retiring, &update) => {
                info!(log, "retiring ledger nodes changed"; "names" => format!("{retiring:?}"));
                CoreInput::Retiring(retiring.clone())
            }
            RETIREMENT_PREFIX => continue,
            _ => CoreInput::WatchUpdate {
                prefix: prefix.to_owned(),
                update,
                revision: following.revision(),
                after_outage,
            },
        };
        // The receiving task ends only with the process.
        let _ = events.try_send(Event::Input(input));
    }
}

/// applies retirement orders; `false` if the platform reported nothing new or failed.
fn apply_retirements(retiring: &mut BTreeSet<String>, update: &WatchUpdate) -> bool {
    match update {
        WatchUpdate::Snapshot(objects) => {
            *retiring = objects.iter().filter_map(retiring_instance).map(str::to_owned).collect();
        }
        WatchUpdate::Changes(changes) => {
            for change in changes {
                let Some(name) = change.key.strip_prefix(RETIREMENT_PREFIX) else {
                    continue;
                };
                if change.value.is_some() {
                    retiring.insert(name.to_owned());
                } else {
                    retiring.remove(name);
                }
            }
        }
        WatchUpdate::Nothing | WatchUpdate::Failed(_) => return false,
    }
    true
}

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use async_channel::Receiver;
use async_io::Timer;
use flamingo_edge::timeout;
use slog::info;
use slog::warn;

use crate::door::allotment::give_back_tokens;
use crate::door::door::Door;
use crate::door::door::LeavingSource;
use crate::door::follow;
use crate::door::health_check::check_health;
use crate::door::ledger_discovery::LedgerDiscovery;
use crate::ledger::AskKind;
use crate::ledger::empty_view;
use crate::ledger_client::AskOutcome;
use crate::ledger_client::AskUpdate;
use crate::ledger_node::read_view;
use crate::platform::HttpPlatform;
use crate::schema::DoorReport;
use crate::schema::LedgerMember;
use crate::schema::LedgerReply;
use crate::schema::LedgerRequest;
use crate::schema::LedgerSpent;
use crate::telemetry::Lateness;

/// interval between reports to each ledger node; loads change within a few turns.
const REPORT_INTERVAL: Duration = Duration::from_millis(250);
/// report interval while the ledger is unreachable; the few extra reports cost next to nothing.
const UNREACHABLE_REPORT_INTERVAL: Duration = Duration::from_millis(80);
/// how long a request waits for news of its content: several round trips between availability zones.
const NEWS_TIMEOUT: Duration = Duration::from_millis(60);
/// interval between checks of the replicas of runs with an unknown outcome.
const SUSPECT_CHECK_INTERVAL: Duration = Duration::from_secs(1);
/// interval between queries to the seed nodes from the settings.
const SEED_QUERY_INTERVAL: Duration = Duration::from_millis(150);

/// looks for the ledger's membership view whenever the ledger is unreachable; runs until the process ends.
///
/// While nodes of the known view answer, newer views arrive with their answers.
pub(super) async fn discover_ledger(door: Arc<Door>, platform: Arc<HttpPlatform>) {
    let mut discovery = LedgerDiscovery::new(rand::random());
    loop {
        if door.ledger.is_reachable() {
            discovery.mark_reachable();
        } else {
            query_seeds(&door);
            if discovery.is_due(door.now_ms()) {
                fetch_view(&door, &platform).await;
            }
        }
        Timer::after(SEED_QUERY_INTERVAL).await;
    }
}

async fn fetch_view(door: &Door, platform: &HttpPlatform) {
    let empty = empty_view(door.settings.tolerance.lost_disks);
    match read_view(platform, empty).await {
        Ok((_, view)) => door.ledger.adopt(&view),
        Err(error) => {
            warn!(door.log, "failed to read the ledger view from the platform";
                "dependency" => "platform", "error" => error)
        }
    }
}

/// queries the seed nodes from the settings for their view, which works while the platform is unavailable.
fn query_seeds(door: &Arc<Door>) {
    let (sender, replies) = async_channel::unbounded();
    for seed in &door.settings.ledger_seeds {
        let member = LedgerMember { name: seed.to_string(), disk: String::new(), mesh: seed.to_string() };
        if door.ledger.has_pending(&member.name, AskKind::Spent) {
            continue;
        }
        // Epoch 0 is older than any view, so that the node answers with its own view.
        let spent = LedgerRequest::Spent(LedgerSpent { program: String::new() });
        door.ledger.ask(&member, 0, spent, None, &sender);
    }
    door.spawner.detach(apply_replies(Arc::clone(door), replies));
}

/// reports this door's state to the ledger nodes, whose answers describe the other doors; runs until the
/// process ends.
pub(super) async fn report_to_ledger(door: Arc<Door>) {
    let (sender, replies) = async_channel::unbounded();
    door.spawner.detach(apply_replies(Arc::clone(&door), replies));
    let mut was_unreachable = true;
    let mut lateness = Lateness::default();
    let mut checked = Instant::now();
    loop {
        let mut report = new_report(&door);
        let view = door.ledger.view();
        let in_flight = door.poison().in_flight_runs(door.now_ms());
        // One node sends this door the state of the others; the choice spreads doors over the nodes.
        let fleet_source = door.ledger.preferred_member(&view, &report.name);
        for member in &view.members {
            if door.ledger.has_pending(&member.name, AskKind::Report) {
                continue;
            }
            report.marks = door.marks(&member.name);
            report.strikes_mark = door.poison().marks.get(&member.name).cloned();
            report.wants_fleet = fleet_source.as_deref() == Some(&member.name);
            // One node is enough to notice that this door ends.
            report.unresolved = if report.wants_fleet { in_flight.clone() } else { Vec::new() };
            report.doors_mark = door.fleet().mark().filter(|_| report.wants_fleet).cloned();
            // An unreachable node is detected by its missing answers.
            door.ledger.ask(member, view.epoch, LedgerRequest::Report(report.clone()), None, &sender);
        }
        give_back_tokens(&door);
        door.ledger.expire();
        door.replicas().expire(door.now_ms());
        door.expire_poison();
        door.record_unresolved();
        door.record_spill_shares();
        check_suspects(&door, &mut checked);
        door.connections.expire();
        door.helper_connections.expire();
        // While the ledger is unreachable, shorter intervals detect its return sooner.
        let is_unreachable = !door.ledger.is_reachable();
        if is_unreachable != was_unreachable {
            log_ledger_state(&door, is_unreachable);
            was_unreachable = is_unreachable;
        }
        let due = Instant::now() + if is_unreachable { UNREACHABLE_REPORT_INTERVAL } else { REPORT_INTERVAL };
        Timer::at(due).await;
        record_lateness(&door, &mut lateness, due.elapsed().as_millis() as u64);
    }
}

/// a report of this door's state, without what depends on the node that it goes to.
fn new_report(door: &Door) -> DoorReport {
    // Separate statements, as each holds the lock of the table until its end.
    let loads = door.replicas().local_loads();
    let leaving = door.replicas().local_leaving(door.now_ms());
    let limits = door.replicas().limit_uses(door.now_ms());
    DoorReport {
        marks: Vec::new(),
        wants_fleet: false,
        doors_mark: None,
        name: door.settings.instance.name.clone(),
        zone: door.settings.instance.zone.clone(),
        callers: door.addresses.callers.to_string(),
        ready: door.is_ready(),
        started: door.incarnation.clone(),
        loads,
        strikes_mark: None,
        leaving,
        unresolved: Vec::new(),
        limits,
        helper: door.helper(),
    }
}

/// asks a ledger node for what other doors have told of contents since the last report, so that a request which may
/// have ended a replica is not sent on what this door knew up to a report interval ago.
pub(super) async fn refresh_poison(door: &Arc<Door>) {
    if !door.ledger.is_reachable() {
        return;
    }
    let view = door.ledger.view();
    let preferred = door.ledger.preferred_member(&view, &door.settings.instance.name);
    let Some(member) = view.members.iter().find(|member| Some(&member.name) == preferred.as_ref()) else {
        return;
    };
    let mut report = new_report(door);
    report.marks = door.marks(&member.name);
    report.strikes_mark = door.poison().marks.get(&member.name).cloned();
    // The node replaces what it knows of these runs by each report.
    report.unresolved = door.poison().in_flight_runs(door.now_ms());
    let (sender, replies) = async_channel::bounded(1);
    if !door.ledger.ask(member, view.epoch, LedgerRequest::Report(report), None, &sender) {
        return;
    }
    let answer = timeout(NEWS_TIMEOUT, replies.recv()).await;
    let result = if answer.is_some() { "answered" } else { "late" };
    metrics::counter!("door_poison_refreshes_total", "result" => result).increment(1);
    if let Some(Ok(heard)) = answer {
        apply_reply(door, heard);
    }
}

/// checks the replicas on which it depends whether a content stays held.
fn check_suspects(door: &Arc<Door>, checked: &mut Instant) {
    if checked.elapsed() < SUSPECT_CHECK_INTERVAL {
        return;
    }
    *checked = Instant::now();
    let runs = door.poison().runs_to_check();
    for run in runs {
        door.spawner.detach(check_health(Arc::clone(door), run));
    }
}

fn log_ledger_state(door: &Door, is_unreachable: bool) {
    let silences = format!("{:?}", door.ledger.silences_ms());
    let epoch = door.ledger.view().epoch;
    if is_unreachable {
        warn!(door.log, "a dependency is lost";
            "dependency" => "ledger", "epoch" => epoch, "silent_ms" => silences);
    } else {
        info!(door.log, "a dependency is back";
            "dependency" => "ledger", "epoch" => epoch, "silent_ms" => silences);
    }
}

fn record_lateness(door: &Door, lateness: &mut Lateness, late_ms: u64) {
    metrics::histogram!("process_late_ms").record(late_ms as f64);
    let Some(note) = lateness.observe(door.now_ms(), late_ms) else {
        return;
    };
    let change: &'static str = note.into();
    info!(door.log, "process lateness changed"; "note" => change, "late_ms" => late_ms);
}

async fn apply_replies(door: Arc<Door>, replies: Receiver<AskUpdate>) {
    while let Ok(heard) = replies.recv().await {
        apply_reply(&door, heard);
    }
}

fn apply_reply(door: &Arc<Door>, heard: AskUpdate) {
    match heard.event {
        AskOutcome::Reply(LedgerReply::News(news)) => {
            door.fleet().update(door.now_ms(), &news);
            for leaving in &news.leaving {
                door.record_leaving(leaving, LeavingSource::Door);
            }
            for strike in &news.strikes {
                door.record_strike(strike, &heard.member);
            }
            door.poison().marks.insert(heard.member.clone(), news.strikes_mark.clone());
            door.poison().add_remote(door.now_ms(), &news.unresolved);
            if news.tells_fleet {
                door.replicas().set_remote_loads(&news.loads);
                door.apply_limit_shares(&news.limits);
            }
            for mirror in news.mirrors {
                follow::apply_news(door, &heard.member, mirror);
            }
        }
        AskOutcome::Reply(LedgerReply::Stale(stale)) => door.ledger.adopt(&stale.view),
        AskOutcome::Reply(_) | AskOutcome::ConnectionLost => {}
    }
}

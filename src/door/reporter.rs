use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use async_channel::Receiver;
use async_io::Timer;
use flamingo_edge::timeout;
use slog::info;
use slog::warn;

use crate::door::door::Door;
use crate::door::door::LeavingSource;
use crate::door::follow;
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
use crate::schema::LedgerStrikes;
use crate::schema::LedgerView;
use crate::schema::PoisonStrike;
use crate::telemetry::Lateness;

/// time between two reports to each ledger node; loads change within a few turns.
const REPORT_EVERY: Duration = Duration::from_millis(250);
/// time between two reports while the ledger is out of reach; a few of these cost nothing.
const REPORT_EVERY_WHEN_AWAY: Duration = Duration::from_millis(80);
/// wait for a node's disk before strikes are told again: many syncs of a slow disk.
const STORE_LIMIT: Duration = Duration::from_secs(1);
/// pause before the nodes that the settings name are asked again for the view.
const SEEDS_RETRY: Duration = Duration::from_millis(150);

/// looks for the ledger's view whenever the ledger is out of reach, until the process ends.
///
/// While some nodes of the known view answer, later views come with their answers.
pub(super) async fn find_ledger(door: Arc<Door>, platform: Arc<HttpPlatform>) {
    let mut search = LedgerDiscovery::new(rand::random());
    loop {
        if door.ledger.is_reachable() {
            search.mark_reachable();
        } else {
            ask_seeds(&door);
            if search.is_due(door.now_ms()) {
                read_view_from(&door, &platform).await;
            }
        }
        Timer::after(SEEDS_RETRY).await;
    }
}

async fn read_view_from(door: &Door, platform: &HttpPlatform) {
    let empty = empty_view(door.settings.tolerance.lost_disks);
    match read_view(platform, empty).await {
        Ok((_, view)) => door.ledger.adopt(&view),
        Err(error) => {
            warn!(door.log, "the ledger view cannot be read"; "dependency" => "platform", "error" => error)
        }
    }
}

/// asks the nodes that the settings name for their view, in case the platform is away.
fn ask_seeds(door: &Arc<Door>) {
    let (sender, heard) = async_channel::unbounded();
    for seed in &door.settings.ledger_seeds {
        let member = LedgerMember { name: seed.to_string(), disk: String::new(), mesh: seed.to_string() };
        if door.ledger.has_pending(&member.name, AskKind::Spent) {
            continue;
        }
        // The door's view is older than any, so that the answer is the node's view.
        let spent = LedgerRequest::Spent(LedgerSpent { program: String::new() });
        door.ledger.ask(&member, 0, spent, None, &sender);
    }
    door.spawner.detach(take_news(Arc::clone(door), heard));
}

/// tells the ledger nodes of this door, and learns of the others, until the process ends.
pub(super) async fn report(door: Arc<Door>) {
    let (sender, heard) = async_channel::unbounded();
    door.spawner.detach(take_news(Arc::clone(&door), heard));
    let mut was_away = true;
    let mut lateness = Lateness::default();
    loop {
        // One look at the table at a time: the lock is held until the end of a statement.
        let loads = door.replicas().local_loads();
        let leaving = door.replicas().local_leaving(door.now_ms());
        let mut report = DoorReport {
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
        };
        let view = door.ledger.view();
        // Each door is told of the others by one node, and different doors by different ones.
        let informant = door.ledger.preferred_member(&view, &report.name);
        for member in &view.members {
            if door.ledger.has_pending(&member.name, AskKind::Report) {
                continue;
            }
            report.marks = door.marks(&member.name);
            report.strikes_mark = door.poison().marks.get(&member.name).cloned();
            report.wants_fleet = informant.as_deref() == Some(&member.name);
            report.doors_mark = door.fleet().mark().filter(|_| report.wants_fleet).cloned();
            // A node that cannot be reached shows in its silence.
            door.ledger.ask(member, view.epoch, LedgerRequest::Report(report.clone()), None, &sender);
        }
        door.ledger.expire();
        door.replicas().expire(door.now_ms());
        door.poison().expire(door.now_ms());
        tell_strikes(&door, &view);
        door.connections.expire();
        // A door that waits for the ledger to come back notices it soon.
        let is_away = !door.ledger.is_reachable();
        if is_away != was_away {
            note_ledger(&door, is_away);
            was_away = is_away;
        }
        let due = Instant::now() + if is_away { REPORT_EVERY_WHEN_AWAY } else { REPORT_EVERY };
        Timer::at(due).await;
        note_lateness(&door, &mut lateness, due.elapsed().as_millis() as u64);
    }
}

/// has the ledger nodes store what this door has seen, until enough of them have.
fn tell_strikes(door: &Arc<Door>, view: &Arc<LedgerView>) {
    if door.poison().pending.is_empty() {
        return;
    }
    for member in &view.members {
        let strikes = door.poison().pending.next_batch(view.epoch, &member.name);
        if strikes.is_empty() {
            continue;
        }
        let (own, view, member) = (Arc::clone(door), Arc::clone(view), member.clone());
        door.spawner.detach(async move {
            let is_stored = store_strikes(&own, &view, &member, strikes.clone()).await;
            let pending = &mut own.poison().pending;
            if is_stored {
                pending.acknowledge(view.epoch, &member.name, &strikes, view.quorum().write());
            } else {
                pending.request_failed(view.epoch, &member.name);
            }
        });
    }
}

async fn store_strikes(
    door: &Door,
    view: &LedgerView,
    member: &LedgerMember,
    strikes: Vec<PoisonStrike>,
) -> bool {
    let (sender, heard) = async_channel::unbounded();
    let request = LedgerRequest::Strikes(LedgerStrikes { strikes });
    if !door.ledger.ask(member, view.epoch, request, None, &sender) {
        return false;
    }
    let answer = timeout(STORE_LIMIT, heard.recv()).await;
    match answer.and_then(Result::ok).map(|heard| heard.event) {
        Some(AskOutcome::Reply(LedgerReply::Stored(_))) => true,
        Some(AskOutcome::Reply(LedgerReply::Stale(stale))) => {
            door.ledger.adopt(&stale.view);
            false
        }
        Some(AskOutcome::Reply(_) | AskOutcome::ConnectionLost) | None => false,
    }
}

fn note_ledger(door: &Door, is_away: bool) {
    let heard = format!("{:?}", door.ledger.silences_ms());
    let epoch = door.ledger.view().epoch;
    if is_away {
        warn!(door.log, "a dependency is lost"; "dependency" => "ledger", "epoch" => epoch, "silent_ms" => heard);
    } else {
        info!(door.log, "a dependency is back"; "dependency" => "ledger", "epoch" => epoch, "silent_ms" => heard);
    }
}

fn note_lateness(door: &Door, lateness: &mut Lateness, late_ms: u64) {
    metrics::histogram!("process_late_ms").record(late_ms as f64);
    let Some(note) = lateness.take(door.now_ms(), late_ms) else {
        return;
    };
    let note: &'static str = note.into();
    info!(door.log, "how far the process is behind has changed"; "note" => note, "late_ms" => late_ms);
}

async fn take_news(door: Arc<Door>, heard: Receiver<AskUpdate>) {
    while let Ok(heard) = heard.recv().await {
        match heard.event {
            AskOutcome::Reply(LedgerReply::News(news)) => {
                door.fleet().update(door.now_ms(), &news);
                for leaving in &news.leaving {
                    door.hear_leaving(leaving, LeavingSource::Door);
                }
                for strike in &news.strikes {
                    door.learn_strike(strike, &heard.member);
                }
                door.poison().marks.insert(heard.member.clone(), news.strikes_mark.clone());
                if news.tells_fleet {
                    door.replicas().set_remote_loads(&news.loads);
                }
                for mirror in news.mirrors {
                    follow::take_news(&door, &heard.member, mirror);
                }
            }
            AskOutcome::Reply(LedgerReply::Stale(stale)) => door.ledger.adopt(&stale.view),
            AskOutcome::Reply(_) | AskOutcome::ConnectionLost => {}
        }
    }
}

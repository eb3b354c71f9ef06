use std::sync::Arc;
use std::time::Duration;

use async_channel::Receiver;
use async_io::Timer;
use slog::warn;

use crate::door::door::Door;
use crate::ledger::empty_view;
use crate::ledger_client::Heard;
use crate::ledger_client::HeardEvent;
use crate::ledger_node::read_view;
use crate::platform::HttpPlatform;
use crate::schema::DoorReport;
use crate::schema::LedgerReply;
use crate::schema::LedgerRequest;

/// time between two reports to each ledger node; loads change within a few turns.
const REPORT_EVERY: Duration = Duration::from_millis(250);
/// pause before the view is asked for again.
const VIEW_RETRY: Duration = Duration::from_millis(250);

/// reads the view of the ledger until there is one; later ones come with the answers of its nodes.
pub(super) async fn find_ledger(door: Arc<Door>, platform: Arc<HttpPlatform>) {
    loop {
        let empty = empty_view(door.settings.tolerance.lost_disks);
        match read_view(&platform, empty).await {
            Ok((_, view)) => {
                door.ledger.adopt(&view);
                if view.members.len() >= view.quorum().write() {
                    return;
                }
            }
            Err(error) => warn!(door.log, "the ledger view cannot be read"; "error" => error),
        }
        Timer::after(VIEW_RETRY).await;
    }
}

/// tells the ledger nodes of this door, and learns of the others, until the process ends.
pub(super) async fn report(door: Arc<Door>) {
    let (sender, heard) = async_channel::unbounded();
    door.spawner.detach(take_news(Arc::clone(&door), heard));
    loop {
        let report = DoorReport {
            name: door.settings.instance.name.clone(),
            zone: door.settings.instance.zone.clone(),
            callers: door.addresses.callers.to_string(),
            ready: door.is_ready(),
            started: door.incarnation.clone(),
            loads: door.replicas().own_loads(),
            strikes: door.take_strikes(),
        };
        let view = door.ledger.view();
        for member in &view.members {
            // A node that cannot be reached shows in its silence.
            door.ledger.ask(member, view.epoch, LedgerRequest::Report(report.clone()), None, &sender);
        }
        door.ledger.expire();
        door.replicas().expire(door.now_ms());
        door.connections.expire();
        Timer::after(REPORT_EVERY).await;
    }
}

async fn take_news(door: Arc<Door>, heard: Receiver<Heard>) {
    while let Ok(heard) = heard.recv().await {
        match heard.event {
            HeardEvent::Reply(LedgerReply::News(news)) => {
                door.fleet().update(door.now_ms(), &news);
                door.replicas().set_others(&news.loads);
            }
            HeardEvent::Reply(LedgerReply::Stale(stale)) => door.ledger.adopt(&stale.view),
            HeardEvent::Reply(_) | HeardEvent::Lost => {}
        }
    }
}

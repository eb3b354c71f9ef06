use std::sync::Arc;
use std::time::Duration;

use async_io::Timer;
use slog::info;
use slog::warn;

use crate::door::door::Door;
use crate::fleet::Mirror;
use crate::fleet::PrefixWatcher;
use crate::fleet::WatchStep;
use crate::fleet::WatchUpdate;
use crate::platform::HttpPlatform;
use crate::platform::OPERATOR_CONFIG;
use crate::platform::Platform;
use crate::platform::REPLICAS;
use crate::platform::is_newest_config;
use crate::platform::read_config;
use crate::platform::read_replica;
use crate::platform::replica_of;
use crate::schema::MirrorNews;
use crate::schema::MirroredObject;

/// time after its start from which on a door may ask the platform itself: ledger nodes that start at the same moment have
/// listed it by then.
const FIRST_LOOK_AFTER: Duration = Duration::from_millis(1_000);
/// how often a door looks whether the ledger nodes still have word of the platform.
const LOOK_EVERY: Duration = Duration::from_millis(250);

/// takes what a ledger node has seen of the platform.
pub(super) fn take_news(door: &Door, node: &str, news: MirrorNews) {
    let prefix = news.prefix.clone();
    let is_whole = news.is_whole;
    if let Some(changed) = door.merge(&prefix, |merge, now_ms| merge.apply(now_ms, node, news)) {
        take_changed(door, &prefix, &changed, is_whole, node);
    }
}

fn take_changed(door: &Door, prefix: &str, changed: &[MirroredObject], is_whole: bool, source: &str) {
    if changed.is_empty() {
        return;
    }
    match prefix {
        OPERATOR_CONFIG => take_configs(door, changed),
        REPLICAS => {
            for object in changed {
                take_replica(door, object);
            }
            if is_whole {
                let counts = format!("{:?}", door.replicas().usable_counts(door.now_ms()));
                info!(door.log, "replicas listed"; "usable" => counts, "source" => source);
            }
        }
        _ => {}
    }
}

fn take_configs(door: &Door, changed: &[MirroredObject]) {
    for object in changed {
        let Some(value) = object.value.as_ref().filter(|_| is_newest_config(&object.key)) else {
            continue;
        };
        match read_config(value.as_slice()) {
            Ok(table) => door.put_in_force(table),
            Err(error) => warn!(door.log, "a configuration cannot be read"; "error" => error),
        }
    }
}

fn take_replica(door: &Door, object: &MirroredObject) {
    let Some(id) = replica_of(&object.key) else {
        return;
    };
    let now_ms = door.now_ms();
    let Some(value) = &object.value else {
        info!(door.log, "a replica is gone"; "replica" => id, "may_have_lapsed" => object.may_have_lapsed);
        door.replicas().remove(now_ms, id, object.may_have_lapsed);
        if !object.may_have_lapsed {
            door.replica_gone(id);
        }
        return;
    };
    match read_replica(&object.key, value.as_slice()) {
        Ok(entry) => {
            if entry.leaving {
                info!(door.log, "a replica is leaving"; "replica" => id);
            }
            let started_unix_ms = entry.started_unix_ms;
            door.replicas().upsert(entry);
            door.replica_started(id, started_unix_ms);
        }
        Err(error) => {
            metrics::counter!("door_unreadable_entries_total").increment(1);
            info!(door.log, "an entry names no replica"; "key" => &object.key, "error" => error);
            door.replicas().remove(now_ms, id, false);
        }
    }
}

/// asks the platform itself while no ledger node has word of it, until the process ends.
pub(super) async fn follow(door: Arc<Door>, platform: Arc<HttpPlatform>, prefix: &'static str) {
    let wait_ms = door.settings.platform.watch_ms;
    Timer::after(FIRST_LOOK_AFTER).await;
    loop {
        Timer::after(LOOK_EVERY).await;
        if door.is_told_of(prefix) {
            continue;
        }
        info!(door.log, "follow the platform without the ledger nodes"; "prefix" => prefix);
        let mut following = PrefixWatcher::fallback(prefix, wait_ms);
        let mut mirror = Mirror::new(prefix, &door.incarnation);
        while !door.is_told_of(prefix) {
            let pause_ms = following.pause_ms(door.now_ms());
            if pause_ms > 0 {
                Timer::after(Duration::from_millis(pause_ms)).await;
            }
            let result = platform.call(following.request()).await;
            let now_ms = door.now_ms();
            let WatchStep { update, after_outage } = following.on_result(now_ms, result, &door.log);
            match &update {
                WatchUpdate::Snapshot(objects) => {
                    mirror.apply_snapshot(now_ms, objects, after_outage);
                }
                WatchUpdate::Changes(changes) => {
                    mirror.apply_changes(now_ms, changes, after_outage);
                }
                WatchUpdate::Nothing => {}
                WatchUpdate::Failed(_) => continue,
            }
            mirror.record_contact(now_ms, following.revision());
            let changed = door.merge(prefix, |merge, now_ms| {
                let news = mirror.news(now_ms, merge.direct_mark());
                merge.apply_direct(now_ms, news)
            });
            take_changed(&door, prefix, &changed.unwrap_or_default(), false, "platform");
        }
        info!(door.log, "the ledger nodes have word of the platform again"; "prefix" => prefix);
    }
}

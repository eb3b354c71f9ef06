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
use crate::platform::CONFIG_PREFIX;
use crate::platform::HttpPlatform;
use crate::platform::Platform;
use crate::platform::REPLICA_PREFIX;
use crate::platform::is_current_config;
use crate::platform::parse_config;
use crate::platform::parse_replica;
use crate::platform::replica_id;
use crate::schema::MirrorNews;
use crate::schema::MirroredObject;

/// time after startup before a door may follow the platform directly: ledger nodes that start at the same
/// moment have listed the platform's objects by then.
const FALLBACK_DELAY: Duration = Duration::from_millis(1_000);
/// how often a door checks whether the ledger nodes still supply current platform state.
const FRESHNESS_CHECK_INTERVAL: Duration = Duration::from_millis(250);

/// applies an update of platform state from a ledger node.
pub(super) fn apply_news(door: &Door, node: &str, news: MirrorNews) {
    let prefix = news.prefix.clone();
    let is_whole = news.is_whole;
    if let Some(changed) = door.merge(&prefix, |merge, now_ms| merge.apply(now_ms, node, news)) {
        apply_changes(door, &prefix, &changed, is_whole, node);
    }
}

fn apply_changes(door: &Door, prefix: &str, changed: &[MirroredObject], is_whole: bool, source: &str) {
    if changed.is_empty() {
        return;
    }
    match prefix {
        CONFIG_PREFIX => apply_configs(door, changed),
        REPLICA_PREFIX => {
            for object in changed {
                apply_replica(door, object);
            }
            if is_whole {
                let counts = format!("{:?}", door.replicas().usable_counts(door.now_ms()));
                info!(door.log, "replica list received"; "usable" => counts, "source" => source);
            }
        }
        _ => {}
    }
    door.merge(prefix, |merge, _| merge.record_applied());
}

fn apply_configs(door: &Door, changed: &[MirroredObject]) {
    for object in changed {
        let Some(value) = object.value.as_ref().filter(|_| is_current_config(&object.key)) else {
            continue;
        };
        match parse_config(value.as_slice()) {
            Ok(table) => door.apply_config(table),
            Err(error) => warn!(door.log, "configuration cannot be parsed; ignored"; "error" => error),
        }
    }
}

fn apply_replica(door: &Door, object: &MirroredObject) {
    let Some(id) = replica_id(&object.key) else {
        return;
    };
    let now_ms = door.now_ms();
    let Some(value) = &object.value else {
        info!(door.log, "replica entry removed";
            "replica" => id, "may_have_lapsed" => object.may_have_lapsed);
        door.replicas().remove(now_ms, id, object.may_have_lapsed);
        if !object.may_have_lapsed {
            door.replica_gone(id);
        }
        return;
    };
    match parse_replica(&object.key, value.as_slice()) {
        Ok(entry) => {
            if entry.leaving {
                info!(door.log, "replica entry marks it as leaving"; "replica" => id);
            }
            let started_unix_ms = entry.started_unix_ms;
            // The search takes a pass over all replicas, which a long list would repeat for each of them.
            let is_watching = !door.poison().suspects.is_empty();
            let replaced = if is_watching { door.replicas().replaced_by(&entry) } else { Vec::new() };
            door.replicas().upsert(entry);
            door.replica_started(id, started_unix_ms);
            for ended in replaced {
                door.replica_gone(&ended);
            }
        }
        Err(error) => {
            metrics::counter!("door_unreadable_entries_total").increment(1);
            info!(door.log, "replica entry cannot be parsed; the replica is not used";
                "key" => &object.key, "error" => error);
            door.replicas().remove(now_ms, id, false);
        }
    }
}

/// follows a platform prefix directly while no ledger node supplies current state; runs until the process
/// ends.
pub(super) async fn follow_platform(door: Arc<Door>, platform: Arc<HttpPlatform>, prefix: &'static str) {
    let wait_ms = door.settings.platform.watch_ms;
    Timer::after(FALLBACK_DELAY).await;
    loop {
        Timer::after(FRESHNESS_CHECK_INTERVAL).await;
        if door.has_fresh_mirror(prefix) {
            continue;
        }
        info!(door.log, "ledger nodes supply no current platform state; following the platform directly";
            "prefix" => prefix);
        let mut following = PrefixWatcher::fallback(prefix, wait_ms);
        let mut mirror = Mirror::new(prefix, &door.incarnation);
        while !door.has_fresh_mirror(prefix) {
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
            apply_changes(&door, prefix, &changed.unwrap_or_default(), false, "platform");
        }
        info!(door.log, "ledger nodes supply current platform state again"; "prefix" => prefix);
    }
}

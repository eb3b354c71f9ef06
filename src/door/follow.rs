use std::sync::Arc;
use std::time::Duration;

use async_io::Timer;
use slog::info;
use slog::warn;

use crate::door::door::Door;
use crate::fleet::Followed;
use crate::fleet::Follower;
use crate::platform::Change;
use crate::platform::HttpPlatform;
use crate::platform::OPERATOR_CONFIG;
use crate::platform::Object;
use crate::platform::Platform;
use crate::platform::PlatformError;
use crate::platform::REPLICAS;
use crate::platform::is_newest_config;
use crate::platform::read_config;
use crate::platform::read_replica;
use crate::platform::replica_of;

/// how long after a failed call removals may still be lapses of the platform's outage.
///
/// Entries lapse during an outage and are back within two seconds of its end.
const AFTER_OUTAGE_MS: u64 = 2_500;

/// follows the operators' configuration and puts each newer one in force.
pub(super) async fn follow_config(door: Arc<Door>, platform: Arc<HttpPlatform>) {
    let take = |followed: &Followed, _after_outage: bool| {
        let values: Vec<&[u8]> = match followed {
            Followed::Snapshot(objects) => objects
                .iter()
                .filter(|object| is_newest_config(&object.key))
                .map(|object| object.value.as_slice())
                .collect(),
            Followed::Changes(changes) => changes
                .iter()
                .filter(|change| is_newest_config(&change.key))
                .filter_map(|change| change.value.as_deref())
                .collect(),
            Followed::Nothing | Followed::Failed(_) => Vec::new(),
        };
        for value in values {
            match read_config(value) {
                Ok(table) => door.put_in_force(table),
                Err(error) => warn!(door.log, "a configuration cannot be read"; "error" => error),
            }
        }
    };
    follow(&door, &platform, OPERATOR_CONFIG, take).await;
}

/// follows the entries of replicas.
pub(super) async fn follow_replicas(door: Arc<Door>, platform: Arc<HttpPlatform>) {
    let take = |followed: &Followed, after_outage: bool| match followed {
        Followed::Snapshot(objects) => take_all(&door, objects, after_outage),
        Followed::Changes(changes) => {
            for change in changes {
                take_change(&door, change, after_outage);
            }
        }
        Followed::Nothing | Followed::Failed(_) => {}
    };
    follow(&door, &platform, REPLICAS, take).await;
}

fn take_all(door: &Door, objects: &[Object], after_outage: bool) {
    let mut entries = Vec::new();
    for object in objects {
        match read_replica(&object.key, &object.value) {
            Ok(entry) => entries.push(entry),
            Err(error) => note_unreadable(door, &object.key, &error),
        }
    }
    let mut replicas = door.replicas();
    replicas.replace(door.now_ms(), entries, after_outage);
    info!(door.log, "replicas listed"; "usable" => format!("{:?}", replicas.usable_counts(door.now_ms())),
        "after_outage" => after_outage);
}

fn take_change(door: &Door, change: &Change, after_outage: bool) {
    let Some(id) = replica_of(&change.key) else {
        return;
    };
    let Some(value) = &change.value else {
        info!(door.log, "a replica is gone"; "replica" => id, "after_outage" => after_outage);
        door.replicas().remove(door.now_ms(), id, after_outage);
        return;
    };
    match read_replica(&change.key, value) {
        Ok(entry) => {
            if entry.leaving {
                info!(door.log, "a replica is leaving"; "replica" => id);
            }
            door.replicas().put(entry);
        }
        Err(error) => {
            note_unreadable(door, &change.key, &error);
            door.replicas().remove(door.now_ms(), id, false);
        }
    }
}

fn note_unreadable(door: &Door, key: &str, error: &str) {
    metrics::counter!("door_unreadable_entries_total").increment(1);
    info!(door.log, "an entry names no replica"; "key" => key, "error" => error);
}

/// lists and watches a prefix until the process ends.
async fn follow(door: &Door, platform: &HttpPlatform, prefix: &str, take: impl Fn(&Followed, bool)) {
    let seed = door.draw();
    let mut follower = Follower::new(prefix, door.settings.platform.watch_ms, seed);
    let mut failed_ms: Option<u64> = None;
    let mut is_lost = false;
    loop {
        let pause_ms = follower.next_call_ms().saturating_sub(door.now_ms());
        if pause_ms > 0 {
            Timer::after(Duration::from_millis(pause_ms)).await;
        }
        let result = platform.call(follower.request()).await;
        let now_ms = door.now_ms();
        let followed = follower.take(now_ms, result);
        match &followed {
            // A history that was dropped is no outage.
            Followed::Failed(PlatformError::Gap) => {}
            Followed::Failed(error) => {
                failed_ms = Some(now_ms);
                if !is_lost {
                    warn!(door.log, "a dependency is lost"; "dependency" => "platform", "prefix" => prefix,
                        "error" => error.to_string());
                }
                is_lost = true;
            }
            Followed::Snapshot(_) | Followed::Changes(_) | Followed::Nothing if is_lost => {
                is_lost = false;
                info!(door.log, "a dependency is back"; "dependency" => "platform", "prefix" => prefix);
            }
            Followed::Snapshot(_) | Followed::Changes(_) | Followed::Nothing => {}
        }
        let after_outage = failed_ms.is_some_and(|failed_ms| now_ms < failed_ms + AFTER_OUTAGE_MS);
        take(&followed, after_outage);
    }
}

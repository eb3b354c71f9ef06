use std::collections::HashMap;

use crate::schema::LeavingReplica;

/// how long an announcement is remembered: longer than any replica takes to leave and than a replica list may
/// be stale.
const KEEP_MS: u64 = 600_000;
/// how long an announcement is passed on to other doors: reports go out several times a second, but ledger
/// nodes may be unreachable for a while.
const REPORT_MS: u64 = 60_000;

/// replica processes that have announced in a response that they are leaving, identified by id and start
/// time.
///
/// This outlives the entries in the replica table: a stale list that arrives later does not bring a replica
/// back, only a later start of it does.
#[derive(Debug, Default)]
pub(super) struct LeavingReplicas {
    by_id: HashMap<String, Announcement>,
}

#[derive(Debug)]
struct Announcement {
    /// the latest start that is leaving; `None` until any start of the replica is known.
    started_unix_ms: Option<u64>,
    announced_ms: u64,
    /// whether this door received the response, rather than hearing of it from another door.
    is_local: bool,
}

impl LeavingReplicas {
    /// records that a replica is leaving; `true` if that was not known.
    pub fn record(&mut self, now_ms: u64, leaving: &LeavingReplica, is_local: bool) -> bool {
        let announced_ms = now_ms.saturating_sub(leaving.age_ms);
        let started_unix_ms = leaving.started_unix_ms;
        if let Some(known) = self.by_id.get_mut(&leaving.replica) {
            let is_later = started_unix_ms.is_some() && started_unix_ms > known.started_unix_ms;
            if is_later {
                known.started_unix_ms = started_unix_ms;
            }
            known.announced_ms = known.announced_ms.max(announced_ms);
            known.is_local |= is_local;
            return is_later;
        }
        let announcement = Announcement { started_unix_ms, announced_ms, is_local };
        self.by_id.insert(leaving.replica.clone(), announcement);
        true
    }

    /// takes the start time of a listed entry; it becomes the leaving start if the announcement named none.
    pub fn observe_start(&mut self, replica: &str, started_unix_ms: u64) {
        if let Some(known) = self.by_id.get_mut(replica) {
            known.started_unix_ms.get_or_insert(started_unix_ms);
        }
    }

    /// whether this start of a replica is leaving or has left.
    pub fn contains(&self, replica: &str, started_unix_ms: u64) -> bool {
        let known = self.by_id.get(replica);
        known.is_some_and(|known| known.started_unix_ms.is_none_or(|leaving| started_unix_ms <= leaving))
    }

    /// announcements to report to other doors: recent ones that this door received itself.
    pub fn local(&self, now_ms: u64) -> Vec<LeavingReplica> {
        let recent =
            self.by_id.iter().filter(|(_, known)| known.is_local && now_ms < known.announced_ms + REPORT_MS);
        recent
            .map(|(replica, known)| LeavingReplica {
                replica: replica.clone(),
                started_unix_ms: known.started_unix_ms,
                age_ms: now_ms.saturating_sub(known.announced_ms),
            })
            .collect()
    }

    /// forgets announcements older than the retention time.
    pub fn expire(&mut self, now_ms: u64) {
        self.by_id.retain(|_, known| now_ms < known.announced_ms + KEEP_MS);
    }
}

use std::collections::HashMap;

use crate::schema::LeavingReplica;

/// how long it is remembered that a replica leaves: longer than any takes, and than an old list may be late.
const KEEP_MS: u64 = 600_000;
/// how long other doors are told of it: reports come several times a second, but ledger nodes may be away for a while.
const TELL_MS: u64 = 60_000;

/// the starts of replicas that have said in an answer that they leave.
///
/// It outlives the replicas' entries: an old list that arrives later brings none of them back, only a later start does.
#[derive(Debug, Default)]
pub(super) struct LeavingStarts {
    heard: HashMap<String, Row>,
}

#[derive(Debug)]
struct Row {
    /// the last start that leaves; `None` until any start of the replica is known.
    started_unix_ms: Option<u64>,
    heard_ms: u64,
    /// whether the replica said so to this door.
    is_own: bool,
}

impl LeavingStarts {
    /// takes note that a replica leaves, as it said itself or as another door was told; `true` if it is news.
    pub fn hear(&mut self, now_ms: u64, leaving: &LeavingReplica, is_own: bool) -> bool {
        let heard_ms = now_ms.saturating_sub(leaving.age_ms);
        let started_unix_ms = leaving.started_unix_ms;
        if let Some(row) = self.heard.get_mut(&leaving.replica) {
            let is_later = started_unix_ms.is_some() && started_unix_ms > row.started_unix_ms;
            if is_later {
                row.started_unix_ms = started_unix_ms;
            }
            row.heard_ms = row.heard_ms.max(heard_ms);
            row.is_own |= is_own;
            return is_later;
        }
        let row = Row { started_unix_ms, heard_ms, is_own };
        self.heard.insert(leaving.replica.clone(), row);
        true
    }

    /// takes note of a start in an entry: if none was known of a replica that leaves, it is the one that leaves.
    pub fn listed(&mut self, replica: &str, started_unix_ms: u64) {
        if let Some(row) = self.heard.get_mut(replica) {
            row.started_unix_ms.get_or_insert(started_unix_ms);
        }
    }

    /// whether a start of a replica leaves, or has left.
    pub fn contains(&self, replica: &str, started_unix_ms: u64) -> bool {
        let row = self.heard.get(replica);
        row.is_some_and(|row| row.started_unix_ms.is_none_or(|leaving| started_unix_ms <= leaving))
    }

    /// what other doors are to be told.
    pub fn own(&self, now_ms: u64) -> Vec<LeavingReplica> {
        let own = self.heard.iter().filter(|(_, row)| row.is_own && now_ms < row.heard_ms + TELL_MS);
        own.map(|(replica, row)| LeavingReplica {
            replica: replica.clone(),
            started_unix_ms: row.started_unix_ms,
            age_ms: now_ms.saturating_sub(row.heard_ms),
        })
        .collect()
    }

    /// forgets what was heard long ago.
    pub fn expire(&mut self, now_ms: u64) {
        self.heard.retain(|_, row| now_ms < row.heard_ms + KEEP_MS);
    }
}

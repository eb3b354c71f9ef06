use std::sync::Arc;

use imbl::OrdMap;
use imbl::OrdSet;

use crate::config::EntryKey;
use crate::schema::AcceptedRelease;

/// withdrawn entries that are remembered.
const MAX_WITHDRAWN: usize = 10_000;

/// marks of accepted notes that are remembered.
const MAX_MARKS: usize = 4_096;

/// who touched an entry last, and when.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LastChange {
    /// release that touched it.
    pub version: u64,
    /// release that added it.
    pub created_version: u64,
    /// who accepted the release.
    pub operator: Arc<str>,
    /// when it was accepted.
    pub unix_ms: u64,
    /// whether the entry is gone.
    pub withdrawn: bool,
}

/// what conflicts and repeats are recognised by; bounded, and shared between versions.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct History {
    pub(super) changes: OrdMap<EntryKey, LastChange>,
    pub(super) marks: OrdMap<String, u64>,
    pub(super) floor_version: u64,
    withdrawn: OrdSet<(u64, EntryKey)>,
    mark_order: OrdSet<(u64, String)>,
}

impl History {
    /// finds who touched an entry last.
    pub fn last_change(&self, key: &EntryKey) -> Option<&LastChange> {
        self.changes.get(key)
    }

    /// version that a note with this mark made.
    pub fn accepted_as(&self, mark: &str) -> Option<u64> {
        self.marks.get(mark).copied()
    }

    /// entries that are known, withdrawn ones included.
    pub fn entry_count(&self) -> usize {
        self.changes.len()
    }

    /// the oldest version that a note can be written against.
    pub fn floor_version(&self) -> u64 {
        self.floor_version
    }

    /// takes note of a release.
    pub(super) fn record(&mut self, release: &AcceptedRelease) {
        let operator: Arc<str> = release.operator.as_str().into();
        let change = |created_version: u64, withdrawn: bool| LastChange {
            version: release.version,
            created_version,
            operator: Arc::clone(&operator),
            unix_ms: release.accepted_unix_ms,
            withdrawn,
        };
        for name in &release.note.withdrawn {
            let key = EntryKey::from(name);
            let created = self.created_version(&key, release.version);
            self.put_change(key, change(created, true));
        }
        for entry in &release.note.changed {
            let key = EntryKey::from(entry);
            let created = self.created_version(&key, release.version);
            self.put_change(key, change(created, false));
        }
        for entry in &release.note.added {
            self.put_change(EntryKey::from(entry), change(release.version, false));
        }
        self.put_mark(release.mark.clone(), release.version);
    }

    pub(super) fn put_change(&mut self, key: EntryKey, change: LastChange) {
        if let Some(old) = self.changes.get(&key).filter(|old| old.withdrawn) {
            self.withdrawn.remove(&(old.version, key.clone()));
        }
        if change.withdrawn {
            self.withdrawn.insert((change.version, key.clone()));
        }
        self.changes.insert(key, change);
        while self.withdrawn.len() > MAX_WITHDRAWN {
            self.forget_oldest_withdrawal();
        }
    }

    pub(super) fn put_mark(&mut self, mark: String, version: u64) {
        self.mark_order.insert((version, mark.clone()));
        self.marks.insert(mark, version);
        while self.mark_order.len() > MAX_MARKS {
            let Some(oldest) = self.mark_order.get_min().cloned() else {
                break;
            };
            self.mark_order.remove(&oldest);
            self.marks.remove(&oldest.1);
        }
    }

    fn created_version(&self, key: &EntryKey, otherwise: u64) -> u64 {
        self.changes.get(key).map_or(otherwise, |change| change.created_version)
    }

    /// a note older than a forgotten withdrawal could miss a conflict with it, and is refused.
    fn forget_oldest_withdrawal(&mut self) {
        let Some(oldest) = self.withdrawn.get_min().cloned() else {
            return;
        };
        self.withdrawn.remove(&oldest);
        self.changes.remove(&oldest.1);
        self.floor_version = self.floor_version.max(oldest.0);
    }
}

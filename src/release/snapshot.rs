//! snapshots: a whole configuration with its history, split into parts.

use crate::config::Configuration;
use crate::config::EntryKey;
use crate::ids::Digest;
use crate::release::History;
use crate::release::LastChange;
use crate::release::ReleaseLog;
use crate::release::codec;
use crate::schema::ReleaseMark;
use crate::schema::SnapshotEntry;
use crate::schema::SnapshotManifest;
use crate::schema::SnapshotPart;

/// size that a part is closed at; the platform holds values up to a megabyte.
const PART_BYTES: usize = 384 * 1024;

/// marks in one part.
const MARKS_PER_PART: usize = 2_048;

/// cuts a log into parts.
pub fn split(log: &ReleaseLog) -> Vec<SnapshotPart> {
    let mut parts = Vec::new();
    let mut part = empty_part(log);
    let mut bytes = 0;
    for (key, change) in &log.history().changes {
        let entry = snapshot_entry(log.configuration(), key, change);
        bytes += codec::encode(&entry).len();
        part.entries.push(entry);
        if bytes < PART_BYTES {
            continue;
        }
        parts.push(std::mem::replace(&mut part, empty_part(log)));
        bytes = 0;
    }
    for (mark, version) in &log.history().marks {
        part.marks.push(ReleaseMark { mark: mark.clone(), version: *version });
        if part.marks.len() >= MARKS_PER_PART {
            parts.push(std::mem::replace(&mut part, empty_part(log)));
        }
    }
    parts.push(part);
    let part_count = parts.len() as u32;
    for (index, part) in parts.iter_mut().enumerate() {
        part.part = index as u32;
        part.part_count = part_count;
    }
    parts
}

/// the manifest that makes encoded parts valid.
pub fn manifest(version: u64, parts: &[Vec<u8>]) -> SnapshotManifest {
    SnapshotManifest { version, part_count: parts.len() as u32, digest: digest(parts).to_string() }
}

fn digest(parts: &[Vec<u8>]) -> Digest {
    let mut all = Vec::new();
    for part in parts {
        all.extend_from_slice(Digest::of(part).to_string().as_bytes());
    }
    Digest::of(&all)
}

fn empty_part(log: &ReleaseLog) -> SnapshotPart {
    SnapshotPart {
        version: log.version(),
        part: 0,
        part_count: 0,
        floor_version: log.history().floor_version,
        entries: Vec::new(),
        marks: Vec::new(),
    }
}

fn snapshot_entry(configuration: &Configuration, key: &EntryKey, change: &LastChange) -> SnapshotEntry {
    SnapshotEntry {
        name: key.into(),
        entry: configuration.entry(key),
        version: change.version,
        created_version: change.created_version,
        operator: change.operator.to_string(),
        unix_ms: change.unix_ms,
    }
}

/// collects the parts of one snapshot in order.
#[derive(Clone, Debug, Default)]
pub struct Assembly {
    version: u64,
    part_count: u32,
    next_part: u32,
    configuration: Configuration,
    history: History,
    part_digests: Vec<u8>,
}

impl Assembly {
    /// version of the snapshot.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// number of the part that is wanted next.
    pub fn next_part(&self) -> u32 {
        self.next_part
    }

    /// adds the next part; a part of another snapshot is not taken.
    pub fn add(&mut self, part: SnapshotPart) -> bool {
        if part.part != self.next_part || part.part >= part.part_count {
            return false;
        }
        if part.part == 0 {
            self.version = part.version;
            self.part_count = part.part_count;
        } else if part.version != self.version || part.part_count != self.part_count {
            return false;
        }
        self.next_part += 1;
        self.history.floor_version = part.floor_version;
        for entry in part.entries {
            self.add_entry(entry);
        }
        for mark in part.marks {
            self.history.put_mark(mark.mark, mark.version);
        }
        true
    }

    /// adds the next part as it was stored.
    pub fn add_encoded(&mut self, bytes: &[u8]) -> bool {
        self.part_digests.extend_from_slice(Digest::of(bytes).to_string().as_bytes());
        codec::decode(bytes).is_some_and(|part| self.add(part))
    }

    /// tells whether the parts are those that the manifest was written for.
    pub fn matches(&self, manifest: &SnapshotManifest) -> bool {
        self.version == manifest.version
            && self.part_count == manifest.part_count
            && Digest::of(&self.part_digests).to_string() == manifest.digest
    }

    /// tells whether all parts are there.
    pub fn is_complete(&self) -> bool {
        self.part_count > 0 && self.next_part == self.part_count
    }

    /// the log of a complete snapshot.
    pub fn into_log(mut self) -> ReleaseLog {
        self.configuration.version = self.version;
        ReleaseLog::from_snapshot(self.configuration, self.history)
    }

    fn add_entry(&mut self, entry: SnapshotEntry) {
        let change = LastChange {
            version: entry.version,
            created_version: entry.created_version,
            operator: entry.operator.into(),
            unix_ms: entry.unix_ms,
            withdrawn: entry.entry.is_none(),
        };
        self.history.put_change(EntryKey::from(&entry.name), change);
        if let Some(entry) = entry.entry {
            self.configuration.put(entry);
        }
    }
}

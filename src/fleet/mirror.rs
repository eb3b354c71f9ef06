use std::collections::BTreeMap;

use crate::platform::Change;
use crate::platform::Object;
use crate::schema::MirrorMark;
use crate::schema::MirrorNews;
use crate::schema::MirroredObject;
use crate::schema::ObservedObjects;
use crate::schema::Octets;

/// how long the tombstone of a removed object is kept; doors request news several times a second.
const TOMBSTONE_KEEP_MS: u64 = 60_000;

/// bytes of objects in one page: a starting door needs a few pages for thousands of replicas, and the pages
/// that a node buffers for all doors starting at once stay far below its memory.
const PAGE_BYTES: usize = 128 * 1024;
/// overhead that each object counts for in addition to its key and value, in bytes.
const OBJECT_BYTES: usize = 64;
/// objects up to which a mirror is sent in full to any door; larger ones are sent in full by one node per
/// door.
const SMALL_MIRROR: usize = 128;

/// a ledger node's copy of the objects below one prefix; changes are numbered, so that doors are sent only
/// those.
#[derive(Debug)]
pub struct Mirror {
    prefix: String,
    /// identifies this start of the node; numbers of different starts are not comparable.
    start: String,
    entries: BTreeMap<String, MirrorEntry>,
    number: u64,
    revision: u64,
    contact_ms: Option<u64>,
    /// revision since which no change was missed and no tombstone dropped; `None` before the first contact
    /// with the platform.
    gapless_since: Option<u64>,
    /// highest change number among dropped tombstones.
    dropped_number: u64,
}

#[derive(Debug)]
struct MirrorEntry {
    version: u64,
    /// `None` if the object was removed.
    value: Option<Octets>,
    may_have_lapsed: bool,
    number: u64,
    changed_ms: u64,
}

impl Mirror {
    /// an empty mirror of `prefix`; `start` identifies this start of the node.
    pub fn new(prefix: &str, start: &str) -> Self {
        Self {
            prefix: prefix.to_owned(),
            start: start.to_owned(),
            entries: BTreeMap::new(),
            number: 0,
            revision: 0,
            contact_ms: None,
            gapless_since: None,
            dropped_number: 0,
        }
    }

    /// prefix of the objects.
    pub fn prefix(&self) -> &str {
        &self.prefix
    }

    /// restores objects that the log of an earlier start holds.
    pub fn replay(&mut self, observed: &ObservedObjects) {
        self.revision = self.revision.max(observed.revision);
        for object in &observed.objects {
            self.store(0, object);
        }
    }

    /// records that the platform responded, whether or not anything changed.
    pub fn record_contact(&mut self, now_ms: u64, revision: Option<u64>) {
        self.contact_ms = Some(now_ms);
        self.revision = self.revision.max(revision.unwrap_or(0));
        if let Some(revision) = revision {
            self.gapless_since.get_or_insert(revision);
        }
    }

    /// applies the complete list of objects; returns those that were added, changed or removed.
    pub fn apply_snapshot(
        &mut self,
        now_ms: u64,
        objects: &[Object],
        after_outage: bool,
    ) -> Vec<MirroredObject> {
        let mut changed = Vec::new();
        for object in objects {
            changed.push(MirroredObject {
                key: object.key.clone(),
                version: object.version,
                value: Some(object.value.clone().into()),
                may_have_lapsed: false,
            });
        }
        let is_listed = |key: &str| objects.iter().any(|object| object.key == key);
        let gone = self.entries.iter().filter(|(key, entry)| entry.value.is_some() && !is_listed(key));
        changed.extend(gone.map(|(key, entry)| MirroredObject {
            key: key.clone(),
            version: entry.version,
            value: None,
            may_have_lapsed: after_outage,
        }));
        changed.retain(|object| self.store(now_ms, object));
        changed
    }

    /// applies changes in order; returns those that were not known.
    pub fn apply_changes(
        &mut self,
        now_ms: u64,
        changes: &[Change],
        after_outage: bool,
    ) -> Vec<MirroredObject> {
        let mirrored = changes.iter().map(|change| MirroredObject {
            key: change.key.clone(),
            version: change.version,
            value: change.value.clone().map(Octets::from),
            may_have_lapsed: after_outage && change.value.is_none(),
        });
        let mut changed: Vec<MirroredObject> = mirrored.collect();
        changed.retain(|object| self.store(now_ms, object));
        changed
    }

    /// stores the version of an object; `false` if that version or a newer one was known.
    fn store(&mut self, now_ms: u64, object: &MirroredObject) -> bool {
        let is_removal = object.value.is_none();
        let is_known = self.entries.get(&object.key).is_some_and(|entry| match is_removal {
            // A removal may carry the version of the object's last change.
            true => object.version < entry.version || entry.value.is_none(),
            false => object.version <= entry.version,
        });
        if is_known {
            return false;
        }
        self.number += 1;
        let entry = MirrorEntry {
            version: object.version,
            value: object.value.clone(),
            may_have_lapsed: object.may_have_lapsed,
            number: self.number,
            changed_ms: now_ms,
        };
        self.entries.insert(object.key.clone(), entry);
        true
    }

    /// what a door that has read up to `mark` does not know yet.
    pub fn news(&self, now_ms: u64, mark: Option<&MirrorMark>) -> MirrorNews {
        self.news_for(now_ms, mark, true)
    }

    /// the same for a door that another node may send all objects to; without `sends_all`, a large mirror
    /// sends only the changes after `mark`, or nothing if it cannot tell them.
    pub fn news_for(&self, now_ms: u64, mark: Option<&MirrorMark>, sends_all: bool) -> MirrorNews {
        if let Some(after) = mark.and_then(|mark| self.known_number(mark)) {
            return self.page(now_ms, false, |entry| entry.number > after);
        }
        if let Some(revision) = mark.and_then(|mark| self.known_revision(mark)) {
            return self.page(now_ms, false, |entry| entry.version > revision || entry.value.is_none());
        }
        if sends_all || self.entries.len() <= SMALL_MIRROR {
            return self.page(now_ms, true, |_| true);
        }
        let nothing = self.page(now_ms, false, |_| false);
        MirrorNews { start: String::new(), number: 0, revision: 0, ..nothing }
    }

    /// number of the last change that a door knows, if `mark` is of this start and no tombstone since was
    /// dropped.
    fn known_number(&self, mark: &MirrorMark) -> Option<u64> {
        let is_own = mark.start == self.start && mark.number <= self.number;
        (is_own && mark.number >= self.dropped_number).then_some(mark.number)
    }

    /// revision up to which a door knows all changes through other nodes, if this mirror has all later ones.
    fn known_revision(&self, mark: &MirrorMark) -> Option<u64> {
        let gapless_since = self.gapless_since?;
        (mark.revision > 0 && mark.revision >= gapless_since).then_some(mark.revision)
    }

    /// the matching objects with the lowest change numbers that fit into one page; at least one if any match.
    fn page(&self, now_ms: u64, is_whole: bool, wanted: impl Fn(&MirrorEntry) -> bool) -> MirrorNews {
        let mut matching: Vec<(&String, &MirrorEntry)> =
            self.entries.iter().filter(|(_, entry)| wanted(entry)).collect();
        matching.sort_by_key(|(_, entry)| entry.number);
        let mut bytes = 0;
        let fits = matching.iter().take_while(|(key, entry)| {
            let is_first = bytes == 0;
            bytes +=
                OBJECT_BYTES + key.len() + entry.value.as_ref().map_or(0, |value| value.as_slice().len());
            is_first || bytes <= PAGE_BYTES
        });
        let count = fits.count();
        let more = count < matching.len();
        matching.truncate(count);
        let last = matching.last().map_or(self.number, |(_, entry)| entry.number);
        MirrorNews {
            prefix: self.prefix.clone(),
            start: self.start.clone(),
            number: if more { last } else { self.number },
            age_ms: self.contact_ms.map(|contact_ms| now_ms.saturating_sub(contact_ms)),
            is_whole,
            more,
            revision: self.revision,
            objects: matching.into_iter().map(|(key, entry)| mirrored(key, entry)).collect(),
        }
    }

    /// all objects and tombstones, to be written to a new log.
    pub fn observed(&self) -> ObservedObjects {
        ObservedObjects {
            prefix: self.prefix.clone(),
            revision: self.revision,
            objects: self.entries.iter().map(|(key, entry)| mirrored(key, entry)).collect(),
        }
    }

    /// drops old tombstones; a door that does not know one of the removals yet is sent all objects again.
    pub fn expire(&mut self, now_ms: u64) {
        let is_over =
            |entry: &MirrorEntry| entry.value.is_none() && now_ms >= entry.changed_ms + TOMBSTONE_KEEP_MS;
        let over = self.entries.values().filter(|entry| is_over(entry));
        let Some(last) = over.map(|entry| entry.number).max() else {
            return;
        };
        self.dropped_number = self.dropped_number.max(last);
        self.gapless_since = self.gapless_since.map(|_| self.revision);
        self.entries.retain(|_, entry| !is_over(entry));
    }
}

fn mirrored(key: &str, entry: &MirrorEntry) -> MirroredObject {
    MirroredObject {
        key: key.to_owned(),
        version: entry.version,
        value: entry.value.clone(),
        may_have_lapsed: entry.may_have_lapsed,
    }
}

use std::collections::BTreeMap;

use crate::platform::Change;
use crate::platform::Object;
use crate::schema::MirrorMark;
use crate::schema::MirrorNews;
use crate::schema::MirroredObject;
use crate::schema::ObservedObjects;
use crate::schema::Octets;

/// how long a mirror remembers that an object is gone; doors ask several times a second.
const FORGET_REMOVED_MS: u64 = 60_000;

/// bytes of objects in one answer to a door: a door that starts needs a few answers for thousands of replicas, and what a
/// node holds for all doors that start at once stays far below its memory.
const PAGE_BYTES: usize = 128 * 1024;
/// bytes that an object counts for beside its key and value.
const OBJECT_BYTES: usize = 64;
/// objects up to which a mirror is told whole to any door; above, a door has one node tell it of all.
const SMALL_MIRROR: usize = 128;

/// the objects below one prefix as a ledger node has seen them last, numbered so that doors get only what changed.
#[derive(Debug)]
pub struct Mirror {
    prefix: String,
    /// names this start of the node; numbers of different starts are not comparable.
    start: String,
    rows: BTreeMap<String, Row>,
    number: u64,
    revision: u64,
    contact_ms: Option<u64>,
    /// revision since which no change was missed or forgotten; `None` before the first word of the platform.
    gapless_since: Option<u64>,
    /// last change among removals that were forgotten.
    forgotten_number: u64,
}

#[derive(Debug)]
struct Row {
    version: u64,
    /// `None` if the object is gone.
    value: Option<Octets>,
    may_have_lapsed: bool,
    number: u64,
    changed_ms: u64,
}

impl Mirror {
    /// a mirror of nothing.
    pub fn new(prefix: &str, start: &str) -> Self {
        Self {
            prefix: prefix.to_owned(),
            start: start.to_owned(),
            rows: BTreeMap::new(),
            number: 0,
            revision: 0,
            contact_ms: None,
            gapless_since: None,
            forgotten_number: 0,
        }
    }

    /// prefix of the objects.
    pub fn prefix(&self) -> &str {
        &self.prefix
    }

    /// takes what the log of an earlier start held.
    pub fn replay(&mut self, observed: &ObservedObjects) {
        self.revision = self.revision.max(observed.revision);
        for object in &observed.objects {
            self.put(0, object);
        }
    }

    /// the platform answered, whether anything changed or not.
    pub fn record_contact(&mut self, now_ms: u64, revision: Option<u64>) {
        self.contact_ms = Some(now_ms);
        self.revision = self.revision.max(revision.unwrap_or(0));
        if let Some(revision) = revision {
            self.gapless_since.get_or_insert(revision);
        }
    }

    /// takes all objects as they are, and returns those that are new, changed or gone.
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
        let gone = self.rows.iter().filter(|(key, row)| row.value.is_some() && !is_listed(key));
        changed.extend(gone.map(|(key, row)| MirroredObject {
            key: key.clone(),
            version: row.version,
            value: None,
            may_have_lapsed: after_outage,
        }));
        changed.retain(|object| self.put(now_ms, object));
        changed
    }

    /// takes changes in their order, and returns those that were new.
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
        changed.retain(|object| self.put(now_ms, object));
        changed
    }

    /// puts an object as it is now; `false` if that was known.
    fn put(&mut self, now_ms: u64, object: &MirroredObject) -> bool {
        let is_removal = object.value.is_none();
        let is_known = self.rows.get(&object.key).is_some_and(|row| match is_removal {
            // A removal may bear the version of the last change.
            true => object.version < row.version || row.value.is_none(),
            false => object.version <= row.version,
        });
        if is_known {
            return false;
        }
        self.number += 1;
        let row = Row {
            version: object.version,
            value: object.value.clone(),
            may_have_lapsed: object.may_have_lapsed,
            number: self.number,
            changed_ms: now_ms,
        };
        self.rows.insert(object.key.clone(), row);
        true
    }

    /// what a door that knows `mark` does not know yet.
    pub fn news(&self, now_ms: u64, mark: Option<&MirrorMark>) -> MirrorNews {
        self.news_for(now_ms, mark, true)
    }

    /// the same for a door that may have another node tell it of all objects; without `tells_all`, a large mirror tells
    /// it only what follows on what it knows.
    pub fn news_for(&self, now_ms: u64, mark: Option<&MirrorMark>, tells_all: bool) -> MirrorNews {
        if let Some(after) = mark.and_then(|mark| self.number_known(mark)) {
            return self.page(now_ms, false, |row| row.number > after);
        }
        if let Some(revision) = mark.and_then(|mark| self.revision_known(mark)) {
            return self.page(now_ms, false, |row| row.version > revision || row.value.is_none());
        }
        if tells_all || self.rows.len() <= SMALL_MIRROR {
            return self.page(now_ms, true, |_| true);
        }
        let nothing = self.page(now_ms, false, |_| false);
        MirrorNews { start: String::new(), number: 0, revision: 0, ..nothing }
    }

    /// the last change that a door knows, by the numbers of this start.
    fn number_known(&self, mark: &MirrorMark) -> Option<u64> {
        let is_own = mark.start == self.start && mark.number <= self.number;
        (is_own && mark.number >= self.forgotten_number).then_some(mark.number)
    }

    /// the revision up to which a door knows everything through other nodes, if no later change is missing here.
    fn revision_known(&self, mark: &MirrorMark) -> Option<u64> {
        let gapless_since = self.gapless_since?;
        (mark.revision > 0 && mark.revision >= gapless_since).then_some(mark.revision)
    }

    /// the first rows, by number, that fit into one answer.
    fn page(&self, now_ms: u64, is_whole: bool, wanted: impl Fn(&Row) -> bool) -> MirrorNews {
        let mut fresh: Vec<(&String, &Row)> = self.rows.iter().filter(|(_, row)| wanted(row)).collect();
        fresh.sort_by_key(|(_, row)| row.number);
        let mut bytes = 0;
        let fits = fresh.iter().take_while(|(key, row)| {
            let is_first = bytes == 0;
            bytes += OBJECT_BYTES + key.len() + row.value.as_ref().map_or(0, |value| value.as_slice().len());
            is_first || bytes <= PAGE_BYTES
        });
        let count = fits.count();
        let more = count < fresh.len();
        fresh.truncate(count);
        let last = fresh.last().map_or(self.number, |(_, row)| row.number);
        MirrorNews {
            prefix: self.prefix.clone(),
            start: self.start.clone(),
            number: if more { last } else { self.number },
            age_ms: self.contact_ms.map(|contact_ms| now_ms.saturating_sub(contact_ms)),
            is_whole,
            more,
            revision: self.revision,
            objects: fresh.into_iter().map(|(key, row)| mirrored(key, row)).collect(),
        }
    }

    /// everything, for a new log.
    pub fn observed(&self) -> ObservedObjects {
        ObservedObjects {
            prefix: self.prefix.clone(),
            revision: self.revision,
            objects: self.rows.iter().map(|(key, row)| mirrored(key, row)).collect(),
        }
    }

    /// forgets objects that were gone long ago; a door that has not heard of one is told of all objects again.
    pub fn expire(&mut self, now_ms: u64) {
        let is_over = |row: &Row| row.value.is_none() && now_ms >= row.changed_ms + FORGET_REMOVED_MS;
        let over = self.rows.values().filter(|row| is_over(row));
        let Some(last) = over.map(|row| row.number).max() else {
            return;
        };
        self.forgotten_number = self.forgotten_number.max(last);
        self.gapless_since = self.gapless_since.map(|_| self.revision);
        self.rows.retain(|_, row| !is_over(row));
    }
}

fn mirrored(key: &str, row: &Row) -> MirroredObject {
    MirroredObject {
        key: key.to_owned(),
        version: row.version,
        value: row.value.clone(),
        may_have_lapsed: row.may_have_lapsed,
    }
}

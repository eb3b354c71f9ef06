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
    pub fn contact(&mut self, now_ms: u64, revision: Option<u64>) {
        self.contact_ms = Some(now_ms);
        self.revision = self.revision.max(revision.unwrap_or(0));
    }

    /// takes all objects as they are, and returns those that are new, changed or gone.
    pub fn take_all(&mut self, now_ms: u64, objects: &[Object], after_outage: bool) -> Vec<MirroredObject> {
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
    pub fn take_changes(
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
        let known = mark.filter(|mark| mark.start == self.start && mark.number <= self.number);
        let after = known.map_or(0, |mark| mark.number);
        let fresh = self.rows.iter().filter(|(_, row)| row.number > after);
        MirrorNews {
            prefix: self.prefix.clone(),
            start: self.start.clone(),
            number: self.number,
            age_ms: self.contact_ms.map(|contact_ms| now_ms.saturating_sub(contact_ms)),
            is_whole: known.is_none(),
            revision: self.revision,
            objects: fresh.map(|(key, row)| mirrored(key, row)).collect(),
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

    /// forgets objects that were gone long ago.
    pub fn expire(&mut self, now_ms: u64) {
        self.rows.retain(|_, row| row.value.is_some() || now_ms < row.changed_ms + FORGET_REMOVED_MS);
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

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use crate::schema::MirrorMark;
use crate::schema::MirrorNews;
use crate::schema::MirroredObject;

/// age of the platform's last response up to which a door relies on the mirrors: the time of a watch and a
/// retry.
const FRESH_MS: u64 = 2_500;
/// how long after an outage of the platform removals may be lapses: lapsed entries are listed again within
/// two seconds.
const AFTER_OUTAGE_MS: u64 = 2_500;
/// source name of what the door read from the platform itself; no instance has an empty name.
const DIRECT_SOURCE: &str = "";
/// how long the tombstone of a removed object is kept, so that a mirror that lags behind does not bring it
/// back.
const TOMBSTONE_KEEP_MS: u64 = 60_000;

/// the objects below one prefix as a door knows them: the mirrors of several ledger nodes, merged by object
/// version.
#[derive(Debug)]
pub struct MergedMirror {
    prefix: String,
    known: BTreeMap<String, Known>,
    /// position up to which each source's mirror has been read.
    marks: BTreeMap<String, MirrorMark>,
    /// keys received so far from nodes that are sending all their objects in pages.
    partial_keys: BTreeMap<String, BTreeSet<String>>,
    /// revision of the platform up to which all changes are known.
    revision: u64,
    /// when the platform last responded to some node, by this door's clock.
    contact_ms: Option<u64>,
    /// when the platform last responded to this door itself.
    direct_contact_ms: Option<u64>,
    /// when the platform was heard of again after the mirrors had gone stale.
    recovered_ms: Option<u64>,
}

#[derive(Clone, Copy, Debug)]
struct Known {
    version: u64,
    removed_ms: Option<u64>,
}

impl MergedMirror {
    /// a mirror of `prefix` without objects.
    pub fn new(prefix: &str) -> Self {
        Self {
            prefix: prefix.to_owned(),
            known: BTreeMap::new(),
            marks: BTreeMap::new(),
            partial_keys: BTreeMap::new(),
            revision: 0,
            contact_ms: None,
            direct_contact_ms: None,
            recovered_ms: None,
        }
    }

    /// prefix of the objects.
    pub fn prefix(&self) -> &str {
        &self.prefix
    }

    /// position up to which a node's mirror has been read; `None` before its first news.
    pub fn mark(&self, node: &str) -> Option<&MirrorMark> {
        self.marks.get(node)
    }

    /// the position to request news after, also of a node that has sent none yet: it may go on from the
    /// revision.
    pub fn mark_for(&self, node: &str) -> MirrorMark {
        let known = self.marks.get(node);
        MirrorMark {
            prefix: self.prefix.clone(),
            start: known.map_or_else(String::new, |mark| mark.start.clone()),
            number: known.map_or(0, |mark| mark.number),
            revision: self.revision,
        }
    }

    /// whether the platform responded recently to some ledger node.
    pub fn is_fresh(&self, now_ms: u64) -> bool {
        self.contact_ms.is_some_and(|contact_ms| now_ms < contact_ms + FRESH_MS)
    }

    /// whether the platform responded recently, to some ledger node or to this door: what is known was then in
    /// force a moment ago.
    pub fn is_current(&self, now_ms: u64) -> bool {
        let contact_ms = self.contact_ms.max(self.direct_contact_ms);
        contact_ms.is_some_and(|contact_ms| now_ms < contact_ms + FRESH_MS)
    }

    /// whether no object is known, not even a removed one.
    pub fn is_empty(&self) -> bool {
        self.known.is_empty()
    }

    /// merges the news of a ledger node and returns the objects that changed.
    pub fn apply(&mut self, now_ms: u64, node: &str, news: MirrorNews) -> Vec<MirroredObject> {
        self.merge(now_ms, node, news, true)
    }

    /// merges what the door read from the platform itself; that does not make the ledger nodes' mirrors
    /// fresh.
    pub fn apply_direct(&mut self, now_ms: u64, news: MirrorNews) -> Vec<MirroredObject> {
        if let Some(age_ms) = news.age_ms {
            self.direct_contact_ms = self.direct_contact_ms.max(Some(now_ms.saturating_sub(age_ms)));
        }
        self.merge(now_ms, DIRECT_SOURCE, news, false)
    }

    /// position up to which the door's own reads have been merged.
    pub fn direct_mark(&self) -> Option<&MirrorMark> {
        self.marks.get(DIRECT_SOURCE)
    }

    fn merge(&mut self, now_ms: u64, node: &str, news: MirrorNews, is_contact: bool) -> Vec<MirroredObject> {
        if let Some(age_ms) = news.age_ms.filter(|_| is_contact) {
            let contact_ms = now_ms.saturating_sub(age_ms);
            if !self.is_fresh(now_ms) {
                self.recovered_ms = Some(now_ms);
            }
            self.contact_ms = self.contact_ms.max(Some(contact_ms));
        }
        if news.start.is_empty() {
            return Vec::new();
        }
        let has_contact = news.age_ms.is_some();
        let keys = self.complete_keys(node, &news);
        if has_contact && !news.more {
            self.revision = self.revision.max(news.revision);
        }
        // A mirror that has only replayed its log does not know which objects were removed since.
        let keys = keys.filter(|_| has_contact);
        let missing = keys.map(|keys| self.missing(&keys, news.revision)).unwrap_or_default();
        let mark = MirrorMark {
            prefix: news.prefix,
            start: news.start,
            number: news.number,
            revision: news.revision,
        };
        self.marks.insert(node.to_owned(), mark);
        let mut changed = news.objects;
        // A node that was partitioned from the platform cannot tell that from an outage.
        let was_outage = !self.is_fresh(now_ms)
            || self.recovered_ms.is_some_and(|recovered_ms| now_ms < recovered_ms + AFTER_OUTAGE_MS);
        for object in &mut changed {
            object.may_have_lapsed &= was_outage;
        }
        changed.extend(missing);
        changed.retain(|object| self.store(now_ms, object));
        self.known.retain(|_, known| known.removed_ms.is_none_or(|at_ms| now_ms < at_ms + TOMBSTONE_KEEP_MS));
        changed
    }

    /// the keys of all objects of a node, once its last page has arrived.
    fn complete_keys(&mut self, node: &str, news: &MirrorNews) -> Option<BTreeSet<String>> {
        let keys = news.objects.iter().map(|object| object.key.clone());
        let is_new_start = self.marks.get(node).is_none_or(|mark| mark.start != news.start);
        if is_new_start {
            self.partial_keys.remove(node);
        }
        if news.is_whole {
            // A page may arrive twice, so keys only accumulate; within one start of the node, removals are
            // sent as such.
            self.partial_keys.entry(node.to_owned()).or_default().extend(keys);
        } else if let Some(partial) = self.partial_keys.get_mut(node) {
            partial.extend(keys);
        }
        if news.more { None } else { self.partial_keys.remove(node) }
    }

    /// removals of known objects that a complete mirror at `revision` does not contain.
    fn missing(&self, keys: &BTreeSet<String>, revision: u64) -> Vec<MirroredObject> {
        let older = self.known.iter().filter(|(key, known)| {
            known.removed_ms.is_none() && known.version <= revision && !keys.contains(*key)
        });
        let gone = older.map(|(key, known)| MirroredObject {
            key: key.clone(),
            version: known.version,
            value: None,
            may_have_lapsed: false,
        });
        gone.collect()
    }

    /// stores the version of an object; `false` if that version or a newer one was known.
    fn store(&mut self, now_ms: u64, object: &MirroredObject) -> bool {
        let is_removal = object.value.is_none();
        let is_known = self.known.get(&object.key).is_some_and(|known| match is_removal {
            true => object.version < known.version || known.removed_ms.is_some(),
            false => object.version <= known.version,
        });
        if is_known {
            return false;
        }
        let removed_ms = is_removal.then_some(now_ms);
        self.known.insert(object.key.clone(), Known { version: object.version, removed_ms });
        true
    }
}

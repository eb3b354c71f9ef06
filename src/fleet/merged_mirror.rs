use std::collections::BTreeMap;
use std::collections::BTreeSet;

use crate::schema::MirrorMark;
use crate::schema::MirrorNews;
use crate::schema::MirroredObject;

/// age of a mirror's last word of the platform up to which a door relies on it: a watch and a retry.
const FRESH_MS: u64 = 2_500;
/// how long after an outage of the platform removals may be lapses: entries that lapsed are back within two seconds.
const LAPSES_AFTER_MS: u64 = 2_500;
/// name under which the door's own look at the platform is merged; no instance has an empty name.
const OWN_LOOK: &str = "";
/// how long a gone object is remembered, so that a mirror that lags behind does not bring it back.
const FORGET_REMOVED_MS: u64 = 60_000;

/// the objects below one prefix as a door knows them, merged from the mirrors of several ledger nodes by version.
#[derive(Debug)]
pub struct MergedMirror {
    prefix: String,
    known: BTreeMap<String, Known>,
    /// how far each node's mirror is known.
    marks: BTreeMap<String, MirrorMark>,
    /// keys that a node has named so far that tells of all objects in pages.
    naming: BTreeMap<String, BTreeSet<String>>,
    /// revision of the platform up to which everything is known.
    revision: u64,
    /// when some node last had word of the platform, by the own clock.
    contact_ms: Option<u64>,
    /// when there was word again after there had been none.
    regained_ms: Option<u64>,
}

#[derive(Clone, Copy, Debug)]
struct Known {
    version: u64,
    gone_ms: Option<u64>,
}

impl MergedMirror {
    /// knows nothing below a prefix.
    pub fn new(prefix: &str) -> Self {
        Self {
            prefix: prefix.to_owned(),
            known: BTreeMap::new(),
            marks: BTreeMap::new(),
            naming: BTreeMap::new(),
            revision: 0,
            contact_ms: None,
            regained_ms: None,
        }
    }

    /// prefix of the objects.
    pub fn prefix(&self) -> &str {
        &self.prefix
    }

    /// how far the mirror of a node is known.
    pub fn mark(&self, node: &str) -> Option<&MirrorMark> {
        self.marks.get(node)
    }

    /// what to tell a node of what is known, its mirror or not.
    pub fn mark_for(&self, node: &str) -> MirrorMark {
        let known = self.marks.get(node);
        MirrorMark {
            prefix: self.prefix.clone(),
            start: known.map_or_else(String::new, |mark| mark.start.clone()),
            number: known.map_or(0, |mark| mark.number),
            revision: self.revision,
        }
    }

    /// whether some mirror had word of the platform lately.
    pub fn is_fresh(&self, now_ms: u64) -> bool {
        self.contact_ms.is_some_and(|contact_ms| now_ms < contact_ms + FRESH_MS)
    }

    /// whether anything was ever heard.
    pub fn is_empty(&self) -> bool {
        self.known.is_empty()
    }

    /// takes the news of a ledger node and returns what was new.
    pub fn apply(&mut self, now_ms: u64, node: &str, news: MirrorNews) -> Vec<MirroredObject> {
        self.merge(now_ms, node, news, true)
    }

    /// takes what the door has seen itself; it does not count as word from a ledger node.
    pub fn apply_direct(&mut self, now_ms: u64, news: MirrorNews) -> Vec<MirroredObject> {
        self.merge(now_ms, OWN_LOOK, news, false)
    }

    /// how far the door's own look at the platform is known.
    pub fn direct_mark(&self) -> Option<&MirrorMark> {
        self.marks.get(OWN_LOOK)
    }

    fn merge(&mut self, now_ms: u64, node: &str, news: MirrorNews, counts: bool) -> Vec<MirroredObject> {
        if let Some(age_ms) = news.age_ms.filter(|_| counts) {
            let contact_ms = now_ms.saturating_sub(age_ms);
            if !self.is_fresh(now_ms) {
                self.regained_ms = Some(now_ms);
            }
            self.contact_ms = self.contact_ms.max(Some(contact_ms));
        }
        if news.start.is_empty() {
            return Vec::new();
        }
        let has_word = news.age_ms.is_some();
        let named = self.all_named(node, &news);
        if has_word && !news.more {
            self.revision = self.revision.max(news.revision);
        }
        // A mirror that only replayed its log cannot tell what has gone since.
        let named = named.filter(|_| has_word);
        let missing = named.map(|named| self.missing(&named, news.revision)).unwrap_or_default();
        let mark = MirrorMark {
            prefix: news.prefix,
            start: news.start,
            number: news.number,
            revision: news.revision,
        };
        self.marks.insert(node.to_owned(), mark);
        let mut changed = news.objects;
        // A node that was cut off alone cannot tell its cut from an outage of the platform.
        let was_outage = !self.is_fresh(now_ms)
            || self.regained_ms.is_some_and(|regained_ms| now_ms < regained_ms + LAPSES_AFTER_MS);
        for object in &mut changed {
            object.may_have_lapsed &= was_outage;
        }
        changed.extend(missing);
        changed.retain(|object| self.put(now_ms, object));
        self.known
            .retain(|_, known| known.gone_ms.is_none_or(|gone_ms| now_ms < gone_ms + FORGET_REMOVED_MS));
        changed
    }

    /// the keys of all objects, once a node has told of them to the last page.
    fn all_named(&mut self, node: &str, news: &MirrorNews) -> Option<BTreeSet<String>> {
        let keys = news.objects.iter().map(|object| object.key.clone());
        let is_other_start = self.marks.get(node).is_none_or(|mark| mark.start != news.start);
        if is_other_start {
            self.naming.remove(node);
        }
        if news.is_whole {
            // A page may come twice; within one start of the node, what has gone since is told as gone.
            self.naming.entry(node.to_owned()).or_default().extend(keys);
        } else if let Some(named) = self.naming.get_mut(node) {
            named.extend(keys);
        }
        if news.more { None } else { self.naming.remove(node) }
    }

    /// objects that a whole mirror would hold, had they not gone.
    fn missing(&self, named: &BTreeSet<String>, revision: u64) -> Vec<MirroredObject> {
        let older = self.known.iter().filter(|(key, known)| {
            known.gone_ms.is_none() && known.version <= revision && !named.contains(*key)
        });
        let gone = older.map(|(key, known)| MirroredObject {
            key: key.clone(),
            version: known.version,
            value: None,
            may_have_lapsed: false,
        });
        gone.collect()
    }

    /// puts an object as it is now; `false` if that, or something newer, was known.
    fn put(&mut self, now_ms: u64, object: &MirroredObject) -> bool {
        let is_removal = object.value.is_none();
        let is_known = self.known.get(&object.key).is_some_and(|known| match is_removal {
            true => object.version < known.version || known.gone_ms.is_some(),
            false => object.version <= known.version,
        });
        if is_known {
            return false;
        }
        let gone_ms = is_removal.then_some(now_ms);
        self.known.insert(object.key.clone(), Known { version: object.version, gone_ms });
        true
    }
}

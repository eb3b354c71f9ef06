use std::collections::BTreeSet;
use std::collections::HashMap;

use crate::schema::PoisonStrike;

/// victims of a content at which it is held back, that is, refused.
///
/// Two may be coincidence: when many replicas end at once, a retried request soon meets the second one.
pub const HOLD_THRESHOLD: usize = 3;
/// retention of a content after its last victim: longer than callers retry the same request.
const RETENTION_MS: u64 = 600_000;
/// limit of contents; beyond it, contents that are not held are evicted first, oldest first.
const MAX_CONTENTS: usize = 10_000;

/// the victims of each content. Adding strikes is idempotent and commutative.
#[derive(Debug, Default)]
pub struct Strikes {
    contents: HashMap<String, Row>,
}

#[derive(Debug)]
struct Row {
    victims: BTreeSet<String>,
    last_ms: u64,
}

impl Strikes {
    /// adds a strike; returns the content's number of victims if this one is new.
    pub fn add(&mut self, now_ms: u64, strike: &PoisonStrike) -> Option<usize> {
        if self.contents.len() >= MAX_CONTENTS && !self.contents.contains_key(&strike.content) {
            self.evict_one();
        }
        let new_row = || Row { victims: BTreeSet::new(), last_ms: now_ms };
        let row = self.contents.entry(strike.content.clone()).or_insert_with(new_row);
        row.last_ms = row.last_ms.max(now_ms);
        row.victims.insert(strike.victim.clone()).then_some(row.victims.len())
    }

    /// whether a content has reached the threshold and must not be sent to another replica.
    pub fn is_held(&self, content: &str) -> bool {
        self.victim_count(content) >= HOLD_THRESHOLD
    }

    /// number of replicas that ended while running a content.
    pub fn victim_count(&self, content: &str) -> usize {
        self.contents.get(content).map_or(0, |row| row.victims.len())
    }

    /// replicas that ended while running a content.
    pub fn victims(&self, content: &str) -> impl Iterator<Item = &str> {
        self.contents.get(content).into_iter().flat_map(|row| &row.victims).map(String::as_str)
    }

    /// whether a content has a victim.
    pub fn has_victim(&self, content: &str, victim: &str) -> bool {
        self.contents.get(content).is_some_and(|row| row.victims.contains(victim))
    }

    /// whether no content has a victim.
    pub fn is_empty(&self) -> bool {
        self.contents.is_empty()
    }

    /// removes contents whose retention has ended, and returns them.
    pub fn expire(&mut self, now_ms: u64) -> BTreeSet<String> {
        let is_expired = |_: &String, row: &mut Row| now_ms >= row.last_ms + RETENTION_MS;
        self.contents.extract_if(is_expired).map(|(content, _)| content).collect()
    }

    fn evict_one(&mut self) {
        let eviction_order = |row: &Row| (row.victims.len() >= HOLD_THRESHOLD, row.last_ms);
        let first = self.contents.iter().min_by_key(|(_, row)| eviction_order(row));
        if let Some(content) = first.map(|(content, _)| content.clone()) {
            self.contents.remove(&content);
        }
    }
}

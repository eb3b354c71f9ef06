use std::collections::BTreeSet;
use std::collections::HashMap;

use crate::schema::PoisonStrike;

/// replicas that may end under a content before it is refused.
///
/// Two may be chance: where many replicas end at once, a request that is tried again meets the second one a moment later.
pub const HOLD_THRESHOLD: usize = 3;
/// how long a content is remembered after its last victim: longer than callers come back with the same request.
const KEEP_MS: u64 = 600_000;
/// contents remembered; of more, those with one victim go first, and the oldest of them.
const MAX_CONTENTS: usize = 10_000;

/// the replicas that ended under each content. Taking strikes twice, or in any order, gives the same table.
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
    /// takes a strike; returns how many victims the content has, if this one was not known.
    pub fn add(&mut self, now_ms: u64, strike: &PoisonStrike) -> Option<usize> {
        if self.contents.len() >= MAX_CONTENTS && !self.contents.contains_key(&strike.content) {
            self.make_room();
        }
        let empty = || Row { victims: BTreeSet::new(), last_ms: now_ms };
        let row = self.contents.entry(strike.content.clone()).or_insert_with(empty);
        row.last_ms = row.last_ms.max(now_ms);
        row.victims.insert(strike.victim.clone()).then_some(row.victims.len())
    }

    /// whether a content has ended too many replicas to be sent to another one.
    pub fn is_held(&self, content: &str) -> bool {
        self.victim_count(content) >= HOLD_THRESHOLD
    }

    /// replicas that ended under a content.
    pub fn victim_count(&self, content: &str) -> usize {
        self.contents.get(content).map_or(0, |row| row.victims.len())
    }

    /// whether no replica is known to have ended under any content.
    pub fn is_empty(&self) -> bool {
        self.contents.is_empty()
    }

    /// forgets contents whose time is over, and returns them.
    pub fn expire(&mut self, now_ms: u64) -> BTreeSet<String> {
        let is_over = |_: &String, row: &mut Row| now_ms >= row.last_ms + KEEP_MS;
        self.contents.extract_if(is_over).map(|(content, _)| content).collect()
    }

    fn make_room(&mut self) {
        let rank = |row: &Row| (row.victims.len() >= HOLD_THRESHOLD, row.last_ms);
        let first = self.contents.iter().min_by_key(|(_, row)| rank(row));
        if let Some(content) = first.map(|(content, _)| content.clone()) {
            self.contents.remove(&content);
        }
    }
}

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::HashMap;
use std::collections::HashSet;

use crate::poison::content::is_path;
use crate::poison::run::process_of;
use crate::schema::PoisonStrike;

/// ended replicas of a content at which it is held back, that is, refused.
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
    /// contents under which as many replicas have ended as the threshold.
    frequent: BTreeSet<String>,
    held: BTreeSet<String>,
    /// replica processes that ended under a held content.
    explained: HashSet<String>,
}

#[derive(Debug)]
struct Row {
    /// whether each victim still counts.
    victims: BTreeMap<String, bool>,
    last_ms: u64,
}

impl Row {
    /// replica processes that ended under the content.
    fn ended(&self) -> BTreeSet<&str> {
        self.counting().map(process_of).collect()
    }

    fn counting(&self) -> impl Iterator<Item = &str> {
        self.victims.iter().filter(|(_, counts)| **counts).map(|(victim, _)| victim.as_str())
    }
}

impl Strikes {
    /// adds a strike, or that its content was acquitted of it; returns the number of replicas that have ended under the
    /// content if that is news.
    pub fn add(&mut self, now_ms: u64, strike: &PoisonStrike) -> Option<usize> {
        if self.contents.len() >= MAX_CONTENTS && !self.contents.contains_key(&strike.content) {
            self.evict_one();
        }
        let new_row = || Row { victims: BTreeMap::new(), last_ms: now_ms };
        let row = self.contents.entry(strike.content.clone()).or_insert_with(new_row);
        row.last_ms = row.last_ms.max(now_ms);
        let counts = strike.acquitted != Some(true);
        match row.victims.get_mut(&strike.victim) {
            Some(known) if !counts && *known => *known = false,
            Some(_) => return None,
            None => {
                row.victims.insert(strike.victim.clone(), counts);
            }
        }
        let ended = row.ended().len();
        let was_frequent = match ended >= HOLD_THRESHOLD {
            true => !self.frequent.insert(strike.content.clone()),
            false => self.frequent.remove(&strike.content),
        };
        if was_frequent || ended >= HOLD_THRESHOLD {
            self.update_held();
        }
        Some(ended)
    }

    /// clears a content that a replica has run to a successful end of its victims so far; returns what to tell others.
    pub fn acquit(&mut self, now_ms: u64, content: &str) -> Vec<PoisonStrike> {
        let Some(row) = self.contents.get(content) else {
            return Vec::new();
        };
        let acquittal = |victim: &str| PoisonStrike {
            content: content.to_owned(),
            victim: victim.to_owned(),
            acquitted: Some(true),
        };
        let acquitted: Vec<PoisonStrike> = row.counting().map(acquittal).collect();
        for strike in &acquitted {
            self.add(now_ms, strike);
        }
        acquitted
    }

    /// finds the contents that are held: those that explain the ends of replicas best.
    ///
    /// A replica that ends strikes all that it runs, so a content whose ends are all ends of contents with more of them
    /// was there by chance. Of a path and a content sent to it with the same ends, the content is held.
    fn update_held(&mut self) {
        let mut ranked: Vec<(usize, bool, &String)> = Vec::new();
        for content in &self.frequent {
            ranked.push((self.victim_count(content), !is_path(content), content));
        }
        ranked.sort_unstable_by(|a, b| b.cmp(a));
        let mut held = BTreeSet::new();
        let mut explained: HashSet<&str> = HashSet::new();
        for rank in ranked.chunk_by(|a, b| (a.0, a.1) == (b.0, b.1)) {
            let ended = |content: &String| self.contents.get(content).map(Row::ended).unwrap_or_default();
            let is_unexplained = |content: &String| ended(content).iter().any(|end| !explained.contains(end));
            let contents = rank.iter().map(|(_, _, content)| *content);
            let unexplained: Vec<&String> = contents.filter(|content| is_unexplained(content)).collect();
            for content in unexplained {
                explained.extend(ended(content));
                held.insert(content.clone());
            }
        }
        self.explained = explained.into_iter().map(str::to_owned).collect();
        self.held = held;
    }

    /// whether a content has reached the threshold and must not be sent to another replica.
    pub fn is_held(&self, content: &str) -> bool {
        self.held.contains(content)
    }

    /// whether a replica ended under a content that is held, so that its end says nothing of others.
    pub fn is_explained(&self, victim: &str) -> bool {
        self.explained.contains(process_of(victim))
    }

    /// number of replicas that ended while running a content.
    pub fn victim_count(&self, content: &str) -> usize {
        self.contents.get(content).map_or(0, |row| row.ended().len())
    }

    /// runs of a content under which replicas ended.
    pub fn victims(&self, content: &str) -> impl Iterator<Item = &str> {
        self.contents.get(content).into_iter().flat_map(Row::counting)
    }

    /// whether a content has a victim, or was acquitted of it.
    pub fn has_victim(&self, content: &str, victim: &str) -> bool {
        self.contents.get(content).is_some_and(|row| row.victims.contains_key(victim))
    }

    /// whether no content has a victim.
    pub fn is_empty(&self) -> bool {
        self.contents.is_empty()
    }

    /// removes contents whose retention has ended, and returns them.
    pub fn expire(&mut self, now_ms: u64) -> BTreeSet<String> {
        let is_expired = |_: &String, row: &mut Row| now_ms >= row.last_ms + RETENTION_MS;
        let expired: BTreeSet<String> =
            self.contents.extract_if(is_expired).map(|(content, _)| content).collect();
        if expired.iter().any(|content| self.frequent.contains(content)) {
            self.frequent.retain(|content| !expired.contains(content));
            self.update_held();
        }
        expired
    }

    fn evict_one(&mut self) {
        let eviction_order = |content: &String, row: &Row| (self.frequent.contains(content), row.last_ms);
        let first = self.contents.iter().min_by_key(|(content, row)| eviction_order(content, row));
        if let Some(content) = first.map(|(content, _)| content.clone()) {
            self.contents.remove(&content);
            if self.frequent.remove(&content) {
                self.update_held();
            }
        }
    }
}

use std::collections::HashMap;

use crate::dispatch::ReplicaKey;

/// most replicas that are remembered for one prefix.
const MAX_HOLDERS: usize = 16;

/// prefixes that are remembered before the older half is dropped.
const MAX_PREFIXES: usize = 65_536;

/// age at which a belief is dropped.
pub const CACHE_ENTRY_TTL_MS: u64 = 900_000;

/// a replica that is believed to hold a prefix.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Holder {
    /// replica.
    pub replica: ReplicaKey,
    /// when this was last heard.
    pub seen_ms: u64,
}

/// what is known of one prefix.
#[derive(Clone, Debug, Default)]
struct PrefixEntry {
    holders: Vec<Holder>,
    programs: u32,
}

/// which replicas are believed to hold which prefixes.
///
/// Bounded by two generations: what was not heard of or asked for during a whole generation is
/// dropped.
#[derive(Debug, Default)]
pub struct CacheIndex {
    young: HashMap<u64, PrefixEntry>,
    old: HashMap<u64, PrefixEntry>,
}

impl CacheIndex {
    /// notes that a replica holds a prefix.
    pub fn insert(&mut self, prefix: u64, replica: ReplicaKey, now_ms: u64) {
        let holders = &mut self.entry(prefix).holders;
        if let Some(holder) = holders.iter_mut().find(|holder| holder.replica == replica) {
            holder.seen_ms = now_ms;
            return;
        }
        if holders.len() == MAX_HOLDERS {
            holders.remove(0);
        }
        holders.push(Holder { replica, seen_ms: now_ms });
    }

    /// notes that a replica no longer holds a prefix.
    pub fn remove(&mut self, prefix: u64, replica: ReplicaKey) {
        for generation in [&mut self.young, &mut self.old] {
            if let Some(entry) = generation.get_mut(&prefix) {
                entry.holders.retain(|holder| holder.replica != replica);
            }
        }
    }

    /// replicas believed to hold a prefix, without beliefs that are too old.
    pub fn holders(&self, prefix: u64, now_ms: u64) -> impl Iterator<Item = &Holder> {
        let holders = self.find(prefix).map(|entry| entry.holders.as_slice()).unwrap_or_default();
        holders.iter().filter(move |holder| now_ms.saturating_sub(holder.seen_ms) <= CACHE_ENTRY_TTL_MS)
    }

    /// counts one more program whose prompt starts with a prefix.
    pub fn count_program(&mut self, prefix: u64) {
        let entry = self.entry(prefix);
        entry.programs = entry.programs.saturating_add(1);
    }

    /// number of programs whose prompts start with a prefix.
    pub fn program_count(&self, prefix: u64) -> u32 {
        self.find(prefix).map_or(0, |entry| entry.programs)
    }

    /// number of prefixes that are remembered.
    pub fn len(&self) -> usize {
        self.young.len() + self.old.len()
    }

    /// tells whether nothing is remembered.
    pub fn is_empty(&self) -> bool {
        self.young.is_empty() && self.old.is_empty()
    }

    fn find(&self, prefix: u64) -> Option<&PrefixEntry> {
        self.young.get(&prefix).or_else(|| self.old.get(&prefix))
    }

    fn entry(&mut self, prefix: u64) -> &mut PrefixEntry {
        if self.young.len() >= MAX_PREFIXES / 2 {
            self.old = std::mem::take(&mut self.young);
        }
        let before = self.old.remove(&prefix);
        self.young.entry(prefix).or_insert_with(|| before.unwrap_or_default())
    }
}

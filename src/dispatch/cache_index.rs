use std::collections::HashMap;

use crate::dispatch::ReplicaKey;

/// most holders kept for one prefix.
const MAX_HOLDERS: usize = 16;

/// most prefixes in both generations; the older half is dropped beyond that.
const MAX_PREFIXES: usize = 65_536;

/// age at which a holder of a prefix is ignored unless it was seen again.
pub const CACHE_ENTRY_TTL_MS: u64 = 900_000;

/// a replica that probably has a prefix in its cache.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Holder {
    /// replica.
    pub replica: ReplicaKey,
    /// when the entry was last confirmed.
    pub seen_ms: u64,
}

/// index entry of one prefix.
#[derive(Clone, Debug, Default)]
struct PrefixEntry {
    holders: Vec<Holder>,
    program_count: u32,
}

/// index of the replicas that probably hold each prefix, with the number of programs that share it.
///
/// Memory is bounded by two generations: a prefix that was not updated during a whole generation is dropped.
#[derive(Debug, Default)]
pub struct CacheIndex {
    current: HashMap<u64, PrefixEntry>,
    previous: HashMap<u64, PrefixEntry>,
}

impl CacheIndex {
    /// adds or refreshes a holder of a prefix; beyond `MAX_HOLDERS` the first one added is dropped.
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

    /// removes a replica from the holders of a prefix.
    pub fn remove(&mut self, prefix: u64, replica: ReplicaKey) {
        for generation in [&mut self.current, &mut self.previous] {
            if let Some(entry) = generation.get_mut(&prefix) {
                entry.holders.retain(|holder| holder.replica != replica);
            }
        }
    }

    /// holders of a prefix that were seen within `CACHE_ENTRY_TTL_MS`.
    pub fn holders(&self, prefix: u64, now_ms: u64) -> impl Iterator<Item = &Holder> {
        let holders = self.find(prefix).map(|entry| entry.holders.as_slice()).unwrap_or_default();
        holders.iter().filter(move |holder| now_ms.saturating_sub(holder.seen_ms) <= CACHE_ENTRY_TTL_MS)
    }

    /// counts one more program whose prompt starts with the prefix.
    pub fn count_program(&mut self, prefix: u64) {
        let entry = self.entry(prefix);
        entry.program_count = entry.program_count.saturating_add(1);
    }

    /// number of programs counted for a prefix.
    pub fn program_count(&self, prefix: u64) -> u32 {
        self.find(prefix).map_or(0, |entry| entry.program_count)
    }

    /// number of indexed prefixes.
    pub fn len(&self) -> usize {
        self.current.len() + self.previous.len()
    }

    /// whether no prefix is indexed.
    pub fn is_empty(&self) -> bool {
        self.current.is_empty() && self.previous.is_empty()
    }

    fn find(&self, prefix: u64) -> Option<&PrefixEntry> {
        self.current.get(&prefix).or_else(|| self.previous.get(&prefix))
    }

    fn entry(&mut self, prefix: u64) -> &mut PrefixEntry {
        if self.current.len() >= MAX_PREFIXES / 2 {
            self.previous = std::mem::take(&mut self.current);
        }
        let carried = self.previous.remove(&prefix);
        self.current.entry(prefix).or_insert_with(|| carried.unwrap_or_default())
    }
}

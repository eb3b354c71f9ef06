use std::collections::HashMap;

use crate::dispatch::ReplicaKey;

/// most replicas that are remembered for one prefix.
const MAX_HOLDERS: usize = 8;

/// prefixes that are remembered before the older half is dropped.
const MAX_PREFIXES: usize = 65_536;

/// age at which a belief is dropped.
pub const MAX_BELIEF_MS: u64 = 900_000;

/// a replica that is believed to hold a prefix.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Holder {
    /// replica.
    pub replica: ReplicaKey,
    /// when this was last heard.
    pub seen_ms: u64,
}

/// which replicas are believed to hold which prefixes.
///
/// Bounded by two generations: what was not heard of or asked for during a whole generation is
/// dropped.
#[derive(Debug, Default)]
pub struct CacheIndex {
    young: HashMap<u64, Vec<Holder>>,
    old: HashMap<u64, Vec<Holder>>,
}

impl CacheIndex {
    /// notes that a replica holds a prefix.
    pub fn insert(&mut self, prefix: u64, replica: ReplicaKey, now_ms: u64) {
        let holders = self.entry(prefix);
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
            if let Some(holders) = generation.get_mut(&prefix) {
                holders.retain(|holder| holder.replica != replica);
            }
        }
    }

    /// replicas believed to hold a prefix, without beliefs that are too old.
    pub fn holders(&self, prefix: u64, now_ms: u64) -> impl Iterator<Item = &Holder> {
        let found = self.young.get(&prefix).or_else(|| self.old.get(&prefix));
        found
            .into_iter()
            .flatten()
            .filter(move |holder| now_ms.saturating_sub(holder.seen_ms) <= MAX_BELIEF_MS)
    }

    /// number of prefixes that are remembered.
    pub fn len(&self) -> usize {
        self.young.len() + self.old.len()
    }

    /// tells whether nothing is remembered.
    pub fn is_empty(&self) -> bool {
        self.young.is_empty() && self.old.is_empty()
    }

    fn entry(&mut self, prefix: u64) -> &mut Vec<Holder> {
        if self.young.len() >= MAX_PREFIXES / 2 {
            self.old = std::mem::take(&mut self.young);
        }
        let before = self.old.remove(&prefix);
        self.young.entry(prefix).or_insert_with(|| before.unwrap_or_default())
    }
}

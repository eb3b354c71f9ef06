//! the prefix cache of an engine: a tree of message boundaries in limited memory.

use std::collections::BTreeSet;
use std::collections::HashMap;

use flamingostand::dispatch::Boundary;

/// one boundary that is held.
#[derive(Debug)]
struct Node {
    parent: u64,
    tokens: u64,
    total_tokens: u64,
    children: u32,
    pins: u32,
    used: u64,
}

/// what changed in a cache.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CacheChange {
    /// a prefix is held from now on.
    Held(Boundary),
    /// a prefix was dropped.
    Dropped(u64),
}

/// holds prefixes and drops the least recently used leaf when memory is short.
#[derive(Debug)]
pub struct PrefixCache {
    nodes: HashMap<u64, Node>,
    leaves: BTreeSet<(u64, u64)>,
    capacity_tokens: u64,
    used_tokens: u64,
    private_tokens: u64,
    clock: u64,
    /// changes since they were last taken.
    pub changes: Vec<CacheChange>,
}

impl PrefixCache {
    /// an empty cache.
    pub fn new(capacity_tokens: u64) -> Self {
        Self {
            nodes: HashMap::new(),
            leaves: BTreeSet::new(),
            capacity_tokens,
            used_tokens: 0,
            private_tokens: 0,
            clock: 0,
            changes: Vec::new(),
        }
    }

    /// the longest part of a prompt that is held: number of boundaries and tokens.
    pub fn find(&self, chain: &[Boundary]) -> (usize, u64) {
        let held = chain.iter().take_while(|boundary| self.nodes.contains_key(&boundary.digest)).count();
        (held, if held == 0 { 0 } else { chain[held - 1].tokens })
    }

    /// keeps boundaries from being dropped.
    pub fn pin(&mut self, chain: &[Boundary]) {
        self.clock += 1;
        for boundary in chain {
            let clock = self.clock;
            self.touch(boundary.digest, |node| {
                node.pins += 1;
                node.used = clock;
            });
        }
    }

    /// lets boundaries be dropped again.
    pub fn unpin(&mut self, chain: &[Boundary]) {
        self.clock += 1;
        for boundary in chain {
            let clock = self.clock;
            self.touch(boundary.digest, |node| {
                node.pins -= 1;
                node.used = clock;
            });
        }
    }

    /// takes memory for tokens that are not held as a prefix yet; false when there is no room.
    pub fn take_private(&mut self, tokens: u64) -> bool {
        while self.used_tokens + self.private_tokens + tokens > self.capacity_tokens {
            if !self.drop_one() {
                return false;
            }
        }
        self.private_tokens += tokens;
        true
    }

    /// gives private memory back.
    pub fn free_private(&mut self, tokens: u64) {
        self.private_tokens -= tokens;
    }

    /// holds a boundary behind `parent`, pinned once when asked.
    pub fn insert(&mut self, parent: Option<Boundary>, boundary: Boundary) {
        if self.nodes.contains_key(&boundary.digest) {
            return;
        }
        let parent = parent.unwrap_or_default();
        let tokens = boundary.tokens - parent.tokens;
        self.touch(parent.digest, |node| node.children += 1);
        self.clock += 1;
        let node = Node {
            parent: parent.digest,
            tokens,
            total_tokens: boundary.tokens,
            children: 0,
            pins: 0,
            used: self.clock,
        };
        self.used_tokens += tokens;
        self.leaves.insert((node.used, boundary.digest));
        self.nodes.insert(boundary.digest, node);
        self.changes.push(CacheChange::Held(boundary));
    }

    /// drops what a program that ended left behind, up to the first part that others use.
    pub fn release(&mut self, chain: &[Boundary]) {
        for boundary in chain.iter().rev() {
            let Some(node) = self.nodes.get(&boundary.digest) else { continue };
            if node.children > 0 || node.pins > 0 {
                return;
            }
            let node = (node.used, node.tokens, node.parent);
            self.leaves.remove(&(node.0, boundary.digest));
            self.nodes.remove(&boundary.digest);
            self.used_tokens -= node.1;
            self.touch(node.2, |parent| parent.children -= 1);
            self.changes.push(CacheChange::Dropped(boundary.digest));
        }
    }

    /// drops everything.
    pub fn clear(&mut self) {
        *self = Self::new(self.capacity_tokens);
    }

    /// what is held now.
    pub fn held(&self) -> Vec<Boundary> {
        self.nodes
            .iter()
            .map(|(digest, node)| Boundary { digest: *digest, tokens: node.total_tokens })
            .collect()
    }

    fn drop_one(&mut self) -> bool {
        let Some((_, digest)) = self.leaves.pop_first() else { return false };
        let Some(node) = self.nodes.remove(&digest) else { return false };
        self.used_tokens -= node.tokens;
        self.touch(node.parent, |parent| parent.children -= 1);
        self.changes.push(CacheChange::Dropped(digest));
        true
    }

    fn touch(&mut self, digest: u64, change: impl FnOnce(&mut Node)) {
        let Some(node) = self.nodes.get_mut(&digest) else { return };
        if node.children == 0 && node.pins == 0 {
            self.leaves.remove(&(node.used, digest));
        }
        change(node);
        if node.children == 0 && node.pins == 0 {
            self.leaves.insert((node.used, digest));
        }
    }
}

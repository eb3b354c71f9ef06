use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::HashMap;

use super::CacheEventKind;

/// one message of a prompt: the prefix that ends with it, and its own tokens.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PrefixPart {
    /// name of the prefix.
    pub prefix: u64,
    /// tokens of the message alone.
    pub tokens: u64,
}

/// a change of what the cache holds.
pub(super) type CacheChange = (CacheEventKind, u64, u64);

#[derive(Clone, Debug)]
struct Node {
    parent: Option<u64>,
    own_tokens: u64,
    total_tokens: u64,
    child_count: usize,
    used_tick: u64,
    program: String,
}

/// a limited cache of prompt prefixes at message boundaries, least recently used leaves out first.
#[derive(Clone, Debug, Default)]
pub struct PrefixCache {
    capacity_tokens: u64,
    held_tokens: u64,
    tick: u64,
    nodes: HashMap<u64, Node>,
    leaves: BTreeSet<(u64, u64)>,
    changes: Vec<CacheChange>,
}

impl PrefixCache {
    /// builds an empty cache.
    pub fn new(capacity_tokens: u64) -> Self {
        Self { capacity_tokens, ..Self::default() }
    }

    /// tokens held.
    pub fn held_tokens(&self) -> u64 {
        self.held_tokens
    }

    /// most tokens held.
    pub fn capacity_tokens(&self) -> u64 {
        self.capacity_tokens
    }

    /// tokens of the longest held prefix of a prompt.
    pub fn cached_tokens(&self, parts: &[PrefixPart]) -> u64 {
        let held = parts.iter().take_while(|part| self.nodes.contains_key(&part.prefix));
        held.map(|part| part.tokens).sum()
    }

    /// holds all prefixes of a prompt for `program`, at the cost of the least recently used ones.
    pub fn insert(&mut self, parts: &[PrefixPart], program: &str) {
        self.tick += 1;
        let mut parent = None;
        let mut total_tokens = 0;
        for part in parts {
            total_tokens += part.tokens;
            self.touch(*part, parent, total_tokens, program);
            parent = Some(part.prefix);
        }
        self.evict();
    }

    /// marks the held prefixes of a prompt as used by `program`, and returns their tokens.
    pub fn touch_held(&mut self, parts: &[PrefixPart], program: &str) -> u64 {
        let held = parts.iter().take_while(|part| self.nodes.contains_key(&part.prefix)).count();
        self.insert(&parts[..held], program);
        parts[..held].iter().map(|part| part.tokens).sum()
    }

    /// drops what `program` used last, unless others need it, and returns the tokens dropped.
    pub fn release(&mut self, program: &str) -> u64 {
        let before = self.held_tokens;
        loop {
            let mut leaves = self.leaves.iter().map(|(_, prefix)| *prefix);
            let Some(prefix) = leaves.find(|prefix| self.nodes[prefix].program == program) else {
                break;
            };
            self.remove(prefix);
        }
        self.hand_over(program);
        before - self.held_tokens
    }

    /// tokens held by the program that used them last.
    pub fn holds(&self) -> BTreeMap<String, u64> {
        let mut holds = BTreeMap::new();
        for node in self.nodes.values() {
            *holds.entry(node.program.clone()).or_insert(0) += node.own_tokens;
        }
        holds
    }

    /// the longest prompt that `program` used last, from its first message on.
    pub fn chain(&self, program: &str) -> Vec<PrefixPart> {
        let mine = self.nodes.iter().filter(|(_, node)| node.program == program);
        let last = mine.max_by_key(|(prefix, node)| (node.used_tick, node.total_tokens, **prefix));
        let mut next = last.map(|(prefix, _)| *prefix);
        let mut parts = Vec::new();
        while let Some(prefix) = next {
            let node = &self.nodes[&prefix];
            parts.push(PrefixPart { prefix, tokens: node.own_tokens });
            next = node.parent;
        }
        parts.reverse();
        parts
    }

    /// the changes since the last call.
    pub(super) fn take_changes(&mut self) -> Vec<CacheChange> {
        std::mem::take(&mut self.changes)
    }

    fn touch(&mut self, part: PrefixPart, parent: Option<u64>, total_tokens: u64, program: &str) {
        let tick = self.tick;
        if let Some(node) = self.nodes.get_mut(&part.prefix) {
            if self.leaves.remove(&(node.used_tick, part.prefix)) {
                self.leaves.insert((tick, part.prefix));
            }
            node.used_tick = tick;
            if node.program != program {
                node.program = program.to_owned();
            }
            return;
        }
        if let Some(parent) = parent {
            let node = self.nodes.get_mut(&parent).expect("a parent is held before its child");
            node.child_count += 1;
            self.leaves.remove(&(node.used_tick, parent));
        }
        let node = Node {
            parent,
            own_tokens: part.tokens,
            total_tokens,
            child_count: 0,
            used_tick: tick,
            program: program.to_owned(),
        };
        self.nodes.insert(part.prefix, node);
        self.leaves.insert((tick, part.prefix));
        self.held_tokens += part.tokens;
        self.changes.push((CacheEventKind::Held, part.prefix, total_tokens));
    }

    fn evict(&mut self) {
        while self.held_tokens > self.capacity_tokens {
            let Some((_, prefix)) = self.leaves.first().copied() else {
                return;
            };
            self.remove(prefix);
        }
    }

    fn remove(&mut self, prefix: u64) {
        let Some(node) = self.nodes.remove(&prefix) else {
            return;
        };
        self.leaves.remove(&(node.used_tick, prefix));
        self.held_tokens -= node.own_tokens;
        self.changes.push((CacheEventKind::Dropped, prefix, node.total_tokens));
        let Some(parent) = node.parent else {
            return;
        };
        let above = self.nodes.get_mut(&parent).expect("a parent outlives its children");
        above.child_count -= 1;
        if above.child_count == 0 {
            self.leaves.insert((above.used_tick, parent));
        }
    }

    /// gives what `program` still holds, because others extend it, to one of those others.
    fn hand_over(&mut self, program: &str) {
        let heirs: Vec<(u64, String)> = self.heirs(program);
        for (prefix, heir) in heirs {
            if let Some(node) = self.nodes.get_mut(&prefix) {
                node.program = heir;
            }
        }
    }

    fn heirs(&self, program: &str) -> Vec<(u64, String)> {
        let mut heirs: BTreeMap<u64, String> = BTreeMap::new();
        for (_, leaf) in &self.leaves {
            let heir = &self.nodes[leaf].program;
            let mut above = self.nodes[leaf].parent;
            while let Some(prefix) = above {
                let node = &self.nodes[&prefix];
                if node.program == program {
                    heirs.insert(prefix, heir.clone());
                }
                above = node.parent;
            }
        }
        heirs.into_iter().collect()
    }
}

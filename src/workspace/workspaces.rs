use std::collections::BTreeMap;
use std::collections::HashMap;
use std::sync::Arc;

use crate::workspace::KeyDigest;
use crate::workspace::Workspace;

/// how the workspaces of a configuration differ from those of the one before.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct WorkspaceChanges {
    /// workspaces that are new.
    pub added: usize,
    /// workspaces that are gone.
    pub removed: usize,
    /// keys that are new, or belong to another workspace.
    pub keys_added: usize,
    /// keys that are gone, or belong to another workspace.
    pub keys_removed: usize,
}

/// the workspaces of one configuration, by name and by key.
#[derive(Clone, Debug, Default)]
pub struct Workspaces {
    by_name: BTreeMap<String, Arc<Workspace>>,
    by_key: HashMap<KeyDigest, Arc<Workspace>>,
    shared_key_count: usize,
}

impl Workspaces {
    /// indexes workspaces with the keys of each. Of several entries with one name the first counts, with the keys of
    /// all; a key that several workspaces name belongs to the first of them.
    pub fn new(entries: impl IntoIterator<Item = (Workspace, Vec<KeyDigest>)>) -> Self {
        let mut workspaces = Self::default();
        for (workspace, keys) in entries {
            let name = workspace.name.clone();
            let workspace = Arc::clone(workspaces.by_name.entry(name).or_insert_with(|| Arc::new(workspace)));
            for key in keys {
                let holder = workspaces.by_key.entry(key).or_insert_with(|| Arc::clone(&workspace));
                if !Arc::ptr_eq(holder, &workspace) {
                    workspaces.shared_key_count += 1;
                }
            }
        }
        workspaces
    }

    /// whether the configuration has none, so that callers need no key.
    pub fn is_empty(&self) -> bool {
        self.by_name.is_empty()
    }

    /// number of workspaces.
    pub fn len(&self) -> usize {
        self.by_name.len()
    }

    /// number of keys that callers may hold.
    pub fn key_count(&self) -> usize {
        self.by_key.len()
    }

    /// how often a key was named again by another workspace than the one that it belongs to.
    pub fn shared_key_count(&self) -> usize {
        self.shared_key_count
    }

    /// the workspace that a caller's key belongs to.
    pub fn by_key(&self, key: &str) -> Option<&Arc<Workspace>> {
        self.by_digest(&KeyDigest::of(key.as_bytes()))
    }

    /// the workspace that the key with a digest belongs to.
    pub fn by_digest(&self, key: &KeyDigest) -> Option<&Arc<Workspace>> {
        self.by_key.get(key)
    }

    /// a workspace by name.
    pub fn by_name(&self, name: &str) -> Option<&Arc<Workspace>> {
        self.by_name.get(name)
    }

    /// all workspaces, by name.
    pub fn iter(&self) -> impl Iterator<Item = &Arc<Workspace>> {
        self.by_name.values()
    }

    /// what has changed since `earlier`.
    pub fn changes_since(&self, earlier: &Self) -> WorkspaceChanges {
        WorkspaceChanges {
            added: self.names_missing_in(earlier),
            removed: earlier.names_missing_in(self),
            keys_added: self.keys_missing_in(earlier),
            keys_removed: earlier.keys_missing_in(self),
        }
    }

    fn names_missing_in(&self, other: &Self) -> usize {
        self.by_name.keys().filter(|name| !other.by_name.contains_key(*name)).count()
    }

    fn keys_missing_in(&self, other: &Self) -> usize {
        let is_missing = |key: &KeyDigest, holder: &Workspace| {
            other.by_digest(key).is_none_or(|other_holder| other_holder.name != holder.name)
        };
        self.by_key.iter().filter(|(key, holder)| is_missing(key, holder)).count()
    }
}

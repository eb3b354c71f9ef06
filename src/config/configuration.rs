use std::sync::Arc;

use imbl::OrdMap;

use crate::config::EntryKey;
use crate::schema::AgentProgramEntry;
use crate::schema::ModelEntry;
use crate::schema::ReleaseEntry;
use crate::schema::ReleaseNote;
use crate::schema::ServiceEntry;
use crate::schema::WorkspaceEntry;

/// one version of the configuration; shared as a snapshot and never changed.
///
/// The maps share their nodes between versions, so that a new version costs what changed.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Configuration {
    /// number of accepted releases that it holds.
    pub version: u64,
    /// workspaces by name.
    pub workspaces: OrdMap<String, Arc<WorkspaceEntry>>,
    /// agent programs by workspace and name.
    pub agent_programs: OrdMap<(String, String), Arc<AgentProgramEntry>>,
    /// models by name.
    pub models: OrdMap<String, Arc<ModelEntry>>,
    /// plain services by name.
    pub services: OrdMap<String, Arc<ServiceEntry>>,
    /// workspaces by the hash of each of their keys; kept in step by `put` and `remove`.
    pub key_workspaces: OrdMap<String, String>,
}

impl Configuration {
    /// finds an agent program of a workspace.
    pub fn agent_program(&self, workspace: &str, id: &str) -> Option<&AgentProgramEntry> {
        let key = (workspace.to_owned(), id.to_owned());
        self.agent_programs.get(&key).map(Arc::as_ref)
    }

    /// finds the workspace that a key with this hash opens.
    pub fn workspace_of_key(&self, key_hash: &str) -> Option<&WorkspaceEntry> {
        let workspace = self.key_workspaces.get(key_hash)?;
        self.workspaces.get(workspace).map(Arc::as_ref)
    }

    /// agent programs of a workspace, by name.
    pub fn agent_programs_of<'a>(
        &'a self,
        workspace: &'a str,
    ) -> impl Iterator<Item = &'a AgentProgramEntry> + 'a {
        let from = (workspace.to_owned(), String::new());
        let mut entries = self.agent_programs.range(from..);
        std::iter::from_fn(move || {
            let ((owner, _), entry) = entries.next()?;
            (owner == workspace).then(|| entry.as_ref())
        })
    }

    /// tells whether an entry exists.
    pub fn contains(&self, key: &EntryKey) -> bool {
        match key {
            EntryKey::Workspace(id) => self.workspaces.contains_key(id),
            EntryKey::Model(id) => self.models.contains_key(id),
            EntryKey::Service(id) => self.services.contains_key(id),
            EntryKey::AgentProgram { workspace, id } => self.agent_program(workspace, id).is_some(),
        }
    }

    /// copies an entry.
    pub fn entry(&self, key: &EntryKey) -> Option<ReleaseEntry> {
        match key {
            EntryKey::Workspace(id) => {
                self.workspaces.get(id).map(|entry| ReleaseEntry::Workspace(entry.as_ref().clone()))
            }
            EntryKey::Model(id) => {
                self.models.get(id).map(|entry| ReleaseEntry::Model(entry.as_ref().clone()))
            }
            EntryKey::Service(id) => {
                self.services.get(id).map(|entry| ReleaseEntry::Service(entry.as_ref().clone()))
            }
            EntryKey::AgentProgram { workspace, id } => {
                self.agent_program(workspace, id).cloned().map(ReleaseEntry::AgentProgram)
            }
        }
    }

    /// adds or replaces an entry.
    pub fn put(&mut self, entry: ReleaseEntry) {
        match entry {
            ReleaseEntry::Workspace(workspace) => self.put_workspace(workspace),
            ReleaseEntry::Model(model) => {
                self.models.insert(model.id.clone(), Arc::new(model));
            }
            ReleaseEntry::Service(service) => {
                self.services.insert(service.id.clone(), Arc::new(service));
            }
            ReleaseEntry::AgentProgram(agent) => {
                let key = (agent.workspace.clone(), agent.id.clone());
                self.agent_programs.insert(key, Arc::new(agent));
            }
        }
    }

    /// removes an entry.
    pub fn remove(&mut self, key: &EntryKey) {
        match key {
            EntryKey::Workspace(id) => self.remove_workspace(id),
            EntryKey::Model(id) => {
                self.models.remove(id);
            }
            EntryKey::Service(id) => {
                self.services.remove(id);
            }
            EntryKey::AgentProgram { workspace, id } => {
                self.agent_programs.remove(&(workspace.clone(), id.clone()));
            }
        }
    }

    /// the configuration that a note makes of this one.
    #[must_use]
    pub fn with_note(&self, version: u64, note: &ReleaseNote) -> Self {
        let mut next = self.clone();
        next.version = version;
        // Withdrawals go first: a key may move from a withdrawn workspace to an added one.
        for name in &note.withdrawn {
            next.remove(&EntryKey::from(name));
        }
        for entry in note.changed.iter().chain(&note.added) {
            next.drop_keys(entry);
        }
        for entry in note.changed.iter().chain(&note.added) {
            next.put(entry.clone());
        }
        next
    }

    fn put_workspace(&mut self, workspace: WorkspaceEntry) {
        self.remove_workspace(&workspace.id);
        for hash in &workspace.key_hashes {
            self.key_workspaces.insert(hash.clone(), workspace.id.clone());
        }
        self.workspaces.insert(workspace.id.clone(), Arc::new(workspace));
    }

    fn remove_workspace(&mut self, id: &str) {
        let Some(old) = self.workspaces.remove(id) else {
            return;
        };
        for hash in &old.key_hashes {
            if self.key_workspaces.get(hash).is_some_and(|owner| owner == id) {
                self.key_workspaces.remove(hash);
            }
        }
    }

    /// takes the old keys of a changed workspace away before any new ones are set.
    fn drop_keys(&mut self, entry: &ReleaseEntry) {
        if let ReleaseEntry::Workspace(workspace) = entry {
            self.remove_workspace(&workspace.id);
        }
    }
}

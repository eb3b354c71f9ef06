use std::fmt;

use crate::schema::EntryKind;
use crate::schema::EntryName;
use crate::schema::ReleaseEntry;

/// names one entry of the configuration.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum EntryKey {
    /// a workspace.
    Workspace(String),
    /// a model.
    Model(String),
    /// a plain service.
    Service(String),
    /// an agent program of a workspace.
    AgentProgram {
        /// workspace that runs it.
        workspace: String,
        /// its name there.
        id: String,
    },
}

impl From<&ReleaseEntry> for EntryKey {
    fn from(entry: &ReleaseEntry) -> Self {
        match entry {
            ReleaseEntry::Workspace(workspace) => Self::Workspace(workspace.id.clone()),
            ReleaseEntry::Model(model) => Self::Model(model.id.clone()),
            ReleaseEntry::Service(service) => Self::Service(service.id.clone()),
            ReleaseEntry::AgentProgram(agent) => {
                Self::AgentProgram { workspace: agent.workspace.clone(), id: agent.id.clone() }
            }
        }
    }
}

impl From<&EntryName> for EntryKey {
    /// an agent program without a workspace names no entry that can exist.
    fn from(name: &EntryName) -> Self {
        let id = name.id.clone();
        match name.kind {
            EntryKind::Workspace => Self::Workspace(id),
            EntryKind::Model => Self::Model(id),
            EntryKind::Service => Self::Service(id),
            EntryKind::AgentProgram => {
                Self::AgentProgram { workspace: name.workspace.clone().unwrap_or_default(), id }
            }
        }
    }
}

impl From<&EntryKey> for EntryName {
    fn from(key: &EntryKey) -> Self {
        let (kind, id, workspace) = match key {
            EntryKey::Workspace(id) => (EntryKind::Workspace, id, None),
            EntryKey::Model(id) => (EntryKind::Model, id, None),
            EntryKey::Service(id) => (EntryKind::Service, id, None),
            EntryKey::AgentProgram { workspace, id } => {
                (EntryKind::AgentProgram, id, Some(workspace.clone()))
            }
        };
        Self { kind, id: id.clone(), workspace }
    }
}

impl fmt::Display for EntryKey {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Workspace(id) => write!(out, "workspace `{id}`"),
            Self::Model(id) => write!(out, "model `{id}`"),
            Self::Service(id) => write!(out, "service `{id}`"),
            Self::AgentProgram { workspace, id } => {
                write!(out, "agent program `{id}` of workspace `{workspace}`")
            }
        }
    }
}

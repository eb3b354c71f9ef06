use std::collections::BTreeMap;

use crate::schema::AgentProgramEntry;
use crate::schema::ModelEntry;
use crate::schema::ServiceEntry;
use crate::schema::WorkspaceEntry;

/// one version of the configuration; shared as a snapshot and never changed.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Configuration {
    /// number of accepted releases that it holds.
    pub version: u64,
    /// workspaces by name.
    pub workspaces: BTreeMap<String, WorkspaceEntry>,
    /// agent programs by workspace and name.
    pub agent_programs: BTreeMap<(String, String), AgentProgramEntry>,
    /// models by name.
    pub models: BTreeMap<String, ModelEntry>,
    /// plain services by name.
    pub services: BTreeMap<String, ServiceEntry>,
}

impl Configuration {
    /// finds an agent program of a workspace.
    pub fn agent_program(&self, workspace: &str, id: &str) -> Option<&AgentProgramEntry> {
        self.agent_programs.get(&(workspace.to_owned(), id.to_owned()))
    }
}

use std::sync::Arc;

use crate::workspace::Workspace;

/// scope of the ids of callers that belong to no workspace, where others do; no digest of a name is as short.
const ANONYMOUS_SCOPE: &str = "-";
/// hexadecimal digits of a name's digest in a scope: names that operators choose do not collide in 64 bits.
const SCOPE_DIGITS: usize = 16;

/// on whose behalf a request runs.
#[derive(Clone, Debug, PartialEq)]
pub enum Principal {
    /// the configuration has no workspaces, so that all callers are one party.
    Unscoped,
    /// a caller without a known key, on a route that needs none.
    Anonymous,
    /// the workspace that holds the caller's key.
    Workspace(Arc<Workspace>),
}

impl Principal {
    /// the workspace, if there is one.
    pub fn workspace(&self) -> Option<&Arc<Workspace>> {
        match self {
            Self::Workspace(workspace) => Some(workspace),
            Self::Unscoped | Self::Anonymous => None,
        }
    }

    /// whether both are the same party, whatever else its configuration says.
    pub fn is_same_party(&self, other: &Self) -> bool {
        match (self, other) {
            (Self::Workspace(this), Self::Workspace(other)) => this.name == other.name,
            (this, other) => this == other,
        }
    }

    /// an id that a caller chose, as it is stored: no two parties have one in common. Without workspaces it stays
    /// as it is.
    pub fn scoped(&self, id: &str) -> String {
        match self {
            Self::Unscoped => id.to_owned(),
            Self::Anonymous => format!("{ANONYMOUS_SCOPE}/{id}"),
            Self::Workspace(workspace) => {
                let digest = blake3::hash(workspace.name.as_bytes()).to_hex();
                format!("{}/{id}", &digest.as_str()[..SCOPE_DIGITS])
            }
        }
    }
}

//! workspaces: the parties that share a deployment, and the keys that their callers hold.
//!
//! Pure values without I/O. `platform` decodes them from the operators' configuration.

mod allotment;
mod key_digest;
mod principal;
#[expect(clippy::module_inception, reason = "the main type of the folder has the folder's name")]
mod workspace;
mod workspaces;

pub use allotment::Allotment;
pub use key_digest::KeyDigest;
pub use principal::Principal;
pub use workspace::Workspace;
pub use workspaces::WorkspaceChanges;
pub use workspaces::Workspaces;

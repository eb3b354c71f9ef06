use slog::info;
use slog::warn;

use crate::door::door::Door;
use crate::door::refusal::Refusal;
use crate::door::request::DoorRequest;
use crate::platform::CONFIG_PREFIX;
use crate::platform::CallerRequest;
use crate::routing::Route;
use crate::routing::RouteTable;
use crate::workspace::Principal;
use crate::workspace::WorkspaceChanges;
use crate::workspace::Workspaces;

impl Door {
    /// on whose behalf a request on a route runs; an error if its key does not allow it.
    pub fn identify(
        &self,
        table: &RouteTable,
        route: &Route,
        caller: &CallerRequest,
    ) -> Result<Principal, Refusal> {
        let principal = table.principal(route, caller.key.as_ref());
        principal.ok_or_else(|| match self.is_current(CONFIG_PREFIX) {
            true => Refusal::UnknownKey,
            // A configuration that this door has not seen may hold the key, or need none on the route.
            false => Refusal::KeyUnsure,
        })
    }

    /// checks a request that has waited in the door: its key may have been taken away since it came.
    pub fn check_principal(&self, request: &DoorRequest, route: &Route) -> Result<(), Refusal> {
        let table = self.table.load();
        let table = table.as_ref().ok_or(Refusal::NoConfiguration)?;
        let principal = self.identify(table, route, &request.caller)?;
        if principal.is_same_party(&request.principal) { Ok(()) } else { Err(Refusal::KeyUnsure) }
    }

    /// counts a request of a workspace; returns the workspace's label in metrics.
    pub fn count_request(&self, principal: &Principal) -> Option<String> {
        let workspace = principal.workspace()?;
        let count = self.table.load().as_ref().map_or(0, |table| table.workspaces.len());
        let label = self.workspace_labels.label(&workspace.name, count);
        metrics::counter!("door_workspace_requests_total", "workspace" => label.clone()).increment(1);
        Some(label)
    }

    /// logs how a configuration that is about to be activated changes the workspaces.
    pub fn log_workspaces(&self, table: &RouteTable) {
        let none = Workspaces::default();
        let active = self.table.load();
        let earlier = active.as_ref().map_or(&none, |active| &active.workspaces);
        let changes = table.workspaces.changes_since(earlier);
        if changes != WorkspaceChanges::default() {
            info!(self.log, "workspaces changed"; "workspaces" => table.workspaces.len(),
                "added" => changes.added, "removed" => changes.removed,
                "keys_added" => changes.keys_added, "keys_removed" => changes.keys_removed);
        }
        if table.workspaces.shared_key_count() > 0 {
            warn!(self.log, "several workspaces name the same key; it belongs to the first of them";
                "version" => table.version, "keys" => table.workspaces.shared_key_count());
        }
    }
}

/// counts a request of a workspace that ended without an answer from a replica.
pub(super) fn count_refusal(label: Option<String>, refusal: Refusal) {
    let Some(label) = label else {
        return;
    };
    let reason: &'static str = refusal.into();
    metrics::counter!("door_workspace_refusals_total", "workspace" => label, "reason" => reason).increment(1);
}

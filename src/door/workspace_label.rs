use std::collections::BTreeSet;
use std::sync::Mutex;

/// workspaces that metrics of a process name at most, over its whole life: each has a series for every reason of a
/// refusal, which all together stay below a megabyte.
const MAX_LABELS: usize = 128;
/// label of the workspaces without one of their own.
const OTHER: &str = "other";

/// the values that the label `workspace` of metrics has taken.
#[derive(Debug, Default)]
pub(super) struct WorkspaceLabels {
    names: Mutex<BTreeSet<String>>,
}

impl WorkspaceLabels {
    /// the label for one of `count` workspaces: its name, unless they are too many.
    pub fn label(&self, name: &str, count: usize) -> String {
        if count > MAX_LABELS {
            return OTHER.to_owned();
        }
        let mut names = self.names.lock().expect("label lock poisoned");
        if !names.contains(name) {
            if names.len() >= MAX_LABELS {
                return OTHER.to_owned();
            }
            names.insert(name.to_owned());
        }
        name.to_owned()
    }
}

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use crate::config::Configuration;
use crate::config::EntryKey;
use crate::finding::Finding;
use crate::finding::Findings;
use crate::schema::AgentProgramEntry;
use crate::schema::EntryKind;
use crate::schema::EntryName;
use crate::schema::ReleaseEntry;
use crate::schema::ReleaseNote;
use crate::schema::WorkspaceEntry;

/// largest note; its release is one object of the platform and one message to a peer.
pub const MAX_NOTE_BYTES: usize = 512 * 1024;

/// users of a withdrawn entry that are named one by one.
const MAX_NAMED_USERS: usize = 10;

/// a fault of a note, with the existing entry that makes it one.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct Fault {
    pub(super) place: String,
    pub(super) detail: String,
    pub(super) because: Option<EntryKey>,
}

/// checks a note whole against a configuration; the version that it was written against is not looked at.
pub fn check_note(note: &ReleaseNote, configuration: &Configuration) -> Findings {
    let mut findings = Findings::default();
    for fault in faults(note, configuration) {
        findings.push(Finding::new(fault.place, fault.detail));
    }
    findings
}

pub(super) fn faults(note: &ReleaseNote, configuration: &Configuration) -> Vec<Fault> {
    let after = configuration.with_note(configuration.version + 1, note);
    let mut check = Check { note, before: configuration, after, faults: Vec::new() };
    check.whole();
    check.names();
    check.entries();
    check.keys();
    check.withdrawals();
    check.faults
}

/// place of an entry that a note adds or changes.
fn entry_place(list: &str, index: usize, entry: &ReleaseEntry) -> String {
    let kind = EntryName::from(&EntryKey::from(entry)).kind;
    format!("/{list}/{index}/{kind}")
}

/// all entries that a note adds or changes, with their places.
pub(super) fn placed_entries(note: &ReleaseNote) -> Vec<(String, &ReleaseEntry)> {
    let mut placed = Vec::new();
    for (index, entry) in note.added.iter().enumerate() {
        placed.push((entry_place("added", index, entry), entry));
    }
    for (index, entry) in note.changed.iter().enumerate() {
        placed.push((entry_place("changed", index, entry), entry));
    }
    placed
}

/// all entries that a note names, with their places.
pub(super) fn placed_keys(note: &ReleaseNote) -> Vec<(String, EntryKey)> {
    let mut placed = Vec::new();
    for (place, entry) in placed_entries(note) {
        placed.push((place, EntryKey::from(entry)));
    }
    for (index, name) in note.withdrawn.iter().enumerate() {
        placed.push((format!("/withdrawn/{index}"), EntryKey::from(name)));
    }
    placed
}

struct Check<'a> {
    note: &'a ReleaseNote,
    before: &'a Configuration,
    after: Configuration,
    faults: Vec<Fault>,
}

impl Check<'_> {
    fn fault(&mut self, place: impl Into<String>, detail: impl Into<String>, because: Option<EntryKey>) {
        self.faults.push(Fault { place: place.into(), detail: detail.into(), because });
    }

    fn whole(&mut self) {
        let note = self.note;
        if note.added.is_empty() && note.changed.is_empty() && note.withdrawn.is_empty() {
            self.fault("", "the note adds, changes and withdraws nothing", None);
        }
        let bytes = serde_json::to_vec(note).map_or(0, |bytes| bytes.len());
        if bytes > MAX_NOTE_BYTES {
            let detail = format!("the note has {bytes} bytes, more than {MAX_NOTE_BYTES}; split it");
            self.fault("", detail, None);
        }
    }

    /// what is added must not exist, what is changed or withdrawn must, and nothing is named twice.
    fn names(&mut self) {
        let mut seen: BTreeMap<EntryKey, String> = BTreeMap::new();
        for (place, key) in placed_keys(self.note) {
            if let Some(first) = seen.get(&key) {
                self.fault(&place, format!("{key} is named before, at {first}"), None);
                continue;
            }
            seen.insert(key.clone(), place.clone());
            let exists = self.before.contains(&key);
            let added = place.starts_with("/added/");
            if added && exists {
                self.fault(&place, format!("{key} exists already"), Some(key));
                continue;
            }
            if !added && !exists {
                self.fault(&place, format!("{key} does not exist"), Some(key));
            }
        }
    }

    fn entries(&mut self) {
        let note = self.note;
        for (place, entry) in placed_entries(note) {
            match entry {
                ReleaseEntry::AgentProgram(agent) => self.agent_program(&place, agent),
                ReleaseEntry::Workspace(workspace) => self.workspace(&place, workspace),
                ReleaseEntry::Model(model) if model.context_tokens == 0 => {
                    self.fault(
                        format!("{place}/context_tokens"),
                        "the context of a model is at least 1 token",
                        None,
                    );
                }
                ReleaseEntry::Service(service) if service.timeout_ms == 0 => {
                    self.fault(format!("{place}/timeout_ms"), "a timeout is at least 1 ms", None);
                }
                ReleaseEntry::Model(_) | ReleaseEntry::Service(_) => {}
            }
        }
    }

    fn agent_program(&mut self, place: &str, agent: &AgentProgramEntry) {
        if !self.after.workspaces.contains_key(&agent.workspace) {
            let key = EntryKey::Workspace(agent.workspace.clone());
            self.fault(format!("{place}/workspace"), format!("{key} does not exist"), Some(key));
        }
        if !self.after.models.contains_key(&agent.model) {
            let key = EntryKey::Model(agent.model.clone());
            self.fault(format!("{place}/model"), format!("{key} does not exist"), Some(key));
        }
        if agent.budget_tokens == 0 {
            self.fault(format!("{place}/budget_tokens"), "a budget is at least 1 token", None);
        }
        if agent.max_turns == 0 {
            self.fault(format!("{place}/max_turns"), "a run has at least 1 turn", None);
        }
        if agent.deadline_ms == 0 {
            self.fault(format!("{place}/deadline_ms"), "a deadline is at least 1 ms", None);
        }
    }

    fn workspace(&mut self, place: &str, workspace: &WorkspaceEntry) {
        let mut seen = BTreeSet::new();
        for (index, hash) in workspace.key_hashes.iter().enumerate() {
            let place = format!("{place}/key_hashes/{index}");
            if !is_key_hash(hash) {
                self.fault(&place, "a key hash is 64 lower-case hexadecimal digits", None);
            }
            if !seen.insert(hash) {
                self.fault(&place, "this key hash is listed twice", None);
            }
        }
    }

    /// no key opens two workspaces.
    fn keys(&mut self) {
        let note = self.note;
        let named: BTreeSet<EntryKey> = placed_keys(note).into_iter().map(|(_, key)| key).collect();
        let mut owners: BTreeMap<&str, &str> = BTreeMap::new();
        for (place, entry) in placed_entries(note) {
            let ReleaseEntry::Workspace(workspace) = entry else {
                continue;
            };
            for (index, hash) in workspace.key_hashes.iter().enumerate() {
                let other = *owners.entry(hash).or_insert(&workspace.id);
                let place = format!("{place}/key_hashes/{index}");
                if other != workspace.id {
                    self.fault(place, format!("workspace `{other}` of this note has this key too"), None);
                    continue;
                }
                let Some(holder) = self.before.key_workspaces.get(hash) else {
                    continue;
                };
                let key = EntryKey::Workspace(holder.clone());
                if !named.contains(&key) {
                    self.fault(place, format!("{key} has this key too"), Some(key));
                }
            }
        }
    }

    /// what is withdrawn is used by nothing that stays.
    fn withdrawals(&mut self) {
        for (index, name) in self.note.withdrawn.iter().enumerate() {
            let place = format!("/withdrawn/{index}");
            self.name_shape(&place, name);
            let key = EntryKey::from(name);
            if self.after.contains(&key) {
                // Named twice; reported there.
                continue;
            }
            let users = self.users(&key);
            for user in users.iter().take(MAX_NAMED_USERS) {
                self.fault(&place, format!("{key} is still used by {user}"), Some(user.clone()));
            }
            if users.len() > MAX_NAMED_USERS {
                let more = users.len() - MAX_NAMED_USERS;
                self.fault(&place, format!("{key} is still used by {more} more agent programs"), None);
            }
        }
    }

    fn name_shape(&mut self, place: &str, name: &EntryName) {
        match (name.kind, &name.workspace) {
            (EntryKind::AgentProgram, None) => {
                self.fault(place, "an agent program is named together with its workspace", None);
            }
            (EntryKind::Workspace | EntryKind::Model | EntryKind::Service, Some(_)) => {
                self.fault(format!("{place}/workspace"), "only an agent program has a workspace", None);
            }
            (EntryKind::AgentProgram, Some(_))
            | (EntryKind::Workspace | EntryKind::Model | EntryKind::Service, None) => {}
        }
    }

    /// agent programs that stay and use the withdrawn entry.
    fn users(&self, key: &EntryKey) -> Vec<EntryKey> {
        let mut users = Vec::new();
        let mut add = |agent: &AgentProgramEntry| {
            users.push(EntryKey::AgentProgram { workspace: agent.workspace.clone(), id: agent.id.clone() });
        };
        match key {
            EntryKey::Workspace(id) => {
                for agent in self.after.agent_programs_of(id) {
                    add(agent);
                }
            }
            EntryKey::Model(id) => {
                for agent in self.after.agent_programs.values() {
                    if agent.model == *id {
                        add(agent);
                    }
                }
            }
            EntryKey::Service(_) | EntryKey::AgentProgram { .. } => {}
        }
        users
    }
}

/// tells whether text is a BLAKE3 hash as `flamingoctl hash-key` prints it.
pub fn is_key_hash(text: &str) -> bool {
    text.len() == 64 && text.bytes().all(|byte| matches!(byte, b'0'..=b'9' | b'a'..=b'f'))
}

//! the plainest form of the same rules: every accepted note in one list, folded anew each time.

use std::collections::BTreeMap;

use flamingostand::config::Configuration;
use flamingostand::config::EntryKey;
use flamingostand::schema::AcceptedRelease;
use flamingostand::schema::ReleaseEntry;

pub type Entries = BTreeMap<EntryKey, ReleaseEntry>;

/// the accepted releases, by the first object created for each version.
#[derive(Default)]
pub struct Naive {
    seen: usize,
    releases: Vec<AcceptedRelease>,
    folded: Vec<Entries>,
}

impl Naive {
    /// compares a configuration with the fold of the platform's releases up to its version.
    pub fn check(&mut self, configuration: &Configuration, created: &[(String, Vec<u8>)]) {
        self.read(created);
        let version = configuration.version as usize;
        let expected = if version == 0 { Entries::new() } else { self.folded[version - 1].clone() };
        assert_eq!(entries_of(configuration), expected, "configuration of version {version}");
    }

    pub fn releases(&mut self, created: &[(String, Vec<u8>)]) -> &[AcceptedRelease] {
        self.read(created);
        &self.releases
    }

    fn read(&mut self, created: &[(String, Vec<u8>)]) {
        for (_, value) in &created[self.seen..] {
            let release: AcceptedRelease = ciborium::from_reader(value.as_slice()).expect("a release");
            if release.version as usize != self.releases.len() + 1 {
                // A number that was used before; its object was swept since.
                continue;
            }
            let mut entries = self.folded.last().cloned().unwrap_or_default();
            for name in &release.note.withdrawn {
                assert!(entries.remove(&EntryKey::from(name)).is_some(), "withdrew nothing");
            }
            for entry in &release.note.changed {
                assert!(entries.insert(EntryKey::from(entry), entry.clone()).is_some(), "changed nothing");
            }
            for entry in &release.note.added {
                assert!(entries.insert(EntryKey::from(entry), entry.clone()).is_none(), "added twice");
            }
            self.folded.push(entries);
            self.releases.push(release);
        }
        self.seen = created.len();
    }
}

pub fn entries_of(configuration: &Configuration) -> Entries {
    let mut entries = Entries::new();
    let mut add = |entry: ReleaseEntry| entries.insert(EntryKey::from(&entry), entry);
    for entry in configuration.workspaces.values() {
        add(ReleaseEntry::Workspace(entry.as_ref().clone()));
    }
    for entry in configuration.models.values() {
        add(ReleaseEntry::Model(entry.as_ref().clone()));
    }
    for entry in configuration.services.values() {
        add(ReleaseEntry::Service(entry.as_ref().clone()));
    }
    for entry in configuration.agent_programs.values() {
        add(ReleaseEntry::AgentProgram(entry.as_ref().clone()));
    }
    entries
}

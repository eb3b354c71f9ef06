use std::collections::VecDeque;
use std::sync::Arc;

use crate::config::Configuration;
use crate::release::History;
use crate::schema::AcceptedRelease;

/// releases kept in memory for peers and for the history.
const MAX_RECENT: usize = 1_024;

/// bytes of releases kept in memory, roughly.
const MAX_RECENT_BYTES: usize = 4 * 1024 * 1024;

/// all accepted releases up to a version, folded.
#[derive(Clone, Debug, Default)]
pub struct ReleaseLog {
    configuration: Arc<Configuration>,
    history: History,
    recent: VecDeque<(usize, Arc<AcceptedRelease>)>,
    recent_bytes: usize,
}

impl ReleaseLog {
    /// a log that starts from a snapshot.
    pub(super) fn from_snapshot(configuration: Configuration, history: History) -> Self {
        Self { configuration: Arc::new(configuration), history, ..Self::default() }
    }

    /// newest version.
    pub fn version(&self) -> u64 {
        self.configuration.version
    }

    /// the configuration of the newest version.
    pub fn configuration(&self) -> &Arc<Configuration> {
        &self.configuration
    }

    /// what conflicts and repeats are recognised by.
    pub fn history(&self) -> &History {
        &self.history
    }

    /// latest releases, newest first.
    pub fn latest(&self, limit: usize) -> Vec<Arc<AcceptedRelease>> {
        self.recent.iter().rev().take(limit).map(|(_, release)| Arc::clone(release)).collect()
    }

    /// a release that is still in memory.
    pub fn recent(&self, version: u64) -> Option<&Arc<AcceptedRelease>> {
        let (_, first) = self.recent.front()?;
        let index = usize::try_from(version.checked_sub(first.version)?).ok()?;
        self.recent.get(index).map(|(_, release)| release)
    }

    /// tells whether all releases after a version are still in memory.
    pub fn reaches(&self, version: u64) -> bool {
        version >= self.version() || self.recent(version + 1).is_some()
    }

    /// releases after a version, of about `max_bytes`; `None` when some are no longer in memory.
    pub fn after(&self, version: u64, max_bytes: usize) -> Option<Vec<AcceptedRelease>> {
        if !self.reaches(version) {
            return None;
        }
        let mut bytes = 0;
        let mut releases = Vec::new();
        for (size, release) in &self.recent {
            if release.version <= version {
                continue;
            }
            bytes += size;
            if bytes > max_bytes && !releases.is_empty() {
                break;
            }
            releases.push(release.as_ref().clone());
        }
        Some(releases)
    }

    /// adds the next release; any other one changes nothing.
    pub fn apply(&mut self, release: AcceptedRelease) -> bool {
        if release.version != self.version() + 1 {
            return false;
        }
        self.configuration = Arc::new(self.configuration.with_note(release.version, &release.note));
        self.history.record(&release);
        let size = note_bytes(&release);
        self.recent_bytes += size;
        self.recent.push_back((size, Arc::new(release)));
        self.trim();
        true
    }

    fn trim(&mut self) {
        while self.recent.len() > MAX_RECENT || self.recent_bytes > MAX_RECENT_BYTES {
            let Some((size, _)) = self.recent.pop_front() else {
                return;
            };
            self.recent_bytes -= size;
        }
    }
}

fn note_bytes(release: &AcceptedRelease) -> usize {
    serde_json::to_vec(release).map_or(0, |bytes| bytes.len())
}

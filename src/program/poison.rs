use std::collections::BTreeMap;

use crate::schema::PoisonHeld;

/// replica deaths after which a content is held back, that is, refused without running.
const HOLD_DEATHS: u32 = 2;

/// most contents that are tracked.
const MAX_CONTENTS: usize = 10_000;

/// contents that killed upstreams, by digest of the whole prompt.
#[derive(Clone, Debug, Default)]
pub(super) struct Poison {
    contents: BTreeMap<String, PoisonHeld>,
}

impl Poison {
    /// whether a content is held back.
    pub(super) fn is_held(&self, digest: &str) -> bool {
        self.contents.get(digest).is_some_and(|held| held.deaths >= HOLD_DEATHS && !held.lifted)
    }

    /// counts a replica death that this instance saw, and returns the entry to publish.
    ///
    /// After an operator lifted the hold, counting starts anew.
    pub(super) fn count_death(&mut self, digest: &str, unix_ms: u64) -> PoisonHeld {
        self.evict_if_full();
        let held = self.contents.entry(digest.to_owned()).or_insert_with(|| PoisonHeld {
            digest: digest.to_owned(),
            deaths: 0,
            lifted: false,
            changed_unix_ms: unix_ms,
        });
        if held.lifted {
            held.lifted = false;
            held.deaths = 0;
        }
        held.deaths += 1;
        held.changed_unix_ms = held.changed_unix_ms.max(unix_ms);
        held.clone()
    }

    /// merges an entry of another instance or of the platform.
    ///
    /// A single death is added to the local count. A hold or the lifting of one replaces the local entry
    /// unless that is newer, and so does a single death after a lifted hold.
    pub(super) fn merge(&mut self, update: &PoisonHeld) {
        self.evict_if_full();
        let Some(held) = self.contents.get_mut(&update.digest) else {
            self.contents.insert(update.digest.clone(), update.clone());
            return;
        };
        let single_death = update.deaths < HOLD_DEATHS && !update.lifted;
        if single_death && !held.lifted {
            held.deaths += 1;
            return;
        }
        if update.changed_unix_ms >= held.changed_unix_ms {
            *held = update.clone();
        }
    }

    /// all tracked contents, whether held back or not.
    pub(super) fn contents(&self) -> impl Iterator<Item = &PoisonHeld> {
        self.contents.values()
    }

    /// evicts the oldest content when the table is full; those with enough deaths for a hold go last.
    fn evict_if_full(&mut self) {
        if self.contents.len() < MAX_CONTENTS {
            return;
        }
        let oldest =
            self.contents.values().min_by_key(|held| (held.deaths >= HOLD_DEATHS, held.changed_unix_ms));
        if let Some(digest) = oldest.map(|held| held.digest.clone()) {
            self.contents.remove(&digest);
        }
    }
}

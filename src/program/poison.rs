use std::collections::BTreeMap;

use crate::schema::PoisonHeld;

/// replica deaths after which a content is held back.
const HELD_DEATHS: u32 = 2;

/// contents remembered.
const MAX_CONTENTS: usize = 10_000;

/// contents that killed upstreams, by digest.
#[derive(Clone, Debug, Default)]
pub(super) struct Poison {
    contents: BTreeMap<String, PoisonHeld>,
}

impl Poison {
    /// whether a content is held back.
    pub(super) fn is_held(&self, digest: &str) -> bool {
        self.contents.get(digest).is_some_and(|held| held.deaths >= HELD_DEATHS && !held.lifted)
    }

    /// counts a death that this instance saw; returns what to tell the others.
    pub(super) fn count_death(&mut self, digest: &str, unix_ms: u64) -> PoisonHeld {
        self.make_room();
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

    /// takes news of another instance, or of the platform: a single death adds up, the rest replaces.
    pub(super) fn learn(&mut self, news: &PoisonHeld) {
        self.make_room();
        let Some(held) = self.contents.get_mut(&news.digest) else {
            self.contents.insert(news.digest.clone(), news.clone());
            return;
        };
        let single = news.deaths < HELD_DEATHS && !news.lifted;
        if single && !held.lifted {
            held.deaths += 1;
            return;
        }
        if news.changed_unix_ms >= held.changed_unix_ms {
            *held = news.clone();
        }
    }

    /// contents that are held back or were.
    pub(super) fn contents(&self) -> impl Iterator<Item = &PoisonHeld> {
        self.contents.values()
    }

    fn make_room(&mut self) {
        if self.contents.len() < MAX_CONTENTS {
            return;
        }
        let oldest =
            self.contents.values().min_by_key(|held| (held.deaths >= HELD_DEATHS, held.changed_unix_ms));
        if let Some(digest) = oldest.map(|held| held.digest.clone()) {
            self.contents.remove(&digest);
        }
    }
}

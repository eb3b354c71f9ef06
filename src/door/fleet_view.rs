use std::collections::BTreeMap;
use std::collections::BTreeSet;

use crate::schema::DoorRow;
use crate::schema::FleetNews;

/// age at which a door is no longer named to callers, at the time of the last news: three reports that were missed.
const FRESH_MS: u64 = 900;

/// what a front door knows of the others, by the news of ledger nodes.
#[derive(Debug, Default)]
pub struct FleetView {
    /// doors by their address for callers.
    doors: BTreeMap<String, Known>,
    /// when doors were told of last.
    heard_ms: u64,
    poisoned: BTreeSet<String>,
}

#[derive(Debug)]
struct Known {
    row: DoorRow,
    /// when the door last reported, by the own clock.
    reported_ms: u64,
}

impl FleetView {
    /// takes the news of one ledger node, and returns the contents that are refused from now on.
    pub fn update(&mut self, now_ms: u64, news: &FleetNews) -> Vec<String> {
        if news.tells_fleet {
            self.heard_ms = now_ms;
        }
        for row in &news.doors {
            let reported_ms = now_ms.saturating_sub(row.age_ms);
            let known = self.doors.get(&row.callers);
            if known.is_some_and(|known| known.reported_ms > reported_ms) {
                continue;
            }
            self.doors.insert(row.callers.clone(), Known { row: row.clone(), reported_ms });
        }
        let fresh = news.poisoned.iter().filter(|content| !self.poisoned.contains(*content));
        let fresh: Vec<String> = fresh.cloned().collect();
        self.poisoned.extend(fresh.iter().cloned());
        fresh
    }

    /// addresses of doors that take requests.
    ///
    /// `own` is the address of the asking door; it names itself if it is ready.
    pub fn addresses(&self, own: &str, is_ready: bool) -> Vec<&str> {
        let others = self.doors.values().filter(|known| known.row.ready && known.row.callers != own);
        let fresh: Vec<&Known> =
            others.clone().filter(|known| self.heard_ms < known.reported_ms + FRESH_MS).collect();
        // A door that hears nothing any more is more likely cut off than alone.
        let named: Vec<&Known> = if fresh.is_empty() && !is_ready { others.collect() } else { fresh };
        named.into_iter().map(|known| known.row.callers.as_str()).collect()
    }

    /// whether a content ended several replicas.
    pub fn is_poisoned(&self, digest: &str) -> bool {
        self.poisoned.contains(digest)
    }

    /// whether any content is refused.
    pub fn has_poison(&self) -> bool {
        !self.poisoned.is_empty()
    }
}

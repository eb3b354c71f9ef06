use std::collections::BTreeMap;
use std::collections::BTreeSet;

use crate::schema::DoorRow;
use crate::schema::FleetNews;

/// age at which a door is no longer named to callers: three reports that were missed.
const FRESH_MS: u64 = 900;

/// what a front door knows of the others, by the news of ledger nodes.
#[derive(Debug, Default)]
pub struct FleetView {
    doors: BTreeMap<String, Known>,
    poisoned: BTreeSet<String>,
}

#[derive(Debug)]
struct Known {
    row: DoorRow,
    /// when the door last reported, by the own clock.
    reported_ms: u64,
}

impl FleetView {
    /// takes the news of one ledger node.
    pub fn update(&mut self, now_ms: u64, news: &FleetNews) {
        for row in &news.doors {
            let reported_ms = now_ms.saturating_sub(row.age_ms);
            let known = self.doors.get(&row.name);
            if known.is_some_and(|known| known.reported_ms > reported_ms) {
                continue;
            }
            self.doors.insert(row.name.clone(), Known { row: row.clone(), reported_ms });
        }
        self.poisoned.extend(news.poisoned.iter().cloned());
    }

    /// addresses of doors that take requests, those of the caller's availability zone first.
    ///
    /// `own` is the address of the asking door; it names itself if it is ready.
    pub fn addresses(&self, now_ms: u64, own: &str, is_ready: bool, zone: Option<&str>) -> Vec<&str> {
        let others = self.doors.values().filter(|known| known.row.ready && known.row.callers != own);
        let fresh: Vec<&Known> =
            others.clone().filter(|known| now_ms < known.reported_ms + FRESH_MS).collect();
        // A door that hears nothing any more is more likely cut off than alone.
        let named: Vec<&Known> = if fresh.is_empty() && !is_ready { others.collect() } else { fresh };
        let mut addresses: Vec<(bool, &str)> = named
            .iter()
            .map(|known| (Some(known.row.zone.as_str()) != zone, known.row.callers.as_str()))
            .collect();
        addresses.sort_unstable();
        addresses.into_iter().map(|(_, address)| address).collect()
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

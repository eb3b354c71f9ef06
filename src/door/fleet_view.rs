use std::collections::BTreeMap;

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
}

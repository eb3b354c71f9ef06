use std::collections::BTreeMap;

use crate::schema::DoorRow;
use crate::schema::DoorsMark;
use crate::schema::FleetNews;

/// how long a door stays known that a ledger node does not name: a node that has just started hears of each door within
/// a few reports.
const UNNAMED_KEEP_MS: u64 = 900;
/// doors of a caller's own availability zone that are enough for it: one may fail, and one more may be busy.
const ENOUGH_NEAR: usize = 3;

/// what a front door knows of the others, by the news of ledger nodes.
#[derive(Debug, Default)]
pub struct FleetView {
    /// doors by their address for callers.
    doors: BTreeMap<String, Known>,
    mark: Option<DoorsMark>,
}

#[derive(Debug)]
struct Known {
    row: DoorRow,
    /// since when a ledger node that names all doors has not named it.
    unnamed_ms: Option<u64>,
}

/// the door that is asked which doors to use.
#[derive(Clone, Copy, Debug)]
pub struct OwnDoor<'a> {
    /// its address for callers.
    pub callers: &'a str,
    /// its availability zone.
    pub zone: &'a str,
    /// whether it takes requests.
    pub is_ready: bool,
}

impl FleetView {
    /// how far the doors of the last ledger node that told of them are known.
    pub fn mark(&self) -> Option<&DoorsMark> {
        self.mark.as_ref()
    }

    /// takes the news of one ledger node.
    pub fn update(&mut self, now_ms: u64, news: &FleetNews) {
        if !news.tells_fleet {
            return;
        }
        if news.names_all_doors {
            for known in self.doors.values_mut() {
                known.unnamed_ms.get_or_insert(now_ms);
            }
        }
        for row in &news.doors {
            self.doors.insert(row.callers.clone(), Known { row: row.clone(), unnamed_ms: None });
        }
        self.doors.retain(|_, known| {
            known.unnamed_ms.is_none_or(|unnamed_ms| now_ms < unnamed_ms + UNNAMED_KEEP_MS)
        });
        self.mark.clone_from(&news.doors_mark);
    }

    /// addresses of doors that take requests, for a caller in an availability zone: doors of that zone alone if they
    /// are enough, as bytes between zones are charged, and those first otherwise.
    pub fn addresses<'a>(&'a self, own: &OwnDoor<'a>, caller_zone: Option<&str>) -> Vec<&'a str> {
        let others = self.doors.values().map(|known| &known.row);
        let others = others.filter(|row| row.ready && row.callers != own.callers);
        let heard: Vec<&DoorRow> = others.clone().filter(|row| !row.silent).collect();
        // A door that hears nothing any more is more likely cut off than alone.
        let named: Vec<&DoorRow> = if heard.is_empty() && !own.is_ready { others.collect() } else { heard };
        let own = (own.is_ready || named.is_empty()).then_some((own.callers, own.zone));
        let named = named.into_iter().map(|row| (row.callers.as_str(), row.zone.as_str()));
        let (mut near, far): (Vec<_>, Vec<_>) =
            own.into_iter().chain(named).partition(|(_, zone)| Some(*zone) == caller_zone);
        if near.len() < ENOUGH_NEAR {
            near.extend(far);
        }
        near.into_iter().map(|(callers, _)| callers).collect()
    }
}

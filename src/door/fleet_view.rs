use std::collections::BTreeMap;

use crate::schema::DoorRow;
use crate::schema::DoorsMark;
use crate::schema::FleetNews;

/// how long a door stays listed after a ledger node omits it from its complete list: a node that has just
/// started receives a report of each door within a few reports.
const UNLISTED_KEEP_MS: u64 = 900;
/// doors in a caller's availability zone that suffice for it: one may fail, and another may be busy.
const MIN_SAME_ZONE: usize = 3;

/// a front door's view of the other doors, from updates of ledger nodes.
#[derive(Debug, Default)]
pub struct FleetView {
    /// doors by their address for callers.
    doors: BTreeMap<String, KnownDoor>,
    mark: Option<DoorsMark>,
}

#[derive(Debug)]
struct KnownDoor {
    row: DoorRow,
    /// when a ledger node first sent a complete list without this door.
    unlisted_since_ms: Option<u64>,
}

/// the door that handles a directory query.
#[derive(Clone, Copy, Debug)]
pub struct OwnDoor<'a> {
    /// its address for callers.
    pub callers: &'a str,
    /// its availability zone.
    pub zone: &'a str,
    /// whether it accepts new callers.
    pub is_ready: bool,
}

impl FleetView {
    /// position up to which the list of the ledger node that sent the last update is known.
    pub fn mark(&self) -> Option<&DoorsMark> {
        self.mark.as_ref()
    }

    /// number of other doors that are ready, by their last reports.
    pub fn ready_count(&self, own_callers: &str) -> usize {
        let others = self.doors.values().map(|known| &known.row);
        others.filter(|row| row.ready && !row.silent && row.callers != own_callers).count()
    }

    /// other doors that take requests of this one while it is cut off from the replicas.
    pub fn helpers(&self, own_callers: &str) -> Vec<&DoorRow> {
        let others = self.doors.values().map(|known| &known.row);
        others.filter(|row| row.helper.is_some() && !row.silent && row.callers != own_callers).collect()
    }

    /// applies an update from a ledger node.
    pub fn update(&mut self, now_ms: u64, news: &FleetNews) {
        if !news.tells_fleet {
            return;
        }
        if news.names_all_doors {
            for known in self.doors.values_mut() {
                known.unlisted_since_ms.get_or_insert(now_ms);
            }
        }
        for row in &news.doors {
            self.doors.insert(row.callers.clone(), KnownDoor { row: row.clone(), unlisted_since_ms: None });
        }
        self.doors.retain(|_, known| {
            known
                .unlisted_since_ms
                .is_none_or(|unlisted_since_ms| now_ms < unlisted_since_ms + UNLISTED_KEEP_MS)
        });
        self.mark.clone_from(&news.doors_mark);
    }

    /// addresses of ready doors for a caller in an availability zone: only doors of that zone if there are
    /// enough, as traffic between zones is charged; otherwise those first, then the others.
    pub fn addresses<'a>(&'a self, own: &OwnDoor<'a>, caller_zone: Option<&str>) -> Vec<&'a str> {
        let others = self.doors.values().map(|known| &known.row);
        let others = others.filter(|row| row.ready && row.callers != own.callers);
        let reachable: Vec<&DoorRow> = others.clone().filter(|row| !row.silent).collect();
        // If all other doors are silent and this one is not ready, it is more likely cut off than alone.
        let candidates: Vec<&DoorRow> =
            if reachable.is_empty() && !own.is_ready { others.collect() } else { reachable };
        let own = (own.is_ready || candidates.is_empty()).then_some((own.callers, own.zone));
        let candidates = candidates.into_iter().map(|row| (row.callers.as_str(), row.zone.as_str()));
        let (mut same_zone, other_zones): (Vec<_>, Vec<_>) =
            own.into_iter().chain(candidates).partition(|(_, zone)| Some(*zone) == caller_zone);
        if same_zone.len() < MIN_SAME_ZONE {
            same_zone.extend(other_zones);
        }
        same_zone.into_iter().map(|(callers, _)| callers).collect()
    }
}

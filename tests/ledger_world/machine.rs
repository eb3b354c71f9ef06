use flamingostand::ledger::NodeCore;
use flamingostand::ledger::empty_view;
use flamingostand::schema::LedgerMember;
use flamingostand::schema::LedgerRecord;

/// a machine with a disk and at most one node process.
pub struct Machine {
    pub name: String,
    pub core: Option<NodeCore>,
    /// counts starts and stops, so that events for an earlier process are dropped.
    pub start: u64,
    pub disk_id: u64,
    /// records that survive a power loss.
    pub synced: Vec<LedgerRecord>,
    /// records written but not synced, with their log numbers.
    pub unsynced: Vec<(u64, LedgerRecord)>,
    pub is_removed: bool,
}

impl Machine {
    pub fn new(name: &str, disk_id: u64) -> Self {
        Self {
            name: name.to_owned(),
            core: None,
            start: 0,
            disk_id,
            synced: Vec::new(),
            unsynced: Vec::new(),
            is_removed: false,
        }
    }

    pub fn member(&self) -> LedgerMember {
        LedgerMember {
            name: self.name.clone(),
            disk: format!("disk-{}", self.disk_id),
            mesh: "10.0.0.1:7000".to_owned(),
        }
    }

    /// starts the process and replays its disk.
    pub fn boot(&mut self, now_ms: u64, lost_disks: u32) {
        self.start += 1;
        let mut core = NodeCore::new(self.member(), empty_view(lost_disks), &self.start.to_string());
        for record in &self.synced {
            core.replay(now_ms, record);
        }
        self.core = Some(core);
    }

    /// ends the process as in a power loss: only the first `kept` unsynced records survive.
    pub fn stop(&mut self, kept: usize) {
        self.core = None;
        self.start += 1;
        let kept = kept.min(self.unsynced.len());
        self.synced.extend(self.unsynced.drain(..kept).map(|(_, record)| record));
        self.unsynced.clear();
    }

    /// whether the last synced view record marks the disk as complete.
    pub fn has_complete_disk(&self) -> bool {
        let joined = self.synced.iter().rev().find_map(|record| match record {
            LedgerRecord::Joined(joined) => Some(joined),
            LedgerRecord::Reserved(_)
            | LedgerRecord::Finished(_)
            | LedgerRecord::Observed(_)
            | LedgerRecord::Struck(_)
            | LedgerRecord::Suspected(_)
            | LedgerRecord::StreamBegan(_) => None,
        });
        let own = self.member();
        joined.is_some_and(|joined| joined.complete && joined.view.members.contains(&own))
    }
}

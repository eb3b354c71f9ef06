use flamingostand::fleet::InFlightRuns;
use flamingostand::ledger::RecordStore;
use flamingostand::schema::DoorReport;
use flamingostand::schema::LedgerRecord;
use flamingostand::schema::StrikesMark;

/// a ledger node.
#[derive(Debug, Default)]
pub struct Node {
    pub store: RecordStore,
    /// what the disk holds, oldest first.
    pub disk: Vec<LedgerRecord>,
    pub in_flight: InFlightRuns,
    pub up_since_ms: u64,
}

impl Node {
    /// starts again after a loss of power, with what is on its disk.
    pub fn restart(&mut self, up_since_ms: u64) {
        self.store = RecordStore::default();
        for record in &self.disk {
            self.store.merge(up_since_ms, record);
        }
        self.in_flight = InFlightRuns::default();
        self.up_since_ms = up_since_ms;
    }

    /// names the current process.
    pub fn start(&self) -> String {
        self.up_since_ms.to_string()
    }

    pub fn mark(&self, number: u64) -> StrikesMark {
        StrikesMark { start: self.start(), number }
    }

    pub fn take_report(&mut self, now_ms: u64, report: &DoorReport) {
        let mut orphaned = self.in_flight.report(now_ms, report);
        orphaned.extend(self.in_flight.expire(now_ms));
        self.store(now_ms, orphaned.into_iter().map(LedgerRecord::Suspected));
    }

    pub fn store(&mut self, now_ms: u64, records: impl Iterator<Item = LedgerRecord>) {
        for record in records {
            if self.store.merge(now_ms, &record) {
                self.disk.push(record);
            }
        }
    }
}

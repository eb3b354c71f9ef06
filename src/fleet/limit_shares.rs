use std::collections::BTreeMap;

use crate::schema::DoorReport;
use crate::schema::LimitShare;
use crate::schema::LimitUse;

/// time without a report after which a door's demand no longer counts: a few missed reports.
const SILENT_AFTER_MS: u64 = 900;

/// the rate limits of replicas with the demand of all doors, as one ledger node knows them.
#[derive(Debug, Default)]
pub struct LimitShares {
    /// by the name of the door.
    doors: BTreeMap<String, Row>,
}

#[derive(Debug)]
struct Row {
    uses: Vec<LimitUse>,
    received_ms: u64,
}

impl LimitShares {
    /// replaces what a door reported before.
    pub fn report(&mut self, now_ms: u64, report: &DoorReport) {
        if report.limits.is_empty() {
            self.doors.remove(&report.name);
            return;
        }
        let row = Row { uses: report.limits.clone(), received_ms: now_ms };
        self.doors.insert(report.name.clone(), row);
    }

    /// all limits with the demand of a door and of all doors; the latest word on a limit counts.
    pub fn for_door(&self, now_ms: u64, door: &str) -> Vec<LimitShare> {
        let mut shares: BTreeMap<(&str, u64), LimitShare> = BTreeMap::new();
        for (name, row) in &self.doors {
            let silent_ms = now_ms.saturating_sub(row.received_ms);
            if silent_ms >= SILENT_AFTER_MS {
                continue;
            }
            for known in &row.uses {
                let age_ms = known.age_ms + silent_ms;
                let key = (known.replica.as_str(), known.started_unix_ms);
                let share = shares.entry(key).or_insert_with(|| LimitShare {
                    replica: known.replica.clone(),
                    started_unix_ms: known.started_unix_ms,
                    limit_per_s: known.limit_per_s,
                    age_ms,
                    own_demand_per_s: 0.0,
                    all_demand_per_s: 0.0,
                    all_sent_per_s: 0.0,
                });
                if age_ms < share.age_ms {
                    share.age_ms = age_ms;
                    share.limit_per_s = known.limit_per_s;
                }
                share.all_demand_per_s += known.demand_per_s;
                share.all_sent_per_s += known.sent_per_s;
                if name == door {
                    share.own_demand_per_s = known.demand_per_s;
                }
            }
        }
        shares.into_values().collect()
    }

    /// forgets doors that stopped reporting.
    pub fn expire(&mut self, now_ms: u64) {
        self.doors.retain(|_, row| now_ms < row.received_ms + SILENT_AFTER_MS);
    }
}

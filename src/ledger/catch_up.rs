use std::collections::BTreeMap;

use crate::schema::LedgerRecords;
use crate::schema::LedgerView;

/// progress of a node that copies the records of other members, after it joined or lost its disk.
#[derive(Debug, Default)]
pub struct CatchUp {
    epoch: u64,
    /// change number of the last record received from each member.
    cursors: BTreeMap<String, u64>,
    /// members whose records were copied to the end in this epoch, and whether they were complete.
    done: BTreeMap<String, bool>,
}

impl CatchUp {
    /// adopts a view. Copied records stay, but the end of each member's records must be reached again, as
    /// writers of the old view may have stored more meanwhile.
    pub fn set_view(&mut self, view: &LedgerView) {
        if view.epoch == self.epoch {
            return;
        }
        self.epoch = view.epoch;
        self.done.clear();
        self.cursors.retain(|name, _| view.member(name).is_some());
    }

    /// change number after which to continue at a member; `None` if it was copied to the end.
    pub fn cursor(&self, member: &str) -> Option<u64> {
        if self.done.contains_key(member) {
            return None;
        }
        Some(self.cursors.get(member).copied().unwrap_or(0))
    }

    /// adds a page that was requested in `epoch`; one of another epoch is ignored.
    pub fn add_page(&mut self, member: &str, epoch: u64, page: &LedgerRecords) {
        if epoch != self.epoch {
            return;
        }
        self.cursors.insert(member.to_owned(), page.last);
        if !page.more {
            self.done.insert(member.to_owned(), page.complete);
        }
    }

    /// resets a member that has restarted and numbers its records from the start.
    pub fn reset(&mut self, member: &str) {
        self.cursors.remove(member);
        self.done.remove(member);
    }

    /// reads members that were incomplete again, as they may be complete by now.
    pub fn retry_incomplete(&mut self) {
        self.done.retain(|_, complete| *complete);
    }

    /// whether no stored record can be missing: enough complete members were copied, or all other members,
    /// which together hold every record that still exists.
    pub fn is_done(&self, view: &LedgerView) -> bool {
        let complete_count = self.done.values().filter(|complete| **complete).count();
        let has_all_others = self.done.len() + 1 >= view.members.len();
        view.epoch == self.epoch && (complete_count >= view.quorum().catch_up() || has_all_others)
    }
}

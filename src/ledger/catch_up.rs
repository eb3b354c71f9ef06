use std::collections::BTreeMap;

use crate::schema::LedgerRecords;
use crate::schema::LedgerView;

/// the copying of records by a node that has joined or has lost its disk.
#[derive(Debug, Default)]
pub struct CatchUp {
    epoch: u64,
    /// number of the last record received of each member.
    cursors: BTreeMap<String, u64>,
    /// members whose records were copied whole under this epoch.
    done: BTreeMap<String, bool>,
}

impl CatchUp {
    /// follows a view. What was copied stays; the end must be seen again, as writers of the old view may have
    /// gone on at other members meanwhile.
    pub fn follow(&mut self, view: &LedgerView) {
        if view.epoch == self.epoch {
            return;
        }
        self.epoch = view.epoch;
        self.done.clear();
        self.cursors.retain(|name, _| view.member(name).is_some());
    }

    /// the next record to ask a member for; `None` if all was received.
    pub fn cursor(&self, member: &str) -> Option<u64> {
        if self.done.contains_key(member) {
            return None;
        }
        Some(self.cursors.get(member).copied().unwrap_or(0))
    }

    /// takes a page that was asked for under an epoch.
    pub fn page(&mut self, member: &str, epoch: u64, page: &LedgerRecords) {
        if epoch != self.epoch {
            return;
        }
        self.cursors.insert(member.to_owned(), page.last);
        if !page.more {
            self.done.insert(member.to_owned(), page.complete);
        }
    }

    /// starts again with a member, which has started again itself and counts its records anew.
    pub fn restart(&mut self, member: &str) {
        self.cursors.remove(member);
        self.done.remove(member);
    }

    /// asks incomplete members again, as they may have become complete.
    pub fn retry_incomplete(&mut self) {
        self.done.retain(|_, complete| *complete);
    }

    /// whether nothing is missing: enough complete members were copied, or all others, which then hold together
    /// whatever there still is.
    pub fn is_done(&self, view: &LedgerView) -> bool {
        let complete_count = self.done.values().filter(|complete| **complete).count();
        let has_all_others = self.done.len() + 1 >= view.members.len();
        view.epoch == self.epoch && (complete_count >= view.quorum().catch_up() || has_all_others)
    }
}

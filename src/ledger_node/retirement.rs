use std::collections::BTreeMap;

use crate::schema::LedgerView;

/// the emptying of the own node.
#[derive(Debug, Default)]
pub(super) struct Retirement {
    ordered: bool,
    running_reported: bool,
    completed_reported: bool,
    /// number up to which each member that stays has the records of this node.
    handed_over: BTreeMap<String, u64>,
}

impl Retirement {
    /// takes whether operators want the node emptied.
    pub fn set_ordered(&mut self, ordered: bool) {
        if !ordered {
            *self = Self::default();
        }
        self.ordered = ordered;
    }

    /// whether operators want the node emptied.
    pub fn is_ordered(&self) -> bool {
        self.ordered
    }

    /// whether the start of the emptying has still to be reported.
    pub fn owes_start(&self) -> bool {
        self.ordered && !self.running_reported
    }

    /// takes note that the platform knows of the start or of the end.
    pub fn reported(&mut self, completed: bool) {
        self.running_reported = true;
        self.completed_reported |= completed;
    }

    /// number up to which a member has the records.
    pub fn handed_over(&self, member: &str) -> u64 {
        self.handed_over.get(member).copied().unwrap_or(0)
    }

    /// takes note that a member has stored the records up to `number`.
    pub fn stored(&mut self, member: &str, number: u64) {
        let known = self.handed_over.entry(member.to_owned()).or_default();
        *known = number.max(*known);
    }

    /// whether all members have all records and the end has still to be reported.
    pub fn owes_end(&self, view: &LedgerView, last_number: u64) -> bool {
        let all = view.members.iter().all(|member| self.handed_over(&member.name) >= last_number);
        self.ordered && !self.completed_reported && all
    }
}

use std::collections::BTreeMap;

use crate::platform::RetirementPhase;
use crate::schema::LedgerMember;
use crate::schema::LedgerView;

/// the emptying of the own node.
#[derive(Debug, Default)]
pub(super) struct Retirement {
    ordered: bool,
    reported: Option<RetirementPhase>,
    /// last record at the time of the order; later ones are on enough other members anyway.
    ordered_number: u64,
    /// number up to which each disk of another member has the records of this node.
    handed_over: BTreeMap<String, u64>,
}

impl Retirement {
    /// takes whether operators want the node emptied, and the number of its last record.
    pub fn set_ordered(&mut self, ordered: bool, last_number: u64) {
        if self.ordered == ordered {
            return;
        }
        *self = Self { ordered, ordered_number: last_number, ..Self::default() };
    }

    /// whether operators want the node emptied.
    pub fn is_ordered(&self) -> bool {
        self.ordered
    }

    /// whether the other members have stored what the node held at the time of the order.
    pub fn has_handed_over(&self, view: &LedgerView, own: &str) -> bool {
        self.all_have(view, own, self.ordered_number)
    }

    fn all_have(&self, view: &LedgerView, own: &str, number: u64) -> bool {
        let others = view.members.iter().filter(|member| member.name != own);
        others.into_iter().all(|member| self.handed_over(member) >= number)
    }

    /// what has still to be reported, given whether the node has given up its seat.
    pub fn owed(&self, has_left: bool, view: &LedgerView, last_number: u64) -> Option<RetirementPhase> {
        if !self.ordered || self.reported == Some(RetirementPhase::Completed) {
            return None;
        }
        if has_left && self.all_have(view, "", last_number) {
            return Some(RetirementPhase::Completed);
        }
        self.reported.is_none().then_some(RetirementPhase::Running)
    }

    /// takes note of what the platform knows.
    pub fn reported(&mut self, phase: RetirementPhase) {
        self.reported = Some(phase);
    }

    /// number up to which a member has the records on its present disk.
    pub fn handed_over(&self, member: &LedgerMember) -> u64 {
        self.handed_over.get(&member.disk).copied().unwrap_or(0)
    }

    /// takes note that a member has stored the records up to `number`.
    pub fn stored(&mut self, member: &LedgerMember, number: u64) {
        let known = self.handed_over.entry(member.disk.clone()).or_default();
        *known = number.max(*known);
    }
}

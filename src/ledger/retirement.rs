use std::collections::BTreeMap;

use crate::platform::RetirementPhase;
use crate::schema::LedgerMember;
use crate::schema::LedgerView;

/// progress of the retirement of this node, which moves its records to the other members.
#[derive(Debug, Default)]
pub(super) struct Retirement {
    requested: bool,
    reported: Option<RetirementPhase>,
    /// newest change number at the time of the request; later records reach enough other members by
    /// themselves.
    requested_number: u64,
    /// change number up to which the records of this node are stored, by disk of another member.
    handed_over: BTreeMap<String, u64>,
}

impl Retirement {
    /// sets whether operators request the retirement, and the newest change number of this node.
    pub fn set_requested(&mut self, requested: bool, last_number: u64) {
        if self.requested == requested {
            return;
        }
        *self = Self { requested, requested_number: last_number, ..Self::default() };
    }

    /// whether operators request the retirement.
    pub fn is_requested(&self) -> bool {
        self.requested
    }

    /// whether all other members have stored what the node held at the time of the request.
    pub fn has_handed_over(&self, view: &LedgerView, own: &str) -> bool {
        self.all_have(view, own, self.requested_number)
    }

    fn all_have(&self, view: &LedgerView, own: &str, number: u64) -> bool {
        let others = view.members.iter().filter(|member| member.name != own);
        others.into_iter().all(|member| self.handed_over(member) >= number)
    }

    /// the phase to report to the platform, if it has not been reported; `has_left` if the node is no longer
    /// a member.
    pub fn pending_report(
        &self,
        has_left: bool,
        view: &LedgerView,
        last_number: u64,
    ) -> Option<RetirementPhase> {
        if !self.requested || self.reported == Some(RetirementPhase::Completed) {
            return None;
        }
        if has_left && self.all_have(view, "", last_number) {
            return Some(RetirementPhase::Completed);
        }
        self.reported.is_none().then_some(RetirementPhase::Running)
    }

    /// records the phase that has reached the platform.
    pub fn set_reported(&mut self, phase: RetirementPhase) {
        self.reported = Some(phase);
    }

    /// change number up to which a member has stored the records on its current disk.
    pub fn handed_over(&self, member: &LedgerMember) -> u64 {
        self.handed_over.get(&member.disk).copied().unwrap_or(0)
    }

    /// records that a member has stored the records up to `number`.
    pub fn set_handed_over(&mut self, member: &LedgerMember, number: u64) {
        let known = self.handed_over.entry(member.disk.clone()).or_default();
        *known = number.max(*known);
    }
}

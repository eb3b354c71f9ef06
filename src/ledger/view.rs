use crate::ledger::Quorum;
use crate::schema::LedgerMember;
use crate::schema::LedgerView;

/// view before the first node joins; its epoch is 0.
pub fn empty_view(lost_disks: u32) -> LedgerView {
    LedgerView { epoch: 0, lost_disks, members: Vec::new() }
}

/// the next view, with a member added, or replaced if its disk or address has changed.
pub fn with_member(view: &LedgerView, member: &LedgerMember) -> LedgerView {
    let mut members: Vec<LedgerMember> =
        view.members.iter().filter(|existing| existing.name != member.name).cloned().collect();
    members.push(member.clone());
    members.sort_by(|left, right| left.name.cmp(&right.name));
    LedgerView { epoch: view.epoch + 1, lost_disks: view.lost_disks, members }
}

/// the next view, with a member removed.
pub fn without_member(view: &LedgerView, name: &str) -> LedgerView {
    let members = view.members.iter().filter(|existing| existing.name != name).cloned().collect();
    LedgerView { epoch: view.epoch + 1, lost_disks: view.lost_disks, members }
}

impl LedgerView {
    /// quorum sizes of this view.
    pub fn quorum(&self) -> Quorum {
        Quorum::new(self.members.len(), self.lost_disks as usize)
    }

    /// looks up a member by name.
    pub fn member(&self, name: &str) -> Option<&LedgerMember> {
        self.members.iter().find(|member| member.name == name)
    }

    /// target number of members.
    pub fn target_members(&self) -> usize {
        Quorum::target_members(self.lost_disks as usize)
    }
}

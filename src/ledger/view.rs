use crate::ledger::Quorum;
use crate::schema::LedgerMember;
use crate::schema::LedgerView;

/// the view before the first node has joined.
pub fn empty_view(lost_disks: u32) -> LedgerView {
    LedgerView { epoch: 0, lost_disks, members: Vec::new() }
}

/// the next view, with a member that is new or has a new disk or address.
pub fn with_member(view: &LedgerView, member: &LedgerMember) -> LedgerView {
    let mut members: Vec<LedgerMember> =
        view.members.iter().filter(|known| known.name != member.name).cloned().collect();
    members.push(member.clone());
    members.sort_by(|left, right| left.name.cmp(&right.name));
    LedgerView { epoch: view.epoch + 1, lost_disks: view.lost_disks, members }
}

/// the next view, without a member.
pub fn without_member(view: &LedgerView, name: &str) -> LedgerView {
    let members = view.members.iter().filter(|known| known.name != name).cloned().collect();
    LedgerView { epoch: view.epoch + 1, lost_disks: view.lost_disks, members }
}

impl LedgerView {
    /// the quorum sizes of this view.
    pub fn quorum(&self) -> Quorum {
        Quorum::new(self.members.len(), self.lost_disks as usize)
    }

    /// the member of this name.
    pub fn member(&self, name: &str) -> Option<&LedgerMember> {
        self.members.iter().find(|member| member.name == name)
    }

    /// members that the ledger wants.
    pub fn target_members(&self) -> usize {
        Quorum::target_members(self.lost_disks as usize)
    }
}

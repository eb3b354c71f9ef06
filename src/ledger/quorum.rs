/// how many members must take part in a write and in a read, so that each read sees each earlier write.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Quorum {
    members: usize,
    lost_disks: usize,
}

impl Quorum {
    /// the quorum of `members` nodes of which `lost_disks` may lose their disks at once.
    pub fn new(members: usize, lost_disks: usize) -> Self {
        Self { members, lost_disks }
    }

    /// nodes that must have a record on disk before it counts.
    ///
    /// More than the disks that may be lost, and few enough that as many nodes may be away.
    pub fn write(self) -> usize {
        (self.lost_disks + 1).max(self.members.saturating_sub(self.lost_disks))
    }

    /// complete nodes that must answer before "no such record" counts.
    ///
    /// Enough to meet each write quorum, and more than the disks that may be lost: a node that has just left may
    /// have held one of the copies.
    pub fn read(self) -> usize {
        let meets_writes = (self.members + 1).saturating_sub(self.write());
        meets_writes.max(self.lost_disks + 1).min(self.members).max(1)
    }

    /// complete nodes that a node has to copy before it is complete itself.
    pub fn catch_up(self) -> usize {
        (self.lost_disks + 1).min(self.members.saturating_sub(1))
    }

    /// members that the ledger wants: enough for writes while the tolerated number is away.
    pub fn target_members(lost_disks: usize) -> usize {
        2 * lost_disks + 1
    }
}

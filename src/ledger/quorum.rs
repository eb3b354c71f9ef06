/// quorum sizes with which each read sees each earlier write.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Quorum {
    members: usize,
    lost_disks: usize,
}

impl Quorum {
    /// quorums of `members` nodes, of which `lost_disks` may lose their disks at once.
    pub fn new(members: usize, lost_disks: usize) -> Self {
        Self { members, lost_disks }
    }

    /// nodes that must have a record on disk before it counts as stored.
    ///
    /// More than the tolerated disk losses. With the target number of members, writes go on while as many
    /// nodes as that are down.
    pub fn write(self) -> usize {
        (self.lost_disks + 1).max(self.members.saturating_sub(self.lost_disks))
    }

    /// complete nodes that must answer before a record counts as absent.
    ///
    /// Enough to intersect each write quorum, and more than the tolerated disk losses: a node that has just
    /// left may have held one of the copies.
    pub fn read(self) -> usize {
        let intersects_writes = (self.members + 1).saturating_sub(self.write());
        intersects_writes.max(self.lost_disks + 1).min(self.members).max(1)
    }

    /// complete nodes that a node must copy before it is complete itself.
    pub fn catch_up(self) -> usize {
        (self.lost_disks + 1).min(self.members.saturating_sub(1))
    }

    /// target number of members: writes still succeed while the tolerated number is down.
    pub fn target_members(lost_disks: usize) -> usize {
        2 * lost_disks + 1
    }
}

use crate::clock::Now;
use crate::ids::Incarnation;
use crate::ids::SlotId;
use crate::member::Member;
use crate::ownership::Ownership;
use crate::ownership::OwnershipStep;
use crate::ownership::slot_row::Phase;
use crate::ownership::slot_write::SlotWrite;
use crate::ownership::slot_write::WriteKind;
use crate::schema::JournalSource;
use crate::schema::MemberHealth;
use crate::schema::SlotObject;

/// slots that are drained at once while this instance stays.
const MAX_HANDOVERS: usize = 8;

/// slots that are drained at once while this instance leaves.
const MAX_LEAVING_HANDOVERS: usize = 256;

impl Ownership {
    /// starts to drain a slot that another member should hold.
    pub(super) fn consider_handover(&mut self, now: Now, slot: SlotId, steps: &mut Vec<OwnershipStep>) {
        // The sources must be copied first: the next owner reads this journal alone.
        if !self.rows[slot.0 as usize].sources().is_empty() || self.next_owner(slot).is_none() {
            return;
        }
        let since_ms = self.proposals[slot.0 as usize].since_ms;
        if !self.leaving && now.ms < since_ms + self.settings.handover_delay_ms {
            return;
        }
        let limit = if self.leaving { MAX_LEAVING_HANDOVERS } else { MAX_HANDOVERS };
        if self.draining.len() >= limit {
            return;
        }
        self.draining.insert(slot);
        self.rows[slot.0 as usize].phase = Phase::Draining;
        self.changed = true;
        steps.push(OwnershipStep::Drain(slot, true));
    }

    /// lets a drained slot go on when no other member should hold it any more.
    pub(super) fn reconsider_handover(&mut self, slot: SlotId, steps: &mut Vec<OwnershipStep>) {
        if self.leaving || self.next_owner(slot).is_some() {
            return;
        }
        self.draining.remove(&slot);
        self.rows[slot.0 as usize].phase = Phase::Serving;
        self.changed = true;
        steps.push(OwnershipStep::Drain(slot, false));
    }

    /// slots that wait until nothing of them is under way.
    pub fn draining(&self) -> Vec<SlotId> {
        self.draining.iter().copied().collect()
    }

    /// gives a drained slot away; all of its records stand in the entries up to `through`.
    ///
    /// From here on the slot is never served again by this owner, whatever becomes of the write: a delayed
    /// one may still take effect.
    pub fn hand_over(&mut self, now: Now, slot: SlotId, through: u64) -> bool {
        let Some((owner, name)) = self.next_owner(slot) else { return false };
        self.draining.remove(&slot);
        let me = self.settings.me.to_string();
        let row = &mut self.rows[slot.0 as usize];
        let object = SlotObject {
            owner: Some(owner.to_string()),
            owner_name: Some(name),
            epoch: row.epoch() + 1,
            sources: vec![JournalSource { incarnation: me, through: Some(through), epoch: row.epoch() }],
        };
        let replaces = Some(row.version);
        row.start_write(now, SlotWrite::new(WriteKind::Give, object, replaces));
        true
    }

    /// the sources of a slot are copied into this incarnation's journal.
    pub fn clear_sources(&mut self, now: Now, slot: SlotId) {
        let row = &mut self.rows[slot.0 as usize];
        if row.sources().is_empty() || row.write.is_some() || row.phase != Phase::Serving {
            return;
        }
        let Some(object) = row.object.clone() else { return };
        let object = SlotObject { epoch: object.epoch + 1, sources: Vec::new(), ..object };
        let replaces = Some(row.version);
        row.start_write(now, SlotWrite::new(WriteKind::Clear, object, replaces));
    }

    /// the member that should hold a slot in place of this instance, if it can be given now.
    fn next_owner(&self, slot: SlotId) -> Option<(Incarnation, String)> {
        let proposed = self.proposals[slot.0 as usize].member.as_ref()?;
        if *proposed == self.settings.me {
            return None;
        }
        let member: &Member = self.view.as_ref()?.find(proposed)?;
        (member.health == MemberHealth::Alive).then(|| (member.incarnation.clone(), member.name.clone()))
    }
}

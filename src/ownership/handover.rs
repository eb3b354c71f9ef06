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

/// most slots drained at once while this instance stays.
const MAX_HANDOVERS: usize = 8;

/// most slots drained at once while this instance shuts down.
const MAX_LEAVING_HANDOVERS: usize = 256;

impl Ownership {
    /// starts to drain a slot that is assigned to another member, after the handover delay.
    pub(super) fn start_handover(&mut self, now: Now, slot: SlotId, steps: &mut Vec<OwnershipStep>) {
        // The sources must be copied first, because the next owner reads only this journal.
        if !self.rows[slot.0 as usize].sources().is_empty() || self.next_owner(slot).is_none() {
            return;
        }
        let since_ms = self.assignments[slot.0 as usize].since_ms;
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

    /// resumes a draining slot if no other member can take it any more.
    pub(super) fn cancel_handover(&mut self, slot: SlotId, steps: &mut Vec<OwnershipStep>) {
        if self.leaving || self.next_owner(slot).is_some() {
            return;
        }
        self.draining.remove(&slot);
        self.rows[slot.0 as usize].phase = Phase::Serving;
        self.changed = true;
        steps.push(OwnershipStep::Drain(slot, false));
    }

    /// slots that are waiting for their work in flight to end.
    pub fn draining(&self) -> Vec<SlotId> {
        self.draining.iter().copied().collect()
    }

    /// hands a drained slot over; all of its records are in the journal entries up to `through`.
    ///
    /// This owner never serves the slot again from its state in memory, whatever the result of the write: a
    /// delayed write may still take effect.
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
        row.start_write(now, SlotWrite::new(WriteKind::HandOver, object, replaces));
        true
    }

    /// clears the sources of a slot, after they were copied into this incarnation's journal.
    pub fn clear_sources(&mut self, now: Now, slot: SlotId) {
        let row = &mut self.rows[slot.0 as usize];
        if row.sources().is_empty() || row.write.is_some() || row.phase != Phase::Serving {
            return;
        }
        let Some(object) = row.object.clone() else { return };
        let object = SlotObject { epoch: object.epoch + 1, sources: Vec::new(), ..object };
        let replaces = Some(row.version);
        row.start_write(now, SlotWrite::new(WriteKind::ClearSources, object, replaces));
    }

    /// the other member that a slot is assigned to, if it is alive and can take the slot now.
    fn next_owner(&self, slot: SlotId) -> Option<(Incarnation, String)> {
        let assigned = self.assignments[slot.0 as usize].member.as_ref()?;
        if *assigned == self.settings.me {
            return None;
        }
        let member: &Member = self.view.as_ref()?.find(assigned)?;
        (member.health == MemberHealth::Alive).then(|| (member.incarnation.clone(), member.name.clone()))
    }
}

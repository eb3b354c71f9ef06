use crate::ids::SlotId;
use crate::journal::JournalReader;
use crate::ownership::Ownership;
use crate::ownership::OwnershipStep;
use crate::ownership::SourceKey;
use crate::ownership::slot_row::Phase;
use crate::schema::SlotObject;

impl Ownership {
    /// applies a slot object from the platform; versions that are not newer are ignored.
    pub(super) fn observe(
        &mut self,
        slot: SlotId,
        version: u64,
        object: Option<SlotObject>,
        steps: &mut Vec<OwnershipStep>,
    ) {
        let Some(row) = self.rows.get_mut(slot.0 as usize) else { return };
        if !row.observe(version, object) {
            return;
        }
        self.changed = true;
        // A pending write learns of the change from its own reply.
        if self.rows[slot.0 as usize].write.is_none() {
            self.reconcile(slot, steps);
        }
    }

    /// brings the phase of a slot in line with its object; a loss of ownership deposes this incarnation.
    pub(super) fn reconcile(&mut self, slot: SlotId, steps: &mut Vec<OwnershipStep>) {
        self.changed = true;
        let me = self.settings.me.clone();
        let row = &mut self.rows[slot.0 as usize];
        let owned_here = row.owner().as_ref() == Some(&me);
        let sealed =
            row.sources().iter().any(|source| source.incarnation == me.as_str() && source.through.is_none());
        let active = matches!(row.phase, Phase::Serving | Phase::Draining | Phase::Loading);
        if !owned_here && (active || sealed) {
            self.deposed = true;
            steps.push(OwnershipStep::Deposed);
            return;
        }
        if !owned_here {
            row.phase = Phase::Idle;
            return;
        }
        if active {
            return;
        }
        if row.sources().is_empty() {
            row.phase = Phase::Serving;
            steps.push(OwnershipStep::Acquired(slot));
            return;
        }
        row.phase = Phase::Loading;
        let keys: Vec<SourceKey> = row.sources().iter().map(SourceKey::from).collect();
        for key in keys {
            self.read_journal(key);
        }
    }

    /// starts to read a journal unless a read is in progress or done.
    pub(super) fn read_journal(&mut self, key: SourceKey) {
        let me = self.settings.me.clone();
        let reader = || JournalReader::new(me, key.journal.clone(), key.through);
        self.readers.entry(key.clone()).or_insert_with(reader);
    }

    /// whether a journal was read to its end.
    pub(super) fn is_journal_read(&self, key: &SourceKey) -> bool {
        self.readers.get(key).is_some_and(JournalReader::is_finished)
    }

    /// drops the readers of journals that no slot needs any more.
    pub(super) fn drop_unneeded_readers(&mut self) {
        let mut needed: Vec<SourceKey> = Vec::new();
        for row in &self.rows {
            match row.phase {
                Phase::Loading => needed.extend(row.sources().iter().map(SourceKey::from)),
                Phase::Sealing => {
                    let owner = row.owner();
                    needed.extend(owner.map(|journal| SourceKey { journal, through: None }));
                }
                _ => {}
            }
            // After a claim, the slot is loaded from the journals that were read for it.
            if let Some(write) = &row.write {
                needed.extend(write.object.sources.iter().map(SourceKey::from));
            }
        }
        self.readers.retain(|key, _| needed.contains(key));
    }
}

use crate::ids::SlotId;
use crate::journal::JournalReader;
use crate::ownership::Ownership;
use crate::ownership::OwnershipStep;
use crate::ownership::SourceKey;
use crate::ownership::slot_row::Phase;
use crate::schema::SlotObject;

impl Ownership {
    /// takes a slot object as the platform showed it.
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
        // A write that is not settled finds out by its own reply.
        if self.rows[slot.0 as usize].write.is_none() {
            self.reconcile(slot, steps);
        }
    }

    /// brings what is done with a slot in line with its object.
    pub(super) fn reconcile(&mut self, slot: SlotId, steps: &mut Vec<OwnershipStep>) {
        self.changed = true;
        let me = self.settings.me.clone();
        let row = &mut self.rows[slot.0 as usize];
        let mine = row.owner().as_ref() == Some(&me);
        let sealed =
            row.sources().iter().any(|source| source.incarnation == me.as_str() && source.through.is_none());
        let held = matches!(row.phase, Phase::Serving | Phase::Draining | Phase::Loading);
        if !mine && (held || sealed) {
            self.deposed = true;
            steps.push(OwnershipStep::Deposed);
            return;
        }
        if !mine {
            row.phase = Phase::Idle;
            return;
        }
        if held {
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

    /// starts to read a journal unless that is under way.
    pub(super) fn read_journal(&mut self, key: SourceKey) {
        let me = self.settings.me.clone();
        let reader = || JournalReader::new(me, key.journal.clone(), key.through);
        self.readers.entry(key.clone()).or_insert_with(reader);
    }

    /// whether a journal is read.
    pub(super) fn is_read(&self, key: &SourceKey) -> bool {
        self.readers.get(key).is_some_and(JournalReader::is_finished)
    }

    /// drops journals that no slot needs any more.
    pub(super) fn drop_readers(&mut self) {
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
            // A claim is followed by the load of what was read for it.
            if let Some(write) = &row.write {
                needed.extend(write.object.sources.iter().map(SourceKey::from));
            }
        }
        self.readers.retain(|key, _| needed.contains(key));
    }
}

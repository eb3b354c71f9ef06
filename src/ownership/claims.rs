use crate::clock::Now;
use crate::ids::Incarnation;
use crate::ids::SlotId;
use crate::member::Member;
use crate::ownership::Ownership;
use crate::ownership::OwnershipStep;
use crate::ownership::SourceKey;
use crate::ownership::ownership::Assignment;
use crate::ownership::slot_row::Phase;
use crate::ownership::slot_write::SlotWrite;
use crate::ownership::slot_write::WriteKind;
use crate::rendezvous;
use crate::schema::JournalSource;
use crate::schema::SlotObject;

/// takeover delays to wait before an owner is replaced that is not in the membership under any incarnation.
const UNKNOWN_OWNER_DELAYS: u64 = 10;

impl Ownership {
    /// recomputes the assignment of each slot if the set of eligible members changed.
    pub(super) fn update_assignments(&mut self, now: Now) {
        let Some(view) = &self.view else { return };
        let me = &self.settings.me;
        let leaving = self.leaving;
        let is_eligible = |member: &&Member| member.accepts_work() && !(leaving && member.incarnation == *me);
        let eligible: Vec<&Member> = view.members.iter().filter(is_eligible).collect();
        let same = eligible.iter().map(|member| &member.incarnation).eq(&self.eligible);
        if same {
            return;
        }
        for (index, assignment) in self.assignments.iter_mut().enumerate() {
            let members = eligible.iter().copied();
            let first = rendezvous::first(&format!("slot/{index:06}"), members, |member| &member.name);
            let member = first.map(|member| member.incarnation.clone());
            if assignment.member != member {
                *assignment = Assignment { member, since_ms: now.ms };
            }
        }
        self.eligible = eligible.into_iter().map(|member| member.incarnation.clone()).collect();
    }

    /// whether a slot is assigned to this instance.
    pub(super) fn is_assigned_here(&self, slot: SlotId) -> bool {
        self.assignments[slot.0 as usize].member.as_ref() == Some(&self.settings.me)
    }

    /// records since when each owner appears to be gone.
    pub(super) fn update_gone_owners(&mut self, now: Now) {
        let mut gone = Vec::new();
        for row in &self.rows {
            let Some(owner) = row.owner() else { continue };
            let name = row.object.as_ref().and_then(|object| object.owner_name.as_deref());
            if owner != self.settings.me && self.is_gone(&owner, name) && !gone.contains(&owner) {
                gone.push(owner);
            }
        }
        self.gone_since.retain(|owner, _| gone.contains(owner));
        for owner in gone {
            self.gone_since.entry(owner).or_insert(now.ms);
        }
    }

    fn is_gone(&self, owner: &Incarnation, name: Option<&str>) -> bool {
        let Some(view) = &self.view else { return false };
        if let Some(member) = view.find(owner) {
            return member.is_gone();
        }
        match self.known_incarnation(name) {
            // A newer incarnation proves that the older one is gone; an older one only means that this view
            // has not seen the newer yet.
            Some(incarnation) => incarnation > *owner,
            None => true,
        }
    }

    fn known_incarnation(&self, name: Option<&str>) -> Option<Incarnation> {
        let name = name?;
        if name == self.settings.name {
            return Some(self.settings.me.clone());
        }
        let view = self.view.as_ref()?;
        let member = view.members.iter().find(|member| member.name == name)?;
        Some(member.incarnation.clone())
    }

    /// whether an owner has been gone for the takeover delay.
    pub(super) fn is_replaceable(&self, now: Now, slot: SlotId, owner: &Incarnation) -> bool {
        let Some(since) = self.gone_since.get(owner) else { return false };
        let row = &self.rows[slot.0 as usize];
        let name = row.object.as_ref().and_then(|object| object.owner_name.as_deref());
        let known = self.view.as_ref().is_some_and(|view| view.find(owner).is_some());
        let delay_ms = if known || self.known_incarnation(name).is_some() {
            self.settings.takeover_delay_ms
        } else {
            self.settings.takeover_delay_ms * UNKNOWN_OWNER_DELAYS
        };
        now.ms >= since + delay_ms
    }

    /// advances each slot without a pending write: claim, takeover, load, drain.
    pub(super) fn advance(&mut self, now: Now, steps: &mut Vec<OwnershipStep>) {
        // The caller has consumed the journals that the last round's loads needed.
        self.drop_unneeded_readers();
        for index in 0..self.rows.len() {
            let slot = SlotId(index as u32);
            let row = &self.rows[index];
            if row.write.is_some() {
                continue;
            }
            let settled = now.ms >= self.assignments[index].since_ms + self.settings.takeover_delay_ms;
            match row.phase {
                Phase::Idle if self.is_assigned_here(slot) => match row.owner() {
                    None if settled => self.claim(now, slot),
                    Some(owner) if self.is_replaceable(now, slot, &owner) => {
                        self.rows[index].phase = Phase::Sealing;
                        self.read_journal(SourceKey { journal: owner, through: None });
                    }
                    _ => {}
                },
                Phase::Sealing => self.continue_takeover(now, slot),
                Phase::Loading => self.finish_load(slot, steps),
                Phase::Serving => self.start_handover(now, slot, steps),
                Phase::Draining => self.cancel_handover(slot, steps),
                Phase::Idle => {}
            }
        }
    }

    fn continue_takeover(&mut self, now: Now, slot: SlotId) {
        let Some(owner) = self.rows[slot.0 as usize].owner() else {
            self.rows[slot.0 as usize].phase = Phase::Idle;
            return;
        };
        let key = SourceKey { journal: owner, through: None };
        if self.is_journal_read(&key) {
            self.claim(now, slot);
            return;
        }
        self.read_journal(key);
    }

    /// writes this incarnation as owner into a slot's object; the journal of any previous owner is sealed.
    fn claim(&mut self, now: Now, slot: SlotId) {
        let me = self.settings.me.to_string();
        let name = self.settings.name.clone();
        let row = &mut self.rows[slot.0 as usize];
        let mut sources = row.sources().to_vec();
        if let Some(owner) = row.owner() {
            sources.push(JournalSource { incarnation: owner.to_string(), through: None, epoch: row.epoch() });
        }
        let replaces = row.object.is_some().then_some(row.version);
        let object = SlotObject { owner: Some(me), owner_name: Some(name), epoch: row.epoch() + 1, sources };
        row.phase = Phase::Idle;
        row.start_write(now, SlotWrite::new(WriteKind::Claim, object, replaces));
    }

    fn finish_load(&mut self, slot: SlotId, steps: &mut Vec<OwnershipStep>) {
        let row = &self.rows[slot.0 as usize];
        let keys = row.sources().iter().map(SourceKey::from);
        let missing: Vec<SourceKey> = keys.filter(|key| !self.is_journal_read(key)).collect();
        if !missing.is_empty() {
            for key in missing {
                self.read_journal(key);
            }
            return;
        }
        let epoch = row.epoch();
        let sources = row.sources().to_vec();
        let unclean = sources.last().is_some_and(|source| source.through.is_none());
        self.rows[slot.0 as usize].phase = Phase::Serving;
        self.changed = true;
        steps.push(OwnershipStep::Load { slot, epoch, sources, unclean });
    }
}

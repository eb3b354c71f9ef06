use crate::clock::Now;
use crate::ids::Incarnation;
use crate::ids::SlotId;
use crate::member::Member;
use crate::ownership::Ownership;
use crate::ownership::OwnershipStep;
use crate::ownership::SourceKey;
use crate::ownership::ownership::Proposal;
use crate::ownership::slot_row::Phase;
use crate::ownership::slot_write::SlotWrite;
use crate::ownership::slot_write::WriteKind;
use crate::rendezvous;
use crate::schema::JournalSource;
use crate::schema::SlotObject;

/// an owner of whom no member was ever seen counts as gone after this many takeover delays.
const UNKNOWN_OWNER_DELAYS: u64 = 10;

impl Ownership {
    /// computes the member that should hold each slot, when other members take work than before.
    pub(super) fn propose(&mut self, now: Now) {
        let Some(view) = &self.view else { return };
        let me = &self.settings.me;
        let leaving = self.leaving;
        let takes = |member: &&Member| member.takes_work() && !(leaving && member.incarnation == *me);
        let taking: Vec<&Member> = view.members.iter().filter(takes).collect();
        let same = taking.iter().map(|member| &member.incarnation).eq(&self.taking);
        if same {
            return;
        }
        for (index, proposal) in self.proposals.iter_mut().enumerate() {
            let members = taking.iter().copied();
            let first = rendezvous::first(&format!("slot/{index:06}"), members, |member| &member.name);
            let member = first.map(|member| member.incarnation.clone());
            if proposal.member != member {
                *proposal = Proposal { member, since_ms: now.ms };
            }
        }
        self.taking = taking.into_iter().map(|member| member.incarnation.clone()).collect();
    }

    /// whether this instance should hold a slot.
    pub(super) fn is_proposed_here(&self, slot: SlotId) -> bool {
        self.proposals[slot.0 as usize].member.as_ref() == Some(&self.settings.me)
    }

    /// notes since when each owner is believed to be gone.
    pub(super) fn note_gone(&mut self, now: Now) {
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
        match self.namesake(name) {
            // A newer start proves the older one gone; an older one has not heard of the newer yet.
            Some(incarnation) => incarnation > *owner,
            None => true,
        }
    }

    fn namesake(&self, name: Option<&str>) -> Option<Incarnation> {
        let name = name?;
        if name == self.settings.name {
            return Some(self.settings.me.clone());
        }
        let view = self.view.as_ref()?;
        let member = view.members.iter().find(|member| member.name == name)?;
        Some(member.incarnation.clone())
    }

    /// whether an owner has been gone for long enough to be replaced.
    pub(super) fn is_replaceable(&self, now: Now, slot: SlotId, owner: &Incarnation) -> bool {
        let Some(since) = self.gone_since.get(owner) else { return false };
        let row = &self.rows[slot.0 as usize];
        let name = row.object.as_ref().and_then(|object| object.owner_name.as_deref());
        let known = self.view.as_ref().is_some_and(|view| view.find(owner).is_some());
        let delay_ms = if known || self.namesake(name).is_some() {
            self.settings.takeover_delay_ms
        } else {
            self.settings.takeover_delay_ms * UNKNOWN_OWNER_DELAYS
        };
        now.ms >= since + delay_ms
    }

    /// decides for each slot whether to take, load, drain or give it.
    pub(super) fn decide(&mut self, now: Now, steps: &mut Vec<OwnershipStep>) {
        // What was read for a load in the last round has been taken by now.
        self.drop_readers();
        for index in 0..self.rows.len() {
            let slot = SlotId(index as u32);
            let row = &self.rows[index];
            if row.write.is_some() {
                continue;
            }
            let settled = now.ms >= self.proposals[index].since_ms + self.settings.takeover_delay_ms;
            match row.phase {
                Phase::Idle if self.is_proposed_here(slot) => match row.owner() {
                    None if settled => self.claim(now, slot),
                    Some(owner) if self.is_replaceable(now, slot, &owner) => {
                        self.rows[index].phase = Phase::Sealing;
                        self.read_journal(SourceKey { journal: owner, through: None });
                    }
                    _ => {}
                },
                Phase::Sealing => self.continue_takeover(now, slot),
                Phase::Loading => self.finish_load(slot, steps),
                Phase::Serving => self.consider_handover(now, slot, steps),
                Phase::Draining => self.reconsider_handover(slot, steps),
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
        if self.is_read(&key) {
            self.claim(now, slot);
            return;
        }
        self.read_journal(key);
    }

    /// writes this incarnation into a slot's object; the journal of an owner before it is sealed.
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
        let missing: Vec<SourceKey> = keys.filter(|key| !self.is_read(key)).collect();
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

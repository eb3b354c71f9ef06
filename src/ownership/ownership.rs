use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;

use crate::clock::Now;
use crate::ids::Incarnation;
use crate::ids::SlotId;
use crate::journal::JournalReader;
use crate::journal::ReadStep;
use crate::member::MemberView;
use crate::ownership::SourceKey;
use crate::ownership::slot_feed::SlotFeed;
use crate::ownership::slot_row::Phase;
use crate::ownership::slot_row::SlotRow;
use crate::ownership::slot_write::WriteKind;
use crate::ownership::slot_write::WriteOutcome;
use crate::platform::PlatformRequest;
use crate::platform::PlatformResult;
use crate::schema::JournalSource;
use crate::schema::Record;
use crate::slots::SlotOwner;
use crate::slots::SlotTable;

/// settings of slot ownership, fixed for one incarnation.
#[derive(Clone, Debug)]
pub struct OwnershipSettings {
    /// this incarnation.
    pub me: Incarnation,
    /// name of this instance.
    pub name: String,
    /// number of slots in the deployment.
    pub slot_count: u32,
    /// how long an owner must be gone before a takeover starts.
    pub takeover_delay_ms: u64,
    /// how long a slot must be assigned to another member before the handover starts.
    pub handover_delay_ms: u64,
}

/// purpose of a call to the platform, which routes the reply.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OwnershipCall {
    /// list or watch of the slot objects.
    Feed,
    /// write of a slot's object, or the read that checks its result.
    Slot(SlotId),
    /// read or seal of a journal.
    Journal(SourceKey),
}

/// actions and events for the owner.
#[derive(Clone, Debug)]
pub enum OwnershipStep {
    /// make a call and report its result.
    Call(OwnershipCall, PlatformRequest),
    /// this incarnation owns a slot, which has no state to load.
    Acquired(SlotId),
    /// this incarnation owns a slot and has read its sources; rebuild its state from them.
    Load {
        /// slot.
        slot: SlotId,
        /// epoch of its object.
        epoch: u64,
        /// its sources, oldest first.
        sources: Vec<JournalSource>,
        /// whether the last owner stopped without a handover, so that it may have spent its reservations.
        unclean: bool,
    },
    /// hold back new work of a slot if true, resume it if false.
    Drain(SlotId, bool),
    /// a slot was handed over to another owner.
    HandedOver(SlotId),
    /// this instance sealed the journal of another incarnation.
    JournalSealed(Incarnation),
    /// a journal is damaged and cannot be read; the text says why.
    JournalDamaged(String),
    /// another incarnation took a slot over and sealed this one's journal: this one must stop.
    Deposed,
}

/// failed writes after which the move of a slot counts as blocked.
const BLOCKED_FAILURES: u32 = 5;

/// where to serve a request for a slot.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SlotRoute {
    /// here, now; the state is in memory.
    Local,
    /// not known until the slot's move completes; the request waits.
    Pending,
    /// at the next owner, after the work in flight here has ended.
    Draining,
    /// nowhere: writes of the slot's object keep failing, and no instance may serve it until one succeeds.
    Blocked,
    /// at another instance.
    Remote,
}

/// the member that rendezvous hashing selects for a slot.
#[derive(Clone, Debug, Default)]
pub(super) struct Assignment {
    /// the member; none when no member takes work.
    pub(super) member: Option<Incarnation>,
    /// when this assignment was made.
    pub(super) since_ms: u64,
}

/// state of all slots as seen by this incarnation, and the slots that it owns.
#[derive(Debug)]
pub struct Ownership {
    pub(super) settings: OwnershipSettings,
    pub(super) view: Option<Arc<MemberView>>,
    /// members that took work when the assignments were last computed.
    pub(super) eligible: Vec<Incarnation>,
    pub(super) assignments: Vec<Assignment>,
    pub(super) rows: Vec<SlotRow>,
    pub(super) feed: SlotFeed,
    pub(super) readers: BTreeMap<SourceKey, JournalReader>,
    pub(super) gone_since: BTreeMap<Incarnation, u64>,
    pub(super) draining: BTreeSet<SlotId>,
    pub(super) leaving: bool,
    pub(super) changed: bool,
    pub(super) deposed: bool,
}

impl Ownership {
    /// an ownership without slots.
    pub fn new(settings: OwnershipSettings) -> Self {
        let count = settings.slot_count as usize;
        Self {
            settings,
            view: None,
            eligible: Vec::new(),
            assignments: vec![Assignment::default(); count],
            rows: vec![SlotRow::unknown(); count],
            feed: SlotFeed::default(),
            readers: BTreeMap::new(),
            gone_since: BTreeMap::new(),
            draining: BTreeSet::new(),
            leaving: false,
            changed: true,
            deposed: false,
        }
    }

    /// applies a change of the membership.
    pub fn set_members(&mut self, now: Now, view: Arc<MemberView>) {
        self.view = Some(view);
        self.update_assignments(now);
    }

    /// the last membership view.
    pub fn view(&self) -> Option<&MemberView> {
        self.view.as_deref()
    }

    /// begins shutdown: every slot is handed over to another member.
    pub fn leave(&mut self, now: Now) {
        self.leaving = true;
        self.update_assignments(now);
    }

    /// whether no slot is owned, being taken over or has a write pending.
    pub fn is_empty(&self) -> bool {
        self.rows.iter().all(|row| row.phase == Phase::Idle && row.write.is_none())
    }

    /// whether some member is eligible to take slots.
    pub fn has_successor(&self) -> bool {
        self.assignments.iter().any(|assignment| assignment.member.is_some())
    }

    /// number of slots whose state is in memory.
    pub fn serving_count(&self) -> usize {
        self.rows.iter().filter(|row| matches!(row.phase, Phase::Serving | Phase::Draining)).count()
    }

    /// where to serve a request for `slot`.
    pub fn route(&self, slot: SlotId) -> SlotRoute {
        let row = &self.rows[slot.0 as usize];
        if row.phase == Phase::Serving {
            return SlotRoute::Local;
        }
        if row.write.as_ref().is_some_and(|write| write.failures >= BLOCKED_FAILURES) {
            return SlotRoute::Blocked;
        }
        if row.phase == Phase::Draining && row.write.is_none() {
            return SlotRoute::Draining;
        }
        if !self.feed.is_listed() || row.phase != Phase::Idle || row.write.is_some() {
            return SlotRoute::Pending;
        }
        let assigned_here = self.is_assigned_here(slot);
        match row.owner() {
            Some(owner) if owner == self.settings.me => SlotRoute::Pending,
            Some(owner) if assigned_here && self.gone_since.contains_key(&owner) => SlotRoute::Pending,
            None if assigned_here => SlotRoute::Pending,
            _ => SlotRoute::Remote,
        }
    }

    /// whether another owner may still read old entries of this incarnation's journal, or a slot owned here
    /// still has sources that are not copied into it.
    pub fn needs_old_entries(&self) -> bool {
        self.rows.iter().any(|row| {
            let handing_over = row.write.as_ref().is_some_and(|write| write.kind == WriteKind::HandOver);
            let owned_here = row.owner().as_ref() == Some(&self.settings.me);
            let is_source =
                row.sources().iter().any(|source| source.incarnation == self.settings.me.as_str());
            handing_over || is_source || (owned_here && !row.sources().is_empty())
        })
    }

    /// records of a source whose journal was read.
    pub fn records(&self, source: &JournalSource) -> impl Iterator<Item = &Record> {
        self.readers.get(&SourceKey::from(source)).into_iter().flat_map(|reader| reader.records())
    }

    /// the slot table, if it may have changed since the last call.
    pub fn take_table(&mut self) -> Option<SlotTable> {
        if !std::mem::take(&mut self.changed) {
            return None;
        }
        let rows = self.rows.iter().map(|row| SlotOwner {
            owner: row.owner(),
            epoch: row.epoch(),
            serving: matches!(row.phase, Phase::Serving | Phase::Draining),
        });
        Some(SlotTable { rows: rows.collect() })
    }

    /// advances all slots and issues the calls that are due.
    pub fn poll(&mut self, now: Now, steps: &mut Vec<OwnershipStep>) {
        if self.deposed {
            return;
        }
        if let Some(request) = self.feed.poll(now) {
            steps.push(OwnershipStep::Call(OwnershipCall::Feed, request));
        }
        if self.feed.is_listed() && self.view.is_some() {
            self.update_gone_owners(now);
            self.advance(now, steps);
        }
        for (index, row) in self.rows.iter_mut().enumerate() {
            let slot = SlotId(index as u32);
            let Some(request) = row.write.as_mut().and_then(|write| write.poll(now, slot)) else { continue };
            steps.push(OwnershipStep::Call(OwnershipCall::Slot(slot), request));
        }
        for (key, reader) in &mut self.readers {
            if let Some(ReadStep::Call(request)) = reader.poll(now) {
                steps.push(OwnershipStep::Call(OwnershipCall::Journal(key.clone()), request));
            }
        }
    }

    /// applies the reply to a call.
    pub fn reply(
        &mut self,
        now: Now,
        call: OwnershipCall,
        result: PlatformResult,
        steps: &mut Vec<OwnershipStep>,
    ) {
        if self.deposed {
            return;
        }
        match call {
            OwnershipCall::Feed => {
                for update in self.feed.reply(now, result) {
                    self.observe(update.slot, update.version, update.object, steps);
                }
            }
            OwnershipCall::Slot(slot) => self.write_reply(now, slot, &result, steps),
            OwnershipCall::Journal(key) => {
                let Some(reader) = self.readers.get_mut(&key) else { return };
                match reader.reply(now, result) {
                    Some(ReadStep::Damaged(why)) => steps.push(OwnershipStep::JournalDamaged(why)),
                    Some(ReadStep::Done) if reader.wrote_seal() => {
                        steps.push(OwnershipStep::JournalSealed(key.journal));
                    }
                    _ => {}
                }
            }
        }
    }

    fn write_reply(
        &mut self,
        now: Now,
        slot: SlotId,
        result: &PlatformResult,
        steps: &mut Vec<OwnershipStep>,
    ) {
        let row = &mut self.rows[slot.0 as usize];
        let Some(write) = &mut row.write else { return };
        match write.reply(now, result) {
            WriteOutcome::Pending => {}
            WriteOutcome::Written { version } => {
                let Some(write) = row.write.take() else { return };
                if write.kind == WriteKind::HandOver {
                    row.phase = Phase::Idle;
                    steps.push(OwnershipStep::HandedOver(slot));
                }
                row.observe(version, Some(write.object));
                self.reconcile(slot, steps);
            }
            WriteOutcome::Superseded { version, object } => {
                let was_handover = row.write.take().is_some_and(|write| write.kind == WriteKind::HandOver);
                if was_handover {
                    // An earlier attempt took effect and the slot has moved on, perhaps back to here, so the
                    // state in memory is stale.
                    row.phase = Phase::Idle;
                    steps.push(OwnershipStep::HandedOver(slot));
                }
                row.observe(version, object);
                self.reconcile(slot, steps);
            }
        }
    }
}

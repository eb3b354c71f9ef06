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

/// what ownership needs to know from the start.
#[derive(Clone, Debug)]
pub struct OwnershipSettings {
    /// this incarnation.
    pub me: Incarnation,
    /// name of this instance.
    pub name: String,
    /// number of slots of the deployment.
    pub slot_count: u32,
    /// how long an owner stays gone before a takeover is tried.
    pub takeover_delay_ms: u64,
    /// how long another member stays proposed for a slot before it moves.
    pub handover_delay_ms: u64,
}

/// what a call to the platform is for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OwnershipCall {
    /// the list or the watch of slot objects.
    Feed,
    /// a write of a slot's object, or reading it back.
    Slot(SlotId),
    /// reading or sealing a journal.
    Journal(SourceKey),
}

/// what ownership wants done.
#[derive(Clone, Debug)]
pub enum OwnershipStep {
    /// make a call and report its result.
    Call(OwnershipCall, PlatformRequest),
    /// a slot without state is ours.
    Acquired(SlotId),
    /// a slot is ours, and its sources are read; build its state from them.
    Load {
        /// slot.
        slot: SlotId,
        /// epoch of its object.
        epoch: u64,
        /// its sources, oldest first.
        sources: Vec<JournalSource>,
        /// whether the last owner may have spent what it had reserved.
        unclean: bool,
    },
    /// hold back new work of a slot, or let it go on.
    Drain(SlotId, bool),
    /// a slot is given to another owner.
    HandedOver(SlotId),
    /// a journal was sealed here.
    JournalSealed(Incarnation),
    /// a journal cannot be understood.
    JournalDamaged(String),
    /// another incarnation took a slot over, so this one's journal is sealed.
    Deposed,
}

/// failures in a row after which the move of a slot is stuck.
const STUCK_FAILURES: u32 = 5;

/// where a request for a slot belongs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SlotRoute {
    /// here, now.
    Local,
    /// here or elsewhere, once the slot's move is settled.
    Pending,
    /// elsewhere, once what is under way here has ended.
    Draining,
    /// nowhere for now: the platform does not take the move, and until it does nobody may serve.
    Blocked,
    /// at another instance.
    Remote,
}

/// the member that should hold a slot.
#[derive(Clone, Debug, Default)]
pub(super) struct Proposal {
    /// the member; none when no member takes work.
    pub(super) member: Option<Incarnation>,
    /// since when.
    pub(super) since_ms: u64,
}

/// which slots this incarnation holds.
#[derive(Debug)]
pub struct Ownership {
    pub(super) settings: OwnershipSettings,
    pub(super) view: Option<Arc<MemberView>>,
    /// members that take work, as the proposals were made for them.
    pub(super) taking: Vec<Incarnation>,
    pub(super) proposals: Vec<Proposal>,
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
    /// holds no slot.
    pub fn new(settings: OwnershipSettings) -> Self {
        let count = settings.slot_count as usize;
        Self {
            settings,
            view: None,
            taking: Vec::new(),
            proposals: vec![Proposal::default(); count],
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

    /// the members changed.
    pub fn set_members(&mut self, now: Now, view: Arc<MemberView>) {
        self.view = Some(view);
        self.propose(now);
    }

    /// the members as last seen.
    pub fn view(&self) -> Option<&MemberView> {
        self.view.as_deref()
    }

    /// this instance is leaving: every slot goes to another member.
    pub fn leave(&mut self, now: Now) {
        self.leaving = true;
        self.propose(now);
    }

    /// whether no slot is held or on its way.
    pub fn is_empty(&self) -> bool {
        self.rows.iter().all(|row| row.phase == Phase::Idle && row.write.is_none())
    }

    /// whether some slot is held that no other member can take.
    pub fn has_successor(&self) -> bool {
        self.proposals.iter().any(|proposal| proposal.member.is_some())
    }

    /// slots whose state is in memory.
    pub fn serving_count(&self) -> usize {
        self.rows.iter().filter(|row| matches!(row.phase, Phase::Serving | Phase::Draining)).count()
    }

    /// where a request for `slot` belongs.
    pub fn route(&self, slot: SlotId) -> SlotRoute {
        let row = &self.rows[slot.0 as usize];
        if row.phase == Phase::Serving {
            return SlotRoute::Local;
        }
        if row.write.as_ref().is_some_and(|write| write.failures >= STUCK_FAILURES) {
            return SlotRoute::Blocked;
        }
        if row.phase == Phase::Draining && row.write.is_none() {
            return SlotRoute::Draining;
        }
        if !self.feed.is_listed() || row.phase != Phase::Idle || row.write.is_some() {
            return SlotRoute::Pending;
        }
        let mine = self.is_proposed_here(slot);
        match row.owner() {
            Some(owner) if owner == self.settings.me => SlotRoute::Pending,
            Some(owner) if mine && self.gone_since.contains_key(&owner) => SlotRoute::Pending,
            None if mine => SlotRoute::Pending,
            _ => SlotRoute::Remote,
        }
    }

    /// whether entries of this incarnation's journal may still be read by another owner, or hold state
    /// whose sources are not copied.
    pub fn needs_old_entries(&self) -> bool {
        self.rows.iter().any(|row| {
            let giving = row.write.as_ref().is_some_and(|write| write.kind == WriteKind::Give);
            let mine = row.owner().as_ref() == Some(&self.settings.me);
            let names_me = row.sources().iter().any(|source| source.incarnation == self.settings.me.as_str());
            giving || names_me || (mine && !row.sources().is_empty())
        })
    }

    /// the records of a journal that was read.
    pub fn records(&self, source: &JournalSource) -> impl Iterator<Item = &Record> {
        self.readers.get(&SourceKey::from(source)).into_iter().flat_map(|reader| reader.records())
    }

    /// the table of slots, if it changed since the last time.
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

    /// starts what is due.
    pub fn poll(&mut self, now: Now, steps: &mut Vec<OwnershipStep>) {
        if self.deposed {
            return;
        }
        if let Some(request) = self.feed.poll(now) {
            steps.push(OwnershipStep::Call(OwnershipCall::Feed, request));
        }
        if self.feed.is_listed() && self.view.is_some() {
            self.note_gone(now);
            self.decide(now, steps);
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

    /// takes the reply to a call.
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
                for news in self.feed.reply(now, result) {
                    self.observe(news.slot, news.version, news.object, steps);
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
                if write.kind == WriteKind::Give {
                    row.phase = Phase::Idle;
                    steps.push(OwnershipStep::HandedOver(slot));
                }
                row.observe(version, Some(write.object));
                self.reconcile(slot, steps);
            }
            WriteOutcome::Lost { version, object } => {
                let given = row.write.take().is_some_and(|write| write.kind == WriteKind::Give);
                if given {
                    // An earlier attempt took effect and the slot has moved on, perhaps back to here: what
                    // stands in memory is old.
                    row.phase = Phase::Idle;
                    steps.push(OwnershipStep::HandedOver(slot));
                }
                row.observe(version, object);
                self.reconcile(slot, steps);
            }
        }
    }
}

use std::collections::BTreeMap;
use std::sync::Arc;

use crate::clock::Now;
use crate::config::Configuration;
use crate::ids::ProgramId;
use crate::ids::SlotId;
use crate::owner::OwnerAction;
use crate::program::Outbox;
use crate::program::Program;
use crate::program::ProgramLimits;
use crate::program::SlotPrograms;
use crate::program::budget::RunBounds;
use crate::program::poison::Poison;
use crate::program::refusal::RETRY_SOON_MS;
use crate::program::refusal::refuse_retryable;
use crate::program::refuse;
use crate::program::snapshot::Compaction;
use crate::program::timers::Timer;
use crate::program::timers::Timers;
use crate::schema::OwnerRequest;
use crate::schema::PoisonHeld;
use crate::schema::Problem;
use crate::schema::Record;

/// the programs of all slots that this owner holds.
#[derive(Debug)]
pub struct Programs {
    pub(super) limits: ProgramLimits,
    pub(super) name: String,
    pub(super) configuration: Arc<Configuration>,
    pub(super) slots: BTreeMap<SlotId, SlotPrograms>,
    pub(super) timers: Timers,
    pub(super) jobs: BTreeMap<u64, ProgramId>,
    pub(super) services: BTreeMap<u64, (ProgramId, String)>,
    pub(super) tickets: BTreeMap<u64, ProgramId>,
    pub(super) poison: Poison,
    pub(super) last_id: u64,
    pub(super) stalled: bool,
    pub(super) compaction: Option<Compaction>,
}

impl Programs {
    /// starts without slots; `name` is reported as the owner of each program.
    pub fn new(limits: ProgramLimits, name: String) -> Self {
        Self {
            limits,
            name,
            configuration: Arc::default(),
            slots: BTreeMap::new(),
            timers: Timers::default(),
            jobs: BTreeMap::new(),
            services: BTreeMap::new(),
            tickets: BTreeMap::new(),
            poison: Poison::default(),
            last_id: 1,
            stalled: false,
            compaction: None,
        }
    }

    /// applies a new configuration, and moves up deadlines that became earlier.
    pub fn configure(&mut self, now: Now, configuration: Arc<Configuration>) {
        let old = std::mem::replace(&mut self.configuration, configuration);
        let mut earlier = Vec::new();
        for (id, program) in self.slots.values().flat_map(|slot| &slot.programs) {
            let before = RunBounds::new(&program.opened, &old).deadline_unix_ms;
            let after = RunBounds::new(&program.opened, &self.configuration).deadline_unix_ms;
            // A later deadline needs no timer now: the earlier one sets it when it fires.
            if id.is_root() && after < before {
                earlier.push(id.clone());
            }
        }
        for id in earlier {
            self.arm_deadline(now, &id);
        }
    }

    /// sets whether commits have been stalled for longer than a request should wait.
    pub fn set_stalled(&mut self, stalled: bool) {
        self.stalled = stalled;
    }

    /// whether the state of a slot is in memory.
    pub fn holds_slot(&self, slot: SlotId) -> bool {
        self.slots.contains_key(&slot)
    }

    /// slots whose state is in memory.
    pub fn held_slots(&self) -> Vec<SlotId> {
        self.slots.keys().copied().collect()
    }

    /// number of programs in memory.
    pub fn len(&self) -> usize {
        self.slots.values().map(|slot| slot.programs.len()).sum()
    }

    /// whether no program is in memory.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// identifiers of all programs in memory.
    pub fn ids(&self) -> impl Iterator<Item = ProgramId> + '_ {
        self.slots.values().flat_map(|slot| slot.programs.keys().cloned())
    }

    /// slot that a program hashes to.
    pub fn slot_of(&self, id: &ProgramId) -> SlotId {
        id.slot(self.limits.slot_count)
    }

    /// whether a program exists and has not ended; `None` when its slot is not held here.
    pub fn is_running(&self, id: &ProgramId) -> Option<bool> {
        let slot = self.slots.get(&self.slot_of(id))?;
        Some(slot.programs.get(id).is_some_and(|program| !program.is_ending()))
    }

    /// adds a slot without programs, unless it is there already.
    pub fn add_slot(&mut self, slot: SlotId) {
        self.slots.entry(slot).or_default();
    }

    /// pauses new attempts of calls before a slot is given away, or resumes them.
    pub fn set_draining(&mut self, now: Now, slot: SlotId, draining: bool, out: &mut Outbox) {
        let Some(state) = self.slots.get_mut(&slot) else { return };
        if state.draining == draining {
            return;
        }
        state.draining = draining;
        if draining {
            self.release_idle_calls(slot, out);
        } else {
            self.arm_slot(now, slot);
        }
    }

    /// whether a handover of all slots now would interrupt nothing.
    pub fn is_idle(&self) -> bool {
        self.slots.values().all(SlotPrograms::is_idle)
    }

    /// whether a handover of the slot now would interrupt nothing.
    pub fn is_slot_idle(&self, slot: SlotId) -> bool {
        self.slots.get(&slot).is_none_or(SlotPrograms::is_idle)
    }

    /// drops a slot that another owner serves and cancels its jobs; returns the pending tickets.
    pub fn remove_slot(&mut self, slot: SlotId, out: &mut Outbox) -> Vec<u64> {
        self.slots.remove(&slot);
        let count = self.limits.slot_count;
        let mut waited = Vec::new();
        self.tickets.retain(|ticket, id| {
            let keep = id.slot(count) != slot;
            if !keep {
                waited.push(*ticket);
            }
            keep
        });
        self.jobs.retain(|job, id| {
            let keep = id.slot(count) != slot;
            if !keep {
                out.actions.push(OwnerAction::CancelJob { job: *job });
            }
            keep
        });
        self.services.retain(|_, (id, _)| id.slot(count) != slot);
        waited
    }

    /// handles a request for a slot that is held here.
    pub fn handle_request(&mut self, now: Now, ticket: u64, request: OwnerRequest, out: &mut Outbox) {
        let refused = match request {
            OwnerRequest::Open(open) => self.handle_open(now, ticket, open, out),
            OwnerRequest::Turn(turn) => self.handle_turn(now, ticket, turn, out),
            OwnerRequest::Call(call) => self.handle_call(now, ticket, call, out),
            OwnerRequest::End(end) => self.handle_end(now, ticket, &end, out),
            OwnerRequest::State(state) => self.handle_state(ticket, &state, out),
        };
        if let Err(problem) = refused {
            metrics::counter!("owner_refusals_total", "code" => problem.code.clone()).increment(1);
            out.refuse_fenced(ticket, *problem);
        }
    }

    /// handles the disconnect of a request's caller.
    pub fn cancel_request(&mut self, now: Now, ticket: u64, out: &mut Outbox) {
        let Some(id) = self.tickets.remove(&ticket) else { return };
        let Some(program) = self.program_mut(&id) else { return };
        if let Some(in_flight) = &mut program.in_flight {
            for waiting in [&mut in_flight.opening, &mut in_flight.ending].into_iter().flatten() {
                waiting.retain(|other| *other != ticket);
            }
        }
        for call in program.calls.values_mut() {
            call.waiters.retain(|other| *other != ticket);
        }
        self.cancel_turn(now, &id, ticket, out);
    }

    /// acts on committed records; `position` is that of the last one.
    pub fn handle_commit(&mut self, now: Now, position: u64, records: Vec<Record>, out: &mut Outbox) {
        let first = position - records.len() as u64 + 1;
        for (index, record) in records.into_iter().enumerate() {
            self.record_committed(now, first + index as u64, record, out);
        }
    }

    /// fires the timers that are due.
    pub fn tick(&mut self, now: Now, out: &mut Outbox) {
        for timer in self.timers.take_due(now.ms) {
            match timer {
                Timer::Deadline(id) => self.deadline_due(now, &id, out),
                Timer::Forget(id) => self.forget_due(now, &id, out),
                Timer::Turn(id) => self.turn_due(now, &id, out),
                Timer::Call(id, call) => self.call_due(now, &id, &call, out),
            }
        }
    }

    /// merges what another instance or the platform knows of a content that killed upstreams.
    pub fn merge_poison(&mut self, update: &PoisonHeld) {
        self.poison.merge(update);
    }

    /// all known contents that killed upstreams.
    pub fn poison_entries(&self) -> Vec<PoisonHeld> {
        self.poison.contents().cloned().collect()
    }

    fn record_committed(&mut self, now: Now, position: u64, record: Record, out: &mut Outbox) {
        match record {
            Record::Opened(record) => {
                let id = ProgramId::from(record.program.as_str());
                self.note_commit(&id);
                self.open_committed(&id, out);
            }
            Record::Reserved(record) => {
                let id = ProgramId::from(record.program.as_str());
                self.note_commit(&id);
                self.reserve_committed(now, &id, position, out);
            }
            Record::Turned(record) => {
                let id = ProgramId::from(record.program.as_str());
                self.turn_committed(now, &id, &record, out);
                self.note_commit(&id);
            }
            Record::Charged(record) => self.note_commit(&ProgramId::from(record.program.as_str())),
            Record::Intended(record) => {
                let id = ProgramId::from(record.program.as_str());
                self.note_commit(&id);
                self.intent_committed(now, &id, &record.call, out);
            }
            Record::Resolved(record) => {
                let id = ProgramId::from(record.program.as_str());
                self.note_commit(&id);
                self.outcome_committed(now, &id, record, out);
            }
            Record::Ended(record) => {
                let id = ProgramId::from(record.program.as_str());
                self.note_commit(&id);
                self.end_committed(now, &id, record, out);
            }
            Record::Forgotten(record) => {
                let id = ProgramId::from(record.program.as_str());
                let slot = self.slot_of(&id);
                if let Some(state) = self.slots.get_mut(&slot) {
                    state.programs.remove(&id);
                }
            }
            Record::Imaged(_) | Record::ImagedMessages(_) | Record::ImagedCalls(_) | Record::Adopted(_) => {}
        }
    }

    fn note_commit(&mut self, id: &ProgramId) {
        if let Some(program) = self.program_mut(id) {
            program.record_committed();
        }
    }

    /// appends a record of a program and returns its position.
    pub(super) fn append(&mut self, id: &ProgramId, record: impl Into<Record>, out: &mut Outbox) -> u64 {
        if let Some(program) = self.program_mut(id) {
            program.record_appended();
        }
        out.append(record)
    }

    pub(super) fn program(&self, id: &ProgramId) -> Option<&Program> {
        self.slots.get(&self.slot_of(id))?.programs.get(id)
    }

    pub(super) fn program_mut(&mut self, id: &ProgramId) -> Option<&mut Program> {
        let slot = self.slot_of(id);
        self.slots.get_mut(&slot)?.programs.get_mut(id)
    }

    /// finds a program for a caller; those of other workspaces are reported as unknown.
    pub(super) fn find(&self, id: &ProgramId, workspace: &str) -> Result<&Program, Box<Problem>> {
        match self.program(id) {
            Some(program) if program.opened.workspace == workspace => Ok(program),
            _ => Err(Box::new(refuse(404, "unknown_program", format!("no program {id} in this workspace")))),
        }
    }

    /// finds a program whose opening is committed.
    pub(super) fn find_open(&self, id: &ProgramId, workspace: &str) -> Result<&Program, Box<Problem>> {
        let program = self.find(id, workspace)?;
        if !program.is_open() {
            let detail = "the opening is being committed";
            return Err(Box::new(refuse_retryable(409, "opening", detail, RETRY_SOON_MS)));
        }
        Ok(program)
    }

    /// finds a program to read its state.
    ///
    /// Requests of instances have an empty workspace, which no caller's key belongs to.
    pub(super) fn find_readable(&self, id: &ProgramId, workspace: &str) -> Result<&Program, Box<Problem>> {
        match self.program(id) {
            Some(program) if workspace.is_empty() => Ok(program),
            _ => self.find(id, workspace),
        }
    }

    /// bounds in force for the run that `id` belongs to: its root program and all sub-agents.
    pub(super) fn bounds(&self, id: &ProgramId) -> Option<RunBounds> {
        let root = self.program(&id.root())?;
        Some(RunBounds::new(&root.opened, &self.configuration))
    }

    /// allocates the identifier of a job or of a request to a service.
    pub(super) fn next_id(&mut self) -> u64 {
        self.last_id += 1;
        self.last_id
    }
}

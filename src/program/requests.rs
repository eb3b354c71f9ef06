use crate::clock::Now;
use crate::ids::ProgramId;
use crate::owner::OwnerAction;
use crate::program::Outbox;
use crate::program::Program;
use crate::program::Programs;
use crate::program::budget;
use crate::program::refusal::RETRY_OUTAGE_MS;
use crate::program::refusal::RETRY_SOON_MS;
use crate::program::refusal::refuse_retryable;
use crate::program::refuse;
use crate::program::timers::Timer;
use crate::program::tokens::history_tokens;
use crate::schema::CallAnswer;
use crate::schema::EndedRecord;
use crate::schema::ForgottenRecord;
use crate::schema::ForwardedEnd;
use crate::schema::ForwardedOpen;
use crate::schema::ForwardedState;
use crate::schema::Opened;
use crate::schema::OpenedRecord;
use crate::schema::OwnerEvent;
use crate::schema::Problem;
use crate::schema::ProgramPhase;
use crate::schema::ProgramState;
use crate::timeline::EventKind;

/// outcome of handling a request: accepted, or refused with a problem.
pub(super) type RequestResult = Result<(), Box<Problem>>;

/// wait before the removal of an ended program that is still busy is tried again.
const FORGET_RETRY_MS: u64 = 1000;

/// end reason of a run that passed its deadline.
const DEADLINE_REASON: &str = "deadline";

impl Programs {
    pub(super) fn handle_open(
        &mut self,
        now: Now,
        ticket: u64,
        request: ForwardedOpen,
        out: &mut Outbox,
    ) -> RequestResult {
        let id = ProgramId::from(request.program.as_str());
        if let Some(program) = self.program(&id) {
            check_same_open(program, &request)?;
            return self.join_open(&id, ticket, out);
        }
        self.check_writable()?;
        let record = self.opening_record(now, &id, &request)?;
        let slot = self.slot_of(&id);
        if let Some(state) = self.slots.get_mut(&slot) {
            let mut program = Program::open(record.clone());
            program.in_flight_mut().opening = Some(vec![ticket]);
            state.programs.insert(id.clone(), program);
        }
        self.tickets.insert(ticket, id.clone());
        self.append(&id, record, out);
        self.arm_deadline(now, &id);
        Ok(())
    }

    fn join_open(&mut self, id: &ProgramId, ticket: u64, out: &mut Outbox) -> RequestResult {
        if let Some(program) = self.program_mut(id)
            && let Some(waiting) = program.in_flight.as_mut().and_then(|in_flight| in_flight.opening.as_mut())
        {
            waiting.push(ticket);
            self.tickets.insert(ticket, id.clone());
            return Ok(());
        }
        if let Some(opened) = self.opened_answer(id) {
            out.answer_fenced(ticket, OwnerEvent::Opened(opened));
        }
        Ok(())
    }

    fn opening_record(
        &self,
        now: Now,
        id: &ProgramId,
        request: &ForwardedOpen,
    ) -> Result<OpenedRecord, Box<Problem>> {
        let body = &request.body;
        let Some(entry) = self.configuration.agent_program(&request.workspace, &body.agent_program) else {
            let detail = format!("the workspace has no agent program {}", body.agent_program);
            return Err(Box::new(refuse(404, "unknown_agent_program", detail)));
        };
        let asked = body.budget_tokens.unwrap_or(u64::MAX);
        let mut record = OpenedRecord {
            program: request.program.clone(),
            workspace: request.workspace.clone(),
            agent_program: body.agent_program.clone(),
            model: entry.model.clone(),
            parent: body.parent.clone(),
            budget_tokens: asked.min(entry.budget_tokens),
            asked_budget_tokens: body.budget_tokens,
            max_turns: entry.max_turns,
            deadline_unix_ms: now.unix_ms.saturating_add(entry.deadline_ms),
            opened_unix_ms: now.unix_ms,
            allowance_tokens: 0,
            system_prompt: entry.system_prompt.clone(),
        };
        let prompt_tokens = match Program::open(record.clone()).system_message() {
            Some(message) => history_tokens(&[message]),
            None => 0,
        };
        let first = prompt_tokens + self.limits.allowance_tokens;
        let Some(parent) = &body.parent else {
            if !id.is_root() {
                let detail = "an identifier with a point belongs to a sub-agent and needs its parent";
                return Err(Box::new(refuse(400, "invalid_program", detail)));
            }
            record.allowance_tokens = budget::allowance_tokens(first, record.budget_tokens);
            return Ok(record);
        };
        let parent = ProgramId::from(parent.as_str());
        let suffix = id.as_str().strip_prefix(parent.as_str()).and_then(|rest| rest.strip_prefix('.'));
        if suffix.is_none_or(str::is_empty) {
            let detail = format!("the identifier of a sub-agent starts with {parent}.");
            return Err(Box::new(refuse(400, "invalid_program", detail)));
        }
        let parent_program = self.find(&parent, &request.workspace)?;
        if parent_program.is_ending() || !parent_program.is_open() {
            return Err(Box::new(refuse(409, "program_ended", format!("the parent {parent} has ended"))));
        }
        // The root program is in this slot too: a slot follows from the root's identifier.
        let Some(bounds) = self.bounds(id) else {
            return Err(Box::new(refuse(404, "unknown_program", format!("no root of {id}"))));
        };
        record.budget_tokens = asked.min(bounds.budget_tokens);
        record.max_turns = bounds.max_turns;
        record.deadline_unix_ms = bounds.deadline_unix_ms;
        let state = &self.slots[&self.slot_of(id)];
        let free = budget::free_tokens(state, id, bounds.budget_tokens).min(record.budget_tokens);
        record.allowance_tokens = budget::allowance_tokens(first, free);
        Ok(record)
    }

    pub(super) fn open_committed(&mut self, id: &ProgramId, out: &mut Outbox) {
        let Some(program) = self.program_mut(id) else { return };
        let waiting =
            program.in_flight.as_mut().and_then(|in_flight| in_flight.opening.take()).unwrap_or_default();
        program.prune();
        out.timeline_event(EventKind::ProgramOpened, id, String::new());
        let Some(opened) = self.opened_answer(id) else { return };
        for ticket in waiting {
            self.tickets.remove(&ticket);
            out.answer(ticket, OwnerEvent::Opened(opened.clone()));
        }
    }

    fn opened_answer(&self, id: &ProgramId) -> Option<Opened> {
        let program = self.program(id)?;
        Some(Opened {
            program: id.to_string(),
            history: program.history(),
            budget_tokens: self.budget_tokens(id),
            spent_tokens: self.spent_tokens(id),
        })
    }

    pub(super) fn handle_end(
        &mut self,
        now: Now,
        ticket: u64,
        request: &ForwardedEnd,
        out: &mut Outbox,
    ) -> RequestResult {
        let id = ProgramId::from(request.program.as_str());
        let program = self.find(&id, &request.workspace)?;
        if program.ended.is_some() {
            if let Some(state) = self.program_state(&id) {
                out.answer(ticket, OwnerEvent::Ended(state));
            }
            return Ok(());
        }
        if !program.is_ending() {
            self.check_writable()?;
            self.end_subtree(now, &id, &request.reason, out);
        }
        if let Some(program) = self.program_mut(&id) {
            program.in_flight_mut().ending.get_or_insert_default().push(ticket);
            self.tickets.insert(ticket, id);
        }
        Ok(())
    }

    /// ends a program and all its sub-agents.
    fn end_subtree(&mut self, now: Now, id: &ProgramId, reason: &str, out: &mut Outbox) {
        let Some(state) = self.slots.get(&self.slot_of(id)) else { return };
        for member in state.subtree(id) {
            self.end_one(now, &member, reason, out);
        }
    }

    fn end_one(&mut self, now: Now, id: &ProgramId, reason: &str, out: &mut Outbox) {
        let Some(program) = self.program_mut(id) else { return };
        if program.is_ending() {
            return;
        }
        program.in_flight_mut().ending = Some(Vec::new());
        let record = EndedRecord { program: id.to_string(), reason: reason.to_owned(), unix_ms: now.unix_ms };
        self.append(id, record, out);
        self.stop_turn(id, refuse(409, "program_ended", format!("the program ended: {reason}")), out);
    }

    pub(super) fn end_committed(&mut self, now: Now, id: &ProgramId, record: EndedRecord, out: &mut Outbox) {
        let Some(program) = self.program_mut(id) else { return };
        program.ended = Some(record);
        let waiting =
            program.in_flight.as_mut().and_then(|in_flight| in_flight.ending.take()).unwrap_or_default();
        program.prune();
        out.timeline_event(EventKind::ProgramEnded, id, String::new());
        out.actions.push(OwnerAction::ReleaseProgram { program: id.to_string() });
        self.arm_forget(now, id);
        let Some(state) = self.program_state(id) else { return };
        for ticket in waiting {
            self.tickets.remove(&ticket);
            out.answer(ticket, OwnerEvent::Ended(state.clone()));
        }
    }

    /// states of up to `limit` programs in memory, in the order of their identifiers.
    pub fn list_states(&self, workspace: Option<&str>, limit: usize) -> Vec<ProgramState> {
        let mut ids: Vec<&ProgramId> = Vec::new();
        for slot in self.slots.values() {
            for (id, program) in &slot.programs {
                if workspace.is_none_or(|workspace| program.opened.workspace == workspace) {
                    ids.push(id);
                }
            }
        }
        ids.sort_unstable();
        ids.into_iter().take(limit).filter_map(|id| self.program_state(id)).collect()
    }

    pub(super) fn handle_state(
        &self,
        ticket: u64,
        request: &ForwardedState,
        out: &mut Outbox,
    ) -> RequestResult {
        let id = ProgramId::from(request.program.as_str());
        if !self.find_readable(&id, &request.workspace)?.is_open() {
            let detail = "the opening is being committed";
            return Err(Box::new(refuse_retryable(409, "opening", detail, RETRY_SOON_MS)));
        }
        if let Some(state) = self.program_state(&id) {
            out.answer_fenced(ticket, OwnerEvent::State(state));
        }
        Ok(())
    }

    fn program_state(&self, id: &ProgramId) -> Option<ProgramState> {
        let program = self.program(id)?;
        let slot = self.slots.get(&self.slot_of(id))?;
        let calls: Vec<CallAnswer> = program.calls.values().map(|call| call.answer(false)).collect();
        Some(ProgramState {
            program: id.to_string(),
            workspace: program.opened.workspace.clone(),
            agent_program: program.opened.agent_program.clone(),
            phase: if program.ended.is_some() { ProgramPhase::Ended } else { ProgramPhase::Running },
            history: program.history(),
            budget_tokens: self.budget_tokens(id),
            spent_tokens: self.spent_tokens(id),
            reserved_tokens: slot.reserved_tokens(&id.root()),
            owner: self.name.clone(),
            calls,
            children: slot.descendants(id).map(|(child, _)| child.to_string()).collect(),
            parent: program.opened.parent.clone(),
            ended_reason: program.ended.as_ref().map(|ended| ended.reason.clone()),
        })
    }

    /// tokens charged to the run of `id`.
    pub(super) fn spent_tokens(&self, id: &ProgramId) -> u64 {
        self.slots.get(&self.slot_of(id)).map_or(0, |slot| slot.spent_tokens(&id.root()))
    }

    /// budget in force for the run of `id`.
    pub(super) fn budget_tokens(&self, id: &ProgramId) -> u64 {
        self.bounds(id).map_or(0, |bounds| bounds.budget_tokens)
    }

    /// refuses requests that need a commit while commits are stalled.
    pub(super) fn check_writable(&self) -> RequestResult {
        if !self.stalled {
            return Ok(());
        }
        let detail = "the platform does not take writes; nothing ran";
        Err(Box::new(refuse_retryable(503, "platform_unavailable", detail, RETRY_OUTAGE_MS)))
    }

    pub(super) fn arm_deadline(&mut self, now: Now, id: &ProgramId) {
        if !id.is_root() {
            return;
        }
        let Some(bounds) = self.bounds(id) else { return };
        let left_ms = bounds.deadline_unix_ms.saturating_sub(now.unix_ms);
        self.timers.set(now.ms.saturating_add(left_ms), Timer::Deadline(id.clone()));
    }

    pub(super) fn deadline_due(&mut self, now: Now, id: &ProgramId, out: &mut Outbox) {
        let Some(bounds) = self.bounds(id) else { return };
        let running = self.program(id).is_some_and(|program| !program.is_ending());
        if !running {
            return;
        }
        if now.unix_ms < bounds.deadline_unix_ms {
            self.arm_deadline(now, id);
            return;
        }
        self.end_subtree(now, id, DEADLINE_REASON, out);
    }

    pub(super) fn arm_forget(&mut self, now: Now, id: &ProgramId) {
        let Some(program) = self.program(id) else { return };
        let Some(ended) = &program.ended else { return };
        if !id.is_root() {
            return;
        }
        let due_unix_ms = ended.unix_ms.saturating_add(self.limits.ended_keep_ms);
        let left_ms = due_unix_ms.saturating_sub(now.unix_ms);
        self.timers.set(now.ms.saturating_add(left_ms), Timer::Forget(id.clone()));
    }

    pub(super) fn forget_due(&mut self, now: Now, id: &ProgramId, out: &mut Outbox) {
        let Some(state) = self.slots.get(&self.slot_of(id)) else { return };
        let Some(program) = state.programs.get(id) else { return };
        if program.ended.is_none() {
            return;
        }
        let subtree = state.subtree(id);
        let busy = subtree.iter().any(|member| {
            let program = &state.programs[member];
            program.in_flight.is_some() || program.calls.values().any(|call| call.is_unresolved())
        });
        if busy || state.draining {
            self.timers.set(now.ms + FORGET_RETRY_MS, Timer::Forget(id.clone()));
            return;
        }
        for member in subtree {
            self.append(&member, ForgottenRecord { program: member.to_string() }, out);
        }
    }

    /// schedules the timers of all programs of a slot.
    pub(super) fn arm_slot(&mut self, now: Now, slot: crate::ids::SlotId) {
        let Some(state) = self.slots.get(&slot) else { return };
        let ids: Vec<ProgramId> = state.programs.keys().cloned().collect();
        for id in ids {
            self.arm_deadline(now, &id);
            self.arm_forget(now, &id);
            self.arm_calls(now, &id);
        }
    }
}

fn check_same_open(program: &Program, request: &ForwardedOpen) -> RequestResult {
    if program.opened.workspace != request.workspace {
        return Err(Box::new(refuse(409, "program_exists", "the identifier is taken")));
    }
    let same = program.opened.agent_program == request.body.agent_program
        && program.opened.parent == request.body.parent
        && program.opened.asked_budget_tokens == request.body.budget_tokens;
    if same {
        return Ok(());
    }
    let detail = "a program with this identifier was opened with other content";
    Err(Box::new(refuse(409, "program_exists", detail)))
}

use std::sync::Arc;

use crate::clock::Now;
use crate::ids::ProgramId;
use crate::ids::SlotId;
use crate::journal::JournalStep;
use crate::journal::JournalWriter;
use crate::journal::Sweeper;
use crate::member::MemberView;
use crate::owner::OwnerAction;
use crate::owner::OwnerInput;
use crate::owner::OwnerSettings;
use crate::owner::fenced::FencedAnswer;
use crate::owner::platform_calls::PlatformCalls;
use crate::owner::platform_calls::Purpose;
use crate::owner::poison_store::PoisonStore;
use crate::owner::refusals::fence_failed;
use crate::owner::refusals::move_blocked;
use crate::owner::refusals::not_owner;
use crate::owner::refusals::owner_moved;
use crate::owner::refusals::slot_moving;
use crate::owner::upkeep::Trim;
use crate::owner::wait_queue::WaitQueue;
use crate::owner::wait_queue::WaitingRequest;
use crate::owner::wait_queue::program_of;
use crate::ownership::Ownership;
use crate::ownership::OwnershipSettings;
use crate::ownership::OwnershipStep;
use crate::ownership::SlotRoute;
use crate::platform::PlatformResult;
use crate::program::Outbox;
use crate::program::ProgramLimits;
use crate::program::Programs;
use crate::program::Replay;
use crate::schema::OwnerRequest;
use crate::schema::PoisonHeld;
use crate::schema::ProgramState;
use crate::timeline::EventKind;

/// age of a commit from which on the platform counts as not accepting writes; also the retry delay then.
pub(super) const STALL_MS: u64 = 2000;

/// how long a request waits for a pending move of its slot.
const MOVE_WAIT_MS: u64 = 5000;

/// retry delay for a request whose slot is served by another owner.
pub(super) const RETRY_MOVED_MS: u64 = 50;

/// the owner of programs at this instance.
#[derive(Debug)]
pub struct Owner {
    pub(super) settings: OwnerSettings,
    pub(super) journal: JournalWriter,
    pub(super) ownership: Ownership,
    pub(super) programs: Programs,
    pub(super) poison: PoisonStore,
    pub(super) sweeper: Sweeper,
    pub(super) calls: PlatformCalls,
    pub(super) waiting: WaitQueue,
    pub(super) ownership_steps: Vec<OwnershipStep>,
    /// whether ownership has to be polled, since an input may have changed a slot.
    pub(super) poll_ownership: bool,
    pub(super) fenced: Vec<FencedAnswer>,
    pub(super) trim: Trim,
    pub(super) leaving_since_ms: Option<u64>,
    pub(super) stage: Stage,
}

/// stage in the lifetime of an owner.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Stage {
    /// serves requests.
    Running,
    /// has drained and writes its own seal.
    Closing,
    /// refuses every request.
    Stopped,
}

impl Owner {
    /// creates an owner without slots.
    pub fn new(settings: OwnerSettings, now: Now) -> Self {
        let limits = ProgramLimits::new(&settings.state, &settings.limits, settings.slot_count);
        let ownership = OwnershipSettings {
            me: settings.me.clone(),
            name: settings.name.clone(),
            slot_count: settings.slot_count,
            takeover_delay_ms: settings.state.takeover_delay_ms,
            handover_delay_ms: settings.state.handover_delay_ms,
        };
        Self {
            journal: JournalWriter::new(
                settings.me.clone(),
                settings.state.gather_ms,
                settings.state.max_entry_bytes,
            ),
            ownership: Ownership::new(ownership),
            programs: Programs::new(limits, settings.name.clone()),
            poison: PoisonStore::new(),
            sweeper: Sweeper::new(settings.me.clone(), settings.state.sweep_ms, now),
            calls: PlatformCalls::default(),
            waiting: WaitQueue::default(),
            ownership_steps: Vec::new(),
            poll_ownership: true,
            fenced: Vec::new(),
            trim: Trim::default(),
            leaving_since_ms: None,
            stage: Stage::Running,
            settings,
        }
    }

    /// handles one input and returns the actions to perform, in order.
    pub fn handle(&mut self, now: Now, input: OwnerInput) -> Vec<OwnerAction> {
        let mut out = Outbox::new(self.journal.appended());
        match self.stage {
            Stage::Running => {}
            Stage::Closing => {
                self.handle_closing(now, input, &mut out);
                return out.actions;
            }
            Stage::Stopped => {
                self.refuse_after_stop(input, &mut out);
                return out.actions;
            }
        }
        self.programs.set_stalled(self.journal.stalled_ms(now) > STALL_MS);
        self.apply_input(now, input, &mut out);
        self.advance(now, &mut out);
        out.actions
    }

    /// whether a program exists and has not ended; `None` when its slot is not held here.
    pub fn is_running(&self, program: &str) -> Option<bool> {
        self.programs.is_running(&ProgramId::from(program))
    }

    /// number of slots served.
    pub fn served_slots(&self) -> usize {
        self.ownership.serving_count()
    }

    /// number of programs in memory.
    pub fn program_count(&self) -> usize {
        self.programs.len()
    }

    /// number of entries written to the journal.
    pub fn journal_entries(&self) -> u64 {
        self.journal.last_number()
    }

    /// encoded bytes written to the journal.
    pub fn journal_bytes(&self) -> u64 {
        self.journal.written_bytes()
    }

    /// number of calls made to the platform.
    pub fn platform_calls(&self) -> u64 {
        self.calls.count()
    }

    /// states of up to `limit` programs, in the order of their identifiers.
    pub fn program_states(&self, workspace: Option<&str>, limit: usize) -> Vec<ProgramState> {
        self.programs.list_states(workspace, limit)
    }

    /// contents that replicas died of, whether held back or not.
    pub fn poison_entries(&self) -> Vec<PoisonHeld> {
        self.programs.poison_entries()
    }

    fn apply_input(&mut self, now: Now, input: OwnerInput, out: &mut Outbox) {
        self.poll_ownership |=
            matches!(&input, OwnerInput::Members(_) | OwnerInput::Tick | OwnerInput::Leave);
        match input {
            OwnerInput::Members(view) => {
                self.set_commit_rate(&view);
                self.ownership.set_members(now, view);
            }
            OwnerInput::Configuration(configuration) => self.programs.configure(now, configuration),
            OwnerInput::Request { ticket, request } => self.handle_request(now, ticket, request, out),
            OwnerInput::Cancel { ticket } => {
                self.waiting.cancel(ticket);
                self.programs.cancel_request(now, ticket, out);
            }
            OwnerInput::Platform { call, result } => self.handle_platform_reply(now, call, result, out),
            OwnerInput::Job { job, event } => self.programs.handle_job(now, job, event, out),
            OwnerInput::Service { service, outcome } => {
                self.programs.handle_service(now, service, outcome, out)
            }
            OwnerInput::Lookup { service, outcome } => {
                self.programs.handle_look_up(now, service, outcome, out)
            }
            OwnerInput::Poison(held) => self.programs.merge_poison(&held),
            OwnerInput::Tick => {
                self.programs.tick(now, out);
                self.refuse_expired(now, out);
            }
            OwnerInput::Leave => {
                self.leaving_since_ms.get_or_insert(now.ms);
                self.ownership.leave(now);
            }
        }
    }

    /// limits the commit rate to this instance's equal share of the platform's writes per second.
    fn set_commit_rate(&mut self, view: &MemberView) {
        let sharers = view.members.iter().filter(|member| member.accepts_work()).count().max(1) as u64;
        // Each entry takes two writes: one creates it, one deletes it.
        self.journal.set_commit_interval(2 * sharers * 1000 / self.settings.state.writes_per_second.max(1));
    }

    /// where to handle a request; a draining slot is blocked while its last commits do not get through.
    fn route(&self, now: Now, slot: SlotId) -> SlotRoute {
        match self.ownership.route(slot) {
            SlotRoute::Draining if self.journal.stalled_ms(now) > STALL_MS => SlotRoute::Blocked,
            route => route,
        }
    }

    fn handle_request(&mut self, now: Now, ticket: u64, request: OwnerRequest, out: &mut Outbox) {
        let slot = program_of(&request).slot(self.settings.slot_count);
        match self.route(now, slot) {
            SlotRoute::Local if self.programs.holds_slot(slot) => {
                self.programs.handle_request(now, ticket, request, out)
            }
            SlotRoute::Remote => out.refuse(ticket, not_owner(slot)),
            SlotRoute::Blocked => out.refuse(ticket, move_blocked()),
            route => {
                let timeout_ms = self.settings.limits.request_timeout_ms;
                // A move takes a few platform calls; a drain takes as long as the turns in flight.
                let wait_ms =
                    if route == SlotRoute::Draining { timeout_ms } else { timeout_ms.min(MOVE_WAIT_MS) };
                let deadline_ms = now.ms + wait_ms;
                if let Err(ticket) = self.waiting.push(WaitingRequest { ticket, request, deadline_ms }) {
                    out.refuse(ticket, slot_moving());
                }
            }
        }
    }

    fn handle_platform_reply(&mut self, now: Now, call: u64, result: PlatformResult, out: &mut Outbox) {
        match self.calls.finish(call) {
            Some(Purpose::Journal) => {
                if let Some(step) = self.journal.reply(now, &result) {
                    self.apply_journal_step(now, step, out);
                }
            }
            Some(Purpose::Ownership(call)) => {
                self.poll_ownership = true;
                self.ownership.reply(now, call, result, &mut self.ownership_steps);
            }
            Some(Purpose::Sweep) => self.sweeper.reply(now, result),
            Some(Purpose::Trim) => self.handle_trimmed(now, &result),
            Some(Purpose::Poison) => {
                let (listed, next) = self.poison.reply(now, result);
                for held in &listed {
                    self.programs.merge_poison(held);
                }
                if let Some(request) = next {
                    out.actions.push(self.calls.start(Purpose::Poison, request));
                }
            }
            None => {}
        }
    }

    /// carries the effects of an input through programs, ownership and journal until no further step is due.
    fn advance(&mut self, now: Now, out: &mut Outbox) {
        loop {
            self.append_records(out);
            let moved = self.update_slots(now, out);
            self.hold_fenced(now, out);
            let handed_over = self.hand_over_drained(now);
            let adopted = self.snapshot(now, out);
            self.poll_ownership |= handed_over || adopted;
            self.append_records(out);
            let step = self.journal.poll(now);
            let committing = step.is_some();
            if let Some(step) = step {
                self.apply_journal_step(now, step, out);
            }
            if self.stage != Stage::Running || !(moved || committing || self.poll_ownership) {
                break;
            }
        }
        if self.stage != Stage::Running {
            return;
        }
        self.release_fenced(now, out);
        self.store_poison(now, out);
        self.trim(now, out);
        self.sweep(now, out);
        self.publish_slots(out);
        self.leave_if_drained(now, out);
    }

    /// performs the steps of slot ownership that are due; returns whether there were any.
    fn update_slots(&mut self, now: Now, out: &mut Outbox) -> bool {
        if std::mem::take(&mut self.poll_ownership) {
            self.ownership.poll(now, &mut self.ownership_steps);
        } else if self.ownership_steps.is_empty() {
            return false;
        }
        let steps = std::mem::take(&mut self.ownership_steps);
        let moved = !steps.is_empty();
        self.poll_ownership = moved;
        for step in steps {
            self.apply_ownership_step(now, step, out);
        }
        self.retry_waiting(now, out);
        moved
    }

    pub(super) fn append_records(&mut self, out: &mut Outbox) {
        for record in out.records.drain(..) {
            self.journal.append(record);
        }
        out.appended = self.journal.appended();
    }

    pub(super) fn apply_journal_step(&mut self, now: Now, step: JournalStep, out: &mut Outbox) {
        match step {
            JournalStep::Call(request) => out.actions.push(self.calls.start(Purpose::Journal, request)),
            JournalStep::Committed(records) => {
                metrics::counter!("owner_commits_total").increment(1);
                metrics::counter!("owner_records_total").increment(records.len() as u64);
                self.append_records(out);
                self.programs.handle_commit(now, self.journal.committed(), records, out);
            }
            JournalStep::FencePassed => {}
            JournalStep::Sealed => self.depose(out),
        }
    }

    fn apply_ownership_step(&mut self, now: Now, step: OwnershipStep, out: &mut Outbox) {
        match step {
            OwnershipStep::Call(call, request) => {
                out.actions.push(self.calls.start(Purpose::Ownership(call), request));
            }
            OwnershipStep::Acquired(slot) => {
                metrics::counter!("owner_slots_taken_total", "how" => "empty").increment(1);
                self.programs.add_slot(slot);
                slot_event(EventKind::SlotTaken, slot, "empty", out);
            }
            OwnershipStep::Load { slot, epoch, sources, unclean } => {
                let mut replay = Replay::new(slot, self.settings.slot_count);
                for source in &sources {
                    replay.apply_journal(self.ownership.records(source), source.epoch);
                }
                self.append_records(out);
                self.programs.adopt(now, slot, epoch, replay.into_state(), unclean, out);
                let how = if unclean { "takeover" } else { "handover" };
                metrics::counter!("owner_slots_taken_total", "how" => how).increment(1);
                slot_event(EventKind::SlotTaken, slot, how, out);
            }
            OwnershipStep::Drain(slot, draining) => self.programs.set_draining(now, slot, draining, out),
            OwnershipStep::HandedOver(slot) => {
                for ticket in self.programs.remove_slot(slot, out) {
                    out.refuse(ticket, owner_moved(slot));
                }
                metrics::counter!("owner_slots_given_total").increment(1);
                slot_event(EventKind::SlotGiven, slot, "", out);
            }
            OwnershipStep::JournalSealed(journal) => {
                let subject = Some(format!("journal/{journal}"));
                let detail = "the owner is believed to be gone".to_owned();
                out.actions.push(OwnerAction::Event {
                    what: EventKind::JournalSealed,
                    program: None,
                    subject,
                    detail,
                });
            }
            OwnershipStep::JournalDamaged(why) => {
                metrics::counter!("owner_damaged_objects_total").increment(1);
                let subject = Some("journal".to_owned());
                out.actions.push(OwnerAction::Event {
                    what: EventKind::PlatformChanged,
                    program: None,
                    subject,
                    detail: why,
                });
            }
            OwnershipStep::Deposed => self.depose(out),
        }
    }

    fn retry_waiting(&mut self, now: Now, out: &mut Outbox) {
        if self.waiting.is_empty() {
            return;
        }
        for waiting in self.waiting.take_all() {
            let slot = program_of(&waiting.request).slot(self.settings.slot_count);
            match self.route(now, slot) {
                SlotRoute::Local if self.programs.holds_slot(slot) => {
                    self.append_records(out);
                    self.programs.handle_request(now, waiting.ticket, waiting.request, out);
                }
                SlotRoute::Remote => out.refuse(waiting.ticket, not_owner(slot)),
                SlotRoute::Blocked => out.refuse(waiting.ticket, move_blocked()),
                SlotRoute::Local | SlotRoute::Pending | SlotRoute::Draining => {
                    // Always fits, since the queue was just emptied.
                    let _ = self.waiting.push(waiting);
                }
            }
        }
    }

    fn hand_over_drained(&mut self, now: Now) -> bool {
        let mut handed_over = false;
        for slot in self.ownership.draining() {
            if self.programs.is_slot_idle(slot) {
                handed_over |= self.ownership.hand_over(now, slot, self.journal.last_number());
            }
        }
        handed_over
    }

    fn store_poison(&mut self, now: Now, out: &mut Outbox) {
        for action in &out.actions {
            if let OwnerAction::Poison(held) = action {
                self.poison.store(held.clone());
            }
        }
        if let Some(request) = self.poison.poll(now) {
            out.actions.push(self.calls.start(Purpose::Poison, request));
        }
    }

    fn publish_slots(&mut self, out: &mut Outbox) {
        if let Some(table) = self.ownership.take_table() {
            out.actions.push(OwnerAction::Slots(Arc::new(table)));
        }
    }

    fn refuse_expired(&mut self, now: Now, out: &mut Outbox) {
        for ticket in self.waiting.take_expired(now) {
            out.refuse(ticket, slot_moving());
        }
    }

    /// stops this owner, since another incarnation sealed its journal: what was not committed is dropped.
    fn depose(&mut self, out: &mut Outbox) {
        if self.stage == Stage::Stopped {
            return;
        }
        self.stage = Stage::Stopped;
        out.records.clear();
        self.refuse_all(out);
        metrics::counter!("owner_deposed_total").increment(1);
        out.actions.push(OwnerAction::Deposed);
        let subject = Some(self.settings.me.to_string());
        let detail = "another incarnation took over".to_owned();
        out.actions.push(OwnerAction::Event { what: EventKind::Deposed, program: None, subject, detail });
    }

    /// refuses every request that is in progress, waits, or whose answer waits for a fence.
    pub(super) fn refuse_all(&mut self, out: &mut Outbox) {
        for slot in self.programs.held_slots() {
            for ticket in self.programs.remove_slot(slot, out) {
                out.refuse(ticket, owner_moved(slot));
            }
        }
        for waiting in self.waiting.take_all() {
            let slot = program_of(&waiting.request).slot(self.settings.slot_count);
            out.refuse(waiting.ticket, not_owner(slot));
        }
        let new = out.fenced.drain(..).map(|(ticket, _)| ticket);
        let tickets: Vec<u64> = self.fenced.drain(..).map(|answer| answer.ticket).chain(new).collect();
        for ticket in tickets {
            out.refuse(ticket, fence_failed());
        }
    }

    pub(super) fn refuse_after_stop(&self, input: OwnerInput, out: &mut Outbox) {
        if let OwnerInput::Request { ticket, request } = input {
            out.refuse(ticket, not_owner(program_of(&request).slot(self.settings.slot_count)));
        }
    }
}

fn slot_event(what: EventKind, slot: SlotId, detail: &str, out: &mut Outbox) {
    let subject = Some(format!("slot/{:06}", slot.0));
    out.actions.push(OwnerAction::Event { what, program: None, subject, detail: detail.to_owned() });
}

use std::sync::Arc;

use crate::clock::Now;
use crate::ids::ProgramId;
use crate::ids::SlotId;
use crate::journal::JournalStep;
use crate::journal::JournalWriter;
use crate::journal::Sweeper;
use crate::member::MemberView;
use crate::owner::Action;
use crate::owner::Input;
use crate::owner::OwnerSettings;
use crate::owner::fenced::FencedAnswer;
use crate::owner::platform_calls::PlatformCalls;
use crate::owner::platform_calls::Purpose;
use crate::owner::poison_store::PoisonStore;
use crate::owner::refusals::busy;
use crate::owner::refusals::move_stuck;
use crate::owner::refusals::not_owner;
use crate::owner::refusals::owner_moved;
use crate::owner::refusals::stopped;
use crate::owner::upkeep::Trim;
use crate::owner::waiting::Waiting;
use crate::owner::waiting::WaitingRequest;
use crate::owner::waiting::program_of;
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
use crate::timeline::What;

/// a commit that takes longer than this means that the platform does not take writes.
pub(super) const STALL_MS: u64 = 2000;

/// how long a request waits for a slot that is being moved here.
const MOVE_WAIT_MS: u64 = 5000;

/// wait before a request for a slot of another owner is sent again.
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
    pub(super) waiting: Waiting,
    pub(super) steps: Vec<OwnershipStep>,
    pub(super) slots_due: bool,
    pub(super) fenced: Vec<FencedAnswer>,
    pub(super) trim: Trim,
    pub(super) leaving_since_ms: Option<u64>,
    pub(super) stage: Stage,
}

/// how far the life of an owner has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Stage {
    /// it serves.
    Running,
    /// it has given everything away and writes its own seal.
    Closing,
    /// it does nothing any more.
    Stopped,
}

impl Owner {
    /// an owner that holds no slot yet.
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
            waiting: Waiting::default(),
            steps: Vec::new(),
            slots_due: true,
            fenced: Vec::new(),
            trim: Trim::default(),
            leaving_since_ms: None,
            stage: Stage::Running,
            settings,
        }
    }

    /// takes one input and says what is to be done.
    pub fn handle(&mut self, now: Now, input: Input) -> Vec<Action> {
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
        self.take(now, input, &mut out);
        self.advance(now, &mut out);
        out.actions
    }

    /// whether a program is held here and running; `None` when its slot is not held here.
    pub fn is_running(&self, program: &str) -> Option<bool> {
        self.programs.is_running(&ProgramId::from(program))
    }

    /// slots whose state is in memory.
    pub fn slots(&self) -> usize {
        self.ownership.serving_count()
    }

    /// programs held.
    pub fn programs(&self) -> usize {
        self.programs.len()
    }

    /// entries written to the journal.
    pub fn journal_entries(&self) -> u64 {
        self.journal.last_number()
    }

    /// encoded bytes written to the journal.
    pub fn journal_bytes(&self) -> u64 {
        self.journal.written_bytes()
    }

    /// calls made to the platform.
    pub fn platform_calls(&self) -> u64 {
        self.calls.count()
    }

    /// states of the programs held here, by name.
    pub fn program_states(&self, workspace: Option<&str>, limit: usize) -> Vec<ProgramState> {
        self.programs.list_states(workspace, limit)
    }

    /// contents that are held back or were.
    pub fn poison(&self) -> Vec<PoisonHeld> {
        self.programs.poison_entries()
    }

    fn take(&mut self, now: Now, input: Input, out: &mut Outbox) {
        self.slots_due |= matches!(&input, Input::Members(_) | Input::Tick | Input::Leave);
        match input {
            Input::Members(view) => {
                self.share_writes(&view);
                self.ownership.set_members(now, view);
            }
            Input::Configuration(configuration) => self.programs.configure(now, configuration),
            Input::Request { ticket, request } => self.request(now, ticket, request, out),
            Input::Cancel { ticket } => {
                self.waiting.cancel(ticket);
                self.programs.cancel_request(now, ticket, out);
            }
            Input::Platform { call, result } => self.platform_reply(now, call, result, out),
            Input::Job { job, event } => self.programs.handle_job(now, job, event, out),
            Input::Service { service, outcome } => self.programs.handle_service(now, service, outcome, out),
            Input::LookUp { service, outcome } => self.programs.handle_look_up(now, service, outcome, out),
            Input::Poison(held) => self.programs.merge_poison(&held),
            Input::Tick => {
                self.programs.tick(now, out);
                self.tick(now, out);
            }
            Input::Leave => {
                self.leaving_since_ms.get_or_insert(now.ms);
                self.ownership.leave(now);
            }
        }
    }

    /// bounds the commits of this instance to its share of what the platform takes.
    fn share_writes(&mut self, view: &MemberView) {
        let sharing = view.members.iter().filter(|member| member.accepts_work()).count().max(1) as u64;
        // Each entry is written once and deleted once.
        self.journal.set_pause(2 * sharing * 1000 / self.settings.state.writes_per_second.max(1));
    }

    /// where a request belongs; a slot whose last commits do not get through cannot move either.
    fn place(&self, now: Now, slot: SlotId) -> SlotRoute {
        match self.ownership.route(slot) {
            SlotRoute::Draining if self.journal.stalled_ms(now) > STALL_MS => SlotRoute::Blocked,
            place => place,
        }
    }

    fn request(&mut self, now: Now, ticket: u64, request: OwnerRequest, out: &mut Outbox) {
        let slot = program_of(&request).slot(self.settings.slot_count);
        match self.place(now, slot) {
            SlotRoute::Local if self.programs.holds_slot(slot) => {
                self.programs.handle_request(now, ticket, request, out)
            }
            SlotRoute::Remote => out.refuse(ticket, not_owner(slot)),
            SlotRoute::Blocked => out.refuse(ticket, move_stuck()),
            place => {
                let longest_ms = self.settings.limits.request_timeout_ms;
                // A move is a matter of some platform calls; a drain lasts as long as the turns under way.
                let wait_ms =
                    if place == SlotRoute::Draining { longest_ms } else { longest_ms.min(MOVE_WAIT_MS) };
                let until_ms = now.ms + wait_ms;
                if let Err(ticket) = self.waiting.push(WaitingRequest { ticket, request, until_ms }) {
                    out.refuse(ticket, busy());
                }
            }
        }
    }

    fn platform_reply(&mut self, now: Now, call: u64, result: PlatformResult, out: &mut Outbox) {
        match self.calls.finish(call) {
            Some(Purpose::Journal) => {
                if let Some(step) = self.journal.reply(now, &result) {
                    self.journal_step(now, step, out);
                }
            }
            Some(Purpose::Ownership(call)) => {
                self.slots_due = true;
                self.ownership.reply(now, call, result, &mut self.steps);
            }
            Some(Purpose::Sweep) => self.sweeper.reply(now, result),
            Some(Purpose::Trim) => self.trimmed(now, &result),
            Some(Purpose::Poison) => {
                let (news, next) = self.poison.reply(now, result);
                for held in &news {
                    self.programs.merge_poison(held);
                }
                if let Some(request) = next {
                    out.actions.push(self.calls.start(Purpose::Poison, request));
                }
            }
            None => {}
        }
    }

    /// does all that has become possible, until nothing more has.
    fn advance(&mut self, now: Now, out: &mut Outbox) {
        loop {
            self.move_records(out);
            let moved = self.move_slots(now, out);
            self.hold_fenced(now, out);
            let given = self.give_drained(now);
            let cleared = self.snapshot(now, out);
            self.slots_due |= given || cleared;
            self.move_records(out);
            let step = self.journal.poll(now);
            let committing = step.is_some();
            if let Some(step) = step {
                self.journal_step(now, step, out);
            }
            if self.stage != Stage::Running || !(moved || committing || self.slots_due) {
                break;
            }
        }
        if self.stage != Stage::Running {
            return;
        }
        self.release_fenced(now, out);
        self.keep_poison(now, out);
        self.trim(now, out);
        self.sweep(now, out);
        self.publish(out);
        self.consider_left(now, out);
    }

    /// looks at the slots when something about them may have changed.
    fn move_slots(&mut self, now: Now, out: &mut Outbox) -> bool {
        if std::mem::take(&mut self.slots_due) {
            self.ownership.poll(now, &mut self.steps);
        } else if self.steps.is_empty() {
            return false;
        }
        let steps = std::mem::take(&mut self.steps);
        let moved = !steps.is_empty();
        self.slots_due = moved;
        for step in steps {
            self.ownership_step(now, step, out);
        }
        self.serve_waiting(now, out);
        moved
    }

    pub(super) fn move_records(&mut self, out: &mut Outbox) {
        for record in out.records.drain(..) {
            self.journal.append(record);
        }
        out.appended = self.journal.appended();
    }

    pub(super) fn journal_step(&mut self, now: Now, step: JournalStep, out: &mut Outbox) {
        match step {
            JournalStep::Call(request) => out.actions.push(self.calls.start(Purpose::Journal, request)),
            JournalStep::Committed(records) => {
                metrics::counter!("owner_commits_total").increment(1);
                metrics::counter!("owner_records_total").increment(records.len() as u64);
                self.move_records(out);
                self.programs.handle_commit(now, self.journal.committed(), records, out);
            }
            JournalStep::Fenced => {}
            JournalStep::Sealed => self.stop(out),
        }
    }

    fn ownership_step(&mut self, now: Now, step: OwnershipStep, out: &mut Outbox) {
        match step {
            OwnershipStep::Call(call, request) => {
                out.actions.push(self.calls.start(Purpose::Ownership(call), request));
            }
            OwnershipStep::Acquired(slot) => {
                metrics::counter!("owner_slots_taken_total", "how" => "empty").increment(1);
                self.programs.add_slot(slot);
                slot_event(What::SlotTaken, slot, "empty", out);
            }
            OwnershipStep::Load { slot, epoch, sources, unclean } => {
                let mut replay = Replay::new(slot, self.settings.slot_count);
                for source in &sources {
                    replay.apply_journal(self.ownership.records(source), source.epoch);
                }
                self.move_records(out);
                self.programs.adopt(now, slot, epoch, replay.into_state(), unclean, out);
                let how = if unclean { "takeover" } else { "handover" };
                metrics::counter!("owner_slots_taken_total", "how" => how).increment(1);
                slot_event(What::SlotTaken, slot, how, out);
            }
            OwnershipStep::Drain(slot, draining) => self.programs.set_draining(now, slot, draining, out),
            OwnershipStep::HandedOver(slot) => {
                for ticket in self.programs.remove_slot(slot, out) {
                    out.refuse(ticket, owner_moved(slot));
                }
                metrics::counter!("owner_slots_given_total").increment(1);
                slot_event(What::SlotGiven, slot, "", out);
            }
            OwnershipStep::JournalSealed(journal) => {
                let subject = Some(format!("journal/{journal}"));
                let detail = "the owner is believed to be gone".to_owned();
                out.actions.push(Action::Event { what: What::JournalSealed, program: None, subject, detail });
            }
            OwnershipStep::JournalDamaged(why) => {
                metrics::counter!("owner_damaged_objects_total").increment(1);
                let subject = Some("journal".to_owned());
                out.actions.push(Action::Event {
                    what: What::PlatformChanged,
                    program: None,
                    subject,
                    detail: why,
                });
            }
            OwnershipStep::Deposed => self.stop(out),
        }
    }

    fn serve_waiting(&mut self, now: Now, out: &mut Outbox) {
        if self.waiting.is_empty() {
            return;
        }
        for waiting in self.waiting.take() {
            let slot = program_of(&waiting.request).slot(self.settings.slot_count);
            match self.place(now, slot) {
                SlotRoute::Local if self.programs.holds_slot(slot) => {
                    self.move_records(out);
                    self.programs.handle_request(now, waiting.ticket, waiting.request, out);
                }
                SlotRoute::Remote => out.refuse(waiting.ticket, not_owner(slot)),
                SlotRoute::Blocked => out.refuse(waiting.ticket, move_stuck()),
                SlotRoute::Local | SlotRoute::Pending | SlotRoute::Draining => {
                    // There is room: the queue was just emptied.
                    let _ = self.waiting.push(waiting);
                }
            }
        }
    }

    fn give_drained(&mut self, now: Now) -> bool {
        let mut given = false;
        for slot in self.ownership.draining() {
            if self.programs.is_slot_idle(slot) {
                given |= self.ownership.hand_over(now, slot, self.journal.last_number());
            }
        }
        given
    }

    fn keep_poison(&mut self, now: Now, out: &mut Outbox) {
        for action in &out.actions {
            if let Action::Poison(held) = action {
                self.poison.keep(held.clone());
            }
        }
        if let Some(request) = self.poison.poll(now) {
            out.actions.push(self.calls.start(Purpose::Poison, request));
        }
    }

    fn publish(&mut self, out: &mut Outbox) {
        if let Some(table) = self.ownership.take_table() {
            out.actions.push(Action::Slots(Arc::new(table)));
        }
    }

    fn tick(&mut self, now: Now, out: &mut Outbox) {
        for ticket in self.waiting.take_late(now) {
            out.refuse(ticket, busy());
        }
    }

    /// another incarnation sealed the journal: nothing more is released from here.
    fn stop(&mut self, out: &mut Outbox) {
        if self.stage == Stage::Stopped {
            return;
        }
        self.stage = Stage::Stopped;
        out.records.clear();
        self.refuse_all(out);
        metrics::counter!("owner_deposed_total").increment(1);
        out.actions.push(Action::Deposed);
        let subject = Some(self.settings.me.to_string());
        let detail = "another incarnation took over".to_owned();
        out.actions.push(Action::Event { what: What::Deposed, program: None, subject, detail });
    }

    pub(super) fn refuse_all(&mut self, out: &mut Outbox) {
        for slot in self.programs.held_slots() {
            for ticket in self.programs.remove_slot(slot, out) {
                out.refuse(ticket, owner_moved(slot));
            }
        }
        for waiting in self.waiting.take() {
            let slot = program_of(&waiting.request).slot(self.settings.slot_count);
            out.refuse(waiting.ticket, not_owner(slot));
        }
        let unsent = out.fenced.drain(..).map(|(ticket, _)| ticket);
        let tickets: Vec<u64> = self.fenced.drain(..).map(|answer| answer.ticket).chain(unsent).collect();
        for ticket in tickets {
            out.refuse(ticket, stopped());
        }
    }

    pub(super) fn refuse_after_stop(&self, input: Input, out: &mut Outbox) {
        if let Input::Request { ticket, request } = input {
            out.refuse(ticket, not_owner(program_of(&request).slot(self.settings.slot_count)));
        }
    }
}

fn slot_event(what: What, slot: SlotId, detail: &str, out: &mut Outbox) {
    let subject = Some(format!("slot/{:06}", slot.0));
    out.actions.push(Action::Event { what, program: None, subject, detail: detail.to_owned() });
}

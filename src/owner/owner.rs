use std::sync::Arc;

use crate::clock::Now;
use crate::ids::ProgramId;
use crate::ids::SlotId;
use crate::journal::JournalStep;
use crate::journal::JournalWriter;
use crate::journal::journal_key;
use crate::owner::Action;
use crate::owner::Input;
use crate::owner::OwnerSettings;
use crate::owner::platform_calls::PlatformCalls;
use crate::owner::platform_calls::Purpose;
use crate::owner::poison_store::PoisonStore;
use crate::owner::waiting::Waiting;
use crate::owner::waiting::WaitingRequest;
use crate::owner::waiting::program_of;
use crate::ownership::Ownership;
use crate::ownership::OwnershipSettings;
use crate::ownership::OwnershipStep;
use crate::ownership::Place;
use crate::platform::PlatformRequest;
use crate::platform::PlatformResult;
use crate::program::Outbox;
use crate::program::ProgramLimits;
use crate::program::Programs;
use crate::program::Replay;
use crate::program::refuse;
use crate::schema::OwnerEvent;
use crate::schema::OwnerRequest;
use crate::schema::Problem;
use crate::schema::Ran;
use crate::timeline::What;

/// a commit that takes longer than this means that the platform does not take writes.
const STALL_MS: u64 = 2000;

/// how long an answer waits for proof that no other owner has taken over.
const FENCE_WAIT_MS: u64 = 5000;

/// wait before a request for a slot of another owner is sent again.
const RETRY_MOVED_MS: u64 = 50;

/// the owner of programs at this instance.
#[derive(Debug)]
pub struct Owner {
    settings: OwnerSettings,
    journal: JournalWriter,
    ownership: Ownership,
    programs: Programs,
    poison: PoisonStore,
    calls: PlatformCalls,
    waiting: Waiting,
    steps: Vec<OwnershipStep>,
    fenced: Vec<FencedAnswer>,
    trim: Trim,
    leaving_since_ms: Option<u64>,
    stopped: bool,
}

/// an answer that waits for proof that no other owner has taken over.
#[derive(Debug)]
struct FencedAnswer {
    fence: u64,
    ticket: u64,
    event: OwnerEvent,
    until_ms: u64,
}

/// the clean-up of this incarnation's own journal.
#[derive(Debug, Default)]
struct Trim {
    /// last entry that can go.
    through: u64,
    /// whether a deletion is in flight.
    deleting: bool,
    /// when the next deletion is tried after a failure.
    retry_at_ms: u64,
    /// entries written when the last snapshot was whole.
    entries_then: u64,
    /// bytes written when the last snapshot was whole.
    bytes_then: u64,
}

impl Owner {
    /// an owner that holds no slot yet.
    pub fn new(settings: OwnerSettings, _now: Now) -> Self {
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
            calls: PlatformCalls::default(),
            waiting: Waiting::default(),
            steps: Vec::new(),
            fenced: Vec::new(),
            trim: Trim::default(),
            leaving_since_ms: None,
            stopped: false,
            settings,
        }
    }

    /// takes one input and says what is to be done.
    pub fn handle(&mut self, now: Now, input: Input) -> Vec<Action> {
        let mut out = Outbox::new(self.journal.appended());
        if self.stopped {
            self.refuse_after_stop(input, &mut out);
            return out.actions;
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
        self.ownership.served()
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

    /// contents that are held back or were.
    pub fn poison(&self) -> Vec<crate::schema::PoisonHeld> {
        self.programs.poison()
    }

    fn take(&mut self, now: Now, input: Input, out: &mut Outbox) {
        match input {
            Input::Members(view) => self.ownership.members(view),
            Input::Configuration(configuration) => self.programs.configure(now, configuration),
            Input::Request { ticket, request } => self.request(now, ticket, request, out),
            Input::Cancel { ticket } => {
                self.waiting.cancel(ticket);
                self.programs.cancel(now, ticket, out);
            }
            Input::Platform { call, result } => self.platform_reply(now, call, result, out),
            Input::Job { job, event } => self.programs.job(now, job, event, out),
            Input::Service { service, outcome } => self.programs.service(now, service, outcome, out),
            Input::LookUp { service, outcome } => self.programs.looked_up(now, service, outcome, out),
            Input::Poison(held) => self.programs.learn_poison(&held),
            Input::Tick => {
                self.programs.tick(now, out);
                self.tick(now, out);
            }
            Input::Leave => {
                self.leaving_since_ms.get_or_insert(now.ms);
                self.ownership.leave();
            }
        }
    }

    fn request(&mut self, now: Now, ticket: u64, request: OwnerRequest, out: &mut Outbox) {
        let slot = program_of(&request).slot(self.settings.slot_count);
        match self.ownership.place(slot) {
            Place::Here if self.programs.holds(slot) => self.programs.request(now, ticket, request, out),
            Place::Elsewhere => out.refuse(ticket, not_owner(slot)),
            Place::Here | Place::Soon => {
                let until_ms = now.ms + self.settings.limits.request_timeout_ms;
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
            Some(Purpose::Ownership(call)) => self.ownership.reply(now, call, result, &mut self.steps),
            Some(Purpose::Trim) => self.trimmed(now, &result),
            Some(Purpose::Poison) => {
                let (news, next) = self.poison.reply(now, result);
                for held in &news {
                    self.programs.learn_poison(held);
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
            self.ownership.poll(now, &mut self.steps);
            let steps = std::mem::take(&mut self.steps);
            let progress = !steps.is_empty();
            for step in steps {
                self.ownership_step(now, step, out);
            }
            self.serve_waiting(now, out);
            self.hold_fenced(now, out);
            let given = self.give_drained(now);
            let cleared = self.snapshot(now, out);
            self.move_records(out);
            let step = self.journal.poll(now);
            let committing = step.is_some();
            if let Some(step) = step {
                self.journal_step(now, step, out);
            }
            if self.stopped || !(progress || committing || given || cleared) {
                break;
            }
        }
        if self.stopped {
            return;
        }
        self.release_fenced(now, out);
        self.keep_poison(now, out);
        self.trim(now, out);
        self.publish(out);
        self.consider_left(now, out);
    }

    fn move_records(&mut self, out: &mut Outbox) {
        for record in out.records.drain(..) {
            self.journal.append(record);
        }
        out.appended = self.journal.appended();
    }

    fn journal_step(&mut self, now: Now, step: JournalStep, out: &mut Outbox) {
        match step {
            JournalStep::Call(request) => out.actions.push(self.calls.start(Purpose::Journal, request)),
            JournalStep::Committed(records) => {
                self.move_records(out);
                self.programs.committed(now, self.journal.committed(), records, out);
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
            OwnershipStep::Opened(slot) => {
                self.programs.open_slot(slot);
                slot_event(What::SlotTaken, slot, "empty", out);
            }
            OwnershipStep::Load { slot, epoch, sources, unclean } => {
                let mut replay = Replay::new(slot, self.settings.slot_count);
                for source in &sources {
                    replay.take_journal(self.ownership.records(source), source.epoch);
                }
                self.move_records(out);
                self.programs.adopt(now, slot, epoch, replay.finish(), unclean, out);
                slot_event(What::SlotTaken, slot, if unclean { "takeover" } else { "handover" }, out);
            }
            OwnershipStep::Drain(slot, draining) => self.programs.drain(now, slot, draining, out),
            OwnershipStep::Given(slot) => {
                for ticket in self.programs.close_slot(slot, out) {
                    out.refuse(ticket, owner_moved(slot));
                }
                slot_event(What::SlotGiven, slot, "", out);
            }
            OwnershipStep::SealedJournal(journal) => {
                let subject = Some(format!("journal/{journal}"));
                let detail = "the owner is believed to be gone".to_owned();
                out.actions.push(Action::Event { what: What::JournalSealed, program: None, subject, detail });
            }
            OwnershipStep::Damaged(why) => {
                metrics::counter!("flamingostand_owner_damaged_objects_total").increment(1);
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

    fn hold_fenced(&mut self, now: Now, out: &mut Outbox) {
        for (ticket, event) in out.fenced.drain(..) {
            let fence = self.journal.fence();
            self.fenced.push(FencedAnswer { fence, ticket, event, until_ms: now.ms + FENCE_WAIT_MS });
        }
    }

    fn release_fenced(&mut self, now: Now, out: &mut Outbox) {
        for answer in std::mem::take(&mut self.fenced) {
            if self.journal.is_fenced(answer.fence) {
                out.answer(answer.ticket, answer.event);
            } else if now.ms >= answer.until_ms {
                out.refuse(answer.ticket, platform_unavailable());
            } else {
                self.fenced.push(answer);
            }
        }
    }

    fn serve_waiting(&mut self, now: Now, out: &mut Outbox) {
        if self.waiting.is_empty() {
            return;
        }
        for waiting in self.waiting.take() {
            let slot = program_of(&waiting.request).slot(self.settings.slot_count);
            match self.ownership.place(slot) {
                Place::Here if self.programs.holds(slot) => {
                    self.move_records(out);
                    self.programs.request(now, waiting.ticket, waiting.request, out);
                }
                Place::Elsewhere => out.refuse(waiting.ticket, not_owner(slot)),
                Place::Here | Place::Soon => {
                    // There is room: the queue was just emptied.
                    let _ = self.waiting.push(waiting);
                }
            }
        }
    }

    fn give_drained(&mut self, now: Now) -> bool {
        let mut given = false;
        for slot in self.ownership.draining() {
            if self.programs.is_quiet(slot) {
                given |= self.ownership.give(now, slot, self.journal.last_number());
            }
        }
        given
    }

    /// copies adopted state, and starts a snapshot of everything when the journal has grown.
    fn snapshot(&mut self, now: Now, out: &mut Outbox) -> bool {
        let adopted = self.programs.take_adopted(self.journal.committed());
        for slot in &adopted {
            self.ownership.clear_sources(now, *slot);
        }
        if let Some(through) = self.programs.take_compacted(self.journal.committed()) {
            self.trim.through = through;
            self.trim.entries_then = self.journal.last_number();
            self.trim.bytes_then = self.journal.written_bytes();
        }
        let entries = self.journal.last_number() - self.trim.entries_then;
        let bytes = self.journal.written_bytes() - self.trim.bytes_then;
        let grown = entries >= u64::from(self.settings.state.compact_entries)
            || bytes >= self.settings.state.compact_bytes;
        let adopting = self.programs.adopting().next().is_some();
        if grown && !adopting && !self.programs.is_compacting() {
            self.programs.start_compaction(self.journal.appended(), self.journal.last_number());
        }
        let room = self.settings.state.max_entry_bytes / 2;
        if self.journal.pending_bytes() < room {
            self.programs.snapshot(room, out);
        }
        !adopted.is_empty()
    }

    fn trim(&mut self, now: Now, out: &mut Outbox) {
        let first = self.journal.first_number();
        let due = first <= self.trim.through && !self.trim.deleting && now.ms >= self.trim.retry_at_ms;
        if !due || self.ownership.needs_old_entries() {
            return;
        }
        self.trim.deleting = true;
        let request = PlatformRequest::Delete { key: journal_key(&self.settings.me, first) };
        out.actions.push(self.calls.start(Purpose::Trim, request));
    }

    fn trimmed(&mut self, now: Now, result: &PlatformResult) {
        self.trim.deleting = false;
        match result {
            Ok(_) | Err(crate::platform::PlatformError::NotFound) => self.journal.deleted_first(),
            Err(_) => self.trim.retry_at_ms = now.ms + STALL_MS,
        }
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

    fn consider_left(&mut self, now: Now, out: &mut Outbox) {
        let Some(since_ms) = self.leaving_since_ms else { return };
        let late = now.ms >= since_ms + self.settings.limits.drain_timeout_ms;
        let quiet = self.programs.is_all_quiet() && self.journal.is_idle() && self.fenced.is_empty();
        let alone = quiet && !self.ownership.has_successor();
        if (self.ownership.is_empty() && self.fenced.is_empty()) || alone || late {
            out.actions.push(Action::Left);
            self.refuse_all(out);
            self.stopped = true;
        }
    }

    /// another incarnation sealed the journal: nothing more is released from here.
    fn stop(&mut self, out: &mut Outbox) {
        if self.stopped {
            return;
        }
        self.stopped = true;
        out.records.clear();
        self.refuse_all(out);
        out.actions.push(Action::Deposed);
        let subject = Some(self.settings.me.to_string());
        let detail = "another incarnation took over".to_owned();
        out.actions.push(Action::Event { what: What::Deposed, program: None, subject, detail });
    }

    fn refuse_all(&mut self, out: &mut Outbox) {
        for index in 0..self.settings.slot_count {
            let slot = SlotId(index);
            for ticket in self.programs.close_slot(slot, out) {
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

    fn refuse_after_stop(&self, input: Input, out: &mut Outbox) {
        if let Input::Request { ticket, request } = input {
            out.refuse(ticket, not_owner(program_of(&request).slot(self.settings.slot_count)));
        }
    }
}

/// a slot that another instance serves: nothing ran here.
fn not_owner(slot: SlotId) -> Problem {
    let problem = refuse(421, "not_owner", format!("slot {slot} is served by another instance"));
    Problem { retry_after_ms: Some(RETRY_MOVED_MS), ..problem }
}

/// a slot that moved while a request waited: its new owner answers the same request.
fn owner_moved(slot: SlotId) -> Problem {
    let problem = refuse(421, "owner_moved", format!("slot {slot} moved to another instance"));
    Problem { retry_after_ms: Some(RETRY_MOVED_MS), ran: Ran::Unknown, ..problem }
}

/// the owner was replaced while an answer waited for proof that it was not; it had started nothing.
fn stopped() -> Problem {
    let problem = refuse(421, "owner_moved", "another instance took over");
    Problem { retry_after_ms: Some(RETRY_MOVED_MS), ran: Ran::Unknown, ..problem }
}

/// the platform does not answer, so that nothing can be said for certain.
fn platform_unavailable() -> Problem {
    let problem = refuse(503, "platform_unavailable", "the platform does not answer");
    Problem { retry_after_ms: Some(STALL_MS), ran: Ran::Unknown, ..problem }
}

/// too many requests wait, or one waited for too long.
fn busy() -> Problem {
    let problem = refuse(503, "slot_moving", "the slot is being moved; nothing ran");
    Problem { retry_after_ms: Some(RETRY_MOVED_MS), ..problem }
}

fn slot_event(what: What, slot: SlotId, detail: &str, out: &mut Outbox) {
    let subject = Some(format!("slot/{:06}", slot.0));
    out.actions.push(Action::Event { what, program: None, subject, detail: detail.to_owned() });
}

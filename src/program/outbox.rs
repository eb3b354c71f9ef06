use crate::ids::ProgramId;
use crate::owner::OwnerAction;
use crate::schema::OwnerEvent;
use crate::schema::Problem;
use crate::schema::Record;
use crate::timeline::EventKind;

/// effects of an input: records for the journal, and actions for the owner to perform.
#[derive(Debug, Default)]
pub struct Outbox {
    /// records, in order.
    pub records: Vec<Record>,
    /// actions, in order.
    pub actions: Vec<OwnerAction>,
    /// answers from local state, which may be stale: they are sent once the journal has confirmed that no
    /// other owner has taken over.
    pub fenced: Vec<(u64, OwnerEvent)>,
    /// records appended to the journal before those of this outbox.
    pub appended: u64,
}

impl Outbox {
    /// an empty outbox for a journal with `appended` records.
    pub fn new(appended: u64) -> Self {
        Self { appended, ..Self::default() }
    }

    /// appends a record and returns its journal position.
    pub fn append(&mut self, record: impl Into<Record>) -> u64 {
        self.records.push(record.into());
        self.appended + self.records.len() as u64
    }

    /// sends the final answer to a request.
    pub fn answer(&mut self, ticket: u64, event: OwnerEvent) {
        self.actions.push(OwnerAction::Reply { ticket, event, last: true });
    }

    /// sends a part of a streamed answer.
    pub fn stream(&mut self, ticket: u64, event: OwnerEvent) {
        self.actions.push(OwnerAction::Reply { ticket, event, last: false });
    }

    /// answers a request from local state, behind the fence.
    pub fn answer_fenced(&mut self, ticket: u64, event: OwnerEvent) {
        self.fenced.push((ticket, event));
    }

    /// refuses a request: at once if it may be retried, else behind the fence.
    ///
    /// A refusal without a retry delay is final, so a deposed owner must not send one from stale state.
    pub fn refuse_fenced(&mut self, ticket: u64, problem: Problem) {
        if problem.retry_after_ms.is_some() {
            self.refuse(ticket, problem);
            return;
        }
        self.answer_fenced(ticket, OwnerEvent::Problem(problem));
    }

    /// refuses a request at once.
    pub fn refuse(&mut self, ticket: u64, problem: Problem) {
        self.answer(ticket, OwnerEvent::Problem(problem));
    }

    /// records an event of a program on the timeline.
    pub fn timeline_event(&mut self, what: EventKind, program: &ProgramId, detail: String) {
        let program = Some(program.to_string());
        self.actions.push(OwnerAction::Event { what, program, subject: None, detail });
    }
}

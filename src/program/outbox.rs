use crate::ids::ProgramId;
use crate::owner::Action;
use crate::schema::OwnerEvent;
use crate::schema::Problem;
use crate::schema::Record;
use crate::timeline::What;

/// what programs want done: records for the journal, and actions.
#[derive(Debug, Default)]
pub struct Outbox {
    /// records in their order.
    pub records: Vec<Record>,
    /// actions in their order.
    pub actions: Vec<Action>,
    /// answers that show the state as it is here, and go out once it is certain that no other owner has a
    /// newer one.
    pub fenced: Vec<(u64, OwnerEvent)>,
    /// number of records that the journal already has.
    pub appended: u64,
}

impl Outbox {
    /// an empty outbox before a journal that has `appended` records.
    pub fn new(appended: u64) -> Self {
        Self { appended, ..Self::default() }
    }

    /// hands a record to the journal and returns its position.
    pub fn append(&mut self, record: impl Into<Record>) -> u64 {
        self.records.push(record.into());
        self.appended + self.records.len() as u64
    }

    /// answers a request for good.
    pub fn answer(&mut self, ticket: u64, event: OwnerEvent) {
        self.actions.push(Action::Reply { ticket, event, last: true });
    }

    /// sends a piece of an answer.
    pub fn piece(&mut self, ticket: u64, event: OwnerEvent) {
        self.actions.push(Action::Reply { ticket, event, last: false });
    }

    /// answers a request with the state as it is here.
    pub fn answer_fenced(&mut self, ticket: u64, event: OwnerEvent) {
        self.fenced.push((ticket, event));
    }

    /// refuses a request: with when to come back at once, else the refusal is final and must not come from an
    /// owner that was replaced unknowingly.
    pub fn refuse_by_state(&mut self, ticket: u64, problem: Problem) {
        if problem.retry_after_ms.is_some() {
            self.refuse(ticket, problem);
            return;
        }
        self.answer_fenced(ticket, OwnerEvent::Problem(problem));
    }

    /// refuses a request.
    pub fn refuse(&mut self, ticket: u64, problem: Problem) {
        self.answer(ticket, OwnerEvent::Problem(problem));
    }

    /// puts an event of a program on the time line.
    pub fn event(&mut self, what: What, program: &ProgramId, detail: String) {
        let program = Some(program.to_string());
        self.actions.push(Action::Event { what, program, subject: None, detail });
    }
}

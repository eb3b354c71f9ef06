use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use async_channel::Receiver;
use async_io::Timer;
use metrics::counter;

use crate::ids::ProgramId;
use crate::ids::SlotId;
use crate::instance::Shared;
use crate::instance::shared::Asker;
use crate::instance::shared::Forwarded;
use crate::mesh::SendError;
use crate::owner::OwnerInput;
use crate::program::refuse;
use crate::schema::Forward;
use crate::schema::MeshMessage;
use crate::schema::OwnerEvent;
use crate::schema::OwnerRequest;
use crate::schema::Problem;
use crate::schema::Ran;

/// time between two attempts to reach the owner of a slot that is moving.
const RETRY_PAUSE: Duration = Duration::from_millis(20);

/// when a caller should come back after its owner could not be reached.
const OWNER_RETRY_AFTER_MS: u64 = 1_000;

/// progress of a question to the owner of a program.
#[derive(Clone, Debug)]
pub enum AskEvent {
    /// a piece of the answer.
    Token(String),
    /// the owner changed; the pieces start over.
    Restarted,
    /// the end: an answer or a problem.
    Last(Box<OwnerEvent>),
}

/// a question to the owner of a program, repeated while the owner changes.
///
/// Owner requests are idempotent: a repeat joins or replays what already ran.
#[derive(Debug)]
pub struct Ask {
    shared: Arc<Shared>,
    request: OwnerRequest,
    slot: SlotId,
    deadline: Instant,
    attempt: Option<Attempt>,
    streamed: bool,
    may_have_run: bool,
}

impl Ask {
    /// prepares a question; nothing is sent before the first `next`.
    pub fn new(shared: &Arc<Shared>, request: OwnerRequest) -> Self {
        let slot = program_of(&request).slot(shared.slot_count);
        let wait = Duration::from_millis(shared.settings.limits.request_timeout_ms);
        Self {
            shared: Arc::clone(shared),
            request,
            slot,
            deadline: Instant::now() + wait,
            attempt: None,
            streamed: false,
            may_have_run: false,
        }
    }

    /// waits for the next piece of the answer.
    pub async fn next(&mut self) -> AskEvent {
        loop {
            if self.attempt.is_none() {
                match self.start_attempt() {
                    Ok(attempt) => self.attempt = Some(attempt),
                    Err(_) => {
                        if let Some(last) = self.pause().await {
                            return last;
                        }
                        continue;
                    }
                }
                if std::mem::take(&mut self.streamed) {
                    return AskEvent::Restarted;
                }
            }
            let Some(attempt) = &self.attempt else { continue };
            match attempt.answers.recv().await {
                Ok(OwnerEvent::Token(token)) => {
                    self.streamed = true;
                    return AskEvent::Token(token.text);
                }
                Ok(OwnerEvent::Problem(problem)) if is_moving(&problem) => {
                    self.may_have_run |= problem.ran != Ran::NotRun;
                }
                Ok(event) => {
                    self.finish_attempt();
                    return AskEvent::Last(Box::new(event));
                }
                Err(_) => self.may_have_run = true,
            }
            self.finish_attempt();
            if let Some(last) = self.pause().await {
                return last;
            }
        }
    }

    /// waits for the end of the answer and drops its pieces.
    pub async fn last(mut self) -> OwnerEvent {
        loop {
            if let AskEvent::Last(event) = self.next().await {
                return *event;
            }
        }
    }

    fn start_attempt(&self) -> Result<Attempt, SendError> {
        let (sender, answers) = async_channel::unbounded();
        let shared = &self.shared;
        if shared.is_local(self.slot) {
            let ticket = shared.askers.insert(Asker::Door(sender));
            shared.tell_owner(OwnerInput::Request { ticket, request: self.request.clone() });
            return Ok(Attempt {
                shared: Arc::clone(shared),
                route: Route::Local { ticket },
                answers,
                open: true,
            });
        }
        let peer = shared.address_of_owner(self.slot).ok_or(SendError::Closed)?;
        let id = shared.forwards.insert(Forwarded { peer, connection: None, sender });
        let message = MeshMessage::Forward(Forward { id, request: self.request.clone(), hops: 1 });
        let attempt = Attempt { shared: Arc::clone(shared), route: Route::Peer { id }, answers, open: true };
        let connection = shared.mesh().send(peer, None, message)?;
        shared.forwards.update(id, |forwarded| forwarded.connection = Some(connection));
        counter!("entry_forwards_total").increment(1);
        Ok(attempt)
    }

    fn finish_attempt(&mut self) {
        if let Some(attempt) = &mut self.attempt {
            attempt.open = false;
        }
        self.attempt = None;
    }

    /// waits before the next attempt; gives up with a final answer when the time is over.
    async fn pause(&self) -> Option<AskEvent> {
        if Instant::now() >= self.deadline {
            let ran = if self.may_have_run { Ran::Unknown } else { Ran::NotRun };
            let problem = refuse(503, "owner_unavailable", "no instance serves this program at the moment");
            let problem = Problem { ran, retry_after_ms: Some(OWNER_RETRY_AFTER_MS), ..problem };
            return Some(AskEvent::Last(Box::new(OwnerEvent::Problem(problem))));
        }
        Timer::after(RETRY_PAUSE).await;
        None
    }
}

#[derive(Debug)]
enum Route {
    Local { ticket: u64 },
    Peer { id: u64 },
}

/// one attempt; dropped while open, it cancels what it asked for.
#[derive(Debug)]
struct Attempt {
    shared: Arc<Shared>,
    route: Route,
    answers: Receiver<OwnerEvent>,
    open: bool,
}

impl Drop for Attempt {
    fn drop(&mut self) {
        match self.route {
            Route::Local { ticket } => {
                let waiting = self.shared.askers.remove(ticket).is_some();
                if self.open && waiting {
                    self.shared.tell_owner(OwnerInput::Cancel { ticket });
                }
            }
            Route::Peer { id } => {
                let Some(forwarded) = self.shared.forwards.remove(id) else {
                    return;
                };
                if self.open {
                    self.shared.cancel_forward(forwarded.peer, id);
                }
            }
        }
    }
}

/// the owner says that another instance answers for the slot now.
fn is_moving(problem: &Problem) -> bool {
    problem.code == "not_owner" || problem.code == "owner_moved"
}

/// the program that a request is for.
fn program_of(request: &OwnerRequest) -> ProgramId {
    let text = match request {
        OwnerRequest::Open(open) => &open.program,
        OwnerRequest::Turn(turn) => &turn.program,
        OwnerRequest::Call(call) => &call.program,
        OwnerRequest::End(end) => &end.program,
        OwnerRequest::State(state) => &state.program,
    };
    ProgramId::from(text.as_str())
}

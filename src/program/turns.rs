use crate::clock::Now;
use crate::ids::Digest;
use crate::ids::ProgramId;
use crate::owner::OwnerAction;
use crate::program::Outbox;
use crate::program::Program;
use crate::program::Programs;
use crate::program::refusal::RETRY_OUTAGE_MS;
use crate::program::refusal::RETRY_SOON_MS;
use crate::program::refusal::refuse_retryable;
use crate::program::refusal::unknown_retryable;
use crate::program::refuse;
use crate::program::requests::RequestResult;
use crate::program::timers::Timer;
use crate::program::tokens::history_tokens;
use crate::program::tokens::json_bytes;
use crate::program::turn::TurnInFlight;
use crate::program::turn::TurnPhase;
use crate::program::turn::Waiter;
use crate::program::turn_match::TurnMatch;
use crate::program::turn_match::match_turn;
use crate::schema::ChatMessage;
use crate::schema::ForwardedTurn;
use crate::schema::OwnerEvent;
use crate::schema::Problem;
use crate::schema::Ran;
use crate::schema::ReservedRecord;
use crate::schema::Token;
use crate::schema::TurnAnswer;
use crate::schema::TurnJob;
use crate::schema::TurnedRecord;
use crate::timeline::EventKind;

/// completion tokens of a request without `max_tokens`.
const DEFAULT_MAX_TOKENS: u64 = 4096;

/// how long callers wait for a commit before they are told to retry.
pub(super) const COMMIT_WAIT_MS: u64 = 5000;

impl Programs {
    pub(super) fn handle_turn(
        &mut self,
        now: Now,
        ticket: u64,
        request: ForwardedTurn,
        out: &mut Outbox,
    ) -> RequestResult {
        let id = ProgramId::from(request.program.as_str());
        let program = self.find_open(&id, &request.workspace)?;
        let waiter = Waiter { ticket, stream: request.body.stream };
        let wanted_tokens = request.body.max_tokens.unwrap_or(DEFAULT_MAX_TOKENS).max(1);
        match match_turn(program, request.body)? {
            TurnMatch::Last => {
                if let Some(answer) = self.turn_answer(&id, true) {
                    out.answer(ticket, OwnerEvent::Turned(answer));
                }
                Ok(())
            }
            TurnMatch::InFlight if program.is_ending() => {
                Err(Box::new(refuse(409, "program_ended", "the program has ended")))
            }
            TurnMatch::InFlight => {
                self.join_turn(&id, waiter, out);
                Ok(())
            }
            TurnMatch::Next { messages, request } => {
                self.check_next(&id, &messages, request)?;
                self.start_turn(now, &id, messages, request, wanted_tokens, waiter, out);
                Ok(())
            }
        }
    }

    fn check_next(&self, id: &ProgramId, messages: &[ChatMessage], request: Digest) -> RequestResult {
        let Some(program) = self.program(id) else { return Ok(()) };
        if program.is_ending() {
            return Err(Box::new(refuse(409, "program_ended", "the program has ended")));
        }
        if program.turn_in_flight().is_some() {
            let detail = "another turn of the program is in flight";
            return Err(Box::new(refuse_retryable(409, "turn_in_progress", detail, RETRY_SOON_MS)));
        }
        if messages.is_empty() {
            return Err(Box::new(refuse(422, "nothing_new", "the turn adds no message to the history")));
        }
        let bytes: u64 = messages.iter().map(json_bytes).sum();
        if bytes > self.limits.max_turn_bytes {
            let detail = format!("the new messages have {bytes} bytes of {}", self.limits.max_turn_bytes);
            return Err(Box::new(refuse(413, "turn_too_large", detail)));
        }
        if self.poison.is_held(&request.to_string()) {
            return Err(Box::new(poison_held(request)));
        }
        let slot = &self.slots[&self.slot_of(id)];
        let max_turns = self.bounds(id).map_or(0, |bounds| bounds.max_turns);
        if slot.turns(&id.root()) >= max_turns {
            let detail = format!("the run has taken its {max_turns} turns");
            return Err(Box::new(refuse(409, "turn_limit", detail)));
        }
        self.check_writable()
    }

    #[allow(clippy::too_many_arguments, reason = "each is one part of the accepted request")]
    fn start_turn(
        &mut self,
        now: Now,
        id: &ProgramId,
        messages: Vec<ChatMessage>,
        request: Digest,
        wanted_tokens: u64,
        waiter: Waiter,
        out: &mut Outbox,
    ) {
        self.tickets.insert(waiter.ticket, id.clone());
        let Some(program) = self.program_mut(id) else { return };
        let prompt_tokens = program.history_tokens + history_tokens(&messages);
        let turn = program.turn + 1;
        program.in_flight_mut().turn = Some(TurnInFlight {
            turn,
            request,
            messages,
            wanted_tokens,
            max_tokens: 0,
            prompt_tokens,
            reserved_tokens: 0,
            waiters: vec![waiter],
            text: String::new(),
            stream_broken: false,
            attempts: 0,
            unknown_attempts: 0,
            deaths: 0,
            accepted_ms: now.ms,
            phase: TurnPhase::BackingOff { at_ms: now.ms },
        });
        out.timeline_event(EventKind::TurnAccepted, id, format!("turn {turn}"));
        self.attempt_turn(now, id, out);
    }

    /// adds a repeat to the turn in flight; if it streams, it gets the text so far and the tokens to come.
    fn join_turn(&mut self, id: &ProgramId, waiter: Waiter, out: &mut Outbox) {
        self.tickets.insert(waiter.ticket, id.clone());
        let Some(turn) = self.program_mut(id).and_then(Program::turn_in_flight_mut) else { return };
        turn.waiters.push(waiter);
        if turn.streaming() == Some(waiter.ticket) && !turn.text.is_empty() {
            out.stream(waiter.ticket, OwnerEvent::Token(Token { text: turn.text.clone() }));
        }
    }

    /// reserves the tokens that the next attempt may spend, and starts it once the reservation is committed.
    pub(super) fn attempt_turn(&mut self, now: Now, id: &ProgramId, out: &mut Outbox) {
        let Some(bounds) = self.bounds(id) else { return };
        if now.unix_ms >= bounds.deadline_unix_ms {
            self.fail_turn(id, refuse(409, "deadline", "the deadline of the run has passed"), out);
            return;
        }
        let context_tokens = self.context_tokens(id);
        let Some(turn) = self.program(id).and_then(Program::turn_in_flight) else { return };
        let (prompt_tokens, turn_number) = (turn.prompt_tokens, turn.turn);
        let wanted = turn.wanted_tokens.min(context_tokens.saturating_sub(prompt_tokens));
        if wanted == 0 {
            let detail = format!("the prompt of {prompt_tokens} tokens fills the model's context");
            self.fail_turn(id, refuse(413, "context_full", detail), out);
            return;
        }
        let mut free = self.free_tokens(id, bounds.budget_tokens);
        if free < prompt_tokens + wanted {
            self.reclaim_tokens(id, out);
            free = self.free_tokens(id, bounds.budget_tokens);
        }
        let max_tokens = wanted.min(free.saturating_sub(prompt_tokens));
        if max_tokens == 0 {
            let detail = format!("{free} tokens are left, the prompt alone may take {prompt_tokens}");
            self.fail_turn(id, refuse(402, "budget_exhausted", detail), out);
            return;
        }
        let need = prompt_tokens + max_tokens;
        let Some(program) = self.program_mut(id) else { return };
        let covered = need <= program.allowance_tokens && program.pending_records() == 0;
        let Some(turn) = program.turn_in_flight_mut() else { return };
        turn.max_tokens = max_tokens;
        turn.reserved_tokens = need;
        if covered {
            self.dispatch_turn(now, id, out);
            return;
        }
        program.allowance_tokens = need;
        let record = ReservedRecord { program: id.to_string(), turn: turn_number, allowance_tokens: need };
        let position = self.append(id, record, out);
        if let Some(turn) = self.program_mut(id).and_then(Program::turn_in_flight_mut) {
            turn.phase = TurnPhase::Reserving { position };
        }
        self.timers.set(now.ms + COMMIT_WAIT_MS, Timer::Turn(id.clone()));
    }

    pub(super) fn reserve_committed(&mut self, now: Now, id: &ProgramId, position: u64, out: &mut Outbox) {
        let phase = self.program(id).and_then(Program::turn_in_flight).map(|turn| turn.phase);
        if phase == Some(TurnPhase::Reserving { position }) {
            self.dispatch_turn(now, id, out);
        }
    }

    fn dispatch_turn(&mut self, now: Now, id: &ProgramId, out: &mut Outbox) {
        let Some(bounds) = self.bounds(id) else { return };
        let service_tokens = self.spent_tokens(id);
        let job = self.next_id();
        let Some(program) = self.program_mut(id) else { return };
        let Some(turn) = program.turn_in_flight_mut() else { return };
        turn.attempts += 1;
        turn.text.clear();
        turn.phase = TurnPhase::Running { job, cancelled: false };
        let Some(turn) = program.turn_in_flight() else { return };
        let mut messages = program.messages.clone();
        messages.extend(turn.messages.iter().cloned());
        let job_turn = TurnJob {
            replica: String::new(),
            model: program.opened.model.clone(),
            workspace: program.opened.workspace.clone(),
            program: id.to_string(),
            turn: turn.turn,
            messages,
            max_tokens: turn.max_tokens,
            prompt_tokens: turn.prompt_tokens,
            cached_tokens: 0,
            program_service_tokens: service_tokens,
            waited_ms: now.ms - turn.accepted_ms,
            deadline_ms: bounds.deadline_unix_ms.saturating_sub(now.unix_ms),
            content_digest: turn.request.to_string(),
            attempt: turn.attempts,
        };
        self.jobs.insert(job, id.clone());
        out.actions.push(OwnerAction::Job { job, turn: Box::new(job_turn) });
    }

    pub(super) fn turn_committed(
        &mut self,
        _now: Now,
        id: &ProgramId,
        record: &TurnedRecord,
        out: &mut Outbox,
    ) {
        let Some(program) = self.program_mut(id) else { return };
        program.apply_turn(record);
        let turn = program.in_flight.as_mut().and_then(|in_flight| in_flight.turn.take());
        out.timeline_event(EventKind::TurnCommitted, id, format!("turn {}", record.turn));
        metrics::counter!("owner_turns_total").increment(1);
        let Some(answer) = self.turn_answer(id, false) else { return };
        for waiter in turn.map(|turn| turn.waiters).unwrap_or_default() {
            self.tickets.remove(&waiter.ticket);
            out.answer(waiter.ticket, OwnerEvent::Turned(answer.clone()));
        }
    }

    pub(super) fn back_off_turn(&mut self, now: Now, id: &ProgramId, wait_ms: u64) {
        let at_ms = now.ms + wait_ms;
        if let Some(turn) = self.program_mut(id).and_then(Program::turn_in_flight_mut) {
            turn.phase = TurnPhase::BackingOff { at_ms };
        }
        self.timers.set(at_ms, Timer::Turn(id.clone()));
    }

    pub(super) fn turn_due(&mut self, now: Now, id: &ProgramId, out: &mut Outbox) {
        let Some(turn) = self.program(id).and_then(Program::turn_in_flight) else { return };
        match turn.phase {
            TurnPhase::BackingOff { at_ms } if now.ms >= at_ms => self.attempt_turn(now, id, out),
            TurnPhase::Reserving { .. } if self.stalled => {
                let detail = "the platform does not take writes; nothing ran";
                let problem = refuse_retryable(503, "platform_unavailable", detail, RETRY_OUTAGE_MS);
                let problem = with_attempts(problem, turn.unknown_attempts);
                self.fail_turn(id, problem, out);
            }
            TurnPhase::Reserving { .. } => self.timers.set(now.ms + COMMIT_WAIT_MS, Timer::Turn(id.clone())),
            TurnPhase::Committing { since_ms } if now.ms >= since_ms + COMMIT_WAIT_MS => {
                self.release_turn_waiters(now, id, out);
            }
            _ => {}
        }
    }

    /// sends callers away for now when the answer was not committed in time; a repeat gets it later.
    fn release_turn_waiters(&mut self, now: Now, id: &ProgramId, out: &mut Outbox) {
        let Some(turn) = self.program_mut(id).and_then(Program::turn_in_flight_mut) else { return };
        let waiters = std::mem::take(&mut turn.waiters);
        turn.phase = TurnPhase::Committing { since_ms: now.ms };
        self.timers.set(now.ms + COMMIT_WAIT_MS, Timer::Turn(id.clone()));
        let detail = "the answer waits for the platform; the same request gets it later";
        for waiter in waiters {
            self.tickets.remove(&waiter.ticket);
            out.refuse(waiter.ticket, unknown_retryable(503, "commit_pending", detail, RETRY_OUTAGE_MS));
        }
    }

    pub(super) fn cancel_turn(&mut self, _now: Now, id: &ProgramId, ticket: u64, out: &mut Outbox) {
        let Some(turn) = self.program_mut(id).and_then(Program::turn_in_flight_mut) else { return };
        let before = turn.waiters.len();
        turn.waiters.retain(|waiter| waiter.ticket != ticket);
        if turn.waiters.len() == before || !turn.waiters.is_empty() {
            return;
        }
        self.abandon_turn(id, out);
    }

    /// stops the turn in flight of a program that ends, unless its answer is already being committed.
    pub(super) fn stop_turn(&mut self, id: &ProgramId, problem: Problem, out: &mut Outbox) {
        let Some(turn) = self.program_mut(id).and_then(Program::turn_in_flight_mut) else { return };
        if matches!(turn.phase, TurnPhase::Committing { .. }) {
            return;
        }
        let problem = match turn.phase {
            TurnPhase::Running { .. } => Problem { ran: Ran::Unknown, ..problem },
            _ => with_attempts(problem, turn.unknown_attempts),
        };
        let waiters = std::mem::take(&mut turn.waiters);
        for waiter in waiters {
            self.tickets.remove(&waiter.ticket);
            out.refuse_fenced(waiter.ticket, problem.clone());
        }
        self.abandon_turn(id, out);
    }

    /// gives up a turn that nobody waits for: a running job is cancelled, and charged when it ends; a turn
    /// without a job is dropped, and an answer that is being committed stays.
    fn abandon_turn(&mut self, id: &ProgramId, out: &mut Outbox) {
        let Some(turn) = self.program_mut(id).and_then(Program::turn_in_flight_mut) else { return };
        match &mut turn.phase {
            TurnPhase::Running { job, cancelled } => {
                if !*cancelled {
                    *cancelled = true;
                    out.actions.push(OwnerAction::CancelJob { job: *job });
                }
            }
            TurnPhase::Reserving { .. } | TurnPhase::BackingOff { .. } => self.drop_turn(id),
            TurnPhase::Committing { .. } => {}
        }
    }

    pub(super) fn fail_turn(&mut self, id: &ProgramId, problem: Problem, out: &mut Outbox) {
        let Some(turn) = self.program_mut(id).and_then(Program::turn_in_flight_mut) else { return };
        let waiters = std::mem::take(&mut turn.waiters);
        out.timeline_event(EventKind::TurnFailed, id, problem.detail.clone());
        metrics::counter!("owner_refusals_total", "code" => problem.code.clone()).increment(1);
        for waiter in waiters {
            self.tickets.remove(&waiter.ticket);
            out.refuse_fenced(waiter.ticket, problem.clone());
        }
        self.drop_turn(id);
    }

    pub(super) fn drop_turn(&mut self, id: &ProgramId) {
        let Some(program) = self.program_mut(id) else { return };
        if let Some(in_flight) = &mut program.in_flight {
            in_flight.turn = None;
        }
        program.prune();
    }

    pub(super) fn turn_answer(&self, id: &ProgramId, replayed: bool) -> Option<TurnAnswer> {
        let program = self.program(id)?;
        Some(TurnAnswer {
            program: id.to_string(),
            turn: program.turn,
            message: program.messages.last()?.clone(),
            finish_reason: program.last_finish_reason.clone(),
            usage: program.last_usage.clone(),
            history: program.history(),
            spent_tokens: self.spent_tokens(id),
            budget_tokens: self.budget_tokens(id),
            replayed,
        })
    }
}

pub(super) fn poison_held(request: Digest) -> Problem {
    let detail =
        format!("the content {request} killed upstreams and is held back until an operator lifts it");
    refuse(422, "poison_held", detail)
}

/// marks a problem as `unknown` if any attempt may have run.
pub(super) fn with_attempts(problem: Problem, unknown_attempts: u32) -> Problem {
    if unknown_attempts == 0 { problem } else { Problem { ran: Ran::Unknown, ..problem } }
}

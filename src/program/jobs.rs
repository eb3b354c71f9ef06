use crate::clock::Now;
use crate::ids::Digest;
use crate::ids::ProgramId;
use crate::owner::OwnerAction;
use crate::program::Outbox;
use crate::program::Program;
use crate::program::Programs;
use crate::program::budget;
use crate::program::refusal::RETRY_OUTAGE_MS;
use crate::program::refusal::refuse_retryable;
use crate::program::refuse;
use crate::program::timers::Timer;
use crate::program::tokens::json_bytes;
use crate::program::tokens::message_tokens;
use crate::program::turn::TurnPhase;
use crate::program::turns::COMMIT_WAIT_MS;
use crate::program::turns::poison_held;
use crate::program::turns::with_attempts;
use crate::schema::ChatMessage;
use crate::schema::JobDone;
use crate::schema::JobEvent;
use crate::schema::JobFailed;
use crate::schema::JobFault;
use crate::schema::OwnerEvent;
use crate::schema::Problem;
use crate::schema::Ran;
use crate::schema::Role;
use crate::schema::Token;
use crate::schema::TurnedRecord;
use crate::timeline::EventKind;

/// most attempts of one turn, including those that did not run.
const MAX_ATTEMPTS: u32 = 8;

/// most failed attempts of one turn that may have run.
const MAX_UNKNOWN_ATTEMPTS: u32 = 3;

/// largest answer, in bytes of JSON, that fits into a journal entry together with the new messages.
const MAX_ANSWER_BYTES: u64 = 384 * 1024;

/// base of the exponential backoff after attempts that did not run.
const FIRST_BACKOFF_MS: u64 = 20;

impl Programs {
    /// handles a token or the end of a job.
    pub fn handle_job(&mut self, now: Now, job: u64, event: JobEvent, out: &mut Outbox) {
        let Some(id) = self.jobs.get(&job).cloned() else { return };
        match event {
            JobEvent::Token(token) => self.stream_token(&id, token, out),
            JobEvent::Done(done) => {
                self.jobs.remove(&job);
                self.job_done(now, &id, done, out);
            }
            JobEvent::Failed(failed) => {
                self.jobs.remove(&job);
                self.job_failed(now, &id, &failed, out);
            }
        }
    }

    fn stream_token(&mut self, id: &ProgramId, token: Token, out: &mut Outbox) {
        let Some(turn) = self.program_mut(id).and_then(Program::turn_in_flight_mut) else { return };
        turn.text.push_str(&token.text);
        if let Some(ticket) = turn.streaming() {
            out.stream(ticket, OwnerEvent::Token(token));
        }
    }

    fn job_done(&mut self, now: Now, id: &ProgramId, done: JobDone, out: &mut Outbox) {
        let Some(bounds) = self.bounds(id) else { return };
        let Some(program) = self.program(id) else { return };
        let Some(turn) = program.turn_in_flight() else { return };
        let used = done.usage.prompt_tokens + done.usage.completion_tokens;
        let charged = used.min(turn.reserved_tokens);
        if program.is_ending() {
            self.charge(id, charged, out);
            self.drop_turn(id);
            return;
        }
        let answer = ChatMessage {
            role: Role::Assistant,
            content: Some(serde_json::Value::String(done.text)),
            name: None,
            tool_call_id: None,
            tool_calls: done.tool_calls,
        };
        let answer_bytes = json_bytes(&answer);
        if answer_bytes > MAX_ANSWER_BYTES {
            let detail = format!("the answer of {answer_bytes} bytes is too large to keep");
            self.charge(id, charged, out);
            self.fail_turn(id, Problem { ran: Ran::Ran, ..refuse(502, "answer_too_large", detail) }, out);
            return;
        }
        let next_prompt = turn.prompt_tokens + message_tokens(&answer);
        let record = TurnedRecord {
            program: id.to_string(),
            turn: turn.turn,
            request_digest: turn.request.to_string(),
            messages: turn.messages.clone(),
            answer,
            finish_reason: done.finish_reason,
            usage: done.usage,
            charged_tokens: charged,
            allowance_tokens: 0,
        };
        let slot = &self.slots[&self.slot_of(id)];
        let last_turn = slot.turns(&id.root()) >= bounds.max_turns;
        let free = self.free_tokens(id, bounds.budget_tokens).saturating_sub(charged);
        let wanted = next_prompt + self.limits.allowance_tokens;
        let allowance_tokens = if last_turn { 0 } else { budget::allowance_tokens(wanted, free) };
        let record = TurnedRecord { allowance_tokens, ..record };
        if let Some(turn) = self.program_mut(id).and_then(Program::turn_in_flight_mut) {
            turn.reserved_tokens = charged + allowance_tokens;
            turn.phase = TurnPhase::Committing { since_ms: now.ms };
        }
        self.append(id, record, out);
        self.timers.set(now.ms + COMMIT_WAIT_MS, Timer::Turn(id.clone()));
    }

    fn job_failed(&mut self, now: Now, id: &ProgramId, failed: &JobFailed, out: &mut Outbox) {
        let Some(turn) = self.program_mut(id).and_then(Program::turn_in_flight_mut) else { return };
        let request = turn.request;
        if !turn.text.is_empty() {
            turn.stream_broken = true;
        }
        let spent = failed.spent_tokens.min(turn.reserved_tokens);
        let was_cancelled = matches!(turn.phase, TurnPhase::Running { cancelled: true, .. });
        let abandoned = turn.waiters.is_empty();
        match failed.fault {
            JobFault::Died => {
                turn.deaths += 1;
                turn.unknown_attempts += 1;
            }
            JobFault::Broken => turn.unknown_attempts += 1,
            JobFault::Cancelled if !was_cancelled => turn.unknown_attempts += 1,
            _ => {}
        }
        let (attempts, unknown_attempts, accepted_ms) =
            (turn.attempts, turn.unknown_attempts, turn.accepted_ms);
        self.charge(id, spent, out);
        if failed.fault == JobFault::Died {
            self.count_death(now, id, request, out);
        }
        if abandoned || self.program(id).is_none_or(Program::is_ending) {
            self.drop_turn(id);
            return;
        }
        if failed.fault == JobFault::Poison || self.poison.is_held(&request.to_string()) {
            self.fail_turn(id, with_attempts(poison_held(request), unknown_attempts), out);
            return;
        }
        let retry_after_ms = failed.retry_after_ms.unwrap_or(RETRY_OUTAGE_MS);
        match failed.fault {
            JobFault::Overloaded | JobFault::TooLate => {
                let problem = refuse_retryable(503, "overloaded", failed.detail.clone(), retry_after_ms);
                self.fail_turn(id, with_attempts(problem, unknown_attempts), out);
            }
            JobFault::Refused | JobFault::Leaving | JobFault::NotSent => {
                let in_time = now.ms < accepted_ms + self.limits.request_timeout_ms;
                if attempts < MAX_ATTEMPTS && in_time {
                    self.back_off_turn(now, id, FIRST_BACKOFF_MS << attempts.min(6));
                    return;
                }
                let problem = refuse_retryable(503, "no_replica", failed.detail.clone(), retry_after_ms);
                self.fail_turn(id, with_attempts(problem, unknown_attempts), out);
            }
            JobFault::Broken | JobFault::Died | JobFault::Cancelled | JobFault::Poison => {
                if unknown_attempts < MAX_UNKNOWN_ATTEMPTS && attempts < MAX_ATTEMPTS {
                    self.attempt_turn(now, id, out);
                    return;
                }
                let problem = refuse_retryable(502, "upstream_failed", failed.detail.clone(), retry_after_ms);
                self.fail_turn(id, with_attempts(problem, unknown_attempts), out);
            }
        }
    }

    fn count_death(&mut self, now: Now, id: &ProgramId, request: Digest, out: &mut Outbox) {
        let held = self.poison.count_death(&request.to_string(), now.unix_ms);
        if self.poison.is_held(&held.digest) {
            out.timeline_event(EventKind::PoisonChanged, id, format!("content {} is held back", held.digest));
        }
        out.actions.push(OwnerAction::Poison(held));
    }
}

use serde_json::Value;

use crate::clock::Now;
use crate::ids::Digest;
use crate::ids::ProgramId;
use crate::ids::SlotId;
use crate::owner::LookupOutcome;
use crate::owner::LookupRequest;
use crate::owner::OwnerAction;
use crate::owner::ServiceOutcome;
use crate::owner::ServiceRequest;
use crate::program::Outbox;
use crate::program::Program;
use crate::program::Programs;
use crate::program::call::Call;
use crate::program::call::CallPhase;
use crate::program::refusal::RETRY_OUTAGE_MS;
use crate::program::refusal::RETRY_SOON_MS;
use crate::program::refusal::refuse_retryable;
use crate::program::refusal::unknown_retryable;
use crate::program::refuse;
use crate::program::requests::RequestResult;
use crate::program::timers::Timer;
use crate::program::tokens::json_bytes;
use crate::program::turns::COMMIT_WAIT_MS;
use crate::schema::CallBody;
use crate::schema::CallState;
use crate::schema::ForwardedCall;
use crate::schema::IntendedRecord;
use crate::schema::OwnerEvent;
use crate::schema::ResolvedRecord;
use crate::timeline::EventKind;

/// base of the exponential backoff of idempotent calls and of look-ups.
const FIRST_RETRY_MS: u64 = 100;

/// cap of the exponential backoff of idempotent calls and of look-ups.
const MAX_RETRY_MS: u64 = 10_000;

/// timeout of one attempt when the service is gone from the configuration.
const DEFAULT_TIMEOUT_MS: u64 = 30_000;

/// attempts and look-ups of one call after which its outcome is recorded as unknown.
const MAX_LOOK_UPS: u32 = 10;

/// largest response body that is stored and replayed.
const MAX_OUTCOME_BYTES: u64 = 384 * 1024;

/// status of a service that rejects requests over its rate limit.
const STATUS_TOO_MANY_REQUESTS: u16 = 429;

/// status of a service that is unavailable.
const STATUS_UNAVAILABLE: u16 = 503;

impl Programs {
    pub(super) fn handle_call(
        &mut self,
        now: Now,
        ticket: u64,
        request: ForwardedCall,
        out: &mut Outbox,
    ) -> RequestResult {
        let id = ProgramId::from(request.program.as_str());
        let program = self.find_open(&id, &request.workspace)?;
        let Some(name) = request.body.call.clone() else {
            return Err(Box::new(refuse(400, "invalid_call", "the call has no identifier")));
        };
        let digest = content_digest(&request.body).to_string();
        let wait = request.body.wait;
        let Some(call) = program.calls.get(&name) else {
            self.check_call(&id, &request.body)?;
            let intended = self.intent(now, &id, &name, digest, request.body, 1);
            self.start_intent(now, &id, intended, ticket, out);
            return Ok(());
        };
        if call.intended.content_digest != digest {
            let detail = format!("the call {name} was made with other content");
            return Err(Box::new(refuse(422, "call_mismatch", detail)));
        }
        match &call.resolved {
            Some(resolved) if resolved.state == CallState::NotRun => {
                let attempt = call.intended.attempt + 1;
                self.check_call(&id, &request.body)?;
                let intended = self.intent(now, &id, &name, digest, request.body, attempt);
                self.start_intent(now, &id, intended, ticket, out);
            }
            Some(_) => out.answer(ticket, OwnerEvent::Called(call.answer(true))),
            None => self.join_call(now, &id, &name, ticket, wait, out),
        }
        Ok(())
    }

    fn check_call(&self, id: &ProgramId, body: &CallBody) -> RequestResult {
        if self.program(id).is_none_or(Program::is_ending) {
            return Err(Box::new(refuse(409, "program_ended", "the program has ended")));
        }
        if !self.configuration.services.contains_key(&body.service) {
            let detail = format!("no service {}", body.service);
            return Err(Box::new(refuse(404, "unknown_service", detail)));
        }
        let bytes = json_bytes(&body.body);
        if bytes > self.limits.max_turn_bytes {
            let detail = format!("the body has {bytes} bytes of {}", self.limits.max_turn_bytes);
            return Err(Box::new(refuse(413, "call_too_large", detail)));
        }
        self.check_writable()
    }

    fn intent(
        &self,
        now: Now,
        id: &ProgramId,
        name: &str,
        content_digest: String,
        body: CallBody,
        attempt: u32,
    ) -> IntendedRecord {
        let run_deadline = self.bounds(id).map_or(now.unix_ms, |bounds| bounds.deadline_unix_ms);
        IntendedRecord {
            program: id.to_string(),
            call: name.to_owned(),
            content_digest,
            service: body.service,
            path: body.path,
            body: body.body,
            idempotent: body.idempotent,
            wait: body.wait,
            attempt,
            deadline_unix_ms: body.deadline_ms.map_or(run_deadline, |ms| now.unix_ms.saturating_add(ms)),
        }
    }

    fn start_intent(
        &mut self,
        now: Now,
        id: &ProgramId,
        intended: IntendedRecord,
        ticket: u64,
        out: &mut Outbox,
    ) {
        let name = intended.call.clone();
        let mut call = Call::intend(intended.clone(), now.ms);
        call.waiters.push(ticket);
        self.tickets.insert(ticket, id.clone());
        if let Some(program) = self.program_mut(id) {
            program.calls.insert(name.clone(), call);
        }
        self.append(id, intended, out);
        self.timers.set(now.ms + COMMIT_WAIT_MS, Timer::Call(id.clone(), name));
    }

    /// lets a concurrent duplicate wait for the call in flight.
    fn join_call(&mut self, now: Now, id: &ProgramId, name: &str, ticket: u64, wait: bool, out: &mut Outbox) {
        let Some(call) = self.call_mut(id, name) else { return };
        let recorded = !matches!(call.phase, CallPhase::Intending { .. });
        if !wait && recorded {
            let answer = call.answer(true);
            out.answer(ticket, OwnerEvent::Called(answer));
            return;
        }
        call.waiters.push(ticket);
        self.tickets.insert(ticket, id.clone());
        self.timers.set(now.ms + COMMIT_WAIT_MS, Timer::Call(id.clone(), name.to_owned()));
    }

    pub(super) fn intent_committed(&mut self, now: Now, id: &ProgramId, name: &str, out: &mut Outbox) {
        out.timeline_event(EventKind::CallIntended, id, name.to_owned());
        let Some(call) = self.call_mut(id, name) else { return };
        let CallPhase::Intending { abandoned, .. } = call.phase else { return };
        if !call.intended.wait {
            let waiters = std::mem::take(&mut call.waiters);
            call.phase = CallPhase::BackingOff { at_ms: now.ms };
            let answer = call.answer(false);
            for ticket in waiters {
                self.tickets.remove(&ticket);
                out.answer(ticket, OwnerEvent::Called(answer.clone()));
            }
        }
        if abandoned {
            self.resolve(now, id, name, CallState::NotRun, 0, Value::Null, out);
            return;
        }
        self.attempt_call(now, id, name, out);
    }

    fn attempt_call(&mut self, now: Now, id: &ProgramId, name: &str, out: &mut Outbox) {
        let Some(call) = self.call_mut(id, name) else { return };
        if now.unix_ms >= call.intended.deadline_unix_ms {
            let state = if call.unknown_attempts == 0 { CallState::NotRun } else { CallState::Failed };
            self.resolve(now, id, name, state, 0, Value::Null, out);
            return;
        }
        call.phase = CallPhase::Running;
        call.attempts += 1;
        let intended = call.intended.clone();
        let number = self.next_id();
        let service = self.configuration.services.get(&intended.service);
        let timeout_ms = service.map_or(DEFAULT_TIMEOUT_MS, |service| service.timeout_ms);
        let left_ms = intended.deadline_unix_ms - now.unix_ms;
        let workspace = self.program(id).map(|program| program.opened.workspace.clone()).unwrap_or_default();
        self.services.insert(number, (id.clone(), name.to_owned()));
        let request = ServiceRequest {
            program: id.to_string(),
            workspace,
            call: idempotency_key(&intended),
            service: intended.service,
            path: intended.path,
            body: intended.body,
            idempotent: intended.idempotent,
            timeout_ms: timeout_ms.min(left_ms),
        };
        out.actions.push(OwnerAction::Service { service: number, request });
    }

    /// handles the end of an attempt of a call.
    pub fn handle_service(&mut self, now: Now, service: u64, outcome: ServiceOutcome, out: &mut Outbox) {
        let Some((id, name)) = self.services.remove(&service) else { return };
        let Some(call) = self.call_mut(&id, &name) else { return };
        let idempotent = call.intended.idempotent;
        match outcome {
            ServiceOutcome::Answered { status, body } if reports_not_run(status, &body) => {
                self.not_sent(now, &id, &name, out);
            }
            ServiceOutcome::Answered { status, body } if status < 500 => {
                let state = if status < 400 { CallState::Done } else { CallState::Failed };
                self.resolve(now, &id, &name, state, status, body, out);
            }
            ServiceOutcome::Answered { .. } | ServiceOutcome::Unknown { .. } => {
                call.unknown_attempts += 1;
                if idempotent {
                    self.retry_call(now, &id, &name, out);
                } else {
                    self.look_up(now, &id, &name, out);
                }
            }
            ServiceOutcome::NotSent { .. } => self.not_sent(now, &id, &name, out),
        }
    }

    fn not_sent(&mut self, now: Now, id: &ProgramId, name: &str, out: &mut Outbox) {
        let Some(call) = self.call_mut(id, name) else { return };
        if call.intended.idempotent {
            self.retry_call(now, id, name, out);
            return;
        }
        self.resolve(now, id, name, CallState::NotRun, 0, Value::Null, out);
    }

    fn retry_call(&mut self, now: Now, id: &ProgramId, name: &str, out: &mut Outbox) {
        let Some(call) = self.call_mut(id, name) else { return };
        let wait_ms = (FIRST_RETRY_MS << call.attempts.min(10)).min(MAX_RETRY_MS);
        let at_ms = now.ms + wait_ms;
        call.phase = CallPhase::BackingOff { at_ms };
        self.timers.set(at_ms, Timer::Call(id.clone(), name.to_owned()));
        self.release_idle_calls(self.slot_of(id), out);
    }

    /// looks up whether an attempt ran, or records the outcome as unknown when the service cannot tell.
    pub(super) fn look_up(&mut self, now: Now, id: &ProgramId, name: &str, out: &mut Outbox) {
        let Some(call) = self.call_mut(id, name) else { return };
        let intended = call.intended.clone();
        let attempts = call.attempts;
        let can_look_up =
            self.configuration.services.get(&intended.service).is_some_and(|entry| entry.finds_by_key);
        if !can_look_up || attempts > MAX_LOOK_UPS {
            self.resolve(now, id, name, CallState::Unknown, 0, Value::Null, out);
            return;
        }
        let number = self.next_id();
        self.services.insert(number, (id.clone(), name.to_owned()));
        if let Some(call) = self.call_mut(id, name) {
            call.phase = CallPhase::LookingUp;
            call.attempts += 1;
        }
        let look_up = LookupRequest { call: idempotency_key(&intended), service: intended.service };
        out.actions.push(OwnerAction::Lookup { service: number, request: look_up });
    }

    /// handles what a service knows of a call.
    pub fn handle_look_up(&mut self, now: Now, service: u64, outcome: LookupOutcome, out: &mut Outbox) {
        let Some((id, name)) = self.services.remove(&service) else { return };
        match outcome {
            LookupOutcome::Found { status, body } => {
                let state = if status < 400 { CallState::Done } else { CallState::Failed };
                self.resolve(now, &id, &name, state, status, body, out);
            }
            LookupOutcome::NotFound => {
                self.resolve(now, &id, &name, CallState::NotRun, 0, Value::Null, out);
            }
            LookupOutcome::Unavailable => {
                let Some(call) = self.call_mut(&id, &name) else { return };
                let at_ms = now.ms + (FIRST_RETRY_MS << call.attempts.min(10)).min(MAX_RETRY_MS);
                call.phase = CallPhase::LookUpAt { at_ms };
                self.release_idle_calls(self.slot_of(&id), out);
                self.timers.set(at_ms, Timer::Call(id, name));
            }
        }
    }

    #[allow(clippy::too_many_arguments, reason = "each is one part of the outcome")]
    pub(super) fn resolve(
        &mut self,
        now: Now,
        id: &ProgramId,
        name: &str,
        state: CallState,
        status: u16,
        body: Value,
        out: &mut Outbox,
    ) {
        let Some(call) = self.call_mut(id, name) else { return };
        call.phase = CallPhase::Resolving { since_ms: now.ms };
        let bytes = json_bytes(&body);
        let body = if bytes > MAX_OUTCOME_BYTES { oversized_body(bytes) } else { body };
        let record = ResolvedRecord { program: id.to_string(), call: name.to_owned(), state, status, body };
        self.append(id, record, out);
        self.timers.set(now.ms + COMMIT_WAIT_MS, Timer::Call(id.clone(), name.to_owned()));
    }

    pub(super) fn outcome_committed(
        &mut self,
        now: Now,
        id: &ProgramId,
        record: ResolvedRecord,
        out: &mut Outbox,
    ) {
        let name = record.call.clone();
        let Some(call) = self.call_mut(id, &name) else { return };
        let repeatable = record.state == CallState::NotRun;
        call.resolve(record);
        if repeatable {
            // The caller may repeat a call that ended as `not_run`: none of its attempts ran.
            call.unknown_attempts = 0;
        }
        let answer = call.answer(false);
        let waiters = std::mem::take(&mut call.waiters);
        out.timeline_event(EventKind::CallResolved, id, format!("{name}: {}", answer.state));
        for ticket in waiters {
            self.tickets.remove(&ticket);
            out.answer(ticket, OwnerEvent::Called(answer.clone()));
        }
        self.arm_forget(now, id);
    }

    pub(super) fn call_due(&mut self, now: Now, id: &ProgramId, name: &str, out: &mut Outbox) {
        let Some(slot) = self.slots.get(&self.slot_of(id)) else { return };
        let draining = slot.draining;
        let stalled = self.stalled;
        let Some(call) = self.call_mut(id, name) else { return };
        match call.phase {
            CallPhase::BackingOff { at_ms } if now.ms >= at_ms && !draining => {
                self.attempt_call(now, id, name, out);
            }
            CallPhase::LookUpAt { at_ms } if now.ms >= at_ms && !draining => {
                self.look_up(now, id, name, out);
            }
            CallPhase::Intending { since_ms, .. } if stalled && now.ms >= since_ms + COMMIT_WAIT_MS => {
                self.abandon_intent(id, name, out);
            }
            CallPhase::Resolving { since_ms } if stalled && now.ms >= since_ms + COMMIT_WAIT_MS => {
                self.release_call_waiters(id, name, out);
            }
            CallPhase::Intending { .. } | CallPhase::Resolving { .. } => {
                self.timers.set(now.ms + COMMIT_WAIT_MS, Timer::Call(id.clone(), name.to_owned()));
            }
            _ => {}
        }
    }

    /// answers the callers of a call whose intent was not committed in time.
    ///
    /// A call that runs at most once is reported as not run, for good: this owner no longer runs it, and a
    /// successor that finds an intent without an outcome does not run it either. A successor would run an
    /// idempotent call, so its outcome stays open and callers are told to retry.
    fn abandon_intent(&mut self, id: &ProgramId, name: &str, out: &mut Outbox) {
        let Some(call) = self.call_mut(id, name) else { return };
        let waiters = std::mem::take(&mut call.waiters);
        let idempotent = call.intended.idempotent;
        if let CallPhase::Intending { abandoned, .. } = &mut call.phase {
            *abandoned = !idempotent;
        }
        let detail = "the platform does not take writes";
        let problem = if idempotent {
            unknown_retryable(503, "commit_pending", detail, RETRY_OUTAGE_MS)
        } else {
            refuse_retryable(503, "platform_unavailable", detail, RETRY_OUTAGE_MS)
        };
        for ticket in waiters {
            self.tickets.remove(&ticket);
            out.refuse(ticket, problem.clone());
        }
    }

    /// sends callers away for now when the outcome was not committed in time.
    fn release_call_waiters(&mut self, id: &ProgramId, name: &str, out: &mut Outbox) {
        let Some(call) = self.call_mut(id, name) else { return };
        let waiters = std::mem::take(&mut call.waiters);
        let detail = "the outcome waits for the platform; the same request gets it later";
        for ticket in waiters {
            self.tickets.remove(&ticket);
            out.refuse(ticket, unknown_retryable(503, "commit_pending", detail, RETRY_OUTAGE_MS));
        }
    }

    /// sends callers of calls in backoff to the next owner when the slot is draining.
    pub(super) fn release_idle_calls(&mut self, slot: SlotId, out: &mut Outbox) {
        let Some(state) = self.slots.get_mut(&slot) else { return };
        if !state.draining {
            return;
        }
        let calls = state.programs.values_mut().flat_map(|program| program.calls.values_mut());
        let mut released = Vec::new();
        for call in calls {
            if matches!(call.phase, CallPhase::BackingOff { .. } | CallPhase::LookUpAt { .. }) {
                released.append(&mut call.waiters);
            }
        }
        for ticket in released {
            self.tickets.remove(&ticket);
            out.refuse(ticket, unknown_retryable(421, "owner_moved", "the slot is moving", RETRY_SOON_MS));
        }
    }

    /// schedules calls that wait for their next attempt or look-up.
    pub(super) fn arm_calls(&mut self, now: Now, id: &ProgramId) {
        let Some(program) = self.program(id) else { return };
        let mut waiting = Vec::new();
        for (name, call) in &program.calls {
            if let CallPhase::BackingOff { at_ms } | CallPhase::LookUpAt { at_ms } = call.phase {
                waiting.push((at_ms.max(now.ms), name.clone()));
            }
        }
        for (at_ms, name) in waiting {
            self.timers.set(at_ms, Timer::Call(id.clone(), name));
        }
    }

    /// resumes the calls of an adopted program that have no outcome.
    pub(super) fn adopt_calls(&mut self, now: Now, id: &ProgramId, out: &mut Outbox) {
        let Some(program) = self.program_mut(id) else { return };
        let mut unknown = Vec::new();
        for (name, call) in &mut program.calls {
            if !call.is_unresolved() {
                continue;
            }
            // An earlier owner may have sent an attempt.
            call.unknown_attempts = 1;
            if call.intended.idempotent {
                call.phase = CallPhase::BackingOff { at_ms: now.ms };
            } else {
                unknown.push(name.clone());
            }
        }
        for name in unknown {
            self.look_up(now, id, &name, out);
        }
    }

    fn call_mut(&mut self, id: &ProgramId, name: &str) -> Option<&mut Call> {
        self.program_mut(id)?.calls.get_mut(name)
    }
}

/// digest of a call's content, which must be the same in a repeat.
fn content_digest(body: &CallBody) -> Digest {
    let content = serde_json::json!([body.service, body.path, body.body, body.idempotent]);
    Digest::of(content.to_string().as_bytes())
}

/// idempotency key that a service sees; each repeat after a committed `not_run` has a key of its own.
///
/// Call identifiers are chosen by the program, so the key includes the program's. Keys are unambiguous: an
/// identifier of a program has no `:` or `#`, and that of a call no `#`.
fn idempotency_key(intended: &IntendedRecord) -> String {
    let key = format!("{}:{}", intended.program, intended.call);
    match intended.attempt {
        0 | 1 => key,
        attempt => format!("{key}#{attempt}"),
    }
}

/// placeholder for a response that is too large for a journal entry.
fn oversized_body(bytes: u64) -> Value {
    serde_json::json!({ "error": format!("the service's answer of {bytes} bytes is too large to keep") })
}

/// whether a response says that the service did not run the call.
fn reports_not_run(status: u16, body: &Value) -> bool {
    matches!(status, STATUS_TOO_MANY_REQUESTS | STATUS_UNAVAILABLE) && body["ran"] == "not_run"
}
